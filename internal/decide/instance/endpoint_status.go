package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// maxMissingAnswers is the number of status answers in a row without a task
// after which the connection of its call counts as silent. A single answer may
// just have crossed with the task's reply.
const maxMissingAnswers = 2

// statusPollInterval is the time between two status polls because of one call.
const statusPollInterval = 500 * time.Millisecond

// handleStatusRead handles an endpoint's answer about its state. A call whose
// task is missing in maxMissingAnswers answers in a row is aborted as of
// unknown outcome, and new calls use new connections to the endpoint.
func (c *Core) handleStatusRead(now time.Time, ev StatusRead) {
	if ev.Failure != nil {
		return
	}
	if sv := c.services[ev.Endpoint.Service]; sv != nil {
		sv.pool.SetReportedStatus(now, ident.EndpointID(ev.Endpoint.ID), ev.Busy, ev.Slots, ev.Draining)
	}
	stalled := false
	for n, k := range c.calls {
		if k.endpoint.ID != ev.Endpoint.ID || k.polledAt.IsZero() {
			continue
		}
		if ev.Running[k.task.ID.String()] {
			k.missingAnswers = 0
			continue
		}
		k.missingAnswers++
		if k.missingAnswers >= maxMissingAnswers && k.abortKind == "" {
			stalled = true
			c.counters.SilentCalls++
			k.abortKind = fault.OutcomeUnknown
			c.emit(AbortCall{Call: n})
		}
	}
	if stalled {
		c.emit(RetireConnections{Endpoint: ev.Endpoint})
	}
}
