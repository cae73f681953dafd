// Package httpcall makes HTTP/1.1 calls to one address over a small number of
// persistent connections. The goroutine that makes a call also writes to and
// reads from the connection, which takes less processor time and memory than
// http.Transport with its two goroutines for each connection.
package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

const (
	// A connection that was idle for maxIdle or longer is closed instead of
	// being reused.
	maxIdle = 60 * time.Second
	// A connection that was idle for maxUncheckedIdle or longer is checked
	// before it is reused, because its peer may have closed it.
	maxUncheckedIdle = 300 * time.Millisecond
	// maxReply is the largest body of a reply, in bytes.
	maxReply = 8 << 20
	// maxAnnounced is the largest announced length of a body, in bytes, that is
	// allocated at once. The buffer of a longer one grows as bytes arrive, since
	// a server that announces them may not send them.
	maxAnnounced = 64 << 10
	// bufferSize is the size of the read and write buffers, in bytes.
	bufferSize = 2 << 10
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the host and port to call.
	Address string
	// MaxConnections is the largest number of open connections. A call that
	// finds all of them in use waits.
	MaxConnections int
	// DialTimeout is the longest time to open a connection.
	DialTimeout time.Duration
	Clock       clock.Clock
}

// Call is a request.
type Call struct {
	Method string
	Path   string
	Query  string
	// Header holds additional headers. The client may change it.
	Header http.Header
	// Body is empty if the request has no body.
	Body []byte
	// MaxSilence, if above zero, bounds the time in which nothing of the reply
	// arrives. A long reply may then take longer.
	MaxSilence time.Duration
}

// Reply is the response to a call.
type Reply struct {
	Status int
	Body   []byte
}

// Client makes calls to one address. It is safe for concurrent use.
type Client struct {
	cfg    Config
	dialer net.Dialer
	// slots holds an element for each call in progress. Further calls block
	// while it is full.
	slots chan struct{}

	mu   sync.Mutex
	idle []idleConn
}

// idleConn is an idle connection, with the time of its last call in since.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// New returns a client. It opens connections when calls need them.
func New(cfg Config) *Client {
	return &Client{
		cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}, slots: make(chan struct{}, cfg.MaxConnections),
	}
}

// Do makes a call that takes at most timeout, including the wait for a
// connection. The error is a *fault.Error of kind fault.EndpointUnreachable,
// also if the address is not that of an endpoint; the caller then replaces the
// kind. Its Ran is fault.RanNo if nothing was sent, and fault.RanUnknown
// otherwise.
func (c *Client) Do(ctx context.Context, timeout time.Duration, call Call) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return Reply{}, fault.Wrap(ctx.Err(), fault.EndpointUnreachable, fault.RanNo)
	}
	conn, err := c.connection(ctx)
	if err != nil {
		return Reply{}, fault.Wrap(err, fault.EndpointUnreachable, fault.RanNo)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	reply, reusable, err := c.exchange(ctx, conn, call)
	if !stop() || err != nil || !reusable {
		_ = conn.Close()
	} else {
		c.putIdle(conn)
	}
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Reply{}, fault.Wrap(err, fault.EndpointUnreachable, fault.RanUnknown)
	}
	return reply, nil
}

// pastDeadline is a deadline that makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, ic := range idle {
		_ = ic.conn.Close()
	}
}

// connection returns the idle connection that was used most recently, or a new
// one if none can be reused.
func (c *Client) connection(ctx context.Context) (net.Conn, error) {
	for {
		ic, ok := c.takeIdle()
		if !ok {
			return c.dialer.DialContext(ctx, "tcp", c.cfg.Address)
		}
		idle := c.cfg.Clock.Now().Sub(ic.since)
		if idle < maxUncheckedIdle || (idle < maxIdle && alive(ic.conn)) {
			return ic.conn, nil
		}
		_ = ic.conn.Close()
	}
}

// takeIdle removes and returns the idle connection that was used most recently.
func (c *Client) takeIdle() (idleConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return idleConn{}, false
	}
	ic := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return ic, true
}

// putIdle stores a connection for reuse.
func (c *Client) putIdle(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, idleConn{conn: conn, since: c.cfg.Clock.Now()})
}

// Pools share the buffers between connections, since most connections are idle
// most of the time.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// replyReader reads a reply from a connection. It fails if nothing arrives for
// maxSilence.
type replyReader struct {
	net.Conn
	ctx        context.Context
	clock      clock.Clock
	maxSilence time.Duration
}

// Read extends the deadline, unless the call has ended.
func (r *replyReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	if err := r.SetReadDeadline(r.clock.Now().Add(r.maxSilence)); err != nil {
		return 0, err
	}
	return r.Conn.Read(p)
}

// exchange sends a call and reads its reply. It reports whether the connection
// can be reused for another call.
func (c *Client) exchange(ctx context.Context, conn net.Conn, call Call) (reply Reply, reusable bool, err error) {
	req := request(c.cfg.Address, call)
	w := writers.Get().(*bufio.Writer)
	w.Reset(conn)
	err = req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if err != nil {
		return Reply{}, false, err
	}
	r := readers.Get().(*bufio.Reader)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	r.Reset(conn)
	if call.MaxSilence > 0 {
		r.Reset(&replyReader{Conn: conn, ctx: ctx, clock: c.cfg.Clock, maxSilence: call.MaxSilence})
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return Reply{}, false, err
	}
	body, err := readAll(resp)
	if err != nil {
		return Reply{}, false, err
	}
	if call.MaxSilence > 0 {
		err = conn.SetReadDeadline(time.Time{})
	}
	return Reply{Status: resp.StatusCode, Body: body}, err == nil && !resp.Close && r.Buffered() == 0, nil
}

// request converts a call to an http.Request.
func request(host string, call Call) *http.Request {
	req := &http.Request{
		Method: call.Method, URL: &url.URL{Scheme: "http", Host: host, Path: call.Path, RawQuery: call.Query},
		Header: call.Header, Host: host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	// With an empty value, net/http sends no User-Agent header.
	req.Header["User-Agent"] = noUserAgent
	if len(call.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(call.Body)), int64(len(call.Body))
	}
	return req
}

var noUserAgent = []string{""}

// readAll reads a body. It returns an error of kind fault.TooLarge if the body
// is longer than maxReply.
func readAll(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength > maxReply {
		return nil, fault.New(fault.TooLarge, fault.RanUnknown).WithDetail("the reply is too long")
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxAnnounced {
		data := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, data)
		return data, err
	}
	var data bytes.Buffer
	if resp.ContentLength > 0 {
		data.Grow(maxAnnounced)
	}
	_, err := data.ReadFrom(io.LimitReader(resp.Body, maxReply+1))
	if err == nil && data.Len() > maxReply {
		err = fault.New(fault.TooLarge, fault.RanUnknown).WithDetail("the reply is too long")
	}
	return data.Bytes(), err
}
