package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
)

// The header of a yamux frame: version, type, flags (2 bytes), stream (4) and
// length (4).
const (
	yamuxHeader   = 12
	yamuxTypeData = 0
)

// meter is the connection below a yamux session. It notes when bytes last
// arrived, bounds each write, and counts the bytes of each stream that reached
// the connection. yamux itself does not tell how much of a failed write it had
// passed on.
//
// yamux writes the header and the body of a data frame apart; meter joins them
// to save a packet.
type meter struct {
	net.Conn
	clock        clock.Clock
	start        time.Time
	writeTimeout time.Duration
	// arrived is when bytes last arrived, in nanoseconds since start.
	arrived atomic.Int64

	mu sync.Mutex
	// sent counts the body bytes written, by yamux stream.
	sent map[uint32]uint64
	// header waits for its body, which has bodyLeft bytes.
	header   [yamuxHeader]byte
	bodyLeft int
	scratch  []byte
}

func newMeter(conn net.Conn, c clock.Clock, writeTimeout time.Duration) *meter {
	return &meter{Conn: conn, clock: c, start: c.Now(), writeTimeout: writeTimeout, sent: map[uint32]uint64{}}
}

// silence returns how long nothing has arrived.
func (m *meter) silence(now time.Time) time.Duration {
	return now.Sub(m.start) - time.Duration(m.arrived.Load())
}

// sentOn returns how many bytes of a stream were written to the connection.
func (m *meter) sentOn(stream uint32) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent[stream]
}

// Read notes the arrival of bytes.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.arrived.Store(int64(m.clock.Now().Sub(m.start)))
	}
	return n, err
}

// Write is called by yamux with one header or one body at a time, from one
// goroutine.
func (m *meter) Write(p []byte) (int, error) {
	// The deadline is the kernel's, so it is set by the machine's clock.
	if err := m.Conn.SetWriteDeadline(time.Now().Add(m.writeTimeout)); err != nil {
		return 0, err
	}
	if m.bodyLeft > 0 {
		return m.writeBody(p)
	}
	if len(p) == yamuxHeader && p[1] == yamuxTypeData {
		if length := binary.BigEndian.Uint32(p[8:]); length > 0 {
			copy(m.header[:], p)
			m.bodyLeft = int(length)
			return len(p), nil
		}
	}
	return m.Conn.Write(p)
}

// writeBody writes a body with the header that waits for it.
func (m *meter) writeBody(p []byte) (int, error) {
	m.scratch = append(append(m.scratch[:0], m.header[:]...), p...)
	n, err := m.Conn.Write(m.scratch)
	if cap(m.scratch) > keepBuffer {
		m.scratch = nil
	}
	n = max(0, n-yamuxHeader)
	m.bodyLeft = 0
	m.mu.Lock()
	m.sent[binary.BigEndian.Uint32(m.header[4:])] += uint64(n)
	m.mu.Unlock()
	return n, err
}
