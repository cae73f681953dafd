package platform

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// pipeListener accepts an unlimited number of pipes.
type pipeListener struct {
	net.Listener
	accepted int
}

func (l *pipeListener) Accept() (net.Conn, error) {
	l.accepted++
	c, _ := net.Pipe()
	return c, nil
}

// TestLimitListener guards against more open connections than the limit, and
// against closed connections that still count towards it.
func TestLimitListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := &pipeListener{}
		l := newLimitListener(inner, 2)
		conns := make(chan net.Conn, 9)
		go func() {
			for range 4 {
				c, err := l.Accept()
				is.NoErr(err)
				conns <- c
			}
		}()
		synctest.Wait()
		is.Equal(inner.accepted, 2)
		is.Equal(l.count(), 2)
		for range 2 {
			c := <-conns
			c.Close()
			c.Close() // a second Close must not raise the limit
		}
		synctest.Wait()
		is.Equal(inner.accepted, 4)
		is.Equal(l.count(), 2)
	})
}
