package leader

import (
	"hash/fnv"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// inMinority reports whether this instance is linked to less than half of the
// fleet. It counts itself as linked. If the fleet is split into two equal
// halves, the half with the lowest instance id counts as the majority.
func (v *View) inMinority(now time.Time) bool {
	reached, all := 1, 1
	lowest, lowestReached := v.cfg.Self.Instance, true
	for id, p := range v.peers {
		if !v.inFleet(now, p) {
			continue
		}
		all++
		if p.linked {
			reached++
		}
		if id < lowest {
			lowest, lowestReached = id, p.linked
		}
	}
	return 2*reached < all || (2*reached == all && !lowestReached)
}

// FollowedByAll reports whether every instance of the fleet is linked and names
// this instance as the owner, so that no other owner can be running.
func (v *View) FollowedByAll(now time.Time) bool {
	for _, p := range v.peers {
		if v.inFleet(now, p) && (!p.linked || p.heartbeat.Owner != v.cfg.Self) {
			return false
		}
	}
	return true
}

// OwnershipFilter returns a filter that reports whether this instance may own
// an endpoint as the leader. It accepts every endpoint, unless the instance is
// isolated: then it accepts, in each data centre, a share of the endpoints by a
// hash of their ids. This share is that of the linked instances (and this one)
// among all instances of the data centre.
func (v *View) OwnershipFilter(now time.Time) func(id ident.EndpointID, dc ident.DataCentre) bool {
	if !v.isolated {
		return func(ident.EndpointID, ident.DataCentre) bool { return true }
	}
	type memberCount struct{ reached, all uint32 }
	counts := map[ident.DataCentre]memberCount{v.cfg.DataCentre: {1, 1}}
	for _, p := range v.peers {
		if !v.inFleet(now, p) {
			continue
		}
		s := counts[p.dataCentre]
		s.all++
		if p.linked {
			s.reached++
		}
		counts[p.dataCentre] = s
	}
	return func(id ident.EndpointID, dc ident.DataCentre) bool {
		s := counts[dc]
		if s.reached == 0 {
			return false
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		return h.Sum32()%s.all < s.reached
	}
}
