package peer

import "sync/atomic"

// Stats counts since the start of the process. The fields are read with Load.
type Stats struct {
	Control StreamStats
	Traffic StreamStats
	// Links counts the links that are up now.
	Links atomic.Int64
	// Connections counts the links that came up.
	Connections atomic.Uint64
	// DialFailures counts dials that gave no link.
	DialFailures atomic.Uint64
	// Refused counts connections with a wrong token or identity.
	Refused atomic.Uint64
	// Malformed counts connections lost to a frame that breaks the protocol.
	Malformed atomic.Uint64
	// Silent counts links retired because nothing arrived.
	Silent atomic.Uint64
	// Rejected counts messages that Send did not accept.
	Rejected atomic.Uint64
	// Unsent counts accepted messages of which no byte was written.
	Unsent atomic.Uint64
}

// StreamStats counts one kind of stream.
type StreamStats struct {
	Out FrameStats
	In  FrameStats
}

// FrameStats counts one direction of one kind of stream. Bytes include the
// length prefixes and leave out what yamux and TCP add.
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

// kind tells the streams of a link apart.
type kind int

// Streams are opened and accepted in this order.
const (
	control kind = iota
	traffic
	kinds
)

func (s *Stats) stream(k kind) *StreamStats {
	if k == control {
		return &s.Control
	}
	return &s.Traffic
}
