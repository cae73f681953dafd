package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Target is an instance that the mesh keeps a link to, with its host and port.
type Target struct {
	Instance ident.InstanceID
	Address  string
}

// dialer maintains the link to one target.
type dialer struct {
	id      ident.InstanceID
	address string // guarded by Mesh.mu
	cancel  context.CancelFunc
	// addressChanged receives an element when address changes, which ends the
	// wait before the next dial.
	addressChanged chan struct{}
}

// SetTargets replaces the instances that the mesh keeps links to. The instance
// with the lower id dials. The other dials only if no link comes up within
// Config.DialGrace. Existing links to other instances stay until they fail.
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
			d = &dialer{id: t.Instance, address: t.Address, addressChanged: make(chan struct{}, 1)}
			m.dialers[t.Instance] = d
			m.startDialer(d)
			continue
		}
		if d.address != t.Address {
			d.address = t.Address
			select {
			case d.addressChanged <- struct{}{}:
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

// startDialer starts the goroutine of a dialer. Before Run it does nothing,
// because Run starts all dialers, and neither does it once Run ends. The caller
// holds the lock.
func (m *Mesh) startDialer(d *dialer) {
	if m.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	d.cancel = cancel
	m.wg.Add(1)
	go m.runDialer(ctx, d)
}

// runDialer dials the target of d whenever there is no link to it, until ctx
// ends.
func (m *Mesh) runDialer(ctx context.Context, d *dialer) {
	defer m.wg.Done()
	defer d.cancel()
	backoff := m.cfg.RedialMin
	var redial bool
	for ctx.Err() == nil {
		if l := m.linkTo(d.id); l != nil {
			linkedAt := m.cfg.Clock.Now()
			select {
			case <-ctx.Done():
				return
			case <-l.done:
			}
			redial = true
			// A link that fails early does not reset the back-off, so that a
			// peer that drops each new link is not dialled in a tight loop.
			if m.cfg.Clock.Now().Sub(linkedAt) >= l.silenceLimit {
				backoff = m.cfg.RedialMin
			}
			continue
		}
		if m.cfg.Self.Instance > d.id {
			m.wait(ctx, jitter(m.cfg.DialGrace), nil)
		} else if redial {
			m.wait(ctx, jitter(backoff), d.addressChanged)
			backoff = min(2*backoff, m.cfg.RedialMax)
		}
		redial = true
		if ctx.Err() == nil && m.linkTo(d.id) == nil {
			m.dial(ctx, d)
		}
	}
}

// dial makes one attempt to connect and to bring up the link.
func (m *Mesh) dial(ctx context.Context, d *dialer) {
	m.mu.RLock()
	address := d.address
	m.mu.RUnlock()
	dialCtx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	conn, err := m.cfg.Network.Dial(dialCtx, address)
	cancel()
	if err != nil {
		m.stats.DialFailures.Add(1)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = m.setHandshakeDeadline(conn)
	var peer identity
	if err == nil {
		peer, err = m.dialHandshake(conn, d.id)
	}
	stop()
	if err == nil {
		_, err = m.addLink(conn, peer, true)
	}
	if err != nil {
		m.stats.DialFailures.Add(1)
		m.reportFailure(address, err)
		_ = conn.Close()
	}
}

// jitter returns a random duration from half of d to d, so that instances that
// lose their links at the same time do not all redial at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// wait returns after d, when ctx ends or when wake receives an element.
func (m *Mesh) wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	expired := make(chan struct{})
	timer := m.cfg.Clock.AfterFunc(d, func() { close(expired) })
	defer timer.Stop()
	select {
	case <-expired:
	case <-wake:
	case <-ctx.Done():
	}
}
