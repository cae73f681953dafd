package owner_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// crashing is a harness whose endpoints crash when they have started certain
// tasks for a moment, and restart later.
type crashing struct {
	*harness
	deadly map[job.Key]bool
	// crashesWith counts the crashes of endpoints on which a task ran.
	crashesWith map[job.Key]int
	restartAt   map[ident.EndpointID]time.Time
}

func newCrashing(t *testing.T, endpoints int) *crashing {
	c := &crashing{
		harness: newHarness(t, endpoints), deadly: map[job.Key]bool{}, crashesWith: map[job.Key]int{}, restartAt: map[ident.EndpointID]time.Time{},
	}
	for id, e := range c.endpoints {
		e.PlanOf = func(key job.Key) leased.RunPlan {
			if c.deadly[key] {
				return leased.RunPlan{Duration: 10 * time.Millisecond, Crashes: true}
			}
			return leased.RunPlan{Duration: 100 * time.Millisecond}
		}
		e.OnCrash = func(time.Time) { c.crash(id) }
	}
	return c
}

func (c *crashing) crash(id ident.EndpointID) {
	for _, key := range c.endpoints[id].Running() {
		c.crashesWith[key]++
	}
	c.down[id], c.restartAt[id] = true, c.now.Add(3*time.Second)
}

// play carries out all calls for a time.
func (c *crashing) play(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.answerStarts()
		c.answerStops()
		c.advance(5 * time.Millisecond)
		for id, at := range c.restartAt {
			if !c.now.Before(at) {
				delete(c.restartAt, id)
				delete(c.down, id)
				c.endpoints[id].Restart(c.now)
				c.updateList()
			}
		}
		c.answerPolls()
	}
}

func patient(id string, tasks int) job.Order {
	o := order(id, tasks, 10_000)
	o.Deadline = 20 * time.Second
	return o
}

// outcomes returns the outcome of each task that ended.
func (c *crashing) outcomes() map[job.Key]job.Outcome {
	m := map[job.Key]job.Outcome{}
	for _, end := range c.ends {
		m[end.Key] = end.Outcome
	}
	return m
}

// TestCrashingTaskGivenUp guards against a task that crashes endpoint after
// endpoint, and against the loss of the tasks beside it: it is given up after
// its second endpoint, on which it was alone, and the others are done.
func TestCrashingTaskGivenUp(t *testing.T) {
	c := newCrashing(t, 4)
	bad := job.Key{Job: "bad", Index: 1}
	c.deadly[bad] = true
	c.place(home1, patient("good", 2))
	c.place(home1, patient("bad", 2))
	c.play(8 * time.Second)
	c.is.Equal(c.crashesWith[bad], 2)
	c.is.Equal(c.outcomes(), map[job.Key]job.Outcome{
		{Job: "good", Index: 0}: job.Done, {Job: "good", Index: 1}: job.Done, {Job: "bad", Index: 0}: job.Done, bad: job.Crashed,
	})
	for key, n := range c.crashesWith {
		c.is.True(key == bad || n == 1) // the second crash cost no other task
	}
	// A later submission through another home does not start it either.
	starts := c.pool.Stats(c.now).Starts
	again := patient("bad", 2)
	again.Indexes, again.MinRuns = []int{1}, []int{1}
	c.place(home2, again)
	c.play(time.Second)
	c.is.Equal(c.pool.Stats(c.now).Starts, starts)
	c.is.Equal(c.ends[len(c.ends)-1].Outcome, job.Crashed)
}

// TestCrashesKnownToNextOwner guards against a new owner that counts the crashes
// of a task from zero.
func TestCrashesKnownToNextOwner(t *testing.T) {
	first := newCrashing(t, 4)
	bad := job.Key{Job: "bad"}
	first.deadly[bad] = true
	first.place(home1, patient("bad", 1))
	first.play(time.Second)
	first.is.Equal(first.crashes, []owner.CrashRecord{{Key: bad, Crashes: 1, Outages: 1, Suspect: true}})

	next := newCrashing(t, 4)
	next.deadly[bad] = true
	next.pool.ObserveCrashes(next.now, first.crashes)
	next.collect(next.pool.Activate(next.now, owner.NewFence(9, 2), func(owner.Endpoint) bool { return true }))
	next.place(home2, patient("bad", 1))
	next.play(8 * time.Second)
	next.is.Equal(next.crashesWith[bad], 1)
	next.is.Equal(next.outcomes()[bad], job.Crashed)
	next.is.Equal(next.pool.CrashRecords(), []owner.CrashRecord{{Key: bad, Crashes: 2, Outages: 2, Suspect: true, GivenUp: true}})
}

// TestCommonOutageBlamesNoTask guards against tasks that are given up, or wait
// to run alone, because many endpoints crash at once for another reason.
func TestCommonOutageBlamesNoTask(t *testing.T) {
	c := newCrashing(t, 12)
	for round := range 3 {
		c.place(home1, patient(fmt.Sprint("j-", round), 18))
		c.play(20 * time.Millisecond)
		for i := range 6 {
			c.crash(ident.EndpointID(fmt.Sprint("e-", i)))
		}
		c.play(6 * time.Second)
	}
	for _, r := range c.crashes {
		c.is.True(!r.Suspect && !r.GivenUp)
	}
	for key, outcome := range c.outcomes() {
		if outcome != job.Done {
			t.Fatalf("%v ended as %v", key, outcome)
		}
	}
	c.is.Equal(len(c.ends), 3*18)
}

// TestLeavingEndpointBlamesNoTask guards against tasks that wait to run alone
// because their endpoint drained and left before they had ended.
func TestLeavingEndpointBlamesNoTask(t *testing.T) {
	c := newCrashing(t, 2)
	c.place(home1, patient("j", 2))
	c.play(20 * time.Millisecond)
	c.endpoints["e-0"].Entry.Draining, c.endpoints["e-1"].Entry.Draining = true, true
	c.updateList()
	c.crash("e-0")
	c.crash("e-1")
	c.play(time.Second)
	c.is.Equal(len(c.crashes), 2)
	for _, r := range c.crashes {
		c.is.Equal(r.Outages, 1)
		c.is.True(!r.Suspect && !r.GivenUp)
	}
}
