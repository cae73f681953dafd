package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// periodicCheckInterval is the time between two runs of the checks that need
// not run at each tick.
const periodicCheckInterval = 100 * time.Millisecond

// drainingStatusInterval is the time between two status requests to a draining
// endpoint.
const drainingStatusInterval = 5 * time.Second

func (c *Core) handleTick(now time.Time) {
	due, changes := c.members.Tick(now)
	for _, id := range due {
		if p, ok := c.linkedProcess(id); ok {
			c.sendHeartbeat(now, p, 0)
		}
	}
	c.applyMemberChanges(now, changes)
	for e := c.table.Overdue(now); e != nil; e = c.table.Overdue(now) {
		c.counters.Expired++
		c.failSubmission(now, e, fault.DeadlineExceeded)
	}
	for _, sv := range c.services {
		for _, t := range sv.queue.Expire(now) {
			c.reportResult(now, t, notRunResult(t, fault.DeadlineExceeded))
		}
		c.dispatch(now, sv)
	}
	if !now.Before(c.nextPeriodicCheck) {
		c.nextPeriodicCheck = now.Add(periodicCheckInterval)
		c.checkCalls(now)
		c.updateReading(now)
		c.table.Expire(now)
	}
	if !now.Before(c.nextDrainingStatusRead) {
		c.nextDrainingStatusRead = now.Add(drainingStatusInterval)
		for _, sv := range c.services {
			c.readDrainingStatus(sv)
		}
	}
	c.updateShares(now)
	c.exitWhenDrained(now)
}

// checkCalls looks for calls that take too long. A repeatable task may be
// hedged, and the endpoint is asked for its status to detect a silent
// connection.
func (c *Core) checkCalls(now time.Time) {
	for number, cl := range c.calls {
		elapsed := now.Sub(cl.started)
		if c.hedgeDue(cl, elapsed) {
			c.startHedge(now, number, cl)
		}
		if elapsed >= cl.checkAfter && now.Sub(cl.statusReadAt) >= statusReadInterval && cl.abortKind == "" {
			cl.statusReadAt = now
			c.emit(ReadStatus{Endpoint: cl.endpoint})
		}
	}
}
