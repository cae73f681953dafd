// Package instance composes the decisions of one entry instance: events go in,
// actions come out. It holds no goroutine, socket or clock, so that a process,
// a test and a bench drive the same code.
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
	// Address is where peers connect.
	Address string
	// Seeds are peer addresses from the settings.
	Seeds []string
	// Retention is how long ids and answers are kept.
	Retention time.Duration
	// SpillAfter is the estimated wait above which tasks may go to another
	// data centre.
	SpillAfter time.Duration
	// Ordinal is the position of this instance within its data centre, from 0.
	Ordinal int
	// InstancesPerDataCentre and DataCentres are what the fleet is planned for.
	// They must be the same everywhere. Zero instances means that limits have
	// no floors.
	InstancesPerDataCentre, DataCentres int
	// FloorFrom is the earliest use of the floors of limits: the latest
	// deadline of the tasks that an earlier process with the same ordinal may
	// have started.
	FloorFrom time.Time
	// Random breaks ties; it is only used by the goroutine that calls Handle.
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

// Validate reports the first field out of range.
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
	cfg      Config
	table    *submission.Table
	members  *member.View
	holder   config.Holder
	budget   *retry.Budget
	services map[ident.Service]*service
	// links holds the processes with a link.
	links map[ident.Process]*link
	// calls holds the calls to endpoints under way.
	calls map[uint64]*call
	// bySubmission indexes calls, for cancellation.
	bySubmission map[ident.SubmissionID]map[uint64]*call
	// waiters holds who waits for the answers of submissions homed here.
	waiters map[ident.SubmissionID][]Ref
	// forwards holds the requests passed on to their homes.
	forwards map[uint64]forward
	// held holds the tasks of other homes that wait or run here.
	held map[ident.Process]map[ident.TaskID]*work.Task
	// results holds the newest results for other homes.
	results     map[ident.Process]*outbox
	limits      limits
	nextCall    uint64
	nextForward uint64
	nextScan    time.Time
	nextAsk     time.Time
	memberSeen  uint64
	reading     bool
	// lastRead is when the list was last read here, or when reading began.
	lastRead time.Time
	draining bool
	replaced bool
	left     bool
	out      []Action
	count    Counters
}

// Counters counts decisions since the start.
type Counters struct {
	Submissions, Joined, Refused, Forwarded uint64
	Starts, Requeued, Repeated, Hedged      uint64
	Delegated, Received, Returned, Steals   uint64
	Succeeded, Failed, Unknown, Expired     uint64
	Cancelled, Spilled, SilentCalls         uint64
	// LimitWaits counts the looks at a task that found no unit for it.
	LimitWaits, Unplaceable               uint64
	ShareRequests, ShareGrants            uint64
	ShareReads, ShareWrites, ShareRenewed uint64
	ShareConflicts, ShareUnknown          uint64
}

// New returns a core that knows only itself.
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
		members:      members,
		limits:       newLimits(cfg),
		budget:       retry.NewBudget(retry.Defaults()),
		services:     map[ident.Service]*service{},
		links:        map[ident.Process]*link{},
		calls:        map[uint64]*call{},
		bySubmission: map[ident.SubmissionID]map[uint64]*call{},
		waiters:      map[ident.SubmissionID][]Ref{},
		forwards:     map[uint64]forward{},
		held:         map[ident.Process]map[ident.TaskID]*work.Task{},
		results:      map[ident.Process]*outbox{},
	}, nil
}

// Handle takes one event and returns what has to be done, in order. The result
// is valid until the next call.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Issue:
		c.issue(now, ev)
	case Submit:
		c.submit(now, ev)
	case Fetch:
		c.fetch(now, ev)
	case Cancel:
		c.cancel(now, ev)
	case Finished:
		c.finished(now, ev)
	case StatusRead:
		c.statusRead(now, ev)
	case PeerUp:
		c.peerUp(now, ev)
	case PeerDown:
		c.peerDown(now, ev)
	case Undelivered:
		for _, m := range ev.Messages {
			c.unsent(now, ev.Peer, m)
		}
	case PeerMessage:
		c.message(now, ev.Peer, ev.Message)
	case PeerLoad:
		c.peerLoad(now, ev.Peer, ev.Loads, nil)
	case Listed:
		c.listed(now, ev.Instances)
	case ConfigRead:
		c.members.ConfirmStore(now)
		c.offerConfig(now, ev.Revision, ident.Process{})
	case SharesRead:
		c.sharesRead(now, ev)
	case SharesWritten:
		c.sharesWritten(now, ev)
	case Tick:
		c.tick(now)
	case Drain:
		c.drain(now)
	}
	c.membership(now)
	return c.out
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) isSelf(p ident.Process) bool { return p == c.cfg.Self }

// mayStart reports whether tasks may start now: not after this process was
// replaced, and not after a pause until a peer or the store was heard.
func (c *Core) mayStart(now time.Time) bool { return !c.replaced && c.members.Confirmed(now) }

// refuse answers a request with a failure.
func (c *Core) refuse(ref Ref, f *fault.Error) {
	c.count.Refused++
	c.reply(ref, work.Answer{}, f)
}

// reply answers a request, here or at the peer that forwarded it.
func (c *Core) reply(ref Ref, a work.Answer, f *fault.Error) {
	if ref.Peer == (ident.Process{}) {
		c.do(Reply{Request: ref.Request, Answer: a, Failure: f})
		return
	}
	c.do(Send{To: ref.Peer, Message: forwardReply(ref.Request, a, f)})
}

// Ready reports whether new submissions can be admitted: the configuration and
// the platform's list are known, and the instance is not leaving.
func (c *Core) Ready() bool {
	return c.holder.InForce() != nil && c.members.ListVersion() > 0 && !c.draining && !c.replaced
}

// NextIDs returns ids for callers' next submissions.
func (c *Core) NextIDs(now time.Time, n int) []ident.SubmissionID {
	if c.draining || c.replaced {
		return nil
	}
	return c.table.Issue(now, n)
}

// Counters returns the counts since the start.
func (c *Core) Counters() Counters { return c.count }
