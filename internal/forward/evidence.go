package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// slowFactor times the usual latency is what an attempt takes that is reported as bad. Less than 1% of the attempts at sound
// leaves take as long, apart from those that meet a pause.
const slowFactor = 3

// attemptCounts counts the attempts at a leaf since the last report, and those among them that failed or were slow.
type attemptCounts struct{ attempts, bad int }

// add counts the end of an attempt. One that was given up early says nothing of its leaf, and a refused connection says little to
// other VMs, since each of them has its own place among those that a leaf accepts.
func (c *attemptCounts) add(end *AttemptEnd, silent, cancelled bool, usual time.Duration) {
	if end.Reply == nil && !silent && (cancelled || !end.Sent || end.Refused) {
		return
	}
	c.attempts++
	if end.Reply == nil || !end.Reply.Succeeded() || end.Latency > slowFactor*usual {
		c.bad++
	}
}

// TakeEvidence returns what was seen of leaves since it was called last.
func (t *Tracker) TakeEvidence() (list []leaves.Evidence) {
	for k, s := range t.leaves {
		if c := s.counts; c.attempts > 0 {
			list = append(list, leaves.Evidence{Leaf: k.Incarnation, Attempts: float64(c.attempts), Bad: float64(c.bad)})
			s.counts = attemptCounts{}
		}
	}
	return list
}
