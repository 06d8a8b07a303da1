// Package linelimit limits log lines whose number another process decides, such as those about invalid input.
package linelimit

import (
	"sync"
	"time"
)

// Interval is the shortest time between two log lines of one kind.
const Interval = time.Second

// Limit limits the log lines of one kind. The zero value is ready to use. It is safe for concurrent use.
type Limit struct {
	mu       sync.Mutex
	loggedAt time.Time
	leftOut  int
}

// Allow reports whether a line is to be written, and how many were left out since the last one.
func (l *Limit) Allow(now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < Interval {
		l.leftOut++
		return false, 0
	}
	leftOut, l.leftOut, l.loggedAt = l.leftOut, 0, now
	return true, leftOut
}
