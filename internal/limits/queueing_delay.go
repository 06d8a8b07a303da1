package limits

import "time"

// QueueingDelay distinguishes a standing queue from a short burst: it is the shortest time that any attempt waited
// during an interval. A burst has some attempts that do not wait; a queue that never empties has none.
type QueueingDelay struct {
	intervalStart time.Time
	shortestWait  time.Duration
	count         int
	value         time.Duration
	updatedAt     time.Time
}

const (
	// queueingDelayInterval is the minimum length of an interval, of which the shortest wait is used.
	queueingDelayInterval = 100 * time.Millisecond
	// queueingDelaySamples is the minimum number of waits in an interval, since the shortest of a few is little
	// evidence.
	queueingDelaySamples = 8
	// maxQueueingDelayAge is how long a value is used while no new one is computed.
	maxQueueingDelayAge = time.Second
)

// Observe adds the time that an attempt waited before it was sent or given up.
func (q *QueueingDelay) Observe(wait time.Duration, now time.Time) {
	if q.count == 0 {
		q.intervalStart, q.shortestWait = now, wait
	}
	q.count++
	q.shortestWait = min(q.shortestWait, wait)
	if q.count >= queueingDelaySamples && now.Sub(q.intervalStart) >= queueingDelayInterval {
		q.value, q.updatedAt, q.count = q.shortestWait, now, 0
	}
}

// Value returns the shortest wait of the last interval.
func (q *QueueingDelay) Value(now time.Time) time.Duration {
	if now.Sub(q.updatedAt) > maxQueueingDelayAge {
		return 0
	}
	return q.value
}
