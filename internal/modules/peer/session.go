package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// sessionConn is the network connection of a yamux session. yamux announces the end of a session to its streams before it has
// closed them, and a read that is blocked at that time would be repeated without a pause until then. Closing the connection,
// which is the next step of yamux, therefore makes the reads of the tracked streams fail.
type sessionConn struct {
	net.Conn

	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	closed  bool
}

func newSessionConn(c net.Conn) *sessionConn {
	return &sessionConn{Conn: c, streams: map[*yamux.Stream]struct{}{}}
}

// Close implements net.Conn.
func (c *sessionConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for s := range c.streams {
		_ = s.SetReadDeadline(longPast) // It never fails.
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// track adds a stream of the session before it is read from. untrack removes it.
func (c *sessionConn) track(s *yamux.Stream) (untrack func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = s.SetReadDeadline(longPast) // It never fails.
	}
	c.streams[s] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.streams, s)
	}
}
