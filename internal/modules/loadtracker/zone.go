package loadtracker

import (
	"sync"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/limits"
)

// zoneHealth evaluates the health of an availability zone. When different targets of a zone fail one after another without any
// success between, the zone counts as unreachable, so that not every one of its targets has to be detected by its own timeouts.
type zoneHealth struct {
	mu         sync.Mutex
	health     limits.Health
	lastFailed *tracker
}

func (z *zoneHealth) onFailure(now time.Time, tr *tracker) {
	z.mu.Lock()
	defer z.mu.Unlock()
	// Consecutive failures of one target count once, because they are no evidence about its zone.
	if z.lastFailed != tr {
		z.lastFailed = tr
		z.health.OnFailure(now)
	}
}

func (z *zoneHealth) onSuccess() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.lastFailed = nil
	z.health.OnSuccess()
}

func (z *zoneHealth) onSent(now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.health.OnSent(now)
}

func (z *zoneHealth) isUnreachable(now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.health.Ejected(now)
}
