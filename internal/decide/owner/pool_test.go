package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	home1 = ident.Process{Instance: "home-1", Incarnation: 1}
	home2 = ident.Process{Instance: "home-2", Incarnation: 1}
)

// bench drives a pool by hand: its calls wait until the test carries them out.
type bench struct {
	t         *testing.T
	is        *is.I
	pool      *owner.Pool
	now       time.Time
	endpoints map[ident.EndpointID]*leased.Endpoint
	entries   []owner.Endpoint
	looks     []owner.Look
	starts    []owner.Start
	stops     []owner.Stop
	ends      []job.End
	notes     []owner.Note
}

func newBench(t *testing.T, endpoints int) *bench {
	t.Helper()
	return newBenchWith(t, endpoints, owner.Config{})
}

func newBenchWith(t *testing.T, endpoints int, cfg owner.Config) *bench {
	t.Helper()
	pool, err := owner.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, is: is.New(t), pool: pool, now: epoch, endpoints: map[ident.EndpointID]*leased.Endpoint{}}
	for i := range endpoints {
		entry := owner.Endpoint{
			ID: ident.EndpointID(fmt.Sprint("e-", i)), Service: "render", Room: job.Room{CPU: 32_000, Memory: 1000},
			Labels: []string{"a", fmt.Sprint("r-", i)}, Rack: fmt.Sprint("r-", i),
		}
		e := &leased.Endpoint{
			Entry: entry, LeaseMax: time.Second, Rate: 1,
			Plan:  func(job.Key) leased.Work { return leased.Work{Time: 100 * time.Millisecond} },
			Needs: func(job.Key) job.Room { return job.Room{CPU: 10_000, Memory: 1} },
		}
		e.Boot(b.now)
		b.endpoints[entry.ID] = e
		b.entries = append(b.entries, e.Entry)
	}
	b.list()
	b.take(pool.Activate(b.now, owner.NewFence(5, 1), func(owner.Endpoint) bool { return true }))
	for pool.Stats(b.now).Held < endpoints {
		b.lookAll()
		b.take(pool.Tick(b.now))
	}
	return b
}

// list hands the endpoints' entries to the pool.
func (b *bench) list() {
	b.entries = b.entries[:0]
	for i := range len(b.endpoints) {
		b.entries = append(b.entries, b.endpoints[ident.EndpointID(fmt.Sprint("e-", i))].Entry)
	}
	b.take(b.pool.SetEndpoints(b.now, b.now, b.entries))
}

func (b *bench) take(actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Look:
			b.looks = append(b.looks, a)
		case owner.Start:
			b.starts = append(b.starts, a)
		case owner.Stop:
			b.stops = append(b.stops, a)
		case owner.Report:
			b.ends = append(b.ends, a.Ends...)
		case owner.Note:
			b.notes = append(b.notes, a)
		}
	}
}

// pass lets time go by.
func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	for _, e := range b.endpoints {
		e.Advance(b.now)
	}
	b.take(b.pool.Tick(b.now))
}

// lookAll carries out the looks that wait.
func (b *bench) lookAll() {
	looks := b.looks
	b.looks = nil
	for _, l := range looks {
		out := b.endpoints[l.Endpoint].Look(b.now, l)
		out.Sent = b.now
		b.take(b.pool.Looked(b.now, &out))
	}
}

// passWithout lets time go by until something starts, or for d. One endpoint
// answers no look.
func (b *bench) passWithout(silent ident.EndpointID, d time.Duration) {
	for end := b.now.Add(d); len(b.starts) == 0 && b.now.Before(end); {
		b.pass(20 * time.Millisecond)
		looks := b.looks
		b.looks = nil
		for _, l := range looks {
			out := owner.Looked{Call: l.Number, Reply: owner.Unknown}
			if l.Endpoint != silent {
				out = b.endpoints[l.Endpoint].Look(b.now, l)
			}
			out.Sent = b.now
			b.take(b.pool.Looked(b.now, &out))
		}
	}
}

// startAll carries out the starts that wait.
func (b *bench) startAll() {
	starts := b.starts
	b.starts = nil
	for _, s := range starts {
		a := b.endpoints[s.Endpoint].Start(b.now, s)
		b.take(b.pool.Answered(b.now, &a))
	}
}

func (b *bench) stopAll() {
	stops := b.stops
	b.stops = nil
	for _, s := range stops {
		a := b.endpoints[s.Endpoint].Stop(b.now, s)
		b.take(b.pool.Answered(b.now, &a))
	}
}

// order returns an order for the first n tasks of a job.
func order(id string, n int, cpu int64) job.Order {
	o := job.Order{
		Job: job.ID(id), Service: "render", Target: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond,
		Needs: job.Needs{Room: job.Room{CPU: cpu, Memory: 1}, Estimate: 100 * time.Millisecond},
	}
	for i := range n {
		o.Indexes, o.FirstRuns = append(o.Indexes, i), append(o.FirstRuns, 1)
	}
	return o
}

func (b *bench) place(home ident.Process, o job.Order) {
	b.take(b.pool.Place(b.now, home, []job.Order{o}))
}

// TestRoom guards against starts that bring an endpoint over its room, also
// while what is being stopped still runs.
func TestRoom(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 5, 10_000))
	b.is.Equal(len(b.starts), 3) // 32 cores hold three of ten
	b.startAll()
	b.take(b.pool.Withdraw(home1, "j"))
	b.is.Equal(len(b.stops), 3)
	b.place(home1, order("k", 1, 10_000))
	b.is.Equal(len(b.starts), 0) // the stopped runs have not ended yet
	b.stopAll()
	b.pass(10 * time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.starts), 1)
}

// TestEnds guards against ends that are lost or reported twice.
func TestEnds(t *testing.T) {
	b := newBench(t, 1)
	b.place(home1, order("j", 2, 10_000))
	b.startAll()
	b.pass(150 * time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.ends), 2)
	for _, e := range b.ends {
		b.is.Equal(e.Outcome, job.Done)
	}
	b.pass(10 * time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.ends), 2)
}

// TestUnansweredStart guards against a second run while the first may be
// carried out late, and against stopping a run that only lost its answer.
func TestUnansweredStart(t *testing.T) {
	cases := map[string]struct {
		carriedOut bool
		stops      int
	}{
		"carried out":     {true, 0},
		"not carried out": {false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2)
			b.place(home1, order("j", 1, 10_000))
			start := b.starts[0]
			b.starts = nil
			if c.carriedOut {
				b.endpoints[start.Endpoint].Start(b.now, start)
			}
			b.pass(20 * time.Millisecond)
			b.take(b.pool.Answered(b.now, &owner.Answered{Call: start.Number, Reply: owner.Unknown}))
			b.is.Equal(len(b.starts), 0)
			b.pass(5 * time.Millisecond)
			b.lookAll()
			b.is.Equal(len(b.stops), c.stops)
			b.is.Equal(len(b.starts), 0) // not before the stop is confirmed and seen
			b.stopAll()
			b.pass(5 * time.Millisecond)
			b.lookAll()
			b.is.Equal(len(b.starts), c.stops) // the second run, elsewhere or here
			if c.stops > 0 {
				b.is.Equal(b.endpoints[start.Endpoint].Start(b.now, start).Reply, owner.OldRun)
			}
		})
	}
}

// TestLapse guards against a task of an endpoint that went silent which starts
// again before its lease has surely run out, or never.
func TestLapse(t *testing.T) {
	b := newBench(t, 2)
	b.place(home1, order("j", 1, 10_000))
	silent := b.starts[0].Endpoint
	b.startAll()
	b.passWithout(silent, 5*time.Second)
	b.is.Equal(len(b.ends), 1) // the deadline of 1.5 s passes first
	b.is.Equal(b.ends[0].Outcome, job.Overdue)
}

// TestDeadEndpoint guards against a task that never starts elsewhere when its
// endpoint is gone, since each unanswered look might renew the lease there.
func TestDeadEndpoint(t *testing.T) {
	b := newBench(t, 2)
	o := order("j", 1, 10_000)
	o.Deadline = time.Minute
	b.place(home1, o)
	silent := b.starts[0].Endpoint
	b.startAll()
	begun := b.now
	b.passWithout(silent, 10*time.Second)
	b.is.Equal(len(b.starts), 1)
	b.is.True(b.starts[0].Endpoint != silent)
	// The longest lease, the share that a clock may be slow, the time in which
	// another owner may keep the run, and the time for the looks to fail.
	b.is.True(b.now.Sub(begun) <= 2*time.Second)
}

// TestWhere guards against starts where the needs of a step forbid them.
func TestWhere(t *testing.T) {
	cases := map[string]struct {
		change func(o *job.Order)
		starts int
		on     ident.EndpointID
	}{
		"label":          {func(o *job.Order) { o.Needs.RequiredLabel = "r-1" }, 3, "e-1"},
		"unknown label":  {func(o *job.Order) { o.Needs.RequiredLabel = "x" }, 0, ""},
		"one each":       {func(o *job.Order) { o.Needs.MaxPerEndpoint = 1 }, 2, ""},
		"same rack":      {func(o *job.Order) { o.Needs.SameRack = true }, 3, ""},
		"affinity":       {func(o *job.Order) { o.Needs.Affinity = "r-1"; o.Indexes = o.Indexes[:1] }, 1, "e-1"},
		"other service":  {func(o *job.Order) { o.Service = "other" }, 0, ""},
		"no room at all": {func(o *job.Order) { o.Needs.Room.CPU = 64_000 }, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2)
			o := order("j", 4, 10_000)
			c.change(&o)
			b.place(home1, o)
			b.is.Equal(len(b.starts), c.starts)
			racks := map[ident.EndpointID]bool{}
			for _, s := range b.starts {
				racks[s.Endpoint] = true
				b.is.True(c.on == "" || s.Endpoint == c.on)
			}
			b.is.True(!o.Needs.SameRack || len(racks) == 1)
		})
	}
}

// TestDraining guards against tasks that start on an endpoint which leaves.
func TestDraining(t *testing.T) {
	b := newBench(t, 1)
	b.endpoints["e-0"].Entry.Draining = true
	b.list()
	b.place(home1, order("j", 1, 10_000))
	b.is.Equal(len(b.starts), 0)
}

// TestFailingEndpoint guards against an endpoint that fails all tasks and keeps
// getting them.
func TestFailingEndpoint(t *testing.T) {
	b := newBench(t, 2)
	b.endpoints["e-0"].Plan = func(job.Key) leased.Work { return leased.Work{Time: 5 * time.Millisecond, Fails: true} }
	failed := 0
	for i := range 40 {
		b.place(home1, order(fmt.Sprint("j", i), 1, 10_000))
		b.startAll()
		b.pass(10 * time.Millisecond)
		b.lookAll()
	}
	for _, e := range b.ends {
		if e.Outcome == job.Failed {
			failed++
		}
	}
	b.is.True(failed > 0 && failed < 8)
}

// TestResentJob guards against two runs of a task when its caller hands the job
// in again through another home.
func TestResentJob(t *testing.T) {
	b := newBench(t, 2)
	b.place(home1, order("j", 1, 10_000))
	b.startAll()
	b.place(home2, order("j", 1, 10_000))
	b.is.Equal(len(b.starts), 0)
	b.is.Equal(len(b.stops), 1)
	b.stopAll()
	b.pass(time.Millisecond)
	b.lookAll()
	b.is.Equal(len(b.starts), 1)
	b.is.Equal(b.starts[0].Run, 2)
}

// TestStalledTask guards against tasks that stand still on an endpoint until
// their callers give up, and against more than one restart.
func TestStalledTask(t *testing.T) {
	b := newBench(t, 2)
	for _, e := range b.endpoints {
		e.Plan = func(job.Key) leased.Work { return leased.Work{Time: time.Hour} }
	}
	o := order("j", 1, 10_000)
	o.Deadline = 10 * time.Second
	b.place(home1, o)
	first := b.starts[0].Endpoint
	var second []owner.Start
	for range 120 { // 3 s
		b.startAll()
		b.stopAll()
		b.pass(25 * time.Millisecond)
		b.lookAll()
		second = append(second, b.starts...)
	}
	b.is.Equal(len(second), 1)
	b.is.True(second[0].Endpoint != first)
	b.is.Equal(second[0].Run, 2)
}
