package leader

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// checkPeers tracks the check of the linked peers, which starts when the link
// to the owner is lost: each of them is asked for a heartbeat. A new owner may
// be chosen once all linked peers have sent one, or a majority of the fleet and
// the one that would lead next, which has successorTime to do so. Peers that
// have not done so within half of the heartbeat timeout are marked as not
// linked and returned as timed out. Therefore an instance that is cut off from
// all others is marked as isolated before it takes over endpoints.
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
	if pending == 0 || 2*answered > all && (v.successorAnswered() || now.Sub(v.peerCheckStarted) >= v.successorTime()) {
		v.endPeerCheck()
	}
	return timedOut
}

// successorTime is how long a check waits for the instance that would lead next
// once a majority has answered: several round trips.
func (v *View) successorTime() time.Duration { return v.cfg.HeartbeatTimeout / 5 }

// successorAnswered reports whether the instance that would lead next is this
// one or has answered the current check.
func (v *View) successorAnswered() bool {
	first, _ := v.rank()
	return first == v.cfg.Self || v.peers[first.Instance].lastHeard.After(v.peerCheckStarted)
}

// endPeerCheck ends the check. Peers that have not answered it are not
// considered as leader until they send a heartbeat: they may have been lost
// together with the owner, as when their data centre is cut off.
func (v *View) endPeerCheck() {
	for _, p := range v.peers {
		p.unheard = p.linked && !p.lastHeard.After(v.peerCheckStarted)
	}
	v.peerCheckStarted = time.Time{}
}

// CheckingPeers reports whether a check of the peers is under way. Heartbeats
// that are sent during a check ask the peer to answer with its own at once.
func (v *View) CheckingPeers() bool { return !v.peerCheckStarted.IsZero() }
