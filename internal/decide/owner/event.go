package owner

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Fence orders the owners of an endpoint. A higher one wins. It is an epoch,
// followed by fenceUniqueBits that differ between processes.
type Fence int64

// fenceUniqueBits is the number of low bits of a fence that tell processes
// apart. The epoch above them leaves a fence within 53 bits, which any JSON
// decoder keeps exactly.
const fenceUniqueBits = 20

// NewFence returns the fence of an epoch for a process.
func NewFence(epoch uint64, unique uint32) Fence {
	return Fence(epoch<<fenceUniqueBits | uint64(unique)&(1<<fenceUniqueBits-1))
}

// Epoch returns the part of the fence that owners raise.
func (f Fence) Epoch() uint64 { return uint64(f) >> fenceUniqueBits }

func (f Fence) raised(epochs uint64) Fence { return f + Fence(epochs<<fenceUniqueBits) }

// Moment is a time on an endpoint's own clock, in milliseconds.
type Moment int64

// Endpoint is an endpoint as the platform lists it.
type Endpoint struct {
	ID         ident.EndpointID
	Service    ident.Service
	Address    string
	DataCentre ident.DataCentre
	// Kind and Rack are the endpoint's labels. Labels holds all of them.
	Kind   string
	Rack   string
	Labels []string
	Room   job.Room
	// Draining endpoints take no new tasks.
	Draining bool
	// Born tells the lives of an endpoint apart.
	Born int64
}

// Reply classifies the answer to a call to an endpoint.
type Reply int

// The replies.
const (
	// OK: the endpoint did as it was told.
	OK Reply = iota
	// Fenced: the endpoint has seen a higher fence and did nothing.
	Fenced
	// OldRun: the endpoint has seen this run or a later one end.
	OldRun
	// Late: the lease of the call had run out already.
	Late
	// Full: the endpoint has no room.
	Full
	// Unhealthy: the endpoint refuses work for now.
	Unhealthy
	// Invalid: the endpoint refuses the call as it stands.
	Invalid
	// NotSent: no byte of the call was sent.
	NotSent
	// Unknown: the call may have been carried out, or may yet be.
	Unknown
)

var replyNames = [...]string{"ok", "fenced", "old-run", "late", "full", "unhealthy", "invalid", "not-sent", "unknown"}

// String returns the reply in kebab case.
func (r Reply) String() string { return replyNames[r] }

// Running is a row of what runs on an endpoint.
type Running struct {
	Key job.Key
	Run int
	// Percent is the progress.
	Percent int
}

// How says how a run ended.
type How int

// The ways in which a run ends.
const (
	EndDone How = iota + 1
	EndFailed
	// EndStopped: a stop ended it.
	EndStopped
	// EndLapsed: its lease ran out.
	EndLapsed
	// EndOther: any other end that is no fault of the task.
	EndOther
)

// Ended is a row of the ends on an endpoint, numbered in order.
type Ended struct {
	Number int64
	Key    job.Key
	Run    int
	How    How
}

// Call addresses a call to an endpoint. Its result names the Number.
type Call struct {
	Number   uint64
	Endpoint ident.EndpointID
	Address  string
	Fence    Fence
	// Timeout is how long the answer may take, beyond the wait of a Look.
	Timeout time.Duration
}

// Action is something to carry out: Look, Start, Stop, Report or Note.
type Action interface{ action() }

// Look renews the lease of an endpoint until Until, unless it is zero, and asks
// for its lists. The endpoint answers at the end of a run or after Wait.
type Look struct {
	Call
	Until        Moment
	Acknowledged int64
	Wait         time.Duration
}

// Start starts a run. The lease of the endpoint extends to Until.
type Start struct {
	Call
	Key     job.Key
	Run     int
	Payload string
	Until   Moment
}

// Stop stops a run, or prevents its start.
type Stop struct {
	Call
	Key job.Key
	Run int
}

// Report tells a home of the ends of its tasks.
type Report struct {
	To   ident.Process
	Ends []job.End
}

// Event names what the owner decided about a run.
type Event string

// The events.
const (
	// Adopted: a run of an earlier owner goes on for its home.
	Adopted Event = "adopted"
	// Unclaimed: a run of an earlier owner is stopped, since no home wants it.
	Unclaimed Event = "unclaimed"
	// Inherited: a task was done under an earlier owner.
	Inherited Event = "inherited"
	// Resubmitted: a run is stopped, since its job came again elsewhere.
	Resubmitted Event = "resubmitted"
	// Lapsed: the lease of a run has surely ended.
	Lapsed Event = "lapsed"
	// Vanished: a list that should show a run does not.
	Vanished Event = "vanished"
	// Broken: the endpoint says that a run ended without a result.
	Broken Event = "broken"
	// Stalled: a run makes no progress.
	Stalled Event = "stalled"
	// Yielded: the endpoint obeys another owner.
	Yielded Event = "yielded"
	// Declined: the endpoint refused the start.
	Declined Event = "declined"
	// Reborn: the endpoint lives anew.
	Reborn Event = "reborn"
)

// Note tells of a decision about a run, for logs.
type Note struct {
	Event    Event
	Key      job.Key
	Run      int
	Endpoint ident.EndpointID
	// Age is how long this owner had known of the run, and Seen the age of the
	// newest look that the endpoint answered, or negative when there was none.
	Age  time.Duration
	Seen time.Duration
	// Wanted is set when the task waits for another run.
	Wanted bool
}

func (Note) action()   {}
func (Look) action()   {}
func (Start) action()  {}
func (Stop) action()   {}
func (Report) action() {}

// Looked is the result of a Look.
type Looked struct {
	Call  uint64
	Reply Reply
	Clock Moment
	Born  int64
	// Sent is when the call was made, and Running and Ended the lists.
	Sent    time.Time
	Running []Running
	Ended   []Ended
	// Cause is what made the call fail, for logs.
	Cause error
}

// Answered is the result of a Start or Stop.
type Answered struct {
	Call  uint64
	Reply Reply
	// Clock is zero when the reply had none.
	Clock Moment
	// Cause is what made the call fail, for logs.
	Cause error
}
