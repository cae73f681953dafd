package dispatcher

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

// linked reports whether there is a link to another process.
func (c *Core) linked(p ident.Process) bool {
	_, ok := c.groups.linked[p]
	return ok
}

// releaseOrders drops the tasks of a home that follows another owner, and those
// of its orders up to a number that are still on the way.
func (c *Core) releaseOrders(now time.Time, from ident.Process, upTo uint64) {
	c.applyPoolActions(now, c.pool.WithdrawTasksOf(now, from))
	c.released[from] = max(c.released[from], upTo)
}

// rejectReleased returns the orders that are not released, and reports to the
// home that this instance does not run the others.
func (c *Core) rejectReleased(from ident.Process, orders []job.Order) []job.Order {
	var accepted []job.Order
	var ends TaskEnds
	for i := range orders {
		o := &orders[i]
		if o.Placement == 0 || o.Placement > c.released[from] {
			accepted = append(accepted, *o)
			continue
		}
		for _, index := range o.Indexes {
			ends = append(ends, job.TaskEnd{Key: job.Key{Job: o.Job, Step: o.Step, Index: index}, Placement: o.Placement, Outcome: job.NotOwner})
		}
	}
	if len(ends) > 0 {
		c.pending = append(c.pending, Send{To: from, Message: ends})
	}
	return accepted
}

// requestRelease asks a process to release the orders of this instance: a
// heartbeat names the new owner and the latest order, and the answer tells what
// is released.
func (c *Core) requestRelease(now time.Time, from ident.Process) {
	m := c.ownHeartbeat(now)
	m.RequestReply, m.Released = true, c.released[from]
	c.pending = append(c.pending, Send{To: from, Urgent: true, Message: m})
}

// withdrawal is a withdrawal that may have been lost with a link.
type withdrawal struct {
	home.Withdraw
	at time.Time
}

// withdrawalRetention is how long withdrawals are kept. An owner drops the tasks
// of a home whose link is lost for longer than Config.LinkGrace after the
// heartbeat timeout.
const withdrawalRetention = 2 * time.Second

// noteWithdrawal keeps a withdrawal for the case that it is lost with the link to
// its owner, or that there is no link to it.
func (c *Core) noteWithdrawal(now time.Time, w home.Withdraw) {
	expired := 0
	for expired < len(c.withdrawals) && now.Sub(c.withdrawals[expired].at) >= withdrawalRetention {
		expired++
	}
	c.withdrawals = append(c.withdrawals[expired:], withdrawal{Withdraw: w, at: now})
}

// repeatWithdrawals sends the latest withdrawals again to an owner with a new
// link, which may have kept the tasks. Jobs that were submitted again since are
// placed again instead.
func (c *Core) repeatWithdrawals(now time.Time, to ident.Process) {
	for _, w := range c.withdrawals {
		open, _ := c.jobs.State(w.Job)
		if w.To == to && now.Sub(w.at) < withdrawalRetention && !open {
			c.pending = append(c.pending, Send{To: to, Message: Withdrawal(w.Job)})
		}
	}
}
