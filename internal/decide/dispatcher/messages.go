package dispatcher

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
)

// Action is an action for the caller of a Core to carry out: an owner.Poll,
// owner.Start, owner.Stop, owner.RunEvent, owner.TakeoverEvent or
// owner.RefusalEvent, a home.Answer, or a Send, CloseLink, ReadEndpoints,
// LayoutChanged, OwnerChanged, SteppedDown or IsolationChanged.
type Action any

// Send sends a message to a process: a Heartbeat, Orders, Withdrawal, TaskEnds,
// CrashReport, listing.Snapshot or listing.Changes.
type Send struct {
	To ident.Process
	// Urgent messages are sent before the others.
	Urgent  bool
	Message any
}

// Heartbeat is a heartbeat of the sender.
type Heartbeat struct {
	leader.Heartbeat
	// ListAge is the age of the sender's list of endpoints, listing.NoList
	// without one.
	ListAge time.Duration
	// ListDigest is the digest of that list. It is zero without a list, and for
	// senders that do not compute it.
	ListDigest uint64
	// Layout is how the sender sees the fleet divided.
	Layout group.Layout
	// ReadList asks the receiver to read the list of endpoints and send it.
	ReadList bool
	// RequestReply makes the receiver answer at once with a heartbeat of its
	// own.
	RequestReply bool
	// LastPlacement is the number of the sender's latest order. A receiver that
	// the sender does not follow must not start tasks of its orders up to this
	// one. Heartbeats may overtake orders, so that later ones may arrive first.
	LastPlacement uint64
	// Released is the number up to which the sender has released the orders of
	// the receiver; see home.RequestRelease.
	Released uint64
}

// Orders asks the owner to run tasks.
type Orders []job.Order

// Withdrawal asks the owner to drop the tasks of a job of the sender.
type Withdrawal job.ID

// TaskEnds reports ends of tasks to the home of their job.
type TaskEnds []job.TaskEnd

// CloseLink asks to close the link to a process that has timed out.
type CloseLink struct{ Peer ident.Process }

// ReadEndpoints asks to read the list of endpoints from the store at once.
type ReadEndpoints struct{}

// OwnerChanged reports a change of the owner of the endpoints as this instance
// sees it. Own is set if the owner is this instance.
type OwnerChanged struct {
	Owner    ident.Process
	Own      bool
	Epoch    uint64
	Isolated bool
}

// SteppedDown reports that this instance gives up the endpoints, since its calls
// to them are late.
type SteppedDown struct{}

// IsolationChanged reports a change of whether this instance is linked only to
// a minority of the fleet.
type IsolationChanged struct{ Isolated bool }
