package leafpool

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/readlimit"
)

// attempt is one attempt at a leaf, from Send to its result.
type attempt struct {
	module   *Module
	req      *forward.LeafRequest
	started  time.Time
	done     func(forward.AttemptResult)
	stopDial func()
	refused  bool

	mu   sync.Mutex
	conn *conn
	// begun reports whether bytes of the request may have been written. Writing does not begin once the attempt is cancelled or
	// withdrawn.
	begun                bool
	cancelled, withdrawn bool
	finished             bool
}

// finish reports the result of the attempt. Only the first call has an effect.
func (a *attempt) finish(reply *forward.LeafReply, err error, sent bool) {
	a.mu.Lock()
	reported := a.finished
	a.finished = true
	a.mu.Unlock()
	if !reported {
		a.done(forward.AttemptResult{Reply: reply, Err: err, Sent: sent, Refused: a.refused, Latency: a.module.now().Sub(a.started)})
	}
}

// Cancel implements kernel.LeafAttempt. The close of the connection also notifies the leaf.
func (a *attempt) Cancel() {
	a.mu.Lock()
	a.cancelled = true
	c := a.conn
	if a.finished {
		c = nil
	}
	a.mu.Unlock()
	if c != nil {
		_ = c.net.Close() // The reading goroutine reports the result.
	} else if a.stopDial != nil {
		a.stopDial()
	}
}

// Withdraw implements kernel.LeafAttempt. The connection that is being opened is not stopped: whether it succeeds is evidence about
// the leaf.
func (a *attempt) Withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn = a.withdrawn || !a.begun
	return a.withdrawn
}

// begin reports whether the request may be written to a connection, and records that it is.
func (a *attempt) begin(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.withdrawn {
		return false
	}
	a.conn, a.begun = c, true
	return true
}

// conn is one connection to a leaf. A goroutine always reads from it, so that a close, and bytes that belong to no
// request, are detected immediately.
type conn struct {
	pool *pool
	net  net.Conn
	// memory charges the bytes of the current reply to the memory for replies. reader reads through it.
	memory *readlimit.Reader
	reader *bufio.Reader
	// uncounted is closed once the connection has ended and is not counted any more.
	uncounted chan struct{}
	// answered reports whether any bytes have arrived. It is used on the reading goroutine.
	answered bool
	// usableUntil is the time from which the idle connection is not used again: idleMargin before the leaf may close it, or
	// surplusIdleTimeout after its last use if the leaf is not preferred. It is zero when neither applies.
	usableUntil time.Time
	// isUncounted reports whether the pool does not count the connection any more. It is guarded by the module's lock.
	isUncounted bool
	// inAdvance reports whether the connection was opened in advance and is not idle yet, so that the pool counts it among those that are
	// being opened in advance. It is guarded by the module's lock.
	inAdvance bool
	// writing is held while a request of at most maxInlineBytes is written. The reply to it can be read, and the connection can fail,
	// before the write has returned.
	writing sync.Mutex

	mu      sync.Mutex
	current *attempt
	// written reports whether the whole request has been written, and unsent whether its write has failed without a byte.
	written, unsent bool
	// writeEnded is closed once the write of a request of more than maxInlineBytes has returned. It is nil for other requests.
	writeEnded chan struct{}
	// ended reports whether no more replies are read.
	ended bool
	// used reports whether a reply has been received on the connection.
	used bool
	// lastID is the ID of the last request on the connection, and lastNotRun whether the reply to it stated that it was not run.
	lastID     string
	lastNotRun bool
}

// readBufferBytes is enough for the replies of most leaves.
const readBufferBytes = 4096

func newConn(p *pool, n net.Conn) *conn {
	memory := p.module.replyMemory.NewReader(n)
	return &conn{pool: p, net: n, memory: memory, reader: bufio.NewReaderSize(memory, readBufferBytes), uncounted: make(chan struct{})}
}

// start writes the request of an attempt. A request of more than maxInlineBytes is written on its own goroutine, so that
// start does not block.
func (c *conn) start(a *attempt) {
	m := c.pool.module
	a.req.TimeLeft = a.req.Until.Sub(m.now())
	data := m.protocol.AppendRequest(nil, a.req)
	var writeEnded chan struct{}
	if len(data) > maxInlineBytes {
		writeEnded = make(chan struct{})
	} else {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	closed := c.net.SetDeadline(a.req.Until.Add(replyGrace)) != nil
	c.mu.Lock()
	ended := c.ended || closed
	begun := !ended && a.begin(c)
	if begun {
		c.current, c.written, c.unsent, c.writeEnded, c.lastID = a, false, false, writeEnded, a.req.ID
	}
	c.mu.Unlock()
	switch {
	case ended:
		c.finishUnsent(a, errs.New(errs.KindUnavailable, "send the request to another leaf", "leaf %s closed the connection before the request was sent", c.pool.leaf.ID))
		return
	case !begun:
		c.finishUnsent(a, errs.New(errs.KindUnavailable, "no action is needed", "the attempt was cancelled before it was sent"))
		return
	}
	if writeEnded == nil {
		c.write(data)
		return
	}
	go func() {
		defer close(writeEnded)
		c.write(data)
	}()
}

// finishUnsent closes the connection and reports that an attempt was not sent on it, once the connection is not counted any more.
func (c *conn) finishUnsent(a *attempt, err error) {
	_ = c.net.Close() // It may have ended already.
	go func() {
		<-c.uncounted
		a.finish(nil, err, false)
	}()
}

// closeGracefully closes the writing side of an idle connection. The reading goroutine closes the connection once the leaf has closed its
// side, or closeTimeout has passed.
func (c *conn) closeGracefully() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.net.SetReadDeadline(time.Now().Add(closeTimeout)) != nil {
		_ = c.net.Close() // It may have ended already.
	}
}

func (c *conn) write(data []byte) {
	n, err := c.net.Write(data)
	c.mu.Lock()
	c.written, c.unsent = err == nil, err != nil && n == 0
	c.mu.Unlock()
	if err != nil {
		// The reading goroutine reports the failure, unless a reply arrived before it.
		_ = c.net.Close()
	}
}

// read reads replies until the connection ends. It reports the result of the last attempt once the connection is not counted any
// more, since the result wakes a request that waits for a connection.
func (c *conn) read() {
	reportLast := c.readReplies()
	_ = c.net.Close()
	c.memory.Release()
	c.pool.closed(c)
	close(c.uncounted)
	reportLast()
}

// readReplies reports the replies after which the connection is idle. It returns once the connection has to be closed, with the
// function that reports the result of the last attempt.
func (c *conn) readReplies() (reportLast func()) {
	m := c.pool.module
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return c.fail(err)
		}
		c.answered = true
		a := c.currentAttempt()
		if a == nil {
			reportLast = c.fail(nil)
			m.metrics.unexpected.Inc(1)
			if ok, leftOut := m.strayBytes.Allow(m.now()); ok {
				_ = level.Warn(m.logger).Log("msg", "closed a connection to a leaf because it sent bytes that belong to no request", "leaf", c.pool.leaf.ID, "bytes", c.reader.Buffered(), "lines_left_out", leftOut)
			}
			return reportLast
		}
		reply, reusable, err := m.protocol.ReadReply(c.reader, a.req)
		if err == nil && !reply.Identified && c.wasUsed() {
			err = errs.New(errs.KindUnavailable, "let the leaf name the attempt in each reply", "a reply on a connection that was used before names no attempt and may be a second copy of an earlier one")
		}
		if err != nil {
			return c.fail(err)
		}
		c.memory.Release()
		c.pool.observe(reply)
		if !c.release(reply, reusable) {
			return func() { a.finish(reply, nil, true) }
		}
		a.finish(reply, nil, true)
	}
}

func (c *conn) wasUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// mayRepeatReply reports whether a second copy of the last reply could be taken for the reply to a request, although it is no answer to
// it: it states of an earlier attempt that it was not run, or the request may run only once.
func (c *conn) mayRepeatReply(req *forward.LeafRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used && c.lastID == req.ID && (c.lastNotRun || !req.Repeatable)
}

func (c *conn) currentAttempt() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// release makes the connection idle after a complete reply, and reports false if it has to be closed instead.
func (c *conn) release(reply *forward.LeafReply, reusable bool) bool {
	m := c.pool.module
	c.writing.Lock()
	c.mu.Lock()
	c.writing.Unlock()
	a := c.current
	// After a reply that arrived before the whole request was written, the rest of the request would still have to be sent. A
	// second copy of a reply that names no attempt could not be told from the next reply.
	reusable = reusable && reply.Identified && c.written && c.reader.Buffered() == 0
	c.current, c.ended, c.used, c.lastNotRun = nil, !reusable, true, reply.NotRun
	c.mu.Unlock()
	if !reusable {
		return false
	}
	a.mu.Lock()
	a.conn = nil // A late cancel must not close a connection that another attempt uses.
	cancelled := a.cancelled
	a.mu.Unlock()
	if cancelled || c.net.SetDeadline(time.Time{}) != nil {
		return false
	}
	if reply.IdleTimeout > 0 {
		c.usableUntil = m.now().Add(reply.IdleTimeout - idleMargin)
	}
	return c.pool.putIdle(c)
}

// fail takes the attempt that waits for a reply from a connection that has ended, and returns the function that reports its failure.
func (c *conn) fail(err error) (report func()) {
	_ = c.net.Close() // A write that is under way ends; the caller closes the connection anyway.
	c.writing.Lock()
	c.mu.Lock()
	c.writing.Unlock()
	a, writeEnded := c.current, c.writeEnded
	c.current, c.ended = nil, true
	c.mu.Unlock()
	if a == nil {
		return func() {}
	}
	if writeEnded != nil {
		<-writeEnded
	}
	c.mu.Lock()
	unsent := c.unsent
	c.mu.Unlock()
	m := c.pool.module
	m.metrics.broken.Inc(1)
	// A leaf resets connections above its limit, possibly after the first request was sent. It sends nothing on them.
	a.mu.Lock()
	a.refused = !c.answered && !a.cancelled
	a.mu.Unlock()
	if unsent {
		return func() {
			a.finish(nil, errs.Wrap(err, errs.KindUnavailable, "send the request to another leaf", "no byte of the request could be written to leaf %s", c.pool.leaf.ID), false)
		}
	}
	return func() {
		a.finish(nil, errs.Wrap(err, errs.KindUnknownOutcome, "send the request again only if it is repeatable", "no complete reply from leaf %s", c.pool.leaf.ID), true)
	}
}
