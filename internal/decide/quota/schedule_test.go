package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain fixes the seed of the generated tests.
func TestMain(m *testing.M) {
	rapidseed.Run(m, map[string]string{"rapid.checks": "300", "rapid.steps": "300"})
}

const (
	team = quota.LimitName("team/a")
	cost = quota.LimitName("cost/a")
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// fleet drives the Books and Granters of a few data centres and one stored
// Record. The naive reference is the list of all running tasks, and the sum of
// all costs by hour.
type fleet struct {
	t        fataler
	limits   []quota.Limit
	now      time.Time
	nodes    []*node
	granters map[ident.DataCentre]*node
	record   []byte
	revision int
	calls    int
	down     bool
	messages []message
	tasks    []*task
	spent    map[int64]quota.Count
	most     quota.Count
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// node is one instance with its own clock.
type node struct {
	dc      ident.DataCentre
	self    ident.Process
	offset  time.Duration
	rate    float64
	paused  time.Time
	cut     bool // from other instances and the store
	noStore bool
	book    *quota.Book
	granter *quota.Granter
}

type task struct {
	node  *node
	end   time.Time
	units quota.Units
	ended bool
}

// message is delivered at a time, or later if the receiver is paused.
type message struct {
	at      time.Time
	to      *node // nil for the store
	deliver func()
}

func newFleet(t fataler, limits []quota.Limit, dcs, instances int) *fleet {
	f := &fleet{t: t, limits: limits, now: start, granters: map[ident.DataCentre]*node{},
		spent: map[int64]quota.Count{}}
	for d := range dcs {
		for i := range instances {
			n := &node{dc: dataCentres(dcs)[d], rate: 1}
			n.self = ident.Process{Instance: ident.InstanceID(fmt.Sprintf("entry-%d-%d", d, i)), Incarnation: 1}
			n.book = quota.NewBook(n.self, quota.Place{DataCentre: n.dc, Ordinal: i, Instances: instances})
			n.granter = quota.NewGranter(n.self, n.dc)
			n.book.SetLimits(limits)
			n.granter.SetLimits(limits)
			f.nodes = append(f.nodes, n)
			if i == 0 {
				f.granters[n.dc] = n
			}
		}
	}
	return f
}

func dataCentres(n int) []ident.DataCentre {
	return []ident.DataCentre{"dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7"}[:n]
}

func testLimits(most quota.Count, floor float64, dcs int) []quota.Limit {
	return []quota.Limit{
		{Name: team, Max: most, FloorShare: floor, DataCentres: dataCentres(dcs)},
		{Name: cost, Max: 100 * most, FloorShare: floor, DataCentres: dataCentres(dcs), PerHour: true},
	}
}

func (f *fleet) local(n *node) time.Time {
	return start.Add(n.offset + time.Duration(float64(f.now.Sub(start))*n.rate))
}

func (f *fleet) send(to *node, delay time.Duration, deliver func()) {
	f.messages = append(f.messages, message{at: f.now.Add(delay), to: to, deliver: deliver})
}

// advance moves the time, delivers messages, ends tasks at their deadlines and
// checks the limits.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for delivered := true; delivered; {
		delivered = false
		for i, m := range f.messages {
			if m.at.After(f.now) || m.to != nil && m.to.paused.After(f.now) {
				continue
			}
			f.messages = slices.Delete(f.messages, i, i+1)
			m.deliver()
			delivered = true
			break
		}
	}
	f.check()
}

func (f *fleet) check() {
	running := quota.Count(0)
	f.tasks = slices.DeleteFunc(f.tasks, func(k *task) bool {
		k.ended = k.ended || !k.end.After(f.now)
		if !k.ended {
			running++
		}
		if k.ended && !k.node.paused.After(f.now) {
			k.node.book.Release(f.local(k.node), k.units)
			return true
		}
		return false
	})
	f.most = max(f.most, running)
	if running > f.limits[0].Max {
		f.t.Fatalf("%d tasks run, the limit is %d", running, f.limits[0].Max)
	}
	for hour, n := range f.spent {
		if n > f.limits[1].Max {
			f.t.Fatalf("%d micros spent in hour %d, the limit is %d", n, hour, f.limits[1].Max)
		}
	}
}

// begin starts a task that runs until its deadline or the given time.
func (f *fleet) begin(n *node, deadline, takes time.Duration) bool {
	now := f.local(n)
	u, ok := n.book.Take(now, now.Add(deadline), team)
	if ok {
		length := time.Duration(float64(min(deadline, takes)) / n.rate)
		f.tasks = append(f.tasks, &task{node: n, units: u, end: f.now.Add(length)})
	}
	return ok
}

// fill starts as many tasks as the nodes can, which run until their deadline.
func (f *fleet) fill(deadline time.Duration, nodes ...*node) {
	for _, n := range nodes {
		for ok := true; ok; {
			ok = f.begin(n, deadline, deadline)
		}
	}
}

// spend starts and ends a task that costs no more than its estimate.
func (f *fleet) spend(n *node, estimate, actual ident.Micros) bool {
	now := f.local(n)
	r, ok := n.book.Reserve(now, cost, estimate)
	if ok {
		n.book.Settle(now, r, actual)
		f.spent[quota.HourOf(now)] += quota.Count(actual)
	}
	return ok
}

// drain spends what the nodes can, ten micros a task.
func (f *fleet) drain(nodes ...*node) {
	for _, n := range nodes {
		for ok := true; ok; {
			ok = f.spend(n, 10, 10)
		}
	}
}

// ask sends the requests of a node to its granter. A delay below zero loses
// the message.
func (f *fleet) ask(n *node, waiting map[quota.LimitName]quota.Count, request, reply time.Duration) {
	now := f.local(n)
	for _, r := range append(n.book.Demand(now, waiting), n.book.Excess(now)...) {
		to := f.granters[n.dc]
		if request < 0 || n != to && (n.cut || to.cut) {
			continue
		}
		f.send(to, request, func() {
			g := to.granter.Request(f.local(to), r)
			if reply >= 0 {
				f.send(n, reply, func() { n.book.Accept(f.local(n), g) })
			}
		})
	}
}

// renew reads and writes the record once.
func (f *fleet) renew(n *node, request, reply time.Duration) {
	f.calls++
	if f.down || n.cut || n.noStore {
		return
	}
	r, err := quota.ParseRecord(f.record)
	base := f.revision
	next, attempt := n.granter.Propose(f.local(n), r)
	value, err2 := next.Value()
	f.calls++
	if err != nil || err2 != nil {
		f.t.Fatalf("the record cannot be read (%v) or written (%v)", err, err2)
	}
	if request < 0 {
		return
	}
	f.send(nil, request, func() {
		if f.down || f.revision != base {
			return
		}
		f.record, f.revision = value, f.revision+1
		if reply >= 0 {
			f.send(n, reply, func() { n.granter.Confirm(f.local(n), attempt) })
		}
	})
}

// TestLimitsHoldUnderRandomSchedules guards against limits exceeded in sum
// under steps of time, lost and late messages, pauses, partitions, clocks that
// differ, store outages and changes of the granter.
func TestLimitsHoldUnderRandomSchedules(t *testing.T) {
	var starts, most, atLimit int
	rapid.Check(t, func(rt *rapid.T) {
		limits := testLimits(rapid.SampledFrom([]quota.Count{1, 4, 30}).Draw(rt, "limit"),
			rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(rt, "floor"), 2)
		f := newFleet(rt, limits, 2, rapid.IntRange(1, 3).Draw(rt, "instances"))
		for _, n := range f.nodes {
			n.offset = time.Duration(rapid.IntRange(-90, 90).Draw(rt, "offset")) * time.Second
			n.rate = rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(rt, "rate")
		}
		pick := func(from, to int) int { return rapid.IntRange(from, to).Draw(rt, "pick") }
		delay := func() time.Duration {
			if pick(0, 5) > 0 {
				return 0
			}
			return rapid.SampledFrom([]time.Duration{time.Second, 9 * time.Second, 25 * time.Second, -1}).Draw(rt, "delay")
		}
		step := func() time.Duration {
			return rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 4 * time.Second, 11 * time.Second}).Draw(rt, "step")
		}
		live := func(act func(n *node)) {
			if n := f.nodes[pick(0, len(f.nodes)-1)]; !n.paused.After(f.now) {
				act(n)
			}
		}
		burst := func(n *node) {
			deadline := time.Duration(rapid.SampledFrom([]int{1, 6, 16, 40}).Draw(rt, "deadline")) * time.Second
			takes := deadline / time.Duration(pick(1, 2))
			for f.begin(n, deadline, takes) {
				starts++
			}
			estimate := ident.Micros(limits[0].Max) * ident.Micros(pick(1, 50))
			for range 4 {
				f.spend(n, estimate, estimate/ident.Micros(pick(1, 2)))
			}
		}
		ask := func(n *node, hot bool) {
			waiting := map[quota.LimitName]quota.Count{}
			if hot {
				waiting[team], waiting[cost] = limits[0].Max, limits[1].Max/quota.Count(pick(1, 4))
			}
			f.ask(n, waiting, delay(), delay())
		}
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) { f.advance(step()) },
			"round": func(*rapid.T) {
				hot := pick(0, len(f.nodes))
				for _, dc := range dataCentres(2) {
					if n := f.granters[dc]; !n.paused.After(f.now) {
						f.renew(n, delay(), delay())
						f.advance(0)
					}
				}
				for i, n := range f.nodes {
					if !n.paused.After(f.now) {
						ask(n, i == hot || hot == len(f.nodes))
						f.advance(0)
						burst(n)
					}
				}
				f.advance(step())
			},
			"burst":        func(*rapid.T) { live(burst) },
			"ask":          func(*rapid.T) { live(func(n *node) { ask(n, true) }) },
			"renew":        func(*rapid.T) { live(func(n *node) { f.renew(f.granters[n.dc], delay(), delay()) }) },
			"renew by any": func(*rapid.T) { live(func(n *node) { f.renew(n, delay(), delay()) }) },
			"replace":      func(*rapid.T) { live(func(n *node) { f.granters[n.dc] = n }) },
			"pause": func(*rapid.T) {
				live(func(n *node) { n.paused = f.now.Add(time.Duration(pick(1, 50)) * time.Second) })
			},
			"partition": func(*rapid.T) { live(func(n *node) { n.cut = pick(0, 2) == 0 }) },
			"outage":    func(*rapid.T) { f.down = pick(0, 5) == 0 },
			"hour":      func(*rapid.T) { f.advance(time.Duration(pick(1, 30)) * time.Minute) },
			"":          func(*rapid.T) { f.check() },
		})
		most = max(most, int(f.most))
		if f.most == limits[0].Max {
			atLimit++
		}
	})
	if starts == 0 || atLimit == 0 {
		t.Fatalf("the schedules made %d starts and reached the limit %d times", starts, atLimit)
	}
	t.Logf("%d starts, at most %d at once, limit reached in %d schedules", starts, most, atLimit)
}
