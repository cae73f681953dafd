package member

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Tick returns the instances that must be sent a heartbeat now and the changes
// of state caused by missed heartbeats. The caller calls it several times per
// local interval. Dead members get heartbeats too, so that the end of a
// partition is noticed.
func (v *View) Tick(now time.Time) (due []ident.InstanceID, changes []StateChange) {
	v.detectPause(now)
	for _, e := range v.sorted {
		changes = append(changes, v.checkHeartbeats(now, e)...)
		if v.heartbeatDue(now, e) {
			due = append(due, e.Process.Instance)
		}
	}
	for v.deadCount > v.cfg.MaxDead {
		v.removeLongestDead()
	}
	return due, changes
}

// MayStartQueued reports whether this process may start queued work. After
// a pause that is long enough for its peers to consider it dead, it may do so
// once it has heard from a peer or the store, and in any case once ConfirmWait
// has passed since the pause.
func (v *View) MayStartQueued(now time.Time) bool {
	if now.Sub(v.lastTick) > v.cfg.pauseLimit() {
		return false // no tick has detected this pause yet
	}
	return v.resumedAt.IsZero() || now.Sub(v.resumedAt) >= v.cfg.ConfirmWait
}

// StoreAnswered records that the store answered a call that began after the
// pause was detected, which confirms this process.
func (v *View) StoreAnswered(_ time.Time) { v.resumedAt = time.Time{} }

// detectPause records a pause of this process and moves the last-heard times of
// all members forward by the part of the gap above one local interval. Without
// that, a pause of this process would make it consider all others dead.
func (v *View) detectPause(now time.Time) {
	gap := now.Sub(v.lastTick)
	v.lastTick = now
	if gap > v.cfg.pauseLimit() {
		v.resumedAt = now
	}
	if gap <= v.cfg.LocalInterval {
		return
	}
	for _, e := range v.sorted {
		e.LastHeard = e.LastHeard.Add(gap - v.cfg.LocalInterval)
		if e.LastHeard.After(now) {
			e.LastHeard = now
		}
	}
}

// checkHeartbeats marks e as suspect or dead when nothing has been heard from
// it for long enough.
func (v *View) checkHeartbeats(now time.Time, e *peer) []StateChange {
	if e.State == Dead {
		return nil
	}
	interval := v.cfg.interval(e.DataCentre)
	sinceHeard := now.Sub(e.LastHeard)
	if sinceHeard >= time.Duration(v.deadAfter(e))*interval {
		e.deadSince = now
		return v.setState(e, Dead)
	}
	if sinceHeard < time.Duration(v.cfg.SuspectAfter)*interval {
		return nil
	}
	// A higher incarnation in the list replaces a process whose heartbeats are
	// missing, but never one whose heartbeats arrive.
	if row, ok := v.entryRows[e.Process.Instance]; ok && row.Incarnation > e.Process.Incarnation {
		return v.addListed(now, row)
	}
	return v.setState(e, Suspect)
}

// deadAfter returns the number of missed heartbeats after which e is dead.
func (v *View) deadAfter(e *peer) int {
	absent := v.listVersion > 0 && !e.Listed
	switch {
	case e.linkDown && (absent || e.announcedExit):
		return v.cfg.SuspectAfter
	case e.linkDown || absent || e.announcedExit:
		return v.cfg.EarlyDeadAfter
	}
	return v.cfg.DeadAfter
}

// heartbeatDue reports whether a heartbeat to e is due and, if so, schedules
// the next one. A phase for each pair of instances spreads the heartbeats over
// the interval.
func (v *View) heartbeatDue(now time.Time, e *peer) bool {
	interval := v.cfg.interval(e.DataCentre)
	if e.State == Dead {
		if !e.Listed && now.Sub(e.deadSince) > v.cfg.StopHeartbeatsAfter {
			return false
		}
		interval = v.cfg.RemoteInterval
	}
	if now.Before(e.nextHeartbeat) {
		return false
	}
	sinceStart := now.Sub(v.start)
	e.nextHeartbeat = now.Add(interval - (sinceStart+e.phase%interval)%interval)
	return true
}

// removeLongestDead removes the member that has been dead for the longest time.
func (v *View) removeLongestDead() {
	oldest := -1
	for i, e := range v.sorted {
		if e.State == Dead && (oldest < 0 || e.deadSince.Before(v.sorted[oldest].deadSince)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return
	}
	delete(v.members, v.sorted[oldest].Process.Instance)
	v.sorted = slices.Delete(v.sorted, oldest, oldest+1)
	v.deadCount--
}
