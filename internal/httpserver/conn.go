package httpserver

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// firstRequestTime is how long after its start a connection may have its first request. A drain waits for it, since the caller has
// just chosen this VM.
const firstRequestTime = time.Second

// requestState is the stage of the request on a connection.
type requestState string

const (
	requestNone      requestState = "none"
	requestReading   requestState = "reading"
	requestHandling  requestState = "handling"
	requestAnswering requestState = "answering"
	// requestAnswered is the state from the return of the handler until the last bytes of the answer are written.
	requestAnswered requestState = "answered"
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
	// hasRequest is set from the first byte of a request that was read to the end of its response. net/http may have read this byte
	// with the request before it, so after a response it stays set until checkHeld has looked at what net/http holds.
	hasRequest bool
	stage      readStage
	// isChecked is set once checkHeld has set hasRequest. isMalformed is set once bytes were read with which no request begins.
	isChecked, isMalformed bool
	// hasIdleDeadline is set if net/http has set the deadline for the beginning of the next request, which is idleBy.
	hasIdleDeadline bool
	idleBy          time.Time
	// headerBy is when the header of a request that began while net/http waited has to end, or zero.
	headerBy time.Time
	closed   bool
	// bufferSize is how many bytes net/http reads at most while it holds none.
	bufferSize int
	// recent holds the last bytes that were read.
	recent recentBytes
	input  input
	// isKept is set if the response to the current request did not announce the close of the connection, as it should have, because
	// another request was waiting. wasKept is that of the response before.
	isKept, wasKept bool
	// idleSince is when the connection was accepted or the last response ended. isNew is set until the first
	// response has ended.
	idleSince time.Time
	isNew     bool
	// state belongs to the request that began at requestSince.
	state        requestState
	requestSince time.Time
	// endsByClose is set if the end of the connection may be the end of the answer, as in HTTP/1.0.
	endsByClose bool
	set         *connSet
	// callerEnded is set once the caller has closed its side or the connection has failed.
	callerEnded bool
}

// connKey is the key of the conn in the context of a request.
type connKey struct{}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.beginRead(len(p)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerEnded = true
	}
	c.recent.add(p[:n])
	c.input.add(p[:n])
	if c.stage != stageMessage && !c.hasRequest {
		c.addBytes(p[:n])
	}
	return n, err
}

// beginRead makes the connection idle if net/http holds nothing of a request after the last response.
func (c *conn) beginRead(size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.bufferSize == 0 {
		c.bufferSize = size // This is the first read.
	}
	if c.stage != stageMessage && !c.isChecked {
		c.checkHeld(c.bufferSize - size)
	}
	return nil
}

// checkHeld finds out whether a request has begun with the bytes that net/http holds when it reads for the first time after a
// response. It asks for as many bytes fewer than its buffer can take.
func (c *conn) checkHeld(held int) {
	c.isChecked, c.hasRequest = true, false
	if c.stage == stageWait {
		c.addBytes(c.recent.last(held))
	} else if !c.recent.areEmptyLines(held) {
		c.startRequest()
	}
	if !c.hasRequest {
		c.state = requestNone
		c.set.signal()
	}
}

// addBytes follows bytes that were read while no request had begun.
func (c *conn) addBytes(p []byte) {
	p = bytes.TrimLeft(p, "\r\n")
	switch {
	case len(p) == 0 || c.isMalformed:
	case isTokenChar(p[0]):
		c.startRequest()
	default:
		c.isMalformed = true
	}
}

func (c *conn) startRequest() {
	c.hasRequest = true
	if c.state == requestNone {
		c.state, c.requestSince = requestReading, time.Now()
	}
	if c.stage == stageWait {
		c.limitHeader(time.Now())
	}
}

// limitHeader makes the limit of a header count from its first byte. net/http counts it from the fourth byte on (peekSize), and applies
// the limit of idle connections until then.
func (c *conn) limitHeader(now time.Time) {
	if c.set.headerTimeout <= 0 {
		return
	}
	c.headerBy = now.Add(c.set.headerTimeout)
	if c.idleBy.IsZero() || c.headerBy.Before(c.idleBy) {
		_ = c.Conn.SetReadDeadline(c.headerBy) // A connection that has been closed needs no deadline.
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// SetReadDeadline implements net.Conn. Once the connection is being closed, its deadline belongs to linger. After a response, net/http
// sets a first deadline to wait for a request, and a second one once it holds the beginning of that request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.stage == stageWait && c.hasIdleDeadline {
		c.stage = stageHead
		if !c.isChecked {
			c.startRequest() // checkHeld corrects this for empty lines.
		}
	}
	if c.stage == stageWait {
		c.hasIdleDeadline, c.idleBy = true, t
	}
	if c.stage == stageHead && t.After(c.headerBy) && !c.headerBy.IsZero() {
		t = c.headerBy
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. It does not wait. If the caller may not have the whole answer, only the writing side is closed, and the
// rest follows when the caller closes.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

func (c *conn) closeLocked() error {
	if c.closed {
		return nil
	}
	c.closed = true
	t, ok := c.Conn.(*net.TCPConn)
	if ok && c.endsByClose && (c.state == requestAnswering || c.state == requestAnswered && c.set.lingering.isStopped()) {
		_ = t.SetLinger(0) // The answer is not complete, which only a reset shows. A broken connection needs none.
		return c.Conn.Close()
	}
	// A connection that is idle has unread input only if it crosses the close, which harms answers that are still being sent.
	mayLoseAnswer := !c.callerEnded && (c.hasRequest || unsentBytes(c.Conn) > 0)
	if !ok || !mayLoseAnswer || !c.set.lingering.add(c) {
		if unreadBytes(c.Conn) > 0 {
			c.set.counts.unread.Add(1)
		}
		return c.Conn.Close()
	}
	err := t.CloseWrite()
	_ = t.SetReadDeadline(time.Now()) // A read of net/http that is in progress ends. A broken connection ends by itself.
	go c.linger()
	return err
}

// beginRequest follows the start of a handler. A negative length states that the body consists of chunks.
func (c *conn) beginRequest(endsByClose bool, bodyLength int64) {
	c.setRequestState(requestHandling)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsByClose = endsByClose
	c.wasKept, c.isKept = c.isKept, false
	c.input.beginBody(bodyLength)
}

// keep decides whether a connection that is to be closed stays open after the current response, because the caller has already sent
// another request. Every request that net/http holds is answered. One that only the operating system has received is answered too, but
// unless always is set not after another one for which the connection was kept: a caller that sends each request before the answer to the
// last one would keep it open.
func (c *conn) keep(always bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isKept = c.input.holdsRequest() || (always || !c.wasKept) && c.input.bodyEnded() && unreadBytes(c.Conn) > 0
	return c.isKept
}

// wasKeptOpen reports whether the connection has stayed open only for the current request.
func (c *conn) wasKeptOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasKept
}

func (c *conn) setRequestState(state requestState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == requestNone {
		c.requestSince = time.Now()
	}
	c.state = state
}

// request returns the state of the request and how long ago it began. A connection that is being closed has none.
func (c *conn) request() (requestState, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.state == requestNone {
		return requestNone, 0
	}
	return c.state, time.Since(c.requestSince)
}

// CloseWrite begins to close the connection while net/http, which calls it after some responses, waits for 0.5 s before it calls
// Close.
func (c *conn) CloseWrite() error { return c.Close() }

func (c *conn) setResponded(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage, c.isChecked, c.isMalformed, c.hasIdleDeadline = stageWait, false, false, false
	c.isNew, c.idleSince, c.state, c.headerBy = false, now, requestNone, time.Time{}
	c.input.next()
}

// setActive follows the end of a header, or an error in it.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.stage = true, stageMessage
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
	c.set.counts.unused.Add(1)
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
	// lingering holds connections that are being closed, also after net/http has closed them.
	lingering *lingerSet
	// headerTimeout is the longest time for the header of a request; 0 is no limit.
	headerTimeout time.Duration
	// onEnd is called when net/http has ended with a connection.
	onEnd func()
}

func newConnSet(counts *closeCounts, headerTimeout time.Duration, onEnd func()) *connSet {
	return &connSet{headerTimeout: headerTimeout, onEnd: onEnd, conns: map[*conn]bool{}, changed: make(chan struct{}, 1), counts: counts, lingering: newLingerSet()}
}

// add adds an accepted connection.
func (s *connSet) add(c net.Conn) *conn {
	x := &conn{Conn: c, isNew: true, idleSince: time.Now(), stage: stageHead, isChecked: true, state: requestNone, set: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[x] = true
	return x
}

// setState follows the state of a connection in net/http.
func (s *connSet) setState(c *conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.setResponded(time.Now())
		return // checkHeld makes it idle.
	case http.StateActive:
		c.setActive()
		return
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.onEnd()
	default:
		return
	}
	s.signal()
}

func (s *connSet) signal() {
	select {
	case s.changed <- struct{}{}:
	default: // A value is already pending.
	}
}

// len returns the number of open connections.
func (s *connSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.lingering.len()
	for c := range s.conns {
		if !c.isClosed() {
			n++
		}
	}
	return n
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
