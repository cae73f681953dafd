package endpoint

import (
	"net"
	"sync"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// errWritesBlocked is the error of a write after its call was reported as not
// started.
var errWritesBlocked = fault.New(fault.EndpointUnreachable, fault.RanNo).WithDetail("the call was reported as not started")

// conn counts the writes to a connection, so that a call can prove that none of
// its bytes were written.
type conn struct {
	net.Conn

	mu      sync.Mutex
	writes  uint64
	blocked bool
}

// Write counts the write before it begins, so that a write in progress is
// already counted. A write that fails without writing a byte is not counted.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

// writeCount returns the number of writes that have begun, without those that
// failed without writing a byte.
func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockIfNoWrites makes all later writes fail and returns true if no write has
// begun since writeCount returned n; otherwise it only returns false. If the
// writes were not blocked, the transport could still write a request after its
// call has returned.
func (c *conn) blockIfNoWrites(n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != n {
		return false
	}
	c.blocked = true
	return true
}
