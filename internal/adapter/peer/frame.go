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
	// prefixLength is the size in bytes of the big-endian length prefix of a
	// frame.
	prefixLength = 4
	// readChunk is the number of bytes read at a time. It bounds the memory
	// that is allocated for an announced length before the bytes arrive.
	readChunk = 64 << 10
	// maxRetainedBuffer is the largest buffer, in bytes, that a stream keeps
	// between frames.
	maxRetainedBuffer = 64 << 10
	// messagesField and loadField are the field numbers in Batch.
	messagesField = 1
	loadField     = 2
)

// readFrame reads one frame of at most limit bytes into buf, which grows as
// bytes arrive, and returns the frame without its prefix. It returns a plain
// io.EOF if the stream ends between frames, and a plain io.ErrUnexpectedEOF if
// it ends within a prefix. A frame that ends after its prefix or exceeds the
// limit gives an error of kind fault.PeerProtocol.
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
		n := min(left, readChunk)
		at := len(buf)
		if cap(buf)-at < n {
			grown := make([]byte, at, min(int(size), max(2*cap(buf), at+n)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:at+n]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return buf, fault.Wrap(err, fault.PeerProtocol, fault.RanNo).WithDetail("frame is truncated")
		}
		left -= n
	}
	return buf, nil
}

// parseBatch decodes a frame. The batch does not alias the frame, so the caller
// may reuse its memory.
func parseBatch(frame []byte) (*peerpb.Batch, error) {
	batch := &peerpb.Batch{}
	if err := proto.Unmarshal(frame, batch); err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo).WithDetail("frame is malformed")
	}
	return batch, nil
}

// frameBuilder encodes a batch message by message and records the offset at
// which each message starts.
type frameBuilder struct {
	buf    []byte
	starts []int
}

// reset starts a new frame. It releases the buffer if a large frame made it
// grow beyond maxRetainedBuffer.
func (f *frameBuilder) reset() {
	if cap(f.buf) > maxRetainedBuffer {
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

// addLoads appends load reports.
func (f *frameBuilder) addLoads(loads []*peerpb.Load) error {
	for _, l := range loads {
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

// frame sets the length prefix and returns the finished frame.
func (f *frameBuilder) frame() []byte {
	binary.BigEndian.PutUint32(f.buf, uint32(len(f.buf)-prefixLength))
	return f.buf
}

// encodedSize returns the number of bytes that a message takes up in a frame.
func encodedSize(m proto.Message) int {
	return protowire.SizeTag(messagesField) + protowire.SizeBytes(proto.Size(m))
}
