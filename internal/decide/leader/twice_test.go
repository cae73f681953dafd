package leader_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
)

// TestSilentPeerTimesOutDespiteShortPauses guards against an owner that keeps
// running the tasks of a silent home, whose callers have gone elsewhere, because
// it is itself paused again and again for a short time.
func TestSilentPeerTimesOutDespiteShortPauses(t *testing.T) {
	for _, pause := range []time.Duration{25 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond, 290 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			v := newView(t, 0, "a", 50)
			now := baseTime.Add(time.Second)
			v.HandleLinkUp(now, process(1), "a")
			v.HandleHeartbeat(now, process(1), leader.Heartbeat{Seniority: 60, Owner: process(0)})
			v.Tick(now)
			lastHeard := now
			for now.Sub(lastHeard) < 10*time.Second {
				now = now.Add(pause)
				if _, timedOut := v.Tick(now); slices.Contains(timedOut, process(1)) {
					break
				}
			}
			t.Logf("timed out after %v", now.Sub(lastHeard))
			// A caller submits a lost job again after this time.
			is.True(now.Sub(lastHeard) < 1300*time.Millisecond)
		})
	}
}
