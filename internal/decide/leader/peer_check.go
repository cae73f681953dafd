package leader

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// checkPeers tracks the check of the linked peers, which starts when the link
// to the owner is lost: each of them is asked for a heartbeat. A new owner may
// be chosen once a majority of the fleet or all linked peers have sent one.
// Peers that have not done so within half of the heartbeat timeout are marked
// as not linked and returned as timed out. Therefore an instance that is cut
// off from all others is marked as isolated before it takes over endpoints.
func (v *View) checkPeers(now time.Time) (timedOut []ident.Process) {
	if v.owner.Instance == "" || v.owner == v.cfg.Self || v.Linked(v.owner) {
		v.peerCheckStarted = time.Time{}
		return nil
	}
	if v.peerCheckStarted.IsZero() {
		v.peerCheckStarted = now
	}
	deadlinePassed := now.Sub(v.peerCheckStarted) >= v.cfg.HeartbeatTimeout/2
	answered, pending, all := 1, 0, 1
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[id]
		if v.inFleet(now, p) {
			all++
		}
		switch {
		case !p.linked:
		case p.lastHeard.After(v.peerCheckStarted):
			answered++
		case deadlinePassed:
			p.linked, p.hasHeartbeat = false, false
			timedOut = append(timedOut, p.process)
		default:
			pending++
		}
	}
	if pending == 0 || 2*answered > all {
		v.peerCheckStarted = time.Time{}
	}
	return timedOut
}

// CheckingPeers reports whether a check of the peers is under way. Heartbeats
// that are sent during a check ask the peer to answer with its own at once.
func (v *View) CheckingPeers() bool { return !v.peerCheckStarted.IsZero() }
