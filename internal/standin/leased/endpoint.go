// Package leased provides a fake endpoint for tests, which runs tasks under a
// lease. The owner renews the lease; when it expires, the endpoint ends all
// runs. An Endpoint is a state machine whose caller passes in the time, which
// may be simulated.
package leased

import (
	"cmp"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// RunPlan is the planned outcome of a simulated run: how long it takes, and
// whether it fails or crashes its endpoint at the end.
type RunPlan struct {
	Duration time.Duration
	Fails    bool
	Crashes  bool
}

// run is a current run of a task.
type run struct {
	key     job.Key
	number  int
	started time.Time
	endsAt  time.Time
	plan    RunPlan
}

// Endpoint is a fake endpoint. A fence is a fencing token: a number that rises
// with each change of the owner. The endpoint accepts only calls whose fence is
// not lower than the highest that it has seen. It starts every accepted run
// without checking its capacity.
type Endpoint struct {
	Entry owner.Endpoint
	// PlanOf returns the duration and outcome of the task's run.
	PlanOf func(key job.Key) RunPlan
	// RoomOf returns the resources that a task needs.
	RoomOf func(key job.Key) job.Room
	// MaxLease is the longest lease that the endpoint grants. ClockRate is the
	// speed of its clock relative to real time.
	MaxLease  time.Duration
	ClockRate float64
	// OnStart and OnEnd, if set, are called when a run starts or ends.
	OnStart func(now time.Time, key job.Key, run int)
	OnEnd   func(now time.Time, key job.Key, run int, reason owner.EndReason)
	// OnCrash is called when a run crashes the endpoint. The caller then makes no
	// calls before it restarts the endpoint, which ends the runs.
	OnCrash func(now time.Time)

	crashed     bool
	restartedAt time.Time
	// fence is the highest fence seen since the last restart.
	fence      owner.Fence
	leaseUntil owner.EndpointTime
	runs       []run
	// unacknowledged holds the ended runs that the owner has not acknowledged.
	unacknowledged []owner.EndedRun
	lastEndNumber  int64
	// highestEnded holds, for each task, the highest number of a run that has
	// ended or must not start any more.
	highestEnded map[job.Key]int
}

// Restart restarts the endpoint: current runs end with EndOther, and the fence,
// the lease and the list of ended runs are reset. It must be called before
// first use.
func (e *Endpoint) Restart(now time.Time) {
	for _, r := range e.runs {
		e.notifyEnd(now, r, owner.EndOther)
	}
	e.restartedAt = now
	e.Entry.Incarnation = now.UnixMilli()
	e.crashed = false
	e.fence, e.leaseUntil, e.runs, e.unacknowledged, e.lastEndNumber = 0, 0, nil, nil, 0
	e.highestEnded = map[job.Key]int{}
}

// localTime returns the time on the endpoint's own clock, which shows 1000 ms
// at a restart.
func (e *Endpoint) localTime(now time.Time) owner.EndpointTime {
	return owner.EndpointTime(float64(now.Sub(e.restartedAt).Microseconds())*e.ClockRate/1000) + 1000
}

// Advance ends all runs if the lease has expired, and otherwise those whose
// duration has passed.
func (e *Endpoint) Advance(now time.Time) {
	if e.crashed {
		return
	}
	if len(e.runs) > 0 && e.localTime(now) > e.leaseUntil {
		for len(e.runs) > 0 {
			e.endRun(now, 0, owner.EndLeaseExpired)
		}
	}
	for i := 0; i < len(e.runs); i++ {
		if !e.runs[i].endsAt.After(now) {
			if e.runs[i].plan.Crashes {
				e.crashed = true
				e.OnCrash(now)
				return
			}
			reason := owner.EndDone
			if e.runs[i].plan.Fails {
				reason = owner.EndFailed
			}
			e.endRun(now, i, reason)
			i--
		}
	}
}

// NextAdvance returns the time at which Advance must be called next, or the
// zero time if nothing runs.
func (e *Endpoint) NextAdvance(now time.Time) time.Time {
	var next time.Time
	if len(e.runs) == 0 || e.crashed {
		return next
	}
	next = now.Add(time.Duration(float64(e.leaseUntil-e.localTime(now)+1)/e.ClockRate*1000) * time.Microsecond)
	for _, r := range e.runs {
		if r.endsAt.Before(next) {
			next = r.endsAt
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// notifyEnd calls OnEnd, if set.
func (e *Endpoint) notifyEnd(now time.Time, r run, reason owner.EndReason) {
	if e.OnEnd != nil {
		e.OnEnd(now, r.key, r.number, reason)
	}
}

// endRun removes the run with index i and appends it to the ended runs.
func (e *Endpoint) endRun(now time.Time, i int, reason owner.EndReason) {
	r := e.runs[i]
	e.runs = slices.Delete(e.runs, i, i+1)
	e.lastEndNumber++
	e.unacknowledged = append(e.unacknowledged, owner.EndedRun{Number: e.lastEndNumber, Key: r.key, Run: r.number, Reason: reason})
	e.highestEnded[r.key] = max(e.highestEnded[r.key], r.number)
	e.notifyEnd(now, r, reason)
}

// HasUnacknowledged reports whether some ended runs have not been acknowledged.
func (e *Endpoint) HasUnacknowledged() bool { return len(e.unacknowledged) > 0 }

// Running returns the keys of the tasks that run.
func (e *Endpoint) Running() []job.Key {
	keys := make([]job.Key, len(e.runs))
	for i, r := range e.runs {
		keys[i] = r.key
	}
	return keys
}

// Used returns the resources that the current runs take.
func (e *Endpoint) Used() job.Room {
	var used job.Room
	for _, r := range e.runs {
		used = used.Add(e.RoomOf(r.key))
	}
	return used
}

// acceptFence records the fence of a call, or returns false if a higher one was
// seen.
func (e *Endpoint) acceptFence(f owner.Fence) bool {
	if f < e.fence {
		return false
	}
	e.fence = f
	return true
}

// extendLease extends the lease to the given time, but not beyond MaxLease from
// now.
func (e *Endpoint) extendLease(now time.Time, leaseUntil owner.EndpointTime) {
	latest := e.localTime(now) + owner.EndpointTime(e.MaxLease.Milliseconds())
	e.leaseUntil = max(e.leaseUntil, min(leaseUntil, latest))
}

// Start starts a run and extends the lease. A run that is already running is
// not started again. The call is refused if its fence is not accepted, its
// lease has already expired, or the same or a later run of the task has ended.
func (e *Endpoint) Start(now time.Time, s owner.Start) owner.CallResult {
	e.Advance(now)
	a := owner.CallResult{Call: s.Number, Clock: e.localTime(now)}
	switch {
	case !e.acceptFence(s.Fence):
		a.Reply = owner.Fenced
	case s.LeaseUntil <= a.Clock:
		a.Reply = owner.Late
	case slices.ContainsFunc(e.runs, func(r run) bool { return r.key == s.Key && r.number == s.Run }):
		e.extendLease(now, s.LeaseUntil)
	case s.Run <= e.highestEnded[s.Key]:
		e.extendLease(now, s.LeaseUntil)
		a.Reply = owner.OldRun
	default:
		e.extendLease(now, s.LeaseUntil)
		plan := e.PlanOf(s.Key)
		e.runs = append(e.runs, run{key: s.Key, number: s.Run, started: now, endsAt: now.Add(plan.Duration), plan: plan})
		if e.OnStart != nil {
			e.OnStart(now, s.Key, s.Run)
		}
	}
	return a
}

// Stop stops the run, or an earlier one of the task. Neither it nor an earlier
// run can start afterwards.
func (e *Endpoint) Stop(now time.Time, s owner.Stop) owner.CallResult {
	e.Advance(now)
	a := owner.CallResult{Call: s.Number, Clock: e.localTime(now)}
	if !e.acceptFence(s.Fence) {
		a.Reply = owner.Fenced
		return a
	}
	for i := range e.runs {
		if e.runs[i].key == s.Key && e.runs[i].number <= s.Run {
			e.endRun(now, i, owner.EndStopped)
			break
		}
	}
	e.highestEnded[s.Key] = max(e.highestEnded[s.Key], s.Run)
	return a
}

// Poll renews the lease, removes the acknowledged ended runs and returns the
// lists of current and ended runs. It does not wait: a caller that simulates
// the wait of a poll calls FinishPoll afterwards.
func (e *Endpoint) Poll(now time.Time, poll owner.Poll) owner.PollResult {
	e.Advance(now)
	out := owner.PollResult{Call: poll.Number, Clock: e.localTime(now), Incarnation: e.Entry.Incarnation}
	if !e.acceptFence(poll.Fence) {
		out.Reply = owner.Fenced
		return out
	}
	if poll.LeaseUntil > 0 {
		e.extendLease(now, poll.LeaseUntil)
	}
	e.unacknowledged = slices.DeleteFunc(e.unacknowledged, func(end owner.EndedRun) bool { return end.Number <= poll.Acknowledged })
	return e.addLists(now, out)
}

// FinishPoll returns the lists of current and ended runs at the end of the wait
// of a poll.
func (e *Endpoint) FinishPoll(now time.Time, poll owner.Poll) owner.PollResult {
	e.Advance(now)
	return e.addLists(now, owner.PollResult{Call: poll.Number, Clock: e.localTime(now), Incarnation: e.Entry.Incarnation})
}

// addLists adds the lists of current and ended runs to the result of a Poll.
func (e *Endpoint) addLists(now time.Time, out owner.PollResult) owner.PollResult {
	for _, r := range e.runs {
		percent := int(100 * now.Sub(r.started) / max(1, r.endsAt.Sub(r.started)))
		out.Running = append(out.Running, owner.RunStatus{Key: r.key, Run: r.number, Percent: percent})
	}
	out.Ended = slices.Clone(e.unacknowledged)
	slices.SortFunc(out.Ended, func(a, b owner.EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	return out
}
