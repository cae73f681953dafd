package owner

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Looked takes the result of a Look.
func (p *Pool) Looked(now time.Time, l *Looked) []Action {
	c, ok := p.calls[l.Call]
	delete(p.calls, l.Call)
	if !ok {
		return nil // of an earlier activation
	}
	e := c.endpoint
	if e.look == l.Call {
		e.look = 0
	}
	switch l.Reply {
	case OK:
		p.accept(now, e, l)
	case Fenced:
		if !c.overtaken() {
			p.fenced(now, e)
		}
	default:
		p.stats.LooksFailed++
		e.failures++
		e.unsteadyUntil = now.Add(p.cfg.UnsteadyTime)
		if e.hold == held {
			// Another owner may take it over unnoticed.
			e.hold = unseen
		}
		e.nextLook = now
		if e.failures > 1 {
			e.nextLook = now.Add(p.cfg.LookRetry << min(e.failures-2, 5))
		}
	}
	return p.Tick(now)
}

// accept takes the lists of an endpoint.
func (p *Pool) accept(now time.Time, e *endpoint, l *Looked) {
	switch {
	case l.Born < e.seenBorn:
		return // a late answer of an earlier life
	case e.seenBorn != l.Born && e.seenBorn != 0:
		p.restart(now, e, l)
		return
	}
	// Answers on different connections overtake each other.
	stale := l.Clock < e.clock
	e.seenBorn = l.Born
	e.read(now, l.Clock)
	e.hold, e.owned, e.failures, e.climb = held, true, 0, 0
	if l.Sent.After(e.seenAt) {
		e.seenAt = l.Sent
	}
	e.nextLook = now
	for _, end := range l.Ended {
		if end.Number > e.acknowledged {
			e.acknowledged = end.Number
			p.ended(now, e, end)
		}
	}
	if stale {
		return
	}
	listed := make(map[runID]bool, len(l.Running))
	for _, row := range l.Running {
		id := runID{key: row.Key, run: row.Run}
		listed[id] = true
		r := e.find(id)
		if r == nil {
			p.discover(now, e, id)
			continue
		}
		r.percent = row.Percent
		if r.phase == starting {
			r.phase, r.mark, r.doubted = running, l.Clock, false
		}
	}
	p.settle(e, l.Sent, listed)
	p.miss(e, l.Clock, listed)
	p.restartStalled(now, e)
}

// restart takes note that the endpoint lives anew and runs nothing of before.
// Its new life has seen no fence, so that orders to the old one that are still
// on their way would be carried out; a higher fence refuses them.
func (p *Pool) restart(now time.Time, e *endpoint, l *Looked) {
	// Starts on their way may have extended the lease of the new life.
	e.acknowledged, e.clock, e.until = 0, 0, l.Clock+Moment(p.cfg.LeaseMax.Milliseconds())
	e.hold = unseen
	p.raise(e)
	listed := map[runID]bool{}
	for _, row := range l.Running {
		listed[runID{key: row.Key, run: row.Run}] = true
	}
	for _, r := range e.runs {
		// A start may have reached the new life, so that only a stop makes sure.
		r.mark = 0
		if !listed[r.id] {
			r.doubted = true
			p.stop(r)
		}
	}
	e.read(now, l.Clock)
	e.seenBorn, e.failures, e.seenAt, e.nextLook = l.Born, 0, time.Time{}, now
}

// discover adds a run that this owner did not start. It is adopted when its home
// has placed it, and otherwise waits for that.
func (p *Pool) discover(now time.Time, e *endpoint, id runID) {
	r := &run{id: id, endpoint: e, phase: running, began: now}
	e.runs = append(e.runs, r)
	if e.unclaimed++; e.unclaimed == 1 {
		e.claimBy = now.Add(p.cfg.AdoptWait + claimMargin)
	}
	p.present[id.key] = append(p.present[id.key], r)
	for _, b := range p.jobs[id.key.Job] {
		t := b.tasks[id.key.Index]
		if b.step != id.key.Step || t == nil || id.key.Occurrence != 0 {
			continue
		}
		t.nextRun = max(t.nextRun, id.run+1)
		if t.run == nil {
			p.dequeue(t)
			p.adopt(now, t, r)
		}
		return
	}
}

// settle stops the runs whose starts got no answer and that a list since then
// does not show, so that they never start.
func (p *Pool) settle(e *endpoint, sent time.Time, listed map[runID]bool) {
	for _, r := range e.runs {
		if r.phase == starting && r.doubted && !listed[r.id] && !sent.Before(r.doubtedAt) {
			p.stop(r)
		}
	}
}

// miss removes the runs that a list of the endpoint's time clock should show
// and does not.
func (p *Pool) miss(e *endpoint, clock Moment, listed map[runID]bool) {
	for _, r := range slices.Clone(e.runs) {
		if listed[r.id] || r.mark == 0 || clock <= r.mark {
			continue
		}
		switch {
		case r.phase == running, r.phase == stopping && r.stopped:
			p.lose(r)
		}
	}
}

// ended takes one end of a list.
func (p *Pool) ended(now time.Time, e *endpoint, end Ended) {
	r := e.find(runID{key: end.Key, run: end.Run})
	if r == nil {
		p.inherit(now, e, end)
		return
	}
	t := r.task
	ran := now.Sub(r.began)
	p.remove(r)
	if end.How == EndDone && t != nil {
		e.health.succeed()
		p.learn(e, t, ran)
	}
	if t == nil {
		return
	}
	switch end.How {
	case EndDone:
		p.stats.Done++
		p.finish(t, job.End{Run: end.Run, Outcome: job.Done, Endpoint: e.ID, Ran: ran})
	case EndFailed:
		p.stats.Failed++
		p.rest(now, e)
		p.finish(t, job.End{Run: end.Run, Outcome: job.Failed, Endpoint: e.ID, Ran: ran})
	default:
		p.stats.Lost++
		p.requeue(t)
	}
}

// learn takes the run time of a task.
func (p *Pool) learn(e *endpoint, t *task, ran time.Duration) {
	n := &t.batch.needs
	if n.Estimate <= 0 {
		return
	}
	expected := float64(n.Estimate)
	if p.far(t.batch, e) {
		expected *= p.cfg.FarFactor
	}
	ratio := float64(ran) / expected
	e.speed.learn(ratio)
	p.kindOf(e).learn(ratio)
}

// rest pauses an endpoint that fails what it starts.
func (p *Pool) rest(now time.Time, e *endpoint) {
	if d := e.health.fail(&p.cfg); d > 0 {
		e.restUntil = now.Add(d)
	}
}

// fenced takes note that a look was refused. An endpoint that this owner did
// not hold yet may only remember an owner that is gone.
func (p *Pool) fenced(now time.Time, e *endpoint) {
	if e.hold == unseen && !e.owned && e.climb < maxClimb {
		p.raise(e)
		e.nextLook = now
		return
	}
	p.yield(now, e)
}

// maxClimb bounds the epochs by which a fence rises at once.
const maxClimb = 1 << 16

// yield leaves an endpoint to another owner for a while. That owner stops its
// runs unless their homes claim them. Homes may have gone over to it, which
// their pulses, or the lack of them, tell soon.
func (p *Pool) yield(now time.Time, e *endpoint) {
	p.stats.Fenced++
	if e.hold == foreign {
		return
	}
	e.hold, e.seenAt = foreign, time.Time{}
	e.nextLook = now.Add(p.cfg.ForeignWait)
	p.Hesitate(now)
	for _, r := range slices.Clone(e.runs) {
		if t := r.task; t != nil {
			p.remove(r)
			t.handed = now
			p.requeue(t)
			continue
		}
		p.remove(r)
	}
}

// Hesitate delays the tasks that wait, since their homes may have gone over to
// another owner.
func (p *Pool) Hesitate(now time.Time) {
	for _, t := range p.waiting {
		t.notBefore = now.Add(p.cfg.YieldWait)
	}
}

// Answered takes the result of a Start or Stop.
func (p *Pool) Answered(now time.Time, a *Answered) []Action {
	c, ok := p.calls[a.Call]
	delete(p.calls, a.Call)
	r := c.run
	if !ok || c.endpoint.find(r.id) != r {
		return nil
	}
	if a.Clock > 0 && a.Clock > r.endpoint.clock {
		r.endpoint.read(now, a.Clock)
	}
	if r.stopCall == a.Call {
		p.stopAnswered(now, r, a, c.overtaken())
	} else {
		p.startAnswered(now, r, a, c.overtaken())
	}
	p.dispatch(now)
	return p.flush()
}

func (p *Pool) startAnswered(now time.Time, r *run, a *Answered, overtaken bool) {
	e, t := r.endpoint, r.task
	if t != nil && (a.Reply == OK || a.Reply == Unknown) {
		t.ran = true
	}
	switch a.Reply {
	case OK:
		if r.phase == starting {
			r.phase = running
		}
		r.mark = max(r.mark, a.Clock)
		return
	case Unknown:
		// A look tells whether it was carried out.
		r.doubted, r.doubtedAt = true, now
		p.stats.StartsRefused++
		p.glance(now, e)
		return
	case Fenced:
		p.remove(r)
		if t != nil {
			p.requeue(t)
		}
		if !overtaken {
			p.yield(now, e)
		}
		return
	}
	p.stats.StartsRefused++
	p.remove(r)
	if a.Reply != OldRun && a.Reply != Late {
		e.restUntil = now.Add(p.cfg.Cooldown)
		e.health.trial = true
	}
	if t == nil {
		return
	}
	if a.Reply == OldRun {
		t.nextRun += runsAfterOld
	}
	t.tries++
	if t.tries >= maxTries {
		p.finish(t, job.End{Run: r.id.run, Outcome: job.Refused, Endpoint: e.ID, RetryAfter: p.cfg.RetryAfter})
		return
	}
	p.requeue(t)
}

const (
	// runsAfterOld is how far the number of a run rises when an endpoint knows
	// a later one, which an earlier home of the job started.
	runsAfterOld = 100
	// maxTries bounds the starts of one task that endpoints refuse.
	maxTries = 20
)

// stop ends a run. It occupies its room until it is gone.
func (p *Pool) stop(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	p.sendStop(r)
}

func (p *Pool) sendStop(r *run) {
	e := r.endpoint
	c := p.call(e)
	r.stopCall = c.Number
	p.calls[c.Number] = pending{endpoint: e, run: r, fence: c.Fence}
	p.stats.Stops++
	p.out = append(p.out, Stop{Call: c, Key: r.id.key, Run: r.id.run})
}

func (p *Pool) stopAnswered(now time.Time, r *run, a *Answered, overtaken bool) {
	r.stopCall = 0
	e := r.endpoint
	switch a.Reply {
	case OK:
		r.stopped, r.mark = true, max(r.mark, a.Clock)
		if e.look == 0 || r.doubted {
			// A run that never started has no end that a look could wait for.
			p.glance(now, e)
		}
	case Fenced:
		r.nextStop = now
		if !overtaken {
			p.yield(now, e)
		}
	default:
		r.nextStop = now.Add(p.cfg.StopRetry)
	}
}

// glance looks at an endpoint at once, beside a look that waits.
func (p *Pool) glance(now time.Time, e *endpoint) {
	look := Look{Call: p.call(e), Acknowledged: e.acknowledged, Until: e.leaseEnd(now, p.cfg.LeaseMax)}
	p.calls[look.Number] = pending{endpoint: e, fence: look.Fence}
	p.stats.Looks++
	p.out = append(p.out, look)
}
