package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener refuses connections beyond the limit and delays the first bytes of those that it accepts.
type limitListener struct {
	net.Listener
	limit       int
	connectTime time.Duration
	ledger      *ledger
	gate        *gate
	distance    func(ip string) (time.Duration, bool)
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &limitedConn{Conn: c, ready: time.Now().Add(l.connectTime), closed: make(chan struct{}), ledger: l.ledger, gate: l.gate, reachable: l.reachable(c)}, nil
		}
		reset(c)
	}
}

// reachable returns a function that says whether the other end of a connection can be reached.
func (l *limitListener) reachable(c net.Conn) func() bool {
	if l.distance == nil {
		return func() bool { return true }
	}
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return func() bool { _, ok := l.distance(ip); return ok }
}

func (l *limitListener) admit() bool {
	l.ledger.mu.Lock()
	defer l.ledger.mu.Unlock()
	c := &l.ledger.counts
	if c.Connections >= l.limit {
		c.RefusedConnections++
		return false
	}
	c.Connections++
	c.AcceptedTotal++
	c.HighestConnections = max(c.HighestConnections, c.Connections)
	return true
}

// reset closes a connection with a reset, so that the caller sees the refusal at once.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Without it the close is a usual one.
	}
	_ = c.Close() // It is of no further use.
}

// limitedConn is a counted connection. It holds back its first bytes for the time that setting up a connection
// takes, and all bytes while the target is frozen.
type limitedConn struct {
	net.Conn
	ready  time.Time
	setUp  sync.Once
	close  sync.Once
	closed chan struct{}
	ledger *ledger
	gate   *gate
	// reachable says whether the other end can be reached.
	reachable func() bool
}

// Read implements net.Conn. Bytes from an end that cannot be reached are lost. The end of the connection is still seen,
// else a connection that was closed during a partition would count against the limit for ever.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.setUp.Do(func() { waitUntil(c.ready, c.closed) })
	for {
		n, err := c.Conn.Read(b)
		c.pass()
		if err != nil || c.reachable() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.pass()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	// The place is free before the other end can see the close, since it may open the next connection at once.
	c.close.Do(func() {
		close(c.closed)
		c.ledger.update(func(n *Counts) { n.Connections-- })
	})
	return c.Conn.Close()
}

func (c *limitedConn) pass() {
	select {
	case <-c.gate.passage():
	case <-c.closed:
	}
}

// waitUntil waits until a time or until done is closed.
func waitUntil(at time.Time, done <-chan struct{}) {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
