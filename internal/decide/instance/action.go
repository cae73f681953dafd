package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// Action is a side effect that the process has to carry out.
type Action interface{ action() }

// Reply answers a caller's request at this instance.
type Reply struct {
	Request uint64
	Answer  work.Answer
	// Failure is set when the request is refused, and Answer is then empty. The
	// failures of tasks are in Answer.
	Failure *fault.Error
	// IDs holds the new ids that IssueIDs asked for.
	IDs []ident.SubmissionID
}

// Send passes a message to a peer. When it can't be handed to a connection, the
// process reports it as SendFailed.
type Send struct {
	To ident.Process
	// Control selects the control stream of the link instead of the one for
	// work.
	Control bool
	Message *peerpb.Message
}

// StartCall calls an endpoint. The process reports the end of the call as
// CallFinished with the same call number.
type StartCall struct {
	Call     uint64
	Endpoint work.Instance
	Task     *work.Task
	// Timeout is the time left until Deadline.
	Timeout time.Duration
	// Deadline is the time by which the call must have ended: the deadline of
	// the task, or an earlier time when a lease of units ends before it or
	// MaxCallDuration has passed. The call must not start after it.
	Deadline time.Time
}

// AbortCall cancels a call. The process still reports CallFinished for it.
type AbortCall struct{ Call uint64 }

// ReadStatus asks an endpoint for its status over a new connection. The process
// reports the outcome as StatusRead.
type ReadStatus struct{ Endpoint work.Instance }

// RetireConnections stops using the open connections to an endpoint for new
// calls.
type RetireConnections struct{ Endpoint work.Instance }

// SetLinkTargets replaces the set of entry instances that the process keeps
// links to.
type SetLinkTargets struct{ Targets []work.Instance }

// SetStoreReading starts or stops the reads of the configuration and the
// platform's list by this instance. One instance reads them for its data
// centre.
type SetStoreReading struct{ Active bool }

// ReadShares reads the shares record from the store. The record divides the
// units of each limit between the data centres. The process reports the outcome
// as SharesRead.
type ReadShares struct{}

// WriteShares replaces the shares record if its revision in the store is still
// Revision. The process tries once and reports the outcome as SharesWritten.
type WriteShares struct {
	WriteNumber uint64
	Data        []byte
	Revision    uint64
}

// PublishConfig tells the process that a new configuration is in force.
type PublishConfig struct{ Snapshot *config.Snapshot }

// Exit ends the process once nothing is in flight any more. Reason is
// fault.Draining after a drain, and fault.PeerRefused when a newer process has
// replaced this one and its peers refuse it.
type Exit struct{ Reason fault.Kind }

func (Reply) action()             {}
func (Send) action()              {}
func (StartCall) action()         {}
func (AbortCall) action()         {}
func (ReadStatus) action()        {}
func (RetireConnections) action() {}
func (SetLinkTargets) action()    {}
func (SetStoreReading) action()   {}
func (ReadShares) action()        {}
func (WriteShares) action()       {}
func (PublishConfig) action()     {}
func (Exit) action()              {}
