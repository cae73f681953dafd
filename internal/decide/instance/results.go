package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// resultRetention is how long a result is kept for its home after it was sent,
// in case the connection was lost with it. It covers the time that a silent
// link needs to be noticed and dialled anew.
const resultRetention = 10 * time.Second

// maxResults bounds the results kept for one home.
const maxResults = 4096

// outbox holds the newest results for one home.
type outbox struct {
	results []*peerpb.TaskResult
	at      []time.Time
}

func (o *outbox) add(now time.Time, rs ...*peerpb.TaskResult) {
	for _, r := range rs {
		o.results = append(o.results, r)
		o.at = append(o.at, now)
	}
	o.trim(max(0, len(o.results)-maxResults))
}

// trim forgets the oldest n results.
func (o *outbox) trim(n int) {
	o.results = o.results[n:]
	o.at = o.at[n:]
}

// expire forgets the results older than the retention.
func (o *outbox) expire(now time.Time) {
	n := 0
	for n < len(o.at) && now.Sub(o.at[n]) > resultRetention {
		n++
	}
	o.trim(n)
}

// sendResult reports a result to the task's home and keeps it for a while.
func (c *Core) sendResult(now time.Time, home ident.Process, r *work.Result) {
	c.release(home, r.Task)
	m := resultMessage(r)
	c.keepResults(now, home, []*peerpb.TaskResult{m})
	if c.links[home] != nil {
		c.do(Send{To: home, Message: resultsMessage([]*peerpb.TaskResult{m})})
	}
}

func (c *Core) keepResults(now time.Time, home ident.Process, rs []*peerpb.TaskResult) {
	o := c.results[home]
	if o == nil {
		o = &outbox{}
		c.results[home] = o
	}
	o.expire(now)
	o.add(now, rs...)
}

// resend reports the recent results to a home that is linked again, and then
// which of its attempts are still here. The home ignores what it has.
func (c *Core) resend(now time.Time, home ident.Process) {
	if o := c.results[home]; o != nil {
		o.expire(now)
		if len(o.results) > 0 {
			c.do(Send{To: home, Message: resultsMessage(append([]*peerpb.TaskResult(nil), o.results...))})
		}
	}
	held := &peerpb.Holding{}
	for _, t := range c.held[home] {
		held.Tasks = append(held.Tasks, &peerpb.TaskRef{
			Submission: t.ID.Submission.String(),
			Index:      uint32(t.ID.Index),
			Attempt:    uint32(t.Attempt),
		})
	}
	c.do(Send{To: home, Message: &peerpb.Message{Body: &peerpb.Message_Holding{Holding: held}}})
}

// hold notes a task of another home that is here until its result is sent.
func (c *Core) hold(t *work.Task) {
	if c.held[t.Home] == nil {
		c.held[t.Home] = map[ident.TaskID]*work.Task{}
	}
	c.held[t.Home][t.ID] = t
}

// release ends the note of a task of another home.
func (c *Core) release(home ident.Process, id ident.TaskID) {
	delete(c.held[home], id)
	if len(c.held[home]) == 0 {
		delete(c.held, home)
	}
}

// orphaned drops the waiting tasks of a home that is dead: nobody would get
// their answers. Those that run go on, since they can't be undone.
func (c *Core) orphaned(now time.Time, home ident.Process) {
	for _, t := range c.held[home] {
		if sv := c.services[t.Service]; sv != nil && sv.queue.Remove(t.ID) != nil {
			c.giveBack(now, t, fault.HomeUnreachable)
		}
	}
}

// holding compares what a peer holds with what it was given. An attempt that
// the peer neither holds nor has reported was lost with the connection; it may
// have run.
func (c *Core) holding(now time.Time, p ident.Process, m *peerpb.Holding) {
	held := map[ident.TaskID]ident.Attempt{}
	for _, ref := range m.Tasks {
		if id, ok := taskID(ref.Submission, ref.Index); ok {
			held[id] = ident.Attempt(ref.Attempt)
		}
	}
	for id, attempt := range c.links[p].unconfirmed {
		if held[id] != attempt && c.table.Delegated(p)[id] == attempt {
			c.lost(now, id, attempt)
		}
	}
	c.links[p].unconfirmed = nil
}

// lost takes an attempt whose outcome will never be known.
func (c *Core) lost(now time.Time, id ident.TaskID, attempt ident.Attempt) {
	t := c.table.Task(now, id, attempt)
	if t == nil {
		return
	}
	c.homeResult(now, t, &work.Result{
		Task:    id,
		Attempt: attempt,
		Failure: fault.New(fault.OutcomeUnknown, fault.RanUnknown),
	})
}

// resultsReceived takes the results of attempts that a peer had.
func (c *Core) resultsReceived(now time.Time, p ident.Process, m *peerpb.TaskResults) {
	for _, in := range m.Results {
		r, err := resultFrom(in)
		if err != nil || c.table.Delegated(p)[r.Task] != r.Attempt {
			continue
		}
		if r.NotStarted {
			c.count.Returned++
		}
		if t := c.table.Task(now, r.Task, r.Attempt); t != nil {
			c.homeResult(now, t, r)
		}
	}
}
