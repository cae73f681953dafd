package owner_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

const (
	// backlogEndpoints and backlogJobs are those of a large site under a burst:
	// each job has three tasks, and an endpoint has room for two.
	backlogEndpoints = 350
	backlogJobs      = 5000
	// backlogTime is what is simulated, and backlogLimit the processor time that
	// decisions may take in it: half of the 0.8 cores of a strong machine.
	backlogTime  = 2 * time.Second
	backlogLimit = backlogTime * 4 / 10
)

// threadTime returns the processor time of this thread, which other processes
// do not add to.
func threadTime(t *testing.T) time.Duration {
	var s unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &s); err != nil {
		t.Fatal(err)
	}
	return time.Duration(s.Nano())
}

// TestBacklogCost guards against an owner that spends its processor time on
// waiting tasks that cannot start, so that it falls behind and is taken for
// dead.
func TestBacklogCost(t *testing.T) {
	tests := map[string]struct {
		// refused is the share of starts that every eighth endpoint refuses, and
		// leaving the jobs that end each step because their callers left, in whose
		// place others come.
		refused float64
		leaving int
		// label is required by all tasks; one endpoint in eight has it.
		label string
	}{
		"full endpoints":       {},
		"refusing endpoints":   {refused: 0.5},
		"callers leave":        {leaving: 10},
		"refusing and leaving": {refused: 0.5, leaving: 10},
		"one rack is wanted":   {leaving: 10, label: "hot"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, backlogEndpoints)
			rnd := rand.New(rand.NewPCG(1, 2))
			for i := 0; i < backlogEndpoints; i += 8 {
				e := b.endpoints[ident.EndpointID(fmt.Sprint("e-", i))]
				e.Entry.Labels = append(e.Entry.Labels, "hot")
			}
			b.list()
			var spent time.Duration
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			timed := func(f func()) {
				from := threadTime(t)
				f()
				spent += threadTime(t) - from
			}
			placed, left := 0, 0
			place := func() {
				o := order(fmt.Sprint("j-", placed), 3, 13_000+int64(placed%7)*1000)
				o.Target, o.Deadline = time.Duration(300+placed%50)*time.Millisecond, time.Minute
				o.Needs.RequiredLabel = tt.label
				placed++
				timed(func() { b.place(home1, o) })
			}
			for range backlogJobs {
				place()
			}
			const step = 10 * time.Millisecond
			for at := time.Duration(0); at < backlogTime; at += step {
				b.now = b.now.Add(step)
				for _, e := range b.endpoints {
					e.Advance(b.now)
				}
				timed(func() { b.take(b.pool.Tick(b.now)) })
				for range tt.leaving {
					id := job.ID(fmt.Sprint("j-", left+backlogJobs/2))
					timed(func() { b.take(b.pool.Withdraw(home1, id)) })
					left++
					place()
				}
				looks, starts, stops := b.looks, b.starts, b.stops
				b.looks, b.starts, b.stops = nil, nil, nil
				for _, s := range starts {
					a := owner.Answered{Call: s.Number, Reply: owner.Unhealthy}
					if !slices.Contains(b.endpoints[s.Endpoint].Entry.Labels, "hot") || rnd.Float64() >= tt.refused {
						a = b.endpoints[s.Endpoint].Start(b.now, s)
					}
					timed(func() { b.take(b.pool.Answered(b.now, &a)) })
				}
				for _, s := range stops {
					a := b.endpoints[s.Endpoint].Stop(b.now, s)
					timed(func() { b.take(b.pool.Answered(b.now, &a)) })
				}
				for _, l := range looks {
					e := b.endpoints[l.Endpoint]
					// A look waits for an end.
					if l.Wait > 0 && !e.Ended() {
						b.looks = append(b.looks, l)
						continue
					}
					out := e.Look(b.now, l)
					out.Sent = b.now
					timed(func() { b.take(b.pool.Looked(b.now, &out)) })
				}
			}
			done := 0
			for _, end := range b.ends {
				if end.Outcome == job.Done {
					done++
				}
			}
			t.Logf("decisions took %v, %d tasks are done", spent, done)
			b.is.True(done > backlogEndpoints) // the endpoints were kept busy
			b.is.True(spent <= backlogLimit)   // decisions cost too much
		})
	}
}
