package integration

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	pauseInterval = 100 * time.Millisecond
	// minPause is the shortest recorded pause. VMs close a connection that does not relay an answer for 2 s.
	minPause = 500 * time.Millisecond
)

// pauses has the times in which the test process was not run. It relays the connections between all VMs.
var pauses pauseLog

type pauseLog struct {
	mu    sync.Mutex
	lines []string
}

func (p *pauseLog) run() {
	for last := time.Now(); ; {
		time.Sleep(pauseInterval)
		now := time.Now()
		if late := now.Sub(last) - pauseInterval; late > minPause {
			p.mu.Lock()
			p.lines = append(p.lines, fmt.Sprintf("%s the test process has run %s late", now.UTC().Format(time.RFC3339Nano), late))
			p.mu.Unlock()
		}
		last = now
	}
}

func (p *pauseLog) all() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}
