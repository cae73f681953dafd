package peer_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
)

// proxy forwards connections from a dialling mesh to a listening one. Stalled
// connections stay open but forward nothing more, while new ones work.
type proxy struct {
	net.Listener
	target string
	wg     sync.WaitGroup

	mu        sync.Mutex
	conns     []net.Conn
	stalled   chan struct{} // closed by stall, for the connections accepted before
	draining  chan struct{}
	drainOnce sync.Once
	// refusing makes the proxy close new connections at once.
	refusing bool
	// recorded holds all bytes read from dialling sides.
	recorded []byte
	// drained counts the stalled connections that were read to their end.
	drained int
}

func newProxy(t testing.TB, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: listener, target: target, stalled: make(chan struct{}), draining: make(chan struct{})}
	p.wg.Add(1)
	go p.run()
	t.Cleanup(func() {
		_ = listener.Close()
		p.stall()
		p.drain()
		p.mu.Lock()
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		p.wg.Wait()
	})
	return p
}

// targets returns remote as the only target, at the address of the proxy.
func (p *proxy) targets(remote *testPeer) []peer.Target {
	return []peer.Target{{Instance: remote.self.Instance, Address: p.Addr().String()}}
}

// refuse sets whether the proxy refuses new connections.
func (p *proxy) refuse(refusing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refusing
}

// stall stops forwarding on all connections that exist now.
func (p *proxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

// drain makes the proxy read, record and discard the remaining data of stalled
// connections.
func (p *proxy) drain() { p.drainOnce.Do(func() { close(p.draining) }) }

func (p *proxy) run() {
	defer p.wg.Done()
	for {
		from, err := p.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refusing := p.refusing
		p.mu.Unlock()
		if refusing {
			_ = from.Close()
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, from, to)
		p.wg.Add(2)
		go p.runCopy(from, to, p.stalled, true)
		go p.runCopy(to, from, p.stalled, false)
		p.mu.Unlock()
	}
}

// runCopy forwards the data of one direction, and records it if record is set.
func (p *proxy) runCopy(from, to net.Conn, stalled chan struct{}, record bool) {
	defer p.wg.Done()
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if record {
			p.mu.Lock()
			p.recorded = append(p.recorded, buf[:n]...)
			if _, draining := to.(discardConn); draining && err != nil {
				p.drained++
			}
			p.mu.Unlock()
		}
		select {
		case <-stalled:
			<-p.draining
			to = discardConn{}
		default:
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// discardConn replaces the destination of a stalled connection and discards the
// data.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error) { return io.Discard.Write(p) }
func (discardConn) Close() error                { return nil }
