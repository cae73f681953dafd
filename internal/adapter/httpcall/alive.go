package httpcall

import (
	"net"
	"syscall"
)

// alive reports whether an idle connection is open and has no data to read. A
// call on a connection that the peer has closed would have an unknown outcome,
// and unexpected data would be taken for the reply to the next call.
func alive(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}
