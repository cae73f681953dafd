package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// drain stops admission and tells the peers. Owned endpoints move to them.
func (c *Core) drain(now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	c.members.Drain()
	for p := range c.links {
		c.do(Send{To: p, Control: true, Message: &peerpb.Message{Body: &peerpb.Message_Goodbye{
			Goodbye: &peerpb.Goodbye{
				Instance:    string(c.cfg.Self.Instance),
				Incarnation: uint64(c.cfg.Self.Incarnation),
			}}}})
	}
	for home := range c.held {
		c.orphaned(now, home)
	}
	if c.replaced {
		c.dropQueued(now)
	}
}

// dropQueued ends the waiting tasks of a process that was replaced: it may
// start nothing more.
func (c *Core) dropQueued(now time.Time) {
	for _, sv := range c.services {
		for t := sv.queue.Pop(c.ownTask); t != nil; t = sv.queue.Pop(c.ownTask) {
			c.resolve(now, notRun(t, fault.Draining))
		}
	}
}

// finishDrain leaves once nothing is under way.
func (c *Core) finishDrain(time.Time) {
	if !c.draining || c.left || c.table.Open() > 0 || len(c.calls) > 0 || len(c.forwards) > 0 || len(c.held) > 0 {
		return
	}
	c.left = true
	reason := fault.Draining
	if c.replaced {
		reason = fault.PeerRefused
	}
	c.do(Leave{Reason: reason})
}
