package transport

import (
	"errors"
	"os"
	"slices"
	"time"
)

// spare is an open connection that no attempt has used. A pending read detects when the target closes it, since a target
// closes idle connections and those beyond its limit, and an attempt on a closed connection would fail after its bytes
// have been sent.
type spare struct {
	conn *countedConn
	// readDone is closed once the pending read has ended; err is its error.
	readDone chan struct{}
	err      error
}

// watchSpare waits for the target to close the connection, and then discards it. A target sends nothing before it has
// received a request.
func (p *pool) watchSpare(s *spare) {
	var b [1]byte
	_, s.err = s.conn.Conn.Read(b[:])
	close(s.readDone)
	if s.interrupted() {
		return
	}
	p.mu.Lock()
	p.spares = slices.DeleteFunc(p.spares, func(other *spare) bool { return other == s })
	p.mu.Unlock()
	s.discard()
}

// interrupted reports whether the pending read ended because of the deadline that acquire sets, and not because the target
// closed the connection or sent data.
func (s *spare) interrupted() bool { return errors.Is(s.err, os.ErrDeadlineExceeded) }

// acquire ends the pending read and reports whether the connection can be used.
func (s *spare) acquire() bool {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0)) // If this fails, the connection is closed, which ends the read as well.
	<-s.readDone
	if !s.interrupted() || s.conn.SetReadDeadline(time.Time{}) != nil {
		s.discard()
		return false
	}
	return true
}

func (s *spare) discard() {
	s.conn.refused.Store(true)
	_ = s.conn.Close() // The connection is discarded, so a failed close does not matter.
}
