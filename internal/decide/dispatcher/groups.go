package dispatcher

import (
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// groups holds what one instance knows of the division of the fleet.
type groups struct {
	decider group.Decider
	// linked holds all linked processes, also those of other groups, which the
	// view does not know.
	linked  map[ident.Process]ident.DataCentre
	members []leader.Member
	// layouts holds how the linked processes see the fleet divided, as their
	// latest heartbeats say.
	layouts map[ident.Process]group.Layout
	// changed is set when the layout has changed and the pool does not follow
	// it yet.
	changed bool
	// closeAt is when the links to processes of other groups are closed, or
	// zero. Until then they learn the owner that this instance follows now.
	closeAt time.Time
}

// outsideLinkTime is how long links to processes of other groups stay open.
const outsideLinkTime = time.Second

// LayoutChanged reports how the fleet is divided from now on.
type LayoutChanged struct{ Layout group.Layout }

// MayLink reports whether this instance keeps links to the instances of a data
// centre. Until the layout is known, it links to those of its own only, which
// are in its group in any case.
func (c *Core) MayLink(dc ident.DataCentre) bool {
	return dc == c.cfg.Leader.DataCentre || c.groups.decider.Layout() == group.Whole
}

// inGroup reports whether instances and endpoints of a data centre are in the
// group of this instance.
func (c *Core) inGroup(dc ident.DataCentre) bool {
	return c.groups.decider.Layout() != group.ByDataCentre || dc == c.cfg.Leader.DataCentre
}

// Layout returns how the fleet is divided.
func (c *Core) Layout() group.Layout { return c.groups.decider.Layout() }

// SetMembers records the instances that the store lists.
func (c *Core) SetMembers(now time.Time, list []leader.Member) {
	c.groups.members = list
	c.updateLayout(now)
	inGroup := slices.DeleteFunc(slices.Clone(list), func(m leader.Member) bool { return !c.inGroup(m.DataCentre) })
	c.view.SetMembers(now, inGroup)
}

// largestOwner returns the number of endpoints that the strongest instance can
// own, of this one, the listed and the linked ones.
func (c *Core) largestOwner() int {
	largest := c.cfg.Leader.Strength.Endpoints()
	for _, m := range c.groups.members {
		largest = max(largest, m.Strength.Endpoints())
	}
	return max(largest, group.Strength{Processors: c.view.MaxProcessors()}.Endpoints())
}

// updateLayout decides how the fleet is divided, once the list of endpoints and
// the members are known. The view and the pool then follow.
func (c *Core) updateLayout(now time.Time) {
	if c.list.ReadAt().IsZero() || (c.groups.members == nil && len(c.groups.linked) == 0) {
		return
	}
	before := c.groups.decider.Layout()
	fleet := group.Fleet{Members: len(c.groups.members), Endpoints: len(c.list.Endpoints()), LargestOwner: c.largestOwner()}
	for _, layout := range c.groups.layouts {
		fleet.PeersWhole = fleet.PeersWhole || layout == group.Whole
		fleet.PeersDivided = fleet.PeersDivided || layout == group.ByDataCentre
	}
	if !c.groups.decider.Update(now, fleet) {
		return
	}
	c.view.Hold(false)
	c.groups.changed = true
	layout := c.groups.decider.Layout()
	c.pending = append(c.pending, LayoutChanged{Layout: layout})
	if before == group.Unknown && layout == group.Whole {
		return
	}
	c.followLayout(now)
}

// followLayout makes the view consist of the processes of this group, and the
// pool of its endpoints.
func (c *Core) followLayout(now time.Time) {
	for _, process := range c.linkedProcesses() {
		dc := c.groups.linked[process]
		switch {
		case !c.inGroup(dc):
			c.view.RemovePeer(process.Instance)
			c.list.HandleLinkDown(process)
			c.groups.closeAt = now.Add(outsideLinkTime)
		case !c.view.Linked(process):
			c.view.HandleLinkUp(now, process, dc)
			c.list.HandleLinkUp(process)
		}
	}
	for _, m := range c.groups.members {
		if !c.inGroup(m.DataCentre) {
			c.view.RemovePeer(m.Instance)
		}
	}
	c.pool.SetGroup(owner.Group{
		Whole: c.groups.decider.Layout() == group.Whole,
		Home: func(p ident.Process) bool {
			return p == c.self || c.groups.linked[p] == c.cfg.Leader.DataCentre
		},
		Endpoint: func(e owner.Endpoint) bool { return c.inGroup(e.DataCentre) },
	})
	c.applyPoolActions(now, c.pool.SetEndpoints(now, c.list.ReadAt(), c.groupEndpoints()))
}

// groupEndpoints returns the listed endpoints of this group.
func (c *Core) groupEndpoints() []owner.Endpoint {
	if c.groups.decider.Layout() != group.ByDataCentre {
		return c.list.Endpoints()
	}
	var list []owner.Endpoint
	for _, e := range c.list.Endpoints() {
		if c.inGroup(e.DataCentre) {
			list = append(list, e)
		}
	}
	return list
}

// awaitHomes keeps the pool from starting tasks of the other instances after a
// pause, until each has sent a heartbeat that cannot be older than the pause.
// Meanwhile they may have placed their tasks at another owner, or ended, so that
// their callers have submitted the jobs again; its runs are not all seen here
// after a network partition or in a divided fleet.
func (c *Core) awaitHomes(now time.Time) {
	c.pauseOverAt = now.Add(pauseGrace)
	for _, process := range c.view.Peers() {
		c.pool.SetHomeAbsent(process, true)
	}
}

// noteHeard lets the pool start tasks of an instance that has sent a heartbeat,
// unless it may be older than the latest pause of this process.
func (c *Core) noteHeard(now time.Time, from ident.Process) {
	if _, lost := c.lostPeers[from]; !lost && !now.Before(c.pauseOverAt) {
		c.pool.SetHomeAbsent(from, false)
	}
}

// linkedProcesses returns all linked processes in the order of their ids.
func (c *Core) linkedProcesses() []ident.Process {
	var list []ident.Process
	for process := range c.groups.linked {
		list = append(list, process)
	}
	slices.SortFunc(list, func(a, b ident.Process) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// outsidePeers returns the linked processes of other groups.
func (c *Core) outsidePeers() []ident.Process {
	return slices.DeleteFunc(c.linkedProcesses(), func(p ident.Process) bool { return c.inGroup(c.groups.linked[p]) })
}

// closeOutsideLinks closes the links to processes of other groups some time
// after the layout has changed.
func (c *Core) closeOutsideLinks(now time.Time) {
	if c.groups.closeAt.IsZero() || now.Before(c.groups.closeAt) {
		return
	}
	c.groups.closeAt = time.Time{}
	for _, process := range c.outsidePeers() {
		c.pending = append(c.pending, CloseLink{Peer: process})
		delete(c.groups.linked, process)
		delete(c.groups.layouts, process)
		c.lostPeers[process] = now
	}
}
