package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
)

// The header of a yamux frame has 12 bytes: version (1), type (1), flags (2),
// stream (4) and length (4).
const (
	yamuxHeader   = 12
	yamuxTypeData = 0
)

// meteredConn is the connection below a yamux session. It records when bytes
// last arrived, sets a deadline for each write, and counts the bytes of each
// stream that were written to the connection. yamux itself does not report how
// much of a failed write reached the connection.
//
// yamux writes the header and the body of a data frame separately; meteredConn
// joins them to save a packet.
type meteredConn struct {
	net.Conn
	clock        clock.Clock
	start        time.Time
	writeTimeout time.Duration
	// lastRead is when bytes last arrived, in nanoseconds since start.
	lastRead atomic.Int64

	mu sync.Mutex
	// written is the number of body bytes written, by yamux stream id.
	written map[uint32]uint64
	// header is the header of a data frame that is held back until its body,
	// of bodyLength bytes, is written. bodyLength is 0 if none is held back.
	header     [yamuxHeader]byte
	bodyLength int
	scratch    []byte
}

func newMeteredConn(conn net.Conn, clk clock.Clock, writeTimeout time.Duration) *meteredConn {
	return &meteredConn{Conn: conn, clock: clk, start: clk.Now(), writeTimeout: writeTimeout, written: map[uint32]uint64{}}
}

// silence returns the time since bytes last arrived.
func (c *meteredConn) silence(now time.Time) time.Duration {
	return now.Sub(c.start) - time.Duration(c.lastRead.Load())
}

// bytesWritten returns how many bytes of a yamux stream were written to the
// connection.
func (c *meteredConn) bytesWritten(stream uint32) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written[stream]
}

// Read reads from the connection and records the time if bytes arrived.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(c.clock.Now().Sub(c.start)))
	}
	return n, err
}

// Write writes a header or a body, and holds back a header until its body
// follows. yamux calls it with one header or one body at a time, from one
// goroutine.
func (c *meteredConn) Write(p []byte) (int, error) {
	// The network stack enforces the deadline, so it uses the system clock.
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	if c.bodyLength > 0 {
		return c.writeBody(p)
	}
	if len(p) == yamuxHeader && p[1] == yamuxTypeData {
		if length := binary.BigEndian.Uint32(p[8:]); length > 0 {
			copy(c.header[:], p)
			c.bodyLength = int(length)
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

// writeBody writes the header that was held back together with its body. It
// returns the number of bytes of the body that were written.
func (c *meteredConn) writeBody(p []byte) (int, error) {
	c.scratch = append(append(c.scratch[:0], c.header[:]...), p...)
	n, err := c.Conn.Write(c.scratch)
	if cap(c.scratch) > maxRetainedBuffer {
		c.scratch = nil
	}
	n = max(0, n-yamuxHeader)
	c.bodyLength = 0
	c.mu.Lock()
	c.written[binary.BigEndian.Uint32(c.header[4:])] += uint64(n)
	c.mu.Unlock()
	return n, err
}
