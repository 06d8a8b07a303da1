package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Choice is how a leaf is chosen.
type Choice string

// The choices. ChoiceRequests compares leaves by the requests that they have, and ChoiceWork by when they are expected to finish the
// request.
const (
	ChoiceRequests Choice = "requests"
	ChoiceWork     Choice = "work"
)

const (
	// minCostWeight is the least weight of an observation in the mean cost of a route, which covers about the last 200 attempts. A
	// query to 36 shards makes 36 of them.
	minCostWeight = 0.005
	// slownessWeight is the weight of an observation in the slowness of a leaf. Single requests vary by a third and one in 100 takes
	// five times as long, so it takes several to know a leaf.
	slownessWeight = 0.1
	// slownessHalfLife is the time in which the slowness of a leaf without new observations goes half of the way back to 1. The speed
	// of a leaf seldom changes, and a VM sends few requests to each of many leaves.
	slownessHalfLife = 30 * time.Second
	// spellHalfLife is the half-life of the last observation of a leaf, as far as it differs from its slowness. Noisy neighbours slow a
	// leaf for about 0.6 s.
	spellHalfLife = 300 * time.Millisecond
	// reportHalfLife is the half-life of the difference between a load report and the usual load of leaves.
	reportHalfLife = 100 * time.Millisecond
	// loadWeight is the weight of a load report in the usual load of leaves.
	loadWeight = 0.01
	// minSample is the least part of a latency that counts as the work of the attempt, whatever wait was expected.
	minSample = 0.6
	// overdueWork is the part of its expected work that an attempt still has which has taken longer than expected.
	overdueWork = 0.25
	// networkWeight is how fast the least latency of a zone rises while all replies take longer.
	networkWeight = 0.01
	// workJitter randomizes the choice between leaves of nearly the same expected finish, so that VMs do not all choose the same one
	// and a leaf that seems a little slower is still tried.
	workJitter = 0.1
	// sharedSlots is how much a request is slowed when all slots of its leaf are in use.
	sharedSlots = 0.25
)

// mean is a decaying mean.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x, minWeight float64) {
	m.n++
	m.value += max(1/float64(m.n), minWeight) * (x - m.value)
}

// workModel is what this VM knows of the cost of requests and the load of leaves. Costs are in nanoseconds at a leaf of slowness 1.
type workModel struct {
	routes map[string]*mean
	// all is the mean cost over all routes, and busy the mean number of requests that a leaf has of other VMs.
	all, busy mean
	// least holds low estimates of the latency from each availability zone. The difference to that of the own zone is the network.
	least map[model.AvailabilityZone]float64
}

func newWorkModel() workModel {
	return workModel{routes: map[string]*mean{}, least: map[model.AvailabilityZone]float64{}}
}

// cost returns the expected time of a request on a route at a leaf of slowness 1.
func (w *workModel) cost(route string) float64 {
	if c := w.routes[route]; c != nil {
		return c.value
	}
	return float64(defaultLatency)
}

// network returns how much longer a reply from a zone takes than one from the zone of this VM.
func (w *workModel) network(own, zone model.AvailabilityZone) float64 {
	if l, o := w.least[zone], w.least[own]; l > o && o > 0 {
		return l - o
	}
	return 0
}

// leafWork is what this VM knows of the speed of a leaf.
type leafWork struct {
	// slowness is the time of requests at the leaf divided by the mean of their route, and last that of the last one. Both are 0
	// before the first reply.
	slowness, last float64
	at             time.Time
}

// current returns the slowness that the next request is expected to meet.
func (l *leafWork) current(now time.Time) float64 {
	if l.slowness == 0 {
		return 1
	}
	usual := 1 + (l.slowness-1)*halved(now, l.at, slownessHalfLife)
	return max(usual+(l.last-usual)*halved(now, l.at, spellHalfLife), 0.1)
}

// workLeft returns the number of requests that a leaf is expected to have, and the work that is left of them: the own ones by their
// expected cost less what is done, and those of other VMs by the latest load report, which counts less with age, times the mean cost.
func (t *Tracker) workLeft(now time.Time, s *leafStats, slowness float64) (n, work float64) {
	for i := range s.inFlight {
		a := &s.inFlight[i]
		done := max(float64(now.Sub(a.startedAt))-a.wait, 0) / slowness
		work += max(a.cost-done, overdueWork*a.cost)
	}
	others := t.work.busy.value
	if !s.loadAt.IsZero() {
		reported := max(float64(s.load.Running+s.load.Waiting)-float64(len(s.inFlight)), 0)
		others += (reported - others) * halved(now, s.loadAt, reportHalfLife)
	}
	return float64(len(s.inFlight)) + others, work + others*t.work.all.value
}

// wait returns how long a new request is expected to wait for a slot of a leaf, at slowness 1.
func wait(n, work float64, slots int) float64 {
	if beyond := n + 1 - float64(slots); beyond > 0 && n > 0 {
		return work * min(beyond/n, 1) / float64(slots)
	}
	return 0
}

// finish returns when a leaf is expected to finish a request on a route.
func (t *Tracker) finish(now time.Time, route string, m *leaves.Member, s *leafStats) finish {
	slowness := s.work.current(now)
	if now.Sub(s.loadAt) < maxLoadAge && s.load.LatencyRatio > 1 {
		slowness = max(slowness, s.load.LatencyRatio)
	}
	slots := max(m.Slots, 1)
	n, work := t.workLeft(now, s, slowness)
	if now.Before(s.shedUntil) && n < float64(2*slots) {
		n, work = float64(2*slots), max(work, float64(2*slots)*t.work.all.value)
	}
	own := t.work.cost(route)
	return finish{
		slowness: slowness, requests: n, work: work, own: own, network: t.work.network(t.options.Zone, m.AvailabilityZone),
		atLeaf: (wait(n, work, slots) + own*(1+sharedSlots*min(n/float64(slots), 1))) * slowness,
	}
}

// finish is when a leaf is expected to finish a request. Times are in nanoseconds.
type finish struct {
	// requests is the number of requests that the leaf is expected to have, and work the work that is left of them.
	slowness, requests, work float64
	// own is the cost of the request at a leaf of slowness 1, atLeaf the time until the leaf has finished it, and network how much longer
	// a reply takes than one from the zone of this VM.
	own, atLeaf, network float64
}

// ratio returns the time in units of the cost of the request. The penalty for another zone applies to the work alone, so that the
// network counts once.
func (f *finish) ratio() float64 { return (f.atLeaf + f.network/zonePenalty) / f.own }

// expectWork sets the expected cost of an attempt that is started, and its wait at the leaf.
func (t *Tracker) expectWork(now time.Time, route string, m *leaves.Member, s *leafStats, a *inFlightAttempt) {
	slowness := s.work.current(now)
	n, work := t.workLeft(now, s, slowness)
	a.cost, a.wait = t.work.cost(route), wait(n, work, max(m.Slots, 1))*slowness
}

// observeWork records the reply to an attempt that the leaf has run.
func (t *Tracker) observeWork(now time.Time, route string, s *leafStats, a *inFlightAttempt, r *LeafReply, latency time.Duration) {
	w := &t.work
	total := float64(max(latency, minTypicalLatency))
	if least := w.least[s.zone]; least == 0 || total < least {
		w.least[s.zone] = total
	} else {
		w.least[s.zone] += networkWeight * (min(total, 2*least) - least)
	}
	sample := max(total-w.network(t.options.Zone, s.zone)-a.wait, minSample*total)
	c := w.routes[route]
	if c == nil {
		c = &mean{}
		w.routes[route] = c
	}
	usual := 1.0
	if s.work.slowness != 0 {
		usual = 1 + (s.work.slowness-1)*halved(now, s.work.at, slownessHalfLife)
	}
	if c.n > 0 {
		ratio := min(sample/c.value, maxLatencyRatio)
		s.work.slowness, s.work.last, s.work.at = usual+slownessWeight*(ratio-usual), ratio, now
		sample = ratio * c.value
	}
	c.add(sample, minCostWeight)
	w.all.add(sample, minCostWeight)
	if r.Load != nil {
		w.busy.add(max(float64(r.Load.Running+r.Load.Waiting-len(s.inFlight)), 0), loadWeight)
	}
}
