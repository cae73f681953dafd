package peer

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

const (
	// prefixLength is the length of a frame's big-endian length prefix.
	prefixLength = 4
	// readStep bounds the memory that the announced length of a frame obtains
	// ahead of its bytes.
	readStep = 64 << 10
	// keepBuffer is the largest buffer that a stream keeps between frames.
	keepBuffer = 64 << 10
	// messagesField and loadField are the field numbers in Batch.
	messagesField = 1
	loadField     = 2
)

// readFrame reads one frame of at most limit bytes into buf, which grows as
// bytes arrive, and returns it. Only an end between frames is a plain io.EOF.
// Failures of the protocol have kind fault.PeerProtocol.
func readFrame(r io.Reader, buf []byte, limit int) ([]byte, error) {
	var prefix [prefixLength]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return buf, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(limit) {
		return buf, fault.New(fault.PeerProtocol, fault.RanNo).WithDetail("frame exceeds the limit")
	}
	buf = buf[:0]
	for left := int(size); left > 0; {
		n := min(left, readStep)
		at := len(buf)
		if cap(buf)-at < n {
			grown := make([]byte, at, min(int(size), max(2*cap(buf), at+n)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:at+n]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return buf, fault.Wrap(err, fault.PeerProtocol, fault.RanNo).WithDetail("frame is cut off")
		}
		left -= n
	}
	return buf, nil
}

// parseBatch decodes a frame. The batch does not refer to it.
func parseBatch(frame []byte) (*peerpb.Batch, error) {
	batch := &peerpb.Batch{}
	if err := proto.Unmarshal(frame, batch); err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo).WithDetail("frame is malformed")
	}
	return batch, nil
}

// frameBuilder encodes a batch message by message and notes where each one
// begins.
type frameBuilder struct {
	buf    []byte
	starts []int
}

// reset begins a new frame. It drops a buffer that one large frame left.
func (f *frameBuilder) reset() {
	if cap(f.buf) > keepBuffer {
		f.buf = nil
	}
	f.buf = append(f.buf[:0], 0, 0, 0, 0)
	f.starts = f.starts[:0]
}

// addMessage appends a message.
func (f *frameBuilder) addMessage(m *peerpb.Message) error {
	f.starts = append(f.starts, len(f.buf))
	return f.add(messagesField, m)
}

// addLoad appends reports of load.
func (f *frameBuilder) addLoad(load []*peerpb.Load) error {
	for _, l := range load {
		if err := f.add(loadField, l); err != nil {
			return err
		}
	}
	return nil
}

func (f *frameBuilder) add(field protowire.Number, m proto.Message) error {
	f.buf = protowire.AppendTag(f.buf, field, protowire.BytesType)
	f.buf = protowire.AppendVarint(f.buf, uint64(proto.Size(m)))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(f.buf, m)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	f.buf = buf
	return nil
}

// frame returns the finished frame with its prefix.
func (f *frameBuilder) frame() []byte {
	binary.BigEndian.PutUint32(f.buf, uint32(len(f.buf)-prefixLength))
	return f.buf
}

// encodedSize returns the bytes that a message takes up in a frame.
func encodedSize(m proto.Message) int {
	return protowire.SizeTag(messagesField) + protowire.SizeBytes(proto.Size(m))
}
