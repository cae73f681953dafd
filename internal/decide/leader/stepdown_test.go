package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
)

// TestStepDown guards against a slow owner that keeps its group while another
// instance could serve it, and against one that steps down for a short disturbance,
// to a weak instance, or in turns with another.
func TestStepDown(t *testing.T) {
	always := func(time.Duration) bool { return true }
	cases := map[string]struct {
		peerProcessors int64
		late           func(at time.Duration) bool
		tookOver       bool // from a linked owner, just before
		want           bool
	}{
		"late for long":            {800, always, false, true},
		"late with short breaks":   {800, func(at time.Duration) bool { return at%(200*time.Millisecond) == 0 }, false, true},
		"late for a moment":        {800, func(at time.Duration) bool { return at < 800*time.Millisecond }, false, false},
		"late now and then":        {800, func(at time.Duration) bool { return at%(500*time.Millisecond) == 0 }, false, false},
		"others are weak":          {144, always, false, false},
		"the other one gave it up": {800, always, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, err := leader.New(baseTime, leader.Config{Self: process(0), DataCentre: "a", Strength: group.Strength{Processors: 800}}, 100)
			is.NoErr(err)
			now := baseTime.Add(time.Second)
			v.HandleLinkUp(now, process(1), "a")
			peer := leader.Heartbeat{Seniority: 200, Processors: c.peerProcessors}
			if c.tookOver {
				peer.Seniority = 50
				v.HandleHeartbeat(now, process(1), peer)
				v.Tick(now)
				peer.Seniority = 200
			}
			steppedDown := false
			for at := time.Duration(0); at < 5*time.Second && !steppedDown; at += 25 * time.Millisecond {
				now = now.Add(25 * time.Millisecond)
				v.HandleHeartbeat(now, process(1), peer)
				steppedDown = v.StepDown(now, c.late(at))
				v.Tick(now)
			}
			is.Equal(steppedDown, c.want)
			owner, _ := v.Owner()
			is.Equal(owner == process(1), c.want)
		})
	}
}
