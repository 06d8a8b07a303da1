package httpserver

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"
)

const (
	// lingerTime is how long after the last progress of its answer a connection waits for its caller to close. Progress is that the
	// caller's system has acknowledged more of it.
	lingerTime = time.Second
	// lingerLimit bounds the whole wait, for callers that read very slowly.
	lingerLimit = 10 * time.Second
	// lingerShare is the part of the time left to a drain for which it waits for such connections. The modules that are drained
	// later need the rest.
	lingerShare = 0.5
	// lingerCheck is how often the progress is looked at.
	lingerCheck = 100 * time.Millisecond
	// lingerBuffer is how many bytes of a caller are read and discarded at once.
	lingerBuffer = 4 << 10
)

// lingerSet holds the connections whose writing side is closed and whose callers have not closed theirs. Closing a connection with
// unread input resets it, and the caller then loses what it has not read of its answer (RFC 9112, section 9.6).
type lingerSet struct {
	mu      sync.Mutex
	conns   map[*conn]bool
	stopped bool
	// changed gets a value after a connection has been closed.
	changed chan struct{}
}

func newLingerSet() *lingerSet {
	return &lingerSet{conns: map[*conn]bool{}, changed: make(chan struct{}, 1)}
}

// add returns false if connections are to be closed at once.
func (s *lingerSet) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *lingerSet) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default: // A value is already pending.
	}
}

func (s *lingerSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// wait returns once no connection is left, or with the end of the context.
func (s *lingerSet) wait(ctx context.Context) {
	for s.len() > 0 {
		select {
		case <-s.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *lingerSet) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// stop closes the connections, and makes others be closed at once from now on.
func (s *lingerSet) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for c := range s.conns {
		_ = c.Conn.Close() // Its goroutine ends by that.
	}
}

// linger reads and discards what the caller sends until it closes or the time is over, and closes the connection.
func (c *conn) linger() {
	now := time.Now()
	end, wait, unsent := now.Add(lingerLimit), now.Add(lingerTime), unsentBytes(c.Conn)
	buffer := make([]byte, lingerBuffer)
	for now.Before(wait) && now.Before(end) {
		if c.discard(buffer, now.Add(lingerCheck)) {
			break
		}
		now = time.Now()
		if n := unsentBytes(c.Conn); n < unsent {
			unsent, wait = n, now.Add(lingerTime)
		}
	}
	if unreadBytes(c.Conn) > 0 {
		c.set.counts.unread.Add(1)
	}
	_ = c.Conn.Close() // A connection that stop has closed needs no closing.
	c.set.lingering.remove(c)
}

// discard reads until a time. It returns whether the connection has ended before.
func (c *conn) discard(buffer []byte, until time.Time) (ended bool) {
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return true
	}
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}
