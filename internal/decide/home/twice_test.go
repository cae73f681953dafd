package home_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
)

// TestResubmittedJobMayHaveStarted guards against an order for a job that was
// submitted again at the same home and does not say that an owner, which has not
// reported an end, may run it still.
func TestResubmittedJobMayHaveStarted(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := ordersOf(table.Submit(baseTime, 1, spec(step(1)), settings, time.Second))
	now := baseTime.Add(time.Second)
	table.Tick(now) // answered as overdue
	open, _ := table.State(first[0].Job)
	is.True(!open)
	table.SetOwner(now, owner2, true)
	now = now.Add(1300 * time.Millisecond)
	again := ordersOf(table.Submit(now, 2, spec(step(1)), settings, time.Second))
	is.Equal(len(again), 1)
	is.True(again[0].MayHaveStarted)
	is.True(again[0].MinRuns[0] > first[0].MinRuns[0]) // the runs are told apart
}

// TestOpenPlacementKept guards against an order that does not say that an earlier
// owner may run a task, since another owner has reported an end of it.
func TestOpenPlacementKept(t *testing.T) {
	for _, outcome := range []job.Outcome{job.NotOwner, job.Failed, job.Refused} {
		is := is.New(t)
		table := newTable()
		ordersOf(table.Submit(baseTime, 1, spec(step(1)), settings, time.Minute))
		second := ordersOf(table.SetOwner(baseTime, owner2, true))
		is.True(second[0].MayHaveStarted)
		actions := table.HandleEnds(baseTime, owner2, endsOf(second[0], outcome))
		actions = append(actions, table.Tick(baseTime.Add(time.Second))...)
		for _, o := range ordersOf(actions) {
			is.True(o.MayHaveStarted)
		}
	}
}
