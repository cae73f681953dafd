package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// maxReply bounds what is read of a reply. Values have at most 1 MB; a list of
// 800 workers has about 200 kB.
const maxReply = 4 << 20

// callKind names a kind of call in Stats.
type callKind string

const (
	callGet    callKind = "get"
	callPut    callKind = "put"
	callDelete callKind = "delete"
	callWatch  callKind = "watch"
	callGrant  callKind = "grant-lease"
	callKeep   callKind = "keep-lease"
	callRevoke callKind = "revoke-lease"
	callList   callKind = "list"
)

// call is one request to the platform.
type call struct {
	kind   callKind
	method string
	path   string
	query  string
	header http.Header
	body   []byte
	limit  time.Duration
	// write is true when the call changes the store.
	write bool
}

// reply is what the platform answered.
type reply struct {
	status   int
	revision uint64
	body     []byte
	// tag is the ETag as it came.
	tag string
}

// errCallTimeout is the cause of a call's end at its time limit.
var errCallTimeout = fault.New(fault.DeadlineExceeded, fault.RanUnknown).WithDetail("no reply in time")

// do makes one call. It never repeats the request.
func (c *Client) do(ctx context.Context, k call) (reply, *fault.Error) {
	if err := ctx.Err(); err != nil {
		return reply{}, fault.Wrap(err, fault.StoreUnavailable, fault.RanNo)
	}
	if err := c.admit(k.kind); err != nil {
		return reply{}, err
	}
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.settings.Clock.AfterFunc(k.limit, func() { cancel(errCallTimeout) })
	defer timer.Stop()

	// Once the request has a connection, the transport may write it at any
	// moment, even while the call is being given up.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := c.roundTrip(httptrace.WithClientTrace(limited, trace), k)
	if err != nil {
		return reply{}, c.lost(ctx, k, err, connected.Load())
	}
	if r.status == http.StatusTooManyRequests || r.status >= http.StatusInternalServerError {
		return reply{}, c.refused(k, r)
	}
	c.succeeded()
	return r, nil
}

func (c *Client) roundTrip(ctx context.Context, k call) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+c.settings.Address+k.path, nil)
	if err != nil {
		return reply{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	req.URL.RawQuery = k.query
	if k.header != nil {
		req.Header = k.header
	}
	// The transport repeats a request without a body by itself when a kept
	// connection breaks, outside of the budget. A body that it cannot rewind
	// prevents that.
	req.Body = io.NopCloser(bytes.NewReader(k.body))
	req.ContentLength = int64(len(k.body))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return reply{}, err
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode}
	r.tag = resp.Header.Get("ETag")
	if tag := strings.Trim(r.tag, `"`); tag != "" && k.kind != callList {
		if r.revision, err = strconv.ParseUint(tag, 10, 64); err != nil {
			return reply{}, fault.Wrap(err, fault.Internal, fault.RanUnknown).WithDetail("malformed ETag")
		}
	}
	r.body, err = io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err == nil && len(r.body) > maxReply {
		err = fault.New(fault.TooLarge, fault.RanUnknown).WithDetail("the reply exceeds 4 MB")
	}
	if err != nil && k.kind != callPut && k.kind != callDelete {
		return reply{}, err
	}
	// The status and the revision say all about a put or delete, so a body
	// that was cut off does not matter there.
	return r, nil
}

// lost classifies a call that got no reply.
func (c *Client) lost(ctx context.Context, k call, err error, connected bool) *fault.Error {
	var wait time.Duration
	// A caller that gave up says nothing about the platform.
	if errors.Is(ctx.Err(), context.Canceled) {
		c.abandoned()
	} else {
		wait = c.failed()
		// The kept connections may have gone silent together.
		c.transport.CloseIdleConnections()
	}
	if k.write && connected {
		return fault.Wrap(err, fault.StoreUnknown, fault.RanUnknown).WithRetryAfter(wait)
	}
	return fault.Wrap(err, fault.StoreUnavailable, fault.RanNo).WithRetryAfter(wait)
}

// refused classifies a reply that says that the platform cannot answer. Only
// 429 and 503 say that a write was not made; a gateway may send the others
// after it passed the write on.
func (c *Client) refused(k call, r reply) *fault.Error {
	wait := c.failed()
	detail := "status " + strconv.Itoa(r.status)
	if k.write && r.status != http.StatusTooManyRequests && r.status != http.StatusServiceUnavailable {
		return fault.New(fault.StoreUnknown, fault.RanUnknown).WithDetail(detail).WithRetryAfter(wait)
	}
	return fault.New(fault.StoreUnavailable, fault.RanNo).WithDetail(detail).WithRetryAfter(wait)
}

// unexpected returns the failure for a status that the call does not provide
// for.
func unexpected(r reply) *fault.Error {
	detail := "status " + strconv.Itoa(r.status)
	switch r.status {
	case http.StatusBadRequest:
		return fault.New(fault.BadField, fault.RanNo).WithDetail(detail)
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, fault.RanNo).WithDetail(detail)
	}
	return fault.New(fault.Internal, fault.RanUnknown).WithDetail(detail)
}
