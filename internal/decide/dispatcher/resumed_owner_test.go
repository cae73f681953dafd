package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// TestRelinkedHomeTaskWaitsForHeartbeat guards against a task that an owner
// starts over a new link to the task's home before a heartbeat shows whom the
// home follows by then: it has placed the task elsewhere when the link was lost.
func TestRelinkedHomeTaskWaitsForHeartbeat(t *testing.T) {
	is := is.New(t)
	c := newOwnerCore(t)
	c.now = c.now.Add(400 * time.Millisecond)
	c.collect(c.core.HandlePause(c.now, 0)) // the order waits
	c.lastPlacement = 1
	c.collect(c.core.Receive(c.now, c.home, c.order("j", false)))
	c.collect(c.core.HandleLinkDown(c.now, c.home))
	for range 8 {
		c.step(25 * time.Millisecond)
	}
	is.Equal(len(c.starts), 0)
	c.collect(c.core.HandleLinkUp(c.now, c.home, firstDataCentre))
	for range 8 { // the heartbeat over the new link is late
		c.step(25 * time.Millisecond)
	}
	c.heartbeat(ident.Process{Instance: "n-2", Incarnation: 1})
	is.Equal(len(c.starts), 0)
}

// TestAbsentHomeStaysAbsentAfterOldHeartbeat guards against a task that starts
// after a pause before a heartbeat of its home that is newer than the pause,
// because an older one that names another owner has arrived.
func TestAbsentHomeStaysAbsentAfterOldHeartbeat(t *testing.T) {
	is := is.New(t)
	c := newOwnerCore(t)
	c.now = c.now.Add(800 * time.Millisecond)
	c.collect(c.core.HandlePause(c.now, 0))
	// All this was received during the pause, at the end of which the home is cut
	// off: it follows another owner for a moment, then this one.
	c.heartbeat(ident.Process{Instance: "n-2", Incarnation: 1})
	c.heartbeat(ident.Process{Instance: "n-0", Incarnation: 1})
	c.collect(c.core.Receive(c.now, c.home, c.order("j", false)))
	for range 16 {
		c.step(25 * time.Millisecond)
	}
	is.Equal(len(c.starts), 0)
}

// TestIsolatedOwnerChecksAllEndpointsAfterPowerLoss is like
// TestIsolatedOwnerChecksAllEndpoints, but the links to the lost instances are
// not reset: the resumed owner notices their loss by their silence.
func TestIsolatedOwnerChecksAllEndpointsAfterPowerLoss(t *testing.T) {
	for pause := 350 * time.Millisecond; pause < time.Second; pause += 50 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			f := newDirectedFleet(t)
			f.jobDeadline = 10 * time.Second
			f.startTask(f.other(f.owner))
			second := f.other(f.owner)
			f.storeDown = true
			f.at(3*time.Second, func() { f.storeDown, f.storeUpSince = false, f.now })
			f.pause(f.owner, pause, false)
			f.kill(f.home, true)
			third := f.other(f.owner, second)
			f.kill(third, true)
			f.kill(f.other(f.owner, second, third), true)
			f.run(resubmitDelay)
			f.submitAgain(second)
		})
	}
}

// TestResumedOwnerReclaimsNothing guards against an owner that goes on after a
// pause, cut off from its peers, and takes endpoints from the owner that has
// replaced it: the heartbeats by which all peers follow it are older than the
// pause. The other owner then leaves the endpoints alone for ForeignBackOff.
func TestResumedOwnerReclaimsNothing(t *testing.T) {
	for pause := 500 * time.Millisecond; pause < 1500*time.Millisecond; pause += 100 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			f := newDirectedFleet(t)
			f.run(time.Second)
			f.isolate(f.owner, 5*time.Second)
			f.pause(f.owner, pause, false)
			next := f.awaitOwner(f.owner)
			for range 400 { // 4 s
				f.run(10 * time.Millisecond)
				if stats, _ := next.core.Stats(f.now); stats.Foreign > 0 {
					t.Fatalf("%d of %d endpoints are taken from the new owner", stats.Foreign, stats.Endpoints)
				}
			}
		})
	}
}

// TestCutOffOwnerReclaimsNothing guards against an owner that is cut off from
// its peers and takes endpoints from the owner that has replaced it, because it
// has decided to do so before it noticed the cut.
func TestCutOffOwnerReclaimsNothing(t *testing.T) {
	for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 10 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			f := newDirectedFleet(t)
			f.run(time.Second + phase)
			f.isolate(f.owner, 5*time.Second)
			next := f.awaitOwner(f.owner)
			for range 400 { // 4 s
				f.run(10 * time.Millisecond)
				if stats, _ := next.core.Stats(f.now); stats.Foreign > 0 {
					t.Fatalf("%d of %d endpoints are taken from the new owner", stats.Foreign, stats.Endpoints)
				}
			}
		})
	}
}

// TestResumedOwnerRunsNoTaskTwice guards against a task that runs at two owners,
// one of which was paused and is cut off from its peers. The other one reaches
// all endpoints, and the paused one all or that of the first run only. The home is the paused owner and does not notice that the
// channel of the caller is broken.
func TestResumedOwnerRunsNoTaskTwice(t *testing.T) {
	for _, reachesAll := range []bool{true, false} {
		for pause := 350 * time.Millisecond; pause < 1500*time.Millisecond; pause += 50 * time.Millisecond {
			t.Run(fmt.Sprint(reachesAll, pause), func(t *testing.T) {
				f := newDirectedFleet(t)
				f.jobDeadline = 10 * time.Second
				f.startTask(f.owner)
				brokenAt := f.now
				f.isolate(f.owner, 6*time.Second)
				f.pause(f.owner, pause, false)
				f.breakChannelsOf(f.home, false)
				for _, s := range f.endpoints {
					if !reachesAll && s != f.endpoint {
						f.setFor(f.endpointCuts, [2]int{f.owner.index, s.index}, 6*time.Second, "cannot reach")
					}
				}
				second := f.awaitOwner(f.owner)
				f.run(resubmitDelay - f.now.Sub(brokenAt))
				f.submitAgain(second)
			})
		}
	}
}
