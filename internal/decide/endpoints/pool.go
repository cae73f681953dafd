// Package endpoints decides which endpoint of a service gets the next task. It
// counts running tasks exactly, learns run times, and takes endpoints that
// fail, drain or leave out of use.
package endpoints

import (
	"math"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Pool holds the endpoints of one service that this instance owns. It is not
// safe for concurrent use. Times passed to its methods should not decrease; an
// earlier time changes no state by itself.
type Pool struct {
	cfg   Config
	model model
	// current holds the newest process of each owned endpoint, ordered the
	// same sorted by id. retired holds earlier processes with running tasks.
	current map[ident.EndpointID]*endpoint
	ordered []*endpoint
	retired map[process]*endpoint
	// listing counts the calls of SetOwned.
	listing uint64
	// ready holds the endpoints with a free slot, reserve those among them to
	// be used only when ready is empty.
	ready, reserve, timers heap
	total                  share
	// keys is scratch space for refresh.
	keys      []float64
	refreshed time.Time
}

// NewPool returns a pool without endpoints for a service whose tasks are
// expected to run for about the given time. The thresholds must be valid.
func NewPool(cfg Config, expected time.Duration) *Pool {
	p := &Pool{
		cfg:     cfg,
		current: map[ident.EndpointID]*endpoint{},
		retired: map[process]*endpoint{},
		ready:   heap{less: before, kind: inChoice},
		reserve: heap{less: beforeReserve, kind: inChoice},
		timers:  heap{less: wakesBefore, kind: inTimers},
	}
	p.model = newModel(&p.cfg, expected)
	return p
}

// SetExpected replaces the expected run time, which matters until enough is
// observed.
func (p *Pool) SetExpected(d time.Duration) { p.model.setExpected(d) }

// SetOwned replaces the owned endpoints. Endpoints that are missing or leaving
// get no new work; their running tasks stay counted until they finish. A
// higher incarnation of an endpoint starts afresh. A lower one than known is
// ignored, since the platform's list lags.
func (p *Pool) SetOwned(now time.Time, owned []work.Instance) {
	p.advance(now)
	p.listing++
	for _, row := range owned {
		p.own(row)
	}
	for _, e := range p.ordered {
		if e.listed != p.listing && !e.retired {
			p.retire(e)
		}
	}
	p.ordered = p.ordered[:0]
	for _, e := range p.current {
		p.ordered = append(p.ordered, e)
	}
	slices.SortFunc(p.ordered, func(a, b *endpoint) int {
		return strings.Compare(string(a.id), string(b.id))
	})
	p.refresh(now)
	// Changes that fell due while an endpoint was leaving or not owned.
	p.advance(now)
	p.limitEjected()
	p.ejectDue(now)
}

// own takes one row of the owned set.
func (p *Pool) own(row work.Instance) {
	id := ident.EndpointID(row.ID)
	e := p.current[id]
	if e != nil && row.Incarnation < e.incarnation {
		e.listed = p.listing
		return
	}
	if e != nil && row.Incarnation > e.incarnation {
		p.retire(e)
		e = nil
	}
	if e == nil {
		name := process{id, row.Incarnation}
		if e = p.retired[name]; e != nil {
			delete(p.retired, name)
			e.retired = false
		} else {
			e = &endpoint{process: name, factor: 1, limit: math.Inf(1)}
		}
		p.current[id] = e
	}
	e.row, e.listed = row, p.listing
	p.place(e)
}

// retire takes a process out of the owned set.
func (p *Pool) retire(e *endpoint) {
	e.retired = true
	delete(p.current, e.id)
	if e.running > 0 {
		p.retired[e.process] = e
	}
	p.place(e)
}

// Choice is an endpoint with a slot taken for a task.
type Choice struct {
	Endpoint work.Instance
	// Estimate is the estimated run time of the task there.
	Estimate time.Duration
	// Progress is the time after the start at which a task still in flight
	// should be checked on.
	Progress time.Duration
}

// Pick takes a slot on the free endpoint with the lowest estimated completion
// time. Size is the task's declared size, or zero. It returns false when no
// slot is free, or when waiting for a faster endpoint is better; the next try
// is then due after a Finish or at NextChange.
func (p *Pool) Pick(now time.Time, size float64) (Choice, bool) {
	p.advance(now)
	e := p.ready.top()
	if e == nil {
		e = p.pickReserve(now, size)
	}
	return p.take(e, size)
}

// PickOther is Pick for a hedge, on another endpoint than the named one. It
// takes no slot of a straggler or a failing endpoint, where a hedge would
// gain nothing.
func (p *Pool) PickOther(now time.Time, size float64, not ident.EndpointID) (Choice, bool) {
	p.advance(now)
	return p.take(p.ready.topExcept(p.current[not]), size)
}

// take counts a task at e, which may be nil.
func (p *Pool) take(e *endpoint, size float64) (Choice, bool) {
	if e == nil {
		return Choice{}, false
	}
	e.running++
	p.place(e)
	estimate := p.model.estimate(size) * e.factor
	p.model.sawSize(size)
	progress := seconds(estimate * p.cfg.ProgressFactor)
	return Choice{
		Endpoint: e.row,
		Estimate: seconds(estimate),
		Progress: max(progress, p.cfg.ProgressMin),
	}, true
}

// pickReserve returns the endpoint to use when no first-choice slot is free, or
// nil. Failing endpoints free their slots fast, and would take the whole queue
// while others are merely full, so they are used only when there are no
// others. A straggler is used when the task would end there earlier than at a
// typical endpoint after the wait for the next slot.
func (p *Pool) pickReserve(now time.Time, size float64) *endpoint {
	e := p.reserve.top()
	if e == nil || p.total.firstSlots == 0 {
		return e
	}
	if e.failing {
		return nil
	}
	mean := p.model.estimate(size)
	wait := math.Inf(1)
	if p.total.busyRate > minRate {
		wait = p.model.estimate(0) / p.total.busyRate
	}
	if next := p.timers.top(); next != nil {
		wait = min(wait, next.wake().Sub(now).Seconds())
	}
	typical := float64(p.total.firstSlots) / p.total.firstRate
	if wait+mean*typical <= mean*e.factor {
		return nil
	}
	return e
}

// minRate is a rate below any that a slot contributes; sums of rates that
// should be zero may be off by rounding.
const minRate = 1e-9

// place brings totals and heaps up to date after a change of e.
func (p *Pool) place(e *endpoint) {
	p.total.add(&e.share, -1)
	e.share = e.shareNow()
	p.total.add(&e.share, 1)
	free := e.free() > 0
	second := e.second()
	// An endpoint must leave one heap before it enters the other, because both
	// keep its position in the same place.
	if second {
		p.ready.set(e, false)
		p.reserve.set(e, free)
	} else {
		p.reserve.set(e, false)
		p.ready.set(e, free)
	}
	p.timers.set(e, !e.wake().IsZero())
}

// advance brings the state up to the time: back-offs and ejections end,
// learned values age.
func (p *Pool) advance(now time.Time) {
	for e := p.timers.top(); e != nil && !e.wake().After(now); e = p.timers.top() {
		p.wakeUp(now, e)
	}
	if now.Sub(p.refreshed) >= p.cfg.RefreshInterval {
		p.refresh(now)
	}
}

// wakeUp applies the changes of e that are due.
func (p *Pool) wakeUp(now time.Time, e *endpoint) {
	due := func(t time.Time) bool { return !t.IsZero() && !t.After(now) }
	if due(e.blockedUntil) {
		e.blockedUntil = time.Time{}
	}
	if due(e.outsideUntil) {
		p.setOutside(now, e, e.outside-1)
	}
	released := e.phase == ejected && due(e.until)
	if released {
		p.release(e)
	}
	p.place(e)
	if released {
		p.ejectDue(now)
	}
}

// refresh computes everything that depends on all endpoints again.
func (p *Pool) refresh(now time.Time) {
	if !p.refreshed.IsZero() {
		aged := math.Exp2(-now.Sub(p.refreshed).Seconds() / p.cfg.SpeedHalfLife.Seconds())
		for _, e := range p.ordered {
			if !e.observed {
				e.speed.n *= min(aged, 1)
			}
			e.observed = false
		}
	}
	p.refreshed = now
	p.model.refresh()
	p.centre()
	shrinkage := p.model.shrinkage()
	p.keys = p.keys[:0]
	for _, e := range p.ordered {
		e.rekey(shrinkage)
		if e.member() {
			p.keys = append(p.keys, e.key)
		}
	}
	slices.Sort(p.keys)
	margin := -math.Log(p.cfg.StragglerSpeed)
	p.ready.clear()
	p.reserve.clear()
	p.total = share{}
	for _, e := range p.ordered {
		e.limit = math.Inf(1)
		if e.member() && len(p.keys) > 1 {
			e.limit = medianWithout(p.keys, e.key) + margin
		}
		e.share = share{}
		p.place(e)
	}
}

// centre moves the median of the observed speeds to 1, and the difference into
// the service's run time. A change of all endpoints alike would otherwise stay
// in their speeds and favour those that were not observed.
func (p *Pool) centre() {
	p.keys = p.keys[:0]
	for _, e := range p.ordered {
		if e.speed.n > 0 {
			p.keys = append(p.keys, e.speed.slow)
		}
	}
	if len(p.keys) == 0 {
		return
	}
	slices.Sort(p.keys)
	// The lower median keeps endpoints that were not observed, which count as 1,
	// from looking slow beside a single fast one.
	d := p.keys[(len(p.keys)-1)/2]
	p.model.work.shift(d)
	for _, e := range p.ordered {
		if e.speed.n > 0 {
			e.speed.shift(-d)
		}
	}
}

// medianWithout returns the median of the sorted keys with one of them, which
// must be present, left out.
func medianWithout(keys []float64, key float64) float64 {
	out, _ := slices.BinarySearch(keys, key)
	at := func(i int) float64 {
		if i >= out {
			i++
		}
		return keys[i]
	}
	n := len(keys) - 1
	return (at((n-1)/2) + at(n/2)) / 2
}
