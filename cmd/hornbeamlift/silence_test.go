package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestSilentConnections guards against tasks that hang until their deadline of
// a minute when the connections to the endpoints go silent permanently while
// new connections work. At least half of the 32 tasks of a job have started
// then. The job must fail well before its deadline, with an unknown outcome for
// each task that failed, at least half of them. None may start a second time,
// and the endpoints must run new tasks.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	p := startProcessFleet(t)
	p.applyAndWait(p.configFile(1))
	const n = 32
	id := p.newID("entry-1")
	call := pressJob(id, n)
	for i := range call.Tasks {
		call.Tasks[i].Input = []byte(`{"run-ms":2000}`)
	}
	job := p.submit("entry-1", call)
	p.waitFor("the tasks to run", func() bool { return len(p.starts(id)) >= n/2 })
	for _, address := range p.endpointAddresses {
		p.setSwitch(address, "silence", "silent-existing")
	}
	silent := time.Now()
	got := <-job
	is.NoErr(got.err)
	is.Equal(got.answer.State, work.Failed)
	is.True(time.Since(silent) < call.Deadline/2)
	unknown := 0
	for _, f := range got.answer.Failures {
		is.Equal(f.Error.Kind, fault.OutcomeUnknown)
		is.Equal(f.Error.Ran, fault.RanUnknown)
		unknown++
	}
	is.True(unknown >= n/2)
	p.checkStartedOnce(id, p.starts(id))
	for id := range p.instances {
		p.checkServing(id)
	}
}
