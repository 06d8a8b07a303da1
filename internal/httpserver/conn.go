package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// firstRequestTime is how long after its start a connection may have its first request. A drain waits for it, since the caller has
// just chosen this VM.
const firstRequestTime = time.Second

// requestState says how far the request of a connection is.
type requestState string

const (
	requestNone      requestState = "none"
	requestReading   requestState = "reading"
	requestHandling  requestState = "handling"
	requestAnswering requestState = "answering"
)

// closeCounts counts the connections of a Server that were closed in a certain state.
type closeCounts struct {
	// unused had no request; unread had bytes of the caller that were not read.
	unused, unread atomic.Int64
}

// conn is the connection of a caller. Either the bytes of a request reach net/http, or the connection is closed without them: a
// request that is read from a connection while that is being closed could be handled and not be answered.
type conn struct {
	net.Conn
	mu sync.Mutex
	// hasRequest is set once a byte was read since the last response.
	hasRequest bool
	closed     bool
	// idleSince is when the connection was accepted or the last response ended. isNew is set until the first
	// response has ended.
	idleSince time.Time
	isNew     bool
	// state belongs to the request that began at requestSince.
	state        requestState
	requestSince time.Time
	counts       *closeCounts
}

// connKey is the key of the conn in the context of a request.
type connKey struct{}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.hasRequest = true
	if c.state == requestNone {
		c.state, c.requestSince = requestReading, time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

func (c *conn) closeLocked() error {
	if !c.closed && unreadBytes(c.Conn) > 0 {
		c.counts.unread.Add(1)
	}
	c.closed = true
	return c.Conn.Close()
}

func (c *conn) setRequestState(state requestState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == requestNone {
		c.requestSince = time.Now()
	}
	c.state = state
}

// request returns the state of the request and how long ago it began.
func (c *conn) request() (requestState, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == requestNone {
		return requestNone, 0
	}
	return c.state, time.Since(c.requestSince)
}

// CloseWrite lets net/http send the rest of a response before it closes the connection.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *conn) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.isNew, c.idleSince, c.state = false, false, now, requestNone
}

// closeIfUnused closes the connection if nothing of a request was read and the first one is not expected any more. Otherwise it
// returns how long the first request may take, or 0 if the connection has a request.
func (c *conn) closeIfUnused(now time.Time) (closed bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true, 0 // net/http has not reported it yet.
	}
	if c.hasRequest {
		return false, 0
	}
	if wait := firstRequestTime - now.Sub(c.idleSince); c.isNew && wait > 0 {
		return false, wait
	}
	c.counts.unused.Add(1)
	_ = c.closeLocked() // The caller may safely use another VM, since no request was read.
	return true, 0
}

// connSet holds the open connections of a generation.
type connSet struct {
	mu    sync.Mutex
	conns map[*conn]bool
	// changed gets a value after a connection has become idle or was closed.
	changed chan struct{}
	counts  *closeCounts
}

func newConnSet(counts *closeCounts) *connSet {
	return &connSet{conns: map[*conn]bool{}, changed: make(chan struct{}, 1), counts: counts}
}

// add adds an accepted connection.
func (s *connSet) add(c net.Conn) *conn {
	x := &conn{Conn: c, isNew: true, idleSince: time.Now(), state: requestNone, counts: s.counts}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[x] = true
	return x
}

// setState follows the state of a connection in net/http.
func (s *connSet) setState(c *conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.setIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	default:
		return
	}
	select {
	case s.changed <- struct{}{}:
	default: // A value is already pending.
	}
}

func (s *connSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// withRequest returns the connections that have a request.
func (s *connSet) withRequest() (used []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if state, _ := c.request(); state != requestNone {
			used = append(used, c)
		}
	}
	return used
}

// closeUnused closes the connections without a request. It returns how many others there are, and when one of them has to be
// checked again although it has not changed.
func (s *connSet) closeUnused(now time.Time) (used int, check time.Duration) {
	check = time.Hour
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		closed, wait := c.closeIfUnused(now)
		if closed {
			continue
		}
		used++
		if wait > 0 {
			check = min(check, wait)
		}
	}
	return used, check
}

// drain closes each connection as soon as it has no request. It returns once there is none left, or with the end of the context.
func (s *connSet) drain(ctx context.Context) {
	for {
		used, check := s.closeUnused(time.Now())
		if used == 0 {
			return
		}
		timer := time.NewTimer(check)
		select {
		case <-s.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
