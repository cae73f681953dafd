package endpoint

import (
	"net"
	"sync"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// errSealed is what a write gets once its call was reported as not started.
var errSealed = fault.New(fault.EndpointUnreachable, fault.RanNo).WithDetail("the call was given up")

// conn counts the writes to a connection, so that a call can prove that none of
// its bytes were written.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before it begins, so that a write in progress is never
// taken for none. A write that failed without a byte does not count.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
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

// begun returns the number of writes that have begun and not failed.
func (c *conn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses all later writes and reports true if no write has begun since
// begun returned n. The transport may otherwise still write a request whose
// call has already returned.
func (c *conn) seal(n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != n {
		return false
	}
	c.sealed = true
	return true
}
