package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
)

// linked returns the process of an instance id that has a link.
func (c *Core) linked(id ident.InstanceID) (ident.Process, bool) {
	for p := range c.links {
		if p.Instance == id {
			return p, true
		}
	}
	return ident.Process{}, false
}

// changed acts on changes of membership. The tasks of a dead process have an
// unknown outcome.
func (c *Core) changed(now time.Time, changes []member.Change) {
	for _, ch := range changes {
		if ch.To != member.Dead && ch.To != member.Replaced {
			continue
		}
		for id, attempt := range c.table.Delegated(ch.Process) {
			c.lost(now, id, attempt)
		}
		c.orphaned(now, ch.Process)
		delete(c.results, ch.Process)
	}
}

// membership acts on what has changed in the members since the last event.
func (c *Core) membership(now time.Time) {
	if c.members.Replaced() && !c.replaced {
		c.replaced = true
		c.drain(now)
	}
	v := c.members.Version()
	if v == c.memberSeen {
		return
	}
	c.memberSeen = v
	c.own(now)
	c.do(Dial{Targets: c.targets()})
	c.chooseReader(now)
}

// targets returns the entry instances that the list names besides this one.
func (c *Core) targets() []work.Instance {
	var rows []work.Instance
	for _, row := range c.members.List() {
		if row.Kind == work.KindEntry && row.ID != string(c.cfg.Self.Instance) {
			rows = append(rows, row)
		}
	}
	return rows
}
