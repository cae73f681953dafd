package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// link is an established connection to a peer process, with a yamux session of
// one outgoing and one incoming stream of each kind.
type link struct {
	identity
	mesh        *Mesh
	meteredConn *meteredConn
	session     *yamux.Session
	writers     [numKinds]*writer
	// silenceLimit is the time without incoming data after which the link is
	// closed.
	silenceLimit time.Duration
	wg           sync.WaitGroup
	shutdownOnce sync.Once
	// countSilentOnce makes Stats.Silent count the link only once.
	countSilentOnce sync.Once
	// closing is closed by shutdown.
	closing chan struct{}
	// done is closed after OnDown has returned.
	done chan struct{}
}

// newLink starts a yamux session on a connection after the handshake and opens
// the outgoing streams.
func newLink(m *Mesh, conn net.Conn, peer identity, dialled bool) (*link, error) {
	interval := m.cfg.interval(peer.dataCentre)
	l := &link{
		identity:     peer,
		mesh:         m,
		meteredConn:  newMeteredConn(conn, m.cfg.Clock, m.cfg.WriteTimeout),
		silenceLimit: time.Duration(m.cfg.MaxSilentIntervals) * interval,
		closing:      make(chan struct{}),
		done:         make(chan struct{}),
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.AcceptBacklog = int(numKinds)
	cfg.ConnectionWriteTimeout = m.cfg.WriteTimeout
	cfg.StreamOpenTimeout = m.cfg.WriteTimeout
	// Heartbeats normally keep a link from becoming silent. The keep-alives of
	// yamux do this while a process sends no heartbeats.
	cfg.KeepAliveInterval = 2 * interval
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	session, err := start(l.meteredConn, cfg)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	l.session = session
	for k := range numKinds {
		stream, err := session.OpenStream()
		if err != nil {
			l.closeAndWait()
			return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
		}
		l.writers[k] = &writer{link: l, kind: k, queue: newQueue(), stream: stream}
	}
	return l, nil
}

// shutdown starts to close the link: it closes the connection, which makes the
// link's goroutines exit, and returns without waiting for them.
func (l *link) shutdown() {
	l.shutdownOnce.Do(func() {
		close(l.closing)
		// yamux can wait for a write on a connection whose peer no longer
		// answers; closing the connection first ends that write.
		_ = l.meteredConn.Close()
	})
}

// closeAndWait closes the connection and the yamux session, and waits for the
// session's goroutines that read and write.
func (l *link) closeAndWait() {
	l.shutdown()
	_ = l.session.Close()
}

// run serves the link until it closes and then reports the unsent messages to
// OnDown.
func (l *link) run() {
	defer l.mesh.wg.Done()
	defer close(l.done)
	l.wg.Add(int(numKinds))
	for _, w := range l.writers {
		go w.run()
	}
	var in [numKinds]*yamux.Stream
	err := l.acceptStreams(in[:])
	if err == nil {
		l.wg.Add(1)
		go l.runReader(in[traffic])
		err = l.readFrames(in[control], control)
	}
	l.mesh.reportLinkFailure(l, err)
	l.closeAndWait()
	l.wg.Wait()
	l.mesh.unregisterLink(l)
	var unsent []*peerpb.Message
	for _, w := range l.writers {
		unsent = append(unsent, w.drainUnsent()...)
	}
	l.mesh.stats.Unsent.Add(uint64(len(unsent)))
	if l.mesh.OnDown != nil {
		l.mesh.OnDown(l.process, unsent)
	}
}

// acceptStreams waits for the peer's streams, which arrive in the order of
// their kinds. After HandshakeTimeout it closes the link.
func (l *link) acceptStreams(in []*yamux.Stream) error {
	timer := l.mesh.cfg.Clock.AfterFunc(l.mesh.cfg.HandshakeTimeout, l.shutdown)
	defer timer.Stop()
	for k := range in {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
		}
		in[k] = stream
	}
	return nil
}

// runReader delivers the frames of the traffic stream until it fails, and then
// closes the link.
func (l *link) runReader(stream *yamux.Stream) {
	defer l.wg.Done()
	defer l.shutdown()
	l.mesh.reportLinkFailure(l, l.readFrames(stream, traffic))
}

// readFrames delivers the messages and loads of one stream until it fails, and
// returns the error.
func (l *link) readFrames(stream *yamux.Stream, k streamKind) error {
	r := bufio.NewReader(stream)
	var buf []byte
	for {
		frame, err := readFrame(r, buf, l.mesh.cfg.MaxFrame)
		if err != nil {
			return err
		}
		batch, err := parseBatch(frame)
		if err != nil {
			return err
		}
		l.mesh.stats.stream(k).In.add(len(batch.GetMessages()), prefixLength+len(frame))
		for _, message := range batch.GetMessages() {
			l.mesh.deliver(l.process, message)
		}
		if len(batch.GetLoad()) > 0 && l.mesh.OnLoad != nil {
			l.mesh.OnLoad(l.process, batch.GetLoad())
		}
		buf = frame
		if cap(buf) > maxRetainedBuffer {
			buf = nil
			stream.Shrink()
		}
	}
}

// isDisconnect reports whether err only means that a connection was closed or
// lost, and not that the peer broke the protocol. It is true for nil.
func isDisconnect(err error) bool {
	var netErr net.Error
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.As(err, &netErr)
}
