package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

const (
	// medianPercent is the quantile of the latency of a route by which leaves are compared.
	medianPercent = 50
	// highLatencyPercent is the quantile of the latency of a route within which an attempt is expected to end.
	highLatencyPercent = 99
)

// SeenLatency is what a VM has seen of the latency of attempts on a route lately. All values are 0 while it has seen none.
type SeenLatency struct {
	Median time.Duration
	// High is a latency that few attempts exceed. It is 0 while too few attempts are known.
	High    time.Duration
	Highest time.Duration
}

// UsualLatency returns the median latency of a route, or 0 while it is unknown.
func (t *Tracker) UsualLatency(route string) time.Duration {
	median, _ := t.quantile(route, medianPercent, 1)
	return median
}

// SeenLatency returns what is known of the latency of a route.
func (t *Tracker) SeenLatency(route string) (s SeenLatency) {
	s.Median, _ = t.quantile(route, medianPercent, 1)
	s.High, _ = t.quantile(route, highLatencyPercent, minLatencySamples)
	if l := t.routes[route]; l != nil {
		s.Highest = time.Duration(max(l.current.Max(), l.previous.Max())) * time.Microsecond
	}
	return s
}

// expectedLatency returns the time within which a request on a route is expected to be answered.
//
// A request that may run only once needs the high latency of the route, since its caller does not know after a timeout whether it has
// run. While that is not known, it needs the highest latency and no less than the objective. A repeatable request is sent to
// another leaf well before the objective if its leaf is slow, so it needs no more than the objective unless most attempts do. Once
// it was sent, more attempts cannot make its answer worse and need only the median. sent reports whether it was.
func expectedLatency(seen SeenLatency, route *routes.Route, sent bool) time.Duration {
	objective := route.Objective
	if objective <= 0 {
		objective = route.Timeout
	}
	high := seen.High
	if high == 0 {
		high = seen.Highest
	}
	switch {
	case high == 0:
		return objective
	case route.Repeatable && sent:
		return seen.Median
	case route.Repeatable:
		return max(seen.Median, min(high, objective))
	case seen.High == 0:
		return max(high, objective)
	}
	return high
}
