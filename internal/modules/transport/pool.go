package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// closeTimeout limits the wait for a target to close its end of a connection. Until then the connection counts against
// the connection limit of the target, which could refuse a new one in its place. A target that does not react for this
// long is slow or frozen.
const closeTimeout = time.Second

// closeGrace is how long a connection still counts against the share after the target has closed its end, since a target
// may count the connection a little longer.
const closeGrace = 20 * time.Millisecond

// pool holds the connections to one incarnation of a target. It never opens more than the share allows,
// and keeps a few spare ones ready, because opening a connection takes 1 to 6 ms.
type pool struct {
	addr        string
	dialTimeout time.Duration
	client      *http.Transport
	ctx         context.Context
	cancel      context.CancelFunc

	mu sync.Mutex
	// open counts connections that are dialed, in use, idle or not yet closed by the target.
	open            int
	share           int
	warmConnections int
	spares          []*spare
	// changed is closed and replaced when a connection may have become available: a spare one was opened, one was closed,
	// or the share was changed.
	changed chan struct{}
	dialer  net.Dialer
}

func newPool(m *Module, addr string, share int) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{addr: addr, dialTimeout: m.dialTimeout, share: share, changed: make(chan struct{}), ctx: ctx, cancel: cancel, dialer: net.Dialer{LocalAddr: m.source}}
	p.client = newHTTPTransport(p, m.idleTimeout)
	return p
}

// setShare applies a new share. If more connections are open than it allows, idle ones are closed immediately and
// others as soon as their attempts end.
func (p *pool) setShare(share, warmConnections int) {
	p.mu.Lock()
	surplus := p.open > share
	p.share, p.warmConnections = share, warmConnections
	p.signal()
	p.mu.Unlock()
	if surplus {
		p.closeIdle()
	}
	p.openSpares()
}

// closeSurplus closes idle connections if more are open than the share allows.
func (p *pool) closeSurplus() {
	p.mu.Lock()
	surplus := p.open > p.share
	p.mu.Unlock()
	if surplus {
		p.closeIdle()
	}
}

func (p *pool) withinShare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open <= p.share
}

func (p *pool) closeIdle() {
	p.client.CloseIdleConnections()
	p.mu.Lock()
	spares := p.spares
	p.spares = nil
	p.mu.Unlock()
	for _, s := range spares {
		_ = s.conn.Close() // The connection is idle, so a failed close loses no reply.
	}
}

func (p *pool) close() {
	p.cancel()
	p.closeIdle()
}

// openSpares opens spare connections until p.warmConnections are open, or as many as the share allows.
func (p *pool) openSpares() {
	p.mu.Lock()
	missing := min(p.warmConnections, p.share) - p.open
	if missing > 0 && p.ctx.Err() == nil {
		p.open += missing
	}
	p.mu.Unlock()
	for range max(missing, 0) {
		go p.openSpare()
	}
}

func (p *pool) openSpare() {
	c, err := p.connect(p.ctx)
	if err != nil {
		return // The failed connection no longer counts as open, and the next attempt dials one.
	}
	p.mu.Lock()
	keep := p.ctx.Err() == nil && p.open <= p.share
	if keep {
		s := &spare{conn: c, readDone: make(chan struct{})}
		p.spares = append(p.spares, s)
		go p.watchSpare(s)
		p.signal()
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close() // The connection is idle, so a failed close loses no reply.
	}
}

// dial implements http.Transport.DialContext. It returns a spare connection, or opens one if the share
// allows it, or waits until either is possible.
func (p *pool) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	for {
		p.mu.Lock()
		if n := len(p.spares); n > 0 {
			s := p.spares[n-1]
			p.spares = p.spares[:n-1]
			p.mu.Unlock()
			if s.acquire() {
				return s.conn, nil
			}
			continue
		}
		if p.open < p.share {
			p.open++
			p.mu.Unlock()
			return p.connect(ctx)
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errs.Wrap(ctx.Err(), errs.KindOverload, "allow more time or lower the load", "no connection to %s became free within the share", p.addr)
		}
	}
}

// connect dials a connection that is already counted in open.
func (p *pool) connect(ctx context.Context) (*countedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return &countedConn{Conn: c, pool: p}, nil
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.signal()
}

// signal wakes the attempts that wait for a connection. The caller holds p.mu.
func (p *pool) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// countedConn is a connection that counts against the share and counts the bytes written to it.
type countedConn struct {
	net.Conn
	pool *pool
	// refused is set if the target closed the connection before it was used. No spare connection is opened to replace
	// it, because a target at its connection limit would refuse each replacement as well.
	refused atomic.Bool
	written atomic.Int64
	closed  atomic.Bool
	check   replyCheck
}

// Read fails on bytes that do not begin a reply, which net/http could take for one.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if err := c.check.observe(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write counts the bytes before it writes them, because bytes of a failed write may have been sent.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Close closes the connection. Once the target has closed its end, the connection no longer counts against the share, and
// the pool opens a spare one to replace it.
func (c *countedConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.SetDeadline(time.Now().Add(closeTimeout))
	if t, ok := c.Conn.(*net.TCPConn); ok && err == nil {
		err = t.CloseWrite()
	}
	if err != nil { // The connection is broken, so the target's close cannot be waited for.
		err = c.Conn.Close()
		time.AfterFunc(closeGrace, c.countClosed)
		return err
	}
	go func() {
		// Bytes that still arrive belong to no attempt. The copy ends when the target closes its end, or at the deadline.
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close() // The target has closed its end, or has not done so before the deadline.
		time.AfterFunc(closeGrace, c.countClosed)
	}()
	return nil
}

func (c *countedConn) countClosed() {
	c.pool.release()
	if c.pool.ctx.Err() == nil && !c.refused.Load() {
		c.pool.openSpares()
	}
}
