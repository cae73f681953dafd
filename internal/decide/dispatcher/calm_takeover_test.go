package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// TestCalmTakeoverWaitsForPollsOnly guards against tasks that wait for the
// leases of an earlier owner although the list of endpoints is complete. The
// owner is killed and started again, or drained, more often than there are
// instances, so that each of them starts and owns the endpoints later.
func TestCalmTakeoverWaitsForPollsOnly(t *testing.T) {
	f := newFleetIn(t, 1, 2, 6, 4, group.Strength{})
	f.tracker, f.leaveShare, f.learnedTimeouts = newTracker(), 0, true
	f.run(4 * time.Second)
	f.tracker.takeovers = nil
	for round := range 16 {
		f.submitFor(700 * time.Millisecond)
		n := f.ownerInstance()
		if round%3 == 2 {
			f.apply(n, n.core.Drain(f.clock(n)))
			f.run(500 * time.Millisecond)
		}
		f.kill(n, false)
		f.run(200 * time.Millisecond)
		f.restart(n)
		f.run(3 * time.Second)
	}
	slices.Sort(f.tracker.takeovers)
	t.Logf("starts after takeovers: %v; all endpoints polled after %v", f.tracker.afterTakeover, f.tracker.takeovers)
	if len(f.tracker.takeovers) != 16 || f.tracker.afterTakeover[owner.BasisPolled] == 0 {
		t.Error("the owners did not change, or no task was placed again")
	}
	if n := f.tracker.afterTakeover[owner.BasisDelay]; n > 0 {
		t.Errorf("%d tasks waited for the leases of the earlier owner", n)
	}
}
