// Package dispatcher composes the decisions of one instance: the view of the
// fleet, the jobs that are homed here and, on the leader, the endpoints. A Core
// takes events with the current time and returns what to carry out. It has no
// goroutine, socket or clock of its own.
package dispatcher

import (
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// Config holds the settings of a Core.
type Config struct {
	Leader leader.Config
	Owner  owner.Config
	// LinkGrace is how long the owner keeps the tasks of a home whose link
	// broke. With the silence that the view allows it stays well below the time
	// after which a caller submits a lost job again.
	LinkGrace time.Duration
	// ListStale is the age of the owner's list of endpoints from which on other
	// instances read it for the owner.
	ListStale time.Duration
	// Unique tells the fences of processes apart.
	Unique uint32
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	if c.LinkGrace == 0 {
		c.LinkGrace = 250 * time.Millisecond
	}
	if c.ListStale == 0 {
		c.ListStale = 1500 * time.Millisecond
	}
	return c
}

// Validate returns a failure of kind fault.SettingsInvalid that names the
// first field that breaks a rule.
func (c Config) Validate() error {
	if c.LinkGrace < 0 || c.LinkGrace >= time.Second {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("link-grace").WithDetail("must be below a second")
	}
	return nil
}

// Action is something to carry out: an owner.Look, owner.Start or owner.Stop,
// a home.Answer, or a Send, Retire, Following or Isolation.
type Action any

// Send hands a message to a process: a Pulse, Orders, Withdrawal, Ends or List.
type Send struct {
	To ident.Process
	// Urgent messages overtake the others.
	Urgent  bool
	Message any
}

// Pulse tells of the sender.
type Pulse struct {
	leader.Pulse
	// ListAge is the age of the sender's list of endpoints.
	ListAge time.Duration
	// Ask is set when the receiver is to answer with a pulse at once.
	Ask bool
}

// Orders hands tasks to the owner.
type Orders []job.Order

// Withdrawal ends a job of the sender.
type Withdrawal job.ID

// Ends reports the ends of tasks to their home.
type Ends []job.End

// List is the list of endpoints as the sender last read it.
type List struct {
	Endpoints []owner.Endpoint
	Age       time.Duration
}

// Retire closes the link to a silent process.
type Retire struct{ Peer ident.Process }

// Following says which process owns the endpoints from now on, in this view.
type Following struct {
	Owner    ident.Process
	Own      bool
	Epoch    uint64
	Isolated bool
}

// Isolation says whether only a minority of the fleet is heard.
type Isolation struct{ Isolated bool }

// Core is the control state of one instance.
type Core struct {
	cfg   Config
	self  ident.Process
	view  *leader.View
	table *home.Table
	pool  *owner.Pool
	// lost holds when the tasks of a process whose link broke end.
	lost map[ident.Process]time.Time
	// reclaim is when to take back what a peer owned, or zero.
	reclaim  time.Time
	isolated bool
	followed ident.Process
	list     []owner.Endpoint
	listAt   time.Time
	// ownerListAge is the age of the owner's list as it last said.
	ownerListAge time.Duration
	out          []Action
}

// New returns the core of a process that starts now. It fails when cfg with its
// defaults is not valid.
func New(now time.Time, cfg Config, seniority leader.Seniority) (*Core, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, self: cfg.Leader.Self, table: home.New(), lost: map[ident.Process]time.Time{}}
	var err error
	if c.view, err = leader.New(now, cfg.Leader, seniority); err != nil {
		return nil, err
	}
	if c.pool, err = owner.New(cfg.Owner); err != nil {
		return nil, err
	}
	return c, nil
}

// Configure changes the settings of the owner's pool. It fails, and changes
// nothing, when they are not valid.
func (c *Core) Configure(cfg owner.Config) error { return c.pool.Configure(cfg) }

// Tick does what is due.
func (c *Core) Tick(now time.Time) []Action {
	pulse, silent := c.view.Tick(now)
	for _, s := range silent {
		c.out = append(c.out, Retire{Peer: s})
		c.lose(now, s, 0)
	}
	c.follow(now)
	c.pulse(now, pulse)
	c.endLost(now)
	c.run(now, c.table.Tick(now))
	if c.pool.Active() {
		if c.pool.Foreign() && c.reclaim.IsZero() && c.view.FollowedByAll(now) {
			c.reclaim = now.Add(reclaimWait)
		}
		if !c.reclaim.IsZero() && !now.Before(c.reclaim) {
			c.reclaim = time.Time{}
			c.own(now, c.pool.Reclaim(now))
		}
		c.own(now, c.pool.Tick(now))
		c.view.Saw(c.pool.Epoch())
		c.pool.Saw(c.view.Epoch())
	}
	return c.flush()
}

// PauseLimit is the time without any event from which on a process counts as
// paused.
const PauseLimit = 300 * time.Millisecond

// pauseRest is the time after a pause in which the ends of links arrive whose
// peers took this process for dead.
const pauseRest = 150 * time.Millisecond

// Paused takes that the process stood still, of which its steady clock missed
// the time uncounted. Homes may have placed their tasks at another owner
// meanwhile, and callers may have submitted their jobs again.
func (c *Core) Paused(now time.Time, uncounted time.Duration) []Action {
	c.pool.Paused(now.Add(pauseRest), uncounted)
	c.table.Paused(uncounted)
	return c.Tick(now)
}

// endLost ends the tasks of homes that did not come back.
func (c *Core) endLost(now time.Time) {
	var gone []ident.Process
	for process, at := range c.lost {
		if !now.Before(at) {
			gone = append(gone, process)
		}
	}
	slices.SortFunc(gone, func(a, b ident.Process) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	for _, process := range gone {
		delete(c.lost, process)
		c.own(now, c.pool.HomeLost(process))
	}
}

// epochBase is subtracted from Unix seconds for the epoch of a process that
// knows no other, so that it exceeds those of earlier processes. A clock that
// was set back only costs looks until the fence is high enough.
const epochBase = 1_577_836_800 // 2020-01-01

// follow adopts the owner that the view shows.
func (c *Core) follow(now time.Time) {
	lead, known := c.view.Owner()
	isolated := c.view.Isolated()
	mine := known && lead == c.self
	switch {
	case mine && !c.pool.Active():
		epoch := max(c.view.Epoch()+1, uint64(max(0, now.Unix()-epochBase)))
		c.view.Saw(epoch)
		c.own(now, c.pool.Activate(now, owner.NewFence(epoch, c.cfg.Unique), c.mine(now)))
	case !mine && c.pool.Active():
		c.pool.Deactivate()
	case mine && (isolated || c.isolated):
		c.pool.Select(c.mine(now))
	}
	if known && lead != c.followed {
		c.followed = lead
		// An earlier owner drops this home's tasks as soon as it hears that.
		c.pulse(now, c.view.Peers())
		c.out = append(c.out, Following{Owner: lead, Own: mine, Epoch: c.view.Epoch(), Isolated: isolated})
	}
	if isolated != c.isolated {
		c.isolated = isolated
		if !isolated && c.pool.Active() {
			c.pool.Hesitate(now)
		}
		c.out = append(c.out, Isolation{Isolated: isolated})
	}
	c.run(now, c.table.SetOwner(now, lead, known && (mine || c.view.Linked(lead))))
}

// mine returns the selection of the endpoints to own.
func (c *Core) mine(now time.Time) func(owner.Endpoint) bool {
	share := c.view.OwnershipFilter(now)
	return func(e owner.Endpoint) bool { return share(e.ID, e.DataCentre) }
}

// pulse tells peers of this instance.
func (c *Core) pulse(now time.Time, to []ident.Process) {
	for _, process := range to {
		c.out = append(c.out, Send{To: process, Urgent: true, Message: Pulse{Pulse: c.view.OwnHeartbeat(), ListAge: now.Sub(c.listAt), Ask: c.view.Polling()}})
	}
}

// lose takes the end of a link, or the silence of a peer. The tasks of its jobs
// end after grace, unless it is back by then.
func (c *Core) lose(now time.Time, process ident.Process, grace time.Duration) {
	c.view.Down(process)
	c.table.LinkLost(process)
	c.lost[process] = now.Add(grace)
}

// Up takes a new link.
func (c *Core) Up(now time.Time, process ident.Process, dc ident.DataCentre) []Action {
	c.view.Up(now, process, dc)
	delete(c.lost, process)
	c.pulse(now, []ident.Process{process})
	c.reclaim = now.Add(reclaimWait)
	if c.pool.Active() && len(c.list) > 0 {
		c.out = append(c.out, Send{To: process, Message: c.listMessage(now)})
	}
	return c.flush()
}

// reclaimWait is the time from a new link until the peer behind it has followed
// the owner, when it owned endpoints itself.
const reclaimWait = 150 * time.Millisecond

// Down takes the end of a link.
func (c *Core) Down(now time.Time, process ident.Process) []Action {
	c.lose(now, process, c.cfg.LinkGrace)
	return c.flush()
}

// Listed takes the instances that the store lists.
func (c *Core) Listed(now time.Time, list []leader.Member) { c.view.Listed(now, list) }

// Receive takes a message of a linked process.
func (c *Core) Receive(now time.Time, from ident.Process, message any) []Action {
	switch m := message.(type) {
	case Pulse:
		c.view.RecordHeartbeat(now, from, m.Pulse)
		if m.Ask {
			c.out = append(c.out, Send{To: from, Urgent: true, Message: Pulse{Pulse: c.view.OwnHeartbeat(), ListAge: now.Sub(c.listAt)}})
		}
		if lead, known := c.view.Owner(); known && lead == from {
			c.ownerListAge = m.ListAge
		}
		if m.Owner.Instance != "" && m.Owner != c.self {
			// This home has placed its tasks at another owner.
			c.own(now, c.pool.HomeLost(from))
		}
		if c.view.Polling() {
			return append(c.flush(), c.Tick(now)...)
		}
	case Orders:
		c.own(now, c.pool.Place(now, from, m))
	case Withdrawal:
		c.own(now, c.pool.Withdraw(from, job.ID(m)))
	case Ends:
		c.run(now, c.table.Ends(now, from, m))
	case List:
		if at := now.Add(-m.Age); at.After(c.listAt) {
			c.list, c.listAt = m.Endpoints, at
			c.own(now, c.pool.SetEndpoints(now, c.listAt, c.list))
		}
	}
	return c.flush()
}

// Drain makes the instance hand over what it owns. Its jobs go on.
func (c *Core) Drain(now time.Time) []Action {
	c.view.Drain()
	c.pulse(now, c.view.Peers())
	return append(c.flush(), c.Tick(now)...)
}

// Submit takes a job of a caller.
func (c *Core) Submit(now time.Time, r home.Request, spec job.Spec, terms home.Terms, deadline time.Duration) []Action {
	c.run(now, c.table.Submit(now, r, spec, terms, deadline))
	return c.flush()
}

// Leave takes that a caller no longer waits.
func (c *Core) Leave(now time.Time, id job.ID, r home.Request) []Action {
	c.run(now, c.table.Leave(now, id, r))
	return c.flush()
}

// Cancel ends a job and reports whether it was open here.
func (c *Core) Cancel(now time.Time, id job.ID) ([]Action, bool) {
	actions, ok := c.table.Cancel(now, id)
	c.run(now, actions)
	return c.flush(), ok
}

// Looked takes the result of an owner.Look.
func (c *Core) Looked(now time.Time, l *owner.Looked) []Action {
	c.own(now, c.pool.Looked(now, l))
	return c.flush()
}

// Answered takes the result of an owner.Start or owner.Stop.
func (c *Core) Answered(now time.Time, a *owner.Answered) []Action {
	c.own(now, c.pool.Answered(now, a))
	return c.flush()
}

// WantsList reports whether the list of endpoints should be read from the
// store: by the owner, and by the others while the owner's list is old.
func (c *Core) WantsList() bool {
	lead, known := c.view.Owner()
	return !known || lead == c.self || c.ownerListAge > c.cfg.ListStale || len(c.list) == 0
}

// SetList takes a list that was read from the store, and reports whether it
// differs from the one before. The owner passes changes on; the others help an
// owner that cannot read the list.
func (c *Core) SetList(now time.Time, list []owner.Endpoint) (actions []Action, changed bool) {
	changed = !slices.EqualFunc(list, c.list, sameEndpoint)
	c.list, c.listAt = list, now
	c.own(now, c.pool.SetEndpoints(now, now, list))
	lead, known := c.view.Owner()
	switch {
	case known && lead == c.self && changed:
		for _, peer := range c.view.Peers() {
			c.out = append(c.out, Send{To: peer, Message: c.listMessage(now)})
		}
	case known && lead != c.self && c.ownerListAge > c.cfg.ListStale:
		c.out = append(c.out, Send{To: lead, Message: c.listMessage(now)})
	}
	return c.flush(), changed
}

func (c *Core) listMessage(now time.Time) List {
	return List{Endpoints: c.list, Age: now.Sub(c.listAt)}
}

func sameEndpoint(a, b owner.Endpoint) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Draining == b.Draining && a.Born == b.Born && a.Room == b.Room &&
		a.Service == b.Service && a.DataCentre == b.DataCentre && slices.Equal(a.Labels, b.Labels)
}

// Owned reports whether an owner of the endpoints is known.
func (c *Core) Owned() bool {
	_, known := c.view.Owner()
	return known
}

// Following returns the instance that owns the endpoints in this view, or "".
func (c *Core) Following() ident.InstanceID {
	lead, _ := c.view.Owner()
	return lead.Instance
}

// Epoch returns the highest epoch that is known.
func (c *Core) Epoch() uint64 { return c.view.Epoch() }

// Owns reports whether this instance owns endpoints.
func (c *Core) Owns() bool { return c.pool.Active() }

// Jobs returns the table of the jobs that are homed here, to read from.
func (c *Core) Jobs() *home.Table { return c.table }

// Stats returns the counters of the owner's pool, and the age of the list of
// endpoints.
func (c *Core) Stats(now time.Time) (owner.Stats, time.Duration) {
	return c.pool.Stats(now), now.Sub(c.listAt)
}

// run passes on what the table of jobs decided.
func (c *Core) run(now time.Time, actions []home.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case home.Place:
			if a.To == c.self {
				c.own(now, c.pool.Place(now, c.self, a.Orders))
				continue
			}
			c.out = append(c.out, Send{To: a.To, Message: Orders(a.Orders)})
		case home.Withdraw:
			if a.To == c.self {
				c.own(now, c.pool.Withdraw(c.self, a.Job))
				continue
			}
			c.out = append(c.out, Send{To: a.To, Message: Withdrawal(a.Job)})
		case home.Answer:
			c.out = append(c.out, a)
		}
	}
}

// own passes on what the owner's pool decided.
func (c *Core) own(now time.Time, actions []owner.Action) {
	for _, a := range actions {
		report, ok := a.(owner.Report)
		switch {
		case !ok:
			c.out = append(c.out, a)
		case report.To == c.self:
			c.run(now, c.table.Ends(now, c.self, report.Ends))
		default:
			c.out = append(c.out, Send{To: report.To, Message: Ends(report.Ends)})
		}
	}
}

func (c *Core) flush() []Action {
	out := c.out
	c.out = nil
	return out
}
