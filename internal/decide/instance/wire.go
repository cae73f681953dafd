package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// remainingMs returns the time until a deadline in whole milliseconds, from 1
// to 1<<31. Deadlines are sent as remaining time, since the clocks of machines
// differ.
func remainingMs(now, deadline time.Time) uint32 {
	return uint32(max(1, min(deadline.Sub(now).Milliseconds(), 1<<31)))
}

func deadlineAfter(now time.Time, ms uint32) time.Time {
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func parseTaskID(submission string, index uint32) (ident.TaskID, bool) {
	id, err := ident.ParseSubmissionID(submission)
	return ident.TaskID{Submission: id, Index: int(index)}, err == nil
}

func forwardMessage(now time.Time, request uint64, s *work.Submission, digest uint64) *peerpb.Message {
	m := &peerpb.Submission{
		Id:         s.ID.String(),
		Service:    string(s.Service),
		Team:       string(s.Team),
		Job:        s.Job,
		DeadlineMs: remainingMs(now, s.Deadline),
		Tasks:      make([]*peerpb.TaskInput, len(s.Tasks)),
		Digest:     digest,
	}
	for i, in := range s.Tasks {
		m.Tasks[i] = &peerpb.TaskInput{Input: in.Body, DeadlineMs: remainingMs(now, in.Deadline), Size: in.Size}
	}
	return &peerpb.Message{Body: &peerpb.Message_Forward{
		Forward: &peerpb.Forward{Request: request, Submission: m}}}
}

func submissionFrom(now time.Time, m *peerpb.Submission) (work.Submission, error) {
	id, err := ident.ParseSubmissionID(m.GetId())
	if err != nil {
		return work.Submission{}, err
	}
	if len(m.Tasks) == 0 {
		return work.Submission{}, fault.New(fault.BadField, fault.RanNo).WithField("tasks")
	}
	s := work.Submission{
		ID:       id,
		Service:  ident.Service(m.Service),
		Team:     ident.Team(m.Team),
		Job:      m.Job,
		Deadline: deadlineAfter(now, m.DeadlineMs),
		Tasks:    make([]work.Input, len(m.Tasks)),
	}
	for i, in := range m.Tasks {
		s.Tasks[i] = work.Input{Body: in.Input, Deadline: deadlineAfter(now, in.DeadlineMs), Size: in.Size}
	}
	return s, nil
}

func faultMessage(f *fault.Error) *peerpb.Refusal {
	return &peerpb.Refusal{
		Kind:         string(f.Kind),
		Field:        f.Field,
		Detail:       f.Detail,
		Ran:          string(f.Ran),
		RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
	}
}

func faultFrom(m *peerpb.Refusal) *fault.Error {
	return fault.New(fault.Kind(m.Kind), fault.Ran(m.Ran)).WithField(m.Field).WithDetail(m.Detail).
		WithRetryAfter(time.Duration(m.RetryAfterMs) * time.Millisecond)
}

func forwardReply(request uint64, a work.Answer, refusal *fault.Error) *peerpb.Message {
	m := &peerpb.ForwardReply{Request: request}
	if refusal != nil {
		m.Refusal = faultMessage(refusal)
	} else {
		m.Answer = answerMessage(a)
	}
	return &peerpb.Message{Body: &peerpb.Message_ForwardReply{ForwardReply: m}}
}

func answerMessage(a work.Answer) *peerpb.Answer {
	m := &peerpb.Answer{Id: a.ID.String(), State: string(a.State), Outputs: a.Outputs}
	for _, f := range a.Failures {
		m.Failures = append(m.Failures, &peerpb.TaskFailure{
			Task:   uint32(f.Task),
			Kind:   string(f.Error.Kind),
			Ran:    string(f.Error.Ran),
			Detail: f.Error.Detail,
		})
	}
	return m
}

func answerFrom(m *peerpb.Answer) (work.Answer, error) {
	id, err := ident.ParseSubmissionID(m.GetId())
	if err != nil {
		return work.Answer{}, err
	}
	a := work.Answer{ID: id, State: work.State(m.State), Outputs: m.Outputs}
	for _, f := range m.Failures {
		a.Failures = append(a.Failures, work.TaskFailure{
			Task:  int(f.Task),
			Error: fault.New(fault.Kind(f.Kind), fault.Ran(f.Ran)).WithDetail(f.Detail),
		})
	}
	return a, nil
}

func taskMessage(now time.Time, t *work.Task) *peerpb.Task {
	return &peerpb.Task{
		Submission: t.ID.Submission.String(),
		Index:      uint32(t.ID.Index),
		Attempt:    uint32(t.Attempt),
		Service:    string(t.Service),
		Team:       string(t.Team),
		Input:      t.Body,
		DeadlineMs: remainingMs(now, t.Deadline),
		Size:       t.Size,
		Idempotent: t.Repeatable,
	}
}

// taskFrom decodes a task. It returns an error unless the peer that sent the
// task is its home.
func taskFrom(now time.Time, m *peerpb.Task, from ident.Process) (*work.Task, error) {
	id, ok := parseTaskID(m.Submission, m.Index)
	if !ok || id.Submission.Home() != from {
		return nil, fault.New(fault.PeerProtocol, fault.RanNo).WithField("submission")
	}
	return &work.Task{
		ID:         id,
		Attempt:    ident.Attempt(m.Attempt),
		Service:    ident.Service(m.Service),
		Team:       ident.Team(m.Team),
		Home:       from,
		Body:       m.Input,
		Deadline:   deadlineAfter(now, m.DeadlineMs),
		Size:       m.Size,
		Repeatable: m.Idempotent,
		Enqueued:   now,
	}, nil
}

func resultMessage(r *work.Result) *peerpb.TaskResult {
	m := &peerpb.TaskResult{
		Submission: r.Task.Submission.String(),
		Index:      uint32(r.Task.Index),
		Attempt:    uint32(r.Attempt),
		NotStarted: r.NotStarted,
		Output:     r.Output,
		Endpoint:   string(r.Endpoint),
		RunMs:      uint32(r.Took.Milliseconds()),
	}
	if r.Failure != nil {
		m.Failure = faultMessage(r.Failure)
	}
	return m
}

func resultsMessage(rs []*peerpb.TaskResult) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_TaskResults{TaskResults: &peerpb.TaskResults{Results: rs}}}
}

func resultFrom(m *peerpb.TaskResult) (*work.Result, error) {
	id, ok := parseTaskID(m.Submission, m.Index)
	if !ok {
		return nil, fault.New(fault.PeerProtocol, fault.RanNo).WithField("submission")
	}
	r := &work.Result{
		Task:       id,
		Attempt:    ident.Attempt(m.Attempt),
		NotStarted: m.NotStarted,
		Output:     m.Output,
		Endpoint:   ident.EndpointID(m.Endpoint),
		Took:       time.Duration(m.RunMs) * time.Millisecond,
	}
	if m.Failure != nil {
		r.Failure = faultFrom(m.Failure)
	}
	return r, nil
}

func listMessage(version uint64, rows []work.Instance) *peerpb.InstanceList {
	m := &peerpb.InstanceList{Version: version, Instances: make([]*peerpb.Instance, len(rows))}
	for i, row := range rows {
		state := "live"
		if row.Leaving {
			state = "leaving"
		}
		m.Instances[i] = &peerpb.Instance{
			Id:          row.ID,
			Kind:        string(row.Kind),
			DataCentre:  string(row.DataCentre),
			Address:     row.Address,
			Incarnation: uint64(row.Incarnation),
			State:       state,
			Service:     string(row.Service),
			Slots:       uint32(row.Slots),
			Connections: uint32(row.Connections),
		}
	}
	return m
}

func instancesFrom(m *peerpb.InstanceList) []work.Instance {
	rows := make([]work.Instance, len(m.Instances))
	for i, in := range m.Instances {
		rows[i] = work.Instance{
			ID:          in.Id,
			Kind:        work.InstanceKind(in.Kind),
			DataCentre:  ident.DataCentre(in.DataCentre),
			Address:     in.Address,
			Incarnation: ident.Incarnation(in.Incarnation),
			Leaving:     in.State == "leaving",
			Service:     ident.Service(in.Service),
			Slots:       int(in.Slots),
			Connections: int(in.Connections),
		}
	}
	return rows
}

// sameInstances reports whether two lists have the same rows in the same
// order.
func sameInstances(a, b []work.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
