package dispatcher_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

var (
	seeds    = flag.Int("fleet.seeds", 40, "number of random schedules")
	seedFlag = flag.Uint64("fleet.seed", 0, "replay the schedule of one seed")
)

// TestRandomSchedules guards what must always hold under random deaths,
// freezes, suspensions, cuts, late orders, lost answers, crashes and drains of
// endpoints, and outages of the store: no task runs twice at a time, no
// endpoint runs over its room, what is refused as not run was not run, a job is
// finished only when its tasks are, and afterwards the fleet serves again.
func TestRandomSchedules(t *testing.T) {
	if *seedFlag != 0 {
		runSchedule(t, *seedFlag)
		return
	}
	starts, finished, jobs := 0, 0, 0
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := runSchedule(t, seed)
			starts, finished, jobs = starts+f.starts, finished+f.finished, jobs+len(f.calls)
		})
	}
	t.Logf("%d starts, %d of %d jobs finished", starts, finished, jobs)
	if *seeds >= 10 && finished*2 < jobs {
		t.Fatal("less than half of the jobs finished, so the schedules show little")
	}
}

func runSchedule(t *testing.T, seed uint64) *fleet {
	f := newFleet(t, seed, 4, 6)
	f.run(time.Second)
	for range 300 {
		f.step()
		f.run(time.Duration(f.rnd.IntN(60)) * time.Millisecond)
	}
	f.heal()
	f.run(12 * time.Second)
	f.serves()
	return f
}

// step does one random thing.
func (f *fleet) step() {
	n, o := f.nodes[f.rnd.IntN(len(f.nodes))], f.nodes[f.rnd.IntN(len(f.nodes))]
	s := f.stations[f.rnd.IntN(len(f.stations))]
	long := time.Duration(f.rnd.Int64N(int64(4 * time.Second)))
	switch k := f.rnd.IntN(100); {
	case k < 70:
		if n.up {
			f.submit(n, f.newJob())
		}
	case k < 73:
		f.kill(n, f.chance(0.5))
		f.at(long, func() { f.restart(n) })
	case k < 76:
		f.freeze(n, long, f.chance(0.4))
	case k < 79 && n != o:
		f.cut(n, o, long)
	case k < 81:
		f.isolate(n, long)
	case k < 85:
		f.logf("node %d and endpoint %d are cut for %v", n.index, s.index, long)
		f.stationCut[[2]int{n.index, s.index}] = true
		f.at(long, func() { delete(f.stationCut, [2]int{n.index, s.index}) })
	case k < 88:
		f.logf("endpoint %d is late for %v", s.index, long)
		s.late = 0.3
		f.at(long, func() { s.late = 0 })
	case k < 91:
		f.logf("endpoint %d loses answers for %v", s.index, long)
		s.lost = 0.3
		f.at(long, func() { s.lost = 0 })
	case k < 93:
		f.crash(s, long)
	case k < 94:
		f.drain(s, long)
	case k < 96:
		f.storeDown = true
		f.at(long, func() { f.storeDown, f.storeFrom = false, f.now })
	case k < 97 && f.chance(0.5):
		f.partition(time.Duration(f.rnd.Int64N(int64(8 * time.Second))))
	case k < 98 && n.up && !n.frozen:
		f.act(n, n.core.Drain(f.clock(n)))
		p := n.process
		f.at(2*time.Second, func() {
			if n.process == p {
				f.kill(n, false)
				f.at(long, func() { f.restart(n) })
			}
		})
	}
}

func (f *fleet) restart(n *node) {
	if !n.up {
		f.boot(n)
	}
}

// freeze stops a node. A suspended one does not count the time.
func (f *fleet) freeze(n *node, d time.Duration, suspended bool) {
	if !n.up || n.frozen {
		return
	}
	f.logf("node %d freezes for %v, suspended=%v", n.index, d, suspended)
	n.frozen = true
	p := n.process
	f.at(d, func() {
		if n.process != p || !n.frozen {
			return
		}
		n.frozen = false
		held := n.held
		n.held = nil
		uncounted := time.Duration(0)
		if suspended {
			n.lag += d
			uncounted = d
		}
		if d > dispatcher.PauseLimit {
			f.act(n, n.core.Paused(f.clock(n), uncounted))
		}
		for _, run := range held {
			f.on(n, p, run)
		}
	})
}

func (f *fleet) cut(a, b *node, d time.Duration) {
	p := pair(a.index, b.index)
	f.logf("nodes %d and %d are cut for %v", a.index, b.index, d)
	f.nodeCut[p] = true
	f.at(d, func() { delete(f.nodeCut, p) })
}

// isolate cuts a node from all others.
func (f *fleet) isolate(n *node, d time.Duration) {
	for _, o := range f.nodes {
		if o != n {
			f.cut(n, o, d)
		}
	}
}

// partition cuts a data centre off from the other and from the store.
func (f *fleet) partition(d time.Duration) {
	f.logf("dc-0 is cut off for %v", d)
	for _, n := range f.nodes {
		inside := n.dc == dataCentre(0)
		for _, o := range f.nodes {
			if inside && o.dc != n.dc {
				f.cut(n, o, d)
			}
		}
		for _, s := range f.stations {
			if inside != (s.e.Entry.DataCentre == dataCentre(0)) {
				c := [2]int{n.index, s.index}
				f.stationCut[c] = true
				f.at(d, func() { delete(f.stationCut, c) })
			}
		}
		if inside {
			n.storeCut = true
			f.at(d, func() { n.storeCut = false })
		}
	}
	for _, s := range f.stations {
		if s.e.Entry.DataCentre == dataCentre(0) && s.silent.IsZero() {
			s.silent = f.now
			f.at(d, func() { s.silent = time.Time{} })
		}
	}
}

func (f *fleet) crash(s *station, d time.Duration) {
	if s.down {
		return
	}
	s.e.Advance(f.now)
	f.logf("endpoint %d crashes for %v", s.index, d)
	s.down = true
	s.waiters = nil
	f.at(d, func() {
		s.down = false
		s.draining, s.e.Entry.Draining = time.Time{}, false
		s.e.Boot(f.now)
	})
}

func (f *fleet) drain(s *station, d time.Duration) {
	if s.down || !s.draining.IsZero() {
		return
	}
	f.logf("endpoint %d drains", s.index)
	s.draining, s.e.Entry.Draining = f.now, true
	f.at(drainTime+d, func() { f.crash(s, d) })
}

// heal ends all faults.
func (f *fleet) heal() {
	f.run(12 * time.Second)
	for _, n := range f.nodes {
		f.restart(n)
	}
}

// serves fails when the fleet does not serve a job at each node.
func (f *fleet) serves() {
	before := f.finished
	jobs := 0
	for _, n := range f.nodes {
		for range 3 {
			c := f.newJob()
			c.spec.Steps = c.spec.Steps[:1]
			f.submit(n, c)
			jobs++
			f.run(300 * time.Millisecond)
			if c.result == home.Refused || c.result == home.Overdue {
				f.t.Fatalf("job %s is %v after the faults ended", c.spec.ID, c.result)
			}
		}
	}
	f.run(4 * time.Second)
	if served := f.finished - before; served < jobs*2/3 {
		f.t.Fatalf("%d of %d jobs finished after the faults ended", served, jobs)
	}
	for key, on := range f.running {
		if len(on) > 0 {
			f.t.Fatalf("task %v still runs", key)
		}
	}
}
