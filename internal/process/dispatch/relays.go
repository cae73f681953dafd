package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

const (
	// relayCount is the number of relays at a time, in different data centres
	// if possible. relayInterval is how long they are kept, before others are
	// chosen: they may be as unable to read the store.
	relayCount    = 2
	relayInterval = 500 * time.Millisecond
)

// updateRelays chooses the relays: instances of other groups that this one
// links to for their configuration. On a new link both sides send a heartbeat
// with the version, and the core closes the link soon afterwards.
func (p *Process) updateRelays(now time.Time) {
	if !p.configSync.syncer.NeedsRelays(now) {
		if len(p.configSync.relays) > 0 {
			clear(p.configSync.relays)
			p.selectTargets()
		}
		return
	}
	if now.Sub(p.configSync.relaysAt) < relayInterval {
		return
	}
	p.configSync.relaysAt = now
	clear(p.configSync.relays)
	outside := p.outsideMembers()
	rand.Shuffle(len(outside), func(i, k int) { outside[i], outside[k] = outside[k], outside[i] })
	used := map[ident.DataCentre]bool{}
	for _, again := range []bool{false, true} {
		for _, m := range outside {
			if len(p.configSync.relays) < relayCount && (again || !used[m.DataCentre]) {
				p.configSync.relays[m.Process.Instance] = m
				used[m.DataCentre] = true
			}
		}
	}
	if len(p.configSync.relays) > 0 {
		p.log.WithField("relays", slices.Sorted(maps.Keys(p.configSync.relays))).Info("asking other data centres for the configuration")
		p.selectTargets()
	}
}
