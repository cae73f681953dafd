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

// maxReply bounds the bytes read from a reply. Values have at most 1 MB; a list
// of 800 endpoints is about 200 kB.
const maxReply = 4 << 20

// callKind identifies a kind of call in Stats.
type callKind string

const (
	callGet         callKind = "get"
	callPut         callKind = "put"
	callDelete      callKind = "delete"
	callWatch       callKind = "watch"
	callGrantLease  callKind = "grant-lease"
	callRenewLease  callKind = "keep-lease"
	callRevokeLease callKind = "revoke-lease"
	callList        callKind = "list"
)

// call is one request to the platform.
type call struct {
	kind    callKind
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	timeout time.Duration
	// write is true if the call changes the store.
	write bool
}

// reply is the platform's response to a call.
type reply struct {
	status   int
	revision uint64
	body     []byte
	// etag is the unparsed ETag header.
	etag string
}

// errCallTimeout is the cancellation cause of a call that exceeds its timeout.
var errCallTimeout = fault.New(fault.DeadlineExceeded, fault.RanUnknown).WithDetail("no reply within the call timeout")

// do makes one call. It never retries the request.
func (c *Client) do(ctx context.Context, k call) (reply, *fault.Error) {
	if err := ctx.Err(); err != nil {
		return reply{}, fault.Wrap(err, fault.StoreUnavailable, fault.RanNo)
	}
	if err := c.admit(k.kind); err != nil {
		return reply{}, err
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.settings.Clock.AfterFunc(k.timeout, func() { cancel(errCallTimeout) })
	defer timer.Stop()

	// Once the request has a connection, the transport may write it at any
	// time, even while the call is being cancelled.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := c.roundTrip(httptrace.WithClientTrace(callCtx, trace), k)
	if err != nil {
		return reply{}, c.noReplyError(ctx, k, err, connected.Load())
	}
	if r.status == http.StatusTooManyRequests || r.status >= http.StatusInternalServerError {
		return reply{}, c.unavailableError(k, r)
	}
	c.recordSuccess()
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
	// When a kept-alive connection breaks, the transport retries a request
	// without a body on its own, which would bypass the call budget. A body
	// that it cannot rewind prevents that.
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
	r.etag = resp.Header.Get("ETag")
	if etag := strings.Trim(r.etag, `"`); etag != "" && k.kind != callList {
		if r.revision, err = strconv.ParseUint(etag, 10, 64); err != nil {
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
	// A put or delete needs only the status and the revision, so a truncated
	// body does not matter.
	return r, nil
}

// noReplyError returns the error of a call that got no complete reply. A
// write that may have been sent fails with fault.StoreUnknown, any other call
// with fault.StoreUnavailable.
func (c *Client) noReplyError(ctx context.Context, k call, err error, connected bool) *fault.Error {
	var retryAfter time.Duration
	// A cancelled context says nothing about the platform.
	if errors.Is(ctx.Err(), context.Canceled) {
		c.recordAbandoned()
	} else {
		retryAfter = c.recordFailure()
		// The idle connections may have stopped answering for the same reason.
		c.transport.CloseIdleConnections()
	}
	if k.write && connected {
		return fault.Wrap(err, fault.StoreUnknown, fault.RanUnknown).WithRetryAfter(retryAfter)
	}
	return fault.Wrap(err, fault.StoreUnavailable, fault.RanNo).WithRetryAfter(retryAfter)
}

// unavailableError returns the error of a call with status 429 or 5xx. Only
// 429 and 503 prove that a write was not made; a gateway may send the others
// after it forwarded the write.
func (c *Client) unavailableError(k call, r reply) *fault.Error {
	retryAfter := c.recordFailure()
	detail := "status " + strconv.Itoa(r.status)
	if k.write && r.status != http.StatusTooManyRequests && r.status != http.StatusServiceUnavailable {
		return fault.New(fault.StoreUnknown, fault.RanUnknown).WithDetail(detail).WithRetryAfter(retryAfter)
	}
	return fault.New(fault.StoreUnavailable, fault.RanNo).WithDetail(detail).WithRetryAfter(retryAfter)
}

// unexpectedStatus returns the error for a status that the call does not
// handle.
func unexpectedStatus(r reply) *fault.Error {
	detail := "status " + strconv.Itoa(r.status)
	switch r.status {
	case http.StatusBadRequest:
		return fault.New(fault.BadField, fault.RanNo).WithDetail(detail)
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, fault.RanNo).WithDetail(detail)
	}
	return fault.New(fault.Internal, fault.RanUnknown).WithDetail(detail)
}
