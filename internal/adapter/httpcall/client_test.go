package httpcall_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/httpcall"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// newServer starts a server and returns it with the number of connections that
// clients have opened to it.
func newServer(t *testing.T, h http.HandlerFunc) (*httptest.Server, *atomic.Int64) {
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s, &opened
}

// offsetClock shows the system time plus an offset that a test sets.
type offsetClock struct {
	clock.System
	offset atomic.Int64
}

func (s *offsetClock) Now() time.Time { return time.Now().Add(time.Duration(s.offset.Load())) }

func newClient(address string, c clock.Clock) *httpcall.Client {
	return httpcall.New(httpcall.Config{
		Address: strings.TrimPrefix(address, "http://"), MaxConnections: 2, DialTimeout: time.Second, Clock: c,
	})
}

// TestRequestsAndReplies guards against requests or replies that are altered in
// transfer, and against a client that opens a new connection for each call.
func TestRequestsAndReplies(t *testing.T) {
	s, opened := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Agent", r.UserAgent())
		if r.URL.Path == "/chunked" {
			_, _ = io.WriteString(w, "one ")
			w.(http.Flusher).Flush()
		}
		if r.URL.Path == "/missing" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RawQuery+" "+r.Header.Get("X-For")+" "+string(body))
	})
	c := newClient(s.URL, clock.System{})
	long := strings.Repeat("x", 9000)
	tests := map[string]struct {
		call   httpcall.Call
		status int
		body   string
	}{
		"get":         {httpcall.Call{Method: "GET", Path: "/", Query: "a=b"}, 200, "GET a=b  "},
		"post":        {httpcall.Call{Method: "POST", Path: "/", Header: http.Header{"X-For": {"me"}}, Body: []byte("{}")}, 200, "POST  me {}"},
		"empty post":  {httpcall.Call{Method: "POST", Path: "/"}, 200, "POST   "},
		"long body":   {httpcall.Call{Method: "POST", Path: "/", Body: []byte(long)}, 200, "POST   " + long},
		"chunked":     {httpcall.Call{Method: "GET", Path: "/chunked"}, 200, "one GET   "},
		"not found":   {httpcall.Call{Method: "GET", Path: "/missing"}, 404, "GET   "},
		"delete":      {httpcall.Call{Method: "DELETE", Path: "/"}, 200, "DELETE   "},
		"query alone": {httpcall.Call{Method: "GET", Path: "/", Query: "prefix=op%2Fconfig"}, 200, "GET prefix=op%2Fconfig  "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 3 {
				r, err := c.Do(context.Background(), time.Second, tt.call)
				is.NoErr(err)
				is.Equal(r.Status, tt.status)
				is.Equal(string(r.Body), tt.body)
			}
		})
	}
	is := is.New(t)
	is.Equal(opened.Load(), int64(1))
}

// TestFailures guards against a call that was sent but is reported as not sent,
// and against a failure that is returned long after the timeout of the call.
func TestFailures(t *testing.T) {
	hang := make(chan struct{})
	var arrived atomic.Int64
	s, _ := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hang":
			arrived.Add(1)
			select {
			case <-hang:
			case <-r.Context().Done():
			}
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/half":
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}
	})
	defer close(hang)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	tests := map[string]struct {
		address, path string
		ran           fault.Ran
	}{
		"no listener":       {closed, "/", fault.RanNo},
		"no reply":          {s.URL, "/hang", fault.RanUnknown},
		"connection closed": {s.URL, "/abort", fault.RanUnknown},
		"truncated body":    {s.URL, "/half", fault.RanUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from := time.Now()
			_, err := newClient(tt.address, clock.System{}).Do(context.Background(), 200*time.Millisecond, httpcall.Call{Method: "POST", Path: tt.path})
			is.True(err != nil)
			is.Equal(fault.From(err).Kind, fault.EndpointUnreachable)
			is.Equal(fault.From(err).Ran, tt.ran)
			is.True(time.Since(from) < 2*time.Second)
		})
	}
	t.Run("cancelled", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := newClient(s.URL, clock.System{}).Do(ctx, time.Minute, httpcall.Call{Method: "GET", Path: "/hang"})
		is.True(err != nil)
	})
	t.Run("all connections in use", func(t *testing.T) {
		is := is.New(t)
		arrived.Store(0)
		c := newClient(s.URL, clock.System{})
		for range 2 {
			go func() { _, _ = c.Do(context.Background(), time.Second, httpcall.Call{Method: "GET", Path: "/hang"}) }()
		}
		for arrived.Load() < 2 {
			runtime.Gosched()
		}
		_, err := c.Do(context.Background(), 50*time.Millisecond, httpcall.Call{Method: "GET", Path: "/"})
		is.True(err != nil)
		is.Equal(fault.From(err).Ran, fault.RanNo)
	})
}

// TestStaleConnection guards against a call on an idle connection that the peer
// has closed. The outcome of such a call would be unknown.
func TestStaleConnection(t *testing.T) {
	is := is.New(t)
	s, opened := newServer(t, func(http.ResponseWriter, *http.Request) {})
	clk := &offsetClock{}
	c := newClient(s.URL, clk)
	call := httpcall.Call{Method: "POST", Path: "/"}
	_, err := c.Do(context.Background(), time.Second, call)
	is.NoErr(err)
	s.CloseClientConnections()
	time.Sleep(20 * time.Millisecond)
	clk.offset.Store(int64(time.Second))
	_, err = c.Do(context.Background(), time.Second, call)
	is.NoErr(err)
	is.Equal(opened.Load(), int64(2))
	c.CloseIdle()
	_, err = c.Do(context.Background(), time.Second, call)
	is.NoErr(err)
	is.Equal(opened.Load(), int64(3))
}

// TestAnnouncedLengthIsNotAllocated guards against the memory that a server costs
// by announcing long replies that it does not send.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	is := is.New(t)
	const announced = 8 << 20
	s, _ := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(announced))
		_, _ = io.WriteString(w, "{")
	})
	client := newClient(s.URL, clock.System{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 4 {
		_, err := client.Do(context.Background(), 5*time.Second, httpcall.Call{Method: http.MethodGet, Path: "/"})
		is.Equal(fault.From(err).Ran, fault.RanUnknown)
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < announced)
}

// TestLongReply guards against a long reply that is cut or altered.
func TestLongReply(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789", 300_000)
	s, opened := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	})
	client := newClient(s.URL, clock.System{})
	for range 2 {
		r, err := client.Do(context.Background(), 5*time.Second, httpcall.Call{Method: http.MethodGet, Path: "/"})
		is.NoErr(err)
		is.True(string(r.Body) == body)
	}
	is.Equal(opened.Load(), int64(1))
}
