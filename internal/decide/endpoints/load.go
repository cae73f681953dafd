package endpoints

import "time"

// Slots returns the number of slots of the owned endpoints in use. An ejected
// or leaving endpoint has none, one on probation has one.
func (p *Pool) Slots() int { return p.total.slots }

// Free returns the number of slots that Pick would fill now. Stragglers and
// failing endpoints count only when there are no others.
func (p *Pool) Free(now time.Time) int {
	p.advance(now)
	if p.total.firstSlots == 0 {
		return p.total.reserve
	}
	return p.total.free
}

// Estimate returns the estimated run time of a task of the declared size, zero
// for unknown, as a mean over the pool. Endpoints weigh by the share of the
// tasks that they run when all slots are in use.
func (p *Pool) Estimate(size float64) time.Duration {
	return seconds(p.model.estimate(size) * p.typical())
}

// typical returns the mean slowness of a task when all slots are in use.
func (p *Pool) typical() float64 {
	if p.total.slots == 0 {
		return 1
	}
	return float64(p.total.slots) / p.total.rate
}

// Next returns the estimated run time of a task of unknown size at the endpoint
// that Pick would choose now, and false when no first-choice slot is free.
func (p *Pool) Next(now time.Time) (time.Duration, bool) {
	p.advance(now)
	e := p.ready.top()
	if e == nil {
		return 0, false
	}
	return seconds(p.model.estimate(0) * e.factor), true
}

// P95 returns the 95th percentile of the run times of the service's latest 1000
// to 2000 tasks, as of the last refresh. Until 20 were observed it returns
// three times the estimate.
func (p *Pool) P95() time.Duration {
	if p.model.p95 > 0 {
		return p.model.p95
	}
	return 3 * p.Estimate(0)
}

// Wait returns the estimated wait of a new task behind the given number of
// queued ones. Without any usable slot it returns the longest ejection.
func (p *Pool) Wait(queued int) time.Duration {
	free := p.total.free
	if p.total.firstSlots == 0 {
		free = p.total.reserve
	}
	ahead := float64(max(queued, 0) + 1 - free)
	if ahead <= 0 {
		return 0
	}
	rate := p.total.capacity
	if rate < minRate {
		rate = p.total.rate
	}
	if rate < minRate {
		return p.cfg.EjectionMax
	}
	return seconds(p.model.estimate(0) * ahead / rate)
}

// NextChange returns when an ejection or back-off ends next, or a slot that
// another owner holds is tried again, and zero when nothing is pending.
func (p *Pool) NextChange(now time.Time) time.Time {
	p.advance(now)
	if e := p.timers.top(); e != nil {
		return e.wake()
	}
	return time.Time{}
}
