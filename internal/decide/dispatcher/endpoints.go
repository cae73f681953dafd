package dispatcher

import (
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
// owner asks for it, or a peer of this owner has none.
func (c *Core) exchangeList(now time.Time, from ident.Process, m Heartbeat) {
	if m.ReadList && c.list.HandleRequest(now, from) {
		c.pending = append(c.pending, ReadEndpoints{})
	}
	if c.pool.Active() && c.list.NeedsPush(now, from, m.ListAge) {
		c.pending = append(c.pending, Send{To: from, Message: c.list.Snapshot(now)})
	}
}
