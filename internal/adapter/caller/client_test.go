package caller_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// immediateClock is a clock whose timers fire at once, so that back-off takes
// no time.
type immediateClock struct{ fixedClock }

func (immediateClock) AfterFunc(_ time.Duration, f func()) clock.Timer {
	return clock.System{}.AfterFunc(0, f)
}

// truncatingServer starts a server that passes requests on to h and truncates
// its first n replies to /v1/jobs in the middle. It returns a client of the
// server, and a function that stops the server and waits for its handlers,
// after which the test may read what the handlers recorded.
func truncatingServer(t *testing.T, h http.Handler, n int) (*caller.Client, func()) {
	t.Helper()
	var mu sync.Mutex
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if n == 0 || !strings.HasPrefix(r.URL.Path, "/v1/jobs") {
			h.ServeHTTP(w, r)
			return
		}
		n--
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		w.Header().Set("Content-Length", rec.Header().Get("Content-Length"))
		_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	c := caller.NewClient(strings.TrimPrefix(s.URL, "http://"), immediateClock{})
	t.Cleanup(c.Close)
	return c, s.Close
}

// TestClientRetriesTruncatedReply guards against a client that, after a
// truncated reply, retries with another id, does not retry, or returns a
// partial answer.
func TestClientRetriesTruncatedReply(t *testing.T) {
	cases := map[string]struct {
		truncated, sent int
		kind            fault.Kind
	}{
		"not truncated":   {0, 1, ""},
		"one truncated":   {1, 2, ""},
		"all truncated":   {9, 3, fault.HomeUnreachable},
		"two truncated":   {2, 3, ""},
		"three truncated": {3, 3, fault.HomeUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, received := newEchoHandler()
			client, stop := truncatingServer(t, h, c.truncated)
			answer, err := client.Job(context.Background(), caller.Call{
				Service: "press", Team: "shop", Deadline: 2 * time.Second,
				Tasks: []caller.Task{{Input: []byte("a"), Size: 2}, {Input: []byte(`<"é">`), Deadline: time.Second}},
			})
			stop()
			is.Equal(fault.KindOf(err), c.kind)
			is.Equal(len(*received), c.sent)
			for _, r := range *received {
				is.Equal(r.Submission.ID, testID(1))
				is.Equal(r.Digest, (*received)[0].Digest)
				is.Equal(r.Submission.Tasks[1].Deadline, arrival.Add(time.Second))
			}
			if err != nil {
				is.Equal(fault.From(err).Ran, fault.RanUnknown)
				is.True(strings.Contains(err.Error(), testID(1).String()))
				is.Equal(len(answer.Outputs), 0)
				return
			}
			is.Equal(answer.State, work.Complete)
			is.Equal(string(answer.Outputs[1]), `<"é">`)
		})
	}
}

// TestClientPrefetchedIDs guards against a client that ignores the id in the
// HeaderNextID header, which costs an additional call, or uses it twice, so
// that the instance takes two submissions for one.
func TestClientPrefetchedIDs(t *testing.T) {
	is := is.New(t)
	h, received := newEchoHandler()
	issued := 0
	issueIDs := h.IssueIDs
	h.IssueIDs = func(ctx context.Context, n int) ([]ident.SubmissionID, error) {
		issued++
		return issueIDs(ctx, n)
	}
	next := uint64(50)
	h.NextID = func() ident.SubmissionID {
		if next++; next > 53 {
			return ident.SubmissionID{}
		}
		return testID(next)
	}
	client, stop := truncatingServer(t, h, 0)
	for range 5 {
		_, err := client.Request(context.Background(), caller.Call{Service: "s", Team: "t", Key: "k", Tasks: []caller.Task{{}}})
		is.NoErr(err)
	}
	stop()
	is.Equal(issued, 2)
	is.Equal((*received)[1].Submission.ID, testID(51))
	is.Equal((*received)[2].Submission.ID, testID(52))
	is.Equal((*received)[3].Submission.ID, testID(53))
	is.Equal((*received)[4].Submission.ID, testID(1)) // no prefetched id was left
	is.Equal((*received)[2].Key, "k")
}

// TestClientErrorReplies guards against error replies whose fields the client
// loses, and against malformed replies and answers of other submissions that
// the client accepts.
func TestClientErrorReplies(t *testing.T) {
	is := is.New(t)
	h, _ := newEchoHandler()
	h.Submit = func(context.Context, caller.Request) (work.Answer, error) {
		return work.Answer{}, fault.New(fault.QueueFull, fault.RanNo).WithField("f").WithDetail("d").WithRetryAfter(3 * time.Second)
	}
	client, _ := truncatingServer(t, h, 0)
	ctx := context.Background()
	_, err := client.Job(ctx, caller.Call{Service: "s", Team: "t", Tasks: []caller.Task{{}}})
	got := fault.From(err)
	is.Equal(*got, fault.Error{Kind: fault.QueueFull, Ran: fault.RanNo, Field: "f", Detail: "d", RetryAfter: 3 * time.Second})

	answer, err := client.Fetch(ctx, testID(4))
	is.NoErr(err)
	is.Equal(answer.State, work.Running)
	answer, err = client.Cancel(ctx, testID(4))
	is.NoErr(err)
	is.Equal(answer.Failures[0].Error.Kind, fault.Cancelled)

	for _, reply := range []string{
		`{"id":"` + idText + `","state":"complete","outputs":["a"]}`,
		`{"id":"` + testID(4).String() + `","state":"complete","outputs":["a"],"failures":[{"task":0}]}`,
		`{"id":"` + testID(4).String() + `","state":"done"}`, `{`, `{}`,
	} {
		malformed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(reply)) })
		client, _ := truncatingServer(t, malformed, 0)
		_, err := client.Fetch(ctx, testID(4))
		is.Equal(fault.KindOf(err), fault.PeerProtocol)
	}
}

// TestClientOddRetryAfter guards against a Retry-After that overflows and tells the
// program to retry at once.
func TestClientOddRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{"3": 3 * time.Second, "9223372036854775807": 24 * time.Hour, "10000000000": 24 * time.Hour, "-1": 0, "soon": 0} {
		t.Run(text, func(t *testing.T) {
			refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", text)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"error":{"kind":"queue-full","ran":"no"}}`))
			})
			client, _ := truncatingServer(t, refusing, 0)
			_, err := client.Fetch(context.Background(), testID(4))
			is.New(t).Equal(fault.From(err).RetryAfter, want)
		})
	}
}

// TestServerLimits guards against a server without a header limit and timeouts,
// and against a body that is sent slowly or never ends and blocks a connection.
func TestServerLimits(t *testing.T) {
	is := is.New(t)
	h, _ := newEchoHandler()
	h.Clock = clock.System{}
	h.Limits.BodyTimeout = 20 * time.Millisecond
	s := h.Server("127.0.0.1:0")
	is.Equal(s.Addr, "127.0.0.1:0")
	is.True(s.MaxHeaderBytes > 0 && s.ReadHeaderTimeout > 0 && s.IdleTimeout > 0 && s.WriteTimeout > time.Hour)
	l, err := net.Listen("tcp", s.Addr)
	is.NoErr(err)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second))) // so that a failing test does not hang
	reply := make([]byte, 512)
	n, err := conn.Read(reply) // returns after BodyTimeout
	is.NoErr(err)
	is.True(strings.HasPrefix(string(reply[:n]), "HTTP/1.1 400"))
}
