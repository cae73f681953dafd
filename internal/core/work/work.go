// Package work defines the data types that the decision code in internal/decide
// and the adapters exchange: submissions, tasks, results and the platform's
// list of instances and endpoints.
package work

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Submission is a single request, which has one task, or a job of one or more
// tasks.
type Submission struct {
	ID      ident.SubmissionID
	Service ident.Service
	Team    ident.Team
	// Job is set for a job, and not for a single request.
	Job bool
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time
	Tasks    []Input
}

// Input is the input of one task.
type Input struct {
	Body []byte
	// Deadline is the task's own deadline. It is not after the submission's.
	Deadline time.Time
	// Size is the caller's measure of the task, in any unit that the service
	// uses. The run time is estimated from it, although it is often inaccurate.
	// Zero means unknown.
	Size float64
}

// Task is one attempt to run a task. Exactly one instance may start it, once.
type Task struct {
	ID      ident.TaskID
	Attempt ident.Attempt
	Service ident.Service
	Team    ident.Team
	// Home is the process that issued the submission id.
	Home     ident.Process
	Body     []byte
	Deadline time.Time
	Size     float64
	// Repeatable is set for a single request of an idempotent service. Such a
	// task may be started again when the outcome of an attempt is unknown.
	Repeatable bool
	// Enqueued is when the task entered the queue of the instance in which it
	// waits now.
	Enqueued time.Time
}

// Result is the outcome of one attempt.
type Result struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	// NotStarted is set if the attempt has not started and never will.
	NotStarted bool
	Output     []byte
	// Failure is nil if the attempt succeeded.
	Failure *fault.Error
	// Endpoint and Incarnation identify the endpoint process that ran the task.
	Endpoint    ident.EndpointID
	Incarnation ident.Incarnation
	// Took is the time from the start at the endpoint to the endpoint's reply.
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

// Answer is the answer to a caller's submission. Outputs are in the order of
// the tasks, and are set only in state Complete.
type Answer struct {
	ID       ident.SubmissionID
	State    State
	Outputs  [][]byte
	Failures []TaskFailure
}

// TaskFailure says why one task of a failed submission has no output. Task is
// the index of the task.
type TaskFailure struct {
	Task  int
	Error *fault.Error
}

// InstanceKind distinguishes entry instances from endpoints in the platform's
// list.
type InstanceKind string

// The kinds of instance in the platform's list.
const (
	KindEntry    InstanceKind = "entry"
	KindEndpoint InstanceKind = "endpoint"
)

// Instance is one entry of the platform's list: an entry instance or an
// endpoint. The list may be out of date.
type Instance struct {
	ID          string
	Kind        InstanceKind
	DataCentre  ident.DataCentre
	Address     string
	Incarnation ident.Incarnation
	// Leaving is set when the platform is about to remove the instance.
	Leaving bool
	// Service, Slots and Connections are set for endpoints.
	Service     ident.Service
	Slots       int
	Connections int
}

// Load is the load of one service at one instance.
type Load struct {
	Service ident.Service
	// Slots is the number of slots of the healthy endpoints that the instance
	// owns, and Free the number of those slots that are not in use.
	Slots int
	Free  int
	// Queued is the number of waiting tasks.
	Queued int
	// TimeToCompletion is the estimated time from now until a new task of
	// unknown size would end; zero means unknown.
	TimeToCompletion time.Duration
}
