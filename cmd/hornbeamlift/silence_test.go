package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestSilentConnections guards against connections that go silent for good
// while new ones work, with 32 tasks in flight: the tasks end as unknown well
// before their deadline of a minute, none starts a second time, and the
// endpoints serve new work.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	p.apply(p.fileOf(1))
	const n = 32
	id := p.newID("entry-1")
	call := pressJob(id, n)
	for i := range call.Tasks {
		call.Tasks[i].Input = []byte(`{"run-ms":2000}`)
	}
	job := p.submit("entry-1", call)
	p.wait("the tasks to run", func() bool { return len(p.starts(id)) >= n/2 })
	for _, address := range p.endpoints {
		p.set(address, "silence", "silent-existing")
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
	p.onceEach(id, p.starts(id))
	for id := range p.entries {
		p.serves(id)
	}
}
