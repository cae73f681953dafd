package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// TestCallTimeoutFollowsLatency guards against a call timeout far above the
// measured latency, so that a lost answer delays tasks for long, and against
// one below it, so that calls time out whose answer would still arrive.
func TestCallTimeoutFollowsLatency(t *testing.T) {
	defaults := owner.Config{}.Defaults()
	tests := map[string]struct {
		latencies  []time.Duration
		minTimeout time.Duration
		maxTimeout time.Duration
	}{
		"no call yet":     {nil, defaults.MaxCallTimeout, defaults.MaxCallTimeout},
		"low latency":     {[]time.Duration{2 * time.Millisecond}, defaults.MinCallTimeout, defaults.MinCallTimeout},
		"high latency":    {[]time.Duration{45 * time.Millisecond}, 45 * time.Millisecond, defaults.MaxCallTimeout},
		"varying latency": {[]time.Duration{2 * time.Millisecond, 30 * time.Millisecond}, 60 * time.Millisecond, defaults.MaxCallTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1)
			for i := range 60 {
				if len(tt.latencies) == 0 {
					break
				}
				h.place(home1, order(fmt.Sprint("j-", i), 1, 10_000))
				start := h.starts[0]
				h.starts = nil
				h.now = h.now.Add(tt.latencies[i%len(tt.latencies)])
				a := h.endpoints["e-0"].Start(h.now, start)
				h.collect(h.pool.HandleCallResult(h.now, &a))
				h.advance(150 * time.Millisecond)
				h.answerPolls()
				h.advance(time.Second)
				h.answerPolls()
			}
			h.starts = nil
			h.place(home1, order("last", 1, 10_000))
			is.True(len(h.starts) == 1)

			is.True(h.starts[0].Timeout >= tt.minTimeout)
			is.True(h.starts[0].Timeout <= tt.maxTimeout)
		})
	}
}
