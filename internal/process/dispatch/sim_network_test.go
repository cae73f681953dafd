package dispatch

import (
	"context"
	"net"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// simNetwork connects the instances of a test in memory. A cut between two
// instances holds back what they have sent, and lets no connection open, until
// it ends.
type simNetwork struct {
	mu        sync.Mutex
	listeners map[string]*simListener
	cuts      map[[2]ident.InstanceID]int
	// resets counts the times at which the connections of a pair were reset, and
	// resetAt holds the last one.
	resets  map[[2]ident.InstanceID]int
	resetAt map[[2]ident.InstanceID]time.Time
}

// simLatency is the one-way delay between two instances.
const simLatency = 2 * time.Millisecond

func newSimNetwork() *simNetwork {
	return &simNetwork{listeners: map[string]*simListener{}, cuts: map[[2]ident.InstanceID]int{}, resets: map[[2]ident.InstanceID]int{}, resetAt: map[[2]ident.InstanceID]time.Time{}}
}

func pair(a, b ident.InstanceID) [2]ident.InstanceID {
	if a > b {
		a, b = b, a
	}
	return [2]ident.InstanceID{a, b}
}

// cut cuts two instances off from each other, and heal ends one such cut.
func (n *simNetwork) cut(a, b ident.InstanceID) { n.addCuts(a, b, 1) }

func (n *simNetwork) heal(a, b ident.InstanceID) { n.addCuts(a, b, -1) }

// healAll ends all cuts, so that no goroutine waits for the end of one.
func (n *simNetwork) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

func (n *simNetwork) addCuts(a, b ident.InstanceID, d int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair(a, b)] += d
}

// reset ends the connections between two instances. What is on its way is lost.
func (n *simNetwork) reset(a, b ident.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resets[pair(a, b)]++
	n.resetAt[pair(a, b)] = time.Now()
}

func (n *simNetwork) lastReset(a, b ident.InstanceID) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resetAt[pair(a, b)]
}

func (n *simNetwork) resetCount(a, b ident.InstanceID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resets[pair(a, b)]
}

func (n *simNetwork) isCut(a, b ident.InstanceID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)] > 0
}

// waitUncut waits until no cut lies between two instances, or until done.
func (n *simNetwork) waitUncut(a, b ident.InstanceID, done <-chan struct{}) bool {
	for n.isCut(a, b) {
		select {
		case <-done:
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
	return true
}

// listen listens at an address, which is the id of the instance.
func (n *simNetwork) listen(_ context.Context, address string) (net.Listener, error) {
	l := &simListener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l, nil
}

// dial returns a function that opens connections from an instance.
func (n *simNetwork) dial(from ident.InstanceID) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := ident.InstanceID(address)
		if !n.waitUncut(from, to, ctx.Done()) {
			return nil, ctx.Err()
		}
		time.Sleep(2 * simLatency)
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, net.ErrClosed
		}
		near, nearEnd := net.Pipe()
		farEnd, far := net.Pipe()
		go n.forward(from, to, nearEnd, farEnd)
		go n.forward(to, from, farEnd, nearEnd)
		select {
		case l.conns <- far:
			return near, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		_ = near.Close()
		_ = far.Close()
		return nil, net.ErrClosed
	}
}

// chunk is data on its way, which arrives at the earliest at a time.
type chunk struct {
	data []byte
	at   time.Time
}

// forward carries data in one direction. When either end closes, it closes
// both.
func (n *simNetwork) forward(from, to ident.InstanceID, in, out net.Conn) {
	queue := make(chan chunk, 1024)
	done := make(chan struct{})
	resets := n.resetCount(from, to)
	go func() {
		defer close(done)
		defer func() { _ = in.Close() }()
		defer func() { _ = out.Close() }()
		for c := range queue {
			time.Sleep(time.Until(c.at))
			for n.isCut(from, to) {
				time.Sleep(5 * time.Millisecond)
			}
			if n.resetCount(from, to) != resets {
				return
			}
			if _, err := out.Write(c.data); err != nil {
				return
			}
		}
	}()
	defer close(queue)
	buf := make([]byte, 64<<10)
	for {
		k, err := in.Read(buf)
		if err != nil {
			return
		}
		select {
		case queue <- chunk{data: append([]byte(nil), buf[:k]...), at: time.Now().Add(simLatency)}:
		case <-done:
			return
		}
	}
}

// simListener accepts connections to one instance.
type simListener struct {
	network   *simNetwork
	address   string
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

func (l *simListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
