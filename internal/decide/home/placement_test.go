package home_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

// endsOf returns an end with the outcome for each task of an order.
func endsOf(o job.Order, outcome job.Outcome) (ends []job.TaskEnd) {
	for _, index := range o.Indexes {
		ends = append(ends, job.TaskEnd{Key: job.Key{Job: o.Job, Step: o.Step, Index: index}, Placement: o.Placement, Outcome: outcome})
	}
	return ends
}

func withdrawnFrom(actions []home.Action) (list []ident.Process) {
	for _, a := range actions {
		if w, ok := a.(home.Withdraw); ok {
			list = append(list, w.To)
		}
	}
	return list
}

// TestRefusedOnlyWithoutOpenPlacement guards against a job that is answered as
// refused while an owner that has its tasks may still start them.
func TestRefusedOnlyWithoutOpenPlacement(t *testing.T) {
	type report struct {
		from    ident.Process
		order   int
		outcome job.Outcome
	}
	cases := map[string]struct {
		reports []report
		// result is that of the answer after the last report, or zero for none.
		result    home.Result
		withdrawn []ident.Process
	}{
		"the earlier owner refuses":                {[]report{{owner1, 0, job.Refused}}, 0, nil},
		"the earlier owner gives up":               {[]report{{owner1, 0, job.Overdue}}, 0, nil},
		"only the later owner refuses":             {[]report{{owner2, 1, job.Refused}}, home.Overdue, []ident.Process{owner1}},
		"both refuse":                              {[]report{{owner1, 0, job.Refused}, {owner2, 1, job.Refused}}, home.Refused, nil},
		"one does not own, the other refuses":      {[]report{{owner1, 0, job.NotOwner}, {owner2, 1, job.Refused}}, home.Refused, nil},
		"the earlier owner refuses another order":  {[]report{{owner1, 1, job.Refused}, {owner2, 1, job.Refused}}, home.Overdue, []ident.Process{owner1}},
		"the same order twice":                     {[]report{{owner1, 0, job.Refused}, {owner1, 0, job.Refused}, {owner2, 1, job.Refused}}, home.Refused, nil},
		"the earlier owner refuses after it began": {[]report{{owner1, 0, job.Overdue}, {owner2, 1, job.Refused}}, home.Overdue, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			orders := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, time.Second))
			orders = append(orders, ordersOf(table.SetOwner(baseTime, owner2, true))...)
			is.Equal(len(orders), 2)
			var actions []home.Action
			for _, r := range c.reports {
				is.Equal(len(answersOf(actions)), 0)
				actions = table.HandleEnds(baseTime, r.from, endsOf(orders[r.order], r.outcome))
			}
			is.Equal(withdrawnFrom(actions), c.withdrawn)
			if list := answersOf(actions); c.result == 0 {
				is.Equal(len(list), 0)
			} else {
				is.Equal(len(list), 1)
				is.Equal(list[0].Result, c.result)
			}
		})
	}
}

// TestRefusalOfEarlierSubmission guards against a job that is answered as
// refused because of a late refusal for an earlier submission of it.
func TestRefusalOfEarlierSubmission(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := ordersOf(table.Submit(baseTime, 1, spec(step(1)), settings, time.Second))
	table.RemoveRequest(baseTime, "j", 1)
	second := ordersOf(table.Submit(baseTime, 2, spec(step(1)), settings, time.Second))
	is.Equal(len(answersOf(table.HandleEnds(baseTime, owner1, endsOf(first[0], job.Refused)))), 0)
	list := answersOf(table.HandleEnds(baseTime, owner1, endsOf(second[0], job.Refused)))
	is.Equal(len(list), 1)
	is.Equal(list[0].Result, home.Refused)
}

// TestDeadlineWithdrawsEverywhere guards against an earlier owner that starts
// tasks of a job whose deadline has passed.
func TestDeadlineWithdrawsEverywhere(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Submit(baseTime, 1, spec(step(2)), settings, time.Second)
	table.SetOwner(baseTime, owner2, true)
	actions := table.Tick(baseTime.Add(time.Second))
	is.Equal(answersOf(actions)[0].Result, home.Overdue)
	is.Equal(withdrawnFrom(actions), []ident.Process{owner1, owner2})
}

// TestFinishedJobWithdrawnFromLaterOwner guards against a task that a later owner
// starts again after the earlier one has reported that it is done.
func TestFinishedJobWithdrawnFromLaterOwner(t *testing.T) {
	is := is.New(t)
	table := newTable()
	orders := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, time.Second))
	table.SetOwner(baseTime, owner2, true)
	actions := table.HandleEnds(baseTime, owner1, endsOf(orders[0], job.Done))
	is.Equal(answersOf(actions)[0].Result, home.Finished)
	is.Equal(withdrawnFrom(actions), []ident.Process{owner2})
}

// TestRejectedOrderHasNotStarted guards against tasks that wait for polls of all
// endpoints only because they first went to a process that owned none.
func TestRejectedOrderHasNotStarted(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, time.Second))
	table.HandleEnds(baseTime, owner1, endsOf(first[0], job.NotOwner))
	second := ordersOf(table.Tick(baseTime.Add(100 * time.Millisecond)))
	is.Equal(len(second), 1)
	is.True(!second[0].MayHaveStarted)
}

// TestRejectedJobPlacedOnceAtNextOwner guards against a job that is placed twice
// at the next owner, with the claim that another owner may have started it,
// because an earlier owner has rejected it.
func TestRejectedJobPlacedOnceAtNextOwner(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := ordersOf(table.Submit(baseTime, 1, spec(step(2)), settings, time.Second))
	table.HandleEnds(baseTime, owner1, endsOf(first[0], job.NotOwner))
	second := ordersOf(table.SetOwner(baseTime.Add(10*time.Millisecond), owner2, true))
	is.Equal(len(second), 1)
	is.True(!second[0].MayHaveStarted)
	is.Equal(len(ordersOf(table.Tick(baseTime.Add(100*time.Millisecond)))), 0)
	list := answersOf(table.HandleEnds(baseTime.Add(110*time.Millisecond), owner2, endsOf(second[0], job.Refused)))
	is.Equal(len(list), 1)
	is.Equal(list[0].Result, home.Refused)
}

// TestEndsWithoutPlacement guards against jobs that wait for their deadline
// because the owner, an instance of an earlier version, does not repeat the
// number of the order.
func TestEndsWithoutPlacement(t *testing.T) {
	for name, outcome := range map[string]job.Outcome{"failed": job.Failed, "does not own": job.NotOwner} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			first := ordersOf(table.Submit(baseTime, 1, spec(step(1)), settings, time.Second))
			ends := endsOf(first[0], outcome)
			ends[0].Placement = 0
			again := ordersOf(table.HandleEnds(baseTime, owner1, ends))
			again = append(again, ordersOf(table.Tick(baseTime.Add(100*time.Millisecond)))...)
			is.Equal(len(again), 1)
		})
	}
}
