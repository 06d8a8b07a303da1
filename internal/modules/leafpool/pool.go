package leafpool

import (
	"context"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// surplusIdleTimeout is how long an idle connection to a leaf that is not preferred is kept. Requests in quick succession reuse
// it; if they were kept longer, leaves would reset the connections of VMs that return after a power loss.
const surplusIdleTimeout = 300 * time.Millisecond

// pool holds the connections to one leaf. Its fields are guarded by the module's lock.
type pool struct {
	module *Module
	leaf   *leaves.Member
	// open counts all connections, including those that are being opened. The most recently used idle connection is at the end
	// of idle.
	open int
	idle []*conn
	// closing holds idle connections that this VM closes and that the leaf has not closed yet. They take no place in open.
	closing []*conn
	// retired reports whether connections are closed instead of becoming idle, and no new ones are opened: the leaf is no
	// longer listed, or has replied that it is leaving.
	retired bool
	// pausedUntil is the end of the pause that the leaf has asked for. No connection is opened and no request is sent before.
	pausedUntil time.Time
	// preconnecting counts the connections that are being opened in advance. Requests do not wait for them.
	preconnecting int
	// connected reports whether a connection has been open since the leaf is listed.
	connected bool
	// unreachableUntil is when the next connection may be opened in advance, after one could not be opened or ended unused.
	unreachableUntil time.Time
}

// takeIdle removes and returns an idle connection that the leaf is expected to keep open long enough, or returns nil. It
// closes those that the leaf may close before. It skips those on which a second copy of the last reply could be taken for the
// reply to the request, and closes one of them if there are no others, which leaves a place for a new one. The caller holds the lock.
func (p *pool) takeIdle(now time.Time, req *forward.LeafRequest) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		usable := c.usableUntil.IsZero() || now.Before(c.usableUntil)
		if usable && c.mayRepeatReply(req) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if usable {
			return c
		}
		p.closeIdle(c)
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.closeIdle(c)
	}
	return nil
}

// closeTimeout is how long a leaf may take to close its side of a connection before the next one is opened in its place.
const closeTimeout = 100 * time.Millisecond

// closeIdle closes a connection that was idle. It leaves its place at once, since its end wakes no request that waits for one. The
// caller holds the lock.
func (p *pool) closeIdle(c *conn) {
	p.uncount(c)
	p.closing = append(p.closing, c)
	go c.closeGracefully()
}

// mustAwaitClosed reports whether one connection more could be above the limit, as the leaf counts those that it has not closed. The
// caller holds the lock.
func (p *pool) mustAwaitClosed(limit int) bool {
	return len(p.closing) > 0 && p.open-p.preconnecting+len(p.closing) >= limit
}

// awaitClosed waits until the leaf has closed the connections that are being closed, or closeTimeout has passed. A leaf that still counts
// them could reset the next connection after a request was sent on it.
func (p *pool) awaitClosed(ctx context.Context) {
	p.module.mu.Lock()
	closing := slices.Clone(p.closing)
	p.module.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	for _, c := range closing {
		select {
		case <-c.uncounted:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// uncount removes a connection that is about to be closed, or has ended, from the count. The caller holds the lock.
func (p *pool) uncount(c *conn) {
	if !c.isUncounted {
		c.isUncounted = true
		p.open--
		p.endAdvance(c)
	}
}

// endAdvance removes a connection from those that are being opened in advance. The caller holds the lock.
func (p *pool) endAdvance(c *conn) {
	if c.inAdvance {
		c.inAdvance = false
		p.preconnecting--
	}
}

// retire removes and returns the idle connections, and lets the others be closed once they are idle. The caller holds the
// lock.
func (p *pool) retire() []*conn {
	p.retired = true
	return p.takeAllIdle()
}

// takeAllIdle removes and returns the idle connections. The caller holds the lock.
func (p *pool) takeAllIdle() []*conn {
	idle := p.idle
	p.idle = nil
	return idle
}

// observe applies what a reply states about its leaf. That of another leaf states nothing about it.
func (p *pool) observe(reply *forward.LeafReply) {
	pause := reply.Pause()
	if reply.WrongLeaf || !reply.Leaving && pause == 0 {
		return
	}
	m := p.module
	var idle []*conn
	m.mu.Lock()
	if reply.Leaving {
		idle = p.retire()
	}
	if until := m.now().Add(pause); until.After(p.pausedUntil) {
		p.pausedUntil = until
	}
	m.mu.Unlock()
	for _, c := range idle {
		_ = c.net.Close() // The reading goroutine removes it from the count.
	}
	m.recheckPreferred()
}

// refuses reports whether no request may be sent to the leaf. It is asked again after a connection was opened: an attempt that waits for
// one when the leaf's availability zone is evacuated is not sent. The caller holds the lock.
func (p *pool) refuses(now time.Time) bool {
	return p.retired || now.Before(p.pausedUntil) || p.evacuated()
}

// evacuated reports whether the leaf is in an evacuated availability zone.
func (p *pool) evacuated() bool {
	return p.module.control.View().Evacuations.Has(p.leaf.AvailabilityZone)
}

func (p *pool) refusal() error {
	return errs.New(errs.KindUnavailable, "send the request to another leaf", "leaf %s is leaving, has asked for a pause or is evacuated", p.leaf.ID)
}

// putIdle makes a connection idle, and reports false if it has to be closed instead.
func (p *pool) putIdle(c *conn) bool {
	limit := p.module.limit(p.leaf)
	p.module.mu.Lock()
	defer p.module.mu.Unlock()
	if p.retired || p.open > limit || p.evacuated() {
		return false
	}
	p.idle, p.connected = append(p.idle, c), true
	p.endAdvance(c)
	if p.surplus() {
		if end := p.module.now().Add(surplusIdleTimeout); c.usableUntil.IsZero() || end.Before(c.usableUntil) {
			c.usableUntil = end
		}
		time.AfterFunc(surplusIdleTimeout, func() { p.expire(c) })
	}
	return true
}

// surplus reports whether the leaf is not preferred while there is a connection to a preferred leaf of its service. The caller
// holds the lock.
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

// expire closes a connection that is still idle at its usableUntil.
func (p *pool) expire(c *conn) {
	m := p.module
	m.mu.Lock()
	expired := !m.now().Before(c.usableUntil) && p.removeIdle(c)
	if expired {
		p.closeIdle(c)
	}
	m.mu.Unlock()
}

// closed removes a connection from the count. c is nil for a connection that could not be opened.
func (p *pool) closed(c *conn) {
	p.module.mu.Lock()
	defer p.module.mu.Unlock()
	p.closedLocked(c)
}

// closedLocked does the same for a caller that holds the lock.
func (p *pool) closedLocked(c *conn) {
	if c == nil {
		p.open--
	} else {
		p.uncount(c)
	}
	if c == nil || !c.wasUsed() {
		p.unreachableUntil = p.module.now().Add(preconnectRetry)
	}
	if p.open == 0 && !p.retired && p.module.Prefers(p.leaf) {
		p.module.recheckPreferred()
	}
	p.removeIdle(c)
	if i := slices.Index(p.closing, c); i >= 0 {
		p.closing = slices.Delete(p.closing, i, i+1)
	}
}

// removeIdle removes a connection from the idle ones, and reports whether it was idle. The caller holds the lock.
func (p *pool) removeIdle(c *conn) bool {
	i := slices.Index(p.idle, c)
	if i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	return i >= 0
}

// dial opens a connection, sends an attempt on it and reads replies until the connection ends. It runs on a goroutine of
// its own, the reading goroutine of the connection.
func (p *pool) dial(ctx context.Context, a *attempt, awaitClosed bool) {
	defer a.stopDial()
	ctx, stop := context.WithDeadline(ctx, a.req.Until)
	defer stop()
	if awaitClosed {
		p.awaitClosed(ctx)
	}
	n, err := p.module.connect(ctx, p.leaf)
	if err != nil {
		p.closed(nil)
		a.refused = ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded
		a.finish(nil, err, false)
		return
	}
	c := newConn(p, n)
	p.module.mu.Lock()
	refused := p.refuses(p.module.now())
	p.module.mu.Unlock()
	if refused { // The leaf has stated this while the connection was being opened.
		a.finish(nil, p.refusal(), false)
		p.keepIdle(c)
		return
	}
	c.start(a)
	c.read()
}

// keepIdle makes a new connection idle and reads from it until it ends, or closes it where it is not needed.
func (p *pool) keepIdle(c *conn) {
	if !p.putIdle(c) {
		_ = c.net.Close() // No request was sent on it.
		p.closed(c)
		return
	}
	c.read()
}
