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
	// checkAfter is how long the call may take before the endpoint is asked
	// for the tasks that it runs. No hedge is started before it either.
	checkAfter time.Duration
	// statusReadAt is when the endpoint was last asked for its status because
	// of this call.
	statusReadAt time.Time
	// answersWithoutTask counts the endpoint's status answers in a row that did
	// not list the task.
	answersWithoutTask int
	// abortKind is the reason why this instance aborted the call, or empty.
	abortKind fault.Kind
	// otherCall is the number of the other call of a hedged task, or zero.
	otherCall uint64
	isHedge   bool
	// hedgeTried is true once a hedge of this call was attempted, whether or
	// not it could be started. It is not attempted again.
	hedgeTried bool
	// otherFailure is the failure of the other call, if that has ended first.
	// The task may have run there, so it counts as started even if the endpoint
	// refuses this call.
	otherFailure *fault.Error
	// superseded is true when the other call succeeded first. The result of
	// this call is then ignored.
	superseded bool
}

// startCall starts a call to an endpoint and returns the number of the call.
func (c *Core) startCall(now time.Time, sv *service, t *work.Task, choice endpoints.Choice, pm permit, isHedge bool) uint64 {
	c.nextCall++
	number := c.nextCall
	cl := &call{
		task:       t,
		permit:     pm,
		endpoint:   choice.Endpoint,
		service:    sv.name,
		started:    now,
		checkAfter: choice.CheckAfter,
		isHedge:    isHedge,
	}
	c.calls[number] = cl
	if c.bySubmission[t.ID.Submission] == nil {
		c.bySubmission[t.ID.Submission] = map[uint64]*call{}
	}
	c.bySubmission[t.ID.Submission][number] = cl
	end := pm.deadline
	if longest := now.Add(MaxCallDuration); end.After(longest) {
		end = longest
	}
	c.emit(StartCall{Call: number, Endpoint: choice.Endpoint, Task: t, Timeout: end.Sub(now), Deadline: end})
	return number
}

// handleCallFinished releases what an ended call held, records its outcome for
// the endpoint, and passes the result on unless the other call of a hedged task
// determines the result. An aborted call that had started may have run, so its
// failure is replaced by abortKind with an unknown outcome.
func (c *Core) handleCallFinished(now time.Time, ev CallFinished) {
	cl := c.calls[ev.Call]
	if cl == nil {
		return
	}
	c.removeCall(ev.Call, cl)
	sv := c.services[cl.service]
	c.settlePermit(now, cl, &ev.Result)
	kind := outcomeOf(&ev.Result)
	if cl.abortKind != "" && !ev.Result.NotStarted && ev.Result.Failure != nil {
		kind = endpoints.Cancelled
		if cl.abortKind == fault.OutcomeUnknown {
			kind = endpoints.Unknown
		}
		ev.Result.Failure = fault.New(cl.abortKind, fault.RanUnknown)
	}
	sv.pool.Finish(now, ident.EndpointID(cl.endpoint.ID), cl.endpoint.Incarnation, endpoints.Outcome{
		Kind: kind, Took: ev.Result.Took, Size: cl.task.Size})
	switch other := c.calls[cl.otherCall]; {
	case cl.superseded:
	case other != nil:
		c.handleFirstCallFinished(now, cl, other, ev)
	default:
		if ev.Result.NotStarted && cl.otherFailure != nil {
			ev.Result.NotStarted, ev.Result.Failure = false, cl.otherFailure
		}
		c.reportResult(now, cl.task, &ev.Result)
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

// handleFirstCallFinished handles the end of whichever call of a hedged task
// ends first. On success it reports the result and aborts the other call; after
// a failure the other call determines the result.
func (c *Core) handleFirstCallFinished(now time.Time, cl, other *call, ev CallFinished) {
	otherNumber := cl.otherCall
	other.otherCall = 0
	if ev.Result.NotStarted {
		return
	}
	if ev.Result.Failure != nil {
		other.otherFailure = ev.Result.Failure
		return
	}
	other.superseded = true
	other.abortKind = fault.Cancelled
	c.emit(AbortCall{Call: otherNumber})
	c.reportResult(now, cl.task, &ev.Result)
}

// removeCall removes a call from the indexes.
func (c *Core) removeCall(number uint64, cl *call) {
	delete(c.calls, number)
	id := cl.task.ID.Submission
	delete(c.bySubmission[id], number)
	if len(c.bySubmission[id]) == 0 {
		delete(c.bySubmission, id)
	}
}

// notRunResult returns a failure that says that the task did not run. It is
// final: only a result with NotStarted set, as returnTask sends it, makes the
// home queue the task again.
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
// queues another attempt when the task did not start or may be retried, and
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
	decision := retry.Decide(r, t)
	if decision == retry.Final || decision != retry.RequeueUncharged && !c.budget.Allow(now) {
		return nil
	}
	if r.NotStarted {
		c.counters.Requeued++
		return c.table.RequeueUnstarted(now, t.ID, t.Attempt)
	}
	c.counters.Repeated++
	return c.table.Retry(now, t.ID, t.Attempt)
}

// resolve records a final result. When it was the last one of its submission,
// it answers the requests that wait for the submission.
func (c *Core) resolve(now time.Time, r *work.Result) {
	finished, accepted := c.table.RecordResult(now, r)
	if !accepted {
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
	if finished != nil {
		c.replyToWaiters(finished)
	}
}
