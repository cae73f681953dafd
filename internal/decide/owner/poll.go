package owner

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// sendPoll sends a poll that renews the lease of an endpoint and asks for its
// lists of current and ended runs. It raises the fence of an endpoint that
// another owner holds, to acquire it. It does not renew the lease before the
// endpoint's clock is known, or when mayRenew forbids it.
func (p *Pool) sendPoll(now time.Time, e *endpoint) {
	wait := p.cfg.PollWait
	if e.ownership == ownershipForeign {
		p.outbid(e)
	}
	switch {
	case e.ownership != ownershipHeld || e.pollFailures > 0:
		wait = 0
	case now.Before(p.noRenewalUntil):
		wait = min(wait, p.noRenewalUntil.Sub(now)) // the next poll renews the lease
	case len(e.runs) == 0:
		wait = p.cfg.IdlePollWait
	case now.Before(e.unreliableUntil):
		wait = min(wait, p.cfg.UnreliablePollWait+time.Duration(p.unreliableCount)*p.cfg.UnreliablePollStep)
	}
	poll := Poll{Call: p.newCall(e), Acknowledged: e.acknowledged, Wait: wait}
	if e.clock > 0 && p.mayRenew(now, e) {
		poll.LeaseUntil = e.extendLease(now, p.cfg.LeaseMax)
	}
	e.pollCall = poll.Number
	if e.ownership != ownershipHeld {
		e.pollIsProbe = true
		p.probesInFlight++
	}
	p.inFlight[poll.Number] = inFlightCall{endpoint: e, fence: poll.Fence}
	p.stats.Polls++
	p.actions = append(p.actions, poll)
}

// mayRenew reports whether a poll may renew the lease of the endpoint.
func (p *Pool) mayRenew(now time.Time, e *endpoint) bool {
	return e.pollFailures < maxRenewFailures && !now.Before(p.noRenewalUntil)
}

// maxRenewFailures is the number of unanswered polls in a row from which on
// polls do not renew the lease. Each of them might still reach the endpoint, so
// that the lease would never count as expired. It is above 1, since single
// answers get lost now and then.
const maxRenewFailures = 2

// HandlePollResult handles the result of a Poll.
func (p *Pool) HandlePollResult(now time.Time, result *PollResult) []Action {
	c, ok := p.inFlight[result.Call]
	delete(p.inFlight, result.Call)
	if !ok {
		return nil // the call belongs to an earlier activation
	}
	e := c.endpoint
	if e.pollCall == result.Call {
		e.pollCall = 0
		if e.pollIsProbe {
			e.pollIsProbe = false
			p.probesInFlight--
		}
	}
	switch result.Reply {
	case OK:
		p.applyPoll(now, e, result)
		if e.outbidding && !c.superseded() {
			p.handleAcquired(now, e)
		}
	case Fenced:
		if !c.superseded() {
			p.handleFenced(now, e)
		}
	default:
		p.stats.PollsFailed++
		e.pollFailures++
		e.unreliableUntil = now.Add(p.cfg.UnreliablePeriod)
		p.noteFailedPoll(now, e, result.Reply)
		if e.ownership == ownershipHeld {
			// Another owner may acquire it unnoticed.
			e.ownership = ownershipUnknown
		}
		e.nextPoll = now
		if e.pollFailures > 1 {
			e.nextPoll = now.Add(p.cfg.PollRetryDelay << min(e.pollFailures-2, 5))
		}
	}
	if p.active {
		p.maintain(now, e)
		if e.suspect != nil {
			p.startSuspects(now)
		}
		p.dispatchOn(now, e)
	}
	return p.flush()
}

// applyPoll updates an endpoint and its runs from the lists of a successful
// poll.
func (p *Pool) applyPoll(now time.Time, e *endpoint, result *PollResult) {
	switch {
	case result.Incarnation < e.lastIncarnation:
		return // a late answer from before a restart
	case e.lastIncarnation != result.Incarnation && e.lastIncarnation != 0:
		p.handleRestart(now, e, result)
		return
	}
	// Answers on different connections may arrive out of order.
	stale := result.Clock < e.clock
	e.lastIncarnation = result.Incarnation
	e.updateClock(now, result.Clock)
	if e.ownership != ownershipHeld {
		// Another owner may have renewed the lease until this poll was accepted.
		e.leaseUntil = max(e.leaseUntil, result.Clock+EndpointTime(p.cfg.LeaseMax.Milliseconds()))
	}
	e.ownership, e.fenceAccepted, e.pollFailures, e.fenceStep = ownershipHeld, true, 0, 0
	// A stale list is not read, so that it does not show what runs.
	if !stale && result.SentAt.After(e.polledAt) {
		e.polledAt = result.SentAt
	}
	e.nextPoll = now
	e.clearOutage()
	for _, end := range result.Ended {
		if end.Number > e.acknowledged {
			e.acknowledged = end.Number
			p.handleEnd(now, e, end)
		}
	}
	if stale {
		return
	}
	listed := make(map[runID]bool, len(result.Running))
	for _, row := range result.Running {
		id := runID{key: row.Key, run: row.Run}
		listed[id] = true
		r := e.findRun(id)
		if r == nil {
			p.addUnknownRun(now, e, id)
			continue
		}
		r.percent = row.Percent
		if r.phase == starting {
			r.phase, r.confirmedClock, r.startUnconfirmed = running, result.Clock, false
		}
	}
	p.stopUnconfirmed(e, result.SentAt, listed)
	p.removeMissingRuns(now, e, result.Clock, listed)
	p.rerunStalled(now, e)
}

// handleRestart handles the restart of an endpoint, which has ended its runs.
// After the restart, the endpoint has seen no fence and would carry out earlier
// calls that are still in flight; raising the fence makes it refuse them.
func (p *Pool) handleRestart(now time.Time, e *endpoint, result *PollResult) {
	// Starts in flight may have extended the lease after the restart.
	e.acknowledged, e.clock, e.leaseUntil = 0, 0, result.Clock+EndpointTime(p.cfg.LeaseMax.Milliseconds())
	e.ownership = ownershipUnknown
	p.raiseFence(e)
	listed := map[runID]bool{}
	for _, row := range result.Running {
		listed[runID{key: row.Key, run: row.Run}] = true
	}
	ended := slices.DeleteFunc(slices.Clone(e.runs), func(r *run) bool { return listed[r.id] })
	p.noteRestart(now, e, ended)
	for _, r := range e.runs {
		// A start in flight may have reached the restarted endpoint, so that
		// only a stop proves that the run is gone.
		r.confirmedClock = 0
		if !listed[r.id] {
			p.addRunEvent(now, EndpointRestarted, r)
			r.startUnconfirmed = true
			p.stop(r)
		}
	}
	e.updateClock(now, result.Clock)
	e.lastIncarnation, e.pollFailures, e.polledAt, e.nextPoll = result.Incarnation, 0, time.Time{}, now
}

// addUnknownRun adds a run that this owner did not start. It is adopted if its
// home has already placed the task, and stays unclaimed otherwise.
func (p *Pool) addUnknownRun(now time.Time, e *endpoint, id runID) {
	r := &run{id: id, endpoint: e, phase: running, knownSince: now}
	e.runs = append(e.runs, r)
	if e.unclaimed++; e.unclaimed == 1 {
		e.claimDeadline = now.Add(p.cfg.ClaimGrace + claimMargin)
	}
	p.runsByTask[id.key] = append(p.runsByTask[id.key], r)
	for _, t := range p.tasksOf(id.key) {
		t.nextRun = max(t.nextRun, id.run+1)
		t.noteRun()
		if t.run == nil && !r.claimed {
			p.waiting.remove(t)
			p.adopt(now, t, r)
		}
	}
}

// stopUnconfirmed stops the runs whose start was not answered if a later poll,
// which was sent at sentAt, does not list them. The stop prevents the start.
func (p *Pool) stopUnconfirmed(e *endpoint, sentAt time.Time, listed map[runID]bool) {
	for _, r := range e.runs {
		if r.phase == starting && r.startUnconfirmed && !listed[r.id] && !sentAt.Before(r.startUnconfirmedAt) {
			p.stop(r)
		}
	}
}

// removeMissingRuns removes the runs that the list should contain but does not.
// clock is the reading of the endpoint's clock when the list was made.
func (p *Pool) removeMissingRuns(now time.Time, e *endpoint, clock EndpointTime, listed map[runID]bool) {
	for _, r := range slices.Clone(e.runs) {
		if listed[r.id] || r.confirmedClock == 0 || clock <= r.confirmedClock {
			continue
		}
		switch {
		case r.phase == running, r.phase == stopping && r.stopConfirmed:
			p.loseRun(now, r, RunMissing)
		}
	}
}

// handleEnd handles one entry of the list of ended runs.
func (p *Pool) handleEnd(now time.Time, e *endpoint, end EndedRun) {
	r := e.findRun(runID{key: end.Key, run: end.Run})
	if r == nil {
		p.recordInherited(now, e, end)
		return
	}
	t := r.task
	runTime := now.Sub(r.knownSince)
	if t != nil && end.Reason != EndDone && end.Reason != EndFailed {
		p.addRunEvent(now, RunAborted, r)
	}
	p.removeRun(r)
	if end.Reason == EndDone && t != nil {
		e.health.clearFailures()
		p.recordRatio(e, t, runTime)
	}
	if t == nil {
		return
	}
	switch end.Reason {
	case EndDone:
		p.stats.Done++
		p.finishTask(t, job.TaskEnd{Run: end.Run, Outcome: job.Done, Endpoint: e.ID, RunTime: runTime})
	case EndFailed:
		p.stats.Failed++
		p.recordFailure(now, e)
		p.finishTask(t, job.TaskEnd{Run: end.Run, Outcome: job.Failed, Endpoint: e.ID, RunTime: runTime})
	default:
		p.stats.Lost++
		p.requeue(t)
	}
}

// recordRatio records the ratio of a task's run time to its estimate.
func (p *Pool) recordRatio(e *endpoint, t *task, runTime time.Duration) {
	n := &t.batch.needs
	if n.Estimate <= 0 {
		return
	}
	expected := float64(n.Estimate)
	if p.remote(t.batch, e) {
		expected *= p.cfg.RemoteFactor
	}
	ratio := float64(runTime) / expected
	e.slowdown.recordRatio(ratio)
	p.slowdownOfGroup(e).recordRatio(ratio)
}

// recordFailure records a failure of the endpoint and starts a cooldown if one
// is due.
func (p *Pool) recordFailure(now time.Time, e *endpoint) {
	if cooldown := e.health.countFailure(&p.cfg); cooldown > 0 {
		e.cooldownUntil = now.Add(cooldown)
	}
}

// pollNow sends a poll without a wait, in addition to a poll in flight.
func (p *Pool) pollNow(now time.Time, e *endpoint) {
	poll := Poll{Call: p.newCall(e), Acknowledged: e.acknowledged}
	if p.mayRenew(now, e) {
		poll.LeaseUntil = e.extendLease(now, p.cfg.LeaseMax)
	}
	p.inFlight[poll.Number] = inFlightCall{endpoint: e, fence: poll.Fence}
	p.stats.Polls++
	p.actions = append(p.actions, poll)
}
