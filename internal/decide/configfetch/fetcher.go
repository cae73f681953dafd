// Package configfetch decides when an instance asks a peer for the
// configuration. It answers a store that turns many instances away while the
// configuration grows by hundreds of routes: the ones that are behind each ask
// one peer at a time, where each of their peers would otherwise send it to them
// with every heartbeat.
package configfetch

import "time"

const (
	// storeTime is how long an instance that is behind waits for the store.
	storeTime = 400 * time.Millisecond
	// answerTime is how long it waits for a peer before it asks the next one.
	answerTime = 500 * time.Millisecond
)

// Fetcher decides for one instance. The zero value is ready for use.
type Fetcher struct {
	// newest is the highest version that a peer has reported.
	newest uint64
	// behindSince is when a peer first reported a version above the own one, or
	// zero while none has.
	behindSince time.Time
	askedAt     time.Time
}

// Observe handles a heartbeat of a peer with the version of its configuration,
// and reports whether that peer must be asked for it. Own is the version of
// this instance, or zero.
func (f *Fetcher) Observe(now time.Time, own, peer uint64) bool {
	f.newest = max(f.newest, peer)
	if own >= f.newest {
		f.behindSince = time.Time{}
		return false
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if peer <= own || now.Sub(f.behindSince) < storeTime || now.Sub(f.askedAt) < answerTime {
		return false
	}
	f.askedAt = now
	return true
}
