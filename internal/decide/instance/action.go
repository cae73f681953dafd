package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// Action is something that the process has to do.
type Action interface{ action() }

// Reply answers a caller's request at this instance.
type Reply struct {
	Request uint64
	Answer  work.Answer
	// Failure is set for a refusal.
	Failure *fault.Error
	// IDs answers Issue.
	IDs []ident.SubmissionID
}

// Send passes a message to a peer. When it can't be handed to a connection,
// the process reports it as Undelivered.
type Send struct {
	To      ident.Process
	Control bool
	Message *peerpb.Message
}

// Start calls an endpoint and reports Finished under the same call number.
type Start struct {
	Call     uint64
	Endpoint work.Instance
	Task     *work.Task
	// Limit is the time left until Deadline.
	Limit time.Duration
	// Deadline is when the call must have ended. It is the task's, or earlier
	// when the task holds units of a lease. The call must not begin after it.
	Deadline time.Time
}

// Abort ends a call. Finished still follows.
type Abort struct{ Call uint64 }

// AskStatus asks an endpoint for its state over a new connection.
type AskStatus struct{ Endpoint work.Instance }

// Retire stops using the open connections to an endpoint for new calls.
type Retire struct{ Endpoint work.Instance }

// Dial names the entry instances to be linked with.
type Dial struct{ Targets []work.Instance }

// ReadStore says whether this instance reads the store for its data centre.
type ReadStore struct{ Active bool }

// ReadShares reads the record of the shares of limits from the store. The
// process answers with SharesRead.
type ReadShares struct{}

// WriteShares replaces the record if it still has the revision, once. The
// process answers with SharesWritten.
type WriteShares struct {
	Attempt  uint64
	Data     []byte
	Revision uint64
}

// InForce publishes a new configuration.
type InForce struct{ Snapshot *config.Snapshot }

// Leave ends the process: all that was under way has ended.
type Leave struct{ Reason fault.Kind }

func (Reply) action()       {}
func (Send) action()        {}
func (Start) action()       {}
func (Abort) action()       {}
func (AskStatus) action()   {}
func (Retire) action()      {}
func (Dial) action()        {}
func (ReadStore) action()   {}
func (ReadShares) action()  {}
func (WriteShares) action() {}
func (InForce) action()     {}
func (Leave) action()       {}
