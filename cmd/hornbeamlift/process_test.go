package main

import (
	"context"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// TestProcesses guards the whole path through separate processes: a request
// and a job are answered whole, a resubmission through another instance starts
// nothing again, and a job whose home is killed in the middle ends as failed
// with an unknown outcome, never started twice.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcesses(t)
	p.apply("example.yaml")

	a, err := p.entries["entry-1"].client.Request(ctx, pressJob(p.newID("entry-1"), 1))
	is.NoErr(err)
	is.Equal(a.State, work.Complete)

	id := p.newID("entry-1")
	for _, via := range []string{"entry-2", "entry-3"} {
		a, err := p.entries[via].client.Job(ctx, pressJob(id, 100))
		is.NoErr(err)
		is.Equal(a.State, work.Complete)
		is.Equal(len(a.Outputs), 100)
	}
	starts := p.starts(id)
	is.Equal(len(starts), 100)
	p.onceEach(id, starts)

	p.killHome(p.newID("entry-1"))
}

// killHome kills a submission's home, entry-1, in the middle of its job.
func (p *processes) killHome(id ident.SubmissionID) {
	is := is.New(p.t)
	ctx := context.Background()
	const n = 600
	ended := make(chan error, 1)
	go func() {
		a, err := p.entries["entry-2"].client.Job(ctx, pressJob(id, n))
		if err == nil && a.State == work.Complete {
			err = fault.New(fault.Internal, fault.RanYes).WithDetail("complete answer from a home that was killed")
		}
		ended <- err
	}()
	p.wait("the job to be under way", func() bool { return len(p.starts(id)) > 40 })
	is.NoErr(p.entries["entry-1"].cmd.Process.Signal(syscall.SIGKILL))
	first := fault.From(<-ended)
	is.Equal(first.Ran, fault.RanUnknown)
	is.True(p.list(slices.DeleteFunc(slices.Clone(p.rows), func(r work.Instance) bool { return r.ID == "entry-1" })))
	p.wait("the outcome to be declared unknown", func() bool {
		_, err := p.entries["entry-3"].client.Job(ctx, pressJob(id, n))
		return fault.KindOf(err) == fault.OutcomeUnknown
	})
	starts := p.starts(id)
	is.True(len(starts) < n)
	p.onceEach(id, starts)
	a, err := p.entries["entry-2"].client.Job(ctx, pressJob(p.newID("entry-2"), 50))
	is.NoErr(err)
	is.Equal(a.State, work.Complete)
}
