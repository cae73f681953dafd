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

// request builds the request of a call. The transport repeats a request on its
// own only if it has no body, a GetBody function, an idempotent method or an
// idempotency header; this one has none of these.
func (a *attempt) request(ctx context.Context) (*http.Request, *fault.Error) {
	task := a.call.Task
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.call.Instance.Address+"/v1/tasks", nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	req.Body = io.NopCloser(bytes.NewReader(task.Body))
	req.ContentLength = int64(len(task.Body))
	req.Header.Set("Hornbeamlift-Task", task.ID.String())
	req.Header.Set("Hornbeamlift-Attempt", strconv.FormatUint(uint64(task.Attempt), 10))
	req.Header.Set("Hornbeamlift-Service", string(task.Service))
	if !task.Deadline.IsZero() {
		left := task.Deadline.Sub(a.clock.Now())
		if left <= 0 {
			return nil, fault.New(fault.DeadlineExceeded, fault.RanNo)
		}
		// Rounded up, so that a deadline just ahead is not sent as past.
		ms := (left + time.Millisecond - 1) / time.Millisecond
		req.Header.Set("Hornbeamlift-Deadline-Ms", strconv.FormatInt(int64(ms), 10))
	}
	return req, nil
}

// connection is the connection that a request was given.
type connection struct {
	conn *conn
	// begun is the number of writes on it before the request.
	begun  uint64
	at     time.Time
	reused bool
}

// traced returns a context that records the connection of the request.
func (a *attempt) traced(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got := &connection{at: a.clock.Now(), reused: info.Reused}
		if counted, ok := info.Conn.(*conn); ok {
			got.conn, got.begun = counted, counted.begun()
		}
		a.connection.Store(got)
	}})
}

// unwritten reports whether it is proven that no byte of the request was
// written, and makes sure that none will be.
func (a *attempt) unwritten() bool {
	got := a.connection.Load()
	return got == nil || got.conn != nil && got.conn.seal(got.begun)
}

func (a *attempt) connectedAt() time.Time {
	if got := a.connection.Load(); got != nil {
		return got.at
	}
	return a.clock.Now()
}

func (a *attempt) reused() bool {
	got := a.connection.Load()
	return got != nil && got.reused
}
