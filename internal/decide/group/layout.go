// Package group decides which instances and endpoints form a group with an
// owner of its own. It answers a fleet that has outgrown a single owner: more
// endpoints than the strongest instance can start tasks on, or more instances
// than the weakest one can keep links to.
//
// A fleet is one group as long as an instance can own all endpoints, since one
// view of all endpoints serves callers best. Beyond that each data centre is a
// group: its instances link to each other only, one of them owns the endpoints
// of the data centre, and the data centre serves on unchanged when it is cut
// off. A Decider is a deterministic state machine.
package group

import (
	"cmp"
	"time"
)

// Layout says how the fleet is divided.
type Layout int

// The layouts. With Whole the fleet is one group, and with ByDataCentre each
// data centre is one. While the layout is Unknown, not enough is known yet to
// decide.
const (
	Unknown Layout = iota
	Whole
	ByDataCentre
)

// String returns the layout in kebab case, for logs.
func (l Layout) String() string {
	switch l {
	case Whole:
		return "whole"
	case ByDataCentre:
		return "by-data-centre"
	}
	return "unknown"
}

// Strength is what bounds the endpoints that an instance can own.
type Strength struct {
	// Processors is in thousandths of a core, and LinkRate in bytes a second.
	// Zero means unknown.
	Processors int64
	LinkRate   int64
}

const (
	// processorsPerEndpoint is the processor capacity, in millionths of a core,
	// that an owner needs for an endpoint. In a burst of 12 starts a second for
	// each endpoint it uses 2,300, and starts are late from then on. The rest
	// keeps a fleet that loses a quarter of its endpoints divided.
	processorsPerEndpoint = 3200
	// bytesPerEndpoint is the same for its link, in bytes a second.
	bytesPerEndpoint = 4000
)

// Endpoints returns how many endpoints an instance of that strength can own, or
// zero if its processors are unknown.
func (s Strength) Endpoints() int {
	n := s.Processors * 1000 / processorsPerEndpoint
	if s.LinkRate > 0 {
		n = min(n, s.LinkRate/bytesPerEndpoint)
	}
	return int(n)
}

// maxMembers is the number of instances up to which all link to each other.
const maxMembers = 64

const (
	// changeDelay is how long another layout must be called for before it takes
	// effect: the list of members lacks instances that are just starting.
	changeDelay = 2 * time.Second
	// firstDelay is the same for an instance that has no layout yet, once it has
	// a list of endpoints, and whose peers have none. Instances that all restart
	// at once have registered by then, and serve no one before.
	firstDelay = 300 * time.Millisecond
	// DefaultMemory is how long an instance that can own all endpoints, and the
	// most endpoints that were listed, still count. An instance that fails comes
	// back or is replaced, and so do the endpoints of a data centre that is cut
	// off. Each change of the layout costs runs.
	DefaultMemory = time.Minute
)

// Decider decides on the layout as one instance sees it.
type Decider struct {
	// Memory is how long the size of the fleet is remembered, DefaultMemory if it
	// is zero.
	Memory time.Duration
	layout Layout
	// differsSince is when another layout was first called for, or zero.
	differsSince time.Time
	// largestOwner and endpoints are the highest Fleet.LargestOwner and
	// Fleet.Endpoints that are remembered.
	largestOwner, endpoints remembered
}

// remembered is the highest of the latest numbers, and when it was last seen.
type remembered struct {
	highest int
	at      time.Time
}

// update takes in a number and returns the highest one within the memory.
func (r *remembered) update(now time.Time, n int, memory time.Duration) int {
	if n >= r.highest || now.Sub(r.at) > memory {
		r.highest, r.at = n, now
	}
	return r.highest
}

// Layout returns the layout that is in use.
func (d *Decider) Layout() Layout { return d.layout }

// Fleet is what the layout depends on.
type Fleet struct {
	// Members and Endpoints are the numbers of listed instances and endpoints.
	Members, Endpoints int
	// LargestOwner is the number of endpoints that the strongest instance can
	// own, or zero if unknown.
	LargestOwner int
	// PeersWhole and PeersDivided are set if linked peers have settled on
	// Whole, or on ByDataCentre.
	PeersWhole, PeersDivided bool
}

// layout returns the layout that suits the fleet.
func (f Fleet) layout() Layout {
	if f.Members > maxMembers || (f.LargestOwner > 0 && f.Endpoints > f.LargestOwner) {
		return ByDataCentre
	}
	return Whole
}

// firstLayout returns the layout for an instance that has none yet: the one
// that suits the fleet, unless all peers have settled on the other one.
func (f Fleet) firstLayout() Layout {
	wanted := f.layout()
	switch {
	case wanted == ByDataCentre && f.Members <= maxMembers && f.PeersWhole && !f.PeersDivided:
		return Whole
	case wanted == Whole && f.PeersDivided && !f.PeersWhole:
		return ByDataCentre
	}
	return wanted
}

// delay returns how long another layout must be called for.
func (d *Decider) delay() time.Duration {
	if d.layout == Unknown {
		return firstDelay
	}
	return changeDelay
}

// Update decides on the layout and reports whether it has changed. It does so
// only once endpoints are listed. A new instance takes the layout of its peers,
// since its list of members may still lack the strong ones. Without peers that
// have settled, Whole takes effect at once, and so does a division for too many
// members, since lists lack members but do not invent them. Others take effect
// after a delay.
func (d *Decider) Update(now time.Time, f Fleet) bool {
	if f.Endpoints == 0 {
		return false
	}
	memory := cmp.Or(d.Memory, DefaultMemory)
	f.LargestOwner = d.largestOwner.update(now, f.LargestOwner, memory)
	f.Endpoints = d.endpoints.update(now, f.Endpoints, memory)
	wanted := f.layout()
	if d.layout == Unknown {
		wanted = f.firstLayout()
	}
	switch {
	case wanted == d.layout:
		d.differsSince = time.Time{}
		return false
	case d.layout == Unknown && (wanted == Whole || f.PeersDivided && !f.PeersWhole), f.Members > maxMembers:
	case d.differsSince.IsZero():
		d.differsSince = now
		return false
	case now.Sub(d.differsSince) < d.delay():
		return false
	}
	if d.layout == Unknown && wanted == ByDataCentre && f.layout() == Whole {
		// The peers remember a larger fleet.
		d.endpoints.update(now, f.LargestOwner+1, memory)
	}
	d.layout, d.differsSince = wanted, time.Time{}
	return true
}
