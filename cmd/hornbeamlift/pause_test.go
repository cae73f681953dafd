package main

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestPausedHome guards against tasks that start twice after the home instance
// of a job is paused in the middle of the job and resumed after its peer has
// taken over its endpoints. The caller must get a complete answer or a failure.
func TestPausedHome(t *testing.T) {
	is := is.New(t)
	p := startProcessFleet(t)
	p.applyAndWait(p.configFile(1))
	const n = 600
	id := p.newID("entry-1")
	job := p.submit("entry-1", pressJob(id, n))
	p.waitFor("the tasks of the job to start", func() bool { return len(p.starts(id)) > 40 })
	p.pause("entry-1")
	p.waitFor("the peer to own the endpoints", func() bool { return p.ownedEndpoints("entry-2") == 2 })
	p.checkServing("entry-2")
	p.resume("entry-1")
	got := <-job
	starts := p.starts(id)
	p.checkStartedOnce(id, starts)
	switch {
	case got.err != nil:
		is.Equal(fault.From(got.err).Ran, fault.RanUnknown)
	case got.answer.State == work.Complete:
		is.Equal(len(got.answer.Outputs), n)
		is.Equal(len(starts), n)
	default:
		is.Equal(got.answer.State, work.Failed)
		is.Equal(len(got.answer.Outputs), 0)
	}
	p.checkServing("entry-1")
}
