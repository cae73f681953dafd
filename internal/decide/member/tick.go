package member

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Tick returns the instances to which a heartbeat is due and the changes of
// state that silence brings. It is called several times per near interval.
// Heartbeats also go to the dead, so that a healed partition is noticed.
func (v *View) Tick(now time.Time) (due []ident.InstanceID, changes []Change) {
	v.resume(now)
	for _, e := range v.order {
		changes = append(changes, v.silence(now, e)...)
		if v.dueNow(now, e) {
			due = append(due, e.Process.Instance)
		}
	}
	for v.dead > v.cfg.MaxDead {
		v.forgetOldest()
	}
	return due, changes
}

// Confirmed reports whether this process may start queued work: it was not
// paused for the dead time, or it has since heard from a peer or the store, or
// neither could be reached for the confirm wait.
func (v *View) Confirmed(now time.Time) bool {
	if now.Sub(v.lastTick) > v.cfg.pause() {
		return false // the pause has ended but no tick has noticed it yet
	}
	return v.resumed.IsZero() || now.Sub(v.resumed) >= v.cfg.ConfirmWait
}

// ConfirmStore takes in that the store answered a call that began after the
// pause was noticed.
func (v *View) ConfirmStore(_ time.Time) { v.resumed = time.Time{} }

// resume notices pauses. Silence counts only while this process runs;
// otherwise a pause would make it take all others for dead.
func (v *View) resume(now time.Time) {
	gap := now.Sub(v.lastTick)
	v.lastTick = now
	if gap > v.cfg.pause() {
		v.resumed = now
	}
	if gap <= v.cfg.Near {
		return
	}
	for _, e := range v.order {
		e.Heard = e.Heard.Add(gap - v.cfg.Near)
		if e.Heard.After(now) {
			e.Heard = now
		}
	}
}

// silence moves e to the state that the time since its last sign of life asks
// for.
func (v *View) silence(now time.Time, e *entry) []Change {
	if e.State == Dead {
		return nil
	}
	interval := v.cfg.interval(e.DataCentre)
	silent := now.Sub(e.Heard)
	if silent >= time.Duration(v.deadAfter(e))*interval {
		e.died = now
		return v.become(e, Dead)
	}
	if silent < time.Duration(v.cfg.SuspectAfter)*interval {
		return nil
	}
	// A higher incarnation in the list takes the place of a process that has
	// fallen silent, but never of one that heartbeats.
	if row, ok := v.rows[e.Process.Instance]; ok && row.Incarnation > e.Process.Incarnation {
		return v.replaceByRow(now, row)
	}
	return v.become(e, Suspect)
}

// deadAfter returns how many missed heartbeats make e dead.
func (v *View) deadAfter(e *entry) int {
	absent := v.listVersion > 0 && !e.Listed
	switch {
	case e.linkDown && (absent || e.goodbye):
		return v.cfg.SuspectAfter
	case e.linkDown || absent || e.goodbye:
		return v.cfg.HastyDeadAfter
	}
	return v.cfg.DeadAfter
}

// dueNow reports whether a heartbeat to e is due and sets the time of the
// next. A phase for each pair of instances spreads the heartbeats over the
// interval.
func (v *View) dueNow(now time.Time, e *entry) bool {
	interval := v.cfg.interval(e.DataCentre)
	if e.State == Dead {
		if !e.Listed && now.Sub(e.died) > v.cfg.Forget {
			return false
		}
		interval = v.cfg.Far
	}
	if now.Before(e.due) {
		return false
	}
	sinceStart := now.Sub(v.start)
	e.due = now.Add(interval - (sinceStart+e.phase%interval)%interval)
	return true
}

// forgetOldest removes the member that has been dead for the longest.
func (v *View) forgetOldest() {
	oldest := -1
	for i, e := range v.order {
		if e.State == Dead && (oldest < 0 || e.died.Before(v.order[oldest].died)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return
	}
	delete(v.members, v.order[oldest].Process.Instance)
	v.order = slices.Delete(v.order, oldest, oldest+1)
	v.dead--
}
