package leafpool

import (
	"sync"
	"time"
)

// lineInterval is the shortest time between two log lines about stray bytes. A faulty leaf may send some after each reply.
const lineInterval = time.Second

// lineLimit limits log lines of one kind.
type lineLimit struct {
	mu       sync.Mutex
	loggedAt time.Time
	leftOut  int
}

// allow reports whether a line is to be written, and how many were left out since the last one.
func (l *lineLimit) allow(now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < lineInterval {
		l.leftOut++
		return false, 0
	}
	leftOut, l.leftOut, l.loggedAt = l.leftOut, 0, now
	return true, leftOut
}
