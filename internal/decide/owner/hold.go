package owner

import (
	"slices"
	"time"
)

// Activate makes the pool the owner of the endpoints that mine selects, under
// the fence, or a higher one than it has used before. What an earlier activation
// knew is dropped: looks find what runs, the homes place their tasks again, and
// orders that are still on their way are refused.
func (p *Pool) Activate(now time.Time, fence Fence, mine func(Endpoint) bool) []Action {
	p.clear()
	if fence <= p.fence {
		fence = p.fence.raised(1)
	}
	p.active, p.fence, p.mine = true, fence, mine
	for _, e := range p.order {
		e.fence = fence
	}
	return p.Tick(now)
}

// Select changes which endpoints an active pool owns.
func (p *Pool) Select(mine func(Endpoint) bool) { p.mine = mine }

// Deactivate ends the ownership. Leases run on until another owner renews them.
func (p *Pool) Deactivate() {
	p.active = false
	p.clear()
}

// Saw takes the highest epoch that is known, which later fences exceed.
func (p *Pool) Saw(epoch uint64) {
	if epoch > p.fence.Epoch() {
		p.fence = p.fence.raised(epoch - p.fence.Epoch())
	}
}

// Foreign reports whether another owner seems to hold endpoints.
func (p *Pool) Foreign() bool {
	return slices.ContainsFunc(p.order, func(e *endpoint) bool { return e.hold == foreign })
}

// Reclaim takes over the endpoints that another owner held, or may have taken
// while they were out of reach. That owner now follows this one.
func (p *Pool) Reclaim(now time.Time) []Action {
	for _, e := range p.order {
		if e.hold != held {
			e.hold, e.owned, e.nextLook = unseen, false, now
		}
	}
	return p.Tick(now)
}

// raise prepares to take over an endpoint that has seen a higher fence.
func (p *Pool) raise(e *endpoint) {
	e.climb = max(1, 2*e.climb)
	e.fence = max(e.fence, p.fence).raised(e.climb)
	p.fence = max(p.fence, e.fence)
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
			p.note(now, Yielded, r)
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

// maxClimb bounds the epochs by which a fence rises at once.
const maxClimb = 1 << 16
