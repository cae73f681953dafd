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

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) {
	rapidseed.Run(m, map[string]string{"rapid.checks": "300", "rapid.steps": "300"})
}

const (
	team = quota.LimitName("team/a")
	cost = quota.LimitName("cost/a")
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// fleet simulates the Limiters and Granters of a few data centres and one
// stored Record. The limits are checked against the list of all running tasks
// and the sum of all costs by hour.
type fleet struct {
	t          testingT
	limits     []quota.Limit
	now        time.Time
	members    []*instance
	granters   map[ident.DataCentre]*instance
	record     []byte
	revision   int
	storeCalls int
	storeDown  bool
	messages   []message
	tasks      []*task
	spent      map[int64]quota.Count
	maxRunning quota.Count
}

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
}

// instance is a simulated instance with its own clock.
type instance struct {
	dc               ident.DataCentre
	self             ident.Process
	clockOffset      time.Duration
	clockRate        float64
	pausedUntil      time.Time
	partitioned      bool // from other instances and the store
	storeUnreachable bool
	limiter          *quota.Limiter
	granter          *quota.Granter
}

type task struct {
	instance *instance
	end      time.Time
	units    quota.TaskUnits
	ended    bool
}

// message is delivered at its time, or later if the receiver is paused.
type message struct {
	at      time.Time
	to      *instance // nil for the store
	deliver func()
}

func newFleet(t testingT, limits []quota.Limit, dcs, instances int) *fleet {
	f := &fleet{t: t, limits: limits, now: start, granters: map[ident.DataCentre]*instance{},
		spent: map[int64]quota.Count{}}
	for d := range dcs {
		for i := range instances {
			n := &instance{dc: dataCentres(dcs)[d], clockRate: 1}
			n.self = ident.Process{Instance: ident.InstanceID(fmt.Sprintf("entry-%d-%d", d, i)), Incarnation: 1}
			n.limiter = quota.NewLimiter(n.self, quota.FloorPosition{DataCentre: n.dc, Ordinal: i, Instances: instances})
			n.granter = quota.NewGranter(n.self, n.dc)
			n.limiter.SetLimits(limits)
			n.granter.SetLimits(limits)
			f.members = append(f.members, n)
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

func testLimits(limit quota.Count, floorShare float64, dcs int) []quota.Limit {
	return []quota.Limit{
		{Name: team, Max: limit, FloorShare: floorShare, DataCentres: dataCentres(dcs)},
		{Name: cost, Max: 100 * limit, FloorShare: floorShare, DataCentres: dataCentres(dcs), PerHour: true},
	}
}

func (f *fleet) localTime(n *instance) time.Time {
	return start.Add(n.clockOffset + time.Duration(float64(f.now.Sub(start))*n.clockRate))
}

func (f *fleet) send(to *instance, delay time.Duration, deliver func()) {
	f.messages = append(f.messages, message{at: f.now.Add(delay), to: to, deliver: deliver})
}

// advance moves the clock, delivers the messages that are due, ends tasks at
// their deadlines and checks the limits. A zero duration delivers messages
// without moving the clock.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for delivered := true; delivered; {
		delivered = false
		for i, m := range f.messages {
			if m.at.After(f.now) || m.to != nil && m.to.pausedUntil.After(f.now) {
				continue
			}
			f.messages = slices.Delete(f.messages, i, i+1)
			m.deliver()
			delivered = true
			break
		}
	}
	f.endTasksAndCheckLimits()
}

// endTasksAndCheckLimits ends the tasks that are past their deadline, releases
// the units of ended tasks at instances that are not paused, and fails the test
// if a limit is exceeded.
func (f *fleet) endTasksAndCheckLimits() {
	running := quota.Count(0)
	f.tasks = slices.DeleteFunc(f.tasks, func(k *task) bool {
		k.ended = k.ended || !k.end.After(f.now)
		if !k.ended {
			running++
		}
		if k.ended && !k.instance.pausedUntil.After(f.now) {
			k.instance.limiter.Release(f.localTime(k.instance), k.units)
			return true
		}
		return false
	})
	f.maxRunning = max(f.maxRunning, running)
	if running > f.limits[0].Max {
		f.t.Fatalf("%d tasks run, the limit is %d", running, f.limits[0].Max)
	}
	for hour, n := range f.spent {
		if n > f.limits[1].Max {
			f.t.Fatalf("%d micros spent in hour %d, the limit is %d", n, hour, f.limits[1].Max)
		}
	}
}

// startTask starts a task that runs until its deadline or for the run time,
// whichever ends first.
func (f *fleet) startTask(n *instance, deadline, runTime time.Duration) bool {
	now := f.localTime(n)
	u, ok := n.limiter.Take(now, now.Add(deadline), team)
	if ok {
		length := time.Duration(float64(min(deadline, runTime)) / n.clockRate)
		f.tasks = append(f.tasks, &task{instance: n, units: u, end: f.now.Add(length)})
	}
	return ok
}

// startAll starts as many tasks as the instances can. They run until their
// deadline.
func (f *fleet) startAll(deadline time.Duration, instances ...*instance) {
	for _, n := range instances {
		for ok := true; ok; {
			ok = f.startTask(n, deadline, deadline)
		}
	}
}

// spendCost reserves an estimated cost and settles it at once with the actual
// cost, which must be no higher. It reports whether the reservation succeeded.
func (f *fleet) spendCost(n *instance, estimate, actual ident.Micros) bool {
	now := f.localTime(n)
	r, ok := n.limiter.Reserve(now, cost, estimate)
	if ok {
		n.limiter.Settle(now, r, actual)
		f.spent[quota.HourOf(now)] += quota.Count(actual)
	}
	return ok
}

// spendAll spends all that the instances can, ten micros a task.
func (f *fleet) spendAll(instances ...*instance) {
	for _, n := range instances {
		for ok := true; ok; {
			ok = f.spendCost(n, 10, 10)
		}
	}
}

// sendRequests sends the requests of an instance to its granter. A message with
// a negative delay is lost.
func (f *fleet) sendRequests(n *instance, waiting map[quota.LimitName]quota.Count, request, reply time.Duration) {
	now := f.localTime(n)
	for _, r := range append(n.limiter.ShareRequests(now, waiting), n.limiter.ReturnRequests(now)...) {
		to := f.granters[n.dc]
		if request < 0 || n != to && (n.partitioned || to.partitioned) {
			continue
		}
		f.send(to, request, func() {
			g := to.granter.Request(f.localTime(to), r)
			if reply >= 0 {
				f.send(n, reply, func() { n.limiter.Accept(f.localTime(n), g) })
			}
		})
	}
}

// renewRecord reads and writes the record once. A message with a negative delay
// is lost.
func (f *fleet) renewRecord(n *instance, request, reply time.Duration) {
	f.storeCalls++
	if f.storeDown || n.partitioned || n.storeUnreachable {
		return
	}
	r, err := quota.ParseRecord(f.record)
	base := f.revision
	next, write := n.granter.Propose(f.localTime(n), r)
	value, encodeErr := next.Value()
	f.storeCalls++
	if err != nil || encodeErr != nil {
		f.t.Fatalf("the record cannot be read (%v) or written (%v)", err, encodeErr)
	}
	if request < 0 {
		return
	}
	f.send(nil, request, func() {
		if f.storeDown || f.revision != base {
			return
		}
		f.record, f.revision = value, f.revision+1
		if reply >= 0 {
			f.send(n, reply, func() { n.granter.Confirm(f.localTime(n), write) })
		}
	})
}

// TestLimitsHoldUnderRandomSchedules guards against limits that the fleet as a
// whole exceeds while messages are lost or late. The schedules also contain
// long time steps, pauses, partitions, clocks that differ, store outages and
// changes of the granter.
func TestLimitsHoldUnderRandomSchedules(t *testing.T) {
	var starts, maxRunning, atLimit int
	rapid.Check(t, func(rt *rapid.T) {
		limits := testLimits(rapid.SampledFrom([]quota.Count{1, 4, 30}).Draw(rt, "limit"),
			rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(rt, "floor"), 2)
		f := newFleet(rt, limits, 2, rapid.IntRange(1, 3).Draw(rt, "instances"))
		for _, n := range f.members {
			n.clockOffset = time.Duration(rapid.IntRange(-90, 90).Draw(rt, "offset")) * time.Second
			n.clockRate = rapid.SampledFrom([]float64{0.995, 1, 1.005}).Draw(rt, "rate")
		}
		randomInt := func(from, to int) int { return rapid.IntRange(from, to).Draw(rt, "pick") }
		delay := func() time.Duration {
			if randomInt(0, 5) > 0 {
				return 0
			}
			return rapid.SampledFrom([]time.Duration{time.Second, 9 * time.Second, 25 * time.Second, -1}).Draw(rt, "delay")
		}
		step := func() time.Duration {
			return rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 4 * time.Second, 11 * time.Second}).Draw(rt, "step")
		}
		onUnpaused := func(act func(n *instance)) {
			if n := f.members[randomInt(0, len(f.members)-1)]; !n.pausedUntil.After(f.now) {
				act(n)
			}
		}
		burst := func(n *instance) {
			deadline := time.Duration(rapid.SampledFrom([]int{1, 6, 16, 40}).Draw(rt, "deadline")) * time.Second
			runTime := deadline / time.Duration(randomInt(1, 2))
			for f.startTask(n, deadline, runTime) {
				starts++
			}
			estimate := ident.Micros(limits[0].Max) * ident.Micros(randomInt(1, 50))
			for range 4 {
				f.spendCost(n, estimate, estimate/ident.Micros(randomInt(1, 2)))
			}
		}
		sendRequests := func(n *instance, busy bool) {
			waiting := map[quota.LimitName]quota.Count{}
			if busy {
				waiting[team], waiting[cost] = limits[0].Max, limits[1].Max/quota.Count(randomInt(1, 4))
			}
			f.sendRequests(n, waiting, delay(), delay())
		}
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) { f.advance(step()) },
			"round": func(*rapid.T) {
				// The index len(f.members) stands for all members.
				busyIndex := randomInt(0, len(f.members))
				for _, dc := range dataCentres(2) {
					if n := f.granters[dc]; !n.pausedUntil.After(f.now) {
						f.renewRecord(n, delay(), delay())
						f.advance(0)
					}
				}
				for i, n := range f.members {
					if !n.pausedUntil.After(f.now) {
						sendRequests(n, i == busyIndex || busyIndex == len(f.members))
						f.advance(0)
						burst(n)
					}
				}
				f.advance(step())
			},
			"burst":                 func(*rapid.T) { onUnpaused(burst) },
			"ask for units":         func(*rapid.T) { onUnpaused(func(n *instance) { sendRequests(n, true) }) },
			"renew":                 func(*rapid.T) { onUnpaused(func(n *instance) { f.renewRecord(f.granters[n.dc], delay(), delay()) }) },
			"renew by any instance": func(*rapid.T) { onUnpaused(func(n *instance) { f.renewRecord(n, delay(), delay()) }) },
			"replace":               func(*rapid.T) { onUnpaused(func(n *instance) { f.granters[n.dc] = n }) },
			"pause": func(*rapid.T) {
				onUnpaused(func(n *instance) { n.pausedUntil = f.now.Add(time.Duration(randomInt(1, 50)) * time.Second) })
			},
			"partition": func(*rapid.T) { onUnpaused(func(n *instance) { n.partitioned = randomInt(0, 2) == 0 }) },
			"outage":    func(*rapid.T) { f.storeDown = randomInt(0, 5) == 0 },
			"hour":      func(*rapid.T) { f.advance(time.Duration(randomInt(1, 30)) * time.Minute) },
			"":          func(*rapid.T) { f.endTasksAndCheckLimits() },
		})
		maxRunning = max(maxRunning, int(f.maxRunning))
		if f.maxRunning == limits[0].Max {
			atLimit++
		}
	})
	if starts == 0 || atLimit == 0 {
		t.Fatalf("the schedules made %d starts and reached the limit %d times", starts, atLimit)
	}
	t.Logf("%d starts, at most %d at once, limit reached in %d schedules", starts, maxRunning, atLimit)
}
