package instance_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

var (
	seeds    = flag.Int("fleet.seeds", 40, "number of random schedules")
	seedFlag = flag.Uint64("fleet.seed", 0, "replay the schedule of one seed")
)

// TestRandomSchedules guards what must always hold, under random losses,
// partitions, pauses, restarts, endpoint faults and store outages: no task
// starts twice, answers are whole or failed and reach their own caller, what
// was refused as not run was not run, and a configuration never reverts.
func TestRandomSchedules(t *testing.T) {
	if *seedFlag != 0 {
		runSchedule(t, *seedFlag)
		return
	}
	reached := 0
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := runSchedule(t, seed)
			for name, most := range f.limits {
				if f.most[name] == most {
					reached++
				}
			}
		})
	}
	t.Logf("a limit was reached %d times in %d schedules", reached, *seeds)
	if reached == 0 && *seeds >= 10 {
		t.Fatal("no schedule reached a limit")
	}
}

func runSchedule(t *testing.T, seed uint64) *fleet {
	f := newFleet(t, seed, 2, 2, 2)
	f.limitRandomly()
	f.run(12 * time.Second)
	for range 200 {
		f.step()
		f.run(time.Duration(f.rnd.IntN(200)) * time.Millisecond)
	}
	f.heal()
	f.run(12 * time.Second)
	f.heal() // restarts those that have drained
	f.run(15 * time.Second)
	f.check()
	f.settled()
	return f
}

// step does one random thing.
func (f *fleet) step() {
	n, o := f.nodes[f.rnd.IntN(len(f.nodes))], f.nodes[f.rnd.IntN(len(f.nodes))]
	e := f.endpoints[f.rnd.IntN(len(f.endpoints))]
	switch k := f.rnd.IntN(100); {
	case k < 45:
		f.submitNew(n, o)
	case k < 60 && len(f.subs) > 0:
		f.submit(n, f.subs[f.rnd.IntN(len(f.subs))])
	case k < 65 && len(f.subs) > 0:
		f.handle(n, instance.Cancel{ID: f.subs[f.rnd.IntN(len(f.subs))].s.ID})
	case k < 72 && n != o:
		f.cut(n, o)
	case k < 79:
		f.reconnect()
	case k < 82:
		f.kill(n)
	case k < 86 && n.down:
		f.start(n)
	case k < 90:
		n.pausedUntil = f.now.Add(time.Duration(f.rnd.IntN([]int{8000, 8000, 40000}[f.rnd.IntN(3)])) * time.Millisecond)
	case k < 92:
		e.failing = !e.failing
	case k < 94:
		e.silent = !e.silent
	case k < 95:
		e.draining = !e.draining
	case k < 96:
		e.gone = !e.gone
	case k < 97:
		f.storeDown = !f.storeDown
	case k < 98:
		f.handle(n, instance.Drain{})
	case k < 99:
		f.apply(f.revision.File)
	default:
		f.run(time.Duration(f.rnd.IntN(30)) * time.Second)
	}
}

func (f *fleet) submitNew(home, via *node) {
	if home.down || home.left {
		return
	}
	service := []ident.Service{sheetPress, sheetRender}[f.rnd.IntN(2)]
	team := []ident.Team{"studio", "shop"}[f.rnd.IntN(2)]
	tasks := 1
	if f.rnd.IntN(3) == 0 {
		tasks = 2 + f.rnd.IntN(30)
	}
	deadline := time.Duration(200+f.rnd.IntN(8000)) * time.Millisecond
	if s := f.newSubmission(home, service, team, tasks, deadline); s != nil {
		f.submit(via, s)
	}
}

// reconnect brings up the links between live nodes that are down.
func (f *fleet) reconnect() {
	for i, a := range f.nodes {
		for _, b := range f.nodes[:i] {
			if w := f.wires[[2]int{a.index, b.index}]; !a.down && !b.down && (w == nil || !w.up) {
				f.connect(a, b)
			}
		}
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.storeDown = false
	for _, e := range f.endpoints {
		e.failing, e.silent, e.draining, e.gone = false, false, false, false
	}
	for _, n := range f.nodes {
		n.pausedUntil = f.now
		if n.down {
			f.start(n)
		}
	}
	f.reconnect()
}

// settled checks that a healed fleet answers everything: nothing is lost
// silently, all have the newest configuration, and new work succeeds.
func (f *fleet) settled() {
	for _, n := range f.nodes {
		for request, s := range n.requests {
			f.t.Fatalf("seed %d: request %d for %s at %s has no answer", f.seed, request, s.s.ID, n.id)
		}
		if st := n.core.Status(f.now); !n.left && (uint64(st.Revision) != f.revision.Revision || st.Open > 0) {
			f.t.Fatalf("seed %d: %s has revision %d of %d and %d open submissions", f.seed, n.id, st.Revision, f.revision.Revision, st.Open)
		}
	}
	s := f.newSubmission(f.nodes[0], sheetPress, "studio", 20, 30*time.Second)
	f.submit(f.nodes[len(f.nodes)-1], s)
	f.run(20 * time.Second)
	if s.answer == nil || s.answer.State != work.Complete {
		f.t.Fatalf("seed %d: a job after all faults ended got %+v (refusal %v)", f.seed, s.answer, s.refused)
	}
}
