package endpoints_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
)

// TestPickQueued guards against a task that starts at a slow endpoint just
// before a fast one is free, and against one that waits for fast endpoints
// while the queue grows or while they hang.
func TestPickQueued(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for i := range f.rows {
		f.rows[i].Slots = 8
	}
	f.pool.SetOwned(f.now, f.rows)
	f.outcome = func(id string, _ time.Duration) endpoints.Outcome {
		if id == "worker-01" {
			return endpoints.Outcome{Took: 400 * time.Millisecond}
		}
		return endpoints.Outcome{Took: 100 * time.Millisecond}
	}
	f.saturate(200)
	for len(f.running) > 0 {
		f.finish()
	}
	for range 8 {
		c, ok := f.pool.PickQueued(f.now, 0, 1, 0)
		is.True(ok)
		is.Equal(c.Endpoint.ID, "worker-00")
	}
	_, ok := f.pool.PickQueued(f.now, 0, 1, 0)
	is.True(!ok) // a fast slot is free in about 12 ms, which costs less
	for name, given := range map[string]struct {
		queued int
		waited time.Duration
	}{
		"long queue": {queued: 8},
		"long wait":  {queued: 1, waited: 40 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := f.pool.PickQueued(f.now, 0, given.queued, given.waited)
			is.True(ok)
			is.Equal(c.Endpoint.ID, "worker-01")
		})
	}
}
