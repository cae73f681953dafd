package owner_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// setRoom changes the listed room of an endpoint and passes the list to the
// pool.
func (h *harness) setRoom(e int, room job.Room) {
	h.endpoints[h.entries[e].ID].Entry.Room = room
	h.updateList()
}

// TestShrunkRoomNotExceeded guards against starts beyond the room of an
// endpoint that has shrunk below what runs there, in any of its resources, and
// against room that stays unused after it has grown again.
func TestShrunkRoomNotExceeded(t *testing.T) {
	cases := map[string]struct {
		shrunk job.Room
		fit    int
	}{
		"processors":            {job.Room{CPU: 15_000, Memory: 1000}, 1},
		"memory":                {job.Room{CPU: 32_000, Memory: 2}, 2},
		"nothing left":          {job.Room{}, 0},
		"accelerators it lacks": {job.Room{CPU: 32_000, Memory: 1000, GPU: -1}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			full := h.entries[0].Room
			h.place(home1, order("first", 3, 10_000))
			h.is.Equal(len(h.starts), 3)
			h.answerStarts()
			h.setRoom(0, c.shrunk)
			for i := range 6 {
				o := order(fmt.Sprint("j-", i), 1, 10_000)
				o.Deadline = time.Minute
				h.place(home1, o)
			}
			h.is.Equal(len(h.starts), 0) // three tasks run, more than the room
			for len(h.ends) < 3 {
				h.advance(10 * time.Millisecond)
				h.answerPolls()
			}
			h.is.Equal(len(h.starts), c.fit)
			h.answerStarts()
			h.setRoom(0, full)
			h.is.Equal(len(h.starts), 3-c.fit)
		})
	}
}

// TestSuspectNeedsRoom guards against a start beyond the room of an endpoint
// that was set apart for a task and has shrunk before its last run ended.
func TestSuspectNeedsRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.place(home1, order("first", 1, 10_000))
	h.answerStarts()
	h.pool.ObserveCrashes(h.now, []owner.CrashRecord{{Key: job.Key{Job: "big"}, Crashes: 1, Outages: 1, Suspect: true}})
	big := order("big", 1, 30_000)
	big.Deadline = time.Minute
	h.place(home1, big)
	h.advance(10 * time.Millisecond) // sets the endpoint apart
	h.setRoom(0, job.Room{CPU: 20_000, Memory: 1000})
	h.place(home1, order("small", 1, 10_000))
	for range 20 {
		h.advance(10 * time.Millisecond)
		h.answerPolls()
		for _, s := range h.starts {
			h.is.Equal(s.Key.Job, job.ID("small"))
		}
		h.answerStarts()
	}
	h.is.Equal(len(h.ends), 2) // the endpoint serves others again
	h.setRoom(0, job.Room{CPU: 32_000, Memory: 1000})
	h.is.Equal(len(h.starts), 1)
}
