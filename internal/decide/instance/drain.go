package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// startDrain stops admission, tells the peers, which take over the endpoints of
// this instance, and returns the waiting tasks of other homes.
func (c *Core) startDrain(now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	c.members.SetDraining()
	for p := range c.links {
		c.emit(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_Goodbye{
			Goodbye: &peerpb.Goodbye{
				Instance:    string(c.cfg.Self.Instance),
				Incarnation: uint64(c.cfg.Self.Incarnation),
			}}}})
	}
	for home := range c.tasksByHome {
		c.returnWaiting(now, home)
	}
	if c.replaced {
		c.failQueued(now)
	}
}

// failQueued fails the waiting tasks whose home is this process. A process that
// was replaced may not start any more tasks.
func (c *Core) failQueued(now time.Time) {
	for _, sv := range c.services {
		for t := sv.queue.Pop(c.isHome); t != nil; t = sv.queue.Pop(c.isHome) {
			c.resolve(now, notRunResult(t, fault.Draining))
		}
	}
}

// exitWhenDrained emits Exit once no submission, call, forwarded request or
// task of another home is left.
func (c *Core) exitWhenDrained(time.Time) {
	if !c.draining || c.exitSent || c.table.Open() > 0 || len(c.calls) > 0 || len(c.pendingForwards) > 0 || len(c.tasksByHome) > 0 {
		return
	}
	c.exitSent = true
	reason := fault.Draining
	if c.replaced {
		// The peers refuse a process that was replaced.
		reason = fault.PeerRefused
	}
	c.emit(Exit{Reason: reason})
}
