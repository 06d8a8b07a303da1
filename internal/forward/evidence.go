package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// slowFactor times the typical latency is the latency above which an attempt is reported as bad. Less than 1% of the attempts
// at healthy leaves take as long, except for those during a pause of the leaf.
const slowFactor = 3

// attemptCounts counts the attempts at a leaf since the last report, and those among them that failed or were slow.
type attemptCounts struct{ attempts, bad int }

// add counts the result of an attempt. An attempt that was cancelled early or not sent is ignored, because it is no evidence
// about its leaf. So is a refused connection, which means little to other VMs: each VM has its own share of the connections that
// a leaf accepts. The rejection of a full leaf is bad as well: it makes the other VMs avoid the leaf, and without it more requests of
// a burst were late.
func (c *attemptCounts) add(result *AttemptResult, unresponsive, cancelled bool, typical time.Duration) {
	if result.Reply == nil && !unresponsive && (cancelled || !result.Sent || result.Refused) {
		return
	}
	c.attempts++
	if result.Reply == nil || !result.Reply.Succeeded() || result.Latency > slowFactor*typical {
		c.bad++
	}
}

// TakeEvidence returns and resets the counts of attempts at leaves since the last call.
func (t *Tracker) TakeEvidence() (list []leaves.Evidence) {
	for k, s := range t.leaves {
		if c := s.counts; c.attempts > 0 {
			list = append(list, leaves.Evidence{Leaf: k.Incarnation, Attempts: float64(c.attempts), Bad: float64(c.bad)})
			s.counts = attemptCounts{}
		}
	}
	return list
}
