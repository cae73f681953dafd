// Package job defines the data of jobs whose tasks run under leases on
// endpoints with limited resources: the jobs that callers submit, and the
// messages between the home of a job and the owner of the endpoints. The home
// is the instance that accepted the job and answers its caller; the owner is
// the instance that holds the leases of the endpoints and starts runs on them.
// A run is one attempt to run a task.
package job

import (
	"strconv"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// ID identifies a job. The caller chooses it.
type ID string

// Key identifies one task of a job.
type Key struct {
	Job ID
	// Occurrence numbers the repetitions of a scheduled job, from 0.
	Occurrence int
	// Step and Index count from 0.
	Step  int
	Index int
}

// String returns the parts of the key, separated by dots: the job, the
// occurrence, the step and the index.
func (k Key) String() string {
	b := make([]byte, 0, len(k.Job)+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// keyNumberBits is the size of the numbers of a key. Peers send them as 32 bits
// without a sign.
const keyNumberBits = 31

// ParseKey parses a key in the form of String. It returns false if s is
// malformed or a number in it has more than keyNumberBits.
func ParseKey(s string) (Key, bool) {
	var n [3]int
	for i := len(n) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(s, '.')
		if dot < 0 {
			return Key{}, false
		}
		v, err := strconv.ParseUint(s[dot+1:], 10, keyNumberBits)
		if err != nil {
			return Key{}, false
		}
		n[i], s = int(v), s[:dot]
	}
	return Key{Job: ID(s), Occurrence: n[0], Step: n[1], Index: n[2]}, s != ""
}

// Room is an amount of an endpoint's resources.
type Room struct {
	// CPU is in thousandths of a processor core.
	CPU int64
	// Memory is in megabytes.
	Memory int64
	// GPU is the number of accelerators.
	GPU int64
}

// The largest amounts that a task may need or an endpoint may have. They are far
// above the largest machine, and sums over all endpoints and runs of a fleet stay
// within 64 bits.
const (
	// MaxCPU is in thousandths of a processor core.
	MaxCPU = 10_000_000
	// MaxMemory is in megabytes.
	MaxMemory = 1 << 30
	MaxGPU    = 10_000
)

// InRange reports whether no amount is negative or above the largest one.
func (r Room) InRange() bool {
	return min(r.CPU, r.Memory, r.GPU) >= 0 && r.CPU <= MaxCPU && r.Memory <= MaxMemory && r.GPU <= MaxGPU
}

// Clamp returns r with each amount limited to its range.
func (r Room) Clamp() Room {
	return Room{CPU: min(max(r.CPU, 0), MaxCPU), Memory: min(max(r.Memory, 0), MaxMemory), GPU: min(max(r.GPU, 0), MaxGPU)}
}

// Fits reports whether each resource of r is at most that of free.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Add returns the sum of r and o.
func (r Room) Add(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns the difference of r and o.
func (r Room) Sub(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Needs describes the resources that each task of a step needs, and where it
// may run.
type Needs struct {
	Room Room
	// Estimate is the caller's rough estimate of the run time.
	Estimate time.Duration
	// RequiredLabel is a label that the endpoint must have; empty means none.
	RequiredLabel string
	// Affinity is the rack that stores the data of the tasks; on other racks
	// they take longer.
	Affinity string
	// SameRack asks for all tasks of the step to run on one rack.
	SameRack bool
	// MaxPerEndpoint bounds the tasks of the step on one endpoint; zero means
	// no bound.
	MaxPerEndpoint int
}

// Step is a set of tasks with the same needs.
type Step struct {
	Needs
	// Tasks is the number of tasks.
	Tasks int
	// After lists the indexes of earlier steps whose tasks must all be done
	// before this step starts.
	After []int
}

// Spec is a job as its caller submits it.
type Spec struct {
	ID ID
	// Payload is passed to each task without being interpreted.
	Payload string
	Steps   []Step
}

// Order asks the owner of the endpoints to run tasks of one step of a job.
type Order struct {
	Job     ID
	Step    int
	Service ident.Service
	Payload string
	Needs   Needs
	// Indexes lists the tasks. MinRuns lists, for each of them, the lowest
	// number that its next run may have.
	Indexes []int
	MinRuns []int
	// Target is the time left until the step should end for the job to meet its
	// target time: the home subtracts the estimated time of the longest path of
	// later steps. Deadline is the time left until the caller gives up.
	Target   time.Duration
	Deadline time.Duration
	// Placement numbers the orders of a home from 1. The ends of the tasks
	// repeat it.
	Placement uint64
	// MayHaveStarted is set if another order for one of the tasks is open, so
	// that another owner may already have started it. PlacedWhole is set if
	// that owner may have owned the endpoints of the whole fleet, and not only
	// those of the home's data centre.
	MayHaveStarted bool
	PlacedWhole    bool
	// Priority orders the tasks of a service when there is too little room: 0
	// comes first.
	Priority int
}

// MaxRun is the highest number of a run that is accepted from elsewhere. The
// numbers of later runs of the task still fit into 32 bits, as peers send them.
const MaxRun = 1 << 31

// Outcome is the outcome of a task, as the owner reports it to the home.
type Outcome int

// The outcomes of a task. A task that succeeds is Done, and its job is finished
// once all its tasks are.
const (
	// Done: the task ran and succeeded.
	Done Outcome = iota + 1
	// Failed: the run failed, because of the task or of the endpoint.
	Failed
	// Refused: the owner gave up on the task, and no part of it has run. This
	// says nothing about other placements of the task.
	Refused
	// Overdue: the owner gave up on the task, and it may have run in part.
	Overdue
	// NotOwner: the process that received the order does not own the endpoints.
	// Logs show it as "unowned".
	NotOwner
	// Crashed: the owner gave up on the task, since endpoints crash that start
	// it. No owner that knows of it starts it again.
	Crashed
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Overdue:
		return "overdue"
	case NotOwner:
		return "unowned"
	case Crashed:
		return "crashed"
	}
	return "unknown"
}

// TaskEnd reports to the home of a task how the task has ended.
type TaskEnd struct {
	Key Key
	// Placement is the Order.Placement of the latest order for the task.
	Placement uint64
	Run       int
	Outcome   Outcome
	Endpoint  ident.EndpointID
	// RunTime is the duration of the run, and Waited how long the task waited
	// before it started.
	RunTime time.Duration
	Waited  time.Duration
	// RetryAfter is the time after which a refused task may succeed if it is
	// submitted again.
	RetryAfter time.Duration
}
