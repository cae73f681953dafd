package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// scanInterval is how often the calls under way are looked through.
const scanInterval = 100 * time.Millisecond

// drainingInterval is the time between two questions to a draining endpoint.
const drainingInterval = 5 * time.Second

func (c *Core) tick(now time.Time) {
	due, changes := c.members.Tick(now)
	for _, id := range due {
		if p, ok := c.linked(id); ok {
			c.sendHeartbeat(now, p, 0)
		}
	}
	c.changed(now, changes)
	for e := c.table.Overdue(now); e != nil; e = c.table.Overdue(now) {
		c.count.Expired++
		c.abandon(now, e, fault.DeadlineExceeded)
	}
	for _, sv := range c.services {
		for _, t := range sv.queue.Expire(now) {
			c.settle(now, t, notRun(t, fault.DeadlineExceeded))
		}
		c.dispatch(now, sv)
	}
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.scan(now)
		c.chooseReader(now)
		c.table.Expire(now)
	}
	if !now.Before(c.nextAsk) {
		c.nextAsk = now.Add(drainingInterval)
		for _, sv := range c.services {
			c.askDraining(sv)
		}
	}
	c.shares(now)
	c.finishDrain(now)
}

// scan looks for calls that take too long: an idempotent request may be hedged,
// and an endpoint that does not list the task has lost the connection.
func (c *Core) scan(now time.Time) {
	for n, k := range c.calls {
		took := now.Sub(k.started)
		if c.hedgeDue(k, took) {
			c.hedge(now, n, k)
		}
		if took >= k.progress && now.Sub(k.asked) >= askInterval && k.aborted == "" {
			k.asked = now
			c.do(AskStatus{Endpoint: k.endpoint})
		}
	}
}
