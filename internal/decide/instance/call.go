package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
)

// MaxCallDuration is the longest time that one call to an endpoint may take,
// even if the task's deadline is later. Tasks of a previous process with the
// same ordinal may still run at endpoints, so a new process waits this long
// before it uses the floors of limits. Deadlines, of up to an hour, would be
// too long for that wait; tasks take a few seconds at most.
const MaxCallDuration = time.Minute

// cancelledOutcome frees the slot of an endpoint that was picked but not
// called.
var cancelledOutcome = endpoints.Outcome{Kind: endpoints.Cancelled}

// call is one call to an endpoint.
type call struct {
	task     *work.Task
	permit   permit
	endpoint work.Instance
	service  ident.Service
	started  time.Time
	// progress is how long the call may take before the endpoint is polled for
	// the tasks that it runs.
	progress time.Duration
	// polledAt is when the endpoint was last polled because of this call.
	polledAt time.Time
	// missingAnswers counts the endpoint's status answers in a row that did not
	// list the task.
	missingAnswers int
	// abortKind is the reason why this instance aborted the call, or empty.
	abortKind fault.Kind
	// pair is the number of the other call of a hedged task, or zero.
	pair    uint64
	isHedge bool
	// hedgeTried is true once a hedge of this call was attempted, whether or
	// not it could be started. It is not attempted again.
	hedgeTried bool
	// pairFailure is the failure of the other call, when that ended first. Its
	// work may have run, so the task counts as started even if the endpoint
	// refuses this call.
	pairFailure *fault.Error
	// superseded is true when the other call succeeded first. The result of
	// this call is then ignored.
	superseded bool
}

// call starts a call to an endpoint and returns the number of the call.
func (c *Core) call(now time.Time, sv *service, t *work.Task, choice endpoints.Choice, pm permit, isHedge bool) uint64 {
	c.nextCall++
	n := c.nextCall
	k := &call{
		task:     t,
		permit:   pm,
		endpoint: choice.Endpoint,
		service:  sv.name,
		started:  now,
		progress: choice.CheckAfter,
		isHedge:  isHedge,
	}
	c.calls[n] = k
	if c.bySubmission[t.ID.Submission] == nil {
		c.bySubmission[t.ID.Submission] = map[uint64]*call{}
	}
	c.bySubmission[t.ID.Submission][n] = k
	end := pm.deadline
	if longest := now.Add(MaxCallDuration); end.After(longest) {
		end = longest
	}
	c.emit(StartCall{Call: n, Endpoint: choice.Endpoint, Task: t, Limit: end.Sub(now), Deadline: end})
	return n
}

// handleCallFinished releases what an ended call held, records its outcome for
// the endpoint, and passes the result on unless another call of the task
// decides.
func (c *Core) handleCallFinished(now time.Time, ev CallFinished) {
	k := c.calls[ev.Call]
	if k == nil {
		return
	}
	c.removeCall(ev.Call, k)
	sv := c.services[k.service]
	c.settlePermit(now, k, &ev.Result)
	kind := outcomeOf(&ev.Result)
	if k.abortKind != "" && !ev.Result.NotStarted && ev.Result.Failure != nil {
		kind = endpoints.Cancelled
		if k.abortKind == fault.OutcomeUnknown {
			kind = endpoints.Unknown
		}
		ev.Result.Failure = fault.New(k.abortKind, fault.RanUnknown)
	}
	sv.pool.Finish(now, ident.EndpointID(k.endpoint.ID), k.endpoint.Incarnation, endpoints.Outcome{
		Kind: kind, Took: ev.Result.Took, Size: k.task.Size})
	switch pair := c.calls[k.pair]; {
	case k.superseded:
	case pair != nil:
		c.handleHedgeFinished(now, k, pair, ev)
	default:
		if ev.Result.NotStarted && k.pairFailure != nil {
			ev.Result.NotStarted, ev.Result.Failure = false, k.pairFailure
		}
		c.reportResult(now, k.task, &ev.Result)
	}
	c.dispatch(now, sv)
}

// outcomeOf translates a call's result into an outcome for the endpoint's
// health.
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

// handleHedgeFinished handles the end of the first call of a hedged task. On
// success it reports the result and aborts the other call; after a failure the
// other call decides.
func (c *Core) handleHedgeFinished(now time.Time, k, pair *call, ev CallFinished) {
	pairNumber := k.pair
	pair.pair = 0
	if ev.Result.NotStarted {
		return
	}
	if ev.Result.Failure != nil {
		pair.pairFailure = ev.Result.Failure
		return
	}
	pair.superseded = true
	pair.abortKind = fault.Cancelled
	c.emit(AbortCall{Call: pairNumber})
	c.reportResult(now, k.task, &ev.Result)
}

// removeCall removes a call from the indexes.
func (c *Core) removeCall(n uint64, k *call) {
	delete(c.calls, n)
	id := k.task.ID.Submission
	delete(c.bySubmission[id], n)
	if len(c.bySubmission[id]) == 0 {
		delete(c.bySubmission, id)
	}
}

// notRunResult returns the result of a task that was never handed to an
// endpoint.
func notRunResult(t *work.Task, kind fault.Kind) *work.Result {
	return &work.Result{Task: t.ID, Attempt: t.Attempt, Failure: fault.New(kind, fault.RanNo)}
}

// reportResult passes a task's result to its home, which may be this process.
func (c *Core) reportResult(now time.Time, t *work.Task, r *work.Result) {
	if c.isSelf(t.Home) {
		c.handleResult(now, t, r)
		return
	}
	c.sendResult(now, t.Home, r)
}

// returnTask reports to a task's home that the task will not start here.
func (c *Core) returnTask(now time.Time, t *work.Task, kind fault.Kind) {
	c.counters.Returned++
	r := notRunResult(t, kind)
	r.NotStarted = true
	c.reportResult(now, t, r)
}

// handleResult handles the result of a task whose home is this process. It
// queues another attempt when the task did not start or may be repeated, and
// otherwise records the result as final.
func (c *Core) handleResult(now time.Time, t *work.Task, r *work.Result) {
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
	verdict := retry.Decide(r, t)
	if verdict == retry.Final || verdict != retry.RequeueUncharged && !c.budget.Allow(now) {
		return nil
	}
	if r.NotStarted {
		c.counters.Requeued++
		return c.table.RequeueUnstarted(now, t.ID, t.Attempt)
	}
	c.counters.Repeated++
	return c.table.Retry(now, t.ID, t.Attempt)
}

// resolve records a final result, and answers the callers of the submission
// when it was the last one.
func (c *Core) resolve(now time.Time, r *work.Result) {
	done, counted := c.table.Complete(now, r)
	if !counted {
		return
	}
	switch {
	case r.Failure == nil:
		c.counters.Succeeded++
	case r.Failure.Ran == fault.RanUnknown:
		c.counters.Unknown++
	default:
		c.counters.Failed++
	}
	if done != nil {
		c.replyToWaiters(done)
	}
}
