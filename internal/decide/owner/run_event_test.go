package owner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// TestRunEvents guards against runs that are lost, adopted or given up without
// an event for the log. It does not cover RunMissing, Stalled and Inherited,
// nor HasTask of Adopted, for which hasTask is ignored.
func TestRunEvents(t *testing.T) {
	tests := map[string]struct {
		provoke func(h *harness)
		event   owner.Event
		hasTask bool
	}{
		"run adopted": {func(h *harness) {
			h.answerStarts()
			h.advance(10 * time.Millisecond)
			h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			placedAgain := order("j", 1, 10_000)
			placedAgain.MayHaveStarted = true
			h.place(home1, placedAgain)
			h.answerPolls()
		}, owner.Adopted, true},
		"start refused": {func(h *harness) {
			h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: h.starts[0].Number, Reply: owner.Full}))
		}, owner.StartRefused, true},
		"higher fence": {func(h *harness) {
			h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: h.starts[0].Number, Reply: owner.Fenced}))
		}, owner.Yielded, true},
		"lease expired": {func(h *harness) {
			h.answerStarts()
			for range 80 {
				polls := h.polls
				h.polls = nil
				for _, poll := range polls {
					h.collect(h.pool.HandlePollResult(h.now, &owner.PollResult{Call: poll.Number, Reply: owner.Unknown}))
				}
				h.advance(100 * time.Millisecond)
			}
		}, owner.LeaseExpired, true},
		"run aborted": {func(h *harness) {
			h.answerStarts()
			h.collect(h.pool.HandlePollResult(h.now, &owner.PollResult{
				Call: h.polls[0].Number, Clock: 2000, Incarnation: h.endpoints["e-0"].Entry.Incarnation,
				Ended: []owner.EndedRun{{Number: 1, Key: job.Key{Job: "j"}, Run: 1, Reason: owner.EndOther}},
			}))
		}, owner.RunAborted, true},
		"endpoint restarted": {func(h *harness) {
			h.answerStarts()
			h.now = h.now.Add(time.Second)
			h.endpoints["e-0"].Restart(h.now)
			h.updateList()
			h.answerPolls()
		}, owner.EndpointRestarted, true},
		"run unclaimed": {func(h *harness) {
			h.answerStarts()
			h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			h.answerPolls()
			h.advance(400 * time.Millisecond)
		}, owner.Unclaimed, false},
		"job withdrawn": {func(h *harness) {
			h.answerStarts()
			h.collect(h.pool.Withdraw(h.now, home1, "j"))
		}, owner.Withdrawn, true},
		"job resubmitted": {func(h *harness) {
			h.answerStarts()
			h.place(home2, order("j", 1, 10_000))
		}, owner.Resubmitted, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1)
			h.endpoints["e-0"].PlanOf = func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: time.Minute} }
			o := order("j", 1, 10_000)
			o.Deadline = time.Minute
			h.place(home1, o)
			tt.provoke(h)
			is.True(len(h.runEvents) > 0)
			is.Equal(h.runEvents[0].Event, tt.event)
			is.Equal(h.runEvents[0].Key, job.Key{Job: "j"})
			is.Equal(h.runEvents[0].Endpoint, h.entries[0].ID)
			if tt.event != owner.Adopted {
				is.Equal(h.runEvents[0].HasTask, tt.hasTask)
			}
		})
	}
}

// TestStartsAfterTakeoverReported guards against starts that rely on the absence
// of a run of an earlier owner and leave no event that says why.
func TestStartsAfterTakeoverReported(t *testing.T) {
	tests := map[string]struct {
		mayHaveStarted bool
		unreachable    bool
		wait           time.Duration
		basis          owner.StartBasis
	}{
		"all endpoints polled":     {true, false, 0, owner.BasisPolled},
		"delay":                    {true, true, 1800 * time.Millisecond, owner.BasisDelay},
		"new, endpoint not polled": {false, true, 500 * time.Millisecond, owner.BasisNew},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2)
			h.now = h.now.Add(5 * time.Second)
			h.polls, h.runEvents = nil, nil
			h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			o := order("j", 1, 10_000)
			o.MayHaveStarted, o.Deadline = tt.mayHaveStarted, time.Minute
			h.place(home1, o)
			for end := h.now.Add(tt.wait); len(h.runEvents) == 0 && !h.now.After(end); {
				h.advance(20 * time.Millisecond)
				h.updateList()
				if tt.unreachable {
					h.failPollsOf("e-1")
				} else {
					h.answerPollsOf("e-1")
				}
				h.answerPollsOf("e-0")
			}
			is.True(len(h.runEvents) > 0)
			is.Equal(h.runEvents[0].Event, owner.StartedAfterTakeover)
			is.Equal(h.runEvents[0].Basis, tt.basis)
			is.Equal(h.runEvents[0].Home, home1.Instance)
			is.Equal(h.runEvents[0].Unpolled > 0, tt.unreachable)
		})
	}
}
