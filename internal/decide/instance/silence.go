package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// silentAnswers is the number of an endpoint's answers in a row that do not
// list a task before its connection counts as silent. One answer may cross
// with the task's reply.
const silentAnswers = 2

// askInterval is the time between two questions about one call.
const askInterval = 500 * time.Millisecond

// statusRead takes an endpoint's answer about its state. A task in flight that
// two answers in a row do not list is on a connection that went silent.
func (c *Core) statusRead(now time.Time, ev StatusRead) {
	if ev.Failure != nil {
		return
	}
	if sv := c.services[ev.Endpoint.Service]; sv != nil {
		sv.pool.SetBusy(now, ident.EndpointID(ev.Endpoint.ID), ev.Busy, ev.Slots, ev.Draining)
	}
	silent := false
	for n, k := range c.calls {
		if k.endpoint.ID != ev.Endpoint.ID || k.asked.IsZero() {
			continue
		}
		if ev.Running[k.task.ID.String()] {
			k.missing = 0
			continue
		}
		k.missing++
		if k.missing >= silentAnswers && k.aborted == "" {
			silent = true
			c.count.SilentCalls++
			k.aborted = fault.OutcomeUnknown
			c.do(Abort{Call: n})
		}
	}
	if silent {
		c.do(Retire{Endpoint: ev.Endpoint})
	}
}
