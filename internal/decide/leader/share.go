package leader

import (
	"hash/fnv"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// inMinority reports whether this instance is linked to fewer than half of the
// instances of the fleet. It counts itself as linked. If the fleet is split
// into two equal halves, the half with the lowest instance id counts as the
// majority.
func (v *View) inMinority(now time.Time) bool {
	if v.knowsNoFleet() {
		return true
	}
	linkedCount, all := 1, 1
	lowest, lowestLinked := v.cfg.Self.Instance, true
	for id, p := range v.peers {
		if !v.inFleet(now, p) {
			continue
		}
		all++
		if p.linked {
			linkedCount++
		}
		if id < lowest {
			lowest, lowestLinked = id, p.linked
		}
	}
	return 2*linkedCount < all || (2*linkedCount == all && !lowestLinked)
}

// knowsNoFleet reports whether this instance has neither read the store's list
// of instances nor linked to any, as after a start inside a cut-off data
// centre.
func (v *View) knowsNoFleet() bool { return v.listedAt.IsZero() && len(v.peers) == 0 }

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

// HasRival reports whether a linked peer owns endpoints as well, as far as its
// latest heartbeat says.
func (v *View) HasRival() bool {
	for _, p := range v.peers {
		if p.linked && p.ownsForItself() {
			return true
		}
	}
	return false
}

// sharesWith reports whether a peer belongs to the same part of the fleet: it is
// linked and follows this instance, or no other owner that it hears. When a
// network partition ends, instances that follow the owner of the other part are
// linked again, one by one, before that owner is.
func (v *View) sharesWith(p *peer) bool {
	return p.linked && p.hasHeartbeat && (p.heartbeat.Owner == v.cfg.Self || p.heartbeat.Followers == 0)
}

// OwnershipFilter returns a filter that reports whether this instance may own
// an endpoint as the leader. It accepts every endpoint, unless the instance is
// isolated. Then it accepts a share of the endpoints in each data centre,
// chosen by a hash of their ids. The share is the number of instances there
// that belong to the part of this one, divided by the number of all instances
// of the fleet there. An instance that knows no fleet owns nothing.
func (v *View) OwnershipFilter(now time.Time) func(id ident.EndpointID, dc ident.DataCentre) bool {
	if !v.isolated {
		return func(ident.EndpointID, ident.DataCentre) bool { return true }
	}
	if v.knowsNoFleet() {
		return func(ident.EndpointID, ident.DataCentre) bool { return false }
	}
	type fleetCount struct{ linkedCount, all uint32 }
	counts := map[ident.DataCentre]fleetCount{v.cfg.DataCentre: {1, 1}}
	for _, p := range v.peers {
		if !v.inFleet(now, p) {
			continue
		}
		count := counts[p.dataCentre]
		count.all++
		if v.sharesWith(p) {
			count.linkedCount++
		}
		counts[p.dataCentre] = count
	}
	return func(id ident.EndpointID, dc ident.DataCentre) bool {
		count := counts[dc]
		if count.linkedCount == 0 {
			return false
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		return h.Sum32()%count.all < count.linkedCount
	}
}
