package admission

import (
	"math"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// ServiceLimit limits the requests of one service that run concurrently. It grows while requests wait for it and the
// targets have no standing queue, and shrinks while they have one: more concurrent requests would only wait longer
// there.
type ServiceLimit struct {
	limit     float64
	max       float64
	running   int
	adaptedAt time.Time
	// limitReached and missed report whether, since the last adaptation, the limit was reached and a request failed
	// or was answered late.
	limitReached bool
	missed       bool
	// meanRunTime is a moving average in nanoseconds.
	meanRunTime float64
}

const (
	// initialLimit is small, so that a VM that starts during an overload does not first fill the queues.
	initialLimit = 16
	minLimit     = 2
	// adaptInterval is how often the limit is adapted.
	adaptInterval = 100 * time.Millisecond
	// toleratedQueueingDelay is the queueing delay up to which the queue at the targets does not count as standing.
	// It is small against the deadlines of services and long enough for the permits of a busy target to follow one
	// another.
	toleratedQueueingDelay = 5 * time.Millisecond
	limitDecrease          = 0.8
	limitIncrease          = 1.25
	// urgentFactor times the limit is the limit of urgent requests, so that they need not wait for a request of lower
	// priority to finish.
	urgentFactor = 1.25
	// runTimeWeight is the weight of a new sample in the average time that a request runs.
	runTimeWeight = 0.1
)

// NewServiceLimit returns a limit that never exceeds max.
func NewServiceLimit(max int) *ServiceLimit {
	return &ServiceLimit{limit: math.Min(initialLimit, float64(max)), max: float64(max)}
}

// SetMax changes the configured maximum.
func (l *ServiceLimit) SetMax(max int) {
	l.max = float64(max)
	l.limit = math.Min(l.limit, l.max)
}

// Running returns the number of running requests.
func (l *ServiceLimit) Running() int { return l.running }

// Limit returns the number of requests that may run concurrently.
func (l *ServiceLimit) Limit() int { return int(math.Max(l.limit, minLimit)) }

// HasCapacity reports whether a request of the priority may start.
func (l *ServiceLimit) HasCapacity(p model.Priority) bool {
	limit := float64(l.Limit())
	if p == model.PriorityUrgent {
		limit = math.Ceil(limit * urgentFactor)
	}
	return float64(l.running) < limit
}

// Start records that a request has started.
func (l *ServiceLimit) Start() {
	l.running++
	l.limitReached = l.limitReached || l.running >= l.Limit()
}

// Finish records that a request has ended. missed reports that it failed or was not answered in time.
func (l *ServiceLimit) Finish(elapsed time.Duration, missed bool) {
	l.running--
	if l.meanRunTime == 0 {
		l.meanRunTime = float64(elapsed)
	}
	l.meanRunTime += runTimeWeight * (float64(elapsed) - l.meanRunTime)
	l.missed = l.missed || missed
}

// AdaptDue reports whether Adapt is to be called.
func (l *ServiceLimit) AdaptDue(now time.Time) bool { return now.Sub(l.adaptedAt) >= adaptInterval }

// Adapt changes the limit according to the queueing delay at the targets of the service.
func (l *ServiceLimit) Adapt(queueingDelay time.Duration, now time.Time) {
	switch {
	case queueingDelay > toleratedQueueingDelay || (l.missed && l.limitReached):
		// The limit may be far above the number of running requests; reducing it from there would have no effect for a
		// long time.
		inUse := math.Min(l.limit, float64(l.running+1))
		l.limit = math.Max(inUse*limitDecrease, minLimit)
	case l.limitReached:
		l.limit = math.Min(l.limit*limitIncrease+1, l.max)
	}
	l.adaptedAt, l.limitReached, l.missed = now, l.running >= l.Limit(), false
}

// ExpectedWait estimates how long a request waits behind the given number of others.
func (l *ServiceLimit) ExpectedWait(ahead int) time.Duration {
	return time.Duration(l.meanRunTime * float64(ahead) / float64(l.Limit()))
}

// ExpectedRun estimates how long a request runs once it has started.
func (l *ServiceLimit) ExpectedRun() time.Duration { return time.Duration(l.meanRunTime) }

// Callers counts the requests of each caller, running or waiting. It prevents one caller from taking a whole service.
// The limit covers the queue too: if it were a share of the running requests only, a caller with a few requests would
// be refused whenever an overload has made the service limit small.
type Callers map[model.CallerID]int

// HasCapacity reports whether a caller has fewer requests than its share of capacity. Callers without a name are not
// limited.
func (c Callers) HasCapacity(id model.CallerID, share float64, capacity int) bool {
	return id == "" || float64(c[id]) < math.Max(1, share*float64(capacity))
}

// Increment records one more request of a caller.
func (c Callers) Increment(id model.CallerID) {
	if id != "" {
		c[id]++
	}
}

// Decrement records that a request of a caller has ended.
func (c Callers) Decrement(id model.CallerID) {
	if c[id]--; c[id] <= 0 {
		delete(c, id)
	}
}
