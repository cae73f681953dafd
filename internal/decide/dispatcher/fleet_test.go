package dispatcher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// event is a function to run at a simulated time. Events of the same time run
// in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simInstance is a simulated instance.
type simInstance struct {
	index   int
	process ident.Process
	core    *dispatcher.Core
	up      bool
	paused  bool
	// powerLost is set when the whole machine went down by a loss of power: its
	// peers then get no connection resets.
	powerLost bool
	// deferred holds the calls that arrived while the instance was paused.
	deferred []func()
	// clockLag is how far its monotonic clock is behind after suspensions.
	clockLag time.Duration
	dc       ident.DataCentre
	// requests maps open requests to their jobs.
	requests    map[home.RequestID]*simJob
	nextRequest home.RequestID
	// storeCut is set while the instance cannot reach the store.
	storeCut bool
	// links maps the index of each linked instance to its process.
	links map[int]ident.Process
	// callersCut is set while callers cannot reach the instance. Their channels
	// hang.
	callersCut bool
	// clockStep is how far the time of day is off on the machine, and
	// clockOffset what it was at the start of the process.
	clockStep, clockOffset time.Duration
	// highestSeen holds the highest incarnation of each other instance that the
	// process has linked to. It refuses links to lower ones, as adapter/peer does.
	highestSeen map[int]ident.Incarnation
	// unlistedUntil is until when the store lacks the instance.
	unlistedUntil time.Time
}

// simEndpoint is a fake endpoint with its simulated faults.
type simEndpoint struct {
	index int
	fake  *leased.Endpoint
	down  bool
	// refuses is set if it refuses connections while it is down, as a machine
	// does whose process has crashed.
	refuses       bool
	lateShare     float64 // share of calls that are carried out late
	lostShare     float64 // share of answers that are lost
	refusedShare  float64 // share of starts that are refused
	drainingSince time.Time
	// storeCutSince is when the endpoint lost its connection to the store, or
	// zero.
	storeCutSince time.Time
	// unlistedUntil is until when the store lacks the endpoint.
	unlistedUntil time.Time
	// pendingPolls holds the functions that answer the waiting polls.
	pendingPolls []func()
	wakeAt       time.Time
}

// simJob is a job of a simulated caller, with the number of its submissions.
type simJob struct {
	spec           job.Spec
	submissions    int
	refused        int
	disconnectedAt time.Time
	result         home.Result
	pending        bool
	// submittedTo is the process that the latest submission went to.
	submittedTo ident.Process
	// submittedAt is the time of the latest submission.
	submittedAt time.Time
	// deadline is that of each submission, and limit their greatest number.
	deadline time.Duration
	limit    int
	// started is set once a run of a task has started.
	started bool
	// completions counts, for each task, the runs that completed.
	completions map[job.Key]int
}

// fleet simulates instances, endpoints, links, the store and callers.
type fleet struct {
	t         testing.TB
	rng       *rand.Rand
	now       time.Time
	seq       int
	queue     eventQueue
	instances []*simInstance
	endpoints []*simEndpoint
	// instanceCuts and endpointCuts hold the pairs that cannot reach each
	// other.
	instanceCuts map[[2]int]bool
	endpointCuts map[[2]int]bool
	// oneWayCuts holds the sender and receiver of messages between instances
	// that do not arrive, and answerCuts the instance and the endpoint whose
	// answers do not. callDelays holds how much later the calls of an instance
	// to an endpoint and their answers arrive.
	oneWayCuts, answerCuts map[[2]int]bool
	callDelays             map[[2]int]time.Duration
	// leaveShare is the share of callers that leave before the answer.
	leaveShare float64
	// silentPowerLoss makes callers wait until their deadline after a loss of
	// power: their channels hang.
	silentPowerLoss bool
	// learnedTimeouts makes calls time out when the instance says so, and not
	// after callTimeout.
	learnedTimeouts bool
	// longest is the longest duration of a task, and shortest the shortest.
	shortest, longest time.Duration
	// cpu bounds what a task needs, and jobDeadline is that of new jobs.
	minCPU, cpuRange int64
	jobDeadline      time.Duration
	// tracker, unless it is nil, records what is reported of a task that runs
	// twice.
	tracker      *tracker
	dataCentres  int
	storeDown    bool
	storeUpSince time.Time
	// lastFaultAt is when an instance, a link or a path to an endpoint last had
	// a fault; see healthy.
	lastFaultAt time.Time
	simJobs     []*simJob
	jobsByID    map[job.ID]*simJob
	// running maps each task to the endpoints that run it, by index.
	running  map[job.Key]map[int]*simEndpoint
	starts   int
	finished int
	refused  int
	cfg      dispatcher.Config
	// linkNumbers counts the links that each pair of instances has had.
	linkNumbers map[[2]int]int
	// slow delays messages, unless it is nil: then all take a millisecond.
	slow *slowLinks
	// strength is that of all instances.
	strength group.Strength
	// maxSubmissions is how often a caller submits a job at most.
	maxSubmissions int
	// divisions counts the instances that saw the fleet divided, once for each
	// time.
	divisions int
	// steppedDown counts the owners that stepped down.
	steppedDown int
}

const (
	// entryTTL is how long the store lists an endpoint after its connection to
	// the store was lost.
	entryTTL = 4500 * time.Millisecond
	service  = ident.Service("render")
	// drainTime is how long an endpoint drains before it goes down. A start on
	// an endpoint that has been draining for longer counts as a failure, unless
	// the store has been up for less than that.
	drainTime = 2 * time.Second
	// settleTime is how long instances, links and paths to endpoints must have
	// been without faults before a start on an endpoint that has been draining
	// for drainTime counts as a failure. An owner whose connection came back
	// just before, such as 0.2 s ago with seed 1015, has not read yet that the
	// endpoint is draining.
	settleTime    = 3 * time.Second
	resubmitDelay = 1300 * time.Millisecond
	deadline      = 1500 * time.Millisecond
)

// newFleet returns a fleet whose instances can own as many endpoints as strength
// allows.
func newFleet(t testing.TB, seed uint64, instances, endpoints int, strength group.Strength) *fleet {
	return newFleetIn(t, seed, 2, instances, endpoints, strength)
}

// newFleetIn is newFleet for a number of data centres.
func newFleetIn(t testing.TB, seed uint64, dataCentres, instances, endpoints int, strength group.Strength) *fleet {
	f := &fleet{
		// The layout follows each endpoint that leaves the list, so that it changes often.
		cfg:      dispatcher.Config{LayoutMemory: time.Nanosecond},
		strength: strength, maxSubmissions: 4, leaveShare: 0.05, dataCentres: dataCentres,
		shortest: 30 * time.Millisecond, longest: 430 * time.Millisecond, minCPU: 8000, cpuRange: 12_000, jobDeadline: deadline,
		oneWayCuts: map[[2]int]bool{}, answerCuts: map[[2]int]bool{}, callDelays: map[[2]int]time.Duration{},
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		instanceCuts: map[[2]int]bool{}, endpointCuts: map[[2]int]bool{}, jobsByID: map[job.ID]*simJob{},
		running: map[job.Key]map[int]*simEndpoint{}, linkNumbers: map[[2]int]int{},
	}
	for i := range endpoints {
		s := &simEndpoint{index: i}
		s.fake = &leased.Endpoint{
			Entry: owner.Endpoint{
				ID: ident.EndpointID(fmt.Sprint("e-", i)), Address: fmt.Sprint("e-", i), Service: service,
				DataCentre: f.dataCentre(i), Labels: []string{"a", fmt.Sprint("r-", i%2)}, Room: job.Room{CPU: 32_000, Memory: 1000},
			},
			MaxLease: time.Second, ClockRate: 0.98 + 0.02*f.rng.Float64(),
			PlanOf: f.planOf, RoomOf: f.roomOf,
			OnStart: func(now time.Time, key job.Key, run int) { f.checkStart(s, now, key, run) },
			OnEnd: func(now time.Time, key job.Key, run int, reason owner.EndReason) {
				f.recordEnd(s, now, key, run, reason)
			},
		}
		s.fake.Restart(f.now)
		f.endpoints = append(f.endpoints, s)
	}
	for i := range instances {
		f.instances = append(f.instances, &simInstance{index: i, dc: f.dataCentre(i)})
		f.boot(f.instances[i])
	}
	return f
}

func (f *fleet) dataCentre(i int) ident.DataCentre {
	return ident.DataCentre(fmt.Sprint("dc-", i%f.dataCentres))
}

// at schedules run to happen after d.
func (f *fleet) at(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now.Add(max(0, d)), seq: f.seq, run: run})
}

// logf logs with the simulated time when one seed is replayed.
func (f *fleet) logf(format string, args ...any) {
	if *seedFlag != 0 {
		f.t.Logf("%.4f "+format, append([]any{f.now.Sub(time.Unix(1_800_000_000, 0)).Seconds()}, args...)...)
	}
}

// run runs the events of the next period d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(f.rng.Int64N(int64(3*time.Millisecond)))
}

// chance returns true with probability p.
func (f *fleet) chance(p float64) bool { return f.rng.Float64() < p }

// boot starts a new process of the instance.
func (f *fleet) boot(n *simInstance) {
	n.clockOffset = n.clockStep
	n.process = ident.Process{
		Instance: ident.InstanceID(fmt.Sprint("n-", n.index)), Incarnation: ident.Incarnation(f.now.Add(n.clockOffset).UnixMicro()) + ident.Incarnation(n.index),
	}
	n.up, n.paused, n.deferred, n.clockLag = true, false, nil, 0
	n.highestSeen = map[int]ident.Incarnation{}
	n.requests, n.links = map[home.RequestID]*simJob{}, map[int]ident.Process{}
	cfg := f.cfg
	cfg.Leader = leader.Config{Self: n.process, DataCentre: n.dc, Strength: f.strength}
	cfg.FenceNonce = f.rng.Uint32()
	var err error
	n.core, err = dispatcher.New(f.clock(n), cfg, leader.Seniority(f.clock(n).UnixMilli()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.tick(n, n.process)
	f.readStore(n, n.process)
	for _, o := range f.instances {
		if o != n {
			f.connect(n, o)
		}
	}
}

// deliver calls run if process p of the instance still runs. If the instance is
// paused, the call is deferred until it resumes.
func (f *fleet) deliver(n *simInstance, p ident.Process, run func()) {
	switch {
	case !n.up || n.process != p:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

// clock returns the time on the monotonic clock of the instance, which began as
// the time of day on its machine.
func (f *fleet) clock(n *simInstance) time.Time { return f.now.Add(n.clockOffset - n.clockLag) }

// clockAt returns what the clock of the instance showed at a simulated time,
// if it was not suspended since.
func (f *fleet) clockAt(n *simInstance, at time.Time) time.Time {
	return at.Add(n.clockOffset - n.clockLag)
}

func (f *fleet) tick(n *simInstance, p ident.Process) {
	f.at(25*time.Millisecond, func() {
		if !f.healthy() {
			f.lastFaultAt = f.now
		}
		f.deliver(n, p, func() {
			f.apply(n, n.core.Tick(f.clock(n)))
			f.tick(n, p)
		})
	})
}

// readStore periodically reads the members, and the list of endpoints if the
// instance wants it.
func (f *fleet) readStore(n *simInstance, p ident.Process) {
	f.at(500*time.Millisecond, func() {
		f.deliver(n, p, func() {
			f.readStore(n, p)
			if f.storeDown || n.storeCut {
				return
			}
			var list []leader.Member
			for _, o := range f.instances {
				if o.up && !o.storeCut && !f.now.Before(o.unlistedUntil) {
					list = append(list, leader.Member{Instance: o.process.Instance, DataCentre: o.dc, Strength: f.strength})
				}
			}
			n.core.SetMembers(f.clock(n), list)
			if n.core.NeedsEndpoints(f.clock(n)) {
				f.readList(n, p)
			}
		})
	})
}

// readList reads the list of endpoints.
func (f *fleet) readList(n *simInstance, p ident.Process) {
	if f.storeDown || n.storeCut {
		return
	}
	f.at(4*time.Millisecond, func() {
		f.deliver(n, p, func() {
			var entries []owner.Endpoint
			for _, s := range f.endpoints {
				if !s.down && (s.storeCutSince.IsZero() || f.now.Sub(s.storeCutSince) < entryTTL) && !f.now.Before(s.unlistedUntil) {
					entries = append(entries, s.fake.Entry)
				}
			}
			f.logf("instance %d reads a list of %d endpoints", n.index, len(entries))
			actions, _ := n.core.UpdateEndpoints(f.clock(n), entries)
			f.apply(n, actions)
		})
	})
}

// apply carries out the actions that the core of an instance returned.
func (f *fleet) apply(n *simInstance, actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Poll:
			f.poll(n, a)
		case owner.Start:
			f.logf("instance %d sends start %v run %d to %v under epoch %d", n.index, a.Key, a.Run, a.Endpoint, a.Fence.Epoch())
			f.tracker.recordStart(f, n, a)
			f.sendCall(n, a.Call, func(s *simEndpoint) owner.CallResult {
				r := f.start(s, a)
				f.tracker.recordLease(f, n, s, r.Reply, a.LeaseUntil)
				return r
			})
		case owner.Stop:
			f.logf("instance %d sends stop %v run %d to %v", n.index, a.Key, a.Run, a.Endpoint)
			f.sendCall(n, a.Call, func(s *simEndpoint) owner.CallResult { return s.fake.Stop(f.now, a) })
		case owner.RunEvent:
			f.logf("instance %d: run %d of %v on %v %v", n.index, a.Run, a.Key, a.Endpoint, a.Event)
			f.tracker.recordRunEvent(a)
		case owner.TakeoverEvent:
			f.tracker.recordTakeover(a)
		case home.Answer:
			f.handleAnswer(n, a)
		case dispatcher.Send:
			f.send(n, a)
		case dispatcher.ReadEndpoints:
			f.readList(n, n.process)
		case dispatcher.SteppedDown:
			f.steppedDown++
		case dispatcher.LayoutChanged:
			f.logf("instance %d sees the layout %v", n.index, a.Layout)
			if a.Layout == group.ByDataCentre {
				f.divisions++
			}
		case dispatcher.OwnerChanged:
			f.tracker.recordOwner(f, n, a)
			f.tracker.recordIsolation(n, a.Isolated)
			if a.Own {
				f.readList(n, n.process)
			}
			f.logf("instance %d follows %v own=%v epoch=%d isolated=%v", n.index, a.Owner.Instance, a.Own, a.Epoch, a.Isolated)
		case dispatcher.IsolationChanged:
			f.tracker.recordIsolation(n, a.Isolated)
			f.logf("instance %d isolated=%v", n.index, a.Isolated)
		case dispatcher.CloseLink:
			f.logf("instance %d closes the link to %v", n.index, a.Peer.Instance)
			for _, o := range f.instances {
				if n.links[o.index] == a.Peer {
					f.disconnect(n, o)
				}
			}
		}
	}
}
