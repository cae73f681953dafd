package submission

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// taskState is the state of one task of a submission.
type taskState uint8

const (
	// queued: the current attempt waits at the home and has no executor yet. An
	// earlier attempt may have run.
	queued taskState = iota
	// assigned: the current attempt was assigned to an executor.
	assigned
	// succeeded and failed are final: no later result changes them.
	succeeded
	failed
)

// task is the home's record of one task.
type task struct {
	state    taskState
	attempt  ident.Attempt
	executor ident.Process
	// mayHaveRun is true when the outcome of an earlier attempt is unknown.
	mayHaveRun bool
	output     []byte
	failure    *fault.Error
}

// Entry is the home's record of one submission.
type Entry struct {
	Submission work.Submission
	// digest is a hash of the submitted content.
	digest uint64
	// repeatable is true when a task may run again after an attempt whose
	// outcome is unknown.
	repeatable bool
	// tasks is nil once the answer is built.
	tasks []task
	// openTasks counts the tasks that are not final.
	openTasks int
	answer    *work.Answer
	// outputBytes is the size of the outputs that the answer holds.
	outputBytes int
	// outputsDropped is true when the outputs were dropped to save memory.
	outputsDropped bool
	// finishedAt is when the last task became final.
	finishedAt time.Time
	heapIndex  int
}

// Finished reports whether every task is final.
func (e *Entry) Finished() bool { return e.openTasks == 0 }

// Open returns the number of tasks that are not final.
func (e *Entry) Open() int { return e.openTasks }

// Answer returns the final answer, in state Complete or Failed, or one in state
// Running while tasks are open.
func (e *Entry) Answer() work.Answer {
	if e.answer == nil {
		return work.Answer{ID: e.Submission.ID, State: work.Running}
	}
	return *e.answer
}

// buildAnswer builds the answer once every task is final. It contains outputs
// only when all tasks succeeded, so that no caller takes a partial answer for a
// complete one.
func (e *Entry) buildAnswer(now time.Time) {
	a := &work.Answer{ID: e.Submission.ID, State: work.Complete}
	for i := range e.tasks {
		if e.tasks[i].state == failed {
			a.State = work.Failed
			a.Failures = append(a.Failures, work.TaskFailure{Task: i, Error: e.tasks[i].failure})
		}
	}
	if a.State == work.Complete {
		a.Outputs = make([][]byte, len(e.tasks))
		for i := range e.tasks {
			a.Outputs[i] = e.tasks[i].output
			e.outputBytes += len(e.tasks[i].output)
		}
	}
	e.answer = a
	e.finishedAt = now
	e.tasks = nil
	e.Submission.Tasks = nil
}

// currentAttempt returns the work.Task of the current attempt of task i, to be
// queued or assigned, with Enqueued set to now.
func (e *Entry) currentAttempt(now time.Time, i int) *work.Task {
	in := &e.Submission.Tasks[i]
	return &work.Task{
		ID:         ident.TaskID{Submission: e.Submission.ID, Index: i},
		Attempt:    e.tasks[i].attempt,
		Service:    e.Submission.Service,
		Team:       e.Submission.Team,
		Home:       e.Submission.ID.Home(),
		Body:       in.Body,
		Deadline:   in.Deadline,
		Size:       in.Size,
		Repeatable: e.repeatable,
		Enqueued:   now,
	}
}
