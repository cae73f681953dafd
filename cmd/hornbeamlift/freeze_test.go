package main

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestFrozenHome guards G1, G2 and G5 against a home that is frozen in the
// middle of a job while its peer takes over its endpoints: after it goes on no
// task starts twice, and the caller gets a whole answer or a failure.
func TestFrozenHome(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	p.apply(p.fileOf(1))
	const n = 600
	id := p.newID("entry-1")
	job := p.submit("entry-1", pressJob(id, n))
	p.wait("the job to be under way", func() bool { return len(p.starts(id)) > 40 })
	p.freeze("entry-1")
	p.wait("the endpoints to move", func() bool { return p.owned("entry-2") == 2 })
	p.serves("entry-2")
	p.thaw("entry-1")
	got := <-job
	starts := p.starts(id)
	p.onceEach(id, starts)
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
	p.serves("entry-1")
}
