package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// process names one process of an endpoint.
type process struct {
	id          string
	address     string
	incarnation ident.Incarnation
}

func processOf(in work.Instance) process {
	return process{id: in.ID, address: in.Address, incarnation: in.Incarnation}
}

// pool holds one transport per endpoint process, so that connections to one
// endpoint never hold up another.
type pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	transports map[process]*http.Transport
}

// transport returns the transport towards the instance.
func (p *pool) transport(in work.Instance) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := processOf(in)
	limit := max(in.Slots, 1)
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

// drop takes the transport out of use. Calls in progress keep their
// connections, which are closed when they end, because the transport keeps no
// connection after CloseIdleConnections until it is used again.
func (p *pool) drop(in work.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := processOf(in)
	t := p.transports[key]
	if t == nil {
		return false
	}
	delete(p.transports, key)
	t.CloseIdleConnections()
	return true
}

// close drops all transports.
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
