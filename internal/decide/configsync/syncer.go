// Package configsync decides how an instance learns of a new configuration. A
// watch of the store may miss changes without an error, and then all instances
// are late alike. So each instance knows as of when its configuration is
// current: since it was last read from the store as a whole, by this instance
// or by a peer. Heartbeats carry the age, and one instance at a time reads when
// it grows.
package configsync

import (
	"math/rand/v2"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

const (
	// helperAge is the age from which the owner makes an instance read.
	helperAge = 700 * time.Millisecond
	// helperTime is how long the owner waits before it asks another one. The
	// request goes with a heartbeat.
	helperTime = 300 * time.Millisecond
	// readAge is the age from which each instance reads by itself, after a
	// random part of readSpread. The most that both allow is below the time
	// within which a change must be in force, 2 s.
	readAge    = time.Second
	readSpread = 400 * time.Millisecond
	// relayAge is the age from which an instance asks instances outside of its
	// group, after the same random delay. Its own read has failed by then.
	relayAge = 1200 * time.Millisecond
	// retryDelay is the wait after a failed read.
	retryDelay = 400 * time.Millisecond
	// UnknownAge is the age of a configuration that was never compared with
	// the store's.
	UnknownAge = time.Duration(1<<63 - 1)
)

// Syncer decides for one instance. It is a deterministic state machine.
type Syncer struct {
	rand *rand.Rand
	// currentAt is as of when the configuration is known to be the newest, or
	// zero.
	currentAt time.Time
	// spread delays the reads of this instance.
	spread time.Duration
	// retryAt is the earliest time of the next read. reading is set during one.
	retryAt time.Time
	reading bool
	// helper is the peer that the next heartbeat asks to read, and helperAt
	// when the owner last chose one.
	helper   ident.Process
	helperAt time.Time
}

// New returns a Syncer for an instance that is about to read by itself. The
// random source is used by the Syncer alone.
func New(now time.Time, r *rand.Rand) *Syncer { return &Syncer{rand: r, retryAt: now.Add(retryDelay)} }

// Observe records that version was the store's newest at a time. That tells
// something about the own version only if it is as high.
func (s *Syncer) Observe(at time.Time, version, own uint64) {
	if version > own || !at.After(s.currentAt) {
		return
	}
	s.currentAt = at
	s.spread = time.Duration(s.rand.Int64N(int64(readSpread)))
}

// Age returns how long ago the own version was known to be the newest, or
// UnknownAge.
func (s *Syncer) Age(now time.Time) time.Duration {
	if s.currentAt.IsZero() {
		return UnknownAge
	}
	return max(0, now.Sub(s.currentAt))
}

// HandlePause handles a time that the clock did not count.
func (s *Syncer) HandlePause(suspended time.Duration) {
	if !s.currentAt.IsZero() {
		s.currentAt = s.currentAt.Add(-suspended)
	}
}

// Tick reports whether this instance must read the whole from the store.
func (s *Syncer) Tick(now time.Time) (read bool) {
	return s.Age(now) >= readAge+s.spread && s.StartRead(now)
}

// TickOwner is Tick for the owner, which may also choose a helper among the
// peers; see TakeHelper.
func (s *Syncer) TickOwner(now time.Time, peers []ident.Process) (read bool) {
	if s.Age(now) >= helperAge && now.Sub(s.helperAt) >= helperTime {
		s.helperAt = now
		k := s.rand.IntN(len(peers) + 1)
		if k == len(peers) {
			return s.StartRead(now)
		}
		s.helper = peers[k]
	}
	return s.Tick(now)
}

// NeedsRelays reports whether instances outside of the group must be asked, as
// neither this instance nor a peer could read the configuration lately.
func (s *Syncer) NeedsRelays(now time.Time) bool { return s.Age(now) >= relayAge+s.spread }

// TakeHelper reports whether a heartbeat to a process must ask it to read.
func (s *Syncer) TakeHelper(to ident.Process) bool {
	if s.helper != to {
		return false
	}
	s.helper = ident.Process{}
	return true
}

// StartRead reports whether a read may start now, and counts it as started.
// EndRead must follow.
func (s *Syncer) StartRead(now time.Time) bool {
	if s.reading || now.Before(s.retryAt) {
		return false
	}
	s.reading = true
	return true
}

// EndRead handles the end of a read.
func (s *Syncer) EndRead(now time.Time, ok bool) {
	s.reading = false
	if !ok {
		s.retryAt = now.Add(retryDelay)
	}
}
