package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	standin "hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// waitTimeout bounds waits for a condition; no result depends on its value.
const waitTimeout = 10 * time.Second

// manualClock is the system clock with timers that run only when fire is
// called.
type manualClock struct {
	clock.System
	mu     sync.Mutex
	timers map[*manualTimer]func()
}

type manualTimer struct{ clock *manualClock }

func (c *manualClock) AfterFunc(_ time.Duration, f func()) clock.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers == nil {
		c.timers = map[*manualTimer]func(){}
	}
	t := &manualTimer{clock: c}
	c.timers[t] = f
	return t
}

func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}

// fire runs all pending timers.
func (c *manualClock) fire() {
	c.mu.Lock()
	timers := c.timers
	c.timers = nil
	c.mu.Unlock()
	for _, f := range timers {
		f()
	}
}

// pending returns the number of timers that are set.
func (c *manualClock) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// eventually waits until done returns true; what names the condition.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func newClient(t *testing.T, settings endpoint.Settings) *endpoint.Client {
	t.Helper()
	c, err := endpoint.New(settings)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	return l
}

func instanceAt(l net.Listener, slots int) work.Instance {
	return work.Instance{ID: "worker-1", Kind: work.KindEndpoint, Address: l.Addr().String(), Slots: slots, Incarnation: 7}
}

// serveFakeEndpoint runs a fake endpoint until the test ends.
func serveFakeEndpoint(t *testing.T, settings standin.EndpointSettings) (*standin.Endpoint, work.Instance) {
	t.Helper()
	e, err := standin.NewEndpoint(settings)
	is.New(t).NoErr(err)
	l := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
	return e, instanceAt(l, settings.Slots)
}

// rawServer answers each request with bytes that a test writes to the
// connection, and records the remote address of each request.
type rawServer struct {
	mu    sync.Mutex
	addrs []string
}

// remoteAddrs returns the remote address of each request so far.
func (s *rawServer) remoteAddrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.addrs...)
}

// serveRaw runs a rawServer until the test ends. It calls answer after each
// request, where n is the number of requests so far; if answer returns false,
// it resets the connection.
func serveRaw(t *testing.T, slots int, answer func(n int, c net.Conn) bool) (*rawServer, work.Instance) {
	t.Helper()
	s := &rawServer{}
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go s.handle(c, answer)
		}
	}()
	return s, instanceAt(l, slots)
}

func (s *rawServer) handle(c net.Conn, answer func(int, net.Conn) bool) {
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.addrs = append(s.addrs, c.RemoteAddr().String())
		n := len(s.addrs)
		s.mu.Unlock()
		if !answer(n, c) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
	}
}

// respond returns an answer function that writes text as the response.
func respond(text string) func(int, net.Conn) bool {
	return func(_ int, c net.Conn) bool {
		io.WriteString(c, text)
		return true
	}
}

func task(index int, body string) *work.Task {
	return &work.Task{
		ID: ident.TaskID{Submission: ident.SubmissionID{
			DataCentre: "penang-1", Instance: "entry-1", Incarnation: 1, Sequence: 1,
		}, Index: index},
		Attempt: 1, Service: "render", Body: []byte(body),
	}
}

// runTask calls RunTask in the background and returns the channel of its
// result.
func runTask(ctx context.Context, c *endpoint.Client, instance work.Instance, tk *work.Task) <-chan work.Result {
	done := make(chan work.Result, 1)
	go func() {
		done <- c.RunTask(ctx, endpoint.Call{Instance: instance, Task: tk, Timeout: time.Hour})
	}()
	return done
}
