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

// notRunHeader is the response header with the reason of an explicit refusal.
const notRunHeader = "Hornbeamlift-Not-Run"

// errCallTimeout is the cancellation cause of a call that exceeds its time
// limit.
var errCallTimeout = fault.New(fault.DeadlineExceeded, fault.RanUnknown).WithDetail("no response within the time limit")

// callState is the state of one Call while RunTask sends it.
type callState struct {
	call        Call
	clock       clock.Clock
	requestConn atomic.Pointer[requestConn]
}

// run sends the request and returns the output of the task or an error that
// says whether the task ran.
func (state *callState) run(ctx context.Context, transport *http.Transport) ([]byte, *fault.Error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := state.clock.AfterFunc(state.call.Timeout, func() { cancel(errCallTimeout) })
	defer timer.Stop()

	req, failure := state.request(state.withConnTrace(callCtx))
	if failure != nil {
		return nil, failure
	}
	// RoundTrip rather than http.Client, which follows redirects.
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, state.noResponseError(ctx, callCtx, err)
	}
	// Closing a body that was not read to its end closes the connection.
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	return state.output(ctx, callCtx, resp)
}

// noResponseError returns the error of a call that got no complete response. A
// task whose call was cancelled counts as run unless it is certain that no byte
// of the request was written. callCtx is ctx with the call's time limit.
func (state *callState) noResponseError(ctx, callCtx context.Context, err error) *fault.Error {
	cause := context.Cause(callCtx)
	if cause != nil {
		err = cause
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled) && !errors.Is(cause, errCallTimeout)
	switch provenUnwritten := state.blockIfUnwritten(); {
	case provenUnwritten && cancelled:
		return fault.Wrap(err, fault.Cancelled, fault.RanNo)
	case provenUnwritten:
		return fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	case cancelled:
		return fault.Wrap(err, fault.Cancelled, fault.RanYes)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, fault.RanUnknown)
}

// output reads the output of a task that succeeded.
func (state *callState) output(ctx, callCtx context.Context, resp *http.Response) ([]byte, *fault.Error) {
	// Without a length or chunks, a truncated output cannot be told from a
	// complete one.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, fault.New(fault.OutcomeUnknown, fault.RanUnknown).WithDetail("the output has no length")
	}
	if resp.ContentLength > maxOutput {
		return nil, outputTooLarge()
	}
	output, err := io.ReadAll(io.LimitReader(resp.Body, maxOutput+1))
	switch {
	case err != nil:
		return nil, state.noResponseError(ctx, callCtx, err)
	case len(output) > maxOutput:
		return nil, outputTooLarge()
	}
	return output, nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(resp *http.Response) *fault.Error {
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
	// If the body cannot be read, the status alone is detail enough.
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	detail := "status " + strconv.Itoa(resp.StatusCode)
	if text := strings.TrimSpace(printable(body)); text != "" {
		detail += ": " + text
	}
	return fault.New(fault.EndpointFailed, fault.RanYes).WithDetail(detail)
}

func outputTooLarge() *fault.Error {
	return fault.New(fault.EndpointFailed, fault.RanYes).WithDetail("the output exceeds 4 MB")
}

// printable returns the body as text without control characters, so that it can
// be logged.
func printable(body []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == utf8.RuneError || r == 0x7f {
			return ' '
		}
		return r
	}, string(body))
}
