package owner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/congestion"
)

// Pool is the state of an owner: its endpoints, their runs and the waiting
// tasks. While it is not active, it only keeps the list of endpoints.
type Pool struct {
	cfg    Config
	active bool
	// activatedAt is when the pool last became active. takeoverComplete is set once no
	// run of an earlier owner can be unknown; see updateTakeover.
	// takeoverReported is set once all known endpoints have been polled since.
	activatedAt                        time.Time
	takeoverComplete, takeoverReported bool
	fence                              Fence
	// resumedAt is when the latest pause of the process ended. pausedUntil is
	// when the pool may start tasks again after it, on endpoints that were
	// polled since.
	resumedAt, pausedUntil time.Time
	// noRenewalUntil is until when polls renew no lease; see WithholdRenewals.
	noRenewalUntil time.Time
	group          Group
	// owns selects the endpoints that the pool should own.
	owns func(Endpoint) bool
	// evacuated holds the data centres whose endpoints get no more starts.
	evacuated map[ident.DataCentre]bool
	// absentHomes holds the homes whose tasks are not started; see
	// SetHomeAbsent.
	absentHomes     map[ident.Process]bool
	endpoints       map[ident.EndpointID]*endpoint
	sortedEndpoints []*endpoint // by ID, so that decisions are deterministic
	// acquiredAt is when the latest endpoint was acquired from another owner.
	acquiredAt time.Time
	// listedAt is when the list of endpoints was read.
	listedAt time.Time
	// knownSince is since when the list counts as complete: when the first one
	// arrived, or SetListIncomplete was last called.
	knownSince time.Time
	batches    map[batchID]*batch
	// batchesByJob holds the batches of each job, from any home.
	batchesByJob map[job.ID][]*batch
	waiting      waitingTasks
	// runsByTask holds the runs of each task that still occupy an endpoint.
	runsByTask map[job.Key][]*run
	// inheritedEnds holds the ends of tasks that were done under an earlier
	// owner and are not placed here yet.
	inheritedEnds map[job.Key]inheritedEnd
	// forgotten holds, for each task of which a run may go on that this pool no
	// longer follows, since when that is so; see forget.
	forgotten map[job.Key]time.Time
	inFlight  map[uint64]inFlightCall
	lastCall  uint64
	// unreliableCount is the number of endpoints that recently failed to answer
	// a poll.
	unreliableCount int
	latency         latencyEstimator
	// window bounds startsInFlight, the starts that are reserved or sent and
	// not answered. heldBack is set when it has kept tasks from starting since
	// tasks were last started.
	window         *congestion.Window
	startsInFlight int
	heldBack       bool
	// probesInFlight counts the polls in flight to endpoints that are not held.
	probesInFlight int
	// sweptAt is when the last sweep took place. sweepDue is set when tasks
	// that another owner may have started have arrived since.
	sweptAt     time.Time
	sweepDue    bool
	pendingEnds map[ident.Process][]job.TaskEnd
	actions     []Action
	stats       Stats
	// taskClasses holds the classes of the batches. searchRound counts the
	// searches for room.
	taskClasses map[taskClassID]*taskClass
	searchRound uint64
	// groupSlowdowns holds the learned ratio of run time to estimate for each
	// group of similar endpoints.
	groupSlowdowns map[speedGroup]*slowdown
	loads          map[loadID]*load
	// suspects holds the waiting tasks that run alone, and apart the endpoints
	// that are set apart for them.
	suspects []*task
	apart    []*endpoint
	crashes  crashMemory
	// shedAt is when the waiting tasks were last searched for those that are
	// overdue or hopeless.
	shedAt time.Time
}

// inFlightCall is a call that is not answered yet: a poll of an endpoint, or
// the start or stop of a run. sentAt is set only for starts, whose latency is
// measured.
type inFlightCall struct {
	endpoint *endpoint
	run      *run
	fence    Fence
	sentAt   time.Time
}

// superseded reports whether this owner has raised the endpoint's fence since
// the call was sent. A refusal of such a call does not show that there is
// another owner.
func (c inFlightCall) superseded() bool { return c.fence < c.endpoint.fence }

// New returns an inactive pool. It returns the error of Config.Validate when
// cfg with its defaults is invalid.
func New(cfg Config) (*Pool, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	p := &Pool{cfg: cfg, endpoints: map[ident.EndpointID]*endpoint{}, crashes: crashMemory{entries: map[job.Key]*crashEntry{}}, absentHomes: map[ident.Process]bool{}, forgotten: map[job.Key]time.Time{}, group: Group{Whole: true}}
	p.clear()
	return p, nil
}

func (p *Pool) clear() {
	p.batches = map[batchID]*batch{}
	p.batchesByJob = map[job.ID][]*batch{}
	p.waiting = waitingTasks{counters: p.waiting.counters}
	p.runsByTask = map[job.Key][]*run{}
	p.inheritedEnds = map[job.Key]inheritedEnd{}
	p.inFlight = map[uint64]inFlightCall{}
	p.pendingEnds = map[ident.Process][]job.TaskEnd{}
	p.groupSlowdowns = map[speedGroup]*slowdown{}
	p.taskClasses = map[taskClassID]*taskClass{}
	p.suspects, p.apart = nil, nil
	p.loads, p.shedAt = map[loadID]*load{}, time.Time{}
	p.probesInFlight, p.sweptAt, p.sweepDue = 0, time.Time{}, false
	p.window, p.startsInFlight, p.heldBack = congestion.New(congestion.Config{}), 0, false
	for _, e := range p.endpoints {
		e.reset()
	}
}

// reset drops what is known of an endpoint apart from its list entry.
func (e *endpoint) reset() {
	*e = endpoint{Endpoint: e.Endpoint, missingSince: e.missingSince, slowdown: slowdown{ratio: 1}}
}

// Configure changes the settings. It returns the error of Config.Validate and
// changes nothing when cfg with its defaults is invalid.
func (p *Pool) Configure(cfg Config) error {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return err
	}
	p.cfg = cfg
	return nil
}

// Active reports whether the pool owns endpoints.
func (p *Pool) Active() bool { return p.active }

// Epoch returns the highest epoch that the pool has used or observed.
func (p *Pool) Epoch() uint64 { return p.fence.Epoch() }

// HandlePause keeps the pool from starting tasks until the given time, since
// its state may be stale after a pause of the process, and after that until each
// endpoint was polled: it may have restarted and accepted another owner.
// Deadlines are moved earlier by suspended, the part of the pause that the clock
// did not count.
func (p *Pool) HandlePause(now, until time.Time, suspended time.Duration) {
	p.resumedAt, p.pausedUntil, p.sweepDue = now, until, true
	for _, b := range p.batches {
		b.deadline = b.deadline.Add(-suspended)
	}
}

// WithholdRenewals keeps polls from renewing leases until the given time, by which
// this process notices whether it was replaced while it was paused.
func (p *Pool) WithholdRenewals(until time.Time) { p.noRenewalUntil = until }

// SetEndpoints updates the list of endpoints, which was read at readAt.
// Endpoints that are missing from it are kept for MissingRetention, and for as
// long as they have runs.
func (p *Pool) SetEndpoints(now, readAt time.Time, list []Endpoint) []Action {
	p.listedAt = readAt
	if p.knownSince.IsZero() {
		p.knownSince = now
	}
	listed := make(map[ident.EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		e := p.endpoints[entry.ID]
		if e == nil {
			e = p.addEndpoint(entry)
		}
		if e.Address != entry.Address {
			e.pollFailures, e.nextPoll = 0, time.Time{}
		}
		if e.Kind != entry.Kind || e.DataCentre != entry.DataCentre {
			e.groupSlowdown = nil
		}
		e.Endpoint = entry
		e.missingSince = time.Time{}
	}
	p.sortedEndpoints = slices.DeleteFunc(p.sortedEndpoints, func(e *endpoint) bool {
		if listed[e.ID] {
			return false
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		expired := len(e.runs) == 0 && now.Sub(e.missingSince) >= p.cfg.MissingRetention
		if expired {
			delete(p.endpoints, e.ID)
		}
		return expired
	})
	p.sortEndpoints()
	return p.Tick(now)
}

// SetEvacuated sets the data centres whose endpoints get no more starts. What
// runs there goes on.
func (p *Pool) SetEvacuated(now time.Time, dcs []ident.DataCentre) []Action {
	p.evacuated = map[ident.DataCentre]bool{}
	for _, dc := range dcs {
		p.evacuated[dc] = true
	}
	return p.Tick(now)
}

// Group is the part of the fleet that a pool owns.
type Group struct {
	// Whole is set if the group is the whole fleet.
	Whole bool
	// Home and Endpoint report whether a process and an endpoint belong to it.
	Home     func(ident.Process) bool
	Endpoint func(Endpoint) bool
}

// SetGroup changes the group. Endpoints outside of it are removed; those with
// runs stay until their homes have withdrawn the tasks. Waiting tasks that
// another owner may have started wait until its leases have ended, since the
// pool no longer polls all endpoints that may run them.
func (p *Pool) SetGroup(g Group) {
	p.group = g
	for t := range p.waiting.all() {
		t.otherGroup = t.otherGroup || !g.Whole
	}
	p.sortedEndpoints = slices.DeleteFunc(p.sortedEndpoints, func(e *endpoint) bool {
		removed := !g.Endpoint(e.Endpoint) && len(e.runs) == 0
		if removed {
			delete(p.endpoints, e.ID)
		}
		return removed
	})
}

// outsideGroup reports whether an earlier owner may have started tasks of an
// order on endpoints outside of the group, where polls do not show their runs.
func (p *Pool) outsideGroup(home ident.Process, o *job.Order) bool {
	return !p.group.Whole && (o.PlacedWhole || !p.group.Home(home))
}

// Tick sends polls and stops that are due, ends waiting tasks whose deadline
// has passed, drops expired inherited ends, handles expired leases, starts
// tasks, and refuses waiting tasks that cannot end in time.
func (p *Pool) Tick(now time.Time) []Action {
	if p.active {
		p.sweep(now)
		p.unreliableCount = 0
		for _, e := range p.sortedEndpoints {
			if now.Before(e.unreliableUntil) {
				p.unreliableCount++
			}
		}
		for _, e := range p.sortedEndpoints {
			p.maintain(now, e)
		}
		p.updateTakeover()
		p.reportTakeover(now)
		p.expireInherited(now)
		p.expireForgotten(now)
		if now.Sub(p.shedAt) >= shedInterval {
			p.shedAt = now
			p.expireWaiting(now)
			p.shed(now)
		}
		p.startSuspects(now)
		p.dispatch(now)
	}
	return p.flush()
}

// maintain polls an endpoint when a poll is due, which renews its lease. If the
// lease has expired, it removes the runs and requeues their tasks. It stops
// runs that no home has claimed in time, and sends failed stops again.
func (p *Pool) maintain(now time.Time, e *endpoint) {
	switch wanted := p.owns(e.Endpoint) || len(e.runs) > 0; {
	case !wanted && e.ownership == ownershipHeld:
		// Without polls, another owner may acquire it unnoticed.
		e.ownership, e.fenceAccepted = ownershipUnknown, false
	case wanted && e.pollCall == 0 && !now.Before(e.nextPoll) && p.mayPoll(e):
		p.sendPoll(now, e)
	}
	if e.pollFailures > 0 && len(e.runs) > 0 && e.leaseExpired(now, &p.cfg) {
		p.noteCrash(now, e, e.runs, e.refused)
		for _, r := range slices.Clone(e.runs) {
			p.loseRun(now, r, LeaseExpired)
		}
	}
	for _, r := range e.runs {
		if !r.claimed && r.phase != stopping && now.Sub(r.knownSince) >= p.cfg.ClaimGrace {
			p.stats.Unclaimed++
			p.addRunEvent(now, Unclaimed, r)
			p.stop(r)
		}
		if r.phase == stopping && !r.stopConfirmed && r.stopCall == 0 && !now.Before(r.nextStop) {
			p.sendStop(r)
		}
	}
}

// mayPoll reports whether the bound of the concurrent polls of endpoints that
// are not held allows another one. Endpoints that have failed a poll get half of
// them: a new owner has others to poll, and those may be cut off.
func (p *Pool) mayPoll(e *endpoint) bool {
	limit := p.cfg.MaxProbes
	if e.pollFailures > 0 {
		limit = (limit + 1) / 2
	}
	return e.ownership == ownershipHeld || p.probesInFlight < limit
}

func (p *Pool) newCall(e *endpoint) Call {
	p.lastCall++
	return Call{
		Number: p.lastCall, Endpoint: e.ID, Address: e.Address, Fence: e.fence, Timeout: p.latency.timeout(&p.cfg, p.window.Congested()),
	}
}

// addRunEvent emits a RunEvent. It is called before the run is changed or
// removed, so that the event has the state from before; only adopt calls it
// after the change.
func (p *Pool) addRunEvent(now time.Time, event Event, r *run) {
	pollAge := time.Duration(-1)
	if !r.endpoint.polledAt.IsZero() {
		pollAge = now.Sub(r.endpoint.polledAt)
	}
	e := RunEvent{
		Event: event, Key: r.id.key, Run: r.id.run, Endpoint: r.endpoint.ID, Age: now.Sub(r.knownSince), PollAge: pollAge, HasTask: r.task != nil,
	}
	if r.task != nil {
		e.Home, e.Placement = r.task.batch.home.Instance, r.task.placement
	}
	p.actions = append(p.actions, e)
}

// loseRun removes a run that ended without a result and requeues its task.
func (p *Pool) loseRun(now time.Time, r *run, event Event) {
	t := r.task
	if t != nil || event == LeaseExpired {
		p.addRunEvent(now, event, r)
	}
	p.removeRun(r)
	if t == nil {
		return
	}
	p.stats.Lost++
	p.requeue(t)
}

// removeRun removes a run from its endpoint and frees its room.
func (p *Pool) removeRun(r *run) {
	e := r.endpoint
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
	if r.claimed {
		e.usedRoom = e.usedRoom.Sub(r.room)
	} else {
		e.unclaimed--
	}
	if r.task != nil && r.task.run == r {
		r.task.run = nil
	}
	r.task = nil
	remaining := slices.DeleteFunc(p.runsByTask[r.id.key], func(o *run) bool { return o == r })
	if len(remaining) == 0 {
		delete(p.runsByTask, r.id.key)
		return
	}
	p.runsByTask[r.id.key] = remaining
}

// flush returns the actions and reports since the last call.
func (p *Pool) flush() []Action {
	p.reportCrashes()
	actions := p.actions
	p.actions = nil
	if len(p.pendingEnds) == 0 {
		return actions
	}
	homes := slices.SortedFunc(maps.Keys(p.pendingEnds), func(a, b ident.Process) int {
		return cmp.Or(strings.Compare(string(a.Instance), string(b.Instance)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, to := range homes {
		actions = append(actions, Report{To: to, Ends: p.pendingEnds[to]})
	}
	clear(p.pendingEnds)
	return actions
}
