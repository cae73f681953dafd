package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// restartOthers starts all instances but the given ones again, so that they rank
// after those.
func (f *directedFleet) restartOthers(except ...*simInstance) {
	for _, n := range f.instances {
		excepted := false
		for _, o := range except {
			excepted = excepted || n == o
		}
		if !excepted {
			f.kill(n, false)
			f.restart(n)
		}
	}
}

// lapseAllBut removes the entries of all endpoints but one from the store.
func (f *directedFleet) lapseAllBut(listed *simEndpoint, d time.Duration) {
	for _, s := range f.endpoints {
		if s != listed {
			s.unlistedUntil = f.now.Add(d)
		}
	}
}

// TestOtherListDelaysPlacedAgain guards against a new owner that knows from the
// digest of the earlier owner that its list is partial, has not received the
// whole one, and starts a task that was placed again while it runs on an
// endpoint that it does not know.
func TestOtherListDelaysPlacedAgain(t *testing.T) {
	f := newDirectedFleet(t)
	f.jobDeadline = 10 * time.Second
	f.slow = &slowLinks{delays: map[[2]int]time.Duration{}, channels: map[channelID][]transit{}}
	f.home = f.other(f.owner)
	next := f.other(f.owner)
	f.slow.delays[[2]int{f.owner.index, next.index}] = time.Minute
	f.owner.storeCut = true
	f.run(10 * time.Millisecond)
	f.lapse(700 * time.Millisecond)
	f.at(800*time.Millisecond, func() { f.owner.storeCut = false })
	f.kill(next, false)
	f.restart(next)
	f.isolate(next, 600*time.Millisecond)
	f.run(3 * time.Second)
	f.restartOthers(f.owner, next)
	f.run(4 * time.Second)
	f.startTask(f.home)
	f.lapse(3 * time.Second)
	f.kill(f.owner, false)
	if n := f.awaitOwner(f.owner); n != next {
		t.Fatalf("instance %d becomes the owner", n.index)
	}
	f.run(6 * time.Second)
}

// TestUnlistedEndpointIsKnownToNextOwner guards against a new owner that does
// not poll an endpoint which left the store's list before the owner started and
// still runs a task of the earlier one.
func TestUnlistedEndpointIsKnownToNextOwner(t *testing.T) {
	f := newDirectedFleet(t)
	f.jobDeadline = 10 * time.Second
	f.shortest, f.longest = 7*time.Second, 7001*time.Millisecond
	f.startTask(f.other(f.owner))
	next, listed := f.other(f.owner), f.endpoints[0]
	if listed == f.endpoint {
		listed = f.endpoints[1]
	}
	f.lapseAllBut(listed, time.Minute)
	f.run(time.Second) // the owner has read the list
	f.kill(next, false)
	f.restart(next)
	f.run(100 * time.Millisecond)
	f.restartOthers(f.owner, next, f.home)
	f.apply(f.home, f.home.core.Drain(f.clock(f.home))) // it does not become the owner
	f.run(3500 * time.Millisecond)
	f.kill(f.owner, false)
	if n := f.awaitOwner(f.owner); n != next {
		t.Fatalf("instance %d becomes the owner", n.index)
	}
	f.run(100 * time.Millisecond)
	polled := f.tracker.pollAnswered[[2]int{next.index, f.endpoint.index}]
	if polled.Before(f.tracker.activatedAt[next.index]) {
		t.Errorf("the new owner has not polled the endpoint %v", f.endpoint.fake.Entry.ID)
	}
	f.run(4 * time.Second)
}

// TestNewOwnerLearnsEndpointsOfTasks guards against a new owner that does not
// know an endpoint where an earlier owner has started a task, because the entry
// has left the list: the home tells it before it places the task there.
func TestNewOwnerLearnsEndpointsOfTasks(t *testing.T) {
	is := is.New(t)
	c := newOwnerCore(t)
	spec := job.Spec{ID: "j", Steps: []job.Step{{Tasks: 1, Needs: job.Needs{Room: job.Room{CPU: 1000, Memory: 1}}}}}
	c.collect(c.core.Submit(c.now, 1, spec, home.RouteSettings{Service: service, Attempts: 1}, 10*time.Second))
	is.Equal(len(c.starts), 1)
	other := c.fake.Entry
	other.ID = "e-1"
	actions, _ := c.core.UpdateEndpoints(c.now, []owner.Endpoint{other}) // e-0 has left the list
	c.collect(actions)
	m := dispatcher.Heartbeat{Heartbeat: leader.Heartbeat{Owner: c.home, Followers: 5}, Layout: group.Whole}
	c.collect(c.core.Receive(c.now, c.home, m))
	c.now = c.now.Add(25 * time.Millisecond)
	told := false
	for _, a := range c.core.Tick(c.now) {
		s, ok := a.(dispatcher.Send)
		if !ok {
			continue
		}
		switch message := s.Message.(type) {
		case listing.Snapshot:
			for _, e := range message.Missing {
				told = told || e.ID == "e-0"
			}
		case dispatcher.Orders:
			is.True(told) // on the same stream, so that it arrives first
			return
		}
	}
	t.Fatal("the task is not placed at the new owner")
}
