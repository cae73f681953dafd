package leader

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// When a network partition ends, or an instance that started alone or was
// frozen links to the others, two owners meet. Each change of owner costs runs
// and time, so the one with fewer followers yields, and by that all of its
// followers too, however senior they are. Seniority decides only between equal
// numbers.

// followers returns the number of instances that follow the owner of this view,
// the owner included. It is zero without an owner, or if the owner is lost or
// draining and therefore about to be replaced.
func (v *View) followers() int {
	if v.owner != v.cfg.Self {
		o := v.peers[v.owner.Instance]
		if o == nil || o.process != v.owner || !o.linked || !o.ownsForItself() || o.heartbeat.Draining {
			return 0
		}
		return o.heartbeat.Followers
	}
	if v.draining {
		return 0
	}
	n := 1
	for _, p := range v.peers {
		if p.follows(v.cfg.Self) {
			n++
		}
	}
	return n
}

// follows reports whether a linked peer names a process as the owner.
func (p *peer) follows(owner ident.Process) bool {
	return p.linked && p.hasHeartbeat && p.heartbeat.Owner == owner
}

// ownsForItself reports whether a peer names itself as the owner.
func (p *peer) ownsForItself() bool { return p.hasHeartbeat && p.heartbeat.Owner == p.process }

// OwnerConfirmed reports whether the owner of this view owns the endpoints as
// far as its own heartbeats say. An instance that takes the layout of the fleet
// for another one than its owner may follow one that does not own them.
func (v *View) OwnerConfirmed() bool {
	o := v.peers[v.owner.Instance]
	return v.owner == v.cfg.Self || o != nil && o.process == v.owner && o.ownsForItself()
}

// returning reports whether a peer still follows another owner than this view,
// with fewer followers.
func (v *View) returning(p *peer) bool {
	return p.heartbeat.Owner.Instance != "" && p.heartbeat.Owner != v.owner && p.heartbeat.Followers < v.followers()
}

// yieldTo makes this view follow a peer that has sent a heartbeat, if that is
// an owner with more followers than the owner of this view. This instance then
// ranks after it. Nothing changes if the peer would not lead even then, since
// it is small or draining.
func (v *View) yieldTo(now time.Time, p *peer) {
	if v.owner.Instance == "" || p.process == v.owner || !p.ownsForItself() || p.heartbeat.Followers <= v.followers() {
		return
	}
	owner, seniority := v.owner, v.seniority
	v.owner = p.process
	v.Demote(p.heartbeat.Seniority + 1)
	if first, _ := v.rank(); first != p.process {
		v.owner, v.seniority = owner, seniority
		return
	}
	v.startGracePeriod(now)
}

// awaitsSuccessor reports whether the owner of this view has yielded to an
// instance that is not linked yet. Links come back one by one; without a delay
// this instance would choose another owner for a moment. It waits for
// Config.RejoinDelay at most.
func (v *View) awaitsSuccessor(now time.Time) bool {
	if !v.successorMissing() {
		v.yieldedAt = time.Time{}
		return false
	}
	if v.yieldedAt.IsZero() {
		v.yieldedAt = now
	}
	return now.Sub(v.yieldedAt) < v.cfg.RejoinDelay
}

// successorMissing reports whether the owner of this view is linked and names
// another owner, which is not.
func (v *View) successorMissing() bool {
	o := v.peers[v.owner.Instance]
	if o == nil || !o.linked || !o.hasHeartbeat || o.heartbeat.Followers == 0 {
		return false
	}
	successor := o.heartbeat.Owner
	return successor != o.process && successor != v.cfg.Self && !v.Linked(successor)
}
