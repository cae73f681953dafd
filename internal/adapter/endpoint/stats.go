package endpoint

import (
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Stats has the counters of a client.
type Stats struct {
	// Calls counts the finished calls of RunTask. Each is also in exactly one
	// of the next seven counters.
	Calls     uint64
	Succeeded uint64
	// Failed counts the tasks that the endpoint reported as failed.
	Failed uint64
	// Unknown counts the tasks that may or may not have run.
	Unknown uint64
	// Cancelled counts the cancelled calls, also those whose task did not
	// start.
	Cancelled uint64
	// Busy and Draining count the tasks that the endpoint refused for this
	// reason.
	Busy     uint64
	Draining uint64
	// NotStarted counts the other tasks that did not start.
	NotStarted uint64
	// Reused counts the calls that got a kept-alive connection.
	Reused uint64
	Dials  uint64
	// Retired counts the calls of RetireConnections that took a transport out
	// of use.
	Retired uint64
	// StatusCalls counts the calls of Status.
	StatusCalls uint64
	// DialFailures counts the dials that opened no connection.
	DialFailures uint64
	// StatusFailures counts the calls of Status that failed.
	StatusFailures uint64
	// Endpoints is the number of endpoint processes with a transport.
	Endpoints int
}

// Stats returns a copy of the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	s := c.stats
	c.mu.Unlock()
	s.Endpoints = c.pool.size()
	return s
}

// updateStats changes the counters under the lock.
func (c *Client) updateStats(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// record counts a finished call.
func (s *Stats) record(result work.Result, reused bool) {
	s.Calls++
	if reused {
		s.Reused++
	}
	var kind fault.Kind
	if result.Failure != nil {
		kind = result.Failure.Kind
	}
	switch {
	case kind == "":
		s.Succeeded++
	case kind == fault.EndpointBusy:
		s.Busy++
	case kind == fault.Draining:
		s.Draining++
	case kind == fault.Cancelled:
		s.Cancelled++
	case result.NotStarted:
		s.NotStarted++
	case kind == fault.EndpointFailed:
		s.Failed++
	default:
		s.Unknown++
	}
}
