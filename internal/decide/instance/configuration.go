package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// offerConfig takes a configuration that may be newer, and passes it on to the
// data centre. One that came from a peer of the data centre is not passed on:
// that peer has sent it to the others, and heartbeats reach any that it missed.
func (c *Core) offerConfig(now time.Time, rev *configpb.Revision, from ident.Process) {
	changed, err := c.holder.Offer(rev)
	if err != nil || !changed {
		return
	}
	snap := c.holder.InForce()
	c.do(InForce{Snapshot: snap})
	c.limits.set(snap, c.cfg)
	c.applyConfig(now, snap)
	if l := c.links[from]; l != nil && l.dataCentre == c.cfg.DataCentre {
		return
	}
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.pushConfig(now, p, l, 0)
		}
	}
}
