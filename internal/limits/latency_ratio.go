package limits

import (
	"math"
	"slices"
	"time"
)

// LatencyRatio compares the recent median latency of a target with its baseline. The median ignores stragglers, which
// are no sign of load.
type LatencyRatio struct {
	samples   [medianSamples]time.Duration
	count     int
	baseline  float64
	updatedAt time.Time
	ratio     float64
}

const (
	// medianSamples is the number of latencies from which a median is computed. Each latency counts in one median only.
	medianSamples = 16
	// baselineGrowth is the rate at which the baseline may rise each second. A latency that has doubled permanently,
	// for example because of a larger index, is accepted as the baseline after 140 s. A faster rise would take the
	// latency of a lasting overload as the baseline: at 2% each second it did so within 40 s in the simulation of the
	// tests.
	baselineGrowth = 0.005
)

// Observe adds a latency and reports whether a new median has been computed.
func (r *LatencyRatio) Observe(elapsed time.Duration, now time.Time) bool {
	r.samples[r.count] = elapsed
	if r.count++; r.count < medianSamples {
		return false
	}
	r.count = 0
	slices.Sort(r.samples[:])
	median := float64(max(r.samples[medianSamples/2], time.Microsecond))
	if r.baseline == 0 {
		r.baseline, r.updatedAt = median, now
	}
	r.baseline *= math.Pow(1+baselineGrowth, now.Sub(r.updatedAt).Seconds())
	r.baseline, r.updatedAt = math.Min(r.baseline, median), now
	r.ratio = median / r.baseline
	return true
}

// Ratio returns the last median divided by the baseline, or 0 before the first median.
func (r *LatencyRatio) Ratio() float64 { return r.ratio }
