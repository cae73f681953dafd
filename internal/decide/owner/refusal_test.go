package owner_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// refuseStarts answers all starts with the reply until the task has ended. The
// endpoints go on answering polls and stops.
func (h *harness) refuseStarts(reply owner.Reply) {
	for end := h.now.Add(time.Minute); len(h.ends) == 0 && h.now.Before(end); {
		starts := h.starts
		h.starts = nil
		for _, s := range starts {
			h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: s.Number, Reply: reply}))
		}
		h.answerStops()
		h.advance(20 * time.Millisecond)
		h.answerPolls()
	}
}

// TestRefusedStartsAfterLostAnswer guards against a task that ends as refused,
// which says that it has not run, after many refused starts although the answer
// to an earlier one was lost, another owner may have started it, or the endpoint
// says that a run of it has ended there.
func TestRefusedStartsAfterLostAnswer(t *testing.T) {
	cases := map[string]struct {
		mayHaveStarted, lostAnswer bool
		reply                      owner.Reply
		outcome                    job.Outcome
	}{
		"all refused":                     {false, false, owner.Unhealthy, job.Refused},
		"the first answer was lost":       {false, true, owner.Unhealthy, job.Overdue},
		"another owner may have begun it": {true, false, owner.Unhealthy, job.Overdue},
		"a run of the task has ended":     {false, false, owner.OldRun, job.Overdue},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			o := order("j", 1, 10_000)
			o.Deadline, o.MayHaveStarted = time.Minute, c.mayHaveStarted
			h.place(home1, o)
			if c.lostAnswer {
				start := h.starts[0]
				h.starts = nil
				h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: start.Number, Reply: owner.Unknown}))
			}
			h.refuseStarts(c.reply)
			h.is.Equal(len(h.ends), 1)
			h.is.Equal(h.ends[0].Outcome, c.outcome)
		})
	}
}

// TestPlacedAgainNotRefused guards against a waiting job that is refused as not
// run after it was placed here again because another owner had it meanwhile.
func TestPlacedAgainNotRefused(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 60 {
		h.place(home1, order(fmt.Sprint("j-", i), 1, 10_000))
	}
	again := order("j-59", 1, 10_000)
	again.MayHaveStarted, again.Placement = true, 2
	h.place(home1, again)
	h.answerStarts()
	for range 200 {
		h.advance(10 * time.Millisecond)
		h.answerPolls()
		h.answerStarts()
	}
	refused := 0
	for _, e := range h.ends {
		if e.Outcome == job.Refused {
			refused++
			h.is.True(e.Key.Job != "j-59")
		}
	}
	h.is.True(refused > 0) // the other hopeless jobs
}

// TestListedRunNotRefused guards against a task that ends as refused although a
// poll has shown its run, because the run was lost before its start was answered.
func TestListedRunNotRefused(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	start := h.starts[0]
	h.endpoints[start.Endpoint].Start(h.now, start)
	h.advance(10 * time.Millisecond)
	h.answerPolls()
	h.endpoints[start.Endpoint].Restart(h.now) // the run ends without a result
	for range 20 {
		h.advance(10 * time.Millisecond)
		h.answerPolls()
		h.answerStops()
	}
	h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: start.Number, Reply: owner.Unknown}))
	h.starts = nil
	h.refuseStarts(owner.Unhealthy)
	h.is.Equal(len(h.ends), 1)
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}

// TestResubmittedJobNotRefused guards against a task that ends as refused although
// a run of it is there from an earlier submission through another home.
func TestResubmittedJobNotRefused(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	h.answerStarts()
	h.place(home2, order("j", 1, 10_000))
	h.answerStops()
	h.refuseStarts(owner.Unhealthy)
	h.is.Equal(len(h.ends), 1)
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}

// TestPlacedAgainDuringStart guards against a task that is refused as not run, or
// that starts again without polls of the endpoints, after it was placed here again
// while an endpoint had not answered its start, since another owner had it.
func TestPlacedAgainDuringStart(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	start := h.starts[0]
	h.starts = nil
	again := order("j", 1, 10_000)
	again.MayHaveStarted, again.Placement = true, 2
	h.place(home1, again)
	h.polls = nil
	h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: start.Number, Reply: owner.Late}))
	h.is.Equal(len(h.starts), 0) // no poll has been answered since
	h.refuseStarts(owner.Unhealthy)
	h.is.Equal(len(h.ends), 1)
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}

// TestEndedRunOfEarlierSubmissionNotRefused guards against a task that ends as
// refused although a poll has shown that a run of it is done, from a submission
// that this owner did not get.
func TestEndedRunOfEarlierSubmissionNotRefused(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	h.answerStarts()
	h.advance(150 * time.Millisecond) // done, and not polled yet
	h.polls = nil
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	h.answerPolls()
	h.place(home2, order("j", 1, 10_000))
	h.refuseStarts(owner.Unhealthy)
	h.is.Equal(len(h.ends), 1)
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}

// TestRunFoundForAllHomesNotRefused guards against a task that ends as refused
// although a poll has shown a run of it, because another home has the same job.
func TestRunFoundForAllHomesNotRefused(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	h.answerStarts()
	h.advance(10 * time.Millisecond)
	h.polls = nil
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	h.place(home1, order("j", 1, 10_000))
	h.place(home2, order("j", 1, 10_000))
	h.answerPolls() // finds the run
	h.collect(h.pool.Withdraw(h.now, home1, "j"))
	h.answerStops()
	h.refuseStarts(owner.Unhealthy)
	h.is.Equal(len(h.ends), 1)
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}
