package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"unicode/utf8"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// notRunHeader names the reason of an explicit refusal.
const notRunHeader = "Hornbeamlift-Not-Run"

// errLimit is the cause of a call's end at its limit.
var errLimit = fault.New(fault.DeadlineExceeded, fault.RanUnknown).WithDetail("no answer within the limit")

// attempt is one call in progress.
type attempt struct {
	call       Call
	clock      clock.Clock
	connection atomic.Pointer[connection]
}

// run sends the request and classifies what comes back.
func (a *attempt) run(ctx context.Context, transport *http.Transport) ([]byte, *fault.Error) {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := a.clock.AfterFunc(a.call.Limit, func() { cancel(errLimit) })
	defer timer.Stop()

	req, failure := a.request(a.traced(limited))
	if failure != nil {
		return nil, failure
	}
	// RoundTrip rather than http.Client, which follows redirects.
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, a.lost(ctx, limited, err)
	}
	// Closing a body that was not read to its end closes the connection.
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, rejected(resp)
	}
	return a.output(ctx, limited, resp)
}

// lost classifies a call that got no whole response. limited is ctx with the
// call's limit.
func (a *attempt) lost(ctx, limited context.Context, err error) *fault.Error {
	cause := context.Cause(limited)
	if cause != nil {
		err = cause
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled) && !errors.Is(cause, errLimit)
	switch unwritten := a.unwritten(); {
	case unwritten && cancelled:
		return fault.Wrap(err, fault.Cancelled, fault.RanNo)
	case unwritten:
		return fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	case cancelled:
		return fault.Wrap(err, fault.Cancelled, fault.RanYes)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, fault.RanUnknown)
}

// output reads the output of a task that succeeded.
func (a *attempt) output(ctx, limited context.Context, resp *http.Response) ([]byte, *fault.Error) {
	// Without a length or chunks, an output that was cut off cannot be told
	// from a whole one.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fault.New(fault.OutcomeUnknown, fault.RanUnknown).WithDetail("the output has no length")
	}
	if resp.ContentLength > maxOutput {
		return nil, tooLong()
	}
	output, err := io.ReadAll(io.LimitReader(resp.Body, maxOutput+1))
	switch {
	case err != nil:
		return nil, a.lost(ctx, limited, err)
	case len(output) > maxOutput:
		return nil, tooLong()
	}
	return output, nil
}

// rejected classifies a response other than 200.
func rejected(resp *http.Response) *fault.Error {
	if resp.StatusCode == http.StatusServiceUnavailable {
		switch resp.Header.Get(notRunHeader) {
		case "busy":
			return fault.New(fault.EndpointBusy, fault.RanNo)
		case "draining":
			return fault.New(fault.Draining, fault.RanNo)
		case "deadline":
			return fault.New(fault.DeadlineUnmeetable, fault.RanNo)
		}
	}
	// A body that cannot be read leaves the status, which says enough.
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	detail := "status " + strconv.Itoa(resp.StatusCode)
	if text := strings.TrimSpace(printable(body)); text != "" {
		detail += ": " + text
	}
	return fault.New(fault.EndpointFailed, fault.RanYes).WithDetail(detail)
}

func tooLong() *fault.Error {
	return fault.New(fault.EndpointFailed, fault.RanYes).WithDetail("the output exceeds 4 MB")
}

// printable returns the body as text without control characters, so that it can
// stand in a log line.
func printable(body []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == utf8.RuneError || r == 0x7f {
			return ' '
		}
		return r
	}, string(body))
}
