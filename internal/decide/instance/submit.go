package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/submission"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// retryAfter is the wait that refusals suggest when the cause is expected to
// pass soon, such as a member that is suspected to be dead.
const retryAfter = time.Second

// pendingForward is a request that was forwarded to the home of its submission
// and has no reply yet.
type pendingForward struct {
	ref  RequestRef
	home ident.Process
}

func (c *Core) handleIssue(now time.Time, ev IssueIDs) {
	if c.draining || c.replaced {
		c.refuse(ev.Ref, fault.New(fault.Draining, fault.RanNo).WithRetryAfter(retryAfter))
		return
	}
	c.emit(Reply{Request: ev.Ref.Request, IDs: c.table.Issue(now, ev.Count)})
}

func (c *Core) handleSubmit(now time.Time, ev Submit) {
	s := &ev.Submission
	if s.ID.IsZero() {
		s.ID = c.table.Issue(now, 1)[0]
	}
	if !c.isSelf(s.ID.Home()) {
		c.forward(ev.Ref, s.ID, func(request uint64) *peerpb.Message {
			return forwardMessage(now, request, s, ev.Digest)
		})
		return
	}
	e, refusal := c.table.Find(now, s.ID)
	if refusal != nil {
		c.refuse(ev.Ref, refusal)
		return
	}
	if e != nil {
		if refusal := e.Match(ev.Digest); refusal != nil {
			c.refuse(ev.Ref, refusal)
			return
		}
		c.counters.Joined++
		c.answerResubmission(ev.Ref, e)
		return
	}
	if refusal := c.admit(now, s); refusal != nil {
		c.refuse(ev.Ref, refusal)
		return
	}
	c.enqueueSubmission(now, ev)
}

// enqueueSubmission records an admitted submission and queues its tasks.
func (c *Core) enqueueSubmission(now time.Time, ev Submit) {
	s := &ev.Submission
	c.counters.Submissions++
	sv := c.services[s.Service]
	repeatable := !s.Job && sv.conf.Idempotent
	_, tasks := c.table.Add(now, *s, ev.Digest, repeatable)
	c.waiters[s.ID] = append(c.waiters[s.ID], ev.Ref)
	for _, t := range tasks {
		sv.queue.Push(t)
		c.budget.CountAttempt(now)
	}
	c.dispatch(now, sv)
}

// answerResubmission answers a resubmission: at once when the submission is
// finished, otherwise together with the first request.
func (c *Core) answerResubmission(ref RequestRef, e *submission.Entry) {
	if !e.Finished() {
		id := e.Submission.ID
		c.waiters[id] = append(c.waiters[id], ref)
		return
	}
	c.replyAnswer(ref, e)
}

// replyAnswer replies with the current answer of a submission, or refuses the
// request when its outputs were dropped.
func (c *Core) replyAnswer(ref RequestRef, e *submission.Entry) {
	if e.OutputsDropped() {
		c.refuse(ref, fault.New(fault.AnswerDropped, fault.RanYes).WithField("id"))
		return
	}
	c.reply(ref, e.Answer(), nil)
}

// replyToWaiters sends the answer of a finished submission to all requests that
// wait for it.
func (c *Core) replyToWaiters(e *submission.Entry) {
	id := e.Submission.ID
	for _, ref := range c.waiters[id] {
		c.reply(ref, e.Answer(), nil)
	}
	delete(c.waiters, id)
}

func (c *Core) handleFetch(now time.Time, ev Fetch) {
	if !c.isSelf(ev.ID.Home()) {
		c.forward(ev.Ref, ev.ID, func(request uint64) *peerpb.Message {
			return &peerpb.Message{Body: &peerpb.Message_Fetch{
				Fetch: &peerpb.Fetch{Request: request, Id: ev.ID.String()}}}
		})
		return
	}
	e := c.findOrRefuse(now, ev.Ref, ev.ID)
	if e != nil {
		c.replyAnswer(ev.Ref, e)
	}
}

// findOrRefuse returns the table's entry of an id. If there is none it refuses
// the request and returns nil.
func (c *Core) findOrRefuse(now time.Time, ref RequestRef, id ident.SubmissionID) *submission.Entry {
	e, refusal := c.table.Find(now, id)
	if refusal == nil && e == nil {
		refusal = fault.New(fault.NotFound, fault.RanNo).WithField("id")
	}
	if refusal != nil {
		c.refuse(ref, refusal)
		return nil
	}
	return e
}

func (c *Core) handleCancel(now time.Time, ev Cancel) {
	if !c.isSelf(ev.ID.Home()) {
		c.forward(ev.Ref, ev.ID, func(request uint64) *peerpb.Message {
			return &peerpb.Message{Body: &peerpb.Message_Cancel{
				Cancel: &peerpb.Cancel{Request: request, Id: ev.ID.String()}}}
		})
		return
	}
	e := c.findOrRefuse(now, ev.Ref, ev.ID)
	if e == nil {
		return
	}
	if !e.Finished() {
		c.counters.Cancelled++
		c.failSubmission(now, e, fault.Cancelled)
	}
	c.replyAnswer(ev.Ref, e)
}

// failSubmission ends an open submission: queued tasks are removed, running
// ones are aborted, and all waiting requests get the failed answer.
func (c *Core) failSubmission(now time.Time, e *submission.Entry, kind fault.Kind) {
	id := e.Submission.ID
	for _, p := range c.table.RemoteExecutors(e) {
		c.emit(Send{To: p, Message: &peerpb.Message{Body: &peerpb.Message_CancelTasks{
			CancelTasks: &peerpb.CancelTasks{Submission: id.String()}}}})
	}
	c.removeTasks(e.Submission.Service, id, kind)
	c.table.FailOpenTasks(now, e, kind)
	c.replyToWaiters(e)
}

// removeTasks removes a submission's tasks from the queue and aborts its calls.
func (c *Core) removeTasks(name ident.Service, id ident.SubmissionID, kind fault.Kind) {
	if sv := c.services[name]; sv != nil {
		for _, t := range sv.queue.RemoveSubmission(id) {
			if !c.isSelf(t.Home) {
				c.untrackRemote(t.Home, t.ID)
			}
		}
	}
	for number, cl := range c.bySubmission[id] {
		cl.abortKind = kind
		c.emit(AbortCall{Call: number})
	}
}

// forward forwards a request to the home of its submission. It refuses the
// request when there is no link to the home, or when a peer has already
// forwarded it.
func (c *Core) forward(ref RequestRef, id ident.SubmissionID, message func(uint64) *peerpb.Message) {
	home := id.Home()
	if ref.Peer != (ident.Process{}) {
		// The peer took this process for the home because its view of the fleet
		// is out of date.
		c.refuse(ref, fault.New(fault.IDUnknown, fault.RanUnknown).WithField("id"))
		return
	}
	if c.links[home] == nil {
		c.refuse(ref, c.unlinkedHomeRefusal(home))
		return
	}
	c.counters.Forwarded++
	c.nextForward++
	c.pendingForwards[c.nextForward] = pendingForward{ref: ref, home: home}
	c.emit(Send{To: home, Message: message(c.nextForward)})
}

// unlinkedHomeRefusal returns the refusal for a request whose home has no link:
// OutcomeUnknown when the home has ended, HomeUnreachable otherwise.
// Only the home may start the tasks of its submissions, so a submission is
// never started again once its home has ended.
func (c *Core) unlinkedHomeRefusal(home ident.Process) *fault.Error {
	if c.hasEnded(home) {
		return fault.New(fault.OutcomeUnknown, fault.RanUnknown).
			WithDetail("the home instance of this submission was replaced or failed")
	}
	return fault.New(fault.HomeUnreachable, fault.RanUnknown).WithRetryAfter(retryAfter)
}

// admit returns nil when a new submission is admitted, and otherwise the
// refusal. Every refusal says that nothing ran, since no task has been queued
// yet.
func (c *Core) admit(now time.Time, s *work.Submission) *fault.Error {
	refusal := func(k fault.Kind) *fault.Error { return fault.New(k, fault.RanNo) }
	snap := c.configHolder.Snapshot()
	switch {
	case c.draining || c.replaced:
		return refusal(fault.Draining).WithRetryAfter(retryAfter)
	case !c.Ready():
		return refusal(fault.ConfigMissing).WithRetryAfter(retryAfter)
	}
	if err := snap.CheckAccess(s.Team, s.Service); err != nil {
		return fault.From(err)
	}
	sv := c.services[s.Service]
	if !sv.placeable {
		return refusal(fault.Unplaceable).WithDetail("no endpoint of the service is live in an allowed data centre")
	}
	if len(s.Tasks) > int(sv.maxQueued) {
		return refusal(fault.Unplaceable).WithField("tasks").WithDetail("more tasks than the service's max-queued")
	}
	if sv.queue.FreeCapacity() < len(s.Tasks) {
		return refusal(fault.QueueFull).WithRetryAfter(sv.estimateWait(now, 1))
	}
	if f := c.admitLimits(sv, s); f != nil {
		c.counters.Unplaceable++
		return f
	}
	return c.admitDeadline(now, sv, s)
}

// admitDeadline refuses a submission that is expected to miss its deadline, so
// that the caller learns this before any work is done.
func (c *Core) admitDeadline(now time.Time, sv *service, s *work.Submission) *fault.Error {
	remaining := s.Deadline.Sub(now)
	needed := sv.estimateWait(now, len(s.Tasks)-1) + sv.pool.Estimate(s.Tasks[0].Size)
	if needed > remaining {
		return fault.New(fault.DeadlineUnmeetable, fault.RanNo).WithField("deadline-ms").
			WithRetryAfter(sv.estimateWait(now, 0))
	}
	return nil
}
