// Package dispatcher combines the decisions of one instance: its view of the
// fleet, the jobs whose callers are connected to it and, if it is the owner,
// the endpoints. The owner is the instance that starts tasks on the endpoints;
// the home of a job is the instance that its caller is connected to. A Core
// handles events with the current time and returns actions to carry out. It has
// no goroutine, socket or clock of its own; process/dispatch runs it.
package dispatcher

import (
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// Config holds the settings of a Core.
type Config struct {
	// Leader configures the choice of the owner, and Owner the pool.
	Leader leader.Config
	Owner  owner.Config
	// LinkGrace is the grace period for which the owner keeps the tasks of an
	// instance after the link to it broke. Together with the heartbeat timeout
	// it must stay well below the time after which a caller submits a lost job
	// again, so Validate requires less than a second.
	LinkGrace time.Duration
	// Listing configures the exchange of the list of endpoints.
	Listing listing.Config
	// LayoutMemory is the memory of the group.Decider, its default if it is zero.
	LayoutMemory time.Duration
	// FenceNonce is a random number in the fences of this process, which makes
	// them differ from those of other processes.
	FenceNonce uint32
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	if c.LinkGrace == 0 {
		c.LinkGrace = 250 * time.Millisecond
	}
	return c
}

// Validate returns an error of kind fault.SettingsInvalid if LinkGrace is out
// of range.
func (c Config) Validate() error {
	if c.LinkGrace < 0 || c.LinkGrace >= time.Second {
		return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("link-grace").WithDetail("must be below a second")
	}
	return nil
}

// Core holds the state of one instance that decisions depend on.
type Core struct {
	cfg  Config
	self ident.Process
	view *leader.View
	jobs *home.Table
	// pool starts tasks on the endpoints while this instance is the owner.
	pool *owner.Pool
	// lostPeers holds, for each process whose link ended or that timed out, the
	// time at which its tasks are withdrawn.
	lostPeers map[ident.Process]time.Time
	// released holds, for each linked process that follows another owner, the
	// number up to which its orders are not started here.
	released map[ident.Process]uint64
	// withdrawals holds the latest withdrawals, oldest first.
	withdrawals []withdrawal
	// pauseOverAt is when all that was received during the latest pause of this
	// process has been handled.
	pauseOverAt time.Time
	// reclaimAt is when to call Pool.Reclaim. It is zero if that is not due,
	// and has an effect only on the owner.
	reclaimAt time.Time
	isolated  bool
	lastOwner ident.Process
	list      *listing.List
	agreement agreement
	// listDigests holds the digests in the latest heartbeats of linked processes,
	// and endpointsSentTo the owner that knows the endpoints of this home's tasks.
	listDigests     map[ident.Process]uint64
	endpointsSentTo ident.Process
	groups          groups
	pending         []Action
}

// New returns the core of a process that starts now. It returns an error when
// cfg with its defaults is invalid.
func New(now time.Time, cfg Config, seniority leader.Seniority) (*Core, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, self: cfg.Leader.Self, lostPeers: map[ident.Process]time.Time{}, released: map[ident.Process]uint64{}, listDigests: map[ident.Process]uint64{}, list: listing.New(cfg.Listing)}
	c.groups.decider.Memory = cfg.LayoutMemory
	c.jobs = home.New(c.linked)
	c.groups.linked, c.groups.layouts = map[ident.Process]ident.DataCentre{}, map[ident.Process]group.Layout{}
	var err error
	if c.view, err = leader.New(now, cfg.Leader, seniority); err != nil {
		return nil, err
	}
	c.view.Hold(true)
	if c.pool, err = owner.New(cfg.Owner); err != nil {
		return nil, err
	}
	return c, nil
}

// Configure changes the settings of this instance's pool. If they are invalid,
// it returns an error and changes nothing.
func (c *Core) Configure(cfg owner.Config) error { return c.pool.Configure(cfg) }

// Tick checks all timeouts and returns the actions that are due.
func (c *Core) Tick(now time.Time) []Action {
	c.updateLayout(now)
	if c.view.StepDown(now, c.pool.Late()) {
		c.pending = append(c.pending, SteppedDown{})
	}
	due, timedOut := c.view.Tick(now)
	for _, s := range timedOut {
		c.pending = append(c.pending, CloseLink{Peer: s})
		c.handlePeerLost(now, s, 0)
	}
	c.updateOwner(now)
	c.heartbeat(now, due)
	c.closeOutsideLinks(now)
	c.expireLostPeers(now)
	c.applyJobActions(now, c.jobs.Tick(now))
	if c.pool.Active() {
		// A foreign endpoint has seen the higher fence of another owner, which must
		// follow this one first. After a pause, what the peers have said before
		// does not show whom they follow.
		if c.pool.HasForeignEndpoints() && c.reclaimAt.IsZero() && c.view.FollowedByAll(now) {
			c.reclaimAt = now.Add(reclaimDelay)
		}
		if !c.reclaimAt.IsZero() && !now.Before(c.reclaimAt) && !c.pool.AwaitsHomes() && !c.view.HasRival() {
			c.reclaimAt = time.Time{}
			c.applyPoolActions(now, c.pool.Reclaim(now))
		}
		c.applyPoolActions(now, c.pool.Tick(now))
		c.view.ObserveEpoch(c.pool.Epoch())
		c.pool.ObserveEpoch(c.view.Epoch())
	}
	return c.flush()
}

// PauseLimit is the time without any event after which a process counts as
// paused.
const PauseLimit = 300 * time.Millisecond

// pauseGrace is how long no task is started after a pause. In this time the
// process learns which peers considered it dead during the pause and closed
// their links to it.
const pauseGrace = 150 * time.Millisecond

// HandlePause handles a pause of the process, for example while the machine was
// suspended; the parameter suspended is the part of the pause that its
// monotonic clock did not count. During a pause, other instances may have
// placed their tasks at another owner, and callers may have submitted their
// jobs again.
func (c *Core) HandlePause(now time.Time, suspended time.Duration) []Action {
	c.pool.HandlePause(now, now.Add(pauseGrace), suspended)
	if c.view.SinceTick(now)+suspended >= c.view.HeartbeatTimeout() {
		c.pool.WithholdRenewals(now.Add(pauseGrace))
	}
	c.jobs.HandlePause(suspended)
	c.awaitHomes(now)
	return c.Tick(now)
}

// expireLostPeers withdraws the tasks of processes that did not link again
// within their grace period.
func (c *Core) expireLostPeers(now time.Time) {
	var expired []ident.Process
	for process, at := range c.lostPeers {
		if !now.Before(at) {
			expired = append(expired, process)
		}
	}
	slices.SortFunc(expired, func(a, b ident.Process) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	for _, process := range expired {
		delete(c.lostPeers, process)
		c.pool.SetHomeAbsent(process, false)
		c.applyPoolActions(now, c.pool.WithdrawTasksOf(now, process))
	}
}

// epochBase is subtracted from the Unix time in seconds to get the least epoch
// of a new owner. This epoch exceeds those of earlier owners even if the
// process has seen none of them. If the clock was set back, the endpoints
// refuse the first polls as fenced, and the owner raises the fences of its
// calls in growing steps until the endpoints accept them.
const epochBase = 1_577_836_800 // 2020-01-01

// takeoverEpochs is by how many epochs a new owner exceeds the highest epoch
// that it knows. The owner before it may have raised its fence since, by one
// epoch for each endpoint that restarted, and an endpoint that has accepted a
// poll of the new owner must refuse its starts.
const takeoverEpochs = 1 << 10

// updateOwner applies the owner and the isolation of the view to the pool and
// the table of jobs, and reports changes of them.
func (c *Core) updateOwner(now time.Time) {
	ownerProcess, known := c.view.Owner()
	isolated := c.view.Isolated()
	isOwner := known && ownerProcess == c.self
	switch {
	case isOwner && !c.pool.Active():
		epoch := max(c.view.Epoch()+takeoverEpochs, uint64(max(0, now.Unix()-epochBase)))
		c.view.ObserveEpoch(epoch)
		c.list.HandleTakeover()
		c.applyPoolActions(now, c.pool.Activate(now, owner.NewFence(epoch, c.cfg.FenceNonce), c.ownershipFilter(now)))
	case !isOwner && c.pool.Active():
		c.pool.Deactivate(now)
	case isOwner && (isolated || c.isolated || c.groups.changed):
		c.pool.SetOwned(c.ownershipFilter(now))
	}
	if known && ownerProcess != c.lastOwner {
		c.lastOwner = ownerProcess
		// The earlier owner drops the tasks of this instance when it gets this
		// heartbeat.
		c.heartbeat(now, append(c.view.Peers(), c.outsidePeers()...))
		c.pending = append(c.pending, OwnerChanged{Owner: ownerProcess, Own: isOwner, Epoch: c.view.Epoch(), Isolated: isolated})
	}
	if isolated != c.isolated {
		c.isolated = isolated
		if !isolated && c.pool.Active() {
			c.pool.DelayWaiting(now) // homes may have switched to another owner
		}
		c.pending = append(c.pending, IsolationChanged{Isolated: isolated})
	}
	c.groups.changed = false
	c.jobs.SetWhole(c.groups.decider.Layout() == group.Whole || c.groups.layouts[ownerProcess] == group.Whole)
	if known && c.view.Linked(ownerProcess) {
		c.sendKnownEndpoints(ownerProcess)
	}
	c.applyJobActions(now, c.jobs.SetOwner(now, ownerProcess, known && (isOwner || c.view.Linked(ownerProcess))))
}

// ownershipFilter returns a filter for the endpoints that this instance may
// own.
func (c *Core) ownershipFilter(now time.Time) func(owner.Endpoint) bool {
	filter := c.view.OwnershipFilter(now)
	return func(e owner.Endpoint) bool { return c.inGroup(e.DataCentre) && filter(e.ID, e.DataCentre) }
}

// heartbeat sends a heartbeat to processes.
func (c *Core) heartbeat(now time.Time, to []ident.Process) {
	m := c.ownHeartbeat(now)
	m.RequestReply = c.view.CheckingPeers()
	var helpers []ident.Process
	if c.pool.Active() {
		helpers = c.list.SelectHelpers(now, c.view.Peers())
	}
	for _, process := range to {
		m.ReadList = slices.Contains(helpers, process)
		m.Released = c.released[process]
		c.pending = append(c.pending, Send{To: process, Urgent: true, Message: m})
	}
}

func (c *Core) ownHeartbeat(now time.Time) Heartbeat {
	return Heartbeat{
		Heartbeat: c.view.OwnHeartbeat(), ListAge: c.list.Age(now), ListDigest: c.list.Digest(), Layout: c.groups.decider.Layout(), LastPlacement: c.jobs.LastPlacement(),
	}
}

// handlePeerLost handles the end of a link or the timeout of a peer. The tasks
// of its jobs are withdrawn after grace, unless it has linked again by then.
func (c *Core) handlePeerLost(now time.Time, process ident.Process, grace time.Duration) {
	c.view.HandleLinkDown(process)
	delete(c.groups.linked, process)
	delete(c.groups.layouts, process)
	delete(c.released, process)
	delete(c.listDigests, process)
	if c.endpointsSentTo == process {
		c.endpointsSentTo = ident.Process{}
	}
	c.applyJobActions(now, c.jobs.HandleLinkDown(now, process))
	c.list.HandleLinkDown(process)
	c.agreement.forget(process)
	c.lostPeers[process] = now.Add(grace)
	c.pool.SetHomeAbsent(process, true)
}

// HandleLinkUp handles a new link to a process.
func (c *Core) HandleLinkUp(now time.Time, process ident.Process, dc ident.DataCentre) []Action {
	c.groups.linked[process] = dc
	delete(c.lostPeers, process)
	// Its first heartbeat says whom it follows by now.
	c.pool.SetHomeAbsent(process, true)
	c.repeatWithdrawals(now, process)
	if c.inGroup(dc) {
		c.view.HandleLinkUp(now, process, dc)
		c.reclaimAt = now.Add(reclaimDelay)
		c.list.HandleLinkUp(process)
		c.reportCrashes(c.pool.CrashRecords(), process)
	} else if c.groups.closeAt.IsZero() {
		c.groups.closeAt = now.Add(outsideLinkTime)
	}
	c.heartbeat(now, []ident.Process{process})
	return c.flush()
}

// reclaimDelay is how long the owner waits, after a new link or once all peers
// follow it, before it takes over the endpoints of another owner. Within this
// time a peer that was an owner itself starts to follow this one.
const reclaimDelay = 150 * time.Millisecond

// HandleLinkDown handles the end of a link.
func (c *Core) HandleLinkDown(now time.Time, process ident.Process) []Action {
	c.handlePeerLost(now, process, c.cfg.LinkGrace)
	return c.flush()
}

// Receive handles a message of a linked process.
func (c *Core) Receive(now time.Time, from ident.Process, message any) []Action {
	switch m := message.(type) {
	case Heartbeat:
		c.view.HandleHeartbeat(now, from, m.Heartbeat)
		c.noteHeard(now, from)
		c.groups.layouts[from] = m.Layout
		c.listDigests[from] = m.ListDigest
		if m.Owner.Instance != "" && m.Owner != c.self {
			c.releaseOrders(now, from, m.LastPlacement)
		}
		if m.RequestReply {
			reply := c.ownHeartbeat(now)
			reply.Released = c.released[from]
			c.pending = append(c.pending, Send{To: from, Urgent: true, Message: reply})
		}
		c.exchangeList(now, from, m)
		if m.Released > 0 {
			c.applyJobActions(now, c.jobs.HandleReleased(now, from, m.Released))
		}
		// This heartbeat may complete the check; an owner is then chosen.
		if c.view.CheckingPeers() {
			return append(c.flush(), c.Tick(now)...)
		}
	case Orders:
		c.applyPoolActions(now, c.pool.Place(now, from, c.rejectReleased(from, m)))
	case Withdrawal:
		c.applyPoolActions(now, c.pool.Withdraw(now, from, job.ID(m)))
	case CrashReport:
		c.pool.ObserveCrashes(now, m)
	case TaskEnds:
		c.applyJobActions(now, c.jobs.HandleEnds(now, from, m))
	case listing.Snapshot:
		c.receiveList(now, m)
	case listing.Changes:
		if c.list.Apply(now, m) {
			c.updateEndpoints(now)
		}
	}
	return c.flush()
}

// Drain makes this instance hand its endpoints over to another one. The jobs of
// its callers continue.
func (c *Core) Drain(now time.Time) []Action {
	c.view.Drain()
	c.heartbeat(now, c.view.Peers())
	return append(c.flush(), c.Tick(now)...)
}

// Submit adds a job of a caller. The deadline counts from now.
func (c *Core) Submit(now time.Time, r home.RequestID, spec job.Spec, settings home.RouteSettings, deadline time.Duration) []Action {
	c.applyJobActions(now, c.jobs.Submit(now, r, spec, settings, deadline))
	return c.flush()
}

// RemoveRequest removes a request whose caller no longer waits.
func (c *Core) RemoveRequest(now time.Time, id job.ID, r home.RequestID) []Action {
	c.applyJobActions(now, c.jobs.RemoveRequest(now, id, r))
	return c.flush()
}

// Cancel cancels a job and reports whether it was open on this instance.
func (c *Core) Cancel(now time.Time, id job.ID) ([]Action, bool) {
	actions, ok := c.jobs.Cancel(now, id)
	c.applyJobActions(now, actions)
	return c.flush(), ok
}

// HandlePollResult handles the result of an owner.Poll.
func (c *Core) HandlePollResult(now time.Time, result *owner.PollResult) []Action {
	c.applyPoolActions(now, c.pool.HandlePollResult(now, result))
	return c.flush()
}

// HandleCallResult handles the result of an owner.Start or owner.Stop.
func (c *Core) HandleCallResult(now time.Time, result *owner.CallResult) []Action {
	c.applyPoolActions(now, c.pool.HandleCallResult(now, result))
	return c.flush()
}

// OwnerKnown reports whether an owner of the endpoints is known.
func (c *Core) OwnerKnown() bool {
	_, known := c.view.Owner()
	return known
}

// OwnerInstance returns the instance that owns the endpoints as far as this
// instance knows, or "" if it knows none.
func (c *Core) OwnerInstance() ident.InstanceID {
	ownerProcess, _ := c.view.Owner()
	return ownerProcess.Instance
}

// Epoch returns the highest epoch seen so far.
func (c *Core) Epoch() uint64 { return c.view.Epoch() }

// Peers returns the linked processes of this instance's group.
func (c *Core) Peers() []ident.Process { return c.view.Peers() }

// IsOwner reports whether this instance acts as the owner of the endpoints.
func (c *Core) IsOwner() bool { return c.pool.Active() }

// Jobs returns the table of the jobs whose callers are connected to this
// instance. Callers must not change it.
func (c *Core) Jobs() *home.Table { return c.jobs }

// Stats returns the counters of this instance's pool, and the age of the list
// of endpoints.
func (c *Core) Stats(now time.Time) (owner.Stats, time.Duration) {
	return c.pool.Stats(now), c.list.Age(now)
}
