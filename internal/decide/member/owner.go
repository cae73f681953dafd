package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// ownership caches the owners of endpoints until the membership or the list
// changes.
type ownership struct {
	valid      bool
	candidates map[ident.DataCentre][]ident.InstanceID // sorted
	ownerOf    map[ident.EndpointID]ident.InstanceID
	owned      map[ident.Service][]work.Instance // endpoints of this instance
}

// Owner returns the instance that owns an endpoint of a data centre, and false
// when no member of the data centre is alive or suspect.
func (v *View) Owner(endpoint ident.EndpointID, dc ident.DataCentre) (ident.InstanceID, bool) {
	v.assignOwners()
	if owner, ok := v.ownership.ownerOf[endpoint]; ok {
		return owner, true
	}
	return highestScored(string(endpoint), v.ownership.candidates[dc])
}

// Owned returns the endpoints of a service that this instance owns, sorted by
// id. The caller must not modify the slice.
func (v *View) Owned(service ident.Service) []work.Instance {
	v.assignOwners()
	return v.ownership.owned[service]
}

// Reader returns the instance that reads the store on behalf of the instances
// of a data centre, and false when no member of the data centre is alive or
// suspect.
func (v *View) Reader(dc ident.DataCentre) (ident.InstanceID, bool) {
	v.assignOwners()
	return highestScored("reader/"+string(dc), v.ownership.candidates[dc])
}

// Granter returns the granter of a data centre, and false when no member of the
// data centre is alive or suspect. The granter grants units of the limits of
// teams and services (package quota) to the instances of its data centre; it
// must acquire a lease in the store first.
func (v *View) Granter(dc ident.DataCentre) (ident.InstanceID, bool) {
	v.assignOwners()
	return highestScored("granter/"+string(dc), v.ownership.candidates[dc])
}

// invalidateOwners discards the cached owners and raises the version.
func (v *View) invalidateOwners() {
	v.ownership.valid = false
	v.version++
}

// assignOwners computes the owners unless they are cached.
func (v *View) assignOwners() {
	if v.ownership.valid {
		return
	}
	v.ownership = ownership{
		valid:      true,
		candidates: v.candidates(),
		ownerOf:    map[ident.EndpointID]ident.InstanceID{},
		owned:      map[ident.Service][]work.Instance{},
	}
	for _, group := range groupEndpoints(v.list) {
		assigned := assignGroup(group, v.ownership.candidates[group[0].DataCentre])
		for i, row := range group {
			if assigned[i] == "" {
				continue
			}
			v.ownership.ownerOf[ident.EndpointID(row.ID)] = assigned[i]
			if assigned[i] == v.cfg.Self.Instance {
				v.ownership.owned[row.Service] = append(v.ownership.owned[row.Service], row)
			}
		}
	}
}

// candidates returns the members of each data centre that may own endpoints,
// sorted by id. A data centre whose members are all draining keeps its owners,
// since its queued work could not start otherwise.
func (v *View) candidates() map[ident.DataCentre][]ident.InstanceID {
	active := map[ident.DataCentre][]ident.InstanceID{}
	all := map[ident.DataCentre][]ident.InstanceID{}
	for _, m := range v.Members() {
		if !mayOwn(m.State) {
			continue
		}
		all[m.DataCentre] = append(all[m.DataCentre], m.Process.Instance)
		if !m.Draining && !v.entryRows[m.Process.Instance].Leaving {
			active[m.DataCentre] = append(active[m.DataCentre], m.Process.Instance)
		}
	}
	for dc, ids := range all {
		if len(active[dc]) == 0 {
			active[dc] = ids
		}
	}
	return active
}

// groupEndpoints groups the endpoint rows by data centre and service. Each
// group is sorted by id.
func groupEndpoints(list []work.Instance) [][]work.Instance {
	var rows []work.Instance
	for _, row := range list {
		if row.Kind == work.KindEndpoint {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b work.Instance) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	var groups [][]work.Instance
	for i := 0; i < len(rows); {
		j := i + 1
		for j < len(rows) && rows[j].DataCentre == rows[i].DataCentre && rows[j].Service == rows[i].Service {
			j++
		}
		groups = append(groups, rows[i:j])
		i = j
	}
	return groups
}

// pair is an endpoint and an instance that may own it, given by their indexes,
// with their rendezvous score.
type pair struct {
	score              uint64
	endpoint, instance int
}

// assignGroup returns the owner of each endpoint, or empty ids when there are
// no instances. It considers the pairs of endpoint and instance in descending
// order of score and skips an instance that would exceed the bound on owned
// slots. Without the bound this is plain rendezvous hashing.
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
	bound := slotBound(total, largest, len(instances))
	ownedSlots := make([]int, len(instances))
	for _, p := range pairs {
		slots := max(endpoints[p.endpoint].Slots, 1)
		if assigned[p.endpoint] == "" && ownedSlots[p.instance]+slots <= bound {
			assigned[p.endpoint] = instances[p.instance]
			ownedSlots[p.instance] += slots
		}
	}
	// With different slot counts, an endpoint may fit no instance within the
	// bound; the instance that owns the fewest slots gets it.
	for i, row := range endpoints {
		if assigned[i] == "" {
			least := slices.Index(ownedSlots, slices.Min(ownedSlots))
			assigned[i] = instances[least]
			ownedSlots[least] += max(row.Slots, 1)
		}
	}
	return assigned
}

// slotBound returns the maximum number of slots that one instance may own: the
// mean, rounded up to a multiple of the largest endpoint's slots. Plain
// rendezvous hashing and a bound of 1.25 times the mean both distribute 8 to 16
// endpoints unevenly over 2 instances. This bound distributes them evenly and
// moves about half an endpoint more per change of membership.
func slotBound(total, largest, instances int) int {
	mean := (total + instances - 1) / instances
	return (mean + largest - 1) / largest * largest
}

// highestScored returns the instance with the highest score for a key (plain
// rendezvous hashing), and false when there are no instances.
func highestScored(key string, instances []ident.InstanceID) (ident.InstanceID, bool) {
	var best ident.InstanceID
	var top uint64
	for _, id := range instances {
		if s := score(key, id); best == "" || s > top {
			best, top = id, s
		}
	}
	return best, best != ""
}

// score returns the rendezvous score of an instance for a key.
func score(key string, id ident.InstanceID) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, id...)
	return xxhash.Sum64(b)
}
