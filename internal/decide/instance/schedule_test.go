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

// TestRandomSchedules checks the invariants under random losses, partitions,
// pauses, restarts, endpoint faults and store outages: no task starts twice
// unless it is repeatable, answers are complete or failed and reach their own
// caller, nothing that was refused as not run has run, and no instance returns
// to an older configuration.
func TestRandomSchedules(t *testing.T) {
	if *seedFlag != 0 {
		runSchedule(t, *seedFlag)
		return
	}
	reached := 0
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := runSchedule(t, seed)
			for name, limit := range f.limits {
				if f.peakInFlight[name] == limit {
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
	f.setRandomLimits()
	f.advance(12 * time.Second)
	for range 200 {
		f.randomStep()
		f.advance(time.Duration(f.random.IntN(200)) * time.Millisecond)
	}
	f.endFaults()
	f.advance(12 * time.Second)
	f.endFaults() // restarts the instances that have drained
	f.advance(15 * time.Second)
	f.checkStarts()
	f.checkSettled()
	return f
}

// randomStep performs one random step: a submission, a cancellation, a fault or
// the end of one.
func (f *fleet) randomStep() {
	n, o := f.instances[f.random.IntN(len(f.instances))], f.instances[f.random.IntN(len(f.instances))]
	e := f.endpoints[f.random.IntN(len(f.endpoints))]
	switch k := f.random.IntN(100); {
	case k < 45:
		f.submitRandom(n, o)
	case k < 60 && len(f.submissions) > 0:
		f.submit(n, f.submissions[f.random.IntN(len(f.submissions))])
	case k < 65 && len(f.submissions) > 0:
		f.handle(n, instance.Cancel{ID: f.submissions[f.random.IntN(len(f.submissions))].submission.ID})
	case k < 72 && n != o:
		f.disconnect(n, o)
	case k < 79:
		f.reconnect()
	case k < 82:
		f.kill(n)
	case k < 86 && n.down:
		f.start(n)
	case k < 90:
		n.pausedUntil = f.now.Add(time.Duration(f.random.IntN([]int{8000, 8000, 40000}[f.random.IntN(3)])) * time.Millisecond)
	case k < 92:
		e.failing = !e.failing
	case k < 94:
		e.dropsReplies = !e.dropsReplies
	case k < 95:
		e.draining = !e.draining
	case k < 96:
		e.unreachable = !e.unreachable
	case k < 97:
		f.storeDown = !f.storeDown
	case k < 98:
		f.handle(n, instance.Drain{})
	case k < 99:
		f.apply(f.revision.File)
	default:
		f.advance(time.Duration(f.random.IntN(30)) * time.Second)
	}
}

func (f *fleet) submitRandom(home, via *simInstance) {
	if home.down || home.exited {
		return
	}
	service := []ident.Service{sheetPress, sheetRender}[f.random.IntN(2)]
	team := []ident.Team{"studio", "shop"}[f.random.IntN(2)]
	tasks := 1
	if f.random.IntN(3) == 0 {
		tasks = 2 + f.random.IntN(30)
	}
	deadline := time.Duration(200+f.random.IntN(8000)) * time.Millisecond
	if s := f.newSubmission(home, service, team, tasks, deadline); s != nil {
		f.submit(via, s)
	}
}

// reconnect opens the links between running instances that are down.
func (f *fleet) reconnect() {
	for i, a := range f.instances {
		for _, b := range f.instances[:i] {
			if w := f.links[[2]int{a.index, b.index}]; !a.down && !b.down && (w == nil || !w.up) {
				f.connect(a, b)
			}
		}
	}
}

// endFaults ends all faults and restarts the instances that are down.
func (f *fleet) endFaults() {
	f.storeDown = false
	for _, e := range f.endpoints {
		e.failing, e.dropsReplies, e.draining, e.unreachable = false, false, false, false
	}
	for _, n := range f.instances {
		n.pausedUntil = f.now
		if n.down {
			f.start(n)
		}
	}
	f.reconnect()
}

// checkSettled checks the fleet after all faults have ended: every request has
// a reply, no submission is open, all instances have the newest configuration,
// and a new job succeeds.
func (f *fleet) checkSettled() {
	for _, n := range f.instances {
		for request, s := range n.requests {
			f.t.Fatalf("seed %d: request %d for %s at %s has no answer", f.seed, request, s.submission.ID, n.id)
		}
		if st := n.core.Status(f.now); !n.exited && (uint64(st.Revision) != f.revision.Revision || st.Open > 0) {
			f.t.Fatalf("seed %d: %s has revision %d of %d and %d open submissions", f.seed, n.id, st.Revision, f.revision.Revision, st.Open)
		}
	}
	s := f.newSubmission(f.instances[0], sheetPress, "studio", 20, 30*time.Second)
	f.submit(f.instances[len(f.instances)-1], s)
	f.advance(20 * time.Second)
	if s.answer == nil || s.answer.State != work.Complete {
		f.t.Fatalf("seed %d: job submitted after the end of all faults: answer %+v, refusal %v", f.seed, s.answer, s.refusal)
	}
}
