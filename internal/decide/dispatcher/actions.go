package dispatcher

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// applyJobActions applies the actions of the table of jobs that are for this
// instance to its own pool, and adds the others to pending.
func (c *Core) applyJobActions(now time.Time, actions []home.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case home.Place:
			if a.To == c.self {
				c.applyPoolActions(now, c.pool.Place(now, c.self, a.Orders))
				continue
			}
			c.pending = append(c.pending, Send{To: a.To, Message: Orders(a.Orders)})
		case home.Withdraw:
			if a.To == c.self {
				c.applyPoolActions(now, c.pool.Withdraw(now, c.self, a.Job))
				continue
			}
			c.noteWithdrawal(now, a)
			if c.linked(a.To) {
				c.pending = append(c.pending, Send{To: a.To, Message: Withdrawal(a.Job)})
			}
		case home.RequestRelease:
			c.requestRelease(now, a.From)
		case home.Answer:
			c.pending = append(c.pending, a)
		}
	}
}

// applyPoolActions applies the reports of this instance's pool that are for the
// instance itself to its table of jobs, and adds the other actions to pending.
func (c *Core) applyPoolActions(now time.Time, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.ReportCrashes:
			c.reportCrashes(a.Records, c.view.Peers()...)
		case owner.Report:
			if a.To == c.self {
				c.applyJobActions(now, c.jobs.HandleEnds(now, c.self, a.Ends))
				continue
			}
			c.pending = append(c.pending, Send{To: a.To, Message: TaskEnds(a.Ends)})
		default:
			c.pending = append(c.pending, a)
		}
	}
}

// flush returns the collected actions and starts a new list.
func (c *Core) flush() []Action {
	pending := c.pending
	c.pending = nil
	return pending
}
