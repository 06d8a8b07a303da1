package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// Standing is whether and why a leaf can be chosen.
type Standing string

// The standings. An ejected leaf, and one of an unresponsive availability zone, is chosen only when no leaf is eligible.
const (
	StandingEligible Standing = "eligible"
	// StandingEvacuated and StandingOtherRegion mean that the request must not be sent to the leaf.
	StandingEvacuated    Standing = "evacuated"
	StandingOtherRegion  Standing = "region_not_allowed"
	StandingNoConnection Standing = "no_connection"
	StandingLeaving      Standing = "leaving"
	StandingPaused       Standing = "paused"
	StandingEjected      Standing = "ejected"
	// StandingOnTrial means that the ejection has ended and one trial attempt is unanswered.
	StandingOnTrial          Standing = "on_trial"
	StandingZoneUnresponsive Standing = "zone_unresponsive"
	// StandingNoColdUnit means that the leaf is cold and this VM holds no unit of its warm-up rate.
	StandingNoColdUnit Standing = "no_cold_unit"
)

// isFallback reports whether a leaf with the standing is chosen when no leaf is eligible.
func (s Standing) isFallback() bool {
	return s == StandingEjected || s == StandingOnTrial || s == StandingZoneUnresponsive
}

// LeafCost is the cost of a leaf that is compared with that of others, and what it consists of.
type LeafCost struct {
	// Cost is in units of the typical latency of the route, without the random part.
	Cost float64
	// Requests is the number of requests that the leaf is expected to have, those of other VMs included. WorkLeft is the work that is
	// left of them; it is known with ChoiceWork only, as is Network, how much longer a reply takes than one from the zone of this VM.
	Requests          float64
	WorkLeft, Network time.Duration
	// Slowness is the latency of the leaf relative to the typical one, and Finish the time in which it is expected to finish the request.
	Slowness float64
	Finish   time.Duration
	// FailureRate is the larger of the failure rate that this VM has seen and OutlierRate, the rate of bad attempts across all entry VMs,
	// which is 0 unless the leaf is an outlier.
	FailureRate, OutlierRate float64
	// Stalled reports whether an attempt of this VM at the leaf is unanswered for longer than is usual.
	Stalled, OtherZone, Cold, NotPreferred bool
}

// cost returns the expected latency of a leaf, weighted with its failures, in units of the typical latency of the route.
// badRate is the rate of bad attempts at the leaf across all entry VMs, if it is an outlier.
func (t *Tracker) cost(now time.Time, route string, m *leaves.Member, s *leafStats, typical time.Duration, badRate float64, preferred bool) LeafCost {
	c := LeafCost{OutlierRate: badRate, OtherZone: m.AvailabilityZone != t.options.Zone, Cold: now.Before(m.WarmAt), NotPreferred: !preferred}
	var usualRatio float64
	if t.options.Choice == ChoiceWork {
		f := t.finish(now, route, m, s)
		c.Cost, usualRatio = f.ratio(), s.work.current(now)
		c.Requests, c.Slowness, c.WorkLeft = f.requests, f.slowness, time.Duration(f.work)
		c.Finish, c.Network = time.Duration(f.atLeaf), time.Duration(f.network)
	} else {
		c.Cost, usualRatio, c.Requests = s.requestsCost(now, m)
		c.Slowness, c.Finish = usualRatio, time.Duration(c.Cost*float64(typical))
	}
	if len(s.inFlight) > 0 {
		if age := now.Sub(s.inFlight[0].startedAt); float64(age) > stallFactor*usualRatio*float64(typical) {
			c.Cost += float64(age) / float64(typical)
			c.Stalled = true
		}
	}
	if c.OtherZone {
		c.Cost *= zonePenalty
	}
	if c.Cold {
		c.Cost *= warmUpPenalty
	}
	c.FailureRate = max(s.failureRate*decay(now, s.failureRateAt), badRate)
	c.Cost *= 1 + failurePenalty*c.FailureRate
	if c.NotPreferred {
		c.Cost *= notPreferredPenalty
	}
	return c
}

// jitter returns the largest random part of a cost.
func (t *Tracker) jitter() float64 {
	if t.options.Choice == ChoiceWork {
		return workJitter
	}
	return costJitter
}

// observed returns the observations of a leaf, which are not to be changed.
func (t *Tracker) observed(m *leaves.Member) *leafStats {
	if s := t.leaves[m.Key()]; s != nil {
		return s
	}
	return &t.unobserved
}

// standing returns whether a leaf can be chosen.
func (t *Tracker) standing(now time.Time, m *leaves.Member, s *leafStats, connections Connections) Standing {
	switch {
	case s.leaving:
		return StandingLeaving
	case s.refuses(now):
		return StandingPaused
	case connections.AvailableConnections(m) <= 0:
		return StandingNoConnection
	case now.Before(s.ejectedUntil):
		return StandingEjected
	case s.ejections > 0 && len(s.inFlight) > 0:
		return StandingOnTrial
	}
	if z := t.zones[m.AvailabilityZone]; z != nil && z.unresponsive {
		return StandingZoneUnresponsive
	}
	return StandingEligible
}

// pick finds the leaf to choose among those that are added to it: the eligible one with the least cost, or the one whose ejection ends
// first if none is eligible.
type pick struct {
	best, fallback *leaves.Member
	bestCost       float64
	fallbackUntil  time.Time
}

func (p *pick) add(m *leaves.Member, s Standing, cost float64, ejectedUntil time.Time) {
	switch {
	case s == StandingEligible && (p.best == nil || cost < p.bestCost):
		p.best, p.bestCost = m, cost
	case s.isFallback() && (p.fallback == nil || ejectedUntil.Before(p.fallbackUntil)):
		p.fallback, p.fallbackUntil = m, ejectedUntil
	}
}

// leaf returns the chosen leaf, or nil.
func (p *pick) leaf() *leaves.Member {
	if p.best == nil {
		return p.fallback
	}
	return p.best
}

// Candidate is one leaf of a service in a comparison.
type Candidate struct {
	Leaf     *leaves.Member
	Standing Standing
	// Until is when an ejection or a pause ends, or zero.
	Until time.Time
	// Full reports whether the leaf has turned a request of this VM away lately.
	Full bool
	// Connections is how many more attempts can be started at the leaf now, and InFlight how many of this VM are unanswered.
	Connections, InFlight int
	LeafCost
	// MaxCost is the cost with the largest random part.
	MaxCost float64
	// Likely marks the leaf with the least cost without the random part. Chosen now are this one and, by the random part, the others
	// with Possible.
	Likely, Possible bool
}

// Compare returns what Choose compares, the eligible leaves first and by cost. It changes nothing and draws no random number. standing may change the standing of an eligible leaf, for reasons that Choose does not know; it may be nil.
func (t *Tracker) Compare(now time.Time, route string, list []*leaves.Member, outliers leaves.Outliers, connections Connections, standing func(*leaves.Member) Standing) []Candidate {
	out := make([]Candidate, 0, len(list))
	typical := t.typicalLatency(route)
	var p pick
	for _, m := range list {
		s := t.observed(m)
		c := Candidate{
			Leaf: m, Standing: t.standing(now, m, s, connections), Full: now.Before(s.shedUntil), Connections: connections.AvailableConnections(m), InFlight: len(s.inFlight),
			LeafCost: t.cost(now, route, m, s, typical, outliers[m.Key().Incarnation], connections.Prefers(m)),
		}
		if standing != nil {
			c.restrict(standing(m))
		}
		switch c.Standing {
		case StandingEjected:
			c.Until = s.ejectedUntil
		case StandingPaused:
			c.Until = s.pausedUntil
		}
		c.MaxCost = c.Cost * (1 + t.jitter())
		p.add(m, c.Standing, c.Cost, s.ejectedUntil)
		out = append(out, c)
	}
	likely, limit := p.leaf(), p.bestCost*(1+t.jitter())
	for i := range out {
		c := &out[i]
		c.Likely = c.Leaf == likely
		c.Possible = c.Likely || c.Standing == StandingEligible && c.Cost < limit
	}
	slices.SortStableFunc(out, compareCandidates)
	return out
}

// restrict applies a standing for reasons that Choose does not know. A leaf that is not allowed is never compared; a missing unit counts only
// for a leaf that would be chosen.
func (c *Candidate) restrict(s Standing) {
	if s == StandingEvacuated || s == StandingOtherRegion || s != StandingEligible && (c.Standing == StandingEligible || c.Standing.isFallback()) {
		c.Standing = s
	}
}

// group orders candidates: the eligible ones, the one that is chosen when none is, the others that may be then, and the rest.
func (c *Candidate) group() int {
	switch {
	case c.Standing == StandingEligible:
		return 0
	case c.Likely:
		return 1
	case c.Standing.isFallback():
		return 2
	}
	return 3
}

func compareCandidates(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.group(), b.group()), a.Until.Compare(b.Until), cmp.Compare(a.Cost, b.Cost))
}
