package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
)

// hedgeDue reports whether the task of a call should get a second call: it is
// repeatable, was not hedged yet, and has taken as long as both the delay of
// retry.HedgeAfter and the progress time of the endpoint. The first, which is
// based on a percentile, would alone also hedge long tasks on healthy
// endpoints; at 70% of capacity that cost 0.1 messages per task and gained
// nothing.
func (c *Core) hedgeDue(k *call, elapsed time.Duration) bool {
	sv := c.services[k.service]
	if k.hedgeTried || k.isHedge || k.abortKind != "" || !k.task.Repeatable {
		return false
	}
	after, ok := retry.HedgeAfter(sv.pool.P95(), sv.conf.ResponseWeight, k.task.Repeatable)
	return ok && elapsed >= max(after, k.progress)
}

// startHedge starts a second call of an idempotent request at another endpoint.
// It does so only while no task of the service waits for a slot.
func (c *Core) startHedge(now time.Time, n uint64, k *call) {
	sv := c.services[k.service]
	if sv.queue.Len() > 0 || !c.mayStart(now) {
		return
	}
	k.hedgeTried = true
	if !c.budget.Allow(now) {
		return
	}
	pm, ok := c.acquire(now, sv, k.task)
	if !ok {
		return
	}
	choice, ok := sv.pool.PickHedge(now, k.task.Size, ident.EndpointID(k.endpoint.ID))
	if !ok {
		c.releaseUnused(now, pm)
		return
	}
	c.counters.Hedged++
	k.pair = c.call(now, sv, k.task, choice, pm, true)
	c.calls[k.pair].pair = n
}
