package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	home1     = ident.Process{Instance: "home-1", Incarnation: 1}
	home2     = ident.Process{Instance: "home-2", Incarnation: 1}
)

// harness drives a pool step by step. It collects the calls of the pool until
// the test carries them out on simulated endpoints.
type harness struct {
	t         *testing.T
	is        *is.I
	pool      *owner.Pool
	now       time.Time
	endpoints map[ident.EndpointID]*leased.Endpoint
	entries   []owner.Endpoint
	// down holds the endpoints that refuse connections.
	down      map[ident.EndpointID]bool
	polls     []owner.Poll
	starts    []owner.Start
	stops     []owner.Stop
	ends      []job.TaskEnd
	runEvents []owner.RunEvent
	crashes   []owner.CrashRecord
}

func newHarness(t *testing.T, endpoints int) *harness {
	t.Helper()
	return newHarnessWith(t, endpoints, owner.Config{})
}

func newHarnessWith(t *testing.T, endpoints int, cfg owner.Config) *harness {
	t.Helper()
	pool, err := owner.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, is: is.New(t), pool: pool, now: startTime, endpoints: map[ident.EndpointID]*leased.Endpoint{}, down: map[ident.EndpointID]bool{}}
	for i := range endpoints {
		entry := owner.Endpoint{
			ID: ident.EndpointID(fmt.Sprint("e-", i)), Service: "render", Room: job.Room{CPU: 32_000, Memory: 1000},
			Labels: []string{"a", fmt.Sprint("r-", i)}, Rack: fmt.Sprint("r-", i),
		}
		e := &leased.Endpoint{
			Entry: entry, MaxLease: time.Second, ClockRate: 1,
			PlanOf: func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: 100 * time.Millisecond} },
			RoomOf: func(job.Key) job.Room { return job.Room{CPU: 10_000, Memory: 1} },
		}
		e.Restart(h.now)
		h.endpoints[entry.ID] = e
		h.entries = append(h.entries, e.Entry)
	}
	h.updateList()
	h.collect(pool.Activate(h.now, owner.NewFence(5, 1), func(owner.Endpoint) bool { return true }))
	for pool.Stats(h.now).Held < endpoints {
		h.answerPolls()
		h.collect(pool.Tick(h.now))
	}
	return h
}

// updateList passes the entries of the endpoints to the pool.
func (h *harness) updateList() {
	h.entries = h.entries[:0]
	for i := range len(h.endpoints) {
		h.entries = append(h.entries, h.endpoints[ident.EndpointID(fmt.Sprint("e-", i))].Entry)
	}
	h.collect(h.pool.SetEndpoints(h.now, h.now, h.entries))
}

func (h *harness) collect(actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Poll:
			h.polls = append(h.polls, a)
		case owner.Start:
			h.starts = append(h.starts, a)
		case owner.Stop:
			h.stops = append(h.stops, a)
		case owner.Report:
			h.ends = append(h.ends, a.Ends...)
		case owner.ReportCrashes:
			h.crashes = append(h.crashes, a.Records...)
		case owner.RunEvent:
			h.runEvents = append(h.runEvents, a)
		}
	}
}

// advance moves the time forward and ticks the pool.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	for _, e := range h.endpoints {
		e.Advance(h.now)
	}
	h.collect(h.pool.Tick(h.now))
}

// answerPolls carries out the collected polls. Those of listed endpoints that do
// not exist fail.
func (h *harness) answerPolls() {
	polls := h.polls
	h.polls = nil
	for _, poll := range polls {
		result := owner.PollResult{Call: poll.Number, Reply: owner.ConnectionRefused}
		if e := h.endpoints[poll.Endpoint]; e != nil && !h.down[poll.Endpoint] {
			result = e.Poll(h.now, poll)
		}
		result.SentAt = h.now
		h.collect(h.pool.HandlePollResult(h.now, &result))
	}
}

// advanceWithSilent moves the time forward until a start is sent, but at most
// by d. The silent endpoint answers no poll.
func (h *harness) advanceWithSilent(silent ident.EndpointID, d time.Duration) {
	for end := h.now.Add(d); len(h.starts) == 0 && h.now.Before(end); {
		h.advance(20 * time.Millisecond)
		polls := h.polls
		h.polls = nil
		for _, poll := range polls {
			result := owner.PollResult{Call: poll.Number, Reply: owner.Unknown}
			if poll.Endpoint != silent {
				result = h.endpoints[poll.Endpoint].Poll(h.now, poll)
			}
			result.SentAt = h.now
			h.collect(h.pool.HandlePollResult(h.now, &result))
		}
	}
}

// answerStarts carries out the collected starts.
func (h *harness) answerStarts() {
	starts := h.starts
	h.starts = nil
	for _, s := range starts {
		a := owner.CallResult{Call: s.Number, Reply: owner.ConnectionRefused}
		if !h.down[s.Endpoint] {
			a = h.endpoints[s.Endpoint].Start(h.now, s)
		}
		h.collect(h.pool.HandleCallResult(h.now, &a))
	}
}

func (h *harness) answerStops() {
	stops := h.stops
	h.stops = nil
	for _, s := range stops {
		a := owner.CallResult{Call: s.Number, Reply: owner.ConnectionRefused}
		if !h.down[s.Endpoint] {
			a = h.endpoints[s.Endpoint].Stop(h.now, s)
		}
		h.collect(h.pool.HandleCallResult(h.now, &a))
	}
}

// order returns an order for the first n tasks of a job.
func order(id string, n int, cpu int64) job.Order {
	o := job.Order{
		Job: job.ID(id), Service: "render", Target: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond,
		Needs: job.Needs{Room: job.Room{CPU: cpu, Memory: 1}, Estimate: 100 * time.Millisecond},
	}
	for i := range n {
		o.Indexes, o.MinRuns = append(o.Indexes, i), append(o.MinRuns, 1)
	}
	return o
}

func (h *harness) place(home ident.Process, o job.Order) {
	h.collect(h.pool.Place(h.now, home, []job.Order{o}))
}

// TestRoomNotExceeded guards against starts that exceed the room of an
// endpoint, also while runs that are being stopped have not ended.
func TestRoomNotExceeded(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 5, 10_000))
	h.is.Equal(len(h.starts), 3) // 32 cores have room for three tasks of 10
	h.answerStarts()
	h.collect(h.pool.Withdraw(h.now, home1, "j"))
	h.is.Equal(len(h.stops), 3)
	h.place(home1, order("k", 1, 10_000))
	h.is.Equal(len(h.starts), 0) // the stopped runs have not ended yet
	h.answerStops()
	h.advance(10 * time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.starts), 1)
}

// TestEndsReportedOnce guards against ends that are lost or reported twice.
func TestEndsReportedOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 2, 10_000))
	h.answerStarts()
	h.advance(150 * time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.ends), 2)
	for _, e := range h.ends {
		h.is.Equal(e.Outcome, job.Done)
	}
	h.advance(10 * time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.ends), 2)
}

// TestUnansweredStart guards against a second run while the first start may
// still be carried out, and against stopping a run only because the answer to
// its start was lost.
func TestUnansweredStart(t *testing.T) {
	cases := map[string]struct {
		carriedOut bool
		stops      int
	}{
		"carried out":     {true, 0},
		"not carried out": {false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.place(home1, order("j", 1, 10_000))
			start := h.starts[0]
			h.starts = nil
			if c.carriedOut {
				h.endpoints[start.Endpoint].Start(h.now, start)
			}
			h.advance(20 * time.Millisecond)
			h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: start.Number, Reply: owner.Unknown}))
			h.is.Equal(len(h.starts), 0)
			h.advance(5 * time.Millisecond)
			h.answerPolls()
			h.is.Equal(len(h.stops), c.stops)
			h.is.Equal(len(h.starts), 0) // not before the stop is confirmed and a poll shows it
			h.answerStops()
			h.advance(5 * time.Millisecond)
			h.answerPolls()
			h.is.Equal(len(h.starts), c.stops) // the second run, on either endpoint
			if c.stops > 0 {
				h.is.Equal(h.endpoints[start.Endpoint].Start(h.now, start).Reply, owner.OldRun)
			}
		})
	}
}

// TestNoRerunBeforeLeaseExpiry guards against a task on a silent endpoint
// that starts again before the lease has certainly expired, or that is never
// finished.
func TestNoRerunBeforeLeaseExpiry(t *testing.T) {
	h := newHarness(t, 2)
	h.place(home1, order("j", 1, 10_000))
	silent := h.starts[0].Endpoint
	h.answerStarts()
	h.advanceWithSilent(silent, 5*time.Second)
	h.is.Equal(len(h.ends), 1) // the deadline of 1.5 s passes first
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}

// TestFailoverFromSilentEndpoint guards against a task that never starts
// elsewhere after its endpoint has failed, since each unanswered poll might
// renew the lease there.
func TestFailoverFromSilentEndpoint(t *testing.T) {
	h := newHarness(t, 2)
	o := order("j", 1, 10_000)
	o.Deadline = time.Minute
	h.place(home1, o)
	silent := h.starts[0].Endpoint
	h.answerStarts()
	startedAt := h.now
	h.advanceWithSilent(silent, 10*time.Second)
	h.is.Equal(len(h.starts), 1)
	h.is.True(h.starts[0].Endpoint != silent)
	// The limit covers the longest lease, the clock error, the time for which
	// another owner may keep the run, and the time until the polls have failed.
	h.is.True(h.now.Sub(startedAt) <= 2*time.Second)
}

// TestEndpointConstraints guards against starts on endpoints that the needs of
// a step rule out.
func TestEndpointConstraints(t *testing.T) {
	cases := map[string]struct {
		change   func(o *job.Order)
		starts   int
		endpoint ident.EndpointID
	}{
		"label":                      {func(o *job.Order) { o.Needs.RequiredLabel = "r-1" }, 3, "e-1"},
		"unknown label":              {func(o *job.Order) { o.Needs.RequiredLabel = "x" }, 0, ""},
		"one per endpoint":           {func(o *job.Order) { o.Needs.MaxPerEndpoint = 1 }, 2, ""},
		"same rack":                  {func(o *job.Order) { o.Needs.SameRack = true }, 3, ""},
		"affinity":                   {func(o *job.Order) { o.Needs.Affinity = "r-1"; o.Indexes = o.Indexes[:1] }, 1, "e-1"},
		"other service":              {func(o *job.Order) { o.Service = "other" }, 0, ""},
		"more than any endpoint has": {func(o *job.Order) { o.Needs.Room.CPU = 64_000 }, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			o := order("j", 4, 10_000)
			c.change(&o)
			h.place(home1, o)
			h.is.Equal(len(h.starts), c.starts)
			endpointsUsed := map[ident.EndpointID]bool{}
			for _, s := range h.starts {
				endpointsUsed[s.Endpoint] = true
				h.is.True(c.endpoint == "" || s.Endpoint == c.endpoint)
			}
			h.is.True(!o.Needs.SameRack || len(endpointsUsed) == 1)
		})
	}
}

// TestNoStartOnDrainingEndpoint guards against tasks that start on a draining
// endpoint.
func TestNoStartOnDrainingEndpoint(t *testing.T) {
	h := newHarness(t, 1)
	h.endpoints["e-0"].Entry.Draining = true
	h.updateList()
	h.place(home1, order("j", 1, 10_000))
	h.is.Equal(len(h.starts), 0)
}

// TestFailingEndpointCoolsDown guards against an endpoint that fails all its
// tasks and keeps getting new ones.
func TestFailingEndpointCoolsDown(t *testing.T) {
	h := newHarness(t, 2)
	h.endpoints["e-0"].PlanOf = func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: 5 * time.Millisecond, Fails: true} }
	failed := 0
	for i := range 40 {
		h.place(home1, order(fmt.Sprint("j", i), 1, 10_000))
		h.answerStarts()
		h.advance(10 * time.Millisecond)
		h.answerPolls()
	}
	for _, e := range h.ends {
		if e.Outcome == job.Failed {
			failed++
		}
	}
	h.is.True(failed > 0 && failed < 8)
}

// TestResubmittedJobNotDuplicated guards against two concurrent runs of a task
// when its caller submits the job again through another home.
func TestResubmittedJobNotDuplicated(t *testing.T) {
	h := newHarness(t, 2)
	h.place(home1, order("j", 1, 10_000))
	h.answerStarts()
	h.place(home2, order("j", 1, 10_000))
	h.is.Equal(len(h.starts), 0)
	h.is.Equal(len(h.stops), 1)
	h.answerStops()
	h.advance(time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.starts), 1)
	h.is.Equal(h.starts[0].Run, 2)
}

// TestStalledTaskRunsAgainOnce guards against tasks that make no progress on an
// endpoint until their callers give up, and against more than one rerun.
func TestStalledTaskRunsAgainOnce(t *testing.T) {
	h := newHarness(t, 2)
	for _, e := range h.endpoints {
		e.PlanOf = func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: time.Hour} }
	}
	o := order("j", 1, 10_000)
	o.Deadline = 10 * time.Second
	h.place(home1, o)
	first := h.starts[0].Endpoint
	var reruns []owner.Start
	for range 120 { // 3 s
		h.answerStarts()
		h.answerStops()
		h.advance(25 * time.Millisecond)
		h.answerPolls()
		reruns = append(reruns, h.starts...)
	}
	h.is.Equal(len(reruns), 1)
	h.is.True(reruns[0].Endpoint != first)
	h.is.Equal(reruns[0].Run, 2)
}
