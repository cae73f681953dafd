package platform

import (
	"net"
	"sync"
	"time"
)

// silentConn is a connection that can go silent: what arrives is dropped, what
// is sent is dropped, and neither end learns about it, as when a device between
// the two has lost track of the connection.
type silentConn struct {
	net.Conn
	// release gives the connection's place in the listener back.
	release func()
	closed  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	silent bool
	// control is true for a connection that carries switches.
	control bool
}

func (c *silentConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = !c.control
}

func (c *silentConn) setControl() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = true
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read reads until the connection goes silent and then blocks until Close.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	for err == nil {
		_, err = c.Conn.Read(p)
	}
	// The other end is gone, so its place is free for a new connection.
	c.release()
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes, or drops what is written to a silent connection.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline has no effect on a silent connection. The HTTP server uses a
// deadline to end its pending read, which would end the silence.
func (c *silentConn) SetReadDeadline(t time.Time) error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and frees its place in the listener.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.release()
	})
	return c.Conn.Close()
}

// limitListener accepts a bounded number of open connections. Further ones wait
// in the kernel's queue.
type limitListener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	open map[*silentConn]bool
}

func newLimitListener(l net.Listener, connections int) *limitListener {
	return &limitListener{
		Listener: l,
		places:   make(chan struct{}, connections),
		closed:   make(chan struct{}),
		open:     map[*silentConn]bool{},
	}
}

// Accept waits for a free place and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	inner, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	c := &silentConn{Conn: inner, closed: make(chan struct{})}
	var once sync.Once
	c.release = func() {
		once.Do(func() {
			l.mu.Lock()
			delete(l.open, c)
			l.mu.Unlock()
			<-l.places
		})
	}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	return c, nil
}

// Close stops accepting.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// silenceAll makes all open connections silent.
func (l *limitListener) silenceAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silence()
	}
}

// count returns the number of open connections.
func (l *limitListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
