package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// HandleCallResult handles the result of a Start or Stop.
func (p *Pool) HandleCallResult(now time.Time, result *CallResult) []Action {
	p.handleCallResult(now, result)
	p.resumeHeldBack(now)
	return p.flush()
}

func (p *Pool) handleCallResult(now time.Time, result *CallResult) {
	c, ok := p.inFlight[result.Call]
	delete(p.inFlight, result.Call)
	if ok && !c.sentAt.IsZero() {
		p.observeStart(now, now.Sub(c.sentAt), result.Reply)
	}
	r := c.run
	if !ok || c.endpoint.findRun(r.id) != r {
		return
	}
	t := r.task
	if result.Clock > 0 && result.Clock > r.endpoint.clock {
		r.endpoint.updateClock(now, result.Clock)
	}
	if r.stopCall == result.Call {
		p.handleStopResult(now, r, result, c.superseded())
	} else {
		p.handleStartResult(now, r, result, c.superseded())
	}
	if t != nil && t.queued {
		p.dispatchNew(now, []*batch{t.batch})
	}
}

// observeStart records how long a start took to be answered or given up.
func (p *Pool) observeStart(now time.Time, took time.Duration, reply Reply) {
	p.startsInFlight--
	answered := reply != Unknown && reply != NotSent && reply != ConnectionRefused
	if answered {
		p.latency.observe(took)
	}
	if answered || took >= p.cfg.MinCallTimeout {
		p.window.Observe(now, took, answered, p.startsInFlight)
	}
}

func (p *Pool) handleStartResult(now time.Time, r *run, result *CallResult, superseded bool) {
	e, t := r.endpoint, r.task
	if t != nil && r.firstToRun && r.phase == starting && result.Reply.didNothing() {
		t.mayHaveRun = false
	}
	switch result.Reply {
	case OK:
		if r.phase == starting {
			r.phase = running
		}
		r.confirmedClock = max(r.confirmedClock, result.Clock)
		return
	case Unknown:
		// A poll shows whether the start was carried out. StartsRefused counts
		// it in any case.
		r.startUnconfirmed, r.startUnconfirmedAt = true, now
		p.stats.StartsRefused++
		if !p.window.Congested() || e.pollCall == 0 {
			p.pollNow(now, e)
		}
		return
	case Fenced:
		p.addRunEvent(now, Yielded, r)
		p.removeRun(r)
		if t != nil {
			p.requeue(t)
		}
		if !superseded {
			p.yieldEndpoint(now, e)
		}
		return
	}
	p.stats.StartsRefused++
	p.addRunEvent(now, StartRefused, r)
	p.removeRun(r)
	if result.Reply != OldRun && result.Reply != Late {
		e.cooldownUntil = now.Add(p.cfg.Cooldown)
		e.health.probation = true
	}
	if t == nil {
		return
	}
	if result.Reply == OldRun {
		t.nextRun += runNumberGap
	}
	t.refusals++
	if t.refusals >= maxStartRefusals {
		p.endUnserved(t, job.TaskEnd{Run: r.id.run, Endpoint: e.ID, RetryAfter: p.cfg.RetryAfter})
		return
	}
	p.requeue(t)
}

// stop sends a stop for a run. The run occupies its room until it is gone.
func (p *Pool) stop(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	p.sendStop(r)
}

func (p *Pool) sendStop(r *run) {
	e := r.endpoint
	c := p.newCall(e)
	r.stopCall = c.Number
	p.inFlight[c.Number] = inFlightCall{endpoint: e, run: r, fence: c.Fence}
	p.stats.Stops++
	p.actions = append(p.actions, Stop{Call: c, Key: r.id.key, Run: r.id.run})
}

func (p *Pool) handleStopResult(now time.Time, r *run, result *CallResult, superseded bool) {
	r.stopCall = 0
	e := r.endpoint
	switch result.Reply {
	case OK:
		r.stopConfirmed, r.confirmedClock = true, max(r.confirmedClock, result.Clock)
		if e.pollCall == 0 || r.startUnconfirmed {
			// If the run never started, it has no end that would make a waiting
			// poll return, so the endpoint is polled now.
			p.pollNow(now, e)
		}
	case Fenced:
		r.nextStop = now
		if !superseded {
			p.yieldEndpoint(now, e)
		}
	default:
		r.nextStop = now.Add(p.cfg.StopRetryDelay)
	}
}

const (
	// runNumberGap is added to the run number of a task after the reply OldRun:
	// the endpoint has ended this run or a later one, for example one for an
	// earlier home of the job.
	runNumberGap = 100
	// maxStartRefusals is the number of refused starts after which the owner
	// gives up a task.
	maxStartRefusals = 20
)
