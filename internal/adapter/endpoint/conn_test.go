package endpoint

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// writeCounter is a connection that only counts writes.
type writeCounter struct {
	net.Conn
	writes int
}

func (w *writeCounter) Write(p []byte) (int, error) {
	w.writes++
	return len(p), nil
}

// TestConnSeal guards against a request that the transport writes after its
// call was reported as not started, and against a proof after a write.
func TestConnSeal(t *testing.T) {
	is := is.New(t)
	inner := &writeCounter{}
	c := &conn{Conn: inner}
	before := c.begun()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.True(!c.seal(before)) // something was written
	is.True(c.seal(c.begun()))
	_, err = c.Write([]byte("x"))
	is.Equal(err, errSealed)
	is.Equal(inner.writes, 1)
}
