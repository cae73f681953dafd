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

import "time"

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
	// that an owner needs for an endpoint in a burst, with as much again for
	// what it does besides.
	processorsPerEndpoint = 1600
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

// changeDelay is how long the layout must differ before it changes: the list of
// members lacks instances that are just starting.
const changeDelay = 2 * time.Second

// Decider decides on the layout as one instance sees it.
type Decider struct {
	layout Layout
	// differsSince is when another layout was first called for, or zero.
	differsSince time.Time
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
}

// layout returns the layout that suits the fleet.
func (f Fleet) layout() Layout {
	if f.Members > maxMembers || (f.LargestOwner > 0 && f.Endpoints > f.LargestOwner) {
		return ByDataCentre
	}
	return Whole
}

// Update decides on the layout and reports whether it has changed. It does so
// only once endpoints are listed. The first decision takes effect at once, and
// so does one for too many members, since lists lack members but do not invent
// them. Others take effect after changeDelay.
func (d *Decider) Update(now time.Time, f Fleet) bool {
	if f.Endpoints == 0 {
		return false
	}
	wanted := f.layout()
	switch {
	case wanted == d.layout:
		d.differsSince = time.Time{}
		return false
	case d.layout == Unknown, f.Members > maxMembers:
	case d.differsSince.IsZero():
		d.differsSince = now
		return false
	case now.Sub(d.differsSince) < changeDelay:
		return false
	}
	d.layout, d.differsSince = wanted, time.Time{}
	return true
}
