package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/home"
)

// directedFleet is a fleet whose faults a test chooses. One job of one task runs
// on an endpoint.
type directedFleet struct {
	*fleet
	owner, home *simInstance
	job         *simJob
	// endpoint is where the first run of the task is.
	endpoint *simEndpoint
}

// newDirectedFleet returns a fleet of six instances in four data centres with
// an endpoint in each.
func newDirectedFleet(t *testing.T) *directedFleet {
	f := &directedFleet{fleet: newFleetIn(t, 1, 4, 6, 4, group.Strength{})}
	f.tracker, f.leaveShare, f.learnedTimeouts = newTracker(), 0, true
	f.shortest, f.longest = 3500*time.Millisecond, 3501*time.Millisecond
	f.minCPU, f.cpuRange, f.jobDeadline = 2000, 1, 1800*time.Millisecond
	f.run(2 * time.Second)
	f.owner = f.ownerInstance()
	return f
}

// startTask submits a job of one task at an instance, and waits until the task
// runs.
func (f *directedFleet) startTask(n *simInstance) {
	f.home = n
	f.job = f.newJob()
	f.job.spec.Steps = f.job.spec.Steps[:1]
	f.job.spec.Steps[0].Tasks, f.job.spec.Steps[0].RequiredLabel = 1, ""
	f.job.spec.Steps[0].Estimate = 1450 * time.Millisecond
	f.job.limit = 1 // the test submits it again
	f.submit(f.home, f.job)
	f.run(100 * time.Millisecond)
	for _, s := range f.endpoints {
		if len(s.fake.Running()) == 1 {
			f.endpoint = s
		}
	}
	if f.endpoint == nil {
		f.t.Fatal("the task has not started")
	}
}

// loseHome lets the home lose power just before the caller gives up, and returns
// when the caller does so: until then its channel hangs.
func (f *directedFleet) loseHome() time.Time {
	brokenAt := f.job.submittedAt.Add(f.job.deadline)
	f.run(brokenAt.Sub(f.now) - 20*time.Millisecond)
	f.kill(f.home, true)
	f.run(20 * time.Millisecond)
	return brokenAt
}

// other returns an instance that is up and is none of the given ones.
func (f *directedFleet) other(without ...*simInstance) *simInstance {
	for _, n := range f.instances {
		used := !n.up || n == f.home
		for _, o := range without {
			used = used || n == o
		}
		if !used {
			return n
		}
	}
	f.t.Fatal("no instance is left")
	return nil
}

// awaitRenewal runs until the owner has renewed the lease of the endpoint at
// least d from now.
func (f *directedFleet) awaitRenewal(d time.Duration) {
	f.run(d)
	for since, end := f.now, f.now.Add(time.Second); f.tracker.leases[f.endpoint.index].at.Before(since); {
		if f.now.After(end) {
			f.t.Fatal("the lease is not renewed")
		}
		f.run(time.Millisecond)
	}
}

// awaitOwner runs until another instance than those before is the owner.
func (f *directedFleet) awaitOwner(before ...*simInstance) *simInstance {
	for range 1500 {
		for _, n := range f.instances {
			isNew := n.up && !n.paused && n.core.IsOwner()
			for _, o := range before {
				isNew = isNew && n != o
			}
			if isNew {
				return n
			}
		}
		f.run(time.Millisecond)
	}
	f.t.Fatal("no other instance becomes the owner")
	return nil
}

// cutEndpoint keeps the other instances than one from the endpoint.
func (f *directedFleet) cutEndpoint(except *simInstance, d time.Duration) {
	for _, n := range f.instances {
		if n != except {
			f.setFor(f.endpointCuts, [2]int{n.index, f.endpoint.index}, d, "cannot reach")
		}
	}
}

// submitAgain submits the job again at an instance, and fails if it does not
// finish. A second run beside the first one fails in checkStart.
func (f *directedFleet) submitAgain(n *simInstance) {
	f.job.deadline = 10 * time.Second
	f.submit(n, f.job)
	f.run(10 * time.Second)
	if f.job.result != home.Finished {
		f.t.Fatalf("job %s is %v", f.job.spec.ID, f.job.result)
	}
}

// TestResubmittedJobWaitsForUnreachableEndpoint guards against a task of a new
// order that starts while a run of an earlier submission goes on, on an endpoint
// that the owner has not polled since its takeover. The home loses power, and
// the owner is killed before it has noticed. The phase of the owner's polls
// decides how late it renews the lease.
func TestResubmittedJobWaitsForUnreachableEndpoint(t *testing.T) {
	for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 20 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			f := newDirectedFleet(t)
			f.jobDeadline += phase
			f.startTask(f.other(f.owner))
			brokenAt := f.loseHome()
			f.awaitRenewal(270 * time.Millisecond)
			f.cutEndpoint(nil, 1200*time.Millisecond)
			f.kill(f.owner, false)
			second := f.awaitOwner(f.owner)
			f.run(resubmitDelay - f.now.Sub(brokenAt))
			f.submitAgain(second)
		})
	}
}

// TestSeriesOfTakeoversKeepsNoOrphanedRun guards against a task of a new order
// that starts while a run of an earlier submission goes on. The home, which owns
// the endpoints, loses power. Each owner after it renews the lease of the run
// that no home claims, and is killed before it stops the run. The last one cannot
// reach the endpoint.
func TestSeriesOfTakeoversKeepsNoOrphanedRun(t *testing.T) {
	f := newDirectedFleet(t)
	f.startTask(f.owner)
	brokenAt := f.loseHome()
	lost := []*simInstance{f.owner}
	for range 3 {
		n := f.awaitOwner(lost...)
		f.run(250 * time.Millisecond)
		if len(lost) == 3 {
			f.cutEndpoint(nil, time.Second)
		}
		f.kill(n, false)
		lost = append(lost, n)
	}
	last := f.awaitOwner(lost...)
	f.run(resubmitDelay - f.now.Sub(brokenAt))
	f.submitAgain(last)
}

// TestUndeliveredStopRenewsNoLease guards against a task of a new order that
// starts while a run of an earlier submission goes on. The owner could not
// deliver the stop of that run while it could not reach the endpoint, renewed
// the lease as soon as it reached it again, and was killed. The next owner
// cannot reach the endpoint. How long the cut lasts decides whether a renewal or
// the stop arrives first.
func TestUndeliveredStopRenewsNoLease(t *testing.T) {
	for cut := 250 * time.Millisecond; cut < 450*time.Millisecond; cut += 10 * time.Millisecond {
		t.Run(cut.String(), func(t *testing.T) {
			f := newDirectedFleet(t)
			f.startTask(f.other(f.owner))
			brokenAt := f.now
			f.setFor(f.endpointCuts, [2]int{f.owner.index, f.endpoint.index}, cut, "cannot reach")
			f.breakChannelsOf(f.home, true)
			f.run(cut)
			f.awaitRenewal(0)
			if len(f.endpoint.fake.Running()) == 0 {
				return // the stop came first
			}
			f.cutEndpoint(nil, 1200*time.Millisecond)
			f.kill(f.owner, false)
			second := f.awaitOwner(f.owner)
			f.run(resubmitDelay - f.now.Sub(brokenAt))
			f.submitAgain(second)
		})
	}
}

// TestOwnersOnBothSidesOfCut guards against a task that runs at two owners that
// cannot reach each other. The home does not notice that the channel of the
// caller is broken, since it is cut off from it.
func TestOwnersOnBothSidesOfCut(t *testing.T) {
	f := newDirectedFleet(t)
	f.jobDeadline = 10 * time.Second
	f.startTask(f.owner)
	brokenAt := f.now
	f.isolate(f.owner, 4*time.Second)
	f.cutEndpoint(f.owner, 4*time.Second)
	f.breakChannelsOf(f.home, false)
	second := f.awaitOwner(f.owner)
	f.run(resubmitDelay - f.now.Sub(brokenAt))
	f.submitAgain(second)
}

// TestPartialListAfterOutages guards against an owner that takes the endpoints
// of a partial list for all endpoints, and starts a task that was placed again
// while it runs on another one. An instance starts after an outage of the store
// in which the entries have lapsed, and becomes the owner after a second one.
func TestPartialListAfterOutages(t *testing.T) {
	f := newDirectedFleet(t)
	f.jobDeadline = 10 * time.Second
	f.home = f.other(f.owner)
	next := f.other(f.owner)
	f.owner.storeCut = true // it reads its list again when that is whole
	f.run(10 * time.Millisecond)
	f.lapse(700 * time.Millisecond)
	f.at(800*time.Millisecond, func() { f.owner.storeCut = false })
	f.kill(next, false)
	f.restart(next)
	f.isolate(next, 600*time.Millisecond)
	f.run(3 * time.Second)
	for _, n := range f.instances {
		if n != f.owner && n != next {
			f.kill(n, false) // so that next becomes the owner
			f.restart(n)
		}
	}
	f.run(4 * time.Second)
	f.startTask(f.home)
	f.lapse(3 * time.Second)
	f.kill(f.owner, false)
	f.run(6 * time.Second)
	if f.job.result != home.Finished {
		t.Fatalf("job %s is %v", f.job.spec.ID, f.job.result)
	}
}

// lapse removes the entries of all endpoints but one from the store for some
// time.
func (f *directedFleet) lapse(d time.Duration) {
	for _, s := range f.endpoints[:len(f.endpoints)-1] {
		s.unlistedUntil = f.now.Add(d)
	}
}

// TestResumedOwnerWaitsForHomes guards against an owner that starts or keeps
// tasks after pauses for a home that it has not heard since, and that has placed
// them at another owner. The data centre of the paused owner is cut off, so that
// the other owner cannot poll the endpoint.
func TestResumedOwnerWaitsForHomes(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		times int
	}{
		"one pause":      {2 * time.Second, 1},
		"several pauses": {700 * time.Millisecond, 4},
		// Such a pause is too short for Core.HandlePause.
		"slow process": {290 * time.Millisecond, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newDirectedFleet(t)
			f.jobDeadline = 10 * time.Second
			f.startTask(f.other(f.owner))
			if f.home.dc == f.owner.dc {
				t.Fatal("the home is in the data centre of the owner")
			}
			f.cutDataCentre(f.owner.dc, 4*time.Second)
			for range tt.times {
				f.pause(f.owner, tt.pause, false)
				f.run(tt.pause + 40*time.Millisecond)
			}
			f.run(10 * time.Second)
		})
	}
}

// TestIsolatedOwnerChecksAllEndpoints guards against a task of a new order that
// starts at an owner that polls a share of the endpoints only, since it is linked
// to a minority, while a run of an earlier submission goes on at another
// endpoint. The earlier owner renews the lease of that run after a pause, and
// then follows the new owner without stopping the run. Its home was killed
// during the pause, together with others, which still count as part of the fleet
// while the store is down. All instances reach all endpoints.
func TestIsolatedOwnerChecksAllEndpoints(t *testing.T) {
	for pause := 500 * time.Millisecond; pause < time.Second; pause += 50 * time.Millisecond {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			f := newDirectedFleet(t)
			f.jobDeadline = 10 * time.Second
			f.startTask(f.other(f.owner))
			second := f.other(f.owner)
			f.storeDown = true
			f.at(3*time.Second, func() { f.storeDown, f.storeUpSince = false, f.now })
			f.pause(f.owner, pause, false)
			f.kill(f.home, false)
			third := f.other(f.owner, second)
			f.kill(third, false)
			f.kill(f.other(f.owner, second, third), false)
			f.run(resubmitDelay)
			f.submitAgain(second)
		})
	}
}
