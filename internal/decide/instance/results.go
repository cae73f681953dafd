package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// resultRetention is how long a result is kept for the task's home, in case it
// was lost with the connection or could not be sent. It covers the time until a
// link without traffic is detected and dialled again.
const resultRetention = 10 * time.Second

// maxOutboxResults is the largest number of results kept for one home.
const maxOutboxResults = 4096

// outbox holds the newest results for one home and when each was added.
type outbox struct {
	results []*peerpb.TaskResult
	addedAt []time.Time
}

func (o *outbox) add(now time.Time, rs ...*peerpb.TaskResult) {
	for _, r := range rs {
		o.results = append(o.results, r)
		o.addedAt = append(o.addedAt, now)
	}
	o.removeOldest(max(0, len(o.results)-maxOutboxResults))
}

// removeOldest removes the oldest n results.
func (o *outbox) removeOldest(n int) {
	o.results = o.results[n:]
	o.addedAt = o.addedAt[n:]
}

// expire removes the results older than resultRetention.
func (o *outbox) expire(now time.Time) {
	n := 0
	for n < len(o.addedAt) && now.Sub(o.addedAt[n]) > resultRetention {
		n++
	}
	o.removeOldest(n)
}

// sendResult sends a result to the task's home and keeps it for
// resultRetention.
func (c *Core) sendResult(now time.Time, home ident.Process, r *work.Result) {
	c.untrackRemote(home, r.Task)
	m := resultMessage(r)
	c.keepResults(now, home, []*peerpb.TaskResult{m})
	if c.links[home] != nil {
		c.emit(Send{To: home, Message: resultsMessage([]*peerpb.TaskResult{m})})
	}
}

func (c *Core) keepResults(now time.Time, home ident.Process, rs []*peerpb.TaskResult) {
	o := c.outboxes[home]
	if o == nil {
		o = &outbox{}
		c.outboxes[home] = o
	}
	o.expire(now)
	o.add(now, rs...)
}

// resendResults sends the recent results to a home that is linked again, and
// then the list of its attempts that are still here. The home ignores results
// that it already has.
func (c *Core) resendResults(now time.Time, home ident.Process) {
	if o := c.outboxes[home]; o != nil {
		o.expire(now)
		if len(o.results) > 0 {
			c.emit(Send{To: home, Message: resultsMessage(append([]*peerpb.TaskResult(nil), o.results...))})
		}
	}
	holding := &peerpb.Holding{}
	for _, t := range c.tasksByHome[home] {
		holding.Tasks = append(holding.Tasks, &peerpb.TaskRef{
			Submission: t.ID.Submission.String(),
			Index:      uint32(t.ID.Index),
			Attempt:    uint32(t.Attempt),
		})
	}
	c.emit(Send{To: home, Message: &peerpb.Message{Body: &peerpb.Message_Holding{Holding: holding}}})
}

// trackRemote records a task of another home, until its result is sent.
func (c *Core) trackRemote(t *work.Task) {
	if c.tasksByHome[t.Home] == nil {
		c.tasksByHome[t.Home] = map[ident.TaskID]*work.Task{}
	}
	c.tasksByHome[t.Home][t.ID] = t
}

// untrackRemote removes the record of a task of another home.
func (c *Core) untrackRemote(home ident.Process, id ident.TaskID) {
	delete(c.tasksByHome[home], id)
	if len(c.tasksByHome[home]) == 0 {
		delete(c.tasksByHome, home)
	}
}

// returnWaiting removes the waiting tasks of a home and reports them to it as
// not started, with fault.HomeUnreachable. It is called when the home is dead,
// since nobody would get the results, and when this instance drains. Tasks that
// run go on, since they can't be undone.
func (c *Core) returnWaiting(now time.Time, home ident.Process) {
	for _, t := range c.tasksByHome[home] {
		if sv := c.services[t.Service]; sv != nil && sv.queue.Remove(t.ID) != nil {
			c.returnTask(now, t, fault.HomeUnreachable)
		}
	}
}

// handleHolding reconciles the attempts that a peer still holds with those that
// were delegated to it before the link. An attempt that the peer neither holds
// nor has reported was lost with the connection; it may have run.
func (c *Core) handleHolding(now time.Time, p ident.Process, m *peerpb.Holding) {
	held := map[ident.TaskID]ident.Attempt{}
	for _, ref := range m.Tasks {
		if id, ok := parseTaskID(ref.Submission, ref.Index); ok {
			held[id] = ident.Attempt(ref.Attempt)
		}
	}
	for id, attempt := range c.links[p].unconfirmed {
		if held[id] != attempt && c.table.Delegated(p)[id] == attempt {
			c.markLost(now, id, attempt)
		}
	}
	c.links[p].unconfirmed = nil
}

// markLost ends an attempt with an unknown outcome. The task may be retried.
func (c *Core) markLost(now time.Time, id ident.TaskID, attempt ident.Attempt) {
	t := c.table.CurrentAttempt(now, id, attempt)
	if t == nil {
		return
	}
	c.handleResult(now, t, &work.Result{
		Task:    id,
		Attempt: attempt,
		Failure: fault.New(fault.OutcomeUnknown, fault.RanUnknown),
	})
}

// handleTaskResults handles the results of attempts that were delegated to a
// peer. Results of other attempts are ignored.
func (c *Core) handleTaskResults(now time.Time, p ident.Process, m *peerpb.TaskResults) {
	for _, in := range m.Results {
		r, err := resultFrom(in)
		if err != nil || c.table.Delegated(p)[r.Task] != r.Attempt {
			continue
		}
		if r.NotStarted {
			c.counters.Returned++
		}
		if t := c.table.CurrentAttempt(now, r.Task, r.Attempt); t != nil {
			c.handleResult(now, t, r)
		}
	}
}
