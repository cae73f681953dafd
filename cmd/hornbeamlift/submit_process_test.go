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

// TestSubmitProcesses guards against faults that show only with separate
// processes: incomplete answers to a request or a job, and tasks that start
// again after a resubmission through another instance or after their home
// instance was killed. A job whose home instance is killed must end with an
// unknown outcome.
func TestSubmitProcesses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcessFleet(t)
	p.applyAndWait("example.yaml")

	a, err := p.instances["entry-1"].client.Request(ctx, pressJob(p.newID("entry-1"), 1))
	is.NoErr(err)
	is.Equal(a.State, work.Complete)

	id := p.newID("entry-1")
	for _, via := range []string{"entry-2", "entry-3"} {
		a, err := p.instances[via].client.Job(ctx, pressJob(id, 100))
		is.NoErr(err)
		is.Equal(a.State, work.Complete)
		is.Equal(len(a.Outputs), 100)
	}
	starts := p.starts(id)
	is.Equal(len(starts), 100)
	p.checkStartedOnce(id, starts)

	p.checkHomeKilled(p.newID("entry-1"))
}

// checkHomeKilled submits a job and kills its home instance, entry-1, while the
// job runs. It checks that the outcome is then reported as unknown, that no
// task starts twice and that the peer completes new work.
func (p *processFleet) checkHomeKilled(id ident.SubmissionID) {
	is := is.New(p.t)
	ctx := context.Background()
	const n = 600
	ended := make(chan error, 1)
	go func() {
		a, err := p.instances["entry-2"].client.Job(ctx, pressJob(id, n))
		if err == nil && a.State == work.Complete {
			err = fault.New(fault.Internal, fault.RanYes).WithDetail("complete answer although the home instance was killed")
		}
		ended <- err
	}()
	p.waitFor("the tasks of the job to start", func() bool { return len(p.starts(id)) > 40 })
	is.NoErr(p.instances["entry-1"].cmd.Process.Signal(syscall.SIGKILL))
	failure := fault.From(<-ended)
	is.Equal(failure.Ran, fault.RanUnknown)
	is.True(p.setInstanceList(slices.DeleteFunc(slices.Clone(p.instanceList), func(r work.Instance) bool { return r.ID == "entry-1" })))
	p.waitFor("the outcome to be reported as unknown", func() bool {
		_, err := p.instances["entry-3"].client.Job(ctx, pressJob(id, n))
		return fault.KindOf(err) == fault.OutcomeUnknown
	})
	starts := p.starts(id)
	is.True(len(starts) < n)
	p.checkStartedOnce(id, starts)
	a, err := p.instances["entry-2"].client.Job(ctx, pressJob(p.newID("entry-2"), 50))
	is.NoErr(err)
	is.Equal(a.State, work.Complete)
}
