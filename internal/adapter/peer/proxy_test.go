package peer_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
)

// proxy stands between a dialling mesh and a listening one. Connections that
// it freezes stay open and carry nothing more, while new ones work.
type proxy struct {
	net.Listener
	target string
	wg     sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	frozen chan struct{} // closed for the connections accepted before freeze
	thawed chan struct{}
	once   sync.Once
	// recorded has all bytes read from dialling sides.
	recorded []byte
	// drained counts the frozen connections read to their end.
	drained int
}

func newProxy(t testing.TB, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: listener, target: target, frozen: make(chan struct{}), thawed: make(chan struct{})}
	p.wg.Add(1)
	go p.run()
	t.Cleanup(func() {
		_ = listener.Close()
		p.freeze()
		p.thaw()
		p.mu.Lock()
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		p.wg.Wait()
	})
	return p
}

// targetOf returns n as a target behind the proxy.
func (p *proxy) targetOf(n *node) []peer.Target {
	return []peer.Target{{Instance: n.self.Instance, Address: p.Addr().String()}}
}

// freeze stops the connections that exist.
func (p *proxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.frozen)
	p.frozen = make(chan struct{})
}

// thaw reads, records and drops what frozen connections still carry.
func (p *proxy) thaw() { p.once.Do(func() { close(p.thawed) }) }

func (p *proxy) run() {
	defer p.wg.Done()
	for {
		from, err := p.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, from, to)
		p.wg.Add(2)
		go p.runPump(from, to, p.frozen, true)
		go p.runPump(to, from, p.frozen, false)
		p.mu.Unlock()
	}
}

func (p *proxy) runPump(from, to net.Conn, frozen chan struct{}, record bool) {
	defer p.wg.Done()
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if record {
			p.mu.Lock()
			p.recorded = append(p.recorded, buf[:n]...)
			if _, thawed := to.(nopCloser); thawed && err != nil {
				p.drained++
			}
			p.mu.Unlock()
		}
		select {
		case <-frozen:
			<-p.thawed
			to = nopCloser{}
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

// nopCloser takes the place of a connection that gets nothing more.
type nopCloser struct{ net.Conn }

func (nopCloser) Write(p []byte) (int, error) { return io.Discard.Write(p) }
func (nopCloser) Close() error                { return nil }
