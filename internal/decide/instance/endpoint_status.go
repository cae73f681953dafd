package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// maxAnswersWithoutTask is the number of status answers in a row without a task
// after which the connection of its call counts as silent: no reply will come
// over it. A single such answer may have been sent just after the task's reply,
// and have arrived before it.
const maxAnswersWithoutTask = 2

// statusReadInterval is the minimum time between two status requests that are
// made for the same call.
const statusReadInterval = 500 * time.Millisecond

// handleStatusRead handles the outcome of ReadStatus. A call whose task is not
// in maxAnswersWithoutTask answers in a row is aborted with an unknown outcome,
// and new calls use new connections to the endpoint.
func (c *Core) handleStatusRead(now time.Time, ev StatusRead) {
	if ev.Failure != nil {
		return
	}
	if sv := c.services[ev.Endpoint.Service]; sv != nil {
		sv.pool.SetReportedStatus(now, ident.EndpointID(ev.Endpoint.ID), ev.Busy, ev.Slots, ev.Draining)
	}
	silent := false
	for number, cl := range c.calls {
		if cl.endpoint.ID != ev.Endpoint.ID || cl.statusReadAt.IsZero() {
			continue
		}
		if ev.Running[cl.task.ID.String()] {
			cl.answersWithoutTask = 0
			continue
		}
		cl.answersWithoutTask++
		if cl.answersWithoutTask >= maxAnswersWithoutTask && cl.abortKind == "" {
			silent = true
			c.counters.SilentCalls++
			cl.abortKind = fault.OutcomeUnknown
			c.emit(AbortCall{Call: number})
		}
	}
	if silent {
		c.emit(RetireConnections{Endpoint: ev.Endpoint})
	}
}
