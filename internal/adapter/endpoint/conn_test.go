package endpoint

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// writeCounter is a fake connection that only counts writes.
type writeCounter struct {
	net.Conn
	writes int
}

func (w *writeCounter) Write(p []byte) (int, error) {
	w.writes++
	return len(p), nil
}

// TestConnBlockWrites guards against a request that the transport writes after
// its call was reported as not started, and against such a report after a
// write.
func TestConnBlockWrites(t *testing.T) {
	is := is.New(t)
	inner := &writeCounter{}
	c := &conn{Conn: inner}
	before := c.writeCount()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.True(!c.blockIfNoWrites(before)) // something was written
	is.True(c.blockIfNoWrites(c.writeCount()))
	_, err = c.Write([]byte("x"))
	is.Equal(err, errWritesBlocked)
	is.Equal(inner.writes, 1)
}
