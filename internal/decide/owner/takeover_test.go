package owner_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// TestTakeoverAdoptsRuns guards against runs of an earlier owner that are
// started a second time, and against an unclaimed run that is counted more than
// once. It does not check that an unclaimed run is stopped.
func TestTakeoverAdoptsRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	h.place(home2, order("k", 1, 10_000))
	h.answerStarts()
	h.advance(10 * time.Millisecond)
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	placedAgain := order("j", 1, 10_000)
	placedAgain.MayHaveStarted = true
	h.place(home1, placedAgain)
	h.answerPolls()
	h.is.Equal(len(h.starts), 0) // adopted
	h.is.Equal(h.pool.Stats(h.now).Adopted, uint64(1))
	h.place(home1, order("l", 1, 10_000))
	h.is.Equal(len(h.starts), 0) // the endpoint has an unclaimed run of unknown room
	h.advance(50 * time.Millisecond)
	h.is.Equal(len(h.stops), 0)
	// The home of k does not place it in time.
	for range 20 {
		h.advance(20 * time.Millisecond)
	}
	h.answerPolls()
	h.advance(time.Millisecond)
	h.is.True(h.pool.Stats(h.now).Unclaimed <= 1)
}

// TestPossiblyStartedTaskWaitsForPolls guards against a task that another owner
// may have started and that starts here before every endpoint was polled after
// it was placed.
func TestPossiblyStartedTaskWaitsForPolls(t *testing.T) {
	h := newHarness(t, 2)
	h.advance(10 * time.Millisecond)
	o := order("j", 1, 10_000)
	o.MayHaveStarted = true
	h.place(home1, o)
	h.is.Equal(len(h.starts), 0)
	h.updateList()
	polls := h.polls
	h.polls = nil
	for _, poll := range polls {
		if poll.Endpoint == "e-0" {
			result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
			result.SentAt = h.now
			h.collect(h.pool.HandlePollResult(h.now, &result))
		}
	}
	h.is.Equal(len(h.starts), 0) // e-1 may run it
	h.advance(1700 * time.Millisecond)
	h.is.Equal(h.ends[0].Outcome, job.Overdue) // its deadline of 1.5 s has passed
}

// TestCallsOfEarlierActivationFenced guards against calls of an earlier
// activation that are carried out after the polls of the next one.
func TestCallsOfEarlierActivationFenced(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	lateStart := h.starts[0]
	h.starts = nil
	h.pool.Deactivate(h.now)
	h.collect(h.pool.Activate(h.now, owner.NewFence(5, 1), func(owner.Endpoint) bool { return true }))
	h.polls = h.polls[len(h.polls)-1:]
	h.answerPolls()
	h.is.Equal(h.endpoints["e-0"].Start(h.now, lateStart).Reply, owner.Fenced)
}

// TestSupersededRefusalIgnored guards against an endpoint that is yielded
// because it refused a call sent before this owner raised the fence.
func TestSupersededRefusalIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	lateStart := h.starts[0]
	h.starts = nil
	h.now = h.now.Add(50 * time.Millisecond)
	h.endpoints["e-0"].Restart(h.now)
	h.updateList()
	for range 2 { // the second poll raises the fence
		h.advance(10 * time.Millisecond)
		h.answerPolls()
	}
	a := h.endpoints["e-0"].Start(h.now, lateStart)
	h.is.Equal(a.Reply, owner.Fenced)
	h.collect(h.pool.HandleCallResult(h.now, &a))
	h.is.Equal(h.pool.Stats(h.now).Foreign, 0)
	h.is.Equal(h.pool.Stats(h.now).Held, 1)
}

// TestShortLeaseForUnclaimedRuns guards against unclaimed runs of an earlier
// owner that go on after ClaimGrace, when their tasks may already run
// elsewhere.
func TestShortLeaseForUnclaimedRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	h.answerStarts()
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	h.polls = h.polls[len(h.polls)-1:]
	h.answerPolls()
	h.advance(10 * time.Millisecond)
	poll := h.polls[len(h.polls)-1]
	clock := h.endpoints["e-0"].Poll(h.now, poll).Clock
	cfg := owner.Config{}.Defaults()
	h.is.True(poll.LeaseUntil > 0)
	h.is.True(time.Duration(poll.LeaseUntil-clock)*time.Millisecond <= cfg.ClaimGrace+150*time.Millisecond)
}

// TestMissingEndpointStillConsidered guards against dropping an endpoint that
// is missing from the list because of a network partition. Another owner may
// run a task there that is placed here as well.
func TestMissingEndpointStillConsidered(t *testing.T) {
	h := newHarness(t, 2)
	visible := h.entries[:1]
	for range 200 { // 5 s
		h.now = h.now.Add(25 * time.Millisecond)
		h.collect(h.pool.SetEndpoints(h.now, h.now, visible))
		polls := h.polls
		h.polls = nil
		for _, poll := range polls {
			result := owner.PollResult{Call: poll.Number, Reply: owner.Unknown}
			if poll.Endpoint == "e-0" {
				result = h.endpoints[poll.Endpoint].Poll(h.now, poll)
			}
			result.SentAt = h.now
			h.collect(h.pool.HandlePollResult(h.now, &result))
		}
	}
	o := order("j", 1, 10_000)
	o.MayHaveStarted = true
	h.place(home1, o)
	for _, poll := range h.polls {
		if poll.Endpoint == "e-0" {
			result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
			result.SentAt = h.now
			h.collect(h.pool.HandlePollResult(h.now, &result))
		}
	}
	h.is.Equal(len(h.starts), 0)
}

// TestEndpointRestart guards against tasks that are believed to run on an
// endpoint that has restarted, and against calls from before the restart that
// are carried out after it.
func TestEndpointRestart(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	lateStart := h.starts[0]
	h.answerStarts()
	h.now = h.now.Add(50 * time.Millisecond)
	h.endpoints["e-0"].Restart(h.now)
	h.advance(10 * time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.stops), 1) // only a stop proves that the restarted endpoint does not run it
	h.answerStops()
	h.updateList() // the entry after the restart
	h.advance(10 * time.Millisecond)
	h.answerPolls()
	h.advance(10 * time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.starts), 1)
	h.is.Equal(h.starts[0].Run, 2)
	h.is.Equal(h.endpoints["e-0"].Start(h.now, lateStart).Reply, owner.Fenced)
}

// TestEndpointRestartWithFailedPoll guards against giving up a run that a
// restarted endpoint may have started, when an earlier poll of the endpoint
// fails and the next one cannot be sent yet.
func TestEndpointRestartWithFailedPoll(t *testing.T) {
	h := newHarnessWith(t, 2, owner.Config{MaxProbes: 1})
	h.place(home1, order("j", 1, 10_000))
	start := h.starts[0]
	h.starts = nil
	h.now = h.now.Add(50 * time.Millisecond)
	for _, e := range h.endpoints {
		e.Restart(h.now)
	}
	a := h.endpoints[start.Endpoint].Start(h.now, start) // the restarted endpoint carries out the start
	h.is.Equal(a.Reply, owner.OK)
	pendingPolls := h.polls
	h.polls = nil
	h.collect(h.pool.HandleCallResult(h.now, &owner.CallResult{Call: start.Number, Reply: owner.Unknown}))
	h.is.Equal(len(h.polls), 1)
	failedPoll := h.polls[0]
	h.polls = nil
	h.now = h.now.Add(10 * time.Millisecond)
	// The poll of the other endpoint comes first and takes the only probe.
	if pendingPolls[0].Endpoint == start.Endpoint {
		slices.Reverse(pendingPolls)
	}
	for _, poll := range pendingPolls {
		result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
		result.SentAt, result.Running = h.now, nil // the list was made before the start
		h.collect(h.pool.HandlePollResult(h.now, &result))
	}
	h.collect(h.pool.HandlePollResult(h.now, &owner.PollResult{Call: failedPoll.Number, Reply: owner.Unknown}))
	h.is.Equal(h.pool.Stats(h.now).Lost, uint64(0)) // it may run
	h.updateList()
	for _, poll := range h.polls {
		if poll.Endpoint != start.Endpoint {
			result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
			result.SentAt = h.now
			h.collect(h.pool.HandlePollResult(h.now, &result))
		}
	}
	h.collect(h.pool.Tick(h.now))
	h.is.Equal(len(h.starts), 0)
}

// TestInheritedEndNotRunAgain guards against a task that runs again because the
// owner that started it exited before it reported the end.
func TestInheritedEndNotRunAgain(t *testing.T) {
	cases := map[string]bool{"placed before the poll": true, "placed after the poll": false}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.place(home1, order("j", 1, 10_000))
			h.answerStarts()
			h.advance(150 * time.Millisecond) // done, and not polled yet
			h.polls = nil
			h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
			o := order("j", 1, 10_000)
			o.MayHaveStarted = true
			if before {
				h.place(home1, o)
			}
			h.answerPolls()
			if !before {
				h.place(home1, o)
			}
			h.is.Equal(len(h.starts), 0)
			h.is.Equal(len(h.ends), 1)
			h.is.Equal(h.ends[0].Outcome, job.Done)
		})
	}
}

// TestWithdrawAfterInheritedEnd guards against a task that runs although its
// home has withdrawn its job: the first task of the order was already done under
// the earlier owner, and the rest was kept where no withdrawal finds it.
func TestWithdrawAfterInheritedEnd(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("j", 1, 10_000))
	h.answerStarts()
	h.advance(200 * time.Millisecond) // the run ends, and nothing reports it
	h.polls = nil
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	h.answerPolls()
	h.ends = nil
	placedAgain := order("j", 2, 10_000)
	placedAgain.MayHaveStarted, placedAgain.Deadline = true, time.Minute
	h.place(home1, placedAgain)
	h.is.Equal(len(h.ends), 1) // the first task was done
	h.collect(h.pool.Withdraw(h.now, home1, "j"))
	h.is.Equal(h.pool.Stats(h.now).Waiting, 0)
	for range 10 {
		h.advance(200 * time.Millisecond)
		h.answerPolls()
	}
	h.is.Equal(len(h.starts), 0)
}

// TestReselectedEndpointPolledBeforeStart guards against starts on an endpoint
// that was not selected for a while, before this owner has polled it again.
func TestReselectedEndpointPolledBeforeStart(t *testing.T) {
	h := newHarness(t, 1)
	h.pool.SetOwned(func(owner.Endpoint) bool { return false })
	h.advance(20 * time.Millisecond)
	h.pool.SetOwned(func(owner.Endpoint) bool { return true })
	h.place(home1, order("j", 1, 10_000))
	h.is.Equal(len(h.starts), 0)
	h.advance(20 * time.Millisecond)
	h.answerPolls()
	h.is.Equal(len(h.starts), 1)
}

// TestNewInstanceTakesOver guards against a task that a new instance starts a
// second time, since it still runs on an endpoint that left the list before that
// instance first read it: the owner before it still used the endpoint.
func TestNewInstanceTakesOver(t *testing.T) {
	h := newHarness(t, 3)
	o := order("j", 1, 10_000)
	o.MayHaveStarted, o.Deadline = true, time.Minute
	h.place(home1, o)
	for delay := time.Duration(0); delay < (owner.Config{}).Defaults().ForeignStartDelay; delay += 20 * time.Millisecond {
		h.is.Equal(len(h.starts), 0)
		h.advance(20 * time.Millisecond)
		h.updateList()
		h.answerPolls()
	}
	h.advance(20 * time.Millisecond)
	h.is.Equal(len(h.starts), 1)
}

// TestSilentEndpointsDoNotDelayTakeover guards against a new owner that repeats
// polls of endpoints in a cut-off data centre while it has not polled others.
func TestSilentEndpointsDoNotDelayTakeover(t *testing.T) {
	const endpoints, pollTimeout, bound = 300, 200 * time.Millisecond, 600 * time.Millisecond
	h := newHarness(t, endpoints)
	h.polls = nil
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	silent := func(id ident.EndpointID) bool {
		return strings.HasSuffix(string(id), "0") || strings.HasSuffix(string(id), "5") || strings.HasSuffix(string(id), "7")
	}
	reachable := 0
	for id := range h.endpoints {
		if !silent(id) {
			reachable++
		}
	}
	failAt := map[uint64]time.Time{}
	startedAt := h.now
	for h.pool.Stats(h.now).Held < reachable && h.now.Sub(startedAt) < 5*time.Second {
		polls := h.polls
		h.polls = nil
		for _, poll := range polls {
			if silent(poll.Endpoint) {
				failAt[poll.Number] = h.now.Add(pollTimeout)
				continue
			}
			result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
			result.SentAt = h.now
			h.collect(h.pool.HandlePollResult(h.now, &result))
		}
		for _, number := range slices.Sorted(maps.Keys(failAt)) {
			if !h.now.Before(failAt[number]) {
				delete(failAt, number)
				h.collect(h.pool.HandlePollResult(h.now, &owner.PollResult{Call: number, Reply: owner.Unknown}))
			}
		}
		h.advance(25 * time.Millisecond)
	}
	t.Logf("all of %d reachable endpoints held after %v", reachable, h.now.Sub(startedAt))
	h.is.True(h.now.Sub(startedAt) <= bound)
}

// TestTakeoverPollRate guards against a new owner of many endpoints that makes
// so many calls at once that they time out.
func TestTakeoverPollRate(t *testing.T) {
	const endpoints, homes = 350, 35
	h := newHarness(t, endpoints)
	h.polls = nil
	h.now = h.now.Add(owner.Config{}.Defaults().MissingGrace) // the instance is not new
	h.collect(h.pool.Activate(h.now, owner.NewFence(6, 2), func(owner.Endpoint) bool { return true }))
	maxAtOnce, polls := 0, 0
	answerAll := func() {
		atOnce := 0
		for _, poll := range h.polls {
			if poll.Wait == 0 {
				atOnce++
			}
		}
		maxAtOnce, polls = max(maxAtOnce, atOnce), polls+atOnce
		h.answerPolls()
	}
	for range 20 {
		h.advance(5 * time.Millisecond)
		answerAll()
	}
	h.is.Equal(h.pool.Stats(h.now).Held, endpoints) // all were polled
	h.is.True(maxAtOnce <= owner.Config{}.Defaults().MaxProbes)
	maxAtOnce, polls = 0, 0
	for i := range homes {
		o := order(fmt.Sprint("j-", i), 1, 10_000)
		o.MayHaveStarted = true
		h.place(ident.Process{Instance: ident.InstanceID(fmt.Sprint("home-", i))}, o)
		h.advance(time.Millisecond)
		answerAll()
	}
	h.is.True(polls <= 2*endpoints) // although the homes placed their tasks one after the other
	for range 10 {
		h.advance(25 * time.Millisecond)
		h.updateList()
		answerAll()
		h.answerStarts()
	}
	started := 0
	for _, e := range h.endpoints {
		started += len(e.Running())
	}
	h.is.Equal(started+len(h.ends), homes) // all tasks that may have started before were started
}

// TestOutbidOwnerNotStartedBeside guards against a task that an owner starts on
// an endpoint right after it has outbid the fence of another one: that one
// counts on its poll of the endpoint to keep earlier owners from starting, and
// the task's home may have placed it there.
func TestOutbidOwnerNotStartedBeside(t *testing.T) {
	cfg := owner.Config{}.Defaults()
	tests := map[string]func(h *harness){
		"reclaimed":      func(h *harness) { h.collect(h.pool.Reclaim(h.now)) },
		"after back-off": func(h *harness) { h.advance(cfg.ForeignBackOff) },
		"at its takeover": func(h *harness) {
			h.collect(h.pool.Activate(h.now, owner.NewFence(8, 1), func(owner.Endpoint) bool { return true }))
		},
	}
	for name, acquire := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			pollOfOther := func(epoch uint64) {
				poll := owner.Poll{Call: owner.Call{Fence: owner.NewFence(epoch, 2)}}
				h.is.Equal(h.endpoints["e-0"].Poll(h.now, poll).Reply, owner.OK)
			}
			pollOfOther(7)
			h.answerPolls()
			h.is.Equal(h.pool.Stats(h.now).Foreign, 1)
			pollOfOther(2000)
			acquire(h)
			o := order("j", 1, 10_000)
			o.Deadline = time.Minute
			h.place(home1, o)
			for h.pool.Stats(h.now).Held == 0 {
				h.answerPolls()
				h.collect(h.pool.Tick(h.now))
			}
			acquiredAt := h.now
			h.place(home1, order("k", 1, 10_000))
			h.is.Equal(len(h.starts), 0) // placed at the moment of the acquisition
			h.collect(h.pool.Withdraw(h.now, home1, "k"))
			h.now = h.now.Add(time.Millisecond)
			h.place(home1, order("l", 1, 10_000))
			h.is.Equal(len(h.starts), 1) // its home follows this owner still
			h.answerStarts()
			for len(h.starts) == 0 && h.now.Sub(acquiredAt) < time.Minute {
				h.advance(20 * time.Millisecond)
				h.answerPolls()
			}
			h.is.Equal(len(h.starts), 1)
			h.is.True(h.now.Sub(acquiredAt) >= cfg.OwnerConflictDelay)
		})
	}
}
