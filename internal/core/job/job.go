// Package job holds the data of jobs whose tasks run under leases on
// endpoints with room: what callers ask for, and what passes between the home
// of a job and the owner of the endpoints.
package job

import (
	"strconv"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// ID names a job. The caller chooses it.
type ID string

// Key names one task of a job.
type Key struct {
	Job ID
	// Occurrence counts the repetitions of a job with a schedule, from 0.
	Occurrence int
	// Step and Index count from 0.
	Step  int
	Index int
}

// String returns the parts of the key, separated by dots.
func (k Key) String() string {
	b := make([]byte, 0, len(k.Job)+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseKey reads the form of String and reports whether s has it.
func ParseKey(s string) (Key, bool) {
	var n [3]int
	for i := len(n) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(s, '.')
		if dot < 0 {
			return Key{}, false
		}
		v, err := strconv.Atoi(s[dot+1:])
		if err != nil || v < 0 {
			return Key{}, false
		}
		n[i], s = v, s[:dot]
	}
	return Key{Job: ID(s), Occurrence: n[0], Step: n[1], Index: n[2]}, s != ""
}

// Room is an amount of an endpoint's resources.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in megabytes.
	Memory int64
	// GPU counts accelerators.
	GPU int64
}

// Fits reports whether r is no larger than free in any part.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Plus returns the sum of r and o.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Needs says what each task of a step takes and where it may run.
type Needs struct {
	Room Room
	// Estimate is the caller's rough estimate of the run time.
	Estimate time.Duration
	// RequiredLabel must be among the endpoint's labels, unless it is empty.
	RequiredLabel string
	// Affinity names the rack that holds the data; elsewhere the task takes
	// longer. SameRack asks for one rack for all tasks of the step.
	Affinity string
	SameRack bool
	// MaxPerEndpoint bounds the tasks of the step on one endpoint, unless it
	// is zero.
	MaxPerEndpoint int
}

// Step is a set of like tasks.
type Step struct {
	Needs
	Tasks int
	// After lists earlier steps whose tasks must all be done first.
	After []int
}

// Spec is a job as its caller submits it.
type Spec struct {
	ID ID
	// Payload is handed to each task unread.
	Payload string
	Steps   []Step
}

// Order hands tasks of one step of a job to the owner of the endpoints.
type Order struct {
	Job     ID
	Step    int
	Service ident.Service
	Payload string
	Needs   Needs
	// Indexes lists the tasks, and FirstRuns the number that the next run of
	// each must have at least.
	Indexes   []int
	FirstRuns []int
	// Target is the time left to answer in time, Deadline the time left until
	// the caller gives up.
	Target   time.Duration
	Deadline time.Duration
	// Handed is set when another owner may have started the tasks already.
	Handed bool
}

// Outcome says how a task ended at the owner.
type Outcome int

// The outcomes of a task.
const (
	// Done: the task ran to its end.
	Done Outcome = iota + 1
	// Failed: the run failed, by its own fault or the endpoint's.
	Failed
	// Refused: the task was given up and nothing of it ran.
	Refused
	// Overdue: the task was given up, and it may have run in part.
	Overdue
	// Unowned: the process that was asked does not own the endpoints.
	Unowned
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
	case Unowned:
		return "unowned"
	}
	return "unknown"
}

// End reports the end of a task to its home.
type End struct {
	Key      Key
	Run      int
	Outcome  Outcome
	Endpoint ident.EndpointID
	// Ran is how long the run took, and Waited how long the task waited for
	// its start.
	Ran    time.Duration
	Waited time.Duration
	// RetryAfter is when another try may succeed, for refused tasks.
	RetryAfter time.Duration
}
