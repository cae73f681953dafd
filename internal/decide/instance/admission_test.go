package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// readyFleet returns a fleet that has its configuration and list.
func readyFleet(t *testing.T, dcs, perDC, perDCEndpoints int) *fleet {
	f := newFleet(t, 1, dcs, perDC, perDCEndpoints)
	f.run(500 * time.Millisecond)
	f.readStore()
	f.run(500 * time.Millisecond)
	return f
}

// TestAdmission guards against work that is taken although it can't be done,
// and against refusals that do not say truthfully that nothing ran.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		before func(*fleet)
		change func(*work.Submission)
		kind   fault.Kind
	}{
		"unknown service": {change: func(s *work.Submission) { s.Service = "other" }, kind: fault.UnknownService},
		"unknown team":    {change: func(s *work.Submission) { s.Team = "other" }, kind: fault.UnknownTeam},
		"no endpoints": {before: func(f *fleet) {
			f.listed = f.listed[:2]
			f.readStore()
			f.run(100 * time.Millisecond)
		}, kind: fault.Unplaceable},
		"larger than the queue": {change: func(s *work.Submission) {
			s.Tasks = make([]work.Input, 1001)
		}, kind: fault.Unplaceable},
		"queue full": {before: func(f *fleet) {
			f.submit(f.nodes[0], f.newSubmission(f.nodes[0], sheetPress, "shop", 990, time.Hour))
		}, change: func(s *work.Submission) {
			s.Deadline = s.Deadline.Add(time.Hour)
			s.Tasks = make([]work.Input, 50)
			for i := range s.Tasks {
				s.Tasks[i].Deadline = s.Deadline
			}
		}, kind: fault.QueueFull},
		"deadline before the work": {change: func(s *work.Submission) {
			s.Deadline = s.Deadline.Add(-10*time.Second + time.Millisecond)
		}, kind: fault.DeadlineUnmeetable},
		"deadline behind a queue": {before: func(f *fleet) {
			f.submit(f.nodes[0], f.newSubmission(f.nodes[0], sheetPress, "shop", 900, time.Hour))
		}, change: func(s *work.Submission) {
			s.Deadline = s.Deadline.Add(-9 * time.Second)
		}, kind: fault.DeadlineUnmeetable},
		"draining": {before: func(f *fleet) { f.handle(f.nodes[0], instance.Drain{}) }, kind: fault.Draining},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := readyFleet(t, 1, 2, 2)
			s := f.newSubmission(f.nodes[0], sheetPress, "studio", 1, 10*time.Second)
			if c.before != nil {
				c.before(f)
			}
			if c.change != nil {
				c.change(&s.s)
			}
			f.submit(f.nodes[0], s)
			is.True(s.refused != nil)
			is.Equal(s.refused.Kind, c.kind)
			is.Equal(s.refused.Ran, fault.RanNo)
			f.run(time.Second)
			is.Equal(f.starts[ident.TaskID{Submission: s.s.ID}.String()], 0)
		})
	}
}

// TestRetryBudget guards against retries that multiply the load of an outage:
// no endpoint can be reached, and the tries beyond the first are at most 10% of
// the tasks of 10 s and 10 more.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 1, 2)
	for _, e := range f.endpoints {
		e.gone = true
	}
	const n = 200
	s := f.newSubmission(f.nodes[0], sheetPress, "studio", n, 20*time.Second)
	f.submit(f.nodes[0], s)
	f.run(9 * time.Second)
	count := f.nodes[0].core.Counters()
	is.True(count.Requeued <= n/10+10)
	is.True(count.Starts <= n+n/10+10)
	f.run(15 * time.Second)
	is.True(s.answer != nil)
	is.Equal(s.answer.State, work.Failed)
	f.check()
}

// TestHedge guards against a slow endpoint that holds up an idempotent request
// although another one is free, and against a hedge of other work.
func TestHedge(t *testing.T) {
	cases := map[string]struct {
		service ident.Service
		job     bool
		hedged  bool
	}{
		"idempotent request": {sheetRender, false, true},
		"idempotent job":     {sheetRender, true, false},
		"other request":      {sheetPress, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := readyFleet(t, 1, 1, 2)
			for range 200 {
				f.submit(f.nodes[0], f.newSubmission(f.nodes[0], c.service, "studio", 1, 10*time.Second))
				f.run(100 * time.Millisecond)
			}
			f.run(2 * time.Second)
			before := f.nodes[0].core.Counters().Hedged
			for _, e := range f.endpoints {
				e.silent = true
			}
			tasks := 1
			if c.job {
				tasks = 2
			}
			s := f.newSubmission(f.nodes[0], c.service, "studio", tasks, 20*time.Second)
			f.submit(f.nodes[0], s)
			f.run(200 * time.Millisecond)
			for _, e := range f.endpoints {
				e.silent = e.running > 0
			}
			f.run(2 * time.Second)
			is.Equal(f.nodes[0].core.Counters().Hedged > before, c.hedged)
			if c.hedged {
				is.Equal(s.answer.State, work.Complete)
			}
			f.run(20 * time.Second)
			f.check()
		})
	}
}

// TestFairness guards against a team, or a large job, that holds up all others:
// a request that comes after two jobs of 400 tasks is answered long before
// they are.
func TestFairness(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var jobs []*submitted
	for range 2 {
		s := f.newSubmission(f.nodes[0], sheetPress, "studio", 400, time.Hour)
		f.submit(f.nodes[0], s)
		jobs = append(jobs, s)
	}
	f.run(time.Second)
	for _, team := range []ident.Team{"studio", "shop"} {
		s := f.newSubmission(f.nodes[0], sheetPress, team, 1, time.Hour)
		f.submit(f.nodes[0], s)
		f.run(2 * time.Second)
		is.True(s.answer != nil)
	}
	is.True(jobs[0].answer == nil)
	is.True(jobs[1].answer == nil)
}

// TestCancelWave guards against cancelled work that still starts, or that
// keeps its place in the queue: 20 large jobs are cancelled at once, at another
// instance than their home.
func TestCancelWave(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var jobs []*submitted
	for range 20 {
		s := f.newSubmission(f.nodes[0], sheetPress, "studio", 45, time.Hour)
		f.submit(f.nodes[0], s)
		jobs = append(jobs, s)
	}
	f.run(200 * time.Millisecond)
	for _, s := range jobs {
		f.handle(f.nodes[1], instance.Cancel{ID: s.s.ID})
	}
	f.run(500 * time.Millisecond)
	started := len(f.starts)
	for _, s := range jobs {
		is.Equal(s.answer.State, work.Failed)
	}
	for _, n := range f.nodes {
		for _, sv := range n.core.Status(f.now).Services {
			is.Equal(sv.Queued, 0)
		}
	}
	f.run(5 * time.Second)
	is.Equal(len(f.starts), started)
	f.check()
}

// TestLongestRun guards against a call that outlasts the wait of a successor
// for the floors of limits.
func TestLongestRun(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 1, 1)
	s := f.newSubmission(f.nodes[0], sheetPress, "studio", 1, time.Hour)
	calls := 0
	for _, a := range f.nodes[0].core.Handle(f.now, instance.Submit{Submission: s.s}) {
		if start, ok := a.(instance.Start); ok {
			calls++
			is.True(start.Limit <= instance.LongestRun)
			is.Equal(start.Deadline, f.now.Add(start.Limit))
		}
	}
	is.Equal(calls, 1)
}

// TestReplacedAfterPause guards against a paused process that goes on with
// queued work after its successor has begun: it starts nothing more and leaves.
func TestReplacedAfterPause(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	old := *f.nodes[0]
	s := f.newSubmission(&old, sheetPress, "studio", 300, time.Hour)
	f.nodes[0].requests[1] = s
	f.handle(f.nodes[0], instance.Submit{Ref: instance.Ref{Request: 1}, Submission: s.s, Digest: s.digest})
	f.run(200 * time.Millisecond)
	f.kill(f.nodes[0])
	f.start(f.nodes[0])
	f.run(8 * time.Second)
	started := len(f.starts)
	for _, a := range old.core.Handle(f.now, instance.Tick{}) {
		_, ok := a.(instance.Start)
		is.True(!ok)
	}
	heard := instance.PeerMessage{Peer: f.nodes[1].process(), Message: replacedHeartbeat(f.nodes[1], f.nodes[0])}
	for _, ev := range []instance.Event{heard, instance.Tick{}} {
		for _, a := range old.core.Handle(f.now, ev) {
			_, ok := a.(instance.Start)
			is.True(!ok)
		}
	}
	is.True(old.core.Status(f.now).Replaced)
	is.Equal(len(f.starts), started)
}
