package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Target is an instance to keep a link to.
type Target struct {
	Instance ident.InstanceID
	Address  string
}

// dialer keeps a link to one target up.
type dialer struct {
	id      ident.InstanceID
	address string // guarded by Mesh.mu
	cancel  context.CancelFunc
	// moved holds a token when address has changed.
	moved chan struct{}
}

// SetTargets replaces the instances to keep links to. The instance with the
// lower id dials; the other does so only when it got no link for the dial
// grace. Links to other instances stay until they fail.
func (m *Mesh) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[ident.InstanceID]bool, len(targets))
	for _, t := range targets {
		if t.Instance == m.cfg.Self.Instance || t.Address == "" {
			continue
		}
		wanted[t.Instance] = true
		d := m.dialers[t.Instance]
		if d == nil {
			d = &dialer{id: t.Instance, address: t.Address, moved: make(chan struct{}, 1)}
			m.dialers[t.Instance] = d
			m.startDialer(d)
			continue
		}
		if d.address != t.Address {
			d.address = t.Address
			select {
			case d.moved <- struct{}{}:
			default:
			}
		}
	}
	for id, d := range m.dialers {
		if !wanted[id] {
			if d.cancel != nil {
				d.cancel()
			}
			delete(m.dialers, id)
		}
	}
}

// startDialer starts the goroutine of a dialer if Run runs. The caller holds
// the lock.
func (m *Mesh) startDialer(d *dialer) {
	if m.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	d.cancel = cancel
	m.wg.Add(1)
	go m.runDial(ctx, d)
}

// runDial keeps the link of one dialer up.
func (m *Mesh) runDial(ctx context.Context, d *dialer) {
	defer m.wg.Done()
	defer d.cancel()
	backoff := m.cfg.RedialMin
	var lost bool
	for ctx.Err() == nil {
		if l := m.linkTo(d.id); l != nil {
			up := m.cfg.Clock.Now()
			select {
			case <-ctx.Done():
				return
			case <-l.done:
			}
			lost = true
			// A link that fails early does not end the back-off, so that a
			// peer that drops each new link is not dialled in a tight loop.
			if m.cfg.Clock.Now().Sub(up) >= l.silent {
				backoff = m.cfg.RedialMin
			}
			continue
		}
		if m.cfg.Self.Instance > d.id {
			m.wait(ctx, jitter(m.cfg.DialGrace), nil)
		} else if lost {
			m.wait(ctx, jitter(backoff), d.moved)
			backoff = min(2*backoff, m.cfg.RedialMax)
		}
		lost = true
		if ctx.Err() == nil && m.linkTo(d.id) == nil {
			m.dial(ctx, d)
		}
	}
}

// dial makes one attempt.
func (m *Mesh) dial(ctx context.Context, d *dialer) {
	m.mu.RLock()
	address := d.address
	m.mu.RUnlock()
	conn, err := (&net.Dialer{Timeout: m.cfg.DialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		m.stats.DialFailures.Add(1)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = m.setHandshakeDeadline(conn)
	var peer identity
	if err == nil {
		peer, err = m.greet(conn, d.id)
	}
	stop()
	if err == nil {
		_, err = m.adopt(conn, peer, true)
	}
	if err != nil {
		m.stats.DialFailures.Add(1)
		m.report(address, err)
		_ = conn.Close()
	}
}

// jitter returns a random time from half of d to d, so that instances that
// lost a link together do not dial together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// wait waits for d, the end of ctx or a token.
func (m *Mesh) wait(ctx context.Context, d time.Duration, token <-chan struct{}) {
	passed := make(chan struct{})
	timer := m.cfg.Clock.AfterFunc(d, func() { close(passed) })
	defer timer.Stop()
	select {
	case <-passed:
	case <-token:
	case <-ctx.Done():
	}
}
