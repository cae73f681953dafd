// Package work holds the data types that pass between the decisions and the
// adapters: submissions, tasks, results and the platform's list.
package work

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Submission is a request of one task, or a job of one or more tasks.
type Submission struct {
	ID      ident.SubmissionID
	Service ident.Service
	Team    ident.Team
	// Job is false for a single request.
	Job bool
	// Deadline is the latest useful time of the whole answer.
	Deadline time.Time
	Tasks    []Input
}

// Input is what the caller gives for one task.
type Input struct {
	Body []byte
	// Deadline is the task's own deadline, at most the submission's.
	Deadline time.Time
	// Size is the caller's declared size; zero means unknown. It is often far
	// off.
	Size float64
}

// Task is one attempt that exactly one instance may start, once.
type Task struct {
	ID      ident.TaskID
	Attempt ident.Attempt
	Service ident.Service
	Team    ident.Team
	// Home is the process that keeps the submission.
	Home     ident.Process
	Body     []byte
	Deadline time.Time
	Size     float64
	// Repeatable is true for a single request of an idempotent service, which
	// may be started again after an unknown outcome.
	Repeatable bool
	// Enqueued is when the task began to wait at the instance that holds it.
	Enqueued time.Time
}

// Result is the outcome of one attempt.
type Result struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	// NotStarted is true when the attempt did not start and never will.
	NotStarted bool
	Output     []byte
	// Failure is nil when the attempt succeeded.
	Failure *fault.Error
	// Endpoint and Incarnation name the endpoint process that ran the task.
	Endpoint    ident.EndpointID
	Incarnation ident.Incarnation
	// Took is the time from the start at the endpoint to its reply.
	Took time.Duration
}

// State is the state of a submission as callers see it.
type State string

// The states of a submission.
const (
	Running  State = "running"
	Complete State = "complete"
	Failed   State = "failed"
)

// Answer is what a caller gets for its submission. Outputs stand in task order
// and only in state Complete.
type Answer struct {
	ID       ident.SubmissionID
	State    State
	Outputs  [][]byte
	Failures []TaskFailure
}

// TaskFailure tells why one task of a failed submission has no result.
type TaskFailure struct {
	Task  int
	Error *fault.Error
}

// InstanceKind tells entry instances and endpoints apart in the list.
type InstanceKind string

// The kinds of instance in the platform's list.
const (
	KindEntry    InstanceKind = "entry"
	KindEndpoint InstanceKind = "endpoint"
)

// Instance is one row of the platform's lagging list.
type Instance struct {
	ID          string
	Kind        InstanceKind
	DataCentre  ident.DataCentre
	Address     string
	Incarnation ident.Incarnation
	// Leaving is true when the platform is about to take the instance away.
	Leaving bool
	// Service, Slots and Connections are set for endpoints.
	Service     ident.Service
	Slots       int
	Connections int
}

// Load describes one service at one instance.
type Load struct {
	Service ident.Service
	// Slots counts the slots of healthy owned endpoints, Free those in no use.
	Slots int
	Free  int
	// Queued counts the tasks that wait.
	Queued int
	// End is the estimated time until a new task of unknown size would end, zero
	// when it is not known.
	End time.Duration
}
