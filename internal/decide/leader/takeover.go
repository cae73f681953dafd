package leader

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// pollPeers polls the linked peers when the owner is gone. A successor may be
// chosen once a majority of the fleet or all linked peers have answered. Peers
// that have not answered within half of the heartbeat timeout are marked as not
// linked and returned as silent. Therefore an instance that is cut off from all
// others knows that it is alone before it takes over any endpoints.
func (v *View) pollPeers(now time.Time) (silent []ident.Process) {
	if v.owner.Instance == "" || v.owner == v.cfg.Self || v.Linked(v.owner) {
		v.pollStarted = time.Time{}
		return nil
	}
	if v.pollStarted.IsZero() {
		v.pollStarted = now
	}
	timedOut := now.Sub(v.pollStarted) >= v.cfg.HeartbeatTimeout/2
	answered, pending, all := 1, 0, 1
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[id]
		if v.inFleet(now, p) {
			all++
		}
		switch {
		case !p.linked:
		case p.lastHeard.After(v.pollStarted):
			answered++
		case timedOut:
			p.linked, p.hasHeartbeat = false, false
			silent = append(silent, p.process)
		default:
			pending++
		}
	}
	if pending == 0 || 2*answered > all {
		v.pollStarted = time.Time{}
	}
	return silent
}

// Polling reports whether a poll of the peers is under way, that is, whether
// peers are asked to answer with a heartbeat at once.
func (v *View) Polling() bool { return !v.pollStarted.IsZero() }
