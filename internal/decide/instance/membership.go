package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
)

// linkedProcess returns the linked process of an instance, and false when there
// is none.
func (c *Core) linkedProcess(id ident.InstanceID) (ident.Process, bool) {
	for p := range c.links {
		if p.Instance == id {
			return p, true
		}
	}
	return ident.Process{}, false
}

// applyMemberChanges handles processes that are dead or were replaced. Attempts
// that were delegated to such a process have an unknown outcome, and waiting
// tasks whose home it was are removed from the queues.
func (c *Core) applyMemberChanges(now time.Time, changes []member.StateChange) {
	for _, ch := range changes {
		if ch.To != member.Dead && ch.To != member.Replaced {
			continue
		}
		for id, attempt := range c.table.Delegated(ch.Process) {
			c.markLost(now, id, attempt)
		}
		c.returnWaiting(now, ch.Process)
		delete(c.outboxes, ch.Process)
	}
}

// updateMembership handles the changes of the membership since the last event:
// endpoint ownership, link targets and the choice of the store reader.
func (c *Core) updateMembership(now time.Time) {
	if c.members.Replaced() && !c.replaced {
		c.replaced = true
		c.startDrain(now)
	}
	v := c.members.Version()
	if v == c.membersVersion {
		return
	}
	c.membersVersion = v
	c.updateOwned(now)
	c.emit(SetLinkTargets{Targets: c.linkTargets()})
	c.updateReading(now)
}

// linkTargets returns the other entry instances in the platform's list.
func (c *Core) linkTargets() []work.Instance {
	var rows []work.Instance
	for _, row := range c.members.List() {
		if row.Kind == work.KindEntry && row.ID != string(c.cfg.Self.Instance) {
			rows = append(rows, row)
		}
	}
	return rows
}
