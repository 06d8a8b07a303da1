package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener resets connections beyond the limit and delays the first bytes of those that it accepts.
type limitListener struct {
	net.Listener
	limit       int
	connectTime time.Duration
	recorder    *recorder
	gate        *gate
	networkPath func(ip string) (time.Duration, bool)
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &limitedConn{Conn: c, readyAt: time.Now().Add(l.connectTime), closed: make(chan struct{}), recorder: l.recorder, gate: l.gate, reachable: l.reachable(c)}, nil
		}
		resetConn(c)
	}
}

// reachable returns a function that reports whether the peer of a connection can be reached, which is always true without a
// networkPath.
func (l *limitListener) reachable(c net.Conn) func() bool {
	if l.networkPath == nil {
		return func() bool { return true }
	}
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return func() bool { _, ok := l.networkPath(ip); return ok }
}

func (l *limitListener) admit() bool {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	c := &l.recorder.counts
	if c.Connections >= l.limit {
		c.RefusedConnections++
		return false
	}
	c.Connections++
	c.AcceptedTotal++
	c.HighestConnections = max(c.HighestConnections, c.Connections)
	return true
}

// resetConn closes a connection with a TCP reset, so that the caller sees the refusal immediately.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Without it, Close sends a FIN instead of a reset.
	}
	_ = c.Close() // The connection is discarded in any case.
}

// limitedConn is a connection that counts against the limit. It delays its first bytes by the simulated time to set up
// a connection, and all bytes while the target is frozen.
type limitedConn struct {
	net.Conn
	readyAt   time.Time
	setUpOnce sync.Once
	closeOnce sync.Once
	closed    chan struct{}
	recorder  *recorder
	gate      *gate
	reachable func() bool
}

// Read implements net.Conn. Bytes from a peer that cannot be reached are dropped. The close of the connection is still
// seen; otherwise a connection that was closed during a partition would count against the limit forever.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.setUpOnce.Do(func() { waitUntil(c.readyAt, c.closed) })
	for {
		n, err := c.Conn.Read(b)
		c.waitWhileFrozen()
		if err != nil || c.reachable() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.waitWhileFrozen()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	// The count is decremented before the peer can see the close, since the peer may open the next connection
	// immediately.
	c.closeOnce.Do(func() {
		close(c.closed)
		c.recorder.update(func(n *Counts) { n.Connections-- })
	})
	return c.Conn.Close()
}

// waitWhileFrozen blocks until the target is not frozen or the connection is closed.
func (c *limitedConn) waitWhileFrozen() {
	select {
	case <-c.gate.opened():
	case <-c.closed:
	}
}

// waitUntil blocks until a time or until done is closed.
func waitUntil(at time.Time, done <-chan struct{}) {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
