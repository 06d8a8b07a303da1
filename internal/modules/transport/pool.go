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

// closeLimit bounds the wait for a target to close its end of a connection. Until then the target counts it, and a new
// connection in its place could be refused. A target that answers nothing for this long is slow or frozen.
const closeLimit = time.Second

// closeGrace is how long a place stays taken after the target has closed its end, since a target may count the
// connection a little longer.
const closeGrace = 20 * time.Millisecond

// pool holds the connections to one incarnation of a target. It never has more open than the share, and keeps
// a few spare ones ready, because a new connection costs 1 to 6 ms.
type pool struct {
	addr        string
	dialTimeout time.Duration
	client      *http.Transport
	ctx         context.Context
	cancel      context.CancelFunc

	mu sync.Mutex
	// open counts connections that are dialed, in use, idle or not yet closed by the target.
	open   int
	share  int
	warm   int
	spares []*spare
	// room is closed and replaced when a place becomes free.
	room   chan struct{}
	dialer net.Dialer
}

func newPool(m *Module, addr string, share int) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{addr: addr, dialTimeout: m.dialTimeout, share: share, room: make(chan struct{}), ctx: ctx, cancel: cancel, dialer: net.Dialer{LocalAddr: m.source}}
	p.client = newHTTPTransport(p, m.idleTimeout)
	return p
}

// setShare applies a new share. When it has shrunk, idle connections are closed at once and others as soon as
// their attempts end.
func (p *pool) setShare(share, warm int) {
	p.mu.Lock()
	surplus := p.open > share
	p.share, p.warm = share, warm
	p.signal()
	p.mu.Unlock()
	if surplus {
		p.closeIdle()
	}
	p.warmUp()
}

// shrink closes idle connections while more are open than the share allows.
func (p *pool) shrink() {
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
	for _, x := range spares {
		_ = x.conn.Close() // It is idle, so nothing is lost.
	}
}

func (p *pool) close() {
	p.cancel()
	p.closeIdle()
}

// warmUp opens spare connections until as many are open as the goal and the share allow.
func (p *pool) warmUp() {
	p.mu.Lock()
	missing := min(p.warm, p.share) - p.open
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
		return // The place is free again, and the next attempt dials itself.
	}
	p.mu.Lock()
	keep := p.ctx.Err() == nil && p.open <= p.share
	if keep {
		x := &spare{conn: c, read: make(chan struct{})}
		p.spares = append(p.spares, x)
		go p.watch(x)
		p.signal()
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close() // It is idle, so nothing is lost.
	}
}

// dial implements http.Transport.DialContext. It takes a spare connection, or opens one when the share has
// room, or waits for room.
func (p *pool) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	for {
		p.mu.Lock()
		if n := len(p.spares); n > 0 {
			x := p.spares[n-1]
			p.spares = p.spares[:n-1]
			p.mu.Unlock()
			if x.take() {
				return x.conn, nil
			}
			continue
		}
		if p.open < p.share {
			p.open++
			p.mu.Unlock()
			return p.connect(ctx)
		}
		room := p.room
		p.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return nil, errs.Wrap(ctx.Err(), errs.KindOverload, "allow more time or lower the load", "no connection to %s became free within the share", p.addr)
		}
	}
}

// connect dials for a place that is already counted in open.
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

// signal wakes those that wait for room. The caller holds the lock.
func (p *pool) signal() {
	close(p.room)
	p.room = make(chan struct{})
}

// countedConn is a connection that counts against the share, and counts the bytes handed to it for sending.
type countedConn struct {
	net.Conn
	pool *pool
	// refused says that the target closed the connection before it was used. No spare is opened in its stead, because
	// a target at its connection limit would refuse that too, again and again.
	refused atomic.Bool
	written atomic.Int64
	closed  atomic.Bool
}

// Write counts before it writes, so that a failed write still counts as bytes that may have left.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Close ends the connection and frees its place once the target has closed its end. The pool then opens a spare one in
// its stead.
func (c *countedConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.SetDeadline(time.Now().Add(closeLimit))
	if t, ok := c.Conn.(*net.TCPConn); ok && err == nil {
		err = t.CloseWrite()
	}
	if err != nil { // The connection is broken already, so there is no end to wait for.
		err = c.Conn.Close()
		time.AfterFunc(closeGrace, c.free)
		return err
	}
	go func() {
		// Bytes that still arrive belong to no attempt. The copy ends with the connection or at the limit.
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close() // The other side has closed it, or sends too much.
		time.AfterFunc(closeGrace, c.free)
	}()
	return nil
}

func (c *countedConn) free() {
	c.pool.release()
	if c.pool.ctx.Err() == nil && !c.refused.Load() {
		c.pool.warmUp()
	}
}
