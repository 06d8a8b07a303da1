// Package limits decides how many attempts this VM may send to one target and whether it may use the target at all:
// adaptive concurrency, ejection of failing and unreachable targets, and slow start. It is pure.
package limits

import (
	"math"
	"time"
)

// Concurrency adapts the number of attempts in flight at one target to what the target accepts. It grows while the
// target accepts work at the limit, and falls when the target sheds load or when replies take so long that attempts
// must be waiting at the target, where urgent ones cannot pass others. Near the limit at which the target shed last
// it grows with time and not with replies: with a few slots, growth with replies would have one in six attempts shed.
type Concurrency struct {
	limit float64
	slots int
	share int
	// ceiling is the limit at which the target shed last, raised by later probes, and lastShed the time of that shed
	// or probe.
	ceiling      float64
	lastShed     time.Time
	latencyRatio LatencyRatio
}

const (
	// decreaseFactor is applied for each shed reply that is not part of the same burst.
	decreaseFactor = 0.8
	// decreaseInterval prevents the replies of one burst from cutting the limit several times, since they all reflect
	// the same moment.
	decreaseInterval = 50 * time.Millisecond
	// probeInterval is how long after shedding the limit may exceed the ceiling by one.
	probeInterval = time.Second
	// maxLimitPerSlot is the highest limit for each slot of the target. Attempts in flight beyond the slots cover the
	// time that attempts and replies spend on the network; more would only wait at the target, where urgent work
	// cannot pass them.
	maxLimitPerSlot = 2
	// queueingRatio is the latency ratio from which attempts are taken to be waiting at the target, and growthRatio
	// the ratio up to which the limit may still grow.
	queueingRatio = 2
	growthRatio   = 1.5
)

// NewConcurrency returns a limit that starts at 1, so that the first latencies are the latencies of a target that this
// VM does not load. The limit grows once the median of these latencies has been computed.
func NewConcurrency(slots, share int) *Concurrency {
	return &Concurrency{limit: 1, slots: max(slots, 1), share: share, ceiling: math.Inf(1)}
}

// SetShare changes the connection share, which the limit never exceeds.
func (c *Concurrency) SetShare(share int) {
	c.share = share
	c.clamp()
}

// Limit returns the number of attempts that may be in flight. It is 0 if the connection share is 0.
func (c *Concurrency) Limit() int { return max(0, min(int(c.limit), c.share)) }

// OnAccepted records an attempt that the target ran while inFlight attempts were in flight.
func (c *Concurrency) OnAccepted(inFlight int, elapsed time.Duration, now time.Time) {
	if c.latencyRatio.Observe(elapsed, now) && c.latencyRatio.Ratio() >= queueingRatio {
		c.limit = math.Max(1, math.Floor(c.limit)-1)
		return
	}
	// A limit that is not reached is no evidence that the target can take more, so it does not grow.
	if inFlight < c.Limit() || c.latencyRatio.Ratio() == 0 || c.latencyRatio.Ratio() > growthRatio {
		return
	}
	next := c.limit + 1
	if !math.IsInf(c.ceiling, 1) {
		next = c.limit + 1/c.limit
	}
	if next >= c.ceiling {
		if now.Sub(c.lastShed) < probeInterval {
			return
		}
		next, c.lastShed = math.Floor(c.limit)+1, now
		c.ceiling = next + 1
	}
	c.limit = next
	c.clamp()
}

// OnShed records an attempt that the target refused because of its load.
func (c *Concurrency) OnShed(now time.Time) {
	if now.Sub(c.lastShed) < decreaseInterval && c.limit < c.ceiling {
		return
	}
	c.lastShed = now
	c.ceiling = math.Floor(c.limit)
	c.limit = math.Min(c.limit*decreaseFactor, c.ceiling-1)
	c.clamp()
}

// clamp applies the maxima to the limit. While the share is 0 the adapted limit is kept, so that it applies again
// with a new share.
func (c *Concurrency) clamp() {
	c.limit = math.Max(c.limit, 1)
	if c.share > 0 {
		c.limit = math.Min(c.limit, float64(min(c.share, maxLimitPerSlot*c.slots)))
	}
}

// Health tracks the consecutive failures of one target or one availability zone. After FailuresToEject failures it is
// ejected for a time that doubles with each ejection up to a limit. After that time single probes are allowed until
// one succeeds.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	lastProbe    time.Time
}

const (
	// FailuresToEject is the number of consecutive failures that eject a target. One failure is often only a restart.
	FailuresToEject = 3
	firstEjection   = 500 * time.Millisecond
	maxEjection     = 10 * time.Second
	// ejectedProbeInterval is the time between probes of an ejected target, so that an unreachable one costs few
	// attempts.
	ejectedProbeInterval = 250 * time.Millisecond
)

// OnSuccess records a reply.
func (h *Health) OnSuccess() { *h = Health{} }

// OnFailure records a failure and reports whether it ejects the target.
func (h *Health) OnFailure(now time.Time) bool {
	h.failures++
	if h.failures < FailuresToEject || now.Before(h.ejectedUntil) {
		return false
	}
	d := min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(d)
	return true
}

// Ejected reports whether the target should not be used now.
func (h *Health) Ejected(now time.Time) bool {
	if h.failures < FailuresToEject {
		return false
	}
	return now.Before(h.ejectedUntil) || now.Sub(h.lastProbe) < ejectedProbeInterval
}

// OnSent records that an attempt was sent. If the target is due for a probe, the attempt counts as the probe.
func (h *Health) OnSent(now time.Time) {
	if h.failures >= FailuresToEject {
		h.lastProbe = now
	}
}

// EjectedUntil returns the end of the ejection.
func (h *Health) EjectedUntil() time.Time { return h.ejectedUntil }

// SlowStartWindow is how long a target that has begun to serve gets less than its full weight.
const SlowStartWindow = 5 * time.Second

// minSlowStartWeight ensures that a cold target gets some work, since it warms up only by working.
const minSlowStartWeight = 0.1

// SlowStartWeight returns the share of work that a target should get compared with a warm one.
func SlowStartWeight(servingSince, now time.Time) float64 {
	age := now.Sub(servingSince)
	if servingSince.IsZero() || age >= SlowStartWindow {
		return 1
	}
	return math.Max(minSlowStartWeight, float64(age)/float64(SlowStartWindow))
}

// ColdWeight is the weight of a target that announces itself as cold.
const ColdWeight = minSlowStartWeight

// LatencyAverage is an exponentially weighted moving average of the latency of a target. It rises faster than it
// falls, because a straggling target must lose work immediately.
type LatencyAverage struct{ value float64 }

const (
	latencyRiseWeight = 0.3
	latencyFallWeight = 0.1
)

// Observe adds a latency.
func (l *LatencyAverage) Observe(d time.Duration) {
	sample := float64(d)
	if l.value == 0 {
		l.value = sample
		return
	}
	weight := latencyFallWeight
	if sample > l.value {
		weight = latencyRiseWeight
	}
	l.value += weight * (sample - l.value)
}

// Value returns the average, or 0 before the first observation.
func (l *LatencyAverage) Value() time.Duration { return time.Duration(l.value) }

// MaxEjected returns how many replicas of a shard may be ejected at the same time: all but one. Health counts
// consecutive failures only, so attempts sent to an ejected replica would fail. With a limit of half of the replicas,
// a VM in an isolated availability zone sent to one of two unreachable replicas of three.
func MaxEjected(replicas int) int { return max(replicas-1, 0) }
