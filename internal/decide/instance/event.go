package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// Ref names who waits for an answer: a caller's request at this instance, or a
// request that a peer forwarded.
type Ref struct {
	// Peer is zero for a caller's request at this instance.
	Peer    ident.Process
	Request uint64
}

// Event is something that happened outside of the decisions.
type Event interface{ event() }

// Issue asks for new submission ids.
type Issue struct {
	Ref   Ref
	Count int
}

// Submit brings a submission. Its id is zero when the caller gave none.
type Submit struct {
	Ref        Ref
	Submission work.Submission
	// Digest identifies the content, to tell a resubmission from another
	// submission under the same id.
	Digest uint64
}

// Fetch asks for the answer as it stands.
type Fetch struct {
	Ref Ref
	ID  ident.SubmissionID
}

// Cancel ends a submission.
type Cancel struct {
	Ref Ref
	ID  ident.SubmissionID
}

// Finished reports the end of a call to an endpoint.
type Finished struct {
	Call   uint64
	Result work.Result
}

// StatusRead reports an endpoint's answer about its state.
type StatusRead struct {
	Endpoint work.Instance
	Slots    int
	Busy     int
	Draining bool
	// Running names the tasks under way, by ident.TaskID.String.
	Running map[string]bool
	// Failure is set when the endpoint did not answer.
	Failure *fault.Error
}

// PeerUp reports a new link to a process.
type PeerUp struct {
	Peer       ident.Process
	DataCentre ident.DataCentre
	Address    string
}

// PeerDown reports the end of a link. Unsent are the messages that were never
// handed to the connection.
type PeerDown struct {
	Peer   ident.Process
	Unsent []*peerpb.Message
}

// Undelivered reports messages that could not be handed to a connection.
type Undelivered struct {
	Peer     ident.Process
	Messages []*peerpb.Message
}

// PeerMessage brings a message from a peer.
type PeerMessage struct {
	Peer    ident.Process
	Message *peerpb.Message
}

// PeerLoad brings a peer's loads.
type PeerLoad struct {
	Peer  ident.Process
	Loads []*peerpb.Load
}

// Listed brings the platform's list as read just now.
type Listed struct{ Instances []work.Instance }

// ConfigRead brings the configuration as read from the store.
type ConfigRead struct{ Revision *configpb.Revision }

// SharesRead answers ReadShares.
type SharesRead struct {
	Data []byte
	// Revision is zero when there is no record yet.
	Revision uint64
	// Failure is set when the record could not be read.
	Failure *fault.Error
}

// SharesWritten answers WriteShares. A failure of kind fault.StoreUnknown
// leaves open whether the write took effect.
type SharesWritten struct {
	Attempt uint64
	Failure *fault.Error
}

// Tick makes time pass. It comes every TickInterval.
type Tick struct{}

// Drain asks the instance to finish its work and leave.
type Drain struct{}

func (Issue) event()         {}
func (Submit) event()        {}
func (Fetch) event()         {}
func (Cancel) event()        {}
func (Finished) event()      {}
func (StatusRead) event()    {}
func (PeerUp) event()        {}
func (PeerDown) event()      {}
func (Undelivered) event()   {}
func (PeerMessage) event()   {}
func (PeerLoad) event()      {}
func (Listed) event()        {}
func (ConfigRead) event()    {}
func (SharesRead) event()    {}
func (SharesWritten) event() {}
func (Tick) event()          {}
func (Drain) event()         {}

// TickInterval is how often Tick is expected. Deadlines are met to this
// resolution.
const TickInterval = 20 * time.Millisecond
