package owner_test

import (
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// takeOverAfter moves the time forward and lets the pool become active under a new
// fence. Earlier calls are lost.
func (h *harness) takeOverAfter(after time.Duration) {
	h.pool.Deactivate(h.now)
	h.now = h.now.Add(after)
	h.polls, h.starts, h.stops = nil, nil, nil
	h.collect(h.pool.Activate(h.now, owner.NewFence(2000, 2), func(owner.Endpoint) bool { return true }))
}

// TestIncompleteListDelaysPlacedAgain guards against a task that was placed
// again and starts once all known endpoints were polled, although the list
// lacked endpoints shortly before the takeover.
func TestIncompleteListDelaysPlacedAgain(t *testing.T) {
	cfg := owner.Config{}.Defaults()
	tests := map[string]struct {
		incompleteBefore time.Duration
		delayed          bool
	}{
		"just before": {10 * time.Millisecond, true},
		"recently":    {cfg.MissingGrace - time.Millisecond, true},
		"long before": {cfg.MissingGrace, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.now = h.now.Add(time.Minute)
			h.pool.SetListIncomplete(h.now)
			h.takeOverAfter(tt.incompleteBefore)
			o := order("j", 1, 10_000)
			o.MayHaveStarted, o.Deadline = true, time.Minute
			h.place(home1, o)
			placedAt := h.now
			for len(h.starts) == 0 && h.now.Sub(placedAt) < 5*time.Second {
				h.advance(10 * time.Millisecond)
				h.updateList()
				h.answerPolls()
			}
			h.is.Equal(len(h.starts), 1)
			h.is.Equal(h.now.Sub(placedAt) >= cfg.ForeignStartDelay, tt.delayed)
		})
	}
}

// TestNoListIsNotIncomplete guards against a pool that takes its first list for
// complete at once, since it has heard of a difference before it had any.
func TestNoListIsNotIncomplete(t *testing.T) {
	h := newHarness(t, 1)
	var err error
	h.pool, err = owner.New(owner.Config{})
	h.is.NoErr(err)
	h.pool.SetListIncomplete(h.now)
	h.now = h.now.Add(time.Minute)
	h.updateList()
	h.takeOverAfter(time.Second)
	o := order("j", 1, 10_000)
	o.MayHaveStarted, o.Deadline = true, time.Minute
	h.place(home1, o)
	for range 20 {
		h.advance(10 * time.Millisecond)
		h.updateList()
		h.answerPolls()
	}
	h.is.Equal(len(h.starts), 0) // the first list is 1 s old
}

// TestMissingEndpointOfEarlierOwnerIsPolled guards against a new owner that does
// not poll an endpoint which its list lacks and the earlier owner still used, and
// starts a task that runs there.
func TestMissingEndpointOfEarlierOwnerIsPolled(t *testing.T) {
	cfg := owner.Config{}.Defaults()
	h := newHarness(t, 2)
	gone, listed := h.endpoints["e-1"], h.entries[:1]
	h.collect(h.pool.SetEndpoints(h.now, h.now, listed))
	missing := h.pool.MissingEndpoints(h.now)
	h.is.Equal(missing, []owner.Endpoint{gone.Entry})

	var err error
	h.pool, err = owner.New(owner.Config{})
	h.is.NoErr(err)
	h.collect(h.pool.SetEndpoints(h.now, h.now, listed))
	h.pool.AddMissing(h.now, append(missing, listed...))
	h.is.Equal(h.pool.Stats(h.now).Missing, 1) // the listed one is not missing

	h.takeOverAfter(10 * time.Millisecond)
	polled := map[ident.EndpointID]bool{}
	for _, poll := range h.polls {
		polled[poll.Endpoint] = true
	}
	h.is.True(polled[gone.Entry.ID])
	h.is.Equal(h.pool.MissingEndpoints(h.now), missing)
	h.polls, h.now = nil, h.now.Add(cfg.ForeignStartDelay)
	h.is.Equal(len(h.pool.MissingEndpoints(h.now)), 0) // it was not reached, so its leases have ended
	h.is.Equal(h.pool.Stats(h.now).Missing, 1)
	h.now = h.now.Add(cfg.MissingRetention)
	h.collect(h.pool.SetEndpoints(h.now, h.now, listed))
	h.is.Equal(h.pool.Stats(h.now).Missing, 0)
}
