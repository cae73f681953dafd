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

// fleet drives the decision code of several instances through one schedule of
// messages, losses, pauses and restarts, all drawn from one seed.
type fleet struct {
	t         *testing.T
	seed      uint64
	rnd       *rand.Rand
	now       time.Time
	nodes     []*node
	endpoints []*endpoint
	events    []timed
	sequence  int
	wires     map[[2]int]*wire
	revision  *configpb.Revision
	subs      []*submitted
	listed    []work.Instance
	storeDown bool
	// starts counts what endpoints started, by task name.
	starts map[string]int
	// limits holds what is not to be exceeded in flight at endpoints, inFlight
	// what is there now and most the highest count.
	limits, inFlight, most map[quota.LimitName]int
	record                 sharesRecord
	// lossy makes writes of the record lose their replies.
	lossy bool
	// spent is the cost of all runs at 1000 micros per second.
	spent quota.Count
	// perDC and dcs are the planned sizes.
	perDC, dcs int
}

// timed is something that happens at a time, in order of scheduling.
type timed struct {
	at    time.Time
	order int
	do    func()
}

// node is one entry instance process and its successors.
type node struct {
	index       int
	id          ident.InstanceID
	dc          ident.DataCentre
	incarnation ident.Incarnation
	core        *instance.Core
	down        bool
	pausedUntil time.Time
	waiting     []instance.Event
	reading     bool
	// storeless is true while only this node can't reach the store.
	storeless   bool
	revision    ident.Revision
	calls       map[uint64]*running
	requests    map[uint64]*submitted
	nextRequest uint64
	left        bool
}

func (n *node) process() ident.Process {
	return ident.Process{Instance: n.id, Incarnation: n.incarnation}
}

// wire is one direction of a link. Messages wait in order.
type wire struct {
	up    bool
	queue []*peerpb.Message
}

// endpoint is a worker with slots and faults.
type endpoint struct {
	row      work.Instance
	speed    float64
	busy     map[string]int
	running  int
	failing  bool
	silent   bool
	draining bool
	gone     bool
}

// running is one call under way.
type running struct {
	task  *work.Task
	ended bool
	leave func()
}

// longestDeadline bounds the deadlines in the random schedules.
const longestDeadline = 9 * time.Second

// submitted is one submission as its caller sees it.
type submitted struct {
	s       work.Submission
	digest  uint64
	tries   int
	refused *fault.Error
	answer  *work.Answer
	// unknown is true when some try ended without a definite word.
	unknown bool
}

const (
	sheetPress  = "sheet-press"
	sheetRender = "sheet-render"
)

func newFleet(t *testing.T, seed uint64, dcs, perDC, perDCEndpoints int) *fleet {
	f := &fleet{
		t:        t,
		seed:     seed,
		rnd:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1_700_000_000, 0),
		wires:    map[[2]int]*wire{},
		starts:   map[string]int{},
		perDC:    perDC,
		dcs:      dcs,
		inFlight: map[quota.LimitName]int{},
		most:     map[quota.LimitName]int{},
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
			n := &node{index: len(f.nodes), id: ident.InstanceID("entry-" + strconv.Itoa(len(f.nodes))), dc: dc}
			f.nodes = append(f.nodes, n)
			f.listed = append(f.listed, work.Instance{ID: string(n.id), Kind: work.KindEntry, DataCentre: dc, Address: string(n.id)})
		}
		for _, service := range []ident.Service{sheetPress, sheetRender} {
			for range perDCEndpoints {
				row := work.Instance{ID: "worker-" + strconv.Itoa(len(f.endpoints)), Kind: work.KindEndpoint,
					DataCentre: dc, Address: "a", Incarnation: 1, Service: service, Slots: 3, Connections: 64}
				f.endpoints = append(f.endpoints, &endpoint{row: row, speed: 0.25 + f.rnd.Float64()*0.75, busy: map[string]int{}})
				f.listed = append(f.listed, row)
			}
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// apply makes the next revision of the configuration.
func (f *fleet) apply(file *configpb.File) {
	f.revision = config.Next(f.revision, file, strconv.Itoa(f.rnd.Int()), "operator", f.now)
}

func (f *fleet) at(d time.Duration, do func()) {
	f.sequence++
	f.events = append(f.events, timed{f.now.Add(d), f.sequence, do})
}

// run lets time pass up to d, with a tick for each node at each interval.
func (f *fleet) run(d time.Duration) {
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
		for _, n := range f.nodes {
			f.handle(n, instance.Tick{})
		}
		f.deliver()
		if f.rnd.IntN(50) == 0 {
			f.readStore()
		}
	}
}

func (f *fleet) earliest() int {
	best := -1
	for i, e := range f.events {
		if best < 0 || e.at.Before(f.events[best].at) || e.at.Equal(f.events[best].at) && e.order < f.events[best].order {
			best = i
		}
	}
	return best
}

// start starts the next process of a node.
func (f *fleet) start(n *node) {
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
	n.core, n.down, n.left, n.reading, n.revision = core, false, false, false, 0
	n.calls, n.requests, n.waiting = map[uint64]*running{}, map[uint64]*submitted{}, nil
	for _, o := range f.nodes {
		if o.core != nil && !o.down && o != n {
			f.connect(n, o)
		}
	}
}

// connect brings up both directions of a link.
func (f *fleet) connect(a, b *node) {
	f.wires[[2]int{a.index, b.index}] = &wire{up: true}
	f.wires[[2]int{b.index, a.index}] = &wire{up: true}
	f.handle(a, instance.PeerUp{Peer: b.process(), DataCentre: b.dc, Address: string(b.id)})
	f.handle(b, instance.PeerUp{Peer: a.process(), DataCentre: a.dc, Address: string(a.id)})
}

// cut loses a link: of the messages that wait, the first ones may be lost and
// the rest were never handed to the connection.
func (f *fleet) cut(a, b *node) {
	for _, ends := range [][2]*node{{a, b}, {b, a}} {
		w := f.wires[[2]int{ends[0].index, ends[1].index}]
		if w == nil || !w.up {
			continue
		}
		w.up = false
		unsent := w.queue[f.rnd.IntN(len(w.queue)+1):]
		w.queue = nil
		f.handle(ends[0], instance.PeerDown{Peer: ends[1].process(), Unsent: unsent})
	}
}

// kill ends a process at once.
func (f *fleet) kill(n *node) {
	n.down = true
	for _, s := range n.requests {
		s.unknown = true
	}
	n.requests = nil
	for _, o := range f.nodes {
		if o != n {
			f.cut(n, o)
		}
	}
}

// leave ends a process that has drained. It must have answered everything.
func (f *fleet) leave(n *node, a instance.Leave) {
	if a.Reason == fault.Draining && len(n.requests) > 0 {
		f.t.Fatalf("seed %d: %s left with %d requests in flight", f.seed, n.id, len(n.requests))
	}
	n.left = true
	f.at(time.Millisecond, func() { f.kill(n) })
}

// deliver passes on some of the messages that wait.
func (f *fleet) deliver() {
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			w := f.wires[[2]int{from.index, to.index}]
			if w == nil || !w.up {
				continue
			}
			k := min(len(w.queue), f.rnd.IntN(8))
			batch := slices.Clone(w.queue[:k])
			w.queue = w.queue[k:]
			if k > 0 {
				// A frame carries the sender's loads.
				f.handle(to, instance.PeerLoad{Peer: from.process(), Loads: from.core.Loads(f.now)})
			}
			for _, m := range batch {
				f.handle(to, instance.PeerMessage{Peer: from.process(), Message: m})
			}
		}
	}
}

func (f *fleet) readStore() {
	for _, n := range f.nodes {
		if n.reading && !n.storeless && !f.storeDown {
			f.handle(n, instance.Listed{Instances: slices.Clone(f.listed)})
			f.handle(n, instance.ConfigRead{Revision: f.revision})
		}
	}
}

// handle passes an event to a node, or keeps it while the node is paused.
func (f *fleet) handle(n *node, ev instance.Event) {
	if n.down || n.core == nil {
		return
	}
	if f.now.Before(n.pausedUntil) {
		if _, tick := ev.(instance.Tick); !tick {
			n.waiting = append(n.waiting, ev)
		}
		return
	}
	waiting := append(n.waiting, ev)
	n.waiting = nil
	for len(waiting) > 0 {
		ev, waiting = waiting[0], waiting[1:]
		for _, a := range slices.Clone(n.core.Handle(f.now, ev)) {
			if back := f.act(n, a); back != nil {
				waiting = append(waiting, back)
			}
		}
	}
}

func (f *fleet) act(n *node, a instance.Action) instance.Event {
	switch a := a.(type) {
	case instance.Send:
		for _, o := range f.nodes {
			w := f.wires[[2]int{n.index, o.index}]
			if o.process() == a.To && w != nil && w.up {
				w.queue = append(w.queue, a.Message)
				return nil
			}
		}
		return instance.Undelivered{Peer: a.To, Messages: []*peerpb.Message{a.Message}}
	case instance.Start:
		f.call(n, a)
	case instance.Abort:
		if r := n.calls[a.Call]; r != nil {
			f.end(n, a.Call, r, work.Result{Failure: fault.New(fault.Cancelled, fault.RanYes)})
		}
	case instance.ReadShares, instance.WriteShares:
		f.shares(n, a)
	case instance.AskStatus:
		f.status(n, a.Endpoint)
	case instance.Reply:
		f.replied(n, a)
	case instance.ReadStore:
		n.reading = a.Active
	case instance.InForce:
		if a.Snapshot.Revision() <= n.revision {
			f.t.Fatalf("seed %d: %s went from revision %d to %d", f.seed, n.id, n.revision, a.Snapshot.Revision())
		}
		n.revision = a.Snapshot.Revision()
	case instance.Leave:
		f.leave(n, a)
	}
	return nil
}
