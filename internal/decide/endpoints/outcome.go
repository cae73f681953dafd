package endpoints

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// OutcomeKind is the way in which an attempt at an endpoint ended.
type OutcomeKind int

// The kinds of outcome.
const (
	// Succeeded: the endpoint answered with an output.
	Succeeded OutcomeKind = iota
	// Failed: the endpoint ran the task and reported a failure.
	Failed
	// Unknown: the connection was lost or closed before an answer arrived.
	Unknown
	// Busy: the endpoint refused the task because it had no free slot.
	Busy
	// Draining: the endpoint refused the task because it is draining.
	Draining
	// Unreachable: no connection could be made.
	Unreachable
	// Cancelled: the instance cancelled the attempt because the caller
	// cancelled the task, its deadline passed or another attempt was faster.
	Cancelled
)

// Outcome describes how one attempt ended.
type Outcome struct {
	Kind OutcomeKind
	// Took is the time from the start to the end of the attempt.
	Took time.Duration
	// Size is the task's declared size, or zero if it is unknown.
	Size float64
}

// Finish frees the slot that Pick or PickHedge took at the endpoint process,
// and updates the health and the learned speed with the outcome. It returns
// false, and records nothing, when no running task is counted at that process.
func (p *Pool) Finish(now time.Time, id ident.EndpointID, incarnation ident.Incarnation, o Outcome) bool {
	p.advance(now)
	e := p.current[id]
	if e == nil || e.incarnation != incarnation {
		e = p.retired[endpointProcess{id, incarnation}]
	}
	if e == nil || e.running == 0 {
		return false
	}
	e.running--
	if e.retired {
		if e.running == 0 {
			delete(p.retired, e.endpointProcess)
		}
		return true
	}
	switch o.Kind {
	case Succeeded:
		e.backOffs = 0
		p.learn(e, o)
		p.recordOutcome(now, e, false)
	case Failed:
		p.learnLowerBound(e, o)
		p.recordOutcome(now, e, true)
	case Unknown:
		p.recordOutcome(now, e, true)
	case Unreachable:
		p.recordOutcome(now, e, true)
		p.backOff(now, e)
	case Busy:
		// The endpoint refused the task, so other owners use at least one slot.
		p.setExternalLoad(now, e, max(e.slots()-e.running, 1))
		p.backOff(now, e)
	case Draining:
		e.draining = true
	case Cancelled:
		p.learnLowerBound(e, o)
	}
	p.update(e)
	if o.Kind == Draining {
		p.limitEjected()
	}
	return true
}

// SetReportedStatus records the status that the endpoint itself reported: its
// busy slots, its total slots (zero if unknown) and whether it is draining.
// Busy slots beyond the tasks of this pool count as load of other owners, so
// that a new owner starts with the endpoint's own count.
func (p *Pool) SetReportedStatus(now time.Time, id ident.EndpointID, busy, slots int, draining bool) {
	p.advance(now)
	e := p.current[id]
	if e == nil {
		return
	}
	if slots > 0 {
		e.reportedSlots = slots
	}
	e.draining = draining
	p.setExternalLoad(now, e, busy-e.running)
	p.update(e)
	// Apply changes that became due while the endpoint was draining.
	p.advance(now)
	p.limitEjected()
}

// setExternalLoad records that other owners use n slots of e, and estimates
// when the first of their tasks ends. No message reports that end, so advance
// then assumes one slot fewer, which Pick may try again.
func (p *Pool) setExternalLoad(now time.Time, e *endpoint, n int) {
	e.external, e.externalDecreaseAt = max(n, 0), time.Time{}
	if e.external == 0 {
		return
	}
	step := boundedDuration(p.model.estimate(0) * e.runTimeFactor / float64(e.external))
	e.externalDecreaseAt = now.Add(min(max(step, p.cfg.BusyBackOff), p.cfg.BusyBackOffMax))
}

// backOff starts a back-off, during which e gets no tasks. A further refusal
// during a back-off does not extend it, so several tasks refused together cause
// one back-off.
func (p *Pool) backOff(now time.Time, e *endpoint) {
	if !e.backOffUntil.IsZero() {
		return
	}
	d := doubled(p.cfg.BusyBackOff, e.backOffs, p.cfg.BusyBackOffMax)
	e.backOffs++
	e.backOffUntil = now.Add(d)
}

// doubled returns d doubled n times, but at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

// learn updates the model and the speed of e with the run time of a task that
// succeeded.
func (p *Pool) learn(e *endpoint, o Outcome) {
	observedSlowness := p.model.observedSlowness(o.Took, o.Size)
	p.model.learn(o.Took, o.Size, e.slowness)
	p.observe(e, observedSlowness)
}

// learnLowerBound updates the speed of e with the time spent on a task that did
// not succeed. That time is a lower bound of the run time, so it changes the
// speed only if it is longer than expected at e. Fast failures thus say nothing
// about the speed, but a straggler whose tasks all miss their deadlines is
// recognised. The time is added to the recorded run times only if it is above
// the 95th percentile.
func (p *Pool) learnLowerBound(e *endpoint, o Outcome) {
	if observedSlowness := p.model.observedSlowness(o.Took, o.Size); observedSlowness > e.slowness {
		p.observe(e, observedSlowness)
	}
	if p.model.p95 > 0 && o.Took > p.model.p95 {
		// Without these times, each hedge that finishes first would lower the
		// percentile, since the long run time of the first attempt would be
		// missing.
		p.model.recordRunTime(o.Took)
	}
}

// observe adds an observed slowness to the average of e.
func (p *Pool) observe(e *endpoint, slowness float64) {
	e.slownessAverage.observe(slowness, math.Sqrt(p.model.noise), slowWeight)
	e.observedSinceRefresh = true
	e.updateSlowness(p.model.shrinkage())
}
