// Package peer carries protobuf messages between instances over yamux
// sessions. Messages are never retransmitted: what a failed link may have
// delivered is lost, and what it certainly did not write is handed back.
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

// Mesh holds the links of one process to its peers. The function fields are
// set before Run. They are called from several goroutines, and a slow one
// slows the link that calls it; a link whose peer cannot write for the write
// timeout is closed. For one link, OnUp returns before any other call, and
// OnDown is called last, also before OnUp for a later link to the instance.
type Mesh struct {
	// OnMessage takes a message. A process that was refused as replaced gets
	// the refusing peer's Heartbeat with ReplacedBy, without a link.
	OnMessage func(from ident.Process, m *peerpb.Message)
	// OnLoad takes the load that was attached to a frame.
	OnLoad func(from ident.Process, load []*peerpb.Load)
	// OnUp takes a new link.
	OnUp func(p ident.Process, dc ident.DataCentre, address string)
	// OnDown takes the end of a link. Of the unsent messages, which Send had
	// accepted, no byte was written to a connection. All other messages may
	// have been delivered.
	OnDown func(from ident.Process, unsent []*peerpb.Message)
	// Load returns the load of this process. The caller of the mesh does not
	// change what it returned.
	Load func() []*peerpb.Load
	// OnFault takes failures of connections for the log: refusals and breaches
	// of the protocol.
	OnFault func(address string, err error)

	cfg     Config
	stats   Stats
	pending atomic.Int64
	// links has the link to each instance. Send reads it from any goroutine.
	mu       sync.RWMutex
	links    map[ident.InstanceID]*link
	highest  map[ident.InstanceID]ident.Incarnation
	dialers  map[ident.InstanceID]*dialer
	ctx      context.Context // nil unless Run runs
	address  string
	wg       sync.WaitGroup
	greeting chan struct{}
}

// maxHighest bounds the instances whose highest incarnation is remembered.
const maxHighest = 4096

// NewMesh returns a mesh that does nothing until Run. It fails when cfg with
// its defaults is not valid.
func NewMesh(cfg Config) (*Mesh, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Mesh{
		cfg:      cfg,
		address:  cfg.Address,
		links:    map[ident.InstanceID]*link{},
		highest:  map[ident.InstanceID]ident.Incarnation{},
		dialers:  map[ident.InstanceID]*dialer{},
		greeting: make(chan struct{}, cfg.MaxHandshakes),
	}, nil
}

// Run listens and dials until ctx ends, and returns after all goroutines of
// the mesh have ended. It fails when it cannot listen. It is called once.
func (m *Mesh) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", m.cfg.ListenAddress)
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
	go m.runSilence(ctx)

	<-ctx.Done()
	_ = listener.Close()
	m.mu.Lock()
	m.ctx = nil // no goroutine starts any more
	for _, l := range m.links {
		l.shutdown()
	}
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// Address returns the address that peers are told to dial. It is empty before
// Run listens, unless the settings give one.
func (m *Mesh) Address() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.address
}

// Stats returns the counters.
func (m *Mesh) Stats() *Stats { return &m.stats }

// Pending returns how many accepted messages are not written yet. A process
// that leaves waits until it is zero.
func (m *Mesh) Pending() int { return int(m.pending.Load()) }

// Connected returns the process to which a link to the instance leads.
func (m *Mesh) Connected(id ident.InstanceID) (ident.Process, bool) {
	if l := m.linkTo(id); l != nil {
		return l.process, true
	}
	return ident.Process{}, false
}

// Send queues a message for a process and never blocks. When it returns false,
// the message was certainly not sent: there is no link to that process, the
// queue is full, or the message exceeds the frame limit. The caller does not
// change the message afterwards.
func (m *Mesh) Send(to ident.InstanceID, incarnation ident.Incarnation, urgent bool, message *peerpb.Message) bool {
	l := m.linkTo(to)
	size := encodedSize(message)
	if l == nil || l.process.Incarnation != incarnation || size > m.cfg.MaxFrame {
		m.stats.Rejected.Add(1)
		return false
	}
	k := traffic
	if urgent {
		k = control
	}
	m.pending.Add(1)
	if !l.writers[k].queue.push(queued{message, size}, m.cfg.MaxPendingMessages, m.cfg.MaxPendingBytes) {
		m.pending.Add(-1)
		m.stats.Rejected.Add(1)
		return false
	}
	return true
}

// Retire closes the link to a process, which its owner takes for silent. A new
// one is dialled.
func (m *Mesh) Retire(p ident.Process) {
	if l := m.linkTo(p.Instance); l != nil && l.process == p {
		l.shutdown()
	}
}

func (m *Mesh) linkTo(id ident.InstanceID) *link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.links[id]
}

// newer returns the highest known incarnation of an instance if it is above
// that of p, else zero.
func (m *Mesh) newer(p ident.Process) ident.Incarnation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if known := m.highest[p.Instance]; known > p.Incarnation {
		return known
	}
	return 0
}

// adopt turns a connection after its handshake into the link to its process.
// An older link to the instance ends first.
func (m *Mesh) adopt(conn net.Conn, peer identity, dialled bool) (*link, error) {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fault.Wrap(err, fault.PeerProtocol, fault.RanNo)
	}
	l, err := newLink(m, conn, peer, dialled)
	if err != nil {
		return nil, err
	}
	for {
		old, err := m.insert(l)
		if err != nil {
			l.end()
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

// insert registers l unless an older link to the instance is still there,
// which it returns.
func (m *Mesh) insert(l *link) (old *link, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := l.process.Instance
	switch {
	case m.ctx == nil:
		return nil, fault.New(fault.Draining, fault.RanNo).WithDetail("the mesh is closed")
	case m.highest[id] > l.process.Incarnation:
		return nil, refused("a higher incarnation is known")
	case m.links[id] != nil:
		return m.links[id], nil
	}
	if len(m.highest) >= maxHighest {
		m.forgetHighest()
	}
	m.highest[id] = l.process.Incarnation
	m.links[id] = l
	m.stats.Links.Add(1)
	m.wg.Add(1)
	return nil, nil
}

// forgetHighest drops the incarnations of instances without a link.
func (m *Mesh) forgetHighest() {
	for id := range m.highest {
		if m.links[id] == nil {
			delete(m.highest, id)
		}
	}
}

func (m *Mesh) remove(l *link) {
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

// runAccept accepts connections.
func (m *Mesh) runAccept(ctx context.Context, listener net.Listener) {
	defer m.wg.Done()
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			// Out of file descriptors, most likely; accepting again at once
			// would spin.
			m.wait(ctx, m.cfg.RedialMin, nil)
			continue
		}
		select {
		case m.greeting <- struct{}{}:
			m.wg.Add(1)
			go m.runWelcome(ctx, conn)
		default:
			m.stats.Refused.Add(1)
			_ = conn.Close()
		}
	}
}

// runWelcome performs the handshake on an accepted connection.
func (m *Mesh) runWelcome(ctx context.Context, conn net.Conn) {
	defer m.wg.Done()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err := m.setHandshakeDeadline(conn)
	var peer identity
	if err == nil {
		peer, err = m.welcome(conn)
	}
	<-m.greeting
	stop()
	if err == nil {
		_, err = m.adopt(conn, peer, false)
	}
	if err != nil {
		m.report(conn.RemoteAddr().String(), err)
		_ = conn.Close()
	}
}

// runSilence retires links on which nothing arrives.
func (m *Mesh) runSilence(ctx context.Context) {
	defer m.wg.Done()
	period := m.cfg.Near / 2
	ticker := m.cfg.Clock.NewTicker(period)
	defer ticker.Stop()
	last := m.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
		now := m.cfg.Clock.Now()
		// After a pause of this process the links get time to deliver what
		// arrived meanwhile.
		paused := now.Sub(last) > m.cfg.Near
		last = now
		m.retireSilent(now, paused)
	}
}

func (m *Mesh) retireSilent(now time.Time, paused bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		if paused {
			l.meter.arrived.Store(int64(now.Sub(l.meter.start)))
			continue
		}
		if l.meter.silence(now) > l.silent {
			l.silence.Do(func() { m.stats.Silent.Add(1) })
			l.shutdown()
		}
	}
}

// report counts a failed connection and passes it on for the log.
func (m *Mesh) report(address string, err error) {
	switch {
	case fault.KindOf(err) == fault.PeerRefused:
		m.stats.Refused.Add(1)
	case ended(err):
		return
	default:
		m.stats.Malformed.Add(1)
	}
	if m.OnFault != nil {
		m.OnFault(address, err)
	}
}

// reportLink is report for a link, unless it was being closed anyway.
func (m *Mesh) reportLink(l *link, err error) {
	select {
	case <-l.closing:
	default:
		m.report(l.meter.RemoteAddr().String(), err)
	}
}
