package owner_test

import (
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// newLongRuns returns a harness whose runs take 3 s.
func newLongRuns(t *testing.T, endpoints int) *harness {
	t.Helper()
	h := newHarness(t, endpoints)
	for _, e := range h.endpoints {
		e.PlanOf = func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: 3 * time.Second} }
	}
	return h
}

// patientOrder returns an order for one task that may wait for long.
func patientOrder(id string) job.Order {
	o := order(id, 1, 10_000)
	o.Deadline = time.Minute
	return o
}

// takeOver replaces the pool's activation by one of the given epoch, and drops
// the calls of the earlier one.
func (h *harness) takeOver(epoch uint64) {
	h.polls, h.starts, h.stops = nil, nil, nil
	h.collect(h.pool.Activate(h.now, owner.NewFence(epoch, 2), func(owner.Endpoint) bool { return true }))
}

// answerPollsOf carries out the collected polls of one endpoint. The others stay
// in flight.
func (h *harness) answerPollsOf(id ident.EndpointID) {
	polls := h.polls
	h.polls = nil
	for _, poll := range polls {
		if poll.Endpoint != id {
			h.polls = append(h.polls, poll)
			continue
		}
		result := h.endpoints[id].Poll(h.now, poll)
		result.SentAt = h.now
		h.collect(h.pool.HandlePollResult(h.now, &result))
	}
}

// pollByOther polls an endpoint as another owner does, with a lease of the given
// length, and reports the reply.
func (h *harness) pollByOther(id ident.EndpointID, epoch uint64, lease time.Duration) owner.Reply {
	e := h.endpoints[id]
	call := owner.Call{Fence: owner.NewFence(epoch, 3)}
	clock := e.Poll(h.now, owner.Poll{Call: call}).Clock
	return e.Poll(h.now, owner.Poll{Call: call, LeaseUntil: clock + owner.EndpointTime(lease.Milliseconds())}).Reply
}

// otherEndpoint returns the endpoint of two that is not the given one.
func otherEndpoint(id ident.EndpointID) ident.EndpointID {
	if id == "e-0" {
		return "e-1"
	}
	return "e-0"
}

// TestResubmittedJobWaitsForPollsOfNewOwner guards against a job that was
// submitted again and starts at a new owner before the endpoint was polled that
// still runs it for the earlier home.
func TestResubmittedJobWaitsForPollsOfNewOwner(t *testing.T) {
	h := newLongRuns(t, 2)
	h.place(home1, patientOrder("j"))
	running := h.starts[0].Endpoint
	h.answerStarts()
	h.takeOver(2000)
	h.answerPollsOf(otherEndpoint(running))
	h.place(home2, patientOrder("j"))
	h.advance(25 * time.Millisecond)
	h.is.Equal(len(h.endpoints[running].Running()), 1)
	h.is.Equal(len(h.starts), 0) // the other endpoint has not been polled
}

// TestSecondRunStoppedWhenFound guards against two runs of a task that both end
// as done although their owner knows of both.
func TestSecondRunStoppedWhenFound(t *testing.T) {
	h := newLongRuns(t, 2)
	h.place(home1, patientOrder("j"))
	running := h.starts[0].Endpoint
	h.answerStarts()
	h.takeOver(2000)
	h.answerPollsOf(otherEndpoint(running))
	h.place(home2, patientOrder("j"))
	if len(h.starts) == 0 {
		return // the task waits for the polls, so there is no second run
	}
	h.answerStarts()
	h.answerPollsOf(running)
	h.advance(25 * time.Millisecond)
	h.is.Equal(h.pool.Stats(h.now).Running, 2)
	h.is.Equal(len(h.stops), 1) // one of the two runs is stopped at once
}

// TestUnclaimedRunEndsBeforeResubmission guards against a run that a series of
// new owners keeps alive until its job, whose home was lost with the first
// owner, has been submitted again.
func TestUnclaimedRunEndsBeforeResubmission(t *testing.T) {
	// The caller submits a lost job again after this time.
	const resubmission = 1300 * time.Millisecond
	for _, takeovers := range []int{1, 2, 3, 4} {
		t.Run(string(rune('0'+takeovers)), func(t *testing.T) {
			h := newLongRuns(t, 1)
			h.place(home1, patientOrder("j"))
			h.answerStarts()
			lost := h.now
			// Each owner finds the run just before its lease ends, and is lost.
			for i := range takeovers {
				for h.leaseLeft("e-0") > 30*time.Millisecond {
					h.now = h.now.Add(10 * time.Millisecond)
				}
				h.takeOver(uint64(2000 * (i + 1)))
				h.answerPolls()
				h.collect(h.pool.Tick(h.now))
				h.answerPolls()
			}
			for len(h.endpoints["e-0"].Running()) > 0 {
				h.now = h.now.Add(10 * time.Millisecond)
				h.endpoints["e-0"].Advance(h.now)
			}
			t.Logf("%d takeovers: the run ends %v after its home was lost", takeovers, h.now.Sub(lost))
			h.is.True(h.now.Sub(lost) <= resubmission)
		})
	}
}

// leaseLeft returns how long an endpoint goes on without a further poll.
func (h *harness) leaseLeft(id ident.EndpointID) time.Duration {
	return h.endpoints[id].NextAdvance(h.now).Sub(h.now)
}

// TestStoppingRunOfYieldedEndpointBlocksTask guards against a task that starts
// although its earlier run, which was being stopped when the endpoint went to
// another owner, still runs there for another home.
func TestStoppingRunOfYieldedEndpointBlocksTask(t *testing.T) {
	h := newLongRuns(t, 2)
	h.place(home1, patientOrder("j"))
	running := h.starts[0].Endpoint
	h.answerStarts()
	h.advance(10 * time.Millisecond)
	h.place(home2, patientOrder("j")) // stops the run of home1
	h.is.Equal(len(h.stops), 1)
	h.is.Equal(len(h.starts), 0)
	// The stop arrives after the poll of another owner, which home1 follows.
	h.is.Equal(h.pollByOther(running, 3000, time.Second), owner.OK)
	h.answerStops()
	for range 40 { // 1 s
		h.advance(25 * time.Millisecond)
		h.pollByOther(running, 3000, time.Second)
		h.answerPolls()
	}
	h.is.Equal(len(h.endpoints[running].Running()), 1)
	h.is.Equal(len(h.starts), 0) // the other owner may keep the run
}

// TestStalePollDoesNotCount guards against an endpoint that counts as polled
// although the list of its runs was not read, since the answer to a later call
// has arrived before it.
func TestStalePollDoesNotCount(t *testing.T) {
	h := newLongRuns(t, 2)
	for range 120 { // 3 s, after which polls of the listed endpoints are enough
		h.advance(25 * time.Millisecond)
		h.answerPolls()
	}
	h.place(home1, patientOrder("k"))
	restarted := h.starts[0].Endpoint
	h.answerStarts()
	h.now = h.now.Add(10 * time.Millisecond)
	h.endpoints[restarted].Restart(h.now)
	h.now = h.now.Add(10 * time.Millisecond)
	foreign := owner.Start{Call: owner.Call{Fence: owner.NewFence(1, 3)}, Key: job.Key{Job: "j"}, Run: 1, LeaseUntil: 10_000}
	h.is.Equal(h.endpoints[restarted].Start(h.now, foreign).Reply, owner.OK) // by another owner
	h.updateList()
	h.failPollsOf(restarted) // the restart has broken the connection
	o := patientOrder("j")
	o.MayHaveStarted = true
	h.place(home1, o)
	h.answerPolls()
	h.is.Equal(len(h.stops), 1) // the restart was noticed
	h.is.Equal(len(h.starts), 0)
	polls := h.polls
	h.polls = nil
	var results []owner.PollResult
	for _, poll := range polls {
		result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
		result.SentAt = h.now
		results = append(results, result)
	}
	h.now = h.now.Add(5 * time.Millisecond)
	h.answerStops() // carried out after the polls, but answered before them
	for i := range results {
		h.collect(h.pool.HandlePollResult(h.now, &results[i]))
	}
	for _, s := range h.starts {
		h.is.True(s.Key.Job != "j") // it runs on the endpoint whose list was not read
	}
}

// failPollsOf loses the answers to the collected polls of one endpoint.
func (h *harness) failPollsOf(id ident.EndpointID) {
	polls := h.polls
	h.polls = nil
	for _, poll := range polls {
		if poll.Endpoint != id {
			h.polls = append(h.polls, poll)
			continue
		}
		result := owner.PollResult{Call: poll.Number, Reply: owner.Unknown, SentAt: h.now}
		h.collect(h.pool.HandlePollResult(h.now, &result))
	}
}

// TestLeaseExpiryCoversSeriesOfOwners guards against a task that starts again
// when the lease of its silent endpoint counts as expired, although a second
// owner after this one has kept the run.
func TestLeaseExpiryCoversSeriesOfOwners(t *testing.T) {
	h := newLongRuns(t, 2)
	h.place(home1, patientOrder("j"))
	running := h.starts[0].Endpoint
	h.answerStarts()
	cfg := owner.Config{}.Defaults()
	keep := cfg.ClaimGrace + 100*time.Millisecond // how long an owner keeps an unclaimed run
	epoch := uint64(2000)
	for end := h.now.Add(2600 * time.Millisecond); len(h.starts) == 0 && h.now.Before(end); {
		h.advance(20 * time.Millisecond)
		if len(h.endpoints[running].Running()) > 0 && h.leaseLeft(running) <= 40*time.Millisecond && epoch < 4000 {
			epoch += 1000
			h.is.Equal(h.pollByOther(running, epoch, keep), owner.OK)
		}
		h.failPollsOf(running) // out of reach of this owner only
		h.answerPollsOf(otherEndpoint(running))
	}
	if len(h.starts) > 0 {
		h.endpoints[running].Advance(h.now)
		h.is.Equal(len(h.endpoints[running].Running()), 0) // the run has ended when the next one starts
	}
}

// TestLeaseOfEarlierOwnerCounts guards against a task that starts again while its
// adopted run goes on under the lease of the earlier owner, on an endpoint that
// is out of reach since the takeover.
func TestLeaseOfEarlierOwnerCounts(t *testing.T) {
	for name, claimedAfter := range map[string]time.Duration{"claimed at once": 0, "claimed late": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h := newLongRuns(t, 2)
			h.now = h.now.Add(5 * time.Second)
			h.updateList()
			h.answerPolls()
			o := patientOrder("j")
			o.Needs.RequiredLabel = "r-0"
			h.place(home1, o)
			unclaimed := o
			unclaimed.Job = "k"
			h.place(home2, unclaimed)
			running := h.starts[0].Endpoint
			h.answerStarts() // the lease ends in a second
			h.takeOver(2000)
			h.answerPolls()
			h.advance(claimedAfter)
			placedAgain := patientOrder("j")
			placedAgain.MayHaveStarted, placedAgain.Placement = true, 2
			h.place(home1, placedAgain)
			for end := h.now.Add(3 * time.Second); len(h.starts) == 0 && h.now.Before(end); {
				h.failPollsOf(running)
				h.answerPollsOf(otherEndpoint(running))
				h.advance(20 * time.Millisecond)
			}
			h.is.Equal(len(h.starts), 1)
			h.is.Equal(len(h.endpoints[running].Running()), 0) // the first run has ended
		})
	}
}
