package peer

import "sync/atomic"

// Stats holds the counters of a Mesh since its start. The fields are read with
// Load.
type Stats struct {
	Control StreamStats
	Traffic StreamStats
	// Links is the number of links that are up now.
	Links atomic.Int64
	// Connections counts the links that have come up.
	Connections atomic.Uint64
	// DialFailures counts dials that did not lead to a link.
	DialFailures atomic.Uint64
	// Refused counts connections with a wrong token or identity, and those
	// closed because of MaxHandshakes.
	Refused atomic.Uint64
	// Malformed counts connections closed because of a protocol error.
	Malformed atomic.Uint64
	// Silent counts links closed because nothing arrived on them.
	Silent atomic.Uint64
	// Rejected counts messages that Send did not accept.
	Rejected atomic.Uint64
	// Unsent counts accepted messages that were returned to OnDown because no
	// byte of them was written.
	Unsent atomic.Uint64
}

// StreamStats holds the counters of one kind of stream.
type StreamStats struct {
	Out FrameStats
	In  FrameStats
}

// FrameStats holds the counters of one direction of one kind of stream. Bytes
// includes the length prefixes, but not the overhead of yamux and TCP.
type FrameStats struct {
	Frames   atomic.Uint64
	Messages atomic.Uint64
	Bytes    atomic.Uint64
}

func (s *FrameStats) add(messages, bytes int) {
	s.Frames.Add(1)
	s.Messages.Add(uint64(messages))
	s.Bytes.Add(uint64(bytes))
}

// streamKind is the kind of a stream. Each link has one stream of each kind in
// each direction.
type streamKind int

// The kinds of stream. The control stream carries the messages that Send is
// told to put there, and the traffic stream all others and the load reports.
// The streams of a link are opened and accepted in this order.
const (
	control streamKind = iota
	traffic
	numKinds
)

func (s *Stats) stream(k streamKind) *StreamStats {
	if k == control {
		return &s.Control
	}
	return &s.Traffic
}
