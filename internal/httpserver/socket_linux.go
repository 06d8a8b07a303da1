package httpserver

import (
	"net"

	"golang.org/x/sys/unix"
)

// unreadBytes returns how many received bytes of a connection have not been read, or 0 if that is not known.
func unreadBytes(c net.Conn) int { return queuedBytes(c, unix.SIOCINQ) }

// unsentBytes returns how many bytes the other side of a connection has not acknowledged, or 0 if that is not known.
func unsentBytes(c net.Conn) int { return queuedBytes(c, unix.SIOCOUTQ) }

func queuedBytes(c net.Conn, request uint) (n int) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0 // The connection has been closed.
	}
	_ = raw.Control(func(fd uintptr) { // It fails if the connection has been closed.
		if n, err = unix.IoctlGetInt(int(fd), request); err != nil {
			n = 0
		}
	})
	return n
}
