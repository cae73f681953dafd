// Package endpoint is the HTTP client for endpoints. It sends each attempt of a
// task at most once and reports whether the task ran, did not run or may have
// run.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// Call is one attempt of a task at an endpoint.
type Call struct {
	Instance work.Instance
	Task     *work.Task
	// Timeout is the time limit of the call, including the wait for a
	// connection.
	Timeout time.Duration
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	settings        Settings
	pool            pool
	statusTransport *http.Transport

	mu    sync.Mutex
	stats Stats
}

// New returns a client. The error has kind fault.SettingsInvalid.
func New(settings Settings) (*Client, error) {
	settings = settings.Defaults()
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	c := &Client{settings: settings}
	c.pool = pool{dial: c.dial, transports: map[transportKey]*http.Transport{}}
	c.statusTransport = &http.Transport{
		DialContext: settings.Dial,
		// Status calls use at most one connection to an endpoint, in addition
		// to the connections for tasks, of which there is one for each slot.
		MaxConnsPerHost:    1,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pool.close()
	c.statusTransport.CloseIdleConnections()
}

// RetireConnections stops the use of all current connections to the instance:
// idle ones are closed, calls in flight continue on theirs, and new calls open
// new ones.
func (c *Client) RetireConnections(instance work.Instance) {
	if c.pool.remove(instance) {
		c.updateStats(func(s *Stats) { s.Retired++ })
	}
}

// Forget frees the transport of an instance that is no longer used. Calls in
// flight continue.
func (c *Client) Forget(instance work.Instance) { c.pool.remove(instance) }

// RunTask sends one attempt of a task to an endpoint and waits for its outcome.
// The request is sent at most once.
//
// The result has NotStarted set only if it is certain that the task did not
// start: the endpoint refused it explicitly, or no byte of the request was
// written. The failure then has fault.RanNo and the kind fault.EndpointBusy,
// fault.Draining, fault.DeadlineUnmeetable, fault.EndpointUnreachable,
// fault.DeadlineExceeded or fault.Cancelled. Any other failure is one of these:
//   - fault.EndpointFailed with fault.RanYes: the endpoint reported a failure
//   - fault.Cancelled with fault.RanYes: ctx was cancelled
//   - fault.OutcomeUnknown with fault.RanUnknown: no complete response arrived
//     in time
func (c *Client) RunTask(ctx context.Context, call Call) work.Result {
	result := work.Result{
		Task: call.Task.ID, Attempt: call.Task.Attempt,
		Endpoint: ident.EndpointID(call.Instance.ID), Incarnation: call.Instance.Incarnation,
	}
	state := callState{call: call, clock: c.settings.Clock}
	output, failure := state.run(ctx, c.pool.transport(call.Instance))
	result.Output, result.Failure = output, failure
	result.NotStarted = failure != nil && failure.Ran == fault.RanNo
	if !result.NotStarted {
		result.Took = c.settings.Clock.Now().Sub(state.connectedAt())
	}
	c.updateStats(func(s *Stats) { s.record(result, state.reused()) })
	return result
}

// dial opens a connection that counts its writes, and counts the dial in Stats.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c.updateStats(func(s *Stats) { s.Dials++ })
	inner, err := c.settings.Dial(ctx, network, address)
	if err != nil {
		c.updateStats(func(s *Stats) { s.DialFailures++ })
		return nil, err
	}
	return &conn{Conn: inner}, nil
}
