package instance

import "time"

// readerTimeout is how long the reader of a data centre may go without an
// answer from the store before its peers read as well. The list is read every
// second.
const readerTimeout = 5 * time.Second

// updateReading decides whether this instance reads the store. One instance
// reads for its data centre. While that one gets no answer or has no link, the
// others read too, since only its own path to the store may be broken.
func (c *Core) updateReading(now time.Time) {
	r, _ := c.members.Reader(c.cfg.DataCentre)
	reads := r == c.cfg.Self.Instance
	if !reads {
		p, linked := c.linkedProcess(r)
		reads = !linked || c.links[p].storeFailing
	}
	if reads == c.readsStore {
		return
	}
	c.readsStore, c.lastRead = reads, now
	c.emit(SetStoreReading{Active: reads})
}

// storeFailing reports whether this instance reads the store but has had no
// answer for readerTimeout.
func (c *Core) storeFailing(now time.Time) bool {
	return c.readsStore && now.Sub(c.lastRead) > readerTimeout
}
