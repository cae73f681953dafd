// Package listing keeps the list of endpoints that one instance holds, and
// decides what it sends of the list to which peer.
//
// It is made for large fleets whose endpoints change all the time: a change is
// sent as the entries that differ and not as the whole list, and while the
// store turns the owner of the endpoints away, a few helpers read the list for
// it and not the whole fleet. A List is a deterministic state machine without
// goroutines, sockets or a clock.
package listing

import (
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// Config holds the settings of a List.
type Config struct {
	// MaxAge is the age above which the owner's list is stale, so that helpers
	// read it from the store and send it to the owner.
	MaxAge time.Duration
	// HelperTimeout is how long the owner waits for its helpers before it asks
	// the next ones.
	HelperTimeout time.Duration
	// Helpers is the number of peers that are asked at a time.
	Helpers int
	// PushInterval is the least time between two whole lists that the owner
	// sends to a peer.
	PushInterval time.Duration
	// DifferenceDelay is how long the list of a peer must differ from the
	// owner's before the owner sends the whole list. Changes under way make it
	// differ for a moment.
	DifferenceDelay time.Duration
}

// Defaults returns c with its zero fields set to their defaults.
func (c Config) Defaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.MaxAge, 1500*time.Millisecond)
	set(&c.HelperTimeout, 600*time.Millisecond)
	set(&c.PushInterval, time.Second)
	set(&c.DifferenceDelay, 2*time.Second)
	if c.Helpers == 0 {
		c.Helpers = 2
	}
	return c
}

// NoList is the age that an instance without a list reports. It fits into 32
// bits of milliseconds.
const NoList = (1<<32 - 1) * time.Millisecond

// Snapshot is a whole list and its age. If the age is NoList, it has only the
// missing endpoints.
type Snapshot struct {
	Endpoints []owner.Endpoint
	Age       time.Duration
	// Missing holds the endpoints that the sender, an owner, still polls
	// although its list lacks them.
	Missing []owner.Endpoint
}

// Changes lists what differs between two lists of endpoints. Age is the age of
// the later one.
type Changes struct {
	Changed []owner.Endpoint
	Removed []ident.EndpointID
	Age     time.Duration
}

// Empty reports whether the two lists are equal.
func (c Changes) Empty() bool { return len(c.Changed) == 0 && len(c.Removed) == 0 }

// List is the list of endpoints as one instance knows it.
type List struct {
	cfg Config
	// endpoints is sorted by ID. Its elements are not modified, so that slices
	// of it may be kept.
	endpoints []owner.Endpoint
	// digest is that of the ids of endpoints, or zero while there is no list.
	digest uint64
	// readAt is when the list was read from the store, by this instance or by
	// the peer that sent it. It is zero while there is no list.
	readAt time.Time
	// ownReadAt is when this instance last read the list itself.
	ownReadAt time.Time
	helpers   helpers
	// pushes holds what the owner has sent to each linked peer.
	pushes map[ident.Process]*pushState
	// request is the latest request of an owner to read the list for it.
	request request
}

// New returns an empty list.
func New(cfg Config) *List {
	return &List{cfg: cfg.Defaults(), pushes: map[ident.Process]*pushState{}}
}

// Endpoints returns the entries, sorted by ID. Callers must not change them.
func (l *List) Endpoints() []owner.Endpoint { return l.endpoints }

// ReadAt returns when the list was read from the store, or zero without a list.
func (l *List) ReadAt() time.Time { return l.readAt }

// Known reports whether there is a list with endpoints.
func (l *List) Known() bool { return len(l.endpoints) > 0 }

// Age returns the age of the list, or NoList.
func (l *List) Age(now time.Time) time.Duration {
	if l.readAt.IsZero() {
		return NoList
	}
	return min(now.Sub(l.readAt), NoList)
}

// Read sets the list to entries that this instance has just read from the
// store, and returns what has changed.
func (l *List) Read(now time.Time, entries []owner.Endpoint) Changes {
	l.ownReadAt = now
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, compareIDs)
	changes := difference(l.endpoints, sorted)
	l.set(sorted, now)
	return changes
}

// Receive takes over a list that a peer sent, and reports whether it is newer
// than the own one.
func (l *List) Receive(now time.Time, s Snapshot) bool {
	readAt := now.Add(-s.Age)
	if s.Age >= NoList || !readAt.After(l.readAt) {
		return false
	}
	sorted := slices.Clone(s.Endpoints)
	slices.SortFunc(sorted, compareIDs)
	l.set(sorted, readAt)
	return true
}

// Apply applies changes that a peer sent, and reports whether they are newer
// than the list.
func (l *List) Apply(now time.Time, c Changes) bool {
	readAt := now.Add(-c.Age)
	if l.readAt.IsZero() || !readAt.After(l.readAt) {
		return false
	}
	if c.Empty() {
		l.readAt = readAt
		return true
	}
	l.set(merge(l.endpoints, c), readAt)
	return true
}

// set replaces the list by a sorted one.
func (l *List) set(sorted []owner.Endpoint, readAt time.Time) {
	l.endpoints, l.readAt, l.digest = sorted, readAt, digest(sorted)
}

// Snapshot returns the whole list, for a peer.
func (l *List) Snapshot(now time.Time) Snapshot {
	return Snapshot{Endpoints: l.endpoints, Age: l.Age(now)}
}

func compareIDs(a, b owner.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) }

// difference returns what changes from one sorted list to another.
func difference(before, after []owner.Endpoint) Changes {
	var c Changes
	i := 0
	for _, e := range after {
		for i < len(before) && before[i].ID < e.ID {
			c.Removed = append(c.Removed, before[i].ID)
			i++
		}
		if i < len(before) && before[i].ID == e.ID {
			if !before[i].Equal(e) {
				c.Changed = append(c.Changed, e)
			}
			i++
			continue
		}
		c.Changed = append(c.Changed, e)
	}
	for ; i < len(before); i++ {
		c.Removed = append(c.Removed, before[i].ID)
	}
	return c
}

// merge returns a sorted list with changes applied.
func merge(before []owner.Endpoint, c Changes) []owner.Endpoint {
	dropped := make(map[ident.EndpointID]bool, len(c.Changed)+len(c.Removed))
	for _, id := range c.Removed {
		dropped[id] = true
	}
	for _, e := range c.Changed {
		dropped[e.ID] = true
	}
	after := make([]owner.Endpoint, 0, len(before)+len(c.Changed))
	for _, e := range before {
		if !dropped[e.ID] {
			after = append(after, e)
		}
	}
	after = append(after, c.Changed...)
	slices.SortFunc(after, compareIDs)
	return after
}
