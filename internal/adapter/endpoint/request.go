package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// request builds the HTTP request of a call. The transport retries a request on
// its own only if it has no body, a GetBody function, an idempotent method or
// an idempotency header. This request has none of these.
func (state *callState) request(ctx context.Context) (*http.Request, *fault.Error) {
	task := state.call.Task
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+state.call.Instance.Address+"/v1/tasks", nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	req.Body = io.NopCloser(bytes.NewReader(task.Body))
	req.ContentLength = int64(len(task.Body))
	req.Header.Set("Hornbeamlift-Task", task.ID.String())
	req.Header.Set("Hornbeamlift-Attempt", strconv.FormatUint(uint64(task.Attempt), 10))
	req.Header.Set("Hornbeamlift-Service", string(task.Service))
	if !task.Deadline.IsZero() {
		left := task.Deadline.Sub(state.clock.Now())
		if left <= 0 {
			return nil, fault.New(fault.DeadlineExceeded, fault.RanNo)
		}
		// Round up, so that a deadline less than 1 ms ahead is not sent as
		// past.
		ms := (left + time.Millisecond - 1) / time.Millisecond
		req.Header.Set("Hornbeamlift-Deadline-Ms", strconv.FormatInt(int64(ms), 10))
	}
	return req, nil
}

// requestConn is the connection that the transport uses for a request.
type requestConn struct {
	conn *conn
	// writeCount is the number of writes to the connection before the request.
	writeCount uint64
	acquiredAt time.Time
	reused     bool
}

// withConnTrace returns a context with a trace that records the request's
// connection.
func (state *callState) withConnTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got := &requestConn{acquiredAt: state.clock.Now(), reused: info.Reused}
		if wrapped, ok := info.Conn.(*conn); ok {
			got.conn, got.writeCount = wrapped, wrapped.writeCount()
		}
		state.requestConn.Store(got)
	}})
}

// blockIfUnwritten reports whether it is certain that no byte of the request
// was written, and if so, makes later writes of the request fail.
func (state *callState) blockIfUnwritten() bool {
	got := state.requestConn.Load()
	return got == nil || got.conn != nil && got.conn.blockIfNoWrites(got.writeCount)
}

// connectedAt returns when the request got its connection, or the current time
// if it has none.
func (state *callState) connectedAt() time.Time {
	if got := state.requestConn.Load(); got != nil {
		return got.acquiredAt
	}
	return state.clock.Now()
}

// reused reports whether the request got a kept-alive connection.
func (state *callState) reused() bool {
	got := state.requestConn.Load()
	return got != nil && got.reused
}
