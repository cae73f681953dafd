package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
)

// hedgeDue reports whether a second call may help and was not made yet. The
// percentile alone would hedge long tasks on healthy endpoints: at 0.7 of
// capacity that cost 0.1 messages per task and gained nothing.
func (c *Core) hedgeDue(k *call, took time.Duration) bool {
	sv := c.services[k.service]
	if k.hedged || k.hedge || k.aborted != "" || !k.task.Repeatable {
		return false
	}
	after, ok := retry.HedgeAfter(sv.pool.P95(), sv.conf.ResponseWeight, k.task.Repeatable)
	return ok && took >= max(after, k.progress)
}

// hedge starts a second call of an idempotent request at another endpoint. It
// uses a free slot only when nothing waits for it.
func (c *Core) hedge(now time.Time, n uint64, k *call) {
	sv := c.services[k.service]
	if sv.queue.Len() > 0 || !c.mayStart(now) {
		return
	}
	k.hedged = true
	if !c.budget.Allow(now) {
		return
	}
	h, ok := c.take(now, sv, k.task)
	if !ok {
		return
	}
	choice, ok := sv.pool.PickOther(now, k.task.Size, ident.EndpointID(k.endpoint.ID))
	if !ok {
		c.unused(now, h)
		return
	}
	c.count.Hedged++
	k.twin = c.call(now, sv, k.task, choice, h, true)
	c.calls[k.twin].twin = n
}
