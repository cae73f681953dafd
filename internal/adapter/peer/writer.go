package peer

import (
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// maxBatchBytes bounds the total size of the messages that share a frame, in
// bytes; a larger message gets a frame of its own. When a link fails, the
// outcome of a whole frame may be unknown, so frames are kept small. Each frame
// above maxRetainedBuffer also needs a new buffer.
const maxBatchBytes = 32 << 10

// writer writes the messages of one queue to its stream.
type writer struct {
	link    *link
	kind    streamKind
	queue   *queue
	stream  *yamux.Stream
	builder frameBuilder
	// batch holds the messages of the frame in progress.
	batch []queuedMessage
	// frameOffset is the number of bytes of all earlier frames on the stream.
	frameOffset uint64
	// lastLoads holds the load reports that were last attached to a frame.
	lastLoads []*peerpb.Load
}

// run writes frames until the link closes.
func (w *writer) run() {
	defer w.link.wg.Done()
	defer w.link.shutdown()
	for {
		select {
		case <-w.link.closing:
			return
		case <-w.queue.ready:
		}
		w.batch = w.queue.take(w.batch[:0], maxBatchBytes)
		if len(w.batch) > 0 && !w.write() {
			return
		}
	}
}

// write sends the batch as one frame. If that fails, it returns false and keeps
// the batch for drainUnsent.
func (w *writer) write() bool {
	w.builder.reset()
	for _, item := range w.batch {
		if err := w.builder.addMessage(item.message); err != nil {
			w.link.mesh.reportFailure(w.link.address, err)
			return false
		}
	}
	if err := w.addLoads(); err != nil {
		w.link.mesh.reportFailure(w.link.address, err)
		return false
	}
	frame := w.builder.frame()
	// The deadline bounds the wait for the receive window of the peer. yamux
	// measures it by the system clock.
	if err := w.stream.SetWriteDeadline(time.Now().Add(w.link.mesh.cfg.WriteTimeout)); err != nil {
		return false
	}
	if _, err := w.stream.Write(frame); err != nil {
		return false
	}
	w.frameOffset += uint64(len(frame))
	w.link.mesh.stats.stream(w.kind).Out.add(len(w.batch), len(frame))
	w.link.mesh.pending.Add(-int64(len(w.batch)))
	clear(w.batch)
	w.batch = w.batch[:0]
	return true
}

// addLoads attaches the load reports to a traffic frame if they differ from
// those last attached on this link and fit into the frame.
func (w *writer) addLoads() error {
	source := w.link.mesh.Load
	if w.kind != traffic || source == nil {
		return nil
	}
	loads := source()
	if slices.EqualFunc(loads, w.lastLoads, func(a, b *peerpb.Load) bool { return a == b || proto.Equal(a, b) }) {
		return nil
	}
	size := 0
	for _, l := range loads {
		size += encodedSize(l)
	}
	if len(w.builder.buf)+size > w.link.mesh.cfg.MaxFrame {
		return nil
	}
	w.lastLoads = loads
	return w.builder.addLoads(loads)
}

// drainUnsent closes the queue and returns the accepted messages of which no
// byte was written to the connection. It must be called after the session has
// closed.
func (w *writer) drainUnsent() []*peerpb.Message {
	var messages []*peerpb.Message
	written := w.link.meteredConn.bytesWritten(w.stream.StreamID())
	for i, item := range w.batch {
		if i >= len(w.builder.starts) || w.frameOffset+uint64(w.builder.starts[i]) >= written {
			messages = append(messages, item.message)
		}
	}
	waiting := w.queue.close()
	for _, item := range waiting {
		messages = append(messages, item.message)
	}
	w.link.mesh.pending.Add(-int64(len(w.batch) + len(waiting)))
	return messages
}
