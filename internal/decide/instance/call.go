package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
)

// LongestRun bounds one call to an endpoint, whatever the task's deadline. A
// process that follows another of the same ordinal waits that long before it
// uses the floors of limits, since its predecessor's tasks may still run; the
// longest deadline is an hour, and tasks take a few seconds at most.
const LongestRun = time.Minute

// cancelledOutcome gives a slot back that was not used.
var cancelledOutcome = endpoints.Outcome{Kind: endpoints.Cancelled}

// call is one call to an endpoint.
type call struct {
	task     *work.Task
	held     held
	endpoint work.Instance
	service  ident.Service
	started  time.Time
	// progress is how long the call may take before the endpoint is asked
	// about it.
	progress time.Duration
	asked    time.Time
	// missing counts the endpoint's answers that did not list the task.
	missing int
	// aborted is set when the call was ended from here.
	aborted fault.Kind
	// twin is the other call of a hedged task, or zero.
	twin  uint64
	hedge bool
	// hedged is true once a hedge was considered.
	hedged bool
	// earlier is the failure of the twin that ended first. Its work may have
	// run, so that a refusal of this call does not count as not started.
	earlier *fault.Error
	// superseded is true when the twin's success counted.
	superseded bool
}

// call starts a call to an endpoint.
func (c *Core) call(now time.Time, sv *service, t *work.Task, choice endpoints.Choice, h held, hedge bool) uint64 {
	c.nextCall++
	n := c.nextCall
	k := &call{
		task:     t,
		held:     h,
		endpoint: choice.Endpoint,
		service:  sv.name,
		started:  now,
		progress: choice.Progress,
		hedge:    hedge,
	}
	c.calls[n] = k
	if c.bySubmission[t.ID.Submission] == nil {
		c.bySubmission[t.ID.Submission] = map[uint64]*call{}
	}
	c.bySubmission[t.ID.Submission][n] = k
	end := h.deadline
	if longest := now.Add(LongestRun); end.After(longest) {
		end = longest
	}
	c.do(Start{Call: n, Endpoint: choice.Endpoint, Task: t, Limit: end.Sub(now), Deadline: end})
	return n
}

// finished takes the end of a call.
func (c *Core) finished(now time.Time, ev Finished) {
	k := c.calls[ev.Call]
	if k == nil {
		return
	}
	c.forget(ev.Call, k)
	sv := c.services[k.service]
	c.settleUnits(now, k, &ev.Result)
	kind := outcomeOf(&ev.Result)
	if k.aborted != "" && !ev.Result.NotStarted && ev.Result.Failure != nil {
		kind = endpoints.Cancelled
		if k.aborted == fault.OutcomeUnknown {
			kind = endpoints.Unknown
		}
		ev.Result.Failure = fault.New(k.aborted, fault.RanUnknown)
	}
	sv.pool.Finish(now, ident.EndpointID(k.endpoint.ID), k.endpoint.Incarnation, endpoints.Outcome{
		Kind: kind, Took: ev.Result.Took, Size: k.task.Size})
	switch twin := c.calls[k.twin]; {
	case k.superseded:
	case twin != nil:
		c.finishedTwin(now, k, twin, ev)
	default:
		if ev.Result.NotStarted && k.earlier != nil {
			ev.Result.NotStarted, ev.Result.Failure = false, k.earlier
		}
		c.settle(now, k.task, &ev.Result)
	}
	c.dispatch(now, sv)
}

// outcomeOf tells what a call's result says about the endpoint.
func outcomeOf(r *work.Result) endpoints.OutcomeKind {
	if r.Failure == nil {
		return endpoints.Succeeded
	}
	switch r.Failure.Kind {
	case fault.EndpointBusy:
		return endpoints.Busy
	case fault.Draining:
		return endpoints.Draining
	case fault.EndpointUnreachable:
		return endpoints.Unreachable
	case fault.EndpointFailed:
		return endpoints.Failed
	case fault.Cancelled, fault.DeadlineUnmeetable, fault.DeadlineExceeded:
		return endpoints.Cancelled
	}
	return endpoints.Unknown
}

// finishedTwin takes the end of the first call of a hedged task. A success
// counts and ends the other call; a failure leaves the task to the other call.
func (c *Core) finishedTwin(now time.Time, k, twin *call, ev Finished) {
	n := k.twin
	twin.twin = 0
	if ev.Result.NotStarted {
		return
	}
	if ev.Result.Failure != nil {
		twin.earlier = ev.Result.Failure
		return
	}
	twin.superseded = true
	twin.aborted = fault.Cancelled
	c.do(Abort{Call: n})
	c.settle(now, k.task, &ev.Result)
}

// forget removes a call from the indexes.
func (c *Core) forget(n uint64, k *call) {
	delete(c.calls, n)
	id := k.task.ID.Submission
	delete(c.bySubmission[id], n)
	if len(c.bySubmission[id]) == 0 {
		delete(c.bySubmission, id)
	}
}

// notRun is the result of a task that was never handed to an endpoint.
func notRun(t *work.Task, kind fault.Kind) *work.Result {
	return &work.Result{Task: t.ID, Attempt: t.Attempt, Failure: fault.New(kind, fault.RanNo)}
}

// settle passes a task's result to its home, which may be this process.
func (c *Core) settle(now time.Time, t *work.Task, r *work.Result) {
	if c.isSelf(t.Home) {
		c.homeResult(now, t, r)
		return
	}
	c.sendResult(now, t.Home, r)
}

// giveBack returns a task that will not start here to its home.
func (c *Core) giveBack(now time.Time, t *work.Task, kind fault.Kind) {
	c.count.Returned++
	r := notRun(t, kind)
	r.NotStarted = true
	c.settle(now, t, r)
}

// homeResult decides what a result means for the task: final, or one more
// attempt when nothing started or the request may be repeated.
func (c *Core) homeResult(now time.Time, t *work.Task, r *work.Result) {
	next := c.nextAttempt(now, t, r)
	if next == nil {
		c.resolve(now, r)
		return
	}
	if sv := c.services[t.Service]; sv != nil {
		sv.queue.PushFront(next)
		c.dispatch(now, sv)
	}
}

// nextAttempt returns the attempt to queue after a result, or nil when the
// result is final.
func (c *Core) nextAttempt(now time.Time, t *work.Task, r *work.Result) *work.Task {
	if r.Failure == nil && !r.NotStarted || !t.Deadline.After(now) {
		return nil
	}
	verdict := retry.MayRetry(r, t)
	if verdict == retry.Final || verdict != retry.RequeueFree && !c.budget.Allow(now) {
		return nil
	}
	if r.NotStarted {
		c.count.Requeued++
		return c.table.NotStarted(now, t.ID, t.Attempt)
	}
	c.count.Repeated++
	return c.table.Repeat(now, t.ID, t.Attempt)
}

// resolve records a final result and answers when it was the last one.
func (c *Core) resolve(now time.Time, r *work.Result) {
	done, counted := c.table.Resolve(now, r)
	if !counted {
		return
	}
	switch {
	case r.Failure == nil:
		c.count.Succeeded++
	case r.Failure.Ran == fault.RanUnknown:
		c.count.Unknown++
	default:
		c.count.Failed++
	}
	if done != nil {
		c.answered(done)
	}
}
