package instance

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// updateConfig applies a configuration if it is newer than the current one, and
// pushes it to the peers of the data centre. It is not pushed when it came from
// a peer of the same data centre: that peer has pushed it to the others, and
// heartbeats bring any that it missed up to date.
func (c *Core) updateConfig(now time.Time, rev *configpb.Revision, from ident.Process) {
	changed, err := c.configHolder.Update(rev)
	if err != nil || !changed {
		return
	}
	snap := c.configHolder.Snapshot()
	c.emit(PublishConfig{Snapshot: snap})
	c.limits.setConfig(snap, c.cfg)
	c.applyConfig(now, snap)
	if l := c.links[from]; l != nil && l.dataCentre == c.cfg.DataCentre {
		return
	}
	for p, l := range c.links {
		if l.dataCentre == c.cfg.DataCentre {
			c.pushConfig(now, p, l, 0) // the peer's revision is not known
		}
	}
}
