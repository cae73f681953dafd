package instance_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// fleet is a simulated fleet. It runs the cores of several instances, with fake
// endpoints and a simulated clock, through a schedule of messages, losses,
// pauses and restarts that is drawn from one seed.
type fleet struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	now          time.Time
	instances    []*simInstance
	endpoints    []*fakeEndpoint
	events       []timedEvent
	lastOrder    int
	links        map[[2]int]*linkQueue
	revision     *configpb.Revision
	submissions  []*callerSubmission
	platformList []work.Instance
	storeDown    bool
	// starts counts the starts of each task at endpoints, by the task id.
	starts map[string]int
	// limits holds the most tasks that may be in flight at endpoints under each
	// limit, tasksUnderLimit the current number and peakInFlight the highest so
	// far.
	limits, tasksUnderLimit, peakInFlight map[quota.LimitName]int
	record                                sharesRecord
	// losesReplies makes some writes of the shares record lose their replies.
	losesReplies bool
	// spent is the cost of all runs, at 1000 micros per second.
	spent quota.Count
	// perDC is the planned number of instances per data centre, dcs that of
	// data centres.
	perDC, dcs int
}

// timedEvent is a function to call at a time. Events of the same time run in
// the order in which they were scheduled.
type timedEvent struct {
	at    time.Time
	order int
	do    func()
}

// simInstance is one simulated entry instance and its current process.
type simInstance struct {
	index       int
	id          ident.InstanceID
	dc          ident.DataCentre
	incarnation ident.Incarnation
	core        *instance.Core
	down        bool
	pausedUntil time.Time
	// pending holds the events that arrived during a pause.
	pending []instance.Event
	// reading is true while this instance is a store reader.
	reading bool
	// storeUnreachable is true while this instance can't reach the store.
	storeUnreachable bool
	revision         ident.Revision
	calls            map[uint64]*simCall
	requests         map[uint64]*callerSubmission
	nextRequest      uint64
	exited           bool
}

func (n *simInstance) process() ident.Process {
	return ident.Process{Instance: n.id, Incarnation: n.incarnation}
}

// linkQueue is one direction of a link, with its undelivered messages in order.
type linkQueue struct {
	up       bool
	messages []*peerpb.Message
}

// fakeEndpoint is a worker with slots and faults.
type fakeEndpoint struct {
	row work.Instance
	// speed divides the run times of tasks.
	speed float64
	// tasks counts the running starts of each task, by the task id. running is
	// their sum.
	tasks   map[string]int
	running int
	// failing makes all tasks fail.
	failing bool
	// dropsReplies makes the endpoint run tasks without a reply.
	dropsReplies bool
	// draining and unreachable make the endpoint refuse calls.
	draining    bool
	unreachable bool
}

// simCall is one call in flight.
type simCall struct {
	task  *work.Task
	ended bool
	// release removes the task from the counts that countInFlight has raised.
	release func()
}

// longestDeadline is a time that no deadline of the random schedules exceeds. A
// restarted process waits this long before it uses its floors.
const longestDeadline = 9 * time.Second

// callerSubmission is one submission and what its caller knows of it.
type callerSubmission struct {
	submission work.Submission
	digest     uint64
	// submits counts how often it was submitted.
	submits int
	refusal *fault.Error
	answer  *work.Answer
	// unknownOutcome is true when a request for the submission ended without an
	// answer and without a refusal that says that nothing ran. No check uses
	// it.
	unknownOutcome bool
}

// The services of the fleet. Only sheetRender is idempotent.
const (
	sheetPress  = "sheet-press"
	sheetRender = "sheet-render"
)

func newFleet(t *testing.T, seed uint64, dcs, perDC, endpointsPerDC int) *fleet {
	f := &fleet{
		t:               t,
		seed:            seed,
		random:          rand.New(rand.NewPCG(seed, 1)),
		now:             time.Unix(1_700_000_000, 0),
		links:           map[[2]int]*linkQueue{},
		starts:          map[string]int{},
		perDC:           perDC,
		dcs:             dcs,
		tasksUnderLimit: map[quota.LimitName]int{},
		peakInFlight:    map[quota.LimitName]int{},
	}
	f.apply(&configpb.File{
		Services: []*configpb.Service{
			{Name: sheetPress, MaxQueued: 1000, ExpectedRunTime: "100ms"},
			{Name: sheetRender, MaxQueued: 1000, ExpectedRunTime: "100ms", Idempotent: true, ResponseWeight: 1},
		},
		Teams: []*configpb.Team{{Name: "studio"}, {Name: "shop", Weight: 2}},
	})
	for d := range dcs {
		dc := ident.DataCentre("dc-" + strconv.Itoa(d))
		for range perDC {
			n := &simInstance{index: len(f.instances), id: ident.InstanceID("entry-" + strconv.Itoa(len(f.instances))), dc: dc}
			f.instances = append(f.instances, n)
			f.platformList = append(f.platformList, work.Instance{ID: string(n.id), Kind: work.KindEntry, DataCentre: dc, Address: string(n.id)})
		}
		for _, service := range []ident.Service{sheetPress, sheetRender} {
			for range endpointsPerDC {
				row := work.Instance{ID: "worker-" + strconv.Itoa(len(f.endpoints)), Kind: work.KindEndpoint,
					DataCentre: dc, Address: "a", Incarnation: 1, Service: service, Slots: 3, Connections: 64}
				f.endpoints = append(f.endpoints, &fakeEndpoint{row: row, speed: 0.25 + f.random.Float64()*0.75, tasks: map[string]int{}})
				f.platformList = append(f.platformList, row)
			}
		}
	}
	for _, n := range f.instances {
		f.start(n)
	}
	return f
}

// apply creates the next revision of the configuration.
func (f *fleet) apply(file *configpb.File) {
	f.revision = config.Next(f.revision, file, strconv.Itoa(f.random.Int()), "operator", f.now)
}

// schedule calls do after d.
func (f *fleet) schedule(d time.Duration, do func()) {
	f.lastOrder++
	f.events = append(f.events, timedEvent{f.now.Add(d), f.lastOrder, do})
}

// advance advances the clock by d. It runs the scheduled events, and at each
// tick interval sends every instance a tick and delivers messages.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		next := f.now.Add(instance.TickInterval)
		for {
			i := f.earliest()
			if i < 0 || f.events[i].at.After(next) {
				break
			}
			e := f.events[i]
			f.events[i] = f.events[len(f.events)-1]
			f.events = f.events[:len(f.events)-1]
			f.now = e.at
			e.do()
		}
		f.now = next
		for _, n := range f.instances {
			f.handle(n, instance.Tick{})
		}
		f.deliver()
		if f.random.IntN(50) == 0 {
			f.readStore()
		}
	}
}

// earliest returns the index of the next scheduled event, or -1.
func (f *fleet) earliest() int {
	best := -1
	for i, e := range f.events {
		if best < 0 || e.at.Before(f.events[best].at) || e.at.Equal(f.events[best].at) && e.order < f.events[best].order {
			best = i
		}
	}
	return best
}

// start starts the next process of an instance.
func (f *fleet) start(n *simInstance) {
	n.incarnation++
	cfg := instance.Config{Self: n.process(), DataCentre: n.dc, Address: string(n.id),
		Ordinal: n.index % f.perDC, InstancesPerDataCentre: f.perDC, DataCentres: f.dcs}
	if n.incarnation > 1 {
		cfg.FloorFrom = f.now.Add(longestDeadline)
	}
	core, err := instance.New(f.now, cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	n.core, n.down, n.exited, n.reading, n.revision = core, false, false, false, 0
	n.calls, n.requests, n.pending = map[uint64]*simCall{}, map[uint64]*callerSubmission{}, nil
	for _, o := range f.instances {
		if o.core != nil && !o.down && o != n {
			f.connect(n, o)
		}
	}
}

// connect opens both directions of a link.
func (f *fleet) connect(a, b *simInstance) {
	f.links[[2]int{a.index, b.index}] = &linkQueue{up: true}
	f.links[[2]int{b.index, a.index}] = &linkQueue{up: true}
	f.handle(a, instance.PeerUp{Peer: b.process(), DataCentre: b.dc, Address: string(b.id)})
	f.handle(b, instance.PeerUp{Peer: a.process(), DataCentre: a.dc, Address: string(a.id)})
}

// disconnect closes a link. A random number of the oldest undelivered messages
// is lost, and the rest counts as never handed to the connection.
func (f *fleet) disconnect(a, b *simInstance) {
	for _, ends := range [][2]*simInstance{{a, b}, {b, a}} {
		link := f.links[[2]int{ends[0].index, ends[1].index}]
		if link == nil || !link.up {
			continue
		}
		link.up = false
		unsent := link.messages[f.random.IntN(len(link.messages)+1):]
		link.messages = nil
		f.handle(ends[0], instance.PeerDown{Peer: ends[1].process(), Unsent: unsent})
	}
}

// kill ends a process at once, without a drain.
func (f *fleet) kill(n *simInstance) {
	n.down = true
	for _, s := range n.requests {
		s.unknownOutcome = true
	}
	n.requests = nil
	for _, o := range f.instances {
		if o != n {
			f.disconnect(n, o)
		}
	}
}

// exit ends a process that has drained or was replaced. After a drain it must
// have answered all requests.
func (f *fleet) exit(n *simInstance, a instance.Exit) {
	if a.Reason == fault.Draining && len(n.requests) > 0 {
		f.t.Fatalf("seed %d: %s exited with %d unanswered requests", f.seed, n.id, len(n.requests))
	}
	n.exited = true
	f.schedule(time.Millisecond, func() { f.kill(n) })
}

// deliver delivers some of the undelivered messages.
func (f *fleet) deliver() {
	for _, from := range f.instances {
		for _, to := range f.instances {
			link := f.links[[2]int{from.index, to.index}]
			if link == nil || !link.up {
				continue
			}
			count := min(len(link.messages), f.random.IntN(8))
			batch := slices.Clone(link.messages[:count])
			link.messages = link.messages[count:]
			if count > 0 {
				// A frame carries the sender's loads.
				f.handle(to, instance.PeerLoad{Peer: from.process(), Loads: from.core.Loads(f.now)})
			}
			for _, m := range batch {
				f.handle(to, instance.PeerMessage{Peer: from.process(), Message: m})
			}
		}
	}
}

// readStore passes the list and the configuration to the instances that read
// the store and can reach it.
func (f *fleet) readStore() {
	for _, n := range f.instances {
		if n.reading && !n.storeUnreachable && !f.storeDown {
			f.handle(n, instance.ListRead{Instances: slices.Clone(f.platformList)})
			f.handle(n, instance.ConfigRead{Revision: f.revision})
		}
	}
}

// handle passes an event to an instance and performs the resulting actions.
// Events for a paused instance are kept until it resumes, except for ticks.
func (f *fleet) handle(n *simInstance, ev instance.Event) {
	if n.down || n.core == nil {
		return
	}
	if f.now.Before(n.pausedUntil) {
		if _, tick := ev.(instance.Tick); !tick {
			n.pending = append(n.pending, ev)
		}
		return
	}
	pending := append(n.pending, ev)
	n.pending = nil
	for len(pending) > 0 {
		ev, pending = pending[0], pending[1:]
		for _, a := range slices.Clone(n.core.Handle(f.now, ev)) {
			if next := f.perform(n, a); next != nil {
				pending = append(pending, next)
			}
		}
	}
}

// perform carries out an action. It returns an event to handle next, or nil.
func (f *fleet) perform(n *simInstance, a instance.Action) instance.Event {
	switch a := a.(type) {
	case instance.Send:
		for _, o := range f.instances {
			link := f.links[[2]int{n.index, o.index}]
			if o.process() == a.To && link != nil && link.up {
				link.messages = append(link.messages, a.Message)
				return nil
			}
		}
		return instance.SendFailed{Peer: a.To, Messages: []*peerpb.Message{a.Message}}
	case instance.StartCall:
		f.startCall(n, a)
	case instance.AbortCall:
		if r := n.calls[a.Call]; r != nil {
			f.endCall(n, a.Call, r, work.Result{Failure: fault.New(fault.Cancelled, fault.RanYes)})
		}
	case instance.ReadShares, instance.WriteShares:
		f.accessShares(n, a)
	case instance.ReadStatus:
		f.answerStatus(n, a.Endpoint)
	case instance.Reply:
		f.handleReply(n, a)
	case instance.SetStoreReading:
		n.reading = a.Active
	case instance.PublishConfig:
		if a.Snapshot.Revision() <= n.revision {
			f.t.Fatalf("seed %d: %s went from revision %d to %d", f.seed, n.id, n.revision, a.Snapshot.Revision())
		}
		n.revision = a.Snapshot.Revision()
	case instance.Exit:
		f.exit(n, a)
	}
	return nil
}
