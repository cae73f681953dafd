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

// link is one connection to a peer process.
type link struct {
	identity
	mesh    *Mesh
	meter   *meter
	session *yamux.Session
	writers [kinds]*writer
	// silent is the silence after which the link is retired.
	silent  time.Duration
	wg      sync.WaitGroup
	once    sync.Once
	silence sync.Once
	closing chan struct{}
	// done is closed after OnDown has returned.
	done chan struct{}
}

// newLink starts a session on a connection after the handshake and opens the
// outgoing streams.
func newLink(m *Mesh, conn net.Conn, peer identity, dialled bool) (*link, error) {
	interval := m.cfg.interval(peer.dataCentre)
	l := &link{
		identity: peer,
		mesh:     m,
		meter:    newMeter(conn, m.cfg.Clock, m.cfg.WriteTimeout),
		silent:   time.Duration(m.cfg.SilentAfter) * interval,
		closing:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.AcceptBacklog = int(kinds)
	cfg.ConnectionWriteTimeout = m.cfg.WriteTimeout
	cfg.StreamOpenTimeout = m.cfg.WriteTimeout
	// Heartbeats normally keep a link from being silent. The keep-alive does
	// so while a process sends none.
	cfg.KeepAliveInterval = 2 * interval
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	session, err := start(l.meter, cfg)
	if err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	l.session = session
	for k := range kinds {
		stream, err := session.OpenStream()
		if err != nil {
			l.end()
			return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
		}
		l.writers[k] = &writer{link: l, kind: k, queue: newQueue(), stream: stream}
	}
	return l, nil
}

// shutdown begins the end of the link and does not wait.
func (l *link) shutdown() {
	l.once.Do(func() {
		close(l.closing)
		// yamux could wait for a write on a dead connection; closing the
		// connection first ends that write.
		_ = l.meter.Close()
	})
}

// end closes the session and waits for its goroutines that read and write.
func (l *link) end() {
	l.shutdown()
	_ = l.session.Close()
}

// run carries the link until it closes.
func (l *link) run() {
	defer l.mesh.wg.Done()
	defer close(l.done)
	l.wg.Add(int(kinds))
	for _, w := range l.writers {
		go w.run()
	}
	var in [kinds]*yamux.Stream
	err := l.accept(in[:])
	if err == nil {
		l.wg.Add(1)
		go l.runReader(in[traffic])
		err = l.read(in[control], control)
	}
	l.mesh.reportLink(l, err)
	l.end()
	l.wg.Wait()
	l.mesh.remove(l)
	var unsent []*peerpb.Message
	for _, w := range l.writers {
		unsent = append(unsent, w.unsent()...)
	}
	l.mesh.stats.Unsent.Add(uint64(len(unsent)))
	if l.mesh.OnDown != nil {
		l.mesh.OnDown(l.process, unsent)
	}
}

// accept waits for the peer's streams, which arrive in the order of kinds.
func (l *link) accept(in []*yamux.Stream) error {
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

// runReader reads the traffic stream.
func (l *link) runReader(stream *yamux.Stream) {
	defer l.wg.Done()
	defer l.shutdown()
	l.mesh.reportLink(l, l.read(stream, traffic))
}

// read delivers the frames of one stream until it fails.
func (l *link) read(stream *yamux.Stream, k kind) error {
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
		if cap(buf) > keepBuffer {
			buf = nil
			stream.Shrink()
		}
	}
}

// ended reports whether err only says that a connection ended.
func ended(err error) bool {
	var netErr net.Error
	return err == nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrStreamClosed) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.As(err, &netErr)
}
