package owner_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

const (
	// backlogEndpoints and backlogJobs are those of a large site under a burst:
	// each job has three tasks, and an endpoint has room for two.
	backlogEndpoints = 350
	backlogJobs      = 2000
	// backlogTime is what is simulated, and backlogLimit the processor time that
	// decisions may take in it: half of the 0.8 cores of a strong machine.
	backlogTime  = 2 * time.Second
	backlogLimit = backlogTime * 4 / 10
)

// TestBacklogCost guards against an owner that spends its processor time on
// waiting tasks that cannot start, so that it falls behind and is taken for dead.
func TestBacklogCost(t *testing.T) {
	b := newBench(t, backlogEndpoints)
	for i := range backlogJobs {
		o := order(fmt.Sprint("j-", i), 3, 13_000+int64(i%7)*1000)
		o.Target, o.Deadline = time.Duration(300+i%50)*time.Millisecond, time.Minute
		b.place(home1, o)
	}
	var spent time.Duration
	timed := func(f func()) {
		from := time.Now()
		f()
		spent += time.Since(from)
	}
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < backlogTime; at += step {
		b.now = b.now.Add(step)
		for _, e := range b.endpoints {
			e.Advance(b.now)
		}
		timed(func() { b.take(b.pool.Tick(b.now)) })
		looks, starts := b.looks, b.starts
		b.looks, b.starts = nil, nil
		for _, s := range starts {
			a := b.endpoints[s.Endpoint].Start(b.now, s)
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
	t.Logf("decisions took %v for %d tasks", spent, done)
	b.is.True(done > backlogJobs)    // the endpoints were kept busy
	b.is.True(spent <= backlogLimit) // decisions cost too much
}
