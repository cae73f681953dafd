package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
)

// hedgeDue reports whether the task of a call should get a second call: it is
// repeatable, no hedge of the call was tried yet, the call is no hedge itself
// and not aborted, and it has taken as long as both the delay of
// retry.HedgeAfter and checkAfter. The first, which is based on a percentile,
// would alone also hedge long tasks on healthy endpoints; at 70% of capacity
// that cost 0.1 messages per task and gained nothing.
func (c *Core) hedgeDue(cl *call, elapsed time.Duration) bool {
	sv := c.services[cl.service]
	if cl.hedgeTried || cl.isHedge || cl.abortKind != "" || !cl.task.Repeatable {
		return false
	}
	after, ok := retry.HedgeAfter(sv.pool.P95(), sv.conf.ResponseWeight, cl.task.Repeatable)
	return ok && elapsed >= max(after, cl.checkAfter)
}

// startHedge starts a second call of a repeatable task at another endpoint. A
// task is repeatable when it is a request, not part of a job, of an idempotent
// service. A hedge is started only while no task of the service waits for a
// slot.
func (c *Core) startHedge(now time.Time, number uint64, cl *call) {
	sv := c.services[cl.service]
	if sv.queue.Len() > 0 || !c.mayStart(now) {
		return
	}
	cl.hedgeTried = true
	if !c.budget.Allow(now) {
		return
	}
	pm, ok := c.acquire(now, sv, cl.task)
	if !ok {
		return
	}
	choice, ok := sv.pool.PickHedge(now, cl.task.Size, ident.EndpointID(cl.endpoint.ID))
	if !ok {
		c.releaseUnused(now, pm)
		return
	}
	c.counters.Hedged++
	cl.otherCall = c.startCall(now, sv, cl.task, choice, pm, true)
	c.calls[cl.otherCall].otherCall = number
}
