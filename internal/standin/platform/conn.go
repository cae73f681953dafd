package platform

import (
	"net"
	"sync"
	"time"
)

// silentConn is a connection that can go silent: data is dropped in both
// directions and neither end gets an error, as when a firewall or NAT gateway
// between them has lost the state of the connection.
type silentConn struct {
	net.Conn
	// release frees the connection's slot in the listener's semaphore.
	release func()
	closed  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	silent bool
	// control is true for a connection that has carried a switch request. Such
	// a connection does not go silent.
	control bool
}

// silence makes the connection silent, unless it has carried a switch request.
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

// Read reads from the connection. Once the connection is silent, Read blocks
// until Close and returns net.ErrClosed.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	for err == nil {
		_, err = c.Conn.Read(p)
	}
	// The other end has closed the connection, so a new one may take its place.
	c.release()
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. On a silent connection it drops the data and
// reports success.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline has no effect on a silent connection. The HTTP server sets a
// deadline to interrupt its pending read. Read would take the resulting error
// for the end of the connection and free the connection's slot too early.
func (c *silentConn) SetReadDeadline(t time.Time) error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and frees its slot in the listener's semaphore.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.release()
	})
	return c.Conn.Close()
}

// limitListener limits the number of open connections. Further connections wait
// in the kernel's accept queue.
type limitListener struct {
	net.Listener
	semaphore chan struct{}
	closed    chan struct{}
	once      sync.Once

	mu   sync.Mutex
	open map[*silentConn]bool
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{
		Listener:  l,
		semaphore: make(chan struct{}, limit),
		closed:    make(chan struct{}),
		open:      map[*silentConn]bool{},
	}
}

// Accept waits until the number of open connections is below the limit, and
// then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	c := &silentConn{Conn: conn, closed: make(chan struct{})}
	var once sync.Once
	c.release = func() {
		once.Do(func() {
			l.mu.Lock()
			delete(l.open, c)
			l.mu.Unlock()
			<-l.semaphore
		})
	}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	return c, nil
}

// Close closes the listener and ends a waiting Accept. Accepted connections
// stay open.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// silenceAll makes all open connections silent, except those that have carried
// a switch request.
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
