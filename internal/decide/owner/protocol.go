package owner

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// Fence is a fencing token that orders the owners of an endpoint, which refuses
// calls with a lower fence than it has seen. Its high bits are an epoch, and
// its fenceUniqueBits low bits differ between processes.
type Fence int64

// fenceUniqueBits is the number of low bits of a fence that distinguish
// processes. A fence stays within 53 bits, which any JSON decoder represents
// exactly, while its epoch is below 2^33.
const fenceUniqueBits = 20

// MaxEpoch is the highest epoch that is accepted from a peer. A fence holds it and
// those that new owners and raised fences add to it.
const MaxEpoch = 1 << 40

// NewFence returns the fence of an epoch for a process.
func NewFence(epoch uint64, unique uint32) Fence {
	return Fence(epoch<<fenceUniqueBits | uint64(unique)&(1<<fenceUniqueBits-1))
}

// Epoch returns the epoch of the fence.
func (f Fence) Epoch() uint64 { return uint64(f) >> fenceUniqueBits }

func (f Fence) addEpochs(epochs uint64) Fence { return f + Fence(epochs<<fenceUniqueBits) }

// EndpointTime is a time on an endpoint's own clock, in milliseconds.
type EndpointTime int64

// Endpoint is an entry in the platform's list of endpoints.
type Endpoint struct {
	ID         ident.EndpointID
	Service    ident.Service
	Address    string
	DataCentre ident.DataCentre
	// Kind and Rack are taken from the endpoint's labels. Labels holds all of
	// them.
	Kind   string
	Rack   string
	Labels []string
	Room   job.Room
	// Draining endpoints take no new tasks.
	Draining bool
	// Incarnation identifies an incarnation of the endpoint. It grows with each
	// restart.
	Incarnation int64
}

// Equal reports whether two entries are equal. It does not compare Kind and
// Rack, which are taken from Labels.
func (e Endpoint) Equal(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Draining == o.Draining && e.Incarnation == o.Incarnation && e.Room == o.Room &&
		e.Service == o.Service && e.DataCentre == o.DataCentre && slices.Equal(e.Labels, o.Labels)
}

// Reply classifies the answer to a call to an endpoint, or its absence.
type Reply int

// The replies.
const (
	// OK: the endpoint carried out the call.
	OK Reply = iota
	// Fenced: the endpoint has seen a higher fence and did nothing.
	Fenced
	// OldRun: this run or a later one of the task has already ended on the
	// endpoint.
	OldRun
	// Late: the lease in the call had already expired.
	Late
	// Full: the endpoint has no room.
	Full
	// Unhealthy: the endpoint refuses work for now.
	Unhealthy
	// Invalid: the endpoint rejects the call as malformed.
	Invalid
	// ConnectionRefused: no process listens at the endpoint's address, so that
	// nothing was sent.
	ConnectionRefused
	// NotSent: no byte of the call was sent.
	NotSent
	// Unknown: the call may have been carried out, or may yet be.
	Unknown
)

var replyNames = [...]string{"ok", "fenced", "old-run", "late", "full", "unhealthy", "invalid", "connection-refused", "not-sent", "unknown"}

// String returns the reply in kebab case.
func (r Reply) String() string { return replyNames[r] }

// didNothing reports whether the reply to a start shows that the endpoint has
// not run the task. OldRun may be the trace of a run for an earlier submission.
func (r Reply) didNothing() bool { return r != OK && r != Unknown && r != OldRun }

// RunStatus is an entry in an endpoint's list of current runs.
type RunStatus struct {
	Key job.Key
	Run int
	// Percent is the progress of the run.
	Percent int
}

// EndReason says why a run ended.
type EndReason int

// The reasons for the end of a run.
const (
	EndDone EndReason = iota + 1
	EndFailed
	// EndStopped: the run was stopped.
	EndStopped
	// EndLeaseExpired: the endpoint's lease expired.
	EndLeaseExpired
	// EndOther: any other end that is not the fault of the task.
	EndOther
)

// EndedRun is an entry in an endpoint's list of ended runs. Number increases
// with each end.
type EndedRun struct {
	Number int64
	Key    job.Key
	Run    int
	Reason EndReason
}

// Call is the part that all calls to endpoints have in common. The result of a
// call names its Number.
type Call struct {
	Number   uint64
	Endpoint ident.EndpointID
	Address  string
	Fence    Fence
	// Timeout is how long the answer may take, beyond the wait of a Poll.
	Timeout time.Duration
}

// Action is an effect that the code which uses a Pool must carry out: a Poll,
// Start, Stop, Report, ReportCrashes, RunEvent, TakeoverEvent or RefusalEvent.
type Action interface{ action() }

// Poll polls an endpoint. It renews the lease until LeaseUntil, unless that is
// zero, acknowledges the ends up to the number Acknowledged, and asks for the
// lists of current and ended runs. The endpoint answers when a run ends or
// after Wait.
type Poll struct {
	Call
	LeaseUntil   EndpointTime
	Acknowledged int64
	Wait         time.Duration
}

// Start starts a run. The lease of the endpoint extends to LeaseUntil.
type Start struct {
	Call
	Key        job.Key
	Run        int
	Payload    string
	LeaseUntil EndpointTime
}

// Stop stops a run, or prevents its start.
type Stop struct {
	Call
	Key job.Key
	Run int
}

// Report tells a home about the ends of its tasks.
type Report struct {
	To   ident.Process
	Ends []job.TaskEnd
}

// Event names what happened to a run.
type Event string

// The events.
const (
	// Adopted: a run of an earlier owner is continued for its home.
	Adopted Event = "adopted"
	// Unclaimed: a run of an earlier owner is stopped, since no home has
	// claimed it.
	Unclaimed Event = "unclaimed"
	// Inherited: a task was already done under an earlier owner.
	Inherited Event = "inherited"
	// Resubmitted: a run is stopped, since its job was submitted again through
	// another home.
	Resubmitted Event = "resubmitted"
	// LeaseExpired: the endpoint's lease has certainly expired, which ended its
	// runs.
	LeaseExpired Event = "lapsed"
	// RunMissing: the endpoint's list does not contain a run that it should
	// contain.
	RunMissing Event = "vanished"
	// RunAborted: the endpoint reports that a run ended without a result.
	RunAborted Event = "broken"
	// Stalled: a run has made too little progress and is stopped.
	Stalled Event = "stalled"
	// Yielded: the endpoint has seen a higher fence, so that the run is left to
	// another owner.
	Yielded Event = "yielded"
	// StartRefused: the endpoint refused the start.
	StartRefused Event = "declined"
	// EndpointRestarted: the endpoint has restarted and does not list the run.
	EndpointRestarted Event = "reborn"
	// Crashed: the endpoint has refused connections for some time while the run
	// was on it.
	Crashed Event = "crashed"
	// StartedAfterTakeover: a run starts while another run of the task may have
	// been started by an earlier owner. RunEvent.Basis says why it may start.
	StartedAfterTakeover Event = "started"
	// Withdrawn: the home no longer needs the task, is lost or follows another
	// owner, so that the run is stopped.
	Withdrawn Event = "withdrawn"
)

// StartBasis says why a task may start of which an earlier owner may have a run.
type StartBasis string

// The reasons for a start after a takeover.
const (
	// BasisPolled: all known endpoints were polled since the task was placed.
	BasisPolled StartBasis = "polled"
	// BasisDelay: Config.ForeignStartDelay has passed since the task was placed.
	BasisDelay StartBasis = "delay"
	// BasisNew: the home has not placed the task before, and not all known
	// endpoints were polled since this owner became active.
	BasisNew StartBasis = "new"
)

// RunEvent describes what happened to a run, for logs.
type RunEvent struct {
	Event    Event
	Key      job.Key
	Run      int
	Endpoint ident.EndpointID
	// Age is how long this owner has known of the run, and zero for Inherited,
	// whose run it has never known. PollAge is the age of the latest successful
	// poll of the endpoint, or negative if there was none. For Inherited,
	// PollAge is the time since a poll returned the end of the run.
	Age     time.Duration
	PollAge time.Duration
	// HasTask is set when the run belongs to a task that has not ended.
	HasTask bool
	// Home is the home of that task, and Placement the number of its order.
	Home      ident.InstanceID
	Placement uint64
	// Basis is set for StartedAfterTakeover. Unpolled is then the number of
	// known endpoints that were not polled since this owner became active.
	Basis    StartBasis
	Unpolled int
}

// TakeoverEvent says that a new owner has polled all endpoints that it knows,
// for logs.
type TakeoverEvent struct {
	// After is the time since the owner became active.
	After time.Duration
	// Endpoints is the number of known endpoints, and Runs that of the runs on
	// them.
	Endpoints, Runs int
}

// RefusalEvent describes the tasks of a load and a priority that were refused because they
// cannot end before their deadline, and what that was decided by, for logs.
type RefusalEvent struct {
	Service ident.Service
	// Label is the label that the tasks require, or empty.
	Label string
	// Priority is that of the tasks.
	Priority int
	// Jobs and Tasks are the numbers that were refused, and FirstJob is one of
	// the jobs.
	Jobs, Tasks int
	FirstJob    job.ID
	// Wait is the predicted time until another task would start, and Arriving
	// the work that arrives in a second as a share of the capacity.
	Wait     time.Duration
	Arriving float64
	// StartInterval is the least time between two starts, or zero.
	StartInterval time.Duration
	// Waiting and Running are the numbers of tasks of all loads.
	Waiting, Running int
}

func (RefusalEvent) action()  {}
func (RunEvent) action()      {}
func (TakeoverEvent) action() {}
func (Poll) action()          {}
func (Start) action()         {}
func (Stop) action()          {}
func (Report) action()        {}

// PollResult is the result of a Poll, whose Number is in Call.
type PollResult struct {
	Call        uint64
	Reply       Reply
	Clock       EndpointTime
	Incarnation int64
	// SentAt is when the call was made. Running and Ended are the lists of the
	// endpoint.
	SentAt  time.Time
	Running []RunStatus
	Ended   []EndedRun
	// Cause is what made the call fail, for logs.
	Cause error
}

// CallResult is the result of a Start or Stop, whose Number is in Call.
type CallResult struct {
	Call  uint64
	Reply Reply
	// Clock is zero when the reply did not contain it.
	Clock EndpointTime
	// Cause is what made the call fail, for logs.
	Cause error
}
