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

// readyFleet returns a fleet whose instances have the configuration and the
// platform's list.
func readyFleet(t *testing.T, dcs, perDC, endpointsPerDC int) *fleet {
	f := newFleet(t, 1, dcs, perDC, endpointsPerDC)
	f.advance(500 * time.Millisecond)
	f.readStore()
	f.advance(500 * time.Millisecond)
	return f
}

// TestAdmissionRefusals guards against submissions that are admitted although
// they can't be done, and against refusals of tasks that still start or that
// are not reported as not run.
func TestAdmissionRefusals(t *testing.T) {
	cases := map[string]struct {
		before func(*fleet)
		change func(*work.Submission)
		kind   fault.Kind
	}{
		"unknown service": {change: func(s *work.Submission) { s.Service = "other" }, kind: fault.UnknownService},
		"unknown team":    {change: func(s *work.Submission) { s.Team = "other" }, kind: fault.UnknownTeam},
		"no endpoints": {before: func(f *fleet) {
			f.platformList = f.platformList[:2] // only the entry instances
			f.readStore()
			f.advance(100 * time.Millisecond)
		}, kind: fault.Unplaceable},
		"more tasks than the queue holds": {change: func(s *work.Submission) {
			s.Tasks = make([]work.Input, 1001)
		}, kind: fault.Unplaceable},
		"queue full": {before: func(f *fleet) {
			f.submit(f.instances[0], f.newSubmission(f.instances[0], sheetPress, "shop", 990, time.Hour))
		}, change: func(s *work.Submission) {
			s.Deadline = s.Deadline.Add(time.Hour)
			s.Tasks = make([]work.Input, 50)
			for i := range s.Tasks {
				s.Tasks[i].Deadline = s.Deadline
			}
		}, kind: fault.QueueFull},
		"deadline shorter than the run time": {change: func(s *work.Submission) {
			s.Deadline = s.Deadline.Add(-10*time.Second + time.Millisecond)
		}, kind: fault.DeadlineUnmeetable},
		"deadline shorter than the queue wait": {before: func(f *fleet) {
			f.submit(f.instances[0], f.newSubmission(f.instances[0], sheetPress, "shop", 900, time.Hour))
		}, change: func(s *work.Submission) {
			s.Deadline = s.Deadline.Add(-9 * time.Second)
		}, kind: fault.DeadlineUnmeetable},
		"draining": {before: func(f *fleet) { f.handle(f.instances[0], instance.Drain{}) }, kind: fault.Draining},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := readyFleet(t, 1, 2, 2)
			s := f.newSubmission(f.instances[0], sheetPress, "studio", 1, 10*time.Second)
			if c.before != nil {
				c.before(f)
			}
			if c.change != nil {
				c.change(&s.submission)
			}
			f.submit(f.instances[0], s)
			is.True(s.refusal != nil)
			is.Equal(s.refusal.Kind, c.kind)
			is.Equal(s.refusal.Ran, fault.RanNo)
			f.advance(time.Second)
			is.Equal(f.starts[ident.TaskID{Submission: s.submission.ID}.String()], 0)
		})
	}
}

// TestRetryBudget guards against retries that multiply the load during an
// outage. No endpoint can be reached, and the attempts beyond the first must be
// at most 10% of the tasks of the last 10 s plus 10.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 1, 2)
	for _, e := range f.endpoints {
		e.unreachable = true
	}
	const n = 200
	s := f.newSubmission(f.instances[0], sheetPress, "studio", n, 20*time.Second)
	f.submit(f.instances[0], s)
	f.advance(9 * time.Second)
	count := f.instances[0].core.Counters()
	is.True(count.Requeued <= n/10+10)
	is.True(count.Starts <= n+n/10+10)
	f.advance(15 * time.Second)
	is.True(s.answer != nil)
	is.Equal(s.answer.State, work.Failed)
	f.checkStarts()
}

// TestHedge guards against an idempotent request that waits for a slow endpoint
// although another one is free, and against hedges of jobs and of requests that
// are not idempotent.
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
				f.submit(f.instances[0], f.newSubmission(f.instances[0], c.service, "studio", 1, 10*time.Second))
				f.advance(100 * time.Millisecond)
			}
			f.advance(2 * time.Second)
			before := f.instances[0].core.Counters().Hedged
			for _, e := range f.endpoints {
				e.dropsReplies = true
			}
			tasks := 1
			if c.job {
				tasks = 2
			}
			s := f.newSubmission(f.instances[0], c.service, "studio", tasks, 20*time.Second)
			f.submit(f.instances[0], s)
			f.advance(200 * time.Millisecond)
			for _, e := range f.endpoints {
				e.dropsReplies = e.running > 0
			}
			f.advance(2 * time.Second)
			is.Equal(f.instances[0].core.Counters().Hedged > before, c.hedged)
			if c.hedged {
				is.Equal(s.answer.State, work.Complete)
			}
			f.advance(20 * time.Second)
			f.checkStarts()
		})
	}
}

// TestFairness guards against a team, or a large job, that blocks all others. A
// request submitted after two jobs of 400 tasks must be answered long before
// them.
func TestFairness(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var jobs []*callerSubmission
	for range 2 {
		s := f.newSubmission(f.instances[0], sheetPress, "studio", 400, time.Hour)
		f.submit(f.instances[0], s)
		jobs = append(jobs, s)
	}
	f.advance(time.Second)
	for _, team := range []ident.Team{"studio", "shop"} {
		s := f.newSubmission(f.instances[0], sheetPress, team, 1, time.Hour)
		f.submit(f.instances[0], s)
		f.advance(2 * time.Second)
		is.True(s.answer != nil)
	}
	is.True(jobs[0].answer == nil)
	is.True(jobs[1].answer == nil)
}

// TestCancelManyJobs guards against cancelled tasks that still start or stay in
// the queue. 20 large jobs are cancelled at once through another instance than
// their home.
func TestCancelManyJobs(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	var jobs []*callerSubmission
	for range 20 {
		s := f.newSubmission(f.instances[0], sheetPress, "studio", 45, time.Hour)
		f.submit(f.instances[0], s)
		jobs = append(jobs, s)
	}
	f.advance(200 * time.Millisecond)
	for _, s := range jobs {
		f.handle(f.instances[1], instance.Cancel{ID: s.submission.ID})
	}
	f.advance(500 * time.Millisecond)
	started := len(f.starts)
	for _, s := range jobs {
		is.Equal(s.answer.State, work.Failed)
	}
	for _, n := range f.instances {
		for _, sv := range n.core.Status(f.now).Services {
			is.Equal(sv.Queued, 0)
		}
	}
	f.advance(5 * time.Second)
	is.Equal(len(f.starts), started)
	f.checkStarts()
}

// TestCallBoundedByMaxDuration guards against a call that takes longer than a
// restarted process waits before it uses the floors of limits.
func TestCallBoundedByMaxDuration(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 1, 1)
	s := f.newSubmission(f.instances[0], sheetPress, "studio", 1, time.Hour)
	calls := 0
	for _, a := range f.instances[0].core.Handle(f.now, instance.Submit{Submission: s.submission}) {
		if start, ok := a.(instance.StartCall); ok {
			calls++
			is.True(start.Timeout <= instance.MaxCallDuration)
			is.Equal(start.Deadline, f.now.Add(start.Timeout))
		}
	}
	is.Equal(calls, 1)
}

// TestReplacedProcessStartsNothing guards against a process that was paused and
// then starts queued tasks although its successor has already started.
func TestReplacedProcessStartsNothing(t *testing.T) {
	is := is.New(t)
	f := readyFleet(t, 1, 2, 2)
	old := *f.instances[0] // keeps the core of the old process
	s := f.newSubmission(&old, sheetPress, "studio", 300, time.Hour)
	f.instances[0].requests[1] = s
	f.handle(f.instances[0], instance.Submit{Ref: instance.RequestRef{Request: 1}, Submission: s.submission, Digest: s.digest})
	f.advance(200 * time.Millisecond)
	f.kill(f.instances[0])
	f.start(f.instances[0])
	f.advance(8 * time.Second)
	started := len(f.starts)
	for _, a := range old.core.Handle(f.now, instance.Tick{}) {
		_, ok := a.(instance.StartCall)
		is.True(!ok)
	}
	heartbeat := instance.PeerMessage{Peer: f.instances[1].process(), Message: replacedHeartbeat(f.instances[1], f.instances[0])}
	for _, ev := range []instance.Event{heartbeat, instance.Tick{}} {
		for _, a := range old.core.Handle(f.now, ev) {
			_, ok := a.(instance.StartCall)
			is.True(!ok)
		}
	}
	is.True(old.core.Status(f.now).Replaced)
	is.Equal(len(f.starts), started)
}
