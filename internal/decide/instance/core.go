// Package instance holds the control logic of one entry instance: events go in,
// actions come out. It uses no goroutine, socket or clock, so that processes,
// tests and benchmarks run the same code.
//
// A process is one incarnation of an instance. The process that runs a Core
// passes the events to Handle and carries out the actions.
//
// The home of a submission is the process that issued its id. Only the home may
// start or retry the tasks of the submission; it may delegate them to peers,
// which run them and send the results back.
//
// A limit counts units. For a limit on running tasks a unit is one running
// task; for a cost limit, which holds per hour, it is one of ident.Micros. A
// task takes one unit of each of its limits on running tasks, and its cost from
// its cost limit. A share is the units of a limit that a data centre or an
// instance has; only a limit's FloorShare is a fraction of its units. The floor
// of an instance is the part of the units that it may use without the store or
// any peer. The granter of a data centre grants the other units to its
// instances for a lease, and writes the shares record in the store, which
// divides the units between the data centres. See package quota.
package instance

import (
	"math/rand/v2"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
	"hornbeamlift.example/hornbeamlift/internal/decide/retry"
	"hornbeamlift.example/hornbeamlift/internal/decide/submission"
)

// Config holds the settings of a Core.
type Config struct {
	Self       ident.Process
	DataCentre ident.DataCentre
	// Address is the address that peers connect to.
	Address string
	// Seeds are peer addresses from the settings.
	Seeds []string
	// Retention is how long submission ids and answers are kept.
	Retention time.Duration
	// SpillAfter is the estimated wait above which tasks may go to another
	// data centre.
	SpillAfter time.Duration
	// Ordinal is the position of this instance within its data centre, from 0.
	Ordinal int
	// InstancesPerDataCentre and DataCentres are the planned size of the fleet.
	// They must be the same at all instances. Zero instances means that limits
	// have no floors.
	InstancesPerDataCentre, DataCentres int
	// FloorFrom is the time from which the floors of limits may be used. It
	// must not be before the latest time at which a call of a previous process
	// with the same ordinal may end, which is MaxCallDuration after that
	// process has ended. Zero means at once.
	FloorFrom time.Time
	// Random gives the delay after a conflicting write of the shares record. It
	// is only used by the goroutine that calls Handle.
	Random    *rand.Rand
	Endpoints endpoints.Config
	Member    member.Config
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	if c.Retention == 0 {
		c.Retention = 10 * time.Minute
	}
	if c.SpillAfter == 0 {
		// Several times the round trip of up to 3 ms between data centres.
		c.SpillAfter = 10 * time.Millisecond
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(uint64(c.Self.Incarnation), 0))
	}
	if c.Endpoints == (endpoints.Config{}) {
		c.Endpoints = endpoints.Defaults()
	}
	c.Member.Self, c.Member.DataCentre, c.Member.Address = c.Self, c.DataCentre, c.Address
	c.Member = c.Member.Defaults()
	return c
}

// Validate returns an error for the first field that is out of range.
func (c Config) Validate() error {
	if c.SpillAfter < 0 {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("spill-after")
	}
	if c.InstancesPerDataCentre < 0 {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("instances-per-data-centre")
	}
	if c.DataCentres < 0 {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("data-centres")
	}
	if err := c.Endpoints.Validate(); err != nil {
		return err
	}
	return c.Member.Validate()
}

// Core holds all control state of one entry instance.
type Core struct {
	cfg Config
	// table holds the submissions whose home is this process. An entry of the
	// table is the record of one submission, not an entry instance.
	table        *submission.Table
	members      *member.View
	configHolder config.Holder
	budget       *retry.Budget
	services     map[ident.Service]*service
	// links holds the processes that this one is connected to.
	links map[ident.Process]*link
	// calls holds the calls to endpoints in flight.
	calls map[uint64]*call
	// bySubmission indexes the calls in flight by the submission of their task,
	// for cancellation.
	bySubmission map[ident.SubmissionID]map[uint64]*call
	// waiters holds the requests that wait for the answer of an unfinished
	// submission. The home of these submissions is this process.
	waiters map[ident.SubmissionID][]RequestRef
	// pendingForwards holds the requests that were forwarded to a home and have
	// no reply yet.
	pendingForwards map[uint64]pendingForward
	// tasksByHome holds the tasks of other homes that wait or run here, without
	// the tasks whose home is this process.
	tasksByHome map[ident.Process]map[ident.TaskID]*work.Task
	// outboxes holds the newest results for other homes.
	outboxes               map[ident.Process]*outbox
	limits                 limits
	nextCall               uint64
	nextForward            uint64
	nextPeriodicCheck      time.Time
	nextDrainingStatusRead time.Time
	membersVersion         uint64
	readsStore             bool
	// lastRead is when this instance last read the platform's list, or when it
	// became a reader.
	lastRead time.Time
	draining bool
	replaced bool
	exitSent bool
	actions  []Action
	counters Counters
}

// Counters counts decisions since the process started.
type Counters struct {
	// Joined counts resubmissions of a submission that this process already
	// has.
	Submissions, Joined, Refused, Forwarded uint64
	// Requeued counts tasks that were queued again because they did not start,
	// Repeated those that were retried and may have run.
	Starts, Requeued, Repeated, Hedged uint64
	// Delegated counts tasks sent to peers, Received those from peers. Returned
	// counts the results, sent or received, that say that a task did not start.
	// Steals counts the steal requests sent to peers.
	Delegated, Received, Returned, Steals uint64
	// Expired counts submissions that were open at their deadline.
	Succeeded, Failed, Unknown, Expired uint64
	// Spilled counts the waiting tasks that left the queue to be sent to another
	// data centre. SilentCalls counts calls that were aborted because their
	// endpoint no longer listed the task.
	Cancelled, Spilled, SilentCalls uint64
	// LimitWaits counts how often a waiting task could not start because a
	// limit had no unit for it. Unplaceable counts submissions that were
	// refused because of limits.
	LimitWaits, Unplaceable uint64
	// ShareRequests counts requests for units, ShareGrants the answers to those
	// of peers.
	ShareRequests, ShareGrants uint64
	// ShareReads and ShareWrites count attempts to read and write the shares
	// record. ShareRenewed counts the writes whose reply confirmed them.
	ShareReads, ShareWrites, ShareRenewed uint64
	// ShareConflicts counts writes that failed because the record had another
	// revision, ShareUnknown those whose outcome is unknown.
	ShareConflicts, ShareUnknown uint64
}

// New returns a core that knows no other instance yet. It returns an error when
// cfg with its defaults is not valid.
func New(now time.Time, cfg Config) (*Core, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	members, err := member.NewView(cfg.Member, now)
	if err != nil {
		return nil, err
	}
	return &Core{
		cfg: cfg,
		table: submission.NewTable(submission.Config{
			Self:       cfg.Self,
			DataCentre: cfg.DataCentre,
			Started:    now,
			Retention:  cfg.Retention,
		}),
		members:         members,
		limits:          newLimits(cfg),
		budget:          retry.NewBudget(retry.Defaults()),
		services:        map[ident.Service]*service{},
		links:           map[ident.Process]*link{},
		calls:           map[uint64]*call{},
		bySubmission:    map[ident.SubmissionID]map[uint64]*call{},
		waiters:         map[ident.SubmissionID][]RequestRef{},
		pendingForwards: map[uint64]pendingForward{},
		tasksByHome:     map[ident.Process]map[ident.TaskID]*work.Task{},
		outboxes:        map[ident.Process]*outbox{},
	}, nil
}

// Handle processes one event and returns the actions to carry out, in order.
// The slice is valid until the next call.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case IssueIDs:
		c.handleIssue(now, ev)
	case Submit:
		c.handleSubmit(now, ev)
	case Fetch:
		c.handleFetch(now, ev)
	case Cancel:
		c.handleCancel(now, ev)
	case CallFinished:
		c.handleCallFinished(now, ev)
	case StatusRead:
		c.handleStatusRead(now, ev)
	case PeerUp:
		c.handlePeerUp(now, ev)
	case PeerDown:
		c.handlePeerDown(now, ev)
	case SendFailed:
		for _, m := range ev.Messages {
			c.handleUnsent(now, ev.Peer, m)
		}
	case PeerMessage:
		c.handlePeerMessage(now, ev.Peer, ev.Message)
	case PeerLoad:
		c.handlePeerLoad(now, ev.Peer, ev.Loads, nil)
	case ListRead:
		c.handleListRead(now, ev.Instances)
	case ConfigRead:
		c.members.StoreAnswered(now)
		c.updateConfig(now, ev.Revision, ident.Process{})
	case SharesRead:
		c.handleSharesRead(now, ev)
	case SharesWritten:
		c.handleSharesWritten(now, ev)
	case Tick:
		c.handleTick(now)
	case Drain:
		c.startDrain(now)
	}
	c.updateMembership(now)
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) isSelf(p ident.Process) bool { return p == c.cfg.Self }

// mayStart reports whether tasks may start now. They may not start once this
// process was replaced, nor after a pause of this process until a message from
// a peer or an answer of the store has arrived.
func (c *Core) mayStart(now time.Time) bool { return !c.replaced && c.members.MayStartQueued(now) }

// refuse answers a request with a failure.
func (c *Core) refuse(ref RequestRef, refusal *fault.Error) {
	c.counters.Refused++
	c.reply(ref, work.Answer{}, refusal)
}

// reply answers a request to the caller or to the peer that forwarded it.
func (c *Core) reply(ref RequestRef, a work.Answer, refusal *fault.Error) {
	if ref.Peer == (ident.Process{}) {
		c.emit(Reply{Request: ref.Request, Answer: a, Failure: refusal})
		return
	}
	c.emit(Send{To: ref.Peer, Message: forwardReply(ref.Request, a, refusal)})
}

// Ready reports whether new submissions can be admitted: the configuration and
// the platform's list are known, and the process is neither draining nor
// replaced.
func (c *Core) Ready() bool {
	return c.configHolder.Snapshot() != nil && c.members.ListVersion() > 0 && !c.draining && !c.replaced
}

// NextIDs returns n ids for callers' next submissions, or none when the process
// is draining or replaced.
func (c *Core) NextIDs(now time.Time, n int) []ident.SubmissionID {
	if c.draining || c.replaced {
		return nil
	}
	return c.table.Issue(now, n)
}

// Counters returns the counts since the process started.
func (c *Core) Counters() Counters { return c.counters }
