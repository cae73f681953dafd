package leader

import (
	"hash/fnv"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// minority reports whether this instance hears less than half of the fleet,
// itself included. Of two halves, the one with the lowest instance id counts as
// the larger.
func (v *View) minority(now time.Time) bool {
	heard, all := 1, 1
	lowest, lowestHeard := v.cfg.Self.Instance, true
	for id, p := range v.peers {
		if !v.known(now, p) {
			continue
		}
		all++
		if p.linked {
			heard++
		}
		if id < lowest {
			lowest, lowestHeard = id, p.linked
		}
	}
	return 2*heard < all || (2*heard == all && !lowestHeard)
}

// Whole reports whether every instance of the fleet is heard and follows this
// one, so that no other owner can be alive.
func (v *View) Whole(now time.Time) bool {
	for _, p := range v.peers {
		if v.known(now, p) && (!p.linked || p.pulse.Owner != v.cfg.Self) {
			return false
		}
	}
	return true
}

// Mine returns what this instance may own as the leader: everything, or, while
// it is isolated, the share of its data centre's endpoints that its side has of
// the data centre's instances.
func (v *View) Mine(now time.Time) func(id ident.EndpointID, dc ident.DataCentre) bool {
	if !v.isolated {
		return func(ident.EndpointID, ident.DataCentre) bool { return true }
	}
	type side struct{ heard, all uint32 }
	sides := map[ident.DataCentre]side{v.cfg.DataCentre: {1, 1}}
	for _, p := range v.peers {
		if !v.known(now, p) {
			continue
		}
		s := sides[p.dataCentre]
		s.all++
		if p.linked {
			s.heard++
		}
		sides[p.dataCentre] = s
	}
	return func(id ident.EndpointID, dc ident.DataCentre) bool {
		s := sides[dc]
		if s.heard == 0 {
			return false
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		return h.Sum32()%s.all < s.heard
	}
}
