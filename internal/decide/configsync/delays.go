package configsync

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// delayWindow is how long the shortest delay of a peer is remembered, at least.
// A peer whose machine was suspended for a moment counts as late that long.
const delayWindow = 5 * time.Second

// Delays estimates for how long messages of peers were held up. What a peer says
// about its age is as old as that: a network partition holds messages back for
// seconds. The clocks of two processes start at different times, so the message
// with the shortest delay counts as the one that was not held up.
type Delays struct {
	begin time.Time
	peers map[ident.Process]*shortestDelay
}

// shortestDelay holds the shortest difference between the clocks of a peer and
// of this process, in the running window and in the one before.
type shortestDelay struct {
	since             time.Time
	running, previous time.Duration
}

// NewDelays returns Delays without any peer.
func NewDelays(now time.Time) *Delays {
	return &Delays{begin: now, peers: map[ident.Process]*shortestDelay{}}
}

// Observe handles a message that a peer sent at a time of its own clock, and
// returns for how long it was held up.
func (d *Delays) Observe(now time.Time, from ident.Process, sent time.Duration) time.Duration {
	difference := now.Sub(d.begin) - sent
	p := d.peers[from]
	if p == nil {
		d.peers[from] = &shortestDelay{since: now, running: difference, previous: difference}
		return 0
	}
	if now.Sub(p.since) >= delayWindow {
		p.since, p.previous, p.running = now, p.running, difference
	}
	p.running = min(p.running, difference)
	return difference - min(p.running, p.previous)
}

// HandleLinkDown forgets a peer.
func (d *Delays) HandleLinkDown(p ident.Process) { delete(d.peers, p) }
