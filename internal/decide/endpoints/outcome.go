package endpoints

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// OutcomeKind says how an attempt at an endpoint ended.
type OutcomeKind int

// The kinds of outcome.
const (
	// Succeeded: the endpoint answered with an output.
	Succeeded OutcomeKind = iota
	// Failed: the endpoint ran the task and reported a failure.
	Failed
	// Unknown: the connection ended, or was given up, before an answer.
	Unknown
	// Busy: the endpoint refused the task for want of a slot.
	Busy
	// Draining: the endpoint refused the task because it is leaving.
	Draining
	// Unreachable: no connection could be made.
	Unreachable
	// Cancelled: the instance gave the task up, because its caller did, its
	// deadline passed or another attempt was faster.
	Cancelled
)

// Outcome is the end of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// Took is the time from the start to the end of the attempt.
	Took time.Duration
	// Size is the task's declared size, or zero.
	Size float64
}

// Finish returns the slot that Pick or PickOther took at the endpoint process,
// and learns from the outcome. It returns false, and changes nothing, when no
// task was counted there.
func (p *Pool) Finish(now time.Time, id ident.EndpointID, incarnation ident.Incarnation, o Outcome) bool {
	p.advance(now)
	e := p.current[id]
	if e == nil || e.incarnation != incarnation {
		e = p.retired[process{id, incarnation}]
	}
	if e == nil || e.running == 0 {
		return false
	}
	e.running--
	if e.retired {
		if e.running == 0 {
			delete(p.retired, e.process)
		}
		return true
	}
	switch o.Kind {
	case Succeeded:
		e.refusals = 0
		p.learn(e, o)
		p.record(now, e, false)
	case Failed:
		p.learnBound(e, o)
		p.record(now, e, true)
	case Unknown:
		p.record(now, e, true)
	case Unreachable:
		p.record(now, e, true)
		p.backOff(now, e)
	case Busy:
		p.setOutside(now, e, max(e.slots()-e.running, 1))
		p.backOff(now, e)
	case Draining:
		e.draining = true
	case Cancelled:
		p.learnBound(e, o)
	}
	p.place(e)
	if o.Kind == Draining {
		p.limitEjected()
	}
	return true
}

// SetBusy takes what the endpoint itself answered about its state. What it has
// running beyond this instance's own tasks counts as outside load, so a new
// owner begins from the endpoint's own count. Zero slots mean unknown.
func (p *Pool) SetBusy(now time.Time, id ident.EndpointID, busy, slots int, draining bool) {
	p.advance(now)
	e := p.current[id]
	if e == nil {
		return
	}
	if slots > 0 {
		e.answered = slots
	}
	e.draining = draining
	p.setOutside(now, e, busy-e.running)
	p.place(e)
	p.advance(now)
	p.limitEjected()
}

// setOutside sets the load of other owners, and when one of its tasks should
// have ended. Nothing reports that end, so one slot at a time is tried again.
func (p *Pool) setOutside(now time.Time, e *endpoint, n int) {
	e.outside, e.outsideUntil = max(n, 0), time.Time{}
	if e.outside == 0 {
		return
	}
	step := seconds(p.model.estimate(0) * e.factor / float64(e.outside))
	e.outsideUntil = now.Add(min(max(step, p.cfg.BusyBackOff), p.cfg.BusyBackOffMax))
}

// backOff keeps e out of use for a while. Refusals of tasks that were in flight
// together count as one.
func (p *Pool) backOff(now time.Time, e *endpoint) {
	if !e.blockedUntil.IsZero() {
		return
	}
	d := doubled(p.cfg.BusyBackOff, e.refusals, p.cfg.BusyBackOffMax)
	e.refusals++
	e.blockedUntil = now.Add(d)
}

// doubled returns d doubled n times, at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

// learn takes the run time of a task that succeeded.
func (p *Pool) learn(e *endpoint, o Outcome) {
	slowness := p.model.slowness(o.Took, o.Size)
	p.model.learn(o.Took, o.Size, e.key)
	p.observe(e, slowness)
}

// learnBound takes the time of a task that did not succeed. The run time would
// have been at least that, so it counts only against the endpoint: fast
// failures say nothing about its speed, but a straggler whose tasks all miss
// their deadlines is recognised.
func (p *Pool) learnBound(e *endpoint, o Outcome) {
	if slowness := p.model.slowness(o.Took, o.Size); slowness > e.key {
		p.observe(e, slowness)
	}
	if p.model.p95 > 0 && o.Took > p.model.p95 {
		// Without these the percentile would sink with each hedge that wins.
		p.model.recordTime(o.Took)
	}
}

func (p *Pool) observe(e *endpoint, slowness float64) {
	e.speed.observe(slowness, math.Sqrt(p.model.noise), slowWeight)
	e.observed = true
	e.rekey(p.model.shrinkage())
}
