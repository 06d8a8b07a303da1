package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// minWeight is the least weight of a new observation in the moving averages of a leaf, which cover about the last ten
	// observations. Where observations are rare, the weight grows with the time since the last one, up to maxWeight, so that
	// the averages follow a leaf that becomes slow or fails within about weightSpan.
	minWeight  = 0.1
	maxWeight  = 0.4
	weightSpan = 2 * time.Second
	// halfLife is the time in which the averages of a leaf without new observations go half of the way back to those of a
	// typical leaf. Leaves that are avoided are not observed, and most faults of a leaf last 5 to 10 s.
	halfLife = 5 * time.Second
	// maxLatencyRatio limits an observation, so that one pause of a leaf does not count for more than a leaf that stays slow.
	maxLatencyRatio = 10
	// maxLoadAge is how long a load report is used. Leaves reply several times within it under ordinary traffic.
	maxLoadAge = 300 * time.Millisecond
	// stallFactor times the expected latency is the age of an unanswered attempt from which its leaf counts as stalled: twice
	// the latency is beyond nearly all of the spread of ordinary requests.
	stallFactor = 2
	// zonePenalty is the cost factor of a leaf in another availability zone, whose reply costs bytes between zones in
	// addition to its delay.
	zonePenalty = 2
	// notPreferredPenalty is the cost factor of a leaf that is not preferred, to which a connection has to be opened. It keeps
	// requests away from such leaves unless the preferred ones are slow or fail.
	notPreferredPenalty = 1.4
	// warmUpPenalty is how much slower a leaf is expected to be during its warm-up.
	warmUpPenalty = 1.6
	// failurePenalty scales the cost of a leaf by its failure rate: a leaf of the own zone that fails one request in 15 costs
	// as much as a healthy one in another zone, since each failure uses an extra attempt of the budget.
	failurePenalty = 15
	// costJitter randomizes the choice between leaves of nearly the same cost, so that VMs do not all choose the same one.
	costJitter = 0.1
	// ejectAfter is the number of consecutive failures after which a leaf is ejected. A refused connection and an
	// unresponsive leaf lead to an immediate ejection.
	ejectAfter = 3
	// minUnresponsiveTime is the least age of an unanswered attempt from which its leaf counts as unresponsive. Pauses of
	// healthy leaves end before it.
	minUnresponsiveTime = 250 * time.Millisecond
	// minEjectTime and maxEjectTime limit the time for which a leaf is ejected, which doubles with each ejection.
	minEjectTime = 300 * time.Millisecond
	maxEjectTime = 5 * time.Second
	// shedTime is how long a leaf counts as full after it shed a request.
	shedTime = 30 * time.Millisecond
	// maxHedgeDelayShare is the part of the objective after which an attempt is hedged at the latest: a second attempt needs
	// about as much time as the first.
	maxHedgeDelayShare = 0.4
	// latencyWindow is how long latencies count towards quantiles. It consists of two halves, each of which lasts longer on a
	// route with few requests, until it holds minLatencySamples.
	latencyWindow = 10 * time.Second
	// minTypicalLatency is the least latency that leaves are compared by. Below it the time on this VM outweighs that of the leaf.
	minTypicalLatency = time.Millisecond
	// maxLatency is the highest latency that is recorded; greater ones count as this value.
	maxLatency = time.Minute
	// minLatencySamples is the number of latencies that a high quantile needs, and minMedianSamples the number for the
	// median.
	minLatencySamples = 20
	minMedianSamples  = 5
)

type leafStats struct {
	// latencyRatio is the moving average of the latency relative to the typical one of the route. It is 0 before the
	// first reply. latencyRatioAt is when it was last updated.
	latencyRatio   float64
	latencyRatioAt time.Time
	// failureRate is the share of attempts that failed, got no reply or were rejected by a leaf that does not report that it is full,
	// last updated at failureRateAt.
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	inFlight            []inFlightAttempt
	// unansweredAt is the start of the last attempt that got no reply or no connection.
	unansweredAt time.Time
	zone         model.AvailabilityZone
	load         Load
	loadAt       time.Time
	// The leaf counts as full until shedUntil and is ejected until ejectedUntil. ejections counts the ejections since the last
	// success.
	shedUntil, ejectedUntil time.Time
	ejections               int
	// leaving is set once the leaf has replied that it is leaving. Until pausedUntil it asks not to be sent anything.
	leaving     bool
	pausedUntil time.Time
	lastUsed    time.Time
	work        leafWork
	counts      attemptCounts
	// rejectedAt is when the leaf last rejected a request because it was full.
	rejectedAt time.Time
	// alone is a low estimate of the latency without the queue of the leaf, in nanoseconds. served is the decaying number of
	// replies to requests that the leaf has run since servedSince.
	alone                          float64
	served                         float64
	aloneAt, servedAt, servedSince time.Time
}

type inFlightAttempt struct {
	startedAt time.Time
	// unresponsiveAfter is the age from which the leaf counts as unresponsive if the attempt is still unanswered.
	unresponsiveAfter time.Duration
	// cost is the expected work, and wait how long the attempt is expected to wait for a slot, both in nanoseconds. They are set with
	// ChoiceWork only.
	cost, wait float64
}

// latencies holds the latencies of a route in the two halves of the window.
type latencies struct {
	current, previous *latencyHalf
	since             time.Time
}

// latencyHalf holds the latencies of one half of the window.
type latencyHalf struct {
	*hdrhistogram.Histogram
	// quantiles holds the quantiles by their percent as of the latency with number refreshedAt.
	quantiles   map[float64]time.Duration
	refreshedAt int64
}

// unrefreshedShare is the share of new latencies up to which quantiles are not computed again. Each attempt needs some of them, and
// computing them each time took 6% of the processor time of a request to 54 shards.
const unrefreshedShare = 1.0 / 16

// newLatencyHalf returns an empty half whose quantiles with the given percents can be read.
func newLatencyHalf(percents ...float64) *latencyHalf {
	h := &latencyHalf{Histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 2), quantiles: map[float64]time.Duration{}}
	for _, p := range percents {
		h.quantiles[p] = 0
	}
	return h
}

// record adds a latency. Values above the limit count as the limit.
func (h *latencyHalf) record(latency time.Duration) {
	if err := h.RecordValue(min(latency, maxLatency).Microseconds()); err != nil {
		return
	}
	count := h.TotalCount()
	if float64(count-h.refreshedAt) <= unrefreshedShare*float64(h.refreshedAt) {
		return
	}
	h.refreshedAt = count
	for p := range h.quantiles {
		h.quantiles[p] = time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
	}
}

func (h *latencyHalf) reset() {
	h.Reset()
	h.refreshedAt = 0
}

// TrackerOptions are the settings of a tracker.
type TrackerOptions struct {
	Zone          model.AvailabilityZone
	HedgeQuantile float64
	// Choice is how leaves are compared. The zero value is ChoiceRequests.
	Choice Choice
}

// Tracker keeps the observations of this VM about leaves and availability zones, and chooses the leaf for an attempt. It is not
// safe for concurrent use.
type Tracker struct {
	options TrackerOptions
	random  *rand.Rand
	leaves  map[leaves.Key]*leafStats
	routes  map[string]*latencies
	zones   map[model.AvailabilityZone]*zoneStats
	// unobserved stands for leaves without observations. It is not changed.
	unobserved leafStats
	// zonesScannedAt is when the availability zones were last evaluated.
	zonesScannedAt time.Time
	// rejectedAt is when a full leaf last rejected a request.
	rejectedAt time.Time
	work       workModel
}

// NewTracker returns a tracker without observations.
func NewTracker(o TrackerOptions, random *rand.Rand) *Tracker {
	return &Tracker{
		options: o, random: random, leaves: map[leaves.Key]*leafStats{}, routes: map[string]*latencies{}, zones: map[model.AvailabilityZone]*zoneStats{},
		work: newWorkModel(),
	}
}

func (t *Tracker) statsOf(m *leaves.Member) *leafStats {
	k := m.Key()
	s := t.leaves[k]
	if s == nil {
		s = &leafStats{zone: m.AvailabilityZone}
		t.leaves[k] = s
	}
	return s
}

// Connections describes the connections of this VM to leaves.
type Connections interface {
	// AvailableConnections returns how many more attempts can be started at a leaf now.
	AvailableConnections(*leaves.Member) int
	// Prefers reports whether this VM keeps connections to the leaf. Other leaves are used when the preferred ones fail or are
	// slow.
	Prefers(*leaves.Member) bool
}

// Choose returns the leaf that is expected to reply first among those that were not tried and have an available
// connection, or nil. An ejected leaf is chosen only when there is no other, or for a single trial attempt once its
// ejection has ended. Leaves of unresponsive availability zones are chosen only when there is no other. A leaf that is
// leaving or has asked for a pause is never chosen. outliers holds the leaves with a high rate of bad attempts across
// all entry VMs.
func (t *Tracker) Choose(now time.Time, route string, list, tried []*leaves.Member, outliers leaves.Outliers, connections Connections) *leaves.Member {
	var p pick
	typical := t.typicalLatency(route)
	for _, m := range list {
		if slices.ContainsFunc(tried, func(x *leaves.Member) bool { return x.ID == m.ID }) {
			continue
		}
		s := t.observed(m)
		standing := t.standing(now, m, s, connections)
		cost := 0.0
		if standing == StandingEligible {
			c := t.cost(now, route, m, s, typical, outliers[m.Key().Incarnation], connections.Prefers(m))
			cost = c.Cost * (1 + t.jitter()*t.random.Float64())
		}
		p.add(m, standing, cost, s.ejectedUntil)
	}
	return p.leaf()
}

// requestsCost returns the expected latency of a leaf by the requests that it has, its latency ratio, and the number of those requests.
func (s *leafStats) requestsCost(now time.Time, m *leaves.Member) (cost, latencyRatio, busy float64) {
	latencyRatio = 1.0
	if s.latencyRatio != 0 {
		latencyRatio += (s.latencyRatio - 1) * decay(now, s.latencyRatioAt)
	}
	slots := max(m.Slots, 1)
	busy = float64(len(s.inFlight))
	if now.Sub(s.loadAt) < maxLoadAge {
		busy = max(busy, float64(s.load.Running)+float64(s.load.Waiting))
		if s.load.LatencyRatio > 1 {
			latencyRatio = max(latencyRatio, s.load.LatencyRatio)
		}
	}
	if now.Before(s.shedUntil) {
		busy = max(busy, float64(2*slots))
	}
	// Requests in the slots slow a leaf a little, and further ones have to wait for a slot.
	cost = latencyRatio * (1 + 0.25*busy/float64(slots) + max(0, busy+1-float64(slots))/float64(slots))
	return cost, latencyRatio, busy
}

// decay returns the part of an observation that still counts.
func decay(now, observed time.Time) float64 { return halved(now, observed, halfLife) }

// halved returns the part of an observation that still counts where it counts half after each half-life.
func halved(now, observed time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(now.Sub(observed)) / float64(halfLife))
}

// weight returns the weight of a new observation, by the time since the last one.
func weight(now, last time.Time) float64 {
	return min(max(float64(now.Sub(last))/float64(weightSpan), minWeight), maxWeight)
}

// AttemptStarted records the start of an attempt. The attempt counts as in flight until AttemptEnded gets the same start
// time.
func (t *Tracker) AttemptStarted(now time.Time, route string, m *leaves.Member) {
	s := t.statsOf(m)
	a := inFlightAttempt{startedAt: now, unresponsiveAfter: t.unresponsiveAfter(route)}
	if t.options.Choice == ChoiceWork {
		t.expectWork(now, route, m, s, &a)
	}
	s.inFlight = append(s.inFlight, a)
	s.lastUsed = now
}

// Verdict is what the result of an attempt changes for its leaf.
type Verdict struct {
	// Ejected is for how long the leaf is ejected, or 0.
	Ejected time.Duration
	// Paused is for how long the leaf has asked not to be sent anything, or 0.
	Paused time.Duration
	// Leaving reports whether this is the first reply in which the leaf states that it is leaving.
	Leaving bool
}

// AttemptEnded records the result of an attempt that was started at the given time. A cancelled attempt does not count for or
// against its leaf, unless the leaf was unresponsive by then. A request that the leaf has turned away with the wish for a pause
// is no failure of the leaf.
func (t *Tracker) AttemptEnded(now time.Time, route string, m *leaves.Member, started time.Time, result *AttemptResult, cancelled bool) (v Verdict) {
	s := t.statsOf(m)
	var a inFlightAttempt
	if i := slices.IndexFunc(s.inFlight, func(a inFlightAttempt) bool { return a.startedAt.Equal(started) }); i >= 0 {
		a = s.inFlight[i]
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	r := result.Reply
	if r != nil && r.Load != nil {
		s.load, s.loadAt = *r.Load, now
	}
	if r != nil {
		t.zoneOf(s.zone).lastReply = now
	}
	unresponsive := r == nil && result.Sent && result.Latency >= t.unresponsiveAfter(route)
	if unresponsive || result.Refused {
		s.unansweredAt = started
	}
	if r != nil && r.Leaving && !r.WrongLeaf {
		v.Leaving, s.leaving = !s.leaving, true
	}
	if r != nil && !r.WrongLeaf && r.Pause() > 0 {
		v.Paused = r.Pause()
		s.pausedUntil = later(s.pausedUntil, now.Add(v.Paused))
		return v
	}
	s.counts.add(result, unresponsive, cancelled, t.typicalLatency(route))
	switch {
	case cancelled && r == nil && !unresponsive:
	case r != nil && r.WrongLeaf:
		v.Ejected = s.eject(now, maxEjectTime)
	case r != nil && r.NotRun:
		s.shedUntil, s.rejectedAt, t.rejectedAt = now.Add(shedTime), now, now
		// A rejection counts against a full leaf too: it is how other VMs know at once that the leaf has no room.
		s.observeFailure(now, 1)
	case r != nil && r.Succeeded():
		s.consecutiveFailures, s.ejections = 0, 0
		s.observeFailure(now, 0)
		s.observeService(now, m, r, result.Latency)
		t.observeLatency(now, route, s, result.Latency)
		if t.options.Choice == ChoiceWork {
			t.observeWork(now, route, s, &a, r, result.Latency)
		}
	default:
		s.consecutiveFailures++
		s.observeFailure(now, 1)
		if result.Refused || unresponsive || s.consecutiveFailures >= ejectAfter {
			v.Ejected = s.eject(now, min(minEjectTime<<min(s.ejections, 10), maxEjectTime))
		}
	}
	return v
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// refuses reports whether the leaf wants no request of this VM.
func (s *leafStats) refuses(now time.Time) bool { return s.leaving || now.Before(s.pausedUntil) }

// Refuses reports whether the leaf wants no request of this VM: it is leaving, or has asked for a pause.
func (t *Tracker) Refuses(now time.Time, m *leaves.Member) bool {
	s := t.leaves[m.Key()]
	return s != nil && s.refuses(now)
}

// NextReturn returns when the first of the listed leaves that have asked for a pause may be sent requests again. It is zero
// when none has, or when another leaf of the list may be sent requests now.
func (t *Tracker) NextReturn(now time.Time, list []*leaves.Member) (first time.Time) {
	for _, m := range list {
		s := t.leaves[m.Key()]
		switch {
		case s == nil || !s.refuses(now):
			return time.Time{}
		case !s.leaving && (first.IsZero() || s.pausedUntil.Before(first)):
			first = s.pausedUntil
		}
	}
	return first
}

// PauseEnd returns when the first of the listed leaves that were not tried and have asked for a pause may be sent requests again. It is
// zero when none has.
func (t *Tracker) PauseEnd(now time.Time, list, tried []*leaves.Member) (first time.Time) {
	for _, m := range list {
		s := t.leaves[m.Key()]
		if s == nil || s.leaving || !s.refuses(now) || slices.ContainsFunc(tried, func(x *leaves.Member) bool { return x.ID == m.ID }) {
			continue
		}
		if first.IsZero() || s.pausedUntil.Before(first) {
			first = s.pausedUntil
		}
	}
	return first
}

// unresponsiveAfter returns the age from which an unanswered attempt on the route means that its leaf is unresponsive.
func (t *Tracker) unresponsiveAfter(route string) time.Duration {
	return max(minUnresponsiveTime, stallFactor*t.typicalLatency(route))
}

// observeFailure updates the failure rate, with 1 for a failure and 0 for a success.
func (s *leafStats) observeFailure(now time.Time, failed float64) {
	w := weight(now, s.failureRateAt)
	s.failureRate *= decay(now, s.failureRateAt)
	s.failureRate += w * (failed - s.failureRate)
	s.failureRateAt = now
}

func (s *leafStats) eject(now time.Time, d time.Duration) time.Duration {
	s.ejections++
	s.consecutiveFailures = 0
	s.ejectedUntil = now.Add(d)
	return d
}

func (t *Tracker) observeLatency(now time.Time, route string, s *leafStats, latency time.Duration) {
	typical := t.typicalLatency(route)
	l := t.routes[route]
	if l == nil {
		percents := []float64{medianPercent, highLatencyPercent, t.hedgePercent()}
		l = &latencies{current: newLatencyHalf(percents...), previous: newLatencyHalf(percents...), since: now}
		t.routes[route] = l
	}
	if now.Sub(l.since) > latencyWindow/2 && l.current.TotalCount() >= minLatencySamples {
		l.current, l.previous = l.previous, l.current
		l.current.reset()
		l.since = now
	}
	l.current.record(latency)
	ratio := float64(max(latency, minTypicalLatency)) / float64(typical)
	if s.latencyRatio == 0 {
		s.latencyRatio, s.latencyRatioAt = ratio, now
	}
	w := weight(now, s.latencyRatioAt)
	s.latencyRatio = 1 + (s.latencyRatio-1)*decay(now, s.latencyRatioAt)
	s.latencyRatio += w * (min(ratio, maxLatencyRatio) - s.latencyRatio)
	s.latencyRatioAt = now
}

// defaultLatency is used as the typical latency of a route before there are enough observations.
const defaultLatency = 25 * time.Millisecond

// typicalLatency returns the median latency of a route, or defaultLatency while there are too few observations.
func (t *Tracker) typicalLatency(route string) time.Duration {
	if d, ok := t.quantile(route, medianPercent, minMedianSamples); ok {
		return d
	}
	return defaultLatency
}

// quantile returns a quantile of the half of the window with more latencies, if it holds at least minSamples of them.
func (t *Tracker) quantile(route string, percent float64, minSamples int64) (time.Duration, bool) {
	l := t.routes[route]
	if l == nil {
		return 0, false
	}
	half := l.current
	if l.previous.TotalCount() > half.TotalCount() {
		half = l.previous
	}
	if half.TotalCount() < minSamples {
		return 0, false
	}
	return max(half.quantiles[percent], minTypicalLatency), true
}

func (t *Tracker) hedgePercent() float64 { return 100 * t.options.HedgeQuantile }

// HedgeDelay returns the delay after which an attempt on a route is hedged: a quantile of the latency, but at most a part of
// the objective, because a later hedge would answer too late. That part is also the delay while there are too few latencies.
func (t *Tracker) HedgeDelay(route string, objective time.Duration) time.Duration {
	limit := time.Duration(maxHedgeDelayShare * float64(objective))
	if d, ok := t.quantile(route, t.hedgePercent(), minLatencySamples); ok {
		return min(d, limit)
	}
	return limit
}

// Prune removes the observations of leaves that were last used before the given time and whose pause had ended by then.
func (t *Tracker) Prune(before time.Time) {
	for k, s := range t.leaves {
		if len(s.inFlight) == 0 && s.lastUsed.Before(before) && s.pausedUntil.Before(before) {
			delete(t.leaves, k)
		}
	}
}
