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

// eager is a clock whose timers fire at once, so that back-off takes no time.
type eager struct{ frozen }

func (eager) AfterFunc(_ time.Duration, f func()) clock.Timer {
	return clock.System{}.AfterFunc(0, f)
}

// cutting passes requests on to h, and cuts the first cuts replies off in their
// middle. The second result stops the server and waits for its handlers, so
// that what they recorded can be read.
func cutting(t *testing.T, h http.Handler, cuts int) (*caller.Client, func()) {
	t.Helper()
	var mu sync.Mutex
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if cuts == 0 || !strings.HasPrefix(r.URL.Path, "/v1/jobs") {
			h.ServeHTTP(w, r)
			return
		}
		cuts--
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		w.Header().Set("Content-Length", rec.Header().Get("Content-Length"))
		_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	c := caller.NewClient(strings.TrimPrefix(s.URL, "http://"), eager{})
	t.Cleanup(c.Close)
	return c, s.Close
}

// TestClientResubmits guards against a lost reply that is sent again under
// another id, that is given up at once, or that passes as a partial answer.
func TestClientResubmits(t *testing.T) {
	cases := map[string]struct {
		cuts, sent int
		kind       fault.Kind
	}{
		"no loss":      {0, 1, ""},
		"one loss":     {1, 2, ""},
		"always lost":  {9, 3, fault.HomeUnreachable},
		"two losses":   {2, 3, ""},
		"three losses": {3, 3, fault.HomeUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, seen := echo()
			client, stop := cutting(t, h, c.cuts)
			answer, err := client.Job(context.Background(), caller.Call{
				Service: "press", Team: "shop", Deadline: 2 * time.Second,
				Tasks: []caller.Task{{Input: []byte("a"), Size: 2}, {Input: []byte(`<"é">`), Deadline: time.Second}},
			})
			stop()
			is.Equal(fault.KindOf(err), c.kind)
			is.Equal(len(*seen), c.sent)
			for _, r := range *seen {
				is.Equal(r.Submission.ID, testID(1))
				is.Equal(r.Digest, (*seen)[0].Digest)
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

// TestClientIDs guards against a next id that is ignored or used twice, which
// would cost a message or join two submissions.
func TestClientIDs(t *testing.T) {
	is := is.New(t)
	h, seen := echo()
	issued := 0
	issue := h.IssueIDs
	h.IssueIDs = func(ctx context.Context, n int) ([]ident.SubmissionID, error) {
		issued++
		return issue(ctx, n)
	}
	next := uint64(50)
	h.NextID = func() ident.SubmissionID {
		if next++; next > 53 {
			return ident.SubmissionID{}
		}
		return testID(next)
	}
	client, stop := cutting(t, h, 0)
	for range 5 {
		_, err := client.Request(context.Background(), caller.Call{Service: "s", Team: "t", Key: "k", Tasks: []caller.Task{{}}})
		is.NoErr(err)
	}
	stop()
	is.Equal(issued, 2)
	is.Equal((*seen)[1].Submission.ID, testID(51))
	is.Equal((*seen)[2].Submission.ID, testID(52))
	is.Equal((*seen)[3].Submission.ID, testID(53))
	is.Equal((*seen)[4].Submission.ID, testID(1)) // none was left
	is.Equal((*seen)[2].Key, "k")
}

// TestClientRefusals guards against refusals that lose their type, and against
// replies that are taken for the caller's own.
func TestClientRefusals(t *testing.T) {
	is := is.New(t)
	h, _ := echo()
	h.Submit = func(context.Context, caller.Request) (work.Answer, error) {
		return work.Answer{}, fault.New(fault.QueueFull, fault.RanNo).WithField("f").WithDetail("d").WithRetryAfter(3 * time.Second)
	}
	client, _ := cutting(t, h, 0)
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
		wrong := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(reply)) })
		client, _ := cutting(t, wrong, 0)
		_, err := client.Fetch(ctx, testID(4))
		is.Equal(fault.KindOf(err), fault.PeerProtocol)
	}
}

// TestServer guards against a server without bounds, and against a slow or
// endless body that holds a connection.
func TestServer(t *testing.T) {
	is := is.New(t)
	h, _ := echo()
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
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second))) // only ends a hanging test
	reply := make([]byte, 512)
	n, err := conn.Read(reply) // returns once the body's time is over
	is.NoErr(err)
	is.True(strings.HasPrefix(string(reply[:n]), "HTTP/1.1 400"))
}
