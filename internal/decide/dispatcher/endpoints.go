package dispatcher

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// NeedsEndpoints reports whether this instance should read the list of
// endpoints from the store. The owner always reads it. Others read it while no
// owner is known that sends them its changes, the owner asks them to, or they
// have no list themselves.
func (c *Core) NeedsEndpoints(now time.Time) bool {
	ownerProcess, _ := c.view.Owner()
	return ownerProcess == c.self || !c.view.OwnerConfirmed() || c.list.Requested(now) || !c.list.Known()
}

// UpdateEndpoints sets the list of endpoints that was read from the store, and
// reports whether it differs from the previous one. The owner sends the changes
// to its peers. Other instances send them to an owner that has asked for them.
func (c *Core) UpdateEndpoints(now time.Time, endpoints []owner.Endpoint) (actions []Action, changed bool) {
	changes := c.list.Read(now, endpoints)
	c.updateEndpoints(now)
	ownerProcess, known := c.view.Owner()
	switch {
	case known && ownerProcess == c.self:
		c.sendChanges(changes)
	default:
		c.replyToOwner(now)
	}
	return c.flush(), !changes.Empty()
}

// SetEvacuated sets the data centres whose endpoints get no more starts.
func (c *Core) SetEvacuated(now time.Time, dcs []ident.DataCentre) []Action {
	c.applyPoolActions(now, c.pool.SetEvacuated(now, dcs))
	return c.flush()
}

// updateEndpoints passes the list to the pool.
func (c *Core) updateEndpoints(now time.Time) {
	c.updateLayout(now)
	c.applyPoolActions(now, c.pool.SetEndpoints(now, c.list.ReadAt(), c.groupEndpoints()))
}

// sendChanges sends changes of the list to all peers.
func (c *Core) sendChanges(changes listing.Changes) {
	if changes.Empty() {
		return
	}
	for _, peer := range c.view.Peers() {
		c.pending = append(c.pending, Send{To: peer, Message: changes})
	}
}

// replyToOwner sends the list to an owner that has asked for it.
func (c *Core) replyToOwner(now time.Time) {
	reply, asked := c.list.ReplyToRequest(now)
	switch {
	case !asked:
	case reply.Snapshot != nil:
		c.pending = append(c.pending, Send{To: reply.To, Message: *reply.Snapshot})
	default:
		c.pending = append(c.pending, Send{To: reply.To, Message: reply.Changes})
	}
}

// exchangeList handles what a heartbeat says about the list of endpoints: an
// owner asks for it, or its list differs from the one of this instance.
func (c *Core) exchangeList(now time.Time, from ident.Process, m Heartbeat) {
	if m.ReadList && c.list.HandleRequest(now, from) {
		c.pending = append(c.pending, ReadEndpoints{})
	}
	if m.Owner == from && c.agreement.observe(now, from, c.list.Digest(), m.ListDigest) {
		c.pool.SetListIncomplete(now)
	}
	if !c.pool.Active() {
		return
	}
	missing := c.pool.MissingEndpoints(now)
	switch c.list.NextPush(now, from, listing.PeerList{Age: m.ListAge, Digest: m.ListDigest}, len(missing) > 0) {
	case listing.PushList:
		s := c.list.Snapshot(now)
		s.Missing = missing
		c.pending = append(c.pending, Send{To: from, Message: s})
	case listing.PushMissing:
		c.pending = append(c.pending, Send{To: from, Message: listing.Snapshot{Age: listing.NoList, Missing: missing}})
	}
}

// sendKnownEndpoints sends a new owner the endpoints that it may not know, ahead
// of the orders of this home: earlier owners may have started the tasks there.
// It gets the endpoints that the list of this instance lacks, and the listed ones
// if its own list differs.
func (c *Core) sendKnownEndpoints(to ident.Process) {
	if c.endpointsSentTo == to {
		return
	}
	c.endpointsSentTo = to
	known := c.pool.UnlistedEndpoints()
	if c.list.Known() && c.listDigests[to] != c.list.Digest() {
		known = slices.Concat(known, c.list.Endpoints())
	}
	if len(known) > 0 {
		c.pending = append(c.pending, Send{To: to, Message: listing.Snapshot{Age: listing.NoList, Missing: known}})
	}
}

// receiveList takes over a list that a peer sent. Endpoints that its sender
// polls and that the newer list lacks may have runs; the pool polls them, too,
// if it becomes active.
func (c *Core) receiveList(now time.Time, s listing.Snapshot) {
	missing := s.Missing
	switch {
	case c.list.Receive(now, s):
		c.updateEndpoints(now)
	case !c.pool.Active():
		// Only an owner sends a list to an instance that is none.
		missing = slices.Concat(missing, s.Endpoints)
	}
	missing = slices.DeleteFunc(slices.Clone(missing), func(e owner.Endpoint) bool { return !c.inGroup(e.DataCentre) })
	c.pool.AddMissing(now, missing)
}

// agreement records whether the list of an owner and the one of this instance
// have the same digest.
type agreement struct {
	// with is the owner whose digest was last the same.
	with ident.Process
	// differsSince is since when the digest of that owner differs, or zero.
	differsSince time.Time
}

// changeTime is how long the digests may differ while changes are on the way.
const changeTime = 300 * time.Millisecond

// observe handles the digest in a heartbeat of an owner, and reports whether
// the list of this instance may lack endpoints that the owner uses. Digests that
// are zero are not compared.
func (a *agreement) observe(now time.Time, from ident.Process, own, other uint64) (incomplete bool) {
	switch {
	case own == 0 || other == 0:
		return false
	case own == other:
		a.with, a.differsSince = from, time.Time{}
		return false
	case a.with != from:
		return true
	case a.differsSince.IsZero():
		a.differsSince = now
	}
	return now.Sub(a.differsSince) >= changeTime
}

// forget records that the link to a process ended; changes may be lost.
func (a *agreement) forget(p ident.Process) {
	if a.with == p {
		*a = agreement{}
	}
}
