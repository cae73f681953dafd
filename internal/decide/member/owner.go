package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// owners caches ownership until membership or list change.
type owners struct {
	valid      bool
	candidates map[ident.DataCentre][]ident.InstanceID // sorted
	owner      map[ident.EndpointID]ident.InstanceID
	owned      map[ident.Service][]work.Instance
}

// Owner returns the instance that owns an endpoint of a data centre, and false
// when the data centre has no member.
func (v *View) Owner(endpoint ident.EndpointID, dc ident.DataCentre) (ident.InstanceID, bool) {
	v.assign()
	if owner, ok := v.owners.owner[endpoint]; ok {
		return owner, true
	}
	return highest(string(endpoint), v.owners.candidates[dc])
}

// Owned returns the endpoints of a service that this instance owns, sorted by
// id. The caller does not change the slice.
func (v *View) Owned(service ident.Service) []work.Instance {
	v.assign()
	return v.owners.owned[service]
}

// Reader returns the instance that reads the store for its data centre.
func (v *View) Reader(dc ident.DataCentre) (ident.InstanceID, bool) {
	v.assign()
	return highest("reader/"+string(dc), v.owners.candidates[dc])
}

// Granter returns the instance that seeks the store lease to grant shares of
// limits in its data centre.
func (v *View) Granter(dc ident.DataCentre) (ident.InstanceID, bool) {
	v.assign()
	return highest("granter/"+string(dc), v.owners.candidates[dc])
}

// reassign discards the cached ownership.
func (v *View) reassign() {
	v.owners.valid = false
	v.version++
}

// assign fills the cache.
func (v *View) assign() {
	if v.owners.valid {
		return
	}
	v.owners = owners{
		valid:      true,
		candidates: v.candidates(),
		owner:      map[ident.EndpointID]ident.InstanceID{},
		owned:      map[ident.Service][]work.Instance{},
	}
	for _, group := range groups(v.list) {
		assigned := assignGroup(group, v.owners.candidates[group[0].DataCentre])
		for i, row := range group {
			if assigned[i] == "" {
				continue
			}
			v.owners.owner[ident.EndpointID(row.ID)] = assigned[i]
			if assigned[i] == v.cfg.Self.Instance {
				v.owners.owned[row.Service] = append(v.owners.owned[row.Service], row)
			}
		}
	}
}

// candidates returns the members that may own endpoints, sorted by id. A data
// centre where all drain keeps its owners, since its queued work could not
// start otherwise.
func (v *View) candidates() map[ident.DataCentre][]ident.InstanceID {
	stay := map[ident.DataCentre][]ident.InstanceID{}
	all := map[ident.DataCentre][]ident.InstanceID{}
	for _, m := range v.Members() {
		if !owns(m.State) {
			continue
		}
		all[m.DataCentre] = append(all[m.DataCentre], m.Process.Instance)
		if !m.Draining && !v.rows[m.Process.Instance].Leaving {
			stay[m.DataCentre] = append(stay[m.DataCentre], m.Process.Instance)
		}
	}
	for dc, ids := range all {
		if len(stay[dc]) == 0 {
			stay[dc] = ids
		}
	}
	return stay
}

// groups splits the endpoint rows by data centre and service, sorted by id.
func groups(list []work.Instance) [][]work.Instance {
	var rows []work.Instance
	for _, row := range list {
		if row.Kind == work.KindEndpoint {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b work.Instance) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	var split [][]work.Instance
	for i := 0; i < len(rows); {
		j := i + 1
		for j < len(rows) && rows[j].DataCentre == rows[i].DataCentre && rows[j].Service == rows[i].Service {
			j++
		}
		split = append(split, rows[i:j])
		i = j
	}
	return split
}

// pair is one possible ownership with its rendezvous score.
type pair struct {
	score              uint64
	endpoint, instance int
}

// assignGroup returns the owner of each endpoint, or nothing for an empty list
// of instances. It takes the pairs of endpoint and instance by falling score
// and passes over instances that would exceed the bound on owned slots. With
// no bound this is plain rendezvous hashing.
func assignGroup(endpoints []work.Instance, instances []ident.InstanceID) []ident.InstanceID {
	assigned := make([]ident.InstanceID, len(endpoints))
	if len(instances) == 0 {
		return assigned
	}
	pairs := make([]pair, 0, len(endpoints)*len(instances))
	total, largest := 0, 1
	for i, row := range endpoints {
		total += max(row.Slots, 1)
		largest = max(largest, row.Slots)
		for j, id := range instances {
			pairs = append(pairs, pair{score(row.ID, id), i, j})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.instance, b.instance))
	})
	bound := loadBound(total, largest, len(instances))
	load := make([]int, len(instances))
	for _, p := range pairs {
		slots := max(endpoints[p.endpoint].Slots, 1)
		if assigned[p.endpoint] == "" && load[p.instance]+slots <= bound {
			assigned[p.endpoint] = instances[p.instance]
			load[p.instance] += slots
		}
	}
	// Endpoints of different sizes may leave one that fits nowhere.
	for i, row := range endpoints {
		if assigned[i] == "" {
			least := slices.Index(load, slices.Min(load))
			assigned[i] = instances[least]
			load[least] += max(row.Slots, 1)
		}
	}
	return assigned
}

// loadBound returns the slots that one instance may own: the mean, rounded up
// to whole endpoints of the largest size. Plain rendezvous hashing and a bound
// of 1.25 times the mean split 8 to 16 endpoints unevenly between 2 instances;
// this bound splits them evenly for about half an extra move per change.
func loadBound(total, largest, instances int) int {
	mean := (total + instances - 1) / instances
	return (mean + largest - 1) / largest * largest
}

// highest returns the instance with the highest score for a key, by plain
// rendezvous hashing.
func highest(key string, instances []ident.InstanceID) (ident.InstanceID, bool) {
	var best ident.InstanceID
	var top uint64
	for _, id := range instances {
		if s := score(key, id); best == "" || s > top {
			best, top = id, s
		}
	}
	return best, best != ""
}

// score is the rendezvous score of an instance for a key.
func score(key string, id ident.InstanceID) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, id...)
	return xxhash.Sum64(b)
}
