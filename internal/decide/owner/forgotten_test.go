package owner_test

import (
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// answerDuePolls carries out the polls that were sent at least their wait ago,
// as an endpoint does on which no run ends.
func (h *harness) answerDuePolls(sentAt map[uint64]time.Time) {
	polls := h.polls
	h.polls = nil
	var waiting []owner.Poll
	for _, poll := range polls {
		if sentAt[poll.Number].IsZero() {
			sentAt[poll.Number] = h.now
			// The endpoint takes the lease when the poll arrives.
			renewal := poll
			renewal.Wait = 0
			h.endpoints[poll.Endpoint].Poll(h.now, renewal)
		}
		if h.now.Sub(sentAt[poll.Number]) < poll.Wait {
			waiting = append(waiting, poll)
			continue
		}
		poll.LeaseUntil = 0 // taken on arrival
		result := h.endpoints[poll.Endpoint].Poll(h.now, poll)
		result.SentAt = sentAt[poll.Number]
		h.collect(h.pool.HandlePollResult(h.now, &result))
	}
	h.polls = append(waiting, h.polls...)
}

// TestRunsOutlivePauseBelowLease guards against runs whose lease expires after a
// pause of the owner that is shorter than the lease, because the poll after the
// pause neither renews the lease nor returns before it has expired.
func TestRunsOutlivePauseBelowLease(t *testing.T) {
	for _, pause := range []time.Duration{350, 450, 550, 650} {
		pause *= time.Millisecond
		t.Run(pause.String(), func(t *testing.T) {
			lost := 0
			for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 20 * time.Millisecond {
				h := newLongRuns(t, 1)
				h.place(home1, patientOrder("j"))
				h.answerStarts()
				sentAt := map[uint64]time.Time{}
				for end := h.now.Add(600*time.Millisecond + phase); h.now.Before(end); {
					h.answerDuePolls(sentAt)
					h.advance(10 * time.Millisecond)
				}
				h.answerDuePolls(sentAt)
				h.answerDuePolls(sentAt) // the next poll has arrived
				h.now = h.now.Add(pause)
				h.endpoints["e-0"].Advance(h.now)
				h.pool.HandlePause(h.now, h.now.Add(150*time.Millisecond), 0)
				for end := h.now.Add(700 * time.Millisecond); h.now.Before(end); {
					h.answerDuePolls(sentAt)
					h.advance(10 * time.Millisecond)
				}
				if len(h.endpoints["e-0"].Running()) == 0 {
					lost++
				}
			}
			t.Logf("pause of %v: the run is lost in %d of 15 phases of the poll", pause, lost)
			if lost > 0 {
				t.Fail()
			}
		})
	}
}

// TestTaskOfForgottenRunNotRefused guards against a refusal, which promises that
// nothing of the job runs, while a run of it goes on that the owner has
// forgotten.
func TestTaskOfForgottenRunNotRefused(t *testing.T) {
	h := newLongRuns(t, 2)
	h.place(home1, patientOrder("j"))
	running := h.starts[0].Endpoint
	h.answerStarts()
	h.advance(10 * time.Millisecond)
	h.collect(h.pool.Withdraw(h.now, home1, "j"))
	h.is.Equal(h.pollByOther(running, 3000, time.Second), owner.OK)
	h.answerStops() // fenced: the endpoint is yielded
	h.place(home2, order("j", 1, 10_000))
	for end := h.now.Add(1600 * time.Millisecond); len(h.ends) == 0 && h.now.Before(end); {
		h.advance(25 * time.Millisecond)
		h.pollByOther(running, 3000, time.Second)
		h.answerPolls()
	}
	h.is.Equal(len(h.endpoints[running].Running()), 1)
	h.is.Equal(len(h.ends), 1)
	h.is.Equal(h.ends[0].Outcome, job.Overdue)
}

// TestStartsNotLoggedLongAfterTakeover guards against an event for each start of
// a new task for as long as an endpoint is out of reach.
func TestStartsNotLoggedLongAfterTakeover(t *testing.T) {
	h := newHarness(t, 2)
	h.down["e-1"] = true
	h.takeOver(2000)
	for range 1200 { // 30 s
		h.advance(25 * time.Millisecond)
		h.answerPolls()
	}
	h.runEvents = nil
	h.place(home1, order("j", 3, 10_000))
	h.is.Equal(len(h.starts), 3)
	events := 0
	for _, e := range h.runEvents {
		if e.Event == owner.StartedAfterTakeover {
			events++
		}
	}
	h.is.Equal(events, 0)
}
