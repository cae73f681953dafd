package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/submission"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// retryAfter is the wait that refusals suggest when the obstacle is expected
// to pass soon, such as a member's suspicion or a full queue.
const retryAfter = time.Second

// forward is a request that was passed on to the submission's home.
type forward struct {
	ref  Ref
	home ident.Process
}

func (c *Core) issue(now time.Time, ev Issue) {
	if c.draining || c.replaced {
		c.refuse(ev.Ref, fault.New(fault.Draining, fault.RanNo).WithRetryAfter(retryAfter))
		return
	}
	c.do(Reply{Request: ev.Ref.Request, IDs: c.table.Issue(now, ev.Count)})
}

func (c *Core) submit(now time.Time, ev Submit) {
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
	e, f := c.table.Find(now, s.ID)
	if f != nil {
		c.refuse(ev.Ref, f)
		return
	}
	if e != nil {
		if f := e.Match(ev.Digest); f != nil {
			c.refuse(ev.Ref, f)
			return
		}
		c.count.Joined++
		c.join(ev.Ref, e)
		return
	}
	if f := c.admit(now, s); f != nil {
		c.refuse(ev.Ref, f)
		return
	}
	c.begin(now, ev)
}

// begin records an admitted submission and queues its tasks.
func (c *Core) begin(now time.Time, ev Submit) {
	s := &ev.Submission
	c.count.Submissions++
	sv := c.services[s.Service]
	repeatable := !s.Job && sv.conf.Idempotent
	_, tasks := c.table.Add(now, *s, ev.Digest, repeatable)
	c.waiters[s.ID] = append(c.waiters[s.ID], ev.Ref)
	for _, t := range tasks {
		sv.queue.Push(t)
		c.budget.Attempted(now)
	}
	c.dispatch(now, sv)
}

// join answers a resubmission, now or together with the first one.
func (c *Core) join(ref Ref, e *submission.Entry) {
	if !e.Done() {
		id := e.Submission.ID
		c.waiters[id] = append(c.waiters[id], ref)
		return
	}
	c.replyEntry(ref, e)
}

// replyEntry answers with an entry's answer as it stands.
func (c *Core) replyEntry(ref Ref, e *submission.Entry) {
	if e.Dropped() {
		c.refuse(ref, fault.New(fault.AnswerDropped, fault.RanYes).WithField("id"))
		return
	}
	c.reply(ref, e.Answer(), nil)
}

// answered tells everyone who waits for a submission that it is whole.
func (c *Core) answered(e *submission.Entry) {
	id := e.Submission.ID
	for _, ref := range c.waiters[id] {
		c.reply(ref, e.Answer(), nil)
	}
	delete(c.waiters, id)
}

func (c *Core) fetch(now time.Time, ev Fetch) {
	if !c.isSelf(ev.ID.Home()) {
		c.forward(ev.Ref, ev.ID, func(request uint64) *peerpb.Message {
			return &peerpb.Message{Body: &peerpb.Message_Fetch{
				Fetch: &peerpb.Fetch{Request: request, Id: ev.ID.String()}}}
		})
		return
	}
	e := c.known(now, ev.Ref, ev.ID)
	if e != nil {
		c.replyEntry(ev.Ref, e)
	}
}

// known returns the entry of an id, or refuses the request.
func (c *Core) known(now time.Time, ref Ref, id ident.SubmissionID) *submission.Entry {
	e, f := c.table.Find(now, id)
	if f == nil && e == nil {
		f = fault.New(fault.NotFound, fault.RanNo).WithField("id")
	}
	if f != nil {
		c.refuse(ref, f)
		return nil
	}
	return e
}

func (c *Core) cancel(now time.Time, ev Cancel) {
	if !c.isSelf(ev.ID.Home()) {
		c.forward(ev.Ref, ev.ID, func(request uint64) *peerpb.Message {
			return &peerpb.Message{Body: &peerpb.Message_Cancel{
				Cancel: &peerpb.Cancel{Request: request, Id: ev.ID.String()}}}
		})
		return
	}
	e := c.known(now, ev.Ref, ev.ID)
	if e == nil {
		return
	}
	if !e.Done() {
		c.count.Cancelled++
		c.abandon(now, e, fault.Cancelled)
	}
	c.replyEntry(ev.Ref, e)
}

// abandon makes an open submission final: what waits is dropped, what runs is
// aborted, and everyone who waits gets the failed answer.
func (c *Core) abandon(now time.Time, e *submission.Entry, kind fault.Kind) {
	id := e.Submission.ID
	for _, p := range c.table.Executors(e) {
		c.do(Send{To: p, Message: &peerpb.Message{Body: &peerpb.Message_CancelTasks{
			CancelTasks: &peerpb.CancelTasks{Submission: id.String()}}}})
	}
	c.dropTasks(e.Submission.Service, id, kind)
	c.table.Abandon(now, e, kind)
	c.answered(e)
}

// dropTasks removes a submission's tasks from the queue and aborts its calls.
func (c *Core) dropTasks(name ident.Service, id ident.SubmissionID, kind fault.Kind) {
	if sv := c.services[name]; sv != nil {
		for _, t := range sv.queue.RemoveSubmission(id) {
			if !c.isSelf(t.Home) {
				c.release(t.Home, t.ID)
			}
		}
	}
	for n, k := range c.bySubmission[id] {
		k.aborted = kind
		c.do(Abort{Call: n})
	}
}

// forward passes a request on to the submission's home, or refuses it when the
// home is gone or out of reach.
func (c *Core) forward(ref Ref, id ident.SubmissionID, message func(uint64) *peerpb.Message) {
	home := id.Home()
	if ref.Peer != (ident.Process{}) {
		// A peer took this process for the home: its view is older than ours.
		c.refuse(ref, fault.New(fault.IDUnknown, fault.RanUnknown).WithField("id"))
		return
	}
	if c.links[home] == nil {
		c.refuse(ref, c.homeFailure(home))
		return
	}
	c.count.Forwarded++
	c.nextForward++
	c.forwards[c.nextForward] = forward{ref: ref, home: home}
	c.do(Send{To: home, Message: message(c.nextForward)})
}

// homeFailure tells a home that is gone for good from one out of reach. Only
// the home may start its tasks, so that a submission of a lost home is never
// started again.
func (c *Core) homeFailure(home ident.Process) *fault.Error {
	if c.gone(home) {
		return fault.New(fault.OutcomeUnknown, fault.RanUnknown).
			WithDetail("the home instance of this submission was replaced or failed")
	}
	return fault.New(fault.HomeUnreachable, fault.RanUnknown).WithRetryAfter(retryAfter)
}

// admit decides on a new submission. Nothing of it has started, so that each
// refusal says so.
func (c *Core) admit(now time.Time, s *work.Submission) *fault.Error {
	no := func(k fault.Kind) *fault.Error { return fault.New(k, fault.RanNo) }
	snap := c.holder.InForce()
	switch {
	case c.draining || c.replaced:
		return no(fault.Draining).WithRetryAfter(retryAfter)
	case !c.Ready():
		return no(fault.ConfigMissing).WithRetryAfter(retryAfter)
	}
	if err := snap.Allowed(s.Team, s.Service); err != nil {
		return fault.From(err)
	}
	sv := c.services[s.Service]
	if !sv.placeable {
		return no(fault.Unplaceable).WithDetail("no endpoint of the service is live in an allowed data centre")
	}
	if len(s.Tasks) > int(sv.limit) {
		return no(fault.Unplaceable).WithField("tasks").WithDetail("more tasks than the service's max-queued")
	}
	if sv.queue.Room() < len(s.Tasks) {
		return no(fault.QueueFull).WithRetryAfter(sv.wait(now, 1))
	}
	if f := c.admitLimits(sv, s); f != nil {
		c.count.Unplaceable++
		return f
	}
	return c.admitDeadline(now, sv, s)
}

// admitDeadline refuses a submission that is expected to miss its deadline, so
// that the caller learns it before any work is spent.
func (c *Core) admitDeadline(now time.Time, sv *service, s *work.Submission) *fault.Error {
	left := s.Deadline.Sub(now)
	need := sv.wait(now, len(s.Tasks)-1) + sv.pool.Estimate(s.Tasks[0].Size)
	if need > left {
		return fault.New(fault.DeadlineUnmeetable, fault.RanNo).WithField("deadline-ms").
			WithRetryAfter(sv.wait(now, 0))
	}
	return nil
}
