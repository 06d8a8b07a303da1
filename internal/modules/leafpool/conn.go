package leafpool

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
)

// exchange is one attempt.
type exchange struct {
	module   *Module
	req      *forward.LeafRequest
	began    time.Time
	done     func(forward.AttemptResult)
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
		x.done(forward.AttemptResult{Reply: reply, Err: err, Sent: sent, Refused: x.refused, Latency: x.module.now().Sub(x.began)})
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
		_ = c.net.Close() // Its reader reports the end.
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
		_ = c.net.Close() // Its reader reports the end.
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
	if reply.IdleTimeout > 0 {
		c.goodUntil = m.now().Add(reply.IdleTimeout - idleMargin)
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
