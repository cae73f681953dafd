package dispatcher_test

import (
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/group"
)

// TestSlowOwnerStepsDown guards against a fleet that is served badly as long as its
// owner's machine is slow, and against owners that take turns while the calls of
// each become late.
func TestSlowOwnerStepsDown(t *testing.T) {
	for name, all := range map[string]bool{"the owner": false, "each owner": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 4, 24, group.Strength{})
			f.leaveShare, f.learnedTimeouts = 0, true
			f.run(time.Second)
			first := f.ownerIndex()
			slow, since := first, 0
			for round := range 800 {
				if o := f.ownerIndex(); all && o >= 0 && o != slow {
					slow, since = o, round
				}
				// The calls become slower and slower, so that they do not time out.
				for s := range f.endpoints {
					f.callDelays[[2]int{slow, s}] = time.Duration(min((round-since)/2, 40)) * time.Millisecond
				}
				f.submit(f.instances[(first+1)%4], f.newJob())
				f.submit(f.instances[(first+2)%4], f.newJob())
				f.run(10 * time.Millisecond)
			}
			t.Logf("%d of %d jobs finished", f.finished, len(f.simJobs))
			if f.steppedDown != 1 {
				t.Fatalf("%d owners stepped down", f.steppedDown)
			}
			if f.ownerIndex() == first {
				t.Fatal("the slow owner is the owner again")
			}
		})
	}
}

// ownerIndex returns the index of the instance that owns the endpoints, or -1.
func (f *fleet) ownerIndex() int {
	for i, n := range f.instances {
		if n.up && n.core.IsOwner() {
			return i
		}
	}
	return -1
}
