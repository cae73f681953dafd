package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/standin/leased"
)

// resubmission is the least time after which a caller submits a lost job again.
const resubmission = 1300 * time.Millisecond

// firstDataCentre is the data centre of all instances of an ownerCore.
const firstDataCentre = ident.DataCentre("dc-0")

// ownerCore drives the core of an owner with one peer, the home of its tasks.
type ownerCore struct {
	t    *testing.T
	now  time.Time
	core *dispatcher.Core
	home ident.Process
	// lastPlacement is the number of the latest order that the home has sent.
	lastPlacement uint64
	fake          *leased.Endpoint
	polls         []owner.Poll
	starts        []owner.Start
	stops         []owner.Stop
}

func newOwnerCore(t *testing.T) *ownerCore {
	t.Helper()
	c := &ownerCore{t: t, now: time.Unix(1_800_000_000, 0), home: ident.Process{Instance: "n-1", Incarnation: 1}}
	self := ident.Process{Instance: "n-0", Incarnation: 1}
	var err error
	c.core, err = dispatcher.New(c.now, dispatcher.Config{Leader: leader.Config{Self: self, DataCentre: firstDataCentre}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.fake = &leased.Endpoint{
		Entry:    owner.Endpoint{ID: "e-0", Address: "e-0", Service: service, DataCentre: firstDataCentre, Room: job.Room{CPU: 32_000, Memory: 1000}},
		MaxLease: time.Second, ClockRate: 1,
		PlanOf: func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: 10 * time.Second} },
		RoomOf: func(job.Key) job.Room { return job.Room{CPU: 1000, Memory: 1} },
	}
	c.fake.Restart(c.now)
	c.core.SetMembers(c.now, []leader.Member{{Instance: self.Instance, DataCentre: firstDataCentre}, {Instance: c.home.Instance, DataCentre: firstDataCentre}})
	c.collect(c.core.HandleLinkUp(c.now, c.home, firstDataCentre))
	for range 60 {
		c.heartbeat(self)
		actions, _ := c.core.UpdateEndpoints(c.now, []owner.Endpoint{c.fake.Entry})
		c.collect(actions)
		c.step(25 * time.Millisecond)
	}
	if !c.core.IsOwner() {
		t.Fatal("the core is not the owner")
	}
	return c
}

// heartbeat delivers a heartbeat of the home, which names the process that it
// follows.
func (c *ownerCore) heartbeat(follows ident.Process) {
	m := dispatcher.Heartbeat{
		Heartbeat: leader.Heartbeat{Seniority: 100, Owner: follows, Followers: 2}, Layout: group.Whole, LastPlacement: c.lastPlacement,
	}
	if follows.Instance != "n-0" {
		m.Followers = 0
	}
	c.collect(c.core.Receive(c.now, c.home, m))
}

func (c *ownerCore) collect(actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Poll:
			c.polls = append(c.polls, a)
		case owner.Start:
			c.starts = append(c.starts, a)
		case owner.Stop:
			c.stops = append(c.stops, a)
		}
	}
}

// step lets time pass without an event, as in a pause, then ticks the core and
// answers its polls.
func (c *ownerCore) step(d time.Duration) {
	c.now = c.now.Add(d)
	c.collect(c.core.Tick(c.now))
	polls := c.polls
	c.polls = nil
	for _, poll := range polls {
		result := c.fake.Poll(c.now, poll)
		result.SentAt = c.now
		c.collect(c.core.HandlePollResult(c.now, &result))
	}
}

// order returns an order for one task that may wait for long.
func (c *ownerCore) order(id job.ID, mayHaveStarted bool) dispatcher.Orders {
	return dispatcher.Orders{{
		Job: id, Service: service, Needs: job.Needs{Room: job.Room{CPU: 1000, Memory: 1}, Estimate: 10 * time.Second},
		Indexes: []int{0}, MinRuns: []int{1}, Target: time.Minute, Deadline: time.Minute, Placement: 1, MayHaveStarted: mayHaveStarted,
	}}
}

// TestOrderNotOvertakenByHeartbeat guards against a task that starts for a home
// whose heartbeat has already named another owner, since heartbeats overtake
// orders.
func TestOrderNotOvertakenByHeartbeat(t *testing.T) {
	is := is.New(t)
	c := newOwnerCore(t)
	c.lastPlacement = 1
	c.heartbeat(ident.Process{Instance: "n-2", Incarnation: 1})
	c.collect(c.core.Receive(c.now, c.home, c.order("j", false))) // sent before the heartbeat
	c.step(25 * time.Millisecond)
	is.Equal(len(c.starts), 0)
}

// TestSilentHomeTasksStoppedDespiteShortPauses guards against a run that an owner
// keeps for a silent home until the job has been submitted again, because the
// owner is paused again and again for a short time.
func TestSilentHomeTasksStoppedDespiteShortPauses(t *testing.T) {
	is := is.New(t)
	c := newOwnerCore(t)
	c.collect(c.core.Receive(c.now, c.home, c.order("j", false)))
	is.Equal(len(c.starts), 1)
	result := c.fake.Start(c.now, c.starts[0])
	c.collect(c.core.HandleCallResult(c.now, &result))
	for silent := c.now; len(c.stops) == 0 && len(c.fake.Running()) > 0 && c.now.Sub(silent) < resubmission; {
		c.step(250 * time.Millisecond)
	}
	is.True(len(c.stops) > 0 || len(c.fake.Running()) == 0) // stopped, or the lease has ended
}

// TestOutbidTaskWaitsForSilentHome guards against a task that an owner starts
// after it has outbid another one, while the link to the task's home is silent
// and that home may follow the other owner.
func TestOutbidTaskWaitsForSilentHome(t *testing.T) {
	for _, pause := range []time.Duration{25 * time.Millisecond, 290 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			c := newOwnerCore(t)
			// Another owner, which the home may follow, has polled the endpoint.
			other := owner.Poll{Call: owner.Call{Fence: owner.NewFence(c.core.Epoch()+5, 3)}}
			is.Equal(c.fake.Poll(c.now, other).Reply, owner.OK)
			stats, _ := c.core.Stats(c.now)
			for range 100 {
				if stats.Foreign > 0 {
					break
				}
				c.heartbeat(ident.Process{Instance: "n-0", Incarnation: 1})
				c.step(25 * time.Millisecond)
				stats, _ = c.core.Stats(c.now)
			}
			c.collect(c.core.Receive(c.now, c.home, c.order("j", false)))
			is.Equal(len(c.starts), 0)
			// The endpoint is acquired again, and the home is silent from then on.
			for range 400 {
				if stats.Held > 0 {
					break
				}
				c.heartbeat(ident.Process{Instance: "n-0", Incarnation: 1})
				c.step(25 * time.Millisecond)
				stats, _ = c.core.Stats(c.now)
			}
			is.Equal(stats.Held, 1)
			silent := c.now
			c.step(pause)
			for len(c.starts) == 0 && c.now.Sub(silent) < 3*time.Second {
				c.step(25 * time.Millisecond)
			}
			t.Logf("%d starts %v after the last heartbeat of the home", len(c.starts), c.now.Sub(silent))
			is.Equal(len(c.starts), 0)
		})
	}
}

// TestWithdrawalRepeatedAfterReset guards against a run that goes on after its
// caller has left, because the withdrawal was lost with a link that a new
// connection replaced before the home looked for another owner.
func TestWithdrawalRepeatedAfterReset(t *testing.T) {
	f, n, o, j := newRunningJob(t)
	f.apply(n, n.core.HandleLinkDown(f.now, o.process))
	f.apply(o, o.core.HandleLinkDown(f.now, n.process))
	f.leave(n, j)
	f.apply(n, n.core.HandleLinkUp(f.now, o.process, o.dc))
	f.apply(o, o.core.HandleLinkUp(f.now, n.process, n.dc))
	f.run(resubmission)
	is.New(t).Equal(len(f.running[job.Key{Job: j.spec.ID}]), 0)
}

// newRunningJob returns a fleet in which a job of instance n runs at the owner o.
func newRunningJob(t *testing.T) (f *fleet, n, o *simInstance, j *simJob) {
	t.Helper()
	f = newFleet(t, 2, 4, 6, group.Strength{})
	f.run(4 * time.Second)
	o = f.ownerInstance()
	n = f.instances[(o.index+1)%len(f.instances)]
	for _, s := range f.endpoints {
		s.fake.PlanOf = func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: 5 * time.Second} }
	}
	j = f.newJob()
	j.deadline = 10 * time.Second
	j.spec.Steps = []job.Step{{Tasks: 1, Needs: job.Needs{Room: job.Room{CPU: 1000, Memory: 1}, Estimate: time.Second}}}
	f.submit(n, j)
	f.run(100 * time.Millisecond)
	if len(f.running[job.Key{Job: j.spec.ID}]) != 1 {
		t.Fatal("the job does not run")
	}
	return f, n, o, j
}

// leave closes the connection of the caller of a job.
func (f *fleet) leave(n *simInstance, j *simJob) {
	for r, o := range n.requests {
		if o == j {
			delete(n.requests, r)
			f.apply(n, n.core.RemoveRequest(f.clock(n), j.spec.ID, r))
		}
	}
	j.pending = false
}

// TestCutOffOwnerPausedShortly guards against a task that runs at two owners,
// because an owner that is cut off from the others is paused so often that it
// does not notice this. Some endpoints are out of reach of the new owner.
func TestCutOffOwnerPausedShortly(t *testing.T) {
	for _, seed := range []uint64{4, 10, 12} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 6, 6, group.Strength{})
			f.run(4 * time.Second)
			for _, s := range f.endpoints {
				s.fake.PlanOf = func(job.Key) leased.RunPlan { return leased.RunPlan{Duration: 400 * time.Millisecond} }
			}
			o := f.ownerInstance()
			f.submitSteadily(time.Second)
			f.pauseShortly(o, f.now.Add(5*time.Second))
			f.submitSteadily(500 * time.Millisecond)
			f.isolate(o, 3*time.Second)
			for _, n := range f.instances {
				for _, s := range f.endpoints {
					if n != o && f.chance(0.3) {
						f.endpointCuts[[2]int{n.index, s.index}] = true
					}
				}
			}
			f.at(3*time.Second, func() { clear(f.endpointCuts) })
			f.submitSteadily(4 * time.Second)
			f.run(3 * time.Second)
		})
	}
}

// submitSteadily submits a job of one step each 10 ms.
func (f *fleet) submitSteadily(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		n := f.instances[f.rng.IntN(len(f.instances))]
		j := f.newJob()
		j.spec.Steps = j.spec.Steps[:1]
		j.spec.Steps[0].Room.CPU, j.spec.Steps[0].Estimate = 3000, 400*time.Millisecond
		j.deadline = 4 * time.Second
		f.submit(n, j)
		f.run(10 * time.Millisecond)
	}
}

// pauseShortly pauses an instance again and again, each time for less than
// dispatcher.PauseLimit, with at most 45 ms between two pauses.
func (f *fleet) pauseShortly(n *simInstance, until time.Time) {
	if !f.now.Before(until) {
		return
	}
	d := time.Duration(270+f.rng.IntN(25)) * time.Millisecond
	f.pause(n, d, false)
	f.at(d+time.Duration(26+f.rng.IntN(20))*time.Millisecond, func() { f.pauseShortly(n, until) })
}
