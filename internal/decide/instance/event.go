package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// RequestRef identifies the request to answer: a caller's request at this
// instance, or one that a peer forwarded.
type RequestRef struct {
	// Peer is zero for a caller's request at this instance.
	Peer    ident.Process
	Request uint64
}

// Event is an input of a Core: a request, a message, a result or the passing of
// time.
type Event interface{ event() }

// IssueIDs asks for new submission ids. Reply.IDs holds them.
type IssueIDs struct {
	Ref   RequestRef
	Count int
}

// Submit is a submission to admit. Its id is zero when the caller gave none.
type Submit struct {
	Ref        RequestRef
	Submission work.Submission
	// Digest is a hash of the content. It distinguishes a resubmission from
	// another submission with the same id.
	Digest uint64
}

// Fetch asks for the answer of a submission as it is now.
type Fetch struct {
	Ref RequestRef
	ID  ident.SubmissionID
}

// Cancel asks to cancel a submission.
type Cancel struct {
	Ref RequestRef
	ID  ident.SubmissionID
}

// CallFinished reports the end of a call to an endpoint.
type CallFinished struct {
	Call   uint64
	Result work.Result
}

// StatusRead reports the outcome of ReadStatus.
type StatusRead struct {
	Endpoint work.Instance
	Slots    int
	Busy     int
	Draining bool
	// Running holds the tasks that run at the endpoint, by ident.TaskID.String.
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

// PeerDown reports the end of a link. Unsent holds the messages that were never
// handed to the connection.
type PeerDown struct {
	Peer   ident.Process
	Unsent []*peerpb.Message
}

// SendFailed reports messages that could not be handed to a connection.
type SendFailed struct {
	Peer     ident.Process
	Messages []*peerpb.Message
}

// PeerMessage is a message from a peer.
type PeerMessage struct {
	Peer    ident.Process
	Message *peerpb.Message
}

// PeerLoad reports the loads of a peer's services.
type PeerLoad struct {
	Peer  ident.Process
	Loads []*peerpb.Load
}

// ListRead reports the platform's list of instances as it was just read.
type ListRead struct{ Instances []work.Instance }

// ConfigRead reports the configuration as it was just read from the store.
type ConfigRead struct{ Revision *configpb.Revision }

// SharesRead reports the outcome of ReadShares.
type SharesRead struct {
	Data []byte
	// Revision is zero when there is no record yet.
	Revision uint64
	// Failure is set when the record could not be read.
	Failure *fault.Error
}

// SharesWritten reports the outcome of WriteShares. After a failure of kind
// fault.StoreUnknown the write may or may not have taken effect.
type SharesWritten struct {
	// WriteNumber is that of the WriteShares.
	WriteNumber uint64
	Failure     *fault.Error
}

// Tick makes the core check its deadlines and timers. It is expected every
// TickInterval.
type Tick struct{}

// Drain asks the instance to admit nothing new, finish its work and exit.
type Drain struct{}

func (IssueIDs) event()      {}
func (Submit) event()        {}
func (Fetch) event()         {}
func (Cancel) event()        {}
func (CallFinished) event()  {}
func (StatusRead) event()    {}
func (PeerUp) event()        {}
func (PeerDown) event()      {}
func (SendFailed) event()    {}
func (PeerMessage) event()   {}
func (PeerLoad) event()      {}
func (ListRead) event()      {}
func (ConfigRead) event()    {}
func (SharesRead) event()    {}
func (SharesWritten) event() {}
func (Tick) event()          {}
func (Drain) event()         {}

// TickInterval is the time between two Tick events. It is the resolution to
// which deadlines are met.
const TickInterval = 20 * time.Millisecond
