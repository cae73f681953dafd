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
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// event is something that happens at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// node is one instance.
type node struct {
	index   int
	process ident.Process
	core    *dispatcher.Core
	up      bool
	frozen  bool
	// dark nodes were killed by a loss of power and send no resets.
	dark bool
	// held holds what arrived while the node was frozen.
	held []func()
	// lag is how far its steady clock stands behind after suspensions.
	lag time.Duration
	dc  ident.DataCentre
	// requests maps open requests to their jobs.
	requests map[home.Request]*call
	next     home.Request
	// storeCut is set while the node cannot reach the store.
	storeCut bool
	// links holds the processes that it has a link to.
	links map[int]ident.Process
}

// station is an endpoint with what happens to it.
type station struct {
	index    int
	e        *leased.Endpoint
	down     bool
	late     float64 // share of orders that are carried out late
	lost     float64 // share of answers that are lost
	draining time.Time
	// silent is when the endpoint was cut off from the store, or zero.
	silent  time.Time
	waiters []func()
	wakeAt  time.Time
}

// call is a job of a caller, with its tries.
type call struct {
	spec    job.Spec
	tries   int
	refused int
	left    time.Time
	result  home.Result
	pending bool
	// at is the process that has the newest try.
	at   ident.Process
	done map[job.Key]int
}

// fleet simulates instances, endpoints, links, the store and callers.
type fleet struct {
	t        testing.TB
	rnd      *rand.Rand
	now      time.Time
	seq      int
	queue    events
	nodes    []*node
	stations []*station
	// cut holds the pairs that cannot reach each other.
	nodeCut    map[[2]int]bool
	stationCut map[[2]int]bool
	storeDown  bool
	storeFrom  time.Time
	// disturbed is when a node or link was last out of order.
	disturbed time.Time
	calls     []*call
	byID      map[job.ID]*call
	running   map[job.Key]map[int]*station
	starts    int
	finished  int
	cfg       dispatcher.Config
}

const (
	// entryTTL is how long an entry lives after its endpoint was cut off from
	// the store.
	entryTTL  = 4500 * time.Millisecond
	service   = ident.Service("render")
	drainTime = 2 * time.Second
	// stability is how long instances and links must have been in order for the
	// time of a drain to bind: an owner that was cut off until 0.2 s ago (seed
	// 1015) has not read the entry yet.
	stability = 3 * time.Second
	resend    = 1300 * time.Millisecond
	deadline  = 1500 * time.Millisecond
)

func newFleet(t testing.TB, seed uint64, nodes, stations int) *fleet {
	f := &fleet{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		nodeCut: map[[2]int]bool{}, stationCut: map[[2]int]bool{}, byID: map[job.ID]*call{},
		running: map[job.Key]map[int]*station{},
	}
	for i := range stations {
		s := &station{index: i}
		s.e = &leased.Endpoint{
			Entry: owner.Endpoint{
				ID: ident.EndpointID(fmt.Sprint("e-", i)), Address: fmt.Sprint("e-", i), Service: service,
				DataCentre: dataCentre(i), Labels: []string{"a", fmt.Sprint("r-", i%2)}, Room: job.Room{CPU: 32_000, Memory: 1000},
			},
			LeaseMax: time.Second, Rate: 0.98 + 0.02*f.rnd.Float64(),
			Plan: f.plan, Needs: f.needs,
			OnStart: func(now time.Time, key job.Key, run int) { f.started(s, now, key, run) },
			OnEnd:   func(now time.Time, key job.Key, run int, how owner.How) { f.ended(s, now, key, run, how) },
		}
		s.e.Boot(f.now)
		f.stations = append(f.stations, s)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &node{index: i, dc: dataCentre(i)})
		f.boot(f.nodes[i])
	}
	return f
}

func dataCentre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint("dc-", i%2)) }

// at schedules f.
func (f *fleet) at(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now.Add(max(0, d)), seq: f.seq, run: run})
}

// logf traces the replay of one seed.
func (f *fleet) logf(format string, args ...any) {
	if *seedFlag != 0 {
		f.t.Logf("%.4f "+format, append([]any{f.now.Sub(time.Unix(1_800_000_000, 0)).Seconds()}, args...)...)
	}
}

// run lets d pass.
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
	return 200*time.Microsecond + time.Duration(f.rnd.Int64N(int64(3*time.Millisecond)))
}

// chance reports true for a share p of its calls.
func (f *fleet) chance(p float64) bool { return f.rnd.Float64() < p }

// boot starts a new process of the node.
func (f *fleet) boot(n *node) {
	n.process = ident.Process{
		Instance: ident.InstanceID(fmt.Sprint("n-", n.index)), Incarnation: ident.Incarnation(f.now.UnixMicro()) + ident.Incarnation(n.index),
	}
	n.up, n.frozen, n.held, n.lag = true, false, nil, 0
	n.requests, n.links = map[home.Request]*call{}, map[int]ident.Process{}
	cfg := f.cfg
	cfg.Leader = leader.Config{Self: n.process, DataCentre: n.dc}
	cfg.Unique = f.rnd.Uint32()
	var err error
	n.core, err = dispatcher.New(f.now, cfg, leader.Seniority(f.now.UnixMilli()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.tick(n, n.process)
	f.readStore(n, n.process)
	for _, o := range f.nodes {
		if o != n {
			f.connect(n, o)
		}
	}
}

// on runs what happens at a process of the node, after it wakes if it is
// frozen.
func (f *fleet) on(n *node, p ident.Process, run func()) {
	switch {
	case !n.up || n.process != p:
	case n.frozen:
		n.held = append(n.held, run)
	default:
		run()
	}
}

// clock returns the time at the node.
func (f *fleet) clock(n *node) time.Time { return f.now.Add(-n.lag) }

func (f *fleet) tick(n *node, p ident.Process) {
	f.at(25*time.Millisecond, func() {
		if !f.calm() {
			f.disturbed = f.now
		}
		f.on(n, p, func() {
			f.act(n, n.core.Tick(f.clock(n)))
			f.tick(n, p)
		})
	})
}

// readStore reads the list of endpoints and the members.
func (f *fleet) readStore(n *node, p ident.Process) {
	f.at(500*time.Millisecond, func() {
		f.on(n, p, func() {
			f.readStore(n, p)
			if f.storeDown || n.storeCut {
				return
			}
			var list []leader.Member
			for _, o := range f.nodes {
				if o.up && !o.storeCut {
					list = append(list, leader.Member{Instance: o.process.Instance, DataCentre: o.dc})
				}
			}
			n.core.Listed(f.clock(n), list)
			if n.core.WantsList() {
				f.readList(n, p)
			}
		})
	})
}

// readList reads the list of endpoints.
func (f *fleet) readList(n *node, p ident.Process) {
	if f.storeDown || n.storeCut {
		return
	}
	f.at(4*time.Millisecond, func() {
		f.on(n, p, func() {
			var entries []owner.Endpoint
			for _, s := range f.stations {
				if !s.down && (s.silent.IsZero() || f.now.Sub(s.silent) < entryTTL) {
					entries = append(entries, s.e.Entry)
				}
			}
			actions, _ := n.core.SetList(f.clock(n), entries)
			f.act(n, actions)
		})
	})
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// connect keeps trying to link two nodes.
func (f *fleet) connect(a, b *node) {
	pa, pb := a.process, b.process
	f.at(20*time.Millisecond+f.delay()*20, func() {
		switch {
		case a.process != pa || b.process != pb || !a.up || !b.up:
			return
		case a.links[b.index] == pb || b.links[a.index] == pa:
			return
		case f.nodeCut[pair(a.index, b.index)] || a.frozen || b.frozen:
			f.connect(a, b)
			return
		}
		a.links[b.index], b.links[a.index] = pb, pa
		f.on(a, pa, func() { f.act(a, a.core.Up(f.clock(a), pb, b.dc)) })
		f.on(b, pb, func() { f.act(b, b.core.Up(f.clock(b), pa, a.dc)) })
	})
}

// disconnect ends the link at n to o. The other side notices unless it is cut
// off.
func (f *fleet) disconnect(n, o *node) {
	p, linked := n.links[o.index]
	if !linked {
		return
	}
	delete(n.links, o.index)
	np := n.process
	f.on(n, np, func() { f.act(n, n.core.Down(f.clock(n), p)) })
	if f.nodeCut[pair(n.index, o.index)] {
		f.at(3*time.Second, func() { f.broken(o, n, np) })
	} else {
		f.at(f.delay(), func() { f.broken(o, n, np) })
	}
	f.at(50*time.Millisecond, func() { f.connect(n, o) })
}

// broken ends the link at n to the process p of o, if it is still that one.
func (f *fleet) broken(n, o *node, p ident.Process) {
	if n.up && n.links[o.index] == p {
		delete(n.links, o.index)
		f.on(n, n.process, func() { f.act(n, n.core.Down(f.clock(n), p)) })
		f.connect(n, o)
	}
}

// act carries out what a core decided.
func (f *fleet) act(n *node, actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Look:
			f.look(n, a)
		case owner.Start:
			f.logf("node %d sends start %v run %d to %v under epoch %d", n.index, a.Key, a.Run, a.Endpoint, a.Fence.Epoch())
			f.order(n, a.Endpoint, func(s *station) owner.Answered { return s.e.Start(f.now, a) }, a.Number)
		case owner.Stop:
			f.order(n, a.Endpoint, func(s *station) owner.Answered { return s.e.Stop(f.now, a) }, a.Number)
		case home.Answer:
			f.answered(n, a)
		case dispatcher.Send:
			f.send(n, a)
		case dispatcher.Following:
			if a.Own {
				f.readList(n, n.process)
			}
			f.logf("node %d follows %v own=%v epoch=%d isolated=%v", n.index, a.Owner.Instance, a.Own, a.Epoch, a.Isolated)
		case dispatcher.Isolation:
			f.logf("node %d isolated=%v", n.index, a.Isolated)
		case dispatcher.Retire:
			f.logf("node %d retires %v", n.index, a.Peer.Instance)
			for _, o := range f.nodes {
				if n.links[o.index] == a.Peer {
					f.disconnect(n, o)
				}
			}
		}
	}
}

// send delivers a message over a link in order.
func (f *fleet) send(n *node, s dispatcher.Send) {
	for _, o := range f.nodes {
		if n.links[o.index] != s.To {
			continue
		}
		if o.links[n.index] != n.process {
			// The other side has closed the connection and resets it.
			if p := s.To; (o.up || !o.dark) && !f.nodeCut[pair(n.index, o.index)] {
				f.at(f.delay(), func() { f.broken(n, o, p) })
			}
			continue
		}
		if f.nodeCut[pair(n.index, o.index)] {
			return
		}
		from, to := n.process, s.To
		// Equal delays keep the order of a link.
		f.at(time.Millisecond, func() {
			f.on(o, to, func() {
				if o.links[n.index] == from {
					f.act(o, o.core.Receive(f.clock(o), from, s.Message))
				}
			})
		})
	}
}
