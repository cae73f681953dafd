// Package endpoints selects the endpoint of a service that runs the next task.
// It counts the running tasks of each endpoint, learns their speeds from run
// times, ejects endpoints with too many failures, and stops using those that
// drain or leave.
//
// An endpoint is a server that runs tasks of one service, one in each of its
// slots. Its owners are the instances that send tasks to it; other owners than
// this one use an unknown part of its slots, the external load. An endpoint is
// failing while it should be ejected but the limit of ejected endpoints does
// not allow it. A straggler is an endpoint that is much slower than the others.
// Preferred endpoints are neither failing nor stragglers; the others are the
// reserve, which may be used only when no preferred one has a free slot.
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
// safe for concurrent use. Times passed to its methods should not decrease. An
// earlier time than before ends no ejection or back-off.
type Pool struct {
	cfg   Config
	model model
	// current holds the newest process of each owned endpoint, and ordered the
	// same processes sorted by id. retired holds processes that were replaced
	// or are no longer owned, while they have running tasks.
	current map[ident.EndpointID]*endpoint
	ordered []*endpoint
	retired map[endpointProcess]*endpoint
	// generation is the number of calls of SetOwned so far.
	generation uint64
	// preferred holds the preferred endpoints with a free slot. reserve holds
	// the stragglers and failing endpoints with a free slot, which are used
	// only when preferred is empty. timers holds the endpoints with a pending
	// change, the earliest first.
	preferred, reserve, timers heap
	// total is the sum of the contributions of the owned endpoints.
	total contribution
	// sortBuffer is a buffer for sorting that refresh and centreSpeeds reuse.
	sortBuffer []float64
	// refreshed is the time of the last refresh.
	refreshed time.Time
}

// NewPool returns a pool without endpoints for a service whose tasks are
// expected to run for about the given time. The configuration must be valid.
func NewPool(cfg Config, expected time.Duration) *Pool {
	p := &Pool{
		cfg:       cfg,
		current:   map[ident.EndpointID]*endpoint{},
		retired:   map[endpointProcess]*endpoint{},
		preferred: heap{less: lessByCompletion, kind: choiceHeap},
		reserve:   heap{less: lessReserve, kind: choiceHeap},
		timers:    heap{less: lessNextChange, kind: timerHeap},
	}
	p.model = newModel(&p.cfg, expected)
	return p
}

// SetExpected replaces the expected run time, which affects estimates until
// enough run times are observed.
func (p *Pool) SetExpected(d time.Duration) { p.model.setExpected(d) }

// SetOwned replaces the set of owned endpoints. Endpoints that are missing from
// owned or leaving get no new tasks, but their running tasks are counted until
// they finish. A higher incarnation of an endpoint starts without history. A
// lower incarnation than the known one is ignored, since the platform's list
// may be out of date.
func (p *Pool) SetOwned(now time.Time, owned []work.Instance) {
	p.advance(now)
	p.generation++
	for _, instance := range owned {
		p.setOwnedEndpoint(instance)
	}
	for _, e := range p.ordered {
		if e.ownedGeneration != p.generation && !e.retired {
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
	// Apply changes that became due while an endpoint was leaving or not owned.
	p.advance(now)
	p.limitEjected()
	p.ejectFailing(now)
}

// setOwnedEndpoint adds or updates the endpoint of one entry of the owned set.
func (p *Pool) setOwnedEndpoint(instance work.Instance) {
	id := ident.EndpointID(instance.ID)
	e := p.current[id]
	if e != nil && instance.Incarnation < e.incarnation {
		e.ownedGeneration = p.generation
		return
	}
	if e != nil && instance.Incarnation > e.incarnation {
		p.retire(e)
		e = nil
	}
	if e == nil {
		newest := endpointProcess{id, instance.Incarnation}
		if e = p.retired[newest]; e != nil {
			delete(p.retired, newest)
			e.retired = false
		} else {
			e = &endpoint{endpointProcess: newest, runTimeFactor: 1, stragglerLimit: math.Inf(1)}
		}
		p.current[id] = e
	}
	e.instance, e.ownedGeneration = instance, p.generation
	p.update(e)
}

// retire removes a process from the owned set, and keeps it in p.retired while
// it has running tasks.
func (p *Pool) retire(e *endpoint) {
	e.retired = true
	delete(p.current, e.id)
	if e.running > 0 {
		p.retired[e.endpointProcess] = e
	}
	p.update(e)
}

// Choice is the endpoint on which a slot was taken for a task.
type Choice struct {
	Endpoint work.Instance
	// Estimate is the estimated run time of the task on this endpoint.
	Estimate time.Duration
	// CheckAfter is the time after the start at which the endpoint should be
	// asked about the task if it is still in flight.
	CheckAfter time.Duration
}

// Pick takes a slot on the endpoint with the lowest estimated completion time
// among those with a free slot. The size is the task's declared size, or zero
// if it is unknown. Pick returns false when no slot is free, or when the task
// is expected to end earlier if it waits for a faster endpoint. Call it again
// after a Finish or at NextChange.
func (p *Pool) Pick(now time.Time, size float64) (Choice, bool) {
	p.advance(now)
	e := p.preferred.top()
	if e == nil {
		e = p.pickFromReserve(now, size)
	}
	return p.takeSlot(e, size)
}

// PickHedge is like Pick, but for a hedge: it excludes the endpoint that runs
// the first attempt. It also excludes stragglers and failing endpoints, on
// which a hedge would gain nothing.
func (p *Pool) PickHedge(now time.Time, size float64, excluded ident.EndpointID) (Choice, bool) {
	p.advance(now)
	return p.takeSlot(p.preferred.topExcept(p.current[excluded]), size)
}

// takeSlot takes a slot on e for a task of the declared size. It returns false
// when e is nil.
func (p *Pool) takeSlot(e *endpoint, size float64) (Choice, bool) {
	if e == nil {
		return Choice{}, false
	}
	e.running++
	p.update(e)
	estimate := p.model.estimate(size) * e.runTimeFactor
	p.model.recordSize(size)
	checkAfter := boundedDuration(estimate * p.cfg.ProgressFactor)
	return Choice{
		Endpoint:   e.instance,
		Estimate:   boundedDuration(estimate),
		CheckAfter: max(checkAfter, p.cfg.ProgressMin),
	}, true
}

// pickFromReserve returns the endpoint to use when no preferred endpoint has a
// free slot, or nil if waiting is better. Failing endpoints are used only when
// there are no preferred ones: their slots become free fast, so they would take
// the whole queue while the other endpoints are merely full. A straggler is
// used when the task would end there earlier than after the wait for the next
// slot of a preferred endpoint, which is taken to have the mean speed of the
// preferred ones.
func (p *Pool) pickFromReserve(now time.Time, size float64) *endpoint {
	e := p.reserve.top()
	if e == nil || p.total.preferredSlots == 0 {
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
		wait = min(wait, next.nextChange().Sub(now).Seconds())
	}
	preferredFactor := float64(p.total.preferredSlots) / p.total.preferredRate
	if wait+mean*preferredFactor <= mean*e.runTimeFactor {
		return nil
	}
	return e
}

// minRate is lower than the rate of any slot. A sum of rates below it is
// treated as zero, since rounding may leave a small remainder.
const minRate = 1e-9

// update updates the totals and the heaps after a change of e.
func (p *Pool) update(e *endpoint) {
	p.total.add(&e.contribution, -1)
	e.contribution = e.currentContribution()
	p.total.add(&e.contribution, 1)
	free := e.free() > 0
	isReserve := e.isReserve()
	// Remove the endpoint from one heap before adding it to the other, because
	// both store its index in the same element of heapIndex.
	if isReserve {
		p.preferred.set(e, false)
		p.reserve.set(e, free)
	} else {
		p.reserve.set(e, false)
		p.preferred.set(e, free)
	}
	p.timers.set(e, !e.nextChange().IsZero())
}

// advance applies the changes due by now: it ends back-offs and ejections,
// reduces the slots assumed to be in use by other owners, and refreshes learned
// values once per RefreshInterval.
func (p *Pool) advance(now time.Time) {
	for e := p.timers.top(); e != nil && !e.nextChange().After(now); e = p.timers.top() {
		p.applyChanges(now, e)
	}
	if now.Sub(p.refreshed) >= p.cfg.RefreshInterval {
		p.refresh(now)
	}
}

// applyChanges applies the changes of e that are due by now.
func (p *Pool) applyChanges(now time.Time, e *endpoint) {
	due := func(t time.Time) bool { return !t.IsZero() && !t.After(now) }
	if due(e.backOffUntil) {
		e.backOffUntil = time.Time{}
	}
	if due(e.externalDecreaseAt) {
		p.setExternalLoad(now, e, e.external-1)
	}
	ejectionEnded := e.phase == ejected && due(e.ejectedUntil)
	if ejectionEnded {
		p.endEjection(e)
	}
	p.update(e)
	if ejectionEnded {
		p.ejectFailing(now)
	}
}

// refresh recomputes everything that depends on all endpoints: speeds,
// straggler limits, totals and heaps. It also reduces the weight of the
// observations of endpoints that were not observed since the last refresh.
func (p *Pool) refresh(now time.Time) {
	if !p.refreshed.IsZero() {
		decay := math.Exp2(-now.Sub(p.refreshed).Seconds() / p.cfg.SpeedHalfLife.Seconds())
		for _, e := range p.ordered {
			if !e.observedSinceRefresh {
				e.slownessAverage.n *= min(decay, 1)
			}
			e.observedSinceRefresh = false
		}
	}
	p.refreshed = now
	p.model.refresh()
	p.centreSpeeds()
	shrinkage := p.model.shrinkage()
	p.sortBuffer = p.sortBuffer[:0]
	for _, e := range p.ordered {
		e.updateSlowness(shrinkage)
		if e.eligible() {
			p.sortBuffer = append(p.sortBuffer, e.slowness)
		}
	}
	slices.Sort(p.sortBuffer)
	margin := -math.Log(p.cfg.StragglerSpeed)
	p.preferred.clear()
	p.reserve.clear()
	p.total = contribution{}
	for _, e := range p.ordered {
		e.stragglerLimit = math.Inf(1)
		if e.eligible() && len(p.sortBuffer) > 1 {
			e.stragglerLimit = medianWithout(p.sortBuffer, e.slowness) + margin
		}
		e.contribution = contribution{}
		p.update(e)
	}
}

// centreSpeeds shifts the observed slowness of the endpoints so that its lower
// median is 0, which is speed 1, and shifts the service's logMean by the same
// amount in the other direction. Otherwise a change that affects all endpoints
// alike would remain in the speeds of the observed ones and favour those that
// were not observed.
func (p *Pool) centreSpeeds() {
	p.sortBuffer = p.sortBuffer[:0]
	for _, e := range p.ordered {
		if e.slownessAverage.n > 0 {
			p.sortBuffer = append(p.sortBuffer, e.slownessAverage.slow)
		}
	}
	if len(p.sortBuffer) == 0 {
		return
	}
	slices.Sort(p.sortBuffer)
	// Of the two middle endpoints, the faster one gets speed 1, so that fewer
	// than half of the observed endpoints are faster than that. Endpoints that
	// were not observed have speed 1 too, and would look slow beside faster
	// ones.
	d := p.sortBuffer[(len(p.sortBuffer)-1)/2]
	p.model.logMean.shift(d)
	for _, e := range p.ordered {
		if e.slownessAverage.n > 0 {
			e.slownessAverage.shift(-d)
		}
	}
}

// medianWithout returns the median of the sorted values without one occurrence
// of value, which must be among them.
func medianWithout(values []float64, value float64) float64 {
	skipped, _ := slices.BinarySearch(values, value)
	at := func(i int) float64 {
		if i >= skipped {
			i++
		}
		return values[i]
	}
	n := len(values) - 1
	return (at((n-1)/2) + at(n/2)) / 2
}
