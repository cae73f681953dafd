// Package peer carries protobuf messages between instances over yamux
// sessions. Messages are never retransmitted. When a link fails, messages that
// it certainly did not write are returned to the caller; all others may or may
// not have been delivered.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// Mesh holds the links of one process to its peers. The function fields must
// be set before Run. They are called from several goroutines. A slow function
// delays its link, and if the peer cannot write to the link for its write
// timeout, the link is closed. For each link, OnUp returns before any other
// function is called, and OnDown is called last. OnUp is called for a later
// link to the same instance only after that OnDown has returned.
type Mesh struct {
	// OnMessage handles a received message. When a peer refuses this process
	// because it knows a higher incarnation of the same instance, OnMessage
	// gets the peer's Heartbeat with ReplacedBy, although there is no link.
	OnMessage func(from ident.Process, m *peerpb.Message)
	// OnLoad handles the load reports attached to a received frame.
	OnLoad func(from ident.Process, load []*peerpb.Load)
	// OnUp is called when a link to a process has come up. address is the host
	// and port that the process tells its peers to dial.
	OnUp func(p ident.Process, dc ident.DataCentre, address string)
	// OnDown is called when a link has closed. The unsent messages were
	// accepted by Send, but no byte of them was written to the connection. All
	// other accepted messages may have been delivered.
	OnDown func(p ident.Process, unsent []*peerpb.Message)
	// Load returns the load reports of this process, which are attached to
	// frames. They must not be modified after Load has returned them.
	Load func() []*peerpb.Load
	// OnFault is called with connection errors that should be logged: refused
	// handshakes and protocol errors. address is the dialled address or the
	// remote address of the connection, or the address that the peer
	// advertises if a message to it cannot be encoded.
	OnFault func(address string, err error)

	cfg     Config
	stats   Stats
	pending atomic.Int64
	// mu guards the maps, ctx and address. Send reads links from any goroutine.
	mu    sync.RWMutex
	links map[ident.InstanceID]*link
	// highestIncarnations holds the highest incarnation of each instance that
	// has had a link.
	highestIncarnations map[ident.InstanceID]ident.Incarnation
	dialers             map[ident.InstanceID]*dialer
	ctx                 context.Context // nil before and after Run
	address             string
	wg                  sync.WaitGroup
	// handshakes holds an element for each handshake on an accepted connection.
	// Its capacity is MaxHandshakes.
	handshakes chan struct{}
}

// maxKnownInstances bounds the instances whose highest incarnation is
// remembered. Above it, those of instances without a link are dropped.
const maxKnownInstances = 4096

// NewMesh returns a mesh that does nothing until Run. It sets the defaults of
// cfg and returns an error of kind fault.SettingsInvalid if cfg is not valid.
func NewMesh(cfg Config) (*Mesh, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Mesh{
		cfg:                 cfg,
		address:             cfg.Address,
		links:               map[ident.InstanceID]*link{},
		highestIncarnations: map[ident.InstanceID]ident.Incarnation{},
		dialers:             map[ident.InstanceID]*dialer{},
		handshakes:          make(chan struct{}, cfg.MaxHandshakes),
	}, nil
}

// Run listens and dials until ctx ends, and returns after all goroutines of
// the mesh have exited. It returns an error of kind fault.SettingsInvalid if it
// cannot listen. It must be called only once.
func (m *Mesh) Run(ctx context.Context) error {
	listener, err := m.cfg.Network.Listen(ctx, m.cfg.ListenAddress)
	if err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("listen-address")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.ctx = ctx
	if m.address == "" {
		m.address = listener.Addr().String()
	}
	for _, d := range m.dialers {
		m.startDialer(d)
	}
	m.wg.Add(2)
	m.mu.Unlock()
	go m.runAccept(ctx, listener)
	go m.runSilenceMonitor(ctx)

	<-ctx.Done()
	_ = listener.Close()
	m.mu.Lock()
	m.ctx = nil // no more goroutines are started
	for _, l := range m.links {
		l.shutdown()
	}
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// Address returns the host and port that peers are told to dial. It is empty
// until Run listens, unless Config.Address is set.
func (m *Mesh) Address() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.address
}

// Stats returns the counters, which the mesh keeps updating.
func (m *Mesh) Stats() *Stats { return &m.stats }

// Pending returns the number of accepted messages that are not written yet. A
// process that shuts down should wait until it is zero.
func (m *Mesh) Pending() int { return int(m.pending.Load()) }

// ConnectedProcess returns the process at the other end of the link to an
// instance, or false if there is no link.
func (m *Mesh) ConnectedProcess(id ident.InstanceID) (ident.Process, bool) {
	if l := m.linkTo(id); l != nil {
		return l.process, true
	}
	return ident.Process{}, false
}

// Send queues a message for a process and never blocks. If it returns false,
// the message was certainly not sent: there is no link to that process, the
// queue is full, or the message exceeds the frame limit. If toControl is set,
// the message goes to the control stream, otherwise to the traffic stream. The
// message must not be modified after the call.
func (m *Mesh) Send(to ident.InstanceID, incarnation ident.Incarnation, toControl bool, message *peerpb.Message) bool {
	l := m.linkTo(to)
	size := encodedSize(message)
	if l == nil || l.process.Incarnation != incarnation || size > m.cfg.MaxFrame {
		m.stats.Rejected.Add(1)
		return false
	}
	k := traffic
	if toControl {
		k = control
	}
	m.pending.Add(1)
	if !l.writers[k].queue.push(queuedMessage{message, size}, m.cfg.MaxPendingMessages, m.cfg.MaxPendingBytes) {
		m.pending.Add(-1)
		m.stats.Rejected.Add(1)
		return false
	}
	return true
}

// CloseLink closes the link to a process that the caller considers silent. If
// the instance is a target, the mesh then dials it again.
func (m *Mesh) CloseLink(p ident.Process) {
	if l := m.linkTo(p.Instance); l != nil && l.process == p {
		l.shutdown()
	}
}

func (m *Mesh) linkTo(id ident.InstanceID) *link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.links[id]
}

// newerIncarnation returns the highest known incarnation of an instance if it
// is above that of p, else zero.
func (m *Mesh) newerIncarnation(p ident.Process) ident.Incarnation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if known := m.highestIncarnations[p.Instance]; known > p.Incarnation {
		return known
	}
	return 0
}

// addLink creates and registers the link for a connection whose handshake has
// succeeded. It first closes an older link to the instance and waits until
// OnDown has returned for it.
func (m *Mesh) addLink(conn net.Conn, peer identity, dialled bool) (*link, error) {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	l, err := newLink(m, conn, peer, dialled)
	if err != nil {
		return nil, err
	}
	for {
		old, err := m.registerLink(l)
		if err != nil {
			l.closeAndWait()
			return nil, err
		}
		if old == nil {
			break
		}
		old.shutdown()
		<-old.done
	}
	m.stats.Connections.Add(1)
	if m.OnUp != nil {
		m.OnUp(peer.process, peer.dataCentre, peer.address)
	}
	go l.run()
	return l, nil
}

// registerLink registers l unless the mesh still has an older link to the
// instance; then it returns the older link.
func (m *Mesh) registerLink(l *link) (old *link, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := l.process.Instance
	switch {
	case m.ctx == nil:
		return nil, fault.New(fault.Draining, fault.RanNo).WithDetail("the mesh is closed")
	case m.highestIncarnations[id] > l.process.Incarnation:
		return nil, refusal("a higher incarnation is known")
	case m.links[id] != nil:
		return m.links[id], nil
	}
	if len(m.highestIncarnations) >= maxKnownInstances {
		m.pruneIncarnations()
	}
	m.highestIncarnations[id] = l.process.Incarnation
	m.links[id] = l
	m.stats.Links.Add(1)
	m.wg.Add(1)
	return nil, nil
}

// pruneIncarnations drops the highest incarnations of instances without a link.
func (m *Mesh) pruneIncarnations() {
	for id := range m.highestIncarnations {
		if m.links[id] == nil {
			delete(m.highestIncarnations, id)
		}
	}
}

func (m *Mesh) unregisterLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, l.process.Instance)
	m.stats.Links.Add(-1)
}

func (m *Mesh) deliver(from ident.Process, message *peerpb.Message) {
	if m.OnMessage != nil {
		m.OnMessage(from, message)
	}
}

// runAccept accepts connections until ctx ends. Connections above
// MaxHandshakes are closed at once.
func (m *Mesh) runAccept(ctx context.Context, listener net.Listener) {
	defer m.wg.Done()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			// The process is most likely out of file descriptors; accepting
			// again at once would spin.
			m.wait(ctx, m.cfg.RedialMin, nil)
			continue
		}
		select {
		case m.handshakes <- struct{}{}:
			m.wg.Add(1)
			go m.runHandshake(ctx, conn)
		default:
			m.stats.Refused.Add(1)
			_ = conn.Close()
		}
	}
}

// runHandshake performs the handshake on an accepted connection and brings up
// the link.
func (m *Mesh) runHandshake(ctx context.Context, conn net.Conn) {
	defer m.wg.Done()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err := m.setHandshakeDeadline(conn)
	var peer identity
	if err == nil {
		peer, err = m.acceptHandshake(conn)
	}
	<-m.handshakes
	stop()
	if err == nil {
		_, err = m.addLink(conn, peer, false)
	}
	if err != nil {
		m.reportFailure(conn.RemoteAddr().String(), err)
		_ = conn.Close()
	}
}

// runSilenceMonitor closes links on which nothing arrives.
func (m *Mesh) runSilenceMonitor(ctx context.Context) {
	defer m.wg.Done()
	period := m.cfg.LocalInterval / 2
	ticker := m.cfg.Clock.NewTicker(period)
	defer ticker.Stop()
	lastTick := m.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
		now := m.cfg.Clock.Now()
		// After a pause of this process, the links get time to read the data
		// that arrived during the pause.
		paused := now.Sub(lastTick) > m.cfg.LocalInterval
		lastTick = now
		m.closeSilentLinks(now, paused)
	}
}

// closeSilentLinks closes the links that have been silent for too long. After a
// pause of the process it treats all links as if data had just arrived instead.
func (m *Mesh) closeSilentLinks(now time.Time, paused bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		if paused {
			l.meteredConn.lastRead.Store(int64(now.Sub(l.meteredConn.start)))
			continue
		}
		if l.meteredConn.silence(now) > l.silenceLimit {
			l.countSilentOnce.Do(func() { m.stats.Silent.Add(1) })
			l.shutdown()
		}
	}
}

// reportFailure counts a failed connection and passes the error to OnFault.
// Errors that only mean a disconnect are ignored.
func (m *Mesh) reportFailure(address string, err error) {
	switch {
	case fault.KindOf(err) == fault.PeerRefused:
		m.stats.Refused.Add(1)
	case isDisconnect(err):
		return
	default:
		m.stats.Malformed.Add(1)
	}
	if m.OnFault != nil {
		m.OnFault(address, err)
	}
}

// reportLinkFailure reports the failure of a link unless the link was already
// being closed.
func (m *Mesh) reportLinkFailure(l *link, err error) {
	select {
	case <-l.closing:
	default:
		m.reportFailure(l.meteredConn.RemoteAddr().String(), err)
	}
}
