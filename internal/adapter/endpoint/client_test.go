package endpoint_test

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	standin "hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// outcome is the part of a result that says whether the task ran.
type outcome struct {
	kind       fault.Kind
	ran        fault.Ran
	notStarted bool
}

func outcomeOf(r work.Result) outcome {
	if r.Failure == nil {
		return outcome{notStarted: r.NotStarted}
	}
	return outcome{r.Failure.Kind, r.Failure.Ran, r.NotStarted}
}

var (
	unknown     = outcome{fault.OutcomeUnknown, fault.RanUnknown, false}
	failed      = outcome{fault.EndpointFailed, fault.RanYes, false}
	unreachable = outcome{fault.EndpointUnreachable, fault.RanNo, true}
)

// TestRunTaskOutcome guards against a response that is reported as the wrong
// outcome: a task that ran but is reported as not started would be started a
// second time.
func TestRunTaskOutcome(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n"
	cases := map[string]struct {
		answer func(int, net.Conn) bool
		want   outcome
		output string
		detail string
	}{
		"success":                 {respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), outcome{}, "ok", ""},
		"chunked":                 {respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), outcome{}, "ok", ""},
		"busy":                    {respond("HTTP/1.1 503 Busy\r\nHornbeamlift-Not-Run: busy\r\nContent-Length: 0\r\n\r\n"), outcome{fault.EndpointBusy, fault.RanNo, true}, "", ""},
		"unknown reason":          {respond("HTTP/1.1 503 Busy\r\nHornbeamlift-Not-Run: maybe\r\nContent-Length: 0\r\n\r\n"), failed, "", "status 503"},
		"503 without reason":      {respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), failed, "", "status 503"},
		"500 with reason":         {respond(failure + "Hornbeamlift-Not-Run: busy\r\n\r\nno\tfilm"), failed, "", "status 500: no film"},
		"redirect":                {respond("HTTP/1.1 307 Moved\r\nLocation: /v1/tasks\r\nContent-Length: 0\r\n\r\n"), failed, "", "status 307"},
		"long failure body":       {respond("HTTP/1.1 500 No\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000)), failed, "", "status 500: " + strings.Repeat("x", 512)},
		"long output":             {respond("HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n"), failed, "", "the output exceeds 4 MB"},
		"long chunked output":     {respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n" + strings.Repeat("x", 4<<20+1)), failed, "", "the output exceeds 4 MB"},
		"reset after the request": {func(int, net.Conn) bool { return false }, unknown, "", ""},
		"truncated output": {func(_ int, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")
			return c.Close() == nil
		}, unknown, "", ""},
		"output without length": {func(_ int, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nok")
			return c.Close() == nil
		}, unknown, "", "the output has no length"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, instance := serveRaw(t, 8, c.answer)
			got := <-runTask(t.Context(), newClient(t, endpoint.Settings{}), instance, task(3, "in"))
			is.Equal(outcomeOf(got), c.want)
			is.Equal(string(got.Output), c.output)
			if c.detail != "" {
				is.Equal(got.Failure.Detail, c.detail)
			}
			is.Equal(len(server.remoteAddrs()), 1) // sent exactly once
			is.Equal(got.Endpoint, endpointID(instance))
			is.Equal(got.Incarnation, instance.Incarnation)
			is.Equal(got.Took > 0, !got.NotStarted)
		})
	}
}

// TestRunTaskNothingWritten guards against calls whose outcome is reported as
// unknown, so that their tasks are lost, although no byte of the request was
// written.
func TestRunTaskNothingWritten(t *testing.T) {
	l := listen(t)
	instance := instanceAt(l, 8)
	testDone := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	closed := listen(t)
	closed.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cases := map[string]struct {
		ctx      context.Context
		instance work.Instance
		dial     func(context.Context, string, string) (net.Conn, error)
		deadline time.Time
		want     outcome
	}{
		"refused connection": {t.Context(), instanceAt(closed, 8), nil, time.Time{}, unreachable},
		"reset before the request": {t.Context(), instance, func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			if err == nil {
				c.Read(make([]byte, 1)) // returns once the reset has arrived
			}
			return c, err
		}, time.Time{}, unreachable},
		"cancelled while dialling": {cancelled, instance, func(ctx context.Context, _, _ string) (net.Conn, error) {
			cancel()
			<-testDone
			return nil, ctx.Err()
		}, time.Time{}, outcome{fault.Cancelled, fault.RanNo, true}},
		"deadline passed": {t.Context(), instance, nil, time.Unix(1, 0), outcome{fault.DeadlineExceeded, fault.RanNo, true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tk := task(0, "in")
			tk.Deadline = c.deadline
			got := <-runTask(c.ctx, newClient(t, endpoint.Settings{Dial: c.dial}), c.instance, tk)
			is.New(t).Equal(outcomeOf(got), c.want)
		})
	}
	close(testDone)
}

// TestRunTaskRefusals guards against an endpoint's refusals that are reported
// as failures of the task, and against a cancelled task that is reported as not
// started.
func TestRunTaskRefusals(t *testing.T) {
	is := is.New(t)
	e, instance := serveFakeEndpoint(t, standin.EndpointSettings{Slots: 1})
	instance.Slots = 2
	clk := &manualClock{}
	c := newClient(t, endpoint.Settings{Clock: clk})

	got := <-runTask(t.Context(), c, instance, task(0, `{"run-ms": 1, "echo": "x"}`))
	is.Equal(string(got.Output), "x")

	ctx, cancel := context.WithCancel(t.Context())
	running := runTask(ctx, c, instance, task(1, `{"run-ms": 3600000}`))
	eventually(t, "task 1 runs", func() bool { return e.Busy() == 1 })
	got = <-runTask(t.Context(), c, instance, task(2, ""))
	is.Equal(outcomeOf(got), outcome{fault.EndpointBusy, fault.RanNo, true})
	status, err := c.Status(t.Context(), instance)
	is.NoErr(err)
	is.Equal(status, endpoint.Status{Slots: 1, Busy: 1, Running: map[string]bool{task(1, "").ID.String(): true}})
	cancel()
	is.Equal(outcomeOf(<-running), outcome{fault.Cancelled, fault.RanYes, false})
	eventually(t, "the abort frees the slot", func() bool { return e.Busy() == 0 })

	short := task(3, `{"run-ms": 3600000}`)
	short.Deadline = time.Now().Add(time.Minute)
	is.Equal(outcomeOf(<-runTask(t.Context(), c, instance, short)), outcome{fault.DeadlineUnmeetable, fault.RanNo, true})
	e.SetFailFast(true)
	is.Equal(outcomeOf(<-runTask(t.Context(), c, instance, task(4, ""))), failed)
	e.SetDraining(true)
	is.Equal(outcomeOf(<-runTask(t.Context(), c, instance, task(5, ""))), outcome{fault.Draining, fault.RanNo, true})

	is.Equal(len(e.Starts()), 3) // tasks 0, 1 and 4
	is.Equal(e.Duplicates(), 0)
	is.Equal(e.Aborted(), 1)
	is.Equal(len(e.Completions()), 2)
	s := c.Stats()
	is.Equal([]uint64{s.Calls, s.Succeeded, s.Failed, s.Cancelled, s.Busy, s.Draining, s.NotStarted}, []uint64{6, 1, 1, 1, 1, 1, 1})
}

// TestRunTaskNotRetriedByTransport guards against a request that the HTTP
// transport sends again because the endpoint closed a kept-alive connection
// after it had read the request.
func TestRunTaskNotRetriedByTransport(t *testing.T) {
	for name, body := range map[string]string{"with input": "in", "without input": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, instance := serveRaw(t, 8, func(n int, c net.Conn) bool {
				if n == 2 {
					return c.Close() != nil
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			c := newClient(t, endpoint.Settings{})
			is.Equal(outcomeOf(<-runTask(t.Context(), c, instance, task(0, body))), outcome{})
			is.Equal(outcomeOf(<-runTask(t.Context(), c, instance, task(1, body))), unknown)
			is.Equal(c.Stats().Reused, uint64(1)) // the transport retries only on a reused connection
			is.Equal(len(server.remoteAddrs()), 2)
		})
	}
}

// TestRunTaskTimeout guards against a call that never returns because the
// endpoint does not answer, and against the next call reading the late
// response.
func TestRunTaskTimeout(t *testing.T) {
	is := is.New(t)
	endSilence := make(chan struct{})
	server, instance := serveRaw(t, 1, func(n int, c net.Conn) bool {
		if n == 1 {
			<-endSilence
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+string(rune('0'+n)))
		return true
	})
	clk := &manualClock{}
	c := newClient(t, endpoint.Settings{Clock: clk})
	first := runTask(t.Context(), c, instance, task(0, "in"))
	eventually(t, "the request arrives", func() bool { return len(server.remoteAddrs()) == 1 })

	// The endpoint has one slot and its only connection is in use, so this call
	// never gets one.
	waiting := runTask(t.Context(), c, instance, task(1, "in"))
	eventually(t, "both call timeouts are set", func() bool { return clk.pending() == 2 })
	clk.fire()
	is.Equal(outcomeOf(<-first), unknown)
	is.Equal(outcomeOf(<-waiting), unreachable)
	close(endSilence)

	second := <-runTask(t.Context(), c, instance, task(2, "in"))
	is.Equal(string(second.Output), "2")
	remoteAddrs := server.remoteAddrs()
	is.Equal(len(remoteAddrs), 2)
	is.True(remoteAddrs[0] != remoteAddrs[1]) // another connection
}

// TestRunTaskCancelledOnConnect guards against a request that is written after
// its call was reported as not started. Each call is cancelled as soon as it
// has a connection, when the transport may or may not have begun to write the
// request.
func TestRunTaskCancelledOnConnect(t *testing.T) {
	is := is.New(t)
	e, instance := serveFakeEndpoint(t, standin.EndpointSettings{Slots: 8, RunTime: time.Millisecond})
	c := newClient(t, endpoint.Settings{})
	const calls = 400
	notStarted := map[string]bool{}
	for i := range calls {
		ctx, cancel := context.WithCancel(t.Context())
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { go cancel() }})
		tk := task(i, "in")
		if r := <-runTask(ctx, c, instance, tk); r.NotStarted {
			notStarted[tk.ID.String()] = true
		}
		cancel()
	}
	c.Close()
	eventually(t, "all connections are closed", func() bool { return e.OpenConnections() == 0 })
	for name := range e.Starts() {
		is.True(!notStarted[name])
	}
	t.Logf("%d of %d not started", len(notStarted), calls)
}
