package fleet_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

const testConfig = `
services:
  - name: sheet-press
    expected-run-time: 20ms
  - name: sheet-render
    expected-run-time: 20ms
    idempotent: true
teams:
  - name: studio
`

// startFleet starts two data centres, each with two instances and four
// endpoints, and waits until the instances are ready.
func startFleet(t *testing.T) (context.Context, *fleet.Fleet) {
	t.Helper()
	is := is.New(t)
	cfg := fleet.Config{}
	for dc := range 2 {
		name := ident.DataCentre("dc-" + strconv.Itoa(dc))
		for i := range 2 {
			cfg.Instances = append(cfg.Instances, fleet.Instance{
				ID: ident.InstanceID("entry-" + strconv.Itoa(2*dc+i)), DataCentre: name})
		}
		for i := range 4 {
			cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{
				ID:         ident.EndpointID("worker-" + strconv.Itoa(4*dc+i)),
				DataCentre: name,
				Service:    []ident.Service{"sheet-press", "sheet-render"}[i%2],
				Speed:      1 / float64(1+i),
				RunTime:    5 * time.Millisecond,
			})
		}
	}
	f, err := fleet.Start(cfg)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(func() {
		cancel()
		f.Close()
		is.NoErr(f.Err())
	})
	_, err = f.Apply(ctx, []byte(testConfig))
	is.NoErr(err)
	is.NoErr(f.Ready(ctx))
	return ctx, f
}

func jobCall(id ident.SubmissionID, n int) caller.Call {
	c := caller.Call{ID: id, Service: "sheet-press", Team: "studio", Deadline: 30 * time.Second}
	for i := range n {
		c.Tasks = append(c.Tasks, caller.Task{Input: []byte(`{"echo":"` + strconv.Itoa(i) + `"}`)})
	}
	return c
}

// TestResubmittedJob guards against outputs that are missing or out of order,
// and against tasks that start again when the job is resubmitted through
// another instance.
func TestResubmittedJob(t *testing.T) {
	is := is.New(t)
	ctx, f := startFleet(t)
	ids, err := f.Instances["entry-0"].Client.IDs(ctx, 1)
	is.NoErr(err)
	const n = 200
	for _, via := range []ident.InstanceID{"entry-0", "entry-1", "entry-3"} {
		a, err := f.Instances[via].Client.Job(ctx, jobCall(ids[0], n))
		is.NoErr(err)
		is.Equal(a.State, work.Complete)
		is.Equal(len(a.Outputs), n)
		for i, out := range a.Outputs {
			is.Equal(string(out), strconv.Itoa(i))
		}
	}
	starts := f.Starts()
	is.Equal(len(starts), n)
	for task, k := range starts {
		if k != 1 {
			t.Errorf("task %s started %d times", task, k)
		}
	}
}

// TestCallerKey guards against tasks that start more than once for the same
// caller's key: all instances get the job at the same time, and a store reply
// is lost. During a store outage, no instance can tell whether a job under a key
// has run, so that a refusal must not say that it has not.
func TestCallerKey(t *testing.T) {
	is := is.New(t)
	ctx, f := startFleet(t)
	call := jobCall(ident.SubmissionID{}, 3)
	call.Key = "order-17"
	f.Store.LoseReplies(1)
	answers := make(chan work.Answer, 4)
	for _, in := range f.Instances {
		go func() {
			a, err := in.Client.Job(ctx, call)
			if err != nil {
				t.Errorf("job under a key: %v", err)
			}
			answers <- a
		}()
	}
	first := <-answers
	is.Equal(first.State, work.Complete)
	for range 3 {
		is.Equal((<-answers).ID, first.ID)
	}
	is.Equal(len(f.Starts()), 3)

	f.Store.SetDown(true)
	for _, key := range []string{"order-17", "order-18"} {
		call.Key = key
		_, err := f.Instances["entry-0"].Client.Job(ctx, call)
		is.Equal(fault.KindOf(err), fault.ClaimUnconfirmed)
		is.Equal(fault.From(err).Ran, fault.RanUnknown)
	}
	is.Equal(len(f.Starts()), 3)
}

// leavingLimit is the time after which a leaving endpoint must not get new
// tasks.
const leavingLimit = 3 * time.Second

// TestLeavingEndpoint guards against new tasks for an endpoint that the
// instance list has shown as leaving for 3 s. The load is continuous, and other
// endpoints must still get tasks.
func TestLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	ctx, f := startFleet(t)
	store, err := platform.New(platform.Settings{Address: f.StoreAddress, Clock: clock.System{}})
	is.NoErr(err)
	defer store.Close()
	list, err := store.Instances(ctx)
	is.NoErr(err)
	runJob := func() {
		a, err := f.Instances["entry-0"].Client.Job(ctx, jobCall(ident.SubmissionID{}, 100))
		is.NoErr(err)
		is.Equal(len(a.Failures), 0)
	}
	runJob()
	is.True(len(f.Endpoints["worker-0"].StartRecords()) > 0) // the endpoint got tasks before
	for i := range list {
		list[i].Leaving = list[i].Leaving || list[i].ID == "worker-0"
	}
	leftAt := time.Now()
	f.Store.SetInstances(list)
	for time.Since(leftAt) < leavingLimit+time.Second {
		runJob()
	}
	for _, s := range f.Endpoints["worker-0"].StartRecords() {
		is.True(s.At.Sub(leftAt) < leavingLimit)
	}
	others := f.Endpoints["worker-2"].StartRecords()
	is.True(others[len(others)-1].At.Sub(leftAt) > leavingLimit) // other endpoints still get tasks
}

// TestCancelledJob guards against a cancelled job whose tasks stay queued: a
// later job must complete without waiting for them, and most of them must never
// start.
func TestCancelledJob(t *testing.T) {
	is := is.New(t)
	ctx, f := startFleet(t)
	c := f.Instances["entry-0"].Client
	ids, err := c.IDs(ctx, 1)
	is.NoErr(err)
	large := jobCall(ids[0], 1000)
	large.Deadline = 5 * time.Minute
	for i := range large.Tasks {
		large.Tasks[i].Input = []byte(`{"run-ms":1000}`)
	}
	ended := make(chan work.State, 1)
	go func() {
		a, _ := c.Job(ctx, large)
		ended <- a.State
	}()
	for len(f.Starts()) < 8 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	a, err := c.Cancel(ctx, ids[0])
	is.NoErr(err)
	is.Equal(a.State, work.Failed)
	is.Equal(<-ended, work.Failed)
	after, err := c.Job(ctx, jobCall(ident.SubmissionID{}, 50))
	is.NoErr(err)
	is.Equal(after.State, work.Complete)
	is.True(len(f.Starts()) < 500) // most of the job never started
}
