package instance_test

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// fakeEndpoint returns the fake endpoint of a row of the platform's list, or
// nil.
func (f *fleet) fakeEndpoint(row work.Instance) *fakeEndpoint {
	for _, e := range f.endpoints {
		if e.row.ID == row.ID {
			return e
		}
	}
	return nil
}

// startCall simulates a call to an endpoint: a refusal, a start with a reply,
// or a start whose reply never comes.
func (f *fleet) startCall(n *simInstance, a instance.StartCall) {
	r := &simCall{task: a.Task}
	n.calls[a.Call] = r
	e := f.fakeEndpoint(a.Endpoint)
	refuse := func(kind fault.Kind) {
		f.schedule(time.Millisecond, func() {
			f.endCall(n, a.Call, r, work.Result{NotStarted: true, Failure: fault.New(kind, fault.RanNo)})
		})
	}
	switch {
	case e.unreachable:
		refuse(fault.EndpointUnreachable)
		return
	case e.draining:
		refuse(fault.Draining)
		return
	case e.running >= e.row.Slots:
		refuse(fault.EndpointBusy)
		return
	}
	name := a.Task.ID.String()
	f.starts[name]++
	e.running++
	e.tasks[name]++
	r.release = f.countInFlight(a.Task)
	took := time.Duration(float64(10+f.random.IntN(150)) / e.speed * float64(time.Millisecond))
	f.schedule(min(took, a.Timeout), func() {
		// An endpoint stops a task at its deadline.
		e.running--
		r.release()
		if e.tasks[name]--; e.tasks[name] == 0 {
			delete(e.tasks, name)
		}
		if took > a.Timeout {
			return
		}
		f.spent += quota.Count(took.Seconds() * 1000)
		if e.dropsReplies {
			return
		}
		result := work.Result{Output: []byte("output of " + name), Took: took}
		if e.failing {
			result = work.Result{Failure: fault.New(fault.EndpointFailed, fault.RanYes), Took: took}
		}
		f.endCall(n, a.Call, r, result)
	})
	f.schedule(a.Timeout, func() {
		f.endCall(n, a.Call, r, work.Result{Failure: fault.New(fault.OutcomeUnknown, fault.RanUnknown), Took: a.Timeout})
	})
}

// endCall reports the end of a call once.
func (f *fleet) endCall(n *simInstance, call uint64, r *simCall, result work.Result) {
	if r.ended || n.calls[call] != r {
		return
	}
	r.ended = true
	if r.release != nil {
		r.release()
	}
	result.Task, result.Attempt = r.task.ID, r.task.Attempt
	f.schedule(0, func() {
		if n.calls[call] == r {
			delete(n.calls, call)
			f.handle(n, instance.CallFinished{Call: call, Result: result})
		}
	})
}

// answerStatus simulates the answer of an endpoint to a status request.
func (f *fleet) answerStatus(n *simInstance, row work.Instance) {
	e := f.fakeEndpoint(row)
	incarnation := n.incarnation
	f.schedule(2*time.Millisecond, func() {
		if n.incarnation != incarnation {
			return
		}
		ev := instance.StatusRead{Endpoint: row, Slots: row.Slots, Busy: e.running, Draining: e.draining, Running: map[string]bool{}}
		if e.unreachable {
			ev = instance.StatusRead{Endpoint: row, Failure: fault.New(fault.EndpointUnreachable, fault.RanNo)}
		}
		for name := range e.tasks {
			if ev.Running != nil {
				ev.Running[name] = true
			}
		}
		f.handle(n, ev)
	})
}

// submit sends a submission to an instance. Any instance may have issued its
// id.
func (f *fleet) submit(n *simInstance, s *callerSubmission) {
	if n.down || n.exited || f.now.Before(n.pausedUntil) {
		return
	}
	s.submits++
	n.nextRequest++
	n.requests[n.nextRequest] = s
	f.handle(n, instance.Submit{Ref: instance.RequestRef{Request: n.nextRequest}, Submission: s.submission, Digest: s.digest})
}

// newSubmission returns a submission with an id issued by home, or nil when
// home issues none.
func (f *fleet) newSubmission(home *simInstance, service ident.Service, team ident.Team, tasks int, deadline time.Duration) *callerSubmission {
	ids := home.core.NextIDs(f.now, 1)
	if len(ids) == 0 {
		return nil
	}
	s := &callerSubmission{digest: f.random.Uint64()}
	s.submission = work.Submission{ID: ids[0], Service: service, Team: team, Job: tasks > 1, Deadline: f.now.Add(deadline)}
	for range tasks {
		s.submission.Tasks = append(s.submission.Tasks, work.Input{Body: []byte(ids[0].String()), Deadline: s.submission.Deadline, Size: f.random.Float64() * 100})
	}
	f.submissions = append(f.submissions, s)
	return s
}

// handleReply records the reply to a request. It checks that an answer belongs
// to the request and is complete or failed.
func (f *fleet) handleReply(n *simInstance, r instance.Reply) {
	s := n.requests[r.Request]
	if s == nil {
		return
	}
	delete(n.requests, r.Request)
	if r.Failure != nil {
		s.refusal = r.Failure
		s.unknownOutcome = s.unknownOutcome || r.Failure.Ran != fault.RanNo
		return
	}
	a := r.Answer
	if a.ID != s.submission.ID {
		f.t.Fatalf("seed %d: the caller of %s got the answer of %s", f.seed, s.submission.ID, a.ID)
	}
	switch a.State {
	case work.Complete:
		f.checkOutputs(s, a)
	case work.Failed:
		if len(a.Outputs) > 0 || len(a.Failures) == 0 {
			f.t.Fatalf("seed %d: failed answer of %s has %d outputs and %d failures", f.seed, a.ID, len(a.Outputs), len(a.Failures))
		}
	default:
		f.t.Fatalf("seed %d: a submission was answered in state %s", f.seed, a.State)
	}
	s.answer = &a
}

// checkOutputs checks that a complete answer has the right output of each task.
func (f *fleet) checkOutputs(s *callerSubmission, a work.Answer) {
	if len(a.Outputs) != len(s.submission.Tasks) {
		f.t.Fatalf("seed %d: %s has %d of %d outputs", f.seed, a.ID, len(a.Outputs), len(s.submission.Tasks))
	}
	for i, out := range a.Outputs {
		if want := "output of " + (ident.TaskID{Submission: a.ID, Index: i}).String(); string(out) != want {
			f.t.Fatalf("seed %d: task %d of %s has %q", f.seed, i, a.ID, out)
		}
	}
}

// checkStarts compares what endpoints started with what callers were told: no
// task that is not repeatable started twice, and nothing that was reported as
// not run started.
func (f *fleet) checkStarts() {
	for _, s := range f.submissions {
		started := 0
		for i := range s.submission.Tasks {
			name := ident.TaskID{Submission: s.submission.ID, Index: i}.String()
			started += f.starts[name]
			repeatable := s.submission.Service == sheetRender && !s.submission.Job
			if f.starts[name] > 1 && !repeatable {
				f.t.Fatalf("seed %d: task %s started %d times", f.seed, name, f.starts[name])
			}
		}
		if s.submits == 1 && s.answer == nil && s.refusal != nil && s.refusal.Ran == fault.RanNo && started > 0 {
			f.t.Fatalf("seed %d: %s was refused as not run (%s) and started %d tasks", f.seed, s.submission.ID, s.refusal.Kind, started)
		}
		if s.answer == nil {
			continue
		}
		for _, failure := range s.answer.Failures {
			name := ident.TaskID{Submission: s.submission.ID, Index: failure.Task}.String()
			if failure.Error.Ran == fault.RanNo && f.starts[name] > 0 {
				f.t.Fatalf("seed %d: task %s was reported as not run (%s) and started", f.seed, name, failure.Error.Kind)
			}
		}
	}
}

// replacedHeartbeat returns the heartbeat that an instance sends to a process
// whose successor it knows.
func replacedHeartbeat(from, successor *simInstance) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Instance:    string(from.id),
		Incarnation: uint64(from.incarnation),
		ReplacedBy:  uint64(successor.incarnation),
	}}}
}
