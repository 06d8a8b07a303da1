package leafpool

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// surplusIdle is how long a connection is kept to a leaf that stood in for another one. Requests that come together use it
// again; kept for longer, such connections make leaves reset those of VMs that come back after a power loss.
const surplusIdle = 300 * time.Millisecond

// pool holds the connections to one leaf. The lock of the module guards its fields.
type pool struct {
	module *Module
	leaf   *leaves.Member
	// open counts all connections, those that are being opened included. The idle one that was used last is at the
	// end of idle.
	open    int
	idle    []*conn
	retired bool
	// preconnecting counts the connections that are opened in advance. Requests do not wait for them.
	preconnecting int
	// unreachableUntil is when the next connection may be opened in advance after one could not be, or was not of use.
	unreachableUntil time.Time
}

// take returns an idle connection that the leaf will keep open for some time yet, or nil.
func (p *pool) take(now time.Time) *conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.goodUntil.IsZero() || now.Before(c.goodUntil) {
			return c
		}
		// The reader of the connection takes it out of the count once it is closed.
		go c.net.Close()
	}
	return nil
}

// retire takes out the idle connections, and lets the others close once they are idle.
func (p *pool) retire() []*conn {
	idle := p.idle
	p.idle, p.retired = nil, true
	return idle
}

// put makes a connection idle, and reports false when it has to be closed instead.
func (p *pool) put(c *conn) bool {
	limit := p.module.limit(p.leaf)
	p.module.mu.Lock()
	defer p.module.mu.Unlock()
	if p.retired || p.open > limit {
		return false
	}
	p.idle = append(p.idle, c)
	if p.surplus() {
		if end := p.module.now().Add(surplusIdle); c.goodUntil.IsZero() || end.Before(c.goodUntil) {
			c.goodUntil = end
		}
		time.AfterFunc(surplusIdle, func() { p.expire(c) })
	}
	return true
}

// surplus reports whether the leaf is not preferred while there are connections to one that is. The lock is held.
func (p *pool) surplus() bool {
	m := p.module
	index := m.control.View().Leaves
	if m.Prefers(p.leaf) || index == nil {
		return false
	}
	for _, l := range index.Services[p.leaf.Service] {
		if x := m.pools[l.Key()]; x != nil && x.open > 0 && m.Prefers(l) {
			return true
		}
	}
	return false
}

// expire closes a connection that has been idle for long.
func (p *pool) expire(c *conn) {
	m := p.module
	m.mu.Lock()
	i := slices.Index(p.idle, c)
	expired := i >= 0 && !m.now().Before(c.goodUntil)
	if expired {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	m.mu.Unlock()
	if expired {
		_ = c.net.Close() // Its reader takes it out of the count.
	}
}

// closed takes a connection, or one that could not be opened, out of the count.
func (p *pool) closed(c *conn) {
	p.module.mu.Lock()
	defer p.module.mu.Unlock()
	p.open--
	if c == nil || !c.wasUsed() {
		p.unreachableUntil = p.module.now().Add(preconnectRetry)
		p.module.refused = true
	}
	if p.open == 0 && !p.retired {
		p.module.wantConnections()
	}
	for i, x := range p.idle {
		if x == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// exchange is one attempt.
type exchange struct {
	module   *Module
	req      *forward.LeafRequest
	began    time.Time
	done     func(forward.AttemptEnd)
	stopDial func()
	refused  bool

	mu        sync.Mutex
	conn      *conn
	cancelled bool
	finished  bool
}

// finish reports the end of the attempt once.
func (x *exchange) finish(reply *forward.LeafReply, err error, sent bool) {
	x.mu.Lock()
	again := x.finished
	x.finished = true
	x.mu.Unlock()
	if !again {
		x.done(forward.AttemptEnd{Reply: reply, Err: err, Sent: sent, Refused: x.refused, Latency: x.module.now().Sub(x.began)})
	}
}

// cancel ends the attempt by closing its connection, which is how leaves learn of it.
func (x *exchange) cancel() {
	x.mu.Lock()
	x.cancelled = true
	c := x.conn
	if x.finished {
		c = nil
	}
	x.mu.Unlock()
	if c != nil {
		_ = c.net.Close()
	} else if x.stopDial != nil {
		x.stopDial()
	}
}

// conn is one connection to a leaf. A goroutine reads from it all the time, so that a close, and bytes that belong to
// no request, are seen at once.
type conn struct {
	pool   *pool
	net    net.Conn
	reader *bufio.Reader
	// goodUntil is when the leaf may close the idle connection. It is zero when the leaf does not say.
	goodUntil time.Time
	// writing is held while a request is written that fits the socket buffer. The reply to it can be read before the
	// write has returned.
	writing sync.Mutex

	mu      sync.Mutex
	current *exchange
	// written says that the whole request is written.
	written bool
	// ended says that the reader takes no more replies.
	ended bool
	// used says that a reply has come over the connection.
	used bool
}

// readBufferBytes fits the replies of most leaves.
const readBufferBytes = 4096

func newConn(p *pool, n net.Conn) *conn {
	return &conn{pool: p, net: n, reader: bufio.NewReaderSize(n, readBufferBytes)}
}

// begin writes the request of an attempt.
func (c *conn) begin(x *exchange) {
	m := c.pool.module
	x.mu.Lock()
	cancelled := x.cancelled
	x.conn = c
	x.mu.Unlock()
	if cancelled {
		x.finish(nil, errs.New(errs.KindUnavailable, "none is needed", "the attempt was cancelled before it was sent"), false)
		_ = c.net.Close()
		return
	}
	x.req.TimeLeft = x.req.Until.Sub(m.now())
	data := m.protocol.AppendRequest(nil, x.req)
	c.mu.Lock()
	ended := c.ended
	if !ended {
		c.current, c.written = x, false
	}
	c.mu.Unlock()
	if ended {
		x.finish(nil, errs.New(errs.KindUnavailable, "send the request to another leaf", "leaf %s closed the connection before the request was sent", c.pool.leaf.ID), false)
		return
	}
	if err := c.net.SetDeadline(x.req.Until.Add(replyGrace)); err != nil {
		c.broken(err) // The connection was closed meanwhile.
		return
	}
	if len(data) > inlineBytes {
		go c.write(data)
		return
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.write(data)
}

func (c *conn) write(data []byte) {
	if _, err := c.net.Write(data); err != nil {
		// The reader sees the end as well, but a reply may have come before it.
		_ = c.net.Close()
		return
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// read takes the replies until the connection ends.
func (c *conn) read() {
	m := c.pool.module
	defer c.pool.closed(c)
	defer c.net.Close()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.broken(err)
			return
		}
		x := c.exchange()
		if x == nil {
			c.broken(nil)
			m.metrics.unexpected.Inc(1)
			_ = level.Warn(m.logger).Log("msg", "connection closed because bytes arrived that belong to no request", "leaf", c.pool.leaf.ID, "bytes", c.reader.Buffered())
			return
		}
		reply, reusable, err := m.protocol.ReadReply(c.reader, x.req)
		if err != nil {
			c.broken(err)
			return
		}
		released := c.release(reply, reusable)
		x.finish(reply, nil, true)
		if !released {
			return
		}
	}
}

func (c *conn) wasUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

func (c *conn) exchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// release makes the connection idle after a whole reply, and reports false when it has to be closed.
func (c *conn) release(reply *forward.LeafReply, reusable bool) bool {
	m := c.pool.module
	c.writing.Lock()
	c.mu.Lock()
	c.writing.Unlock()
	x := c.current
	// A reply that came before the request was written whole leaves a connection on which the rest would be due.
	reusable = reusable && c.written && c.reader.Buffered() == 0
	c.current, c.ended, c.used = nil, !reusable, true
	c.mu.Unlock()
	if !reusable {
		return false
	}
	x.mu.Lock()
	x.conn = nil // A late cancel must not close the connection under another attempt.
	cancelled := x.cancelled
	x.mu.Unlock()
	if cancelled || c.net.SetDeadline(time.Time{}) != nil {
		return false
	}
	if reply.IdleLimit > 0 {
		c.goodUntil = m.now().Add(reply.IdleLimit - idleMargin)
	}
	return c.pool.put(c)
}

// broken ends the attempt that waits for a reply on a connection that has ended.
func (c *conn) broken(err error) {
	c.mu.Lock()
	x := c.current
	c.current, c.ended = nil, true
	fresh := !c.used
	c.mu.Unlock()
	if x == nil {
		return
	}
	m := c.pool.module
	m.metrics.broken.Inc(1)
	// A leaf resets connections beyond those that it accepts, possibly after the first request was sent.
	x.mu.Lock()
	x.refused = fresh && !x.cancelled
	x.mu.Unlock()
	x.finish(nil, errs.Wrap(err, errs.KindUnknownOutcome, "send the request again only if it is repeatable", "no whole reply of leaf %s", c.pool.leaf.ID), true)
}
