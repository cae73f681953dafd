package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// callCheckInterval is the time between two checks of the calls in flight.
const callCheckInterval = 100 * time.Millisecond

// drainingPollInterval is the time between two status polls of draining
// endpoints.
const drainingPollInterval = 5 * time.Second

func (c *Core) handleTick(now time.Time) {
	due, changes := c.members.Tick(now)
	for _, id := range due {
		if p, ok := c.linked(id); ok {
			c.sendHeartbeat(now, p, 0)
		}
	}
	c.applyMemberChanges(now, changes)
	for e := c.table.Overdue(now); e != nil; e = c.table.Overdue(now) {
		c.counters.Expired++
		c.failOpenTasks(now, e, fault.DeadlineExceeded)
	}
	for _, sv := range c.services {
		for _, t := range sv.queue.Expire(now) {
			c.reportResult(now, t, notRunResult(t, fault.DeadlineExceeded))
		}
		c.dispatch(now, sv)
	}
	if !now.Before(c.nextCallCheck) {
		c.nextCallCheck = now.Add(callCheckInterval)
		c.checkCalls(now)
		c.chooseReader(now)
		c.table.Expire(now)
	}
	if !now.Before(c.nextDrainingPoll) {
		c.nextDrainingPoll = now.Add(drainingPollInterval)
		for _, sv := range c.services {
			c.pollDrainingEndpoints(sv)
		}
	}
	c.updateShares(now)
	c.exitWhenDrained(now)
}

// checkCalls looks for calls that take too long. An idempotent request may be
// hedged, and the endpoint is polled to detect a connection that went silent.
func (c *Core) checkCalls(now time.Time) {
	for n, k := range c.calls {
		elapsed := now.Sub(k.started)
		if c.hedgeDue(k, elapsed) {
			c.startHedge(now, n, k)
		}
		if elapsed >= k.progress && now.Sub(k.polledAt) >= statusPollInterval && k.abortKind == "" {
			k.polledAt = now
			c.emit(PollStatus{Endpoint: k.endpoint})
		}
	}
}
