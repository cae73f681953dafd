package owner

import (
	"slices"
	"time"
)

// Activate makes the pool the owner of the endpoints that owns selects. It uses
// the given fence, or a higher one if the pool has already used a fence at
// least as high. The state of an earlier activation is dropped: polls find the
// current runs, homes place their tasks again, and earlier calls that are still
// in flight are fenced.
func (p *Pool) Activate(now time.Time, fence Fence, owns func(Endpoint) bool) []Action {
	p.forgetAll(now)
	p.clear()
	if fence <= p.fence {
		fence = p.fence.addEpochs(1)
	}
	p.active, p.activatedAt, p.fence, p.owns = true, now, fence, owns
	p.takeoverComplete, p.takeoverReported = false, false
	for _, e := range p.sortedEndpoints {
		e.fence = fence
	}
	return p.Tick(now)
}

// SetOwned changes which endpoints an active pool owns.
func (p *Pool) SetOwned(owns func(Endpoint) bool) { p.owns = owns }

// Deactivate ends the ownership. It does not end the leases: they expire unless
// another owner renews them.
func (p *Pool) Deactivate(now time.Time) {
	p.active = false
	p.forgetAll(now)
	p.clear()
}

// ObserveEpoch records the highest known epoch, which later fences exceed.
func (p *Pool) ObserveEpoch(epoch uint64) {
	if epoch > p.fence.Epoch() {
		p.fence = p.fence.addEpochs(epoch - p.fence.Epoch())
	}
}

// HasForeignEndpoints reports whether another owner seems to hold endpoints: it
// is true while an endpoint is known to have seen a higher fence.
func (p *Pool) HasForeignEndpoints() bool {
	return slices.ContainsFunc(p.sortedEndpoints, func(e *endpoint) bool { return e.ownership == ownershipForeign })
}

// Reclaim polls the endpoints that another owner held, or may have acquired
// while they were unreachable, in order to acquire them. It must be called only
// when the process of that owner accepts this one as owner.
func (p *Pool) Reclaim(now time.Time) []Action {
	for _, e := range p.sortedEndpoints {
		if e.ownership != ownershipHeld {
			e.ownership, e.fenceAccepted, e.nextPoll = ownershipUnknown, false, now
		}
	}
	return p.Tick(now)
}

// raiseFence raises the fence for an endpoint that has restarted, or that has
// seen a higher fence and is to be acquired.
func (p *Pool) raiseFence(e *endpoint) {
	e.fenceStep = max(1, 2*e.fenceStep)
	e.fence = max(e.fence, p.fence).addEpochs(e.fenceStep)
	p.fence = max(p.fence, e.fence)
}

// outbid raises the fence for an endpoint above that of another owner.
func (p *Pool) outbid(e *endpoint) {
	p.raiseFence(e)
	e.outbidding = true
}

// handleAcquired records that an endpoint has accepted a poll with the fence
// that outbids the one of another owner.
func (p *Pool) handleAcquired(now time.Time, e *endpoint) {
	e.outbidding, e.acquiredAt = false, now
	p.acquiredAt = now
}

// conflicts reports whether another owner may still run tasks of the batch that
// this one must not start on the endpoint. That owner may have polled the
// endpoint after the batch was placed there, and then counts on its fence, which
// this owner has outbid since: it starts the tasks elsewhere. By
// OwnerConflictDelay after that, heartbeats between the instances, or a lost
// link, have withdrawn them here.
func (p *Pool) conflicts(now time.Time, b *batch, e *endpoint) bool {
	return !b.placedAt.After(e.acquiredAt) && now.Sub(e.acquiredAt) < p.cfg.OwnerConflictDelay
}

// handleFenced handles a poll that was refused because of its fence. If this
// owner has not held the endpoint yet, the higher fence may be that of an owner
// that is gone, so this owner raises its own; otherwise it yields the endpoint.
func (p *Pool) handleFenced(now time.Time, e *endpoint) {
	if e.ownership == ownershipUnknown && !e.fenceAccepted && e.fenceStep < yieldFenceStep {
		p.outbid(e)
		e.nextPoll = now
		return
	}
	p.yieldEndpoint(now, e)
}

// yieldEndpoint leaves an endpoint to another owner for ForeignBackOff and
// requeues its tasks. The other owner stops the runs there unless their homes
// claim them. The homes of waiting tasks may have switched to that owner, so
// the tasks wait for OwnerConflictDelay, by when heartbeats between the
// instances, or a lost link, have shown this.
func (p *Pool) yieldEndpoint(now time.Time, e *endpoint) {
	p.stats.Fenced++
	if e.ownership == ownershipForeign {
		return
	}
	e.ownership, e.polledAt = ownershipForeign, time.Time{}
	e.nextPoll = now.Add(p.cfg.ForeignBackOff)
	p.DelayWaiting(now)
	for _, r := range slices.Clone(e.runs) {
		p.forget(now, r)
		if t := r.task; t != nil {
			p.addRunEvent(now, Yielded, r)
			p.removeRun(r)
			t.foreignStartUntil = now
			p.requeue(t)
			continue
		}
		p.removeRun(r)
	}
}

// DelayWaiting delays the start of all waiting tasks, since their homes may
// have switched to another owner.
func (p *Pool) DelayWaiting(now time.Time) {
	for t := range p.waiting.all() {
		t.notBefore = now.Add(p.cfg.OwnerConflictDelay)
	}
}

// yieldFenceStep is the fenceStep from which on an endpoint that refuses a poll
// is yielded, instead of raising the fence again. It does not bound the step.
const yieldFenceStep = 1 << 16
