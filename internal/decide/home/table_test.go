package home_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

var (
	baseTime = time.Unix(1_800_000_000, 0)
	owner1   = ident.Process{Instance: "o-1", Incarnation: 1}
	owner2   = ident.Process{Instance: "o-2", Incarnation: 1}
	settings = home.RouteSettings{Route: "r", Service: "render", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}
)

func spec(steps ...job.Step) job.Spec { return job.Spec{ID: "j", Payload: "sheet", Steps: steps} }

func step(tasks int, after ...int) job.Step {
	return job.Step{Tasks: tasks, After: after, Needs: job.Needs{Estimate: 100 * time.Millisecond}}
}

// ordersOf returns the orders among the actions.
func ordersOf(actions []home.Action) (orders []job.Order) {
	for _, a := range actions {
		if p, ok := a.(home.Place); ok {
			orders = append(orders, p.Orders...)
		}
	}
	return orders
}

func answersOf(actions []home.Action) (list []home.Answer) {
	for _, a := range actions {
		if a, ok := a.(home.Answer); ok {
			list = append(list, a)
		}
	}
	return list
}

// end returns an end for the first order of a table.
func end(step, index, run int, o job.Outcome) job.TaskEnd {
	return job.TaskEnd{Key: job.Key{Job: "j", Step: step, Index: index}, Placement: 1, Run: run, Outcome: o}
}

func newTable() *home.Table {
	t := home.New(unlinked)
	t.SetOwner(baseTime, owner1, true)
	return t
}

// TestStepsRunInOrder guards against a step that is placed before the steps it
// depends on are done, and against an answer before all tasks are done.
func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	table := newTable()
	orders := ordersOf(table.Submit(baseTime, 1, spec(step(2), step(1, 0)), settings, time.Second))
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Step, 0)
	// The two steps take 200 ms. The target is 1.6 times that, plus 60 ms of
	// latency, less 100 ms for the second step.
	is.Equal(orders[0].Target, 280*time.Millisecond)
	is.Equal(len(ordersOf(table.HandleEnds(baseTime, owner1, []job.TaskEnd{end(0, 0, 1, job.Done)}))), 0)
	orders = ordersOf(table.HandleEnds(baseTime, owner1, []job.TaskEnd{end(0, 1, 1, job.Done)}))
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Step, 1)
	list := answersOf(table.HandleEnds(baseTime, owner1, []job.TaskEnd{end(1, 0, 1, job.Done)}))
	is.Equal(len(list), 1)
	is.Equal(list[0].Result, home.Finished)
}

// TestResultMatchesOutcomes guards against a wrong result, for example Refused
// for a job with a task that may have run, or Finished before all tasks are
// done.
func TestResultMatchesOutcomes(t *testing.T) {
	cases := map[string]struct {
		ends   []job.TaskEnd
		result home.Result
	}{
		"all refused":              {[]job.TaskEnd{end(0, 0, 0, job.Refused), end(0, 1, 0, job.Refused)}, home.Refused},
		"one refused, one running": {[]job.TaskEnd{end(0, 0, 0, job.Refused)}, home.Overdue},
		"one done, one refused":    {[]job.TaskEnd{end(0, 0, 1, job.Done), end(0, 1, 0, job.Refused)}, home.Overdue},
		"overdue":                  {[]job.TaskEnd{end(0, 0, 1, job.Overdue), end(0, 1, 0, job.Refused)}, home.Overdue},
		"all done":                 {[]job.TaskEnd{end(0, 0, 1, job.Done), end(0, 1, 1, job.Done)}, home.Finished},
		"done twice":               {[]job.TaskEnd{end(0, 0, 1, job.Done), end(0, 0, 2, job.Done)}, 0},
		"failed once":              {[]job.TaskEnd{end(0, 0, 1, job.Failed)}, 0},
		"endpoints crash under it": {[]job.TaskEnd{end(0, 0, 1, job.Done), end(0, 1, 1, job.Crashed)}, home.Failed},
		"failed on all attempts":   {[]job.TaskEnd{end(0, 0, 1, job.Failed), end(0, 0, 2, job.Failed)}, home.Failed},
		"out of range":             {[]job.TaskEnd{end(7, 0, 1, job.Done), end(0, 9, 1, job.Done)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			table.Submit(baseTime, 1, spec(step(2)), settings, time.Second)
			list := answersOf(table.HandleEnds(baseTime, owner1, c.ends))
			if c.result == 0 {
				is.Equal(len(list), 0)
				return
			}
			is.Equal(len(list), 1)
			is.Equal(list[0].Result, c.result)
		})
	}
}

// TestNewOwnerGetsOpenTasks guards against tasks that are lost when their owner
// fails, and against a new owner that reuses run numbers of the earlier one.
func TestNewOwnerGetsOpenTasks(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, time.Second))
	is.True(!first[0].MayHaveStarted)
	table.HandleEnds(baseTime, owner1, []job.TaskEnd{end(0, 0, 1, job.Done)})
	table.HandleLinkDown(baseTime, owner1)
	is.Equal(len(ordersOf(table.Tick(baseTime))), 0) // no owner to place tasks at
	placedAgain := ordersOf(table.SetOwner(baseTime, owner2, true))
	is.Equal(len(placedAgain), 1)
	is.Equal(placedAgain[0].Indexes, []int{1})
	is.True(placedAgain[0].MayHaveStarted)
	is.True(placedAgain[0].MinRuns[0] > first[0].MinRuns[1])
}

// TestNotOwnerTasksPlacedAgain guards against tasks that are lost when the
// process that they were placed at does not own the endpoints and rejects them.
func TestNotOwnerTasksPlacedAgain(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Submit(baseTime, 1, spec(step(1)), settings, time.Second)
	is.Equal(len(answersOf(table.HandleEnds(baseTime, owner1, []job.TaskEnd{end(0, 0, 0, job.NotOwner)}))), 0)
	is.Equal(len(ordersOf(table.Tick(baseTime))), 0)
	is.Equal(len(ordersOf(table.Tick(baseTime.Add(100*time.Millisecond)))), 1)
}

// TestResubmittedJobRunsOnce guards against a job that runs twice because its
// caller submits it again while it is open or just after it was answered.
func TestResubmittedJobRunsOnce(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Submit(baseTime, 1, spec(step(1)), settings, time.Second)
	is.Equal(len(table.Submit(baseTime, 2, spec(step(1)), settings, time.Second)), 0)
	list := answersOf(table.HandleEnds(baseTime, owner1, []job.TaskEnd{end(0, 0, 1, job.Done)}))
	is.Equal(list[0].Requests, []home.RequestID{1, 2})
	list = answersOf(table.Submit(baseTime.Add(time.Second), 3, spec(step(1)), settings, time.Second))
	is.Equal(list[0].Result, home.Finished)
}

// TestLastCallerDisconnects guards against a job that continues after its only
// caller has disconnected, and against cancelling a job that another caller
// waits for.
func TestLastCallerDisconnects(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Submit(baseTime, 1, spec(step(1)), settings, time.Second)
	table.Submit(baseTime, 2, spec(step(1)), settings, time.Second)
	is.Equal(len(table.RemoveRequest(baseTime, "j", 1)), 0)
	withdrawn := false
	for _, a := range table.RemoveRequest(baseTime, "j", 2) {
		if w, ok := a.(home.Withdraw); ok {
			withdrawn = w.Job == "j" && w.To == owner1
		}
	}
	is.True(withdrawn)
	is.Equal(table.OpenJobs(), 0)
}

// TestDeadlineClosesJob guards against jobs that stay open after their
// deadline, and against the result Refused for a job that was placed at an
// owner and may have run.
func TestDeadlineClosesJob(t *testing.T) {
	cases := map[string]struct {
		known  bool
		result home.Result
	}{
		"placed at an owner": {true, home.Overdue},
		"no owner":           {false, home.Refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := home.New(unlinked)
			table.SetOwner(baseTime, owner1, c.known)
			table.Submit(baseTime, 1, spec(step(1)), settings, time.Second)
			is.Equal(len(answersOf(table.Tick(baseTime.Add(900*time.Millisecond)))), 0)
			list := answersOf(table.Tick(baseTime.Add(time.Second)))
			is.Equal(len(list), 1)
			is.Equal(list[0].Result, c.result)
		})
	}
}

// TestSuspensionCountsTowardsDeadline guards against continuing jobs after the
// machine was suspended past their deadlines. Their callers have timed out and
// may have submitted them elsewhere.
func TestSuspensionCountsTowardsDeadline(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Submit(baseTime, 1, spec(step(1)), settings, time.Second)
	table.HandlePause(2 * time.Second)
	is.Equal(len(answersOf(table.Tick(baseTime))), 1)
}

// unlinked takes all other processes for lost, so that none is asked to release
// tasks.
func unlinked(ident.Process) bool { return false }
