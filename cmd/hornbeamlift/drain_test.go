package main

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestDrain guards against a shutdown on SIGTERM that aborts requests in flight
// while tasks are queued and a keep-alive connection is idle. Readiness must
// fail no later than the first refusal. A refused submission must start
// nothing, and its error must say when to retry. The peer must become the owner
// of the endpoints, and the exit status must be 0.
func TestDrain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcessFleet(t)
	p.applyAndWait(p.configFile(1))
	resp, err := http.Get("http://" + p.instances["entry-1"].callerAddress + "/")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body) // keeps the connection open and idle
	is.NoErr(err)
	is.NoErr(resp.Body.Close())

	const n = 600
	refusedID := p.newID("entry-1")
	jobID := p.newID("entry-1")
	jobs := []<-chan jobResult{p.submit("entry-1", pressJob(jobID, n)), p.submit("entry-2", pressJob(p.newID("entry-1"), n))}
	for range 20 {
		jobs = append(jobs, p.submit("entry-1", pressJob(p.newID("entry-1"), 1)))
	}
	p.waitFor("the tasks of the job to start", func() bool { return len(p.starts(jobID)) > 20 })
	// A job that arrives after the signal is refused.
	p.waitFor("all jobs to arrive", func() bool {
		c := p.status("entry-1").Counters
		return c.Submissions+c.Refused >= uint64(len(jobs))
	})
	p.signal("entry-1", syscall.SIGTERM)
	p.waitFor("ids to be refused", func() bool {
		_, err := p.instances["entry-1"].client.IDs(ctx, 1)
		return fault.KindOf(err) == fault.Draining
	})
	is.True(!p.ready("entry-1")) // readiness fails no later than the first refusal
	_, err = p.instances["entry-1"].client.Job(ctx, pressJob(refusedID, 3))
	refusal := fault.From(err)
	is.Equal(refusal.Kind, fault.Draining)
	is.Equal(refusal.Ran, fault.RanNo)
	is.True(refusal.RetryAfter > 0)
	is.True(len(p.starts(jobID)) < n) // tasks were still to be started at the refusal
	p.waitFor("the peer to own the endpoints", func() bool { return p.ownedEndpoints("entry-2") == 2 })
	p.checkServing("entry-2")
	for _, j := range jobs {
		got := <-j
		is.NoErr(got.err)
		is.Equal(got.answer.State, work.Complete)
	}
	is.NoErr(p.instances["entry-1"].cmd.Wait())
	starts := p.starts(jobID)
	is.Equal(len(starts), n)
	p.checkStartedOnce(jobID, starts)
	is.Equal(len(p.starts(refusedID)), 0)
	p.checkServing("entry-2")
}
