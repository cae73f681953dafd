package leader

import "time"

// An owner whose calls are late serves its whole group badly, also while another
// instance could own the endpoints: its machine has turned slow, or shares its
// processor or link with other work. It then steps down, once: the next owner
// keeps the endpoints for StepDownInterval, however late it is itself, so that a
// load which no instance can carry makes them take no turns.

const (
	// StepDownDelay is how long an owner must be late before it steps down. A
	// change of the owner costs some hundred milliseconds, so a short disturbance
	// is waited out.
	StepDownDelay = time.Second
	// lateGap is how long an owner may not be late without starting anew.
	lateGap = 300 * time.Millisecond
	// StepDownInterval is the least time between two owners of a group that step
	// down.
	StepDownInterval = time.Minute
)

// lateness is since when and until when this instance was late as the owner.
type lateness struct{ since, until time.Time }

// update records whether this instance is late, and returns for how long it has
// been.
func (l *lateness) update(now time.Time, late bool) time.Duration {
	if now.Sub(l.until) > lateGap {
		l.since = time.Time{}
	}
	if !late {
		return 0
	}
	if l.since.IsZero() {
		l.since = now
	}
	l.until = now
	return now.Sub(l.since)
}

// StepDown records whether this instance, as the owner, is late. If it has been
// for StepDownDelay and another instance is strong enough, it makes this one the
// most junior instance and reports true: the next Tick names the new owner.
func (v *View) StepDown(now time.Time, late bool) bool {
	lasted := v.late.update(now, late && v.owner == v.cfg.Self)
	if lasted < StepDownDelay || v.draining || v.isolated {
		return false
	}
	if !v.handedOverAt.IsZero() && now.Sub(v.handedOverAt) < StepDownInterval {
		return false
	}
	seniority := v.seniority
	for _, p := range v.peers {
		if p.linked && p.hasHeartbeat {
			v.Demote(p.heartbeat.Seniority + 1)
		}
	}
	if first, _ := v.rank(); first == v.cfg.Self {
		v.seniority = seniority
		return false
	}
	return true
}

// noteHandover records a change of the owner from one that could have gone on.
func (v *View) noteHandover(now time.Time) {
	if o := v.peers[v.owner.Instance]; v.owner == v.cfg.Self || o != nil && o.process == v.owner && o.linked && !o.heartbeat.Draining {
		v.handedOverAt = now
	}
}
