package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// transportKey identifies the transport to one process of an endpoint. A
// restarted endpoint has a new incarnation and so a new transport.
type transportKey struct {
	id          string
	address     string
	incarnation ident.Incarnation
}

func newTransportKey(instance work.Instance) transportKey {
	return transportKey{id: instance.ID, address: instance.Address, incarnation: instance.Incarnation}
}

// pool has one transport for each endpoint process, so that calls to one
// endpoint never wait for the connections of another.
type pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	transports map[transportKey]*http.Transport
}

// transport returns the transport to the instance. It has at most one
// connection for each slot and is replaced when the number of slots changes.
func (p *pool) transport(instance work.Instance) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := newTransportKey(instance)
	limit := max(instance.Slots, 1)
	t := p.transports[key]
	if t != nil && t.MaxConnsPerHost == limit {
		return t
	}
	if t != nil {
		t.CloseIdleConnections()
	}
	t = &http.Transport{
		DialContext:         p.dial,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	p.transports[key] = t
	return t
}

// remove removes the transport to the instance and reports whether there was
// one. Calls in flight keep their connections. These are closed when the calls
// end, because after CloseIdleConnections a transport keeps no idle connection
// until it is used again.
func (p *pool) remove(instance work.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := newTransportKey(instance)
	t := p.transports[key]
	if t == nil {
		return false
	}
	delete(p.transports, key)
	t.CloseIdleConnections()
	return true
}

// close removes all transports and closes their idle connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, t := range p.transports {
		delete(p.transports, key)
		t.CloseIdleConnections()
	}
}

// size returns the number of transports in use.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.transports)
}
