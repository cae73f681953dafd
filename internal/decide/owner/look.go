package owner

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// lookAt renews the lease of an endpoint and asks for its lists.
func (p *Pool) lookAt(now time.Time, e *endpoint) {
	wait := p.cfg.LookWait
	if e.hold == foreign {
		p.raise(e)
	}
	switch {
	case e.hold != held || e.failures > 0:
		wait = 0
	case len(e.runs) == 0:
		wait = p.cfg.IdleWait
	case now.Before(e.unsteadyUntil):
		wait = min(wait, p.cfg.UnsteadyWait+time.Duration(p.unsteady)*p.cfg.UnsteadyStep)
	}
	look := Look{Call: p.call(e), Acknowledged: e.acknowledged, Wait: wait}
	if e.clock > 0 && e.failures < renewFailures {
		look.Until = e.leaseEnd(now, p.cfg.LeaseMax)
	}
	e.look = look.Number
	if e.hold != held {
		e.probe = true
		p.probes++
	}
	p.calls[look.Number] = pending{endpoint: e, fence: look.Fence}
	p.stats.Looks++
	p.out = append(p.out, look)
}

// renewFailures is the number of looks without an answer, one after the other,
// from which on a look renews no lease: each might reach the endpoint, so that
// its runs would never count as ended. A single answer gets lost now and then.
const renewFailures = 2

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
		if e.probe {
			e.probe = false
			p.probes--
		}
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
	if p.active {
		p.tend(now, e)
		p.dispatchOn(now, e)
	}
	return p.flush()
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
	p.miss(now, e, l.Clock, listed)
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
			p.note(now, Reborn, r)
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
func (p *Pool) miss(now time.Time, e *endpoint, clock Moment, listed map[runID]bool) {
	for _, r := range slices.Clone(e.runs) {
		if listed[r.id] || r.mark == 0 || clock <= r.mark {
			continue
		}
		switch {
		case r.phase == running, r.phase == stopping && r.stopped:
			p.lose(now, r, Vanished)
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
	if t != nil && end.How != EndDone && end.How != EndFailed {
		p.note(now, Broken, r)
	}
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
	p.likeSpeed(e).learn(ratio)
}

// rest pauses an endpoint that fails what it starts.
func (p *Pool) rest(now time.Time, e *endpoint) {
	if d := e.health.fail(&p.cfg); d > 0 {
		e.restUntil = now.Add(d)
	}
}

// glance looks at an endpoint at once, beside a look that waits.
func (p *Pool) glance(now time.Time, e *endpoint) {
	look := Look{Call: p.call(e), Acknowledged: e.acknowledged}
	if e.failures < renewFailures {
		look.Until = e.leaseEnd(now, p.cfg.LeaseMax)
	}
	p.calls[look.Number] = pending{endpoint: e, fence: look.Fence}
	p.stats.Looks++
	p.out = append(p.out, look)
}
