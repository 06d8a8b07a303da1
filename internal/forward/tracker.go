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
	// leastWeight is the least weight of a new observation in the moving averages of a leaf, which follow about the last
	// ten. Where observations are rare, the weight grows with the time since the last one, up to mostWeight, so that
	// the averages follow a leaf that turns slow or fails within about weightSpan.
	leastWeight = 0.1
	mostWeight  = 0.4
	weightSpan  = 2 * time.Second
	// halfLife is the time in which half of what sets a leaf apart is forgotten while nothing is observed of it. Leaves
	// that are avoided are not observed, and most troubles of a leaf last 5 to 10 s.
	halfLife = 5 * time.Second
	// paceMax bounds an observation, so that one pause of a leaf does not count for more than a leaf that stays slow.
	paceMax = 10
	// loadMaxAge is how long a load report counts. Leaves answer several times within it under usual traffic.
	loadMaxAge = 300 * time.Millisecond
	// stallFactor times the expected latency is the age of an unanswered attempt from which on its leaf counts as
	// stalled: twice is beyond nearly all of the spread of usual work.
	stallFactor = 2
	// farPenalty prices an answer from another availability zone, which costs bytes between zones besides its delay.
	farPenalty = 2
	// otherPenalty keeps requests away from leaves that are not preferred, to which a connection has to be opened, unless the
	// preferred ones are slow or fail.
	otherPenalty = 1.4
	// warmPenalty is how much slower a leaf is expected to be until it is warm.
	warmPenalty = 1.6
	// failurePenalty scales the expected latency of a leaf by its share of failures: a leaf of the own zone that fails one
	// request in 15 costs as much as a sound one far away, since each failure takes an attempt from the repeat budget.
	failurePenalty = 15
	// spread randomizes the choice between leaves of nearly the same expectation, so that VMs do not all choose one.
	spread = 0.1
	// ejectAfter is the number of failures in a row that ejects a leaf. An unopened connection ejects at once.
	ejectAfter = 3
	// silenceMin is the least age of an unanswered attempt that shows its leaf to be silent. Pauses of sound leaves end
	// before it.
	silenceMin = 250 * time.Millisecond
	// ejectMin and ejectMax bound the time for which a leaf is ejected, which doubles each time.
	ejectMin = 300 * time.Millisecond
	ejectMax = 5 * time.Second
	// shedPause is how long a leaf that shed a request counts as full.
	shedPause = 30 * time.Millisecond
	// hedgeLimit is the part of the objective that an attempt may take before it is hedged: a second attempt needs
	// about as much time as the first.
	hedgeLimit = 0.4
	// latencyWindow is how long latencies count towards quantiles, in two halves. A half lasts longer on a route with few
	// requests, until it holds latencyMinSamples.
	latencyWindow = 10 * time.Second
	// latencyMax bounds the latencies that are told apart.
	latencyMax = time.Minute
	// latencyMinSamples is the number of latencies from which on a high quantile is used, and medianMinSamples the number
	// for the median.
	latencyMinSamples = 20
	medianMinSamples  = 5
)

type leafStats struct {
	// pace is the latency relative to what is usual for the route. It is 0 before the first answer. paceAt is when it was
	// observed last.
	pace   float64
	paceAt time.Time
	// failures is the share of attempts that failed, were shed or got no answer, observed last at failuresAt.
	failures   float64
	failuresAt time.Time
	inRow      int
	started    []startedAttempt
	// unansweredAt is when the last attempt began that got no answer, or no connection.
	unansweredAt time.Time
	zone         model.AvailabilityZone
	load         Load
	loadAt       time.Time
	// shedUntil and ejectedUntil keep requests away for a while. ejections counts those without a success since.
	shedUntil, ejectedUntil time.Time
	ejections               int
	used                    time.Time
	counts                  attemptCounts
}

type startedAttempt struct {
	at time.Time
	// patience is the age from which on the attempt shows its leaf to be silent.
	patience time.Duration
}

type latencies struct {
	current, previous *hdrhistogram.Histogram
	since             time.Time
}

// TrackerOptions are the settings of a tracker.
type TrackerOptions struct {
	Zone          model.AvailabilityZone
	HedgeQuantile float64
}

// Tracker keeps what this VM observes of leaves, and chooses among them. It is not safe for concurrent use.
type Tracker struct {
	options TrackerOptions
	random  *rand.Rand
	leaves  map[leaves.Key]*leafStats
	routes  map[string]*latencies
	zones   map[model.AvailabilityZone]*zoneStats
	// scanned is when the availability zones were looked at last.
	scanned time.Time
}

// NewTracker returns a tracker without observations.
func NewTracker(o TrackerOptions, random *rand.Rand) *Tracker {
	return &Tracker{
		options: o, random: random, leaves: map[leaves.Key]*leafStats{}, routes: map[string]*latencies{}, zones: map[model.AvailabilityZone]*zoneStats{},
	}
}

func (t *Tracker) stats(m *leaves.Member) *leafStats {
	k := m.Key()
	s := t.leaves[k]
	if s == nil {
		s = &leafStats{zone: m.AvailabilityZone}
		t.leaves[k] = s
	}
	return s
}

// Connections tells of the connections of this VM to leaves.
type Connections interface {
	// Room returns how many more attempts a leaf can take now.
	Room(*leaves.Member) int
	// Prefers reports whether this VM keeps connections to the leaf. Others are for trouble.
	Prefers(*leaves.Member) bool
}

// Choose returns the leaf that is expected to answer first among those that were not tried and have room, or nil.
// Ejected leaves are chosen only when there is no other, or for a single trial once their time is over. Leaves of silent
// availability zones are chosen only when there is no other. Trouble is what all entry VMs together found.
func (t *Tracker) Choose(now time.Time, route string, list, tried []*leaves.Member, trouble leaves.Outliers, connections Connections) *leaves.Member {
	var best, ejected *leaves.Member
	var bestCost float64
	usual := t.usual(route)
	for _, m := range list {
		if slices.ContainsFunc(tried, func(x *leaves.Member) bool { return x.ID == m.ID }) || connections.Room(m) <= 0 {
			continue
		}
		s := t.stats(m)
		if now.Before(s.ejectedUntil) || s.ejections > 0 && len(s.started) > 0 || t.zone(m.AvailabilityZone).silent {
			if ejected == nil || s.ejectedUntil.Before(t.stats(ejected).ejectedUntil) {
				ejected = m
			}
			continue
		}
		cost := t.cost(now, m, s, usual, trouble[m.Key().Incarnation])
		if !connections.Prefers(m) {
			cost *= otherPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if best == nil {
		return ejected
	}
	return best
}

// cost is the expected latency, in units of the usual latency of the route. Trouble is the share of attempts at the leaf that all
// entry VMs together find bad.
func (t *Tracker) cost(now time.Time, m *leaves.Member, s *leafStats, usual time.Duration, trouble float64) float64 {
	pace := 1.0
	if s.pace != 0 {
		pace += (s.pace - 1) * remembered(now, s.paceAt)
	}
	slots := max(m.Slots, 1)
	busy := float64(len(s.started))
	if now.Sub(s.loadAt) < loadMaxAge {
		busy = max(busy, float64(s.load.Running+s.load.Waiting))
		if s.load.Pace > 1 {
			pace = max(pace, s.load.Pace)
		}
	}
	if now.Before(s.shedUntil) {
		busy = max(busy, float64(2*slots))
	}
	// Work in the slots slows a leaf a little, and work behind them has to wait for a slot.
	cost := pace * (1 + 0.25*busy/float64(slots) + max(0, busy+1-float64(slots))/float64(slots))
	if len(s.started) > 0 {
		if age := now.Sub(s.started[0].at); float64(age) > stallFactor*pace*float64(usual) {
			cost += float64(age) / float64(usual)
		}
	}
	if m.AvailabilityZone != t.options.Zone {
		cost *= farPenalty
	}
	if now.Before(m.WarmAt) {
		cost *= warmPenalty
	}
	failures := max(s.failures*remembered(now, s.failuresAt), trouble)
	cost *= 1 + failurePenalty*failures
	return cost * (1 + spread*t.random.Float64())
}

// remembered returns the part of an observation that still counts.
func remembered(now, observed time.Time) float64 {
	return math.Exp2(-float64(now.Sub(observed)) / float64(halfLife))
}

// weight returns the weight of a new observation after the last one.
func weight(now, last time.Time) float64 {
	return min(max(float64(now.Sub(last))/float64(weightSpan), leastWeight), mostWeight)
}

// Begin notes the start of an attempt.
func (t *Tracker) Begin(now time.Time, route string, m *leaves.Member) {
	s := t.stats(m)
	s.started = append(s.started, startedAttempt{at: now, patience: t.patience(route)})
	s.used = now
}

// Done notes the end of an attempt that began at a time. A cancelled attempt says nothing of the leaf, unless the leaf was
// silent for long. Done returns for how long the leaf is ejected because of this end, or 0.
func (t *Tracker) Done(now time.Time, route string, m *leaves.Member, began time.Time, end *AttemptEnd, cancelled bool) (ejected time.Duration) {
	s := t.stats(m)
	if i := slices.IndexFunc(s.started, func(a startedAttempt) bool { return a.at.Equal(began) }); i >= 0 {
		s.started = slices.Delete(s.started, i, i+1)
	}
	r := end.Reply
	if r != nil && r.Load != nil {
		s.load, s.loadAt = *r.Load, now
	}
	if r != nil {
		t.zone(s.zone).replied = now
	}
	silent := r == nil && end.Sent && end.Latency >= t.patience(route)
	if silent || end.Refused {
		s.unansweredAt = began
	}
	s.counts.add(end, silent, cancelled, t.usual(route))
	switch {
	case cancelled && r == nil && !silent:
	case r != nil && r.WrongLeaf:
		return s.eject(now, ejectMax)
	case r != nil && r.NotRun:
		s.shedUntil = now.Add(shedPause)
		s.observeFailure(now, 1)
	case r != nil && r.Succeeded():
		s.inRow, s.ejections = 0, 0
		s.observeFailure(now, 0)
		t.observe(now, route, s, end.Latency)
	default:
		s.inRow++
		s.observeFailure(now, 1)
		if end.Refused || silent || s.inRow >= ejectAfter {
			return s.eject(now, min(ejectMin<<min(s.ejections, 10), ejectMax))
		}
	}
	return 0
}

// patience returns the age from which on an unanswered attempt shows its leaf to be silent.
func (t *Tracker) patience(route string) time.Duration {
	return max(silenceMin, stallFactor*t.usual(route))
}

// observeFailure takes a failure as 1 and a success as 0.
func (s *leafStats) observeFailure(now time.Time, failed float64) {
	w := weight(now, s.failuresAt)
	s.failures *= remembered(now, s.failuresAt)
	s.failures += w * (failed - s.failures)
	s.failuresAt = now
}

func (s *leafStats) eject(now time.Time, d time.Duration) time.Duration {
	s.ejections++
	s.inRow = 0
	s.ejectedUntil = now.Add(d)
	return d
}

func (t *Tracker) observe(now time.Time, route string, s *leafStats, latency time.Duration) {
	usual := t.usual(route)
	l := t.routes[route]
	if l == nil {
		l = &latencies{current: newHistogram(), previous: newHistogram(), since: now}
		t.routes[route] = l
	}
	if now.Sub(l.since) > latencyWindow/2 && l.current.TotalCount() >= latencyMinSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.since = now
	}
	// Values beyond the bound count as the bound.
	if err := l.current.RecordValue(min(latency, latencyMax).Microseconds()); err != nil {
		return
	}
	pace := float64(latency) / float64(usual)
	if s.pace == 0 {
		s.pace, s.paceAt = pace, now
	}
	w := weight(now, s.paceAt)
	s.pace = 1 + (s.pace-1)*remembered(now, s.paceAt)
	s.pace += w * (min(pace, paceMax) - s.pace)
	s.paceAt = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMax.Microseconds(), 2)
}

// defaultLatency stands for the usual latency of a route before there are enough observations.
const defaultLatency = 25 * time.Millisecond

func (t *Tracker) usual(route string) time.Duration {
	if d, ok := t.quantile(route, 50, medianMinSamples); ok {
		return d
	}
	return defaultLatency
}

// quantile returns a quantile of the half window with more latencies, if it holds a least number.
func (t *Tracker) quantile(route string, percent float64, least int64) (time.Duration, bool) {
	l := t.routes[route]
	if l == nil {
		return 0, false
	}
	a := l.current
	if l.previous.TotalCount() > a.TotalCount() {
		a = l.previous
	}
	if a.TotalCount() < least {
		return 0, false
	}
	return max(time.Duration(a.ValueAtQuantile(percent))*time.Microsecond, time.Millisecond), true
}

// HedgeAfter returns the delay after which an attempt on a route is hedged. A part of the objective stands for the
// quantile before it is known, and bounds it, because a later hedge would answer too late.
func (t *Tracker) HedgeAfter(route string, objective time.Duration) time.Duration {
	limit := time.Duration(hedgeLimit * float64(objective))
	if d, ok := t.quantile(route, 100*t.options.HedgeQuantile, latencyMinSamples); ok {
		return min(d, limit)
	}
	return limit
}

// Forget drops the observations of leaves that were not used since a time.
func (t *Tracker) Forget(before time.Time) {
	for k, s := range t.leaves {
		if len(s.started) == 0 && s.used.Before(before) {
			delete(t.leaves, k)
		}
	}
}
