package endpoints

import "time"

// UsableSlots returns the number of usable slots of the owned endpoints, busy
// ones included. An ejected, draining or leaving endpoint counts none, and one
// on probation at most one.
func (p *Pool) UsableSlots() int { return p.total.slots }

// Free returns the number of free slots of the preferred endpoints, which are
// neither failing nor stragglers. Only when these have no usable slot, free or
// busy, it returns the free slots of the failing endpoints and stragglers
// instead. Pick may thus succeed although Free returns 0.
func (p *Pool) Free(now time.Time) int {
	p.advance(now)
	if p.total.preferredSlots == 0 {
		return p.total.reserveFree
	}
	return p.total.preferredFree
}

// Estimate returns the estimated run time of a task of the declared size, or of
// unknown size if it is zero. It is the mean over the pool, in which each
// endpoint is weighted by the share of tasks that it runs under full load.
func (p *Pool) Estimate(size float64) time.Duration {
	return boundedDuration(p.model.estimate(size) * p.meanFactor())
}

// meanFactor returns the mean of the endpoints' run time factors over the tasks
// that run under full load.
func (p *Pool) meanFactor() float64 {
	if p.total.slots == 0 {
		return 1
	}
	return float64(p.total.slots) / p.total.rate
}

// NextEstimate returns the estimated run time of a task of unknown size at the
// endpoint that Pick would choose now. It returns false when no slot is free at
// an endpoint that is neither failing nor a straggler.
func (p *Pool) NextEstimate(now time.Time) (time.Duration, bool) {
	p.advance(now)
	e := p.preferred.top()
	if e == nil {
		return 0, false
	}
	return boundedDuration(p.model.estimate(0) * e.runTimeFactor), true
}

// P95 returns the 95th percentile of the run times of the service's latest 1000
// to 2000 tasks, as of the last refresh. Before 20 run times are recorded it
// returns three times the estimated run time.
func (p *Pool) P95() time.Duration {
	if p.model.p95 > 0 {
		return p.model.p95
	}
	return 3 * p.Estimate(0)
}

// EstimateWait returns how long a new task is estimated to wait behind the
// given number of queued tasks. Without any usable slot it returns the maximum
// length of an ejection.
func (p *Pool) EstimateWait(queued int) time.Duration {
	free := p.total.preferredFree
	if p.total.preferredSlots == 0 {
		free = p.total.reserveFree
	}
	ahead := float64(max(queued, 0) + 1 - free)
	if ahead <= 0 {
		return 0
	}
	rate := p.total.rateWithoutExternal
	if rate < minRate {
		rate = p.total.rate
	}
	if rate < minRate {
		return p.cfg.EjectionMax
	}
	return boundedDuration(p.model.estimate(0) * ahead / rate)
}

// NextChange returns the next time at which an ejection or a back-off ends, or
// at which a slot assumed to be in use by another owner is tried again. It
// returns zero when no such change is pending.
func (p *Pool) NextChange(now time.Time) time.Time {
	p.advance(now)
	if e := p.timers.top(); e != nil {
		return e.nextChange()
	}
	return time.Time{}
}
