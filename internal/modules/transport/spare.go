package transport

import (
	"errors"
	"os"
	"slices"
	"time"
)

// spare is an open connection that no attempt has used. It is watched, since a target closes connections beyond its
// limit and idle ones, and an attempt on a closed connection would fail after its bytes have left.
type spare struct {
	conn *countedConn
	// read is closed once the watching read has ended, with err.
	read chan struct{}
	err  error
}

// watch waits for the target to close the connection. A target sends nothing before it is asked.
func (p *pool) watch(x *spare) {
	var b [1]byte
	_, x.err = x.conn.Conn.Read(b[:])
	close(x.read)
	if x.idle() {
		return
	}
	p.mu.Lock()
	p.spares = slices.DeleteFunc(p.spares, func(other *spare) bool { return other == x })
	p.mu.Unlock()
	x.discard()
}

// idle reports whether the watching read ended because the connection was taken into use.
func (x *spare) idle() bool { return errors.Is(x.err, os.ErrDeadlineExceeded) }

// take ends the watch and reports whether the connection can be used.
func (x *spare) take() bool {
	_ = x.conn.SetReadDeadline(time.Unix(1, 0)) // A closed connection ends the read as well.
	<-x.read
	if !x.idle() || x.conn.SetReadDeadline(time.Time{}) != nil {
		x.discard()
		return false
	}
	return true
}

func (x *spare) discard() {
	x.conn.refused.Store(true)
	_ = x.conn.Close() // It is of no further use.
}
