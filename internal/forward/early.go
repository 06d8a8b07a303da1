package forward

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

const (
	// fullTime is how long the rejection by a full leaf is evidence that a service is full. A queue changes little within it.
	fullTime = 100 * time.Millisecond
	// minServed is the decayed number of replies from which the rate of a service is known.
	minServed = 5
	// servedHalfLife is the half-life of the number of replies. A pause of all leaves for 120 ms lowers the rate by 8%.
	servedHalfLife = time.Second
	// A request is refused early if it is expected to take several times the time left: refusalMargin times, and one more for
	// each rank better than lowRank, so that lower ranks are refused first. A wrong refusal costs its caller more than a late one.
	refusalMargin = 2
	lowRank       = 2
)

// observeService records a reply to a request that the leaf has run: the time that the request would at least have taken without the
// queue, and the reply for the rate of the leaf.
func (s *leafStats) observeService(now time.Time, m *leaves.Member, r *LeafReply, latency time.Duration) {
	if s.servedSince.IsZero() {
		s.servedSince = now
	}
	s.served, s.servedAt = s.served*halved(now, s.servedAt, servedHalfLife)+1, now
	if r.Load == nil {
		return
	}
	alone := float64(latency) / (1 + float64(r.Load.Waiting)/float64(slotsOf(m, r.Load)))
	if s.aloneAt.IsZero() || alone < s.alone {
		s.alone, s.aloneAt = alone, now
		return
	}
	// The queue may have become shorter while the request was in it, so a higher value counts little.
	s.alone += minWeight * (alone - s.alone)
	s.aloneAt = now
}

// slotsOf returns the slots of a leaf by its load report, or by its heartbeat if the report has none.
func slotsOf(m *leaves.Member, load *Load) int {
	if load.Slots > 0 {
		return load.Slots
	}
	return max(m.Slots, 1)
}

// ExpectedWhenFull returns the time within which a request to a service is expected to be answered at the earliest, if all leaves of the
// service that take requests are known to be full, and 0 otherwise. ahead is how many requests wait for a connection on this VM and
// come before it.
//
// A leaf is known to be full if its load report is recent and shows no free slot, and it has rejected a request within fullTime; the
// request would wait for the whole queue of the leaf. If requests wait on this VM, reports of all leaves are enough, and the wait is
// that for the replies to those ahead, at the rate of late.
func (t *Tracker) ExpectedWhenFull(now time.Time, list []*leaves.Member, ahead int) time.Duration {
	if ahead == 0 && now.Sub(t.rejectedAt) > fullTime {
		return 0
	}
	known, allRejected := 0, true
	var queue, served, rate float64
	for _, m := range list {
		s := t.leaves[m.Key()]
		if s != nil && s.refuses(now) {
			continue
		}
		if s == nil || now.Sub(s.loadAt) >= maxLoadAge || s.load.Running < slotsOf(m, &s.load) || s.load.Waiting == 0 {
			return 0
		}
		known++
		allRejected = allRejected && now.Sub(s.rejectedAt) <= fullTime && !s.aloneAt.IsZero()
		if expected := s.alone * (1 + float64(s.load.Waiting)/float64(slotsOf(m, &s.load))); queue == 0 || expected < queue {
			queue = expected
		}
		replies := s.served * halved(now, s.servedAt, servedHalfLife)
		served += replies
		// A steady rate adds up to this rate times the half-life divided by ln 2, and to less while the record is short.
		if steady := 1 - halved(now, s.servedSince, servedHalfLife); steady > 0 {
			rate += replies / steady * math.Ln2 / servedHalfLife.Seconds()
		}
	}
	if known == 0 {
		return 0
	}
	var expected time.Duration
	if allRejected {
		expected = time.Duration(queue)
	}
	if served >= minServed && rate > 0 {
		expected = max(expected, time.Duration(float64(ahead)/rate*float64(time.Second)))
	}
	return expected
}

// refuseFull returns the refusal of a request of which nothing was sent, if so many of its shards are full that it is certain to miss its
// deadline. It returns nil if the request can be sent.
func (r *Run) refuseFull(now time.Time) *Response {
	if !r.route.IsScatterGather() {
		return nil
	}
	left := r.deadline.Sub(now)
	margin := time.Duration(refusalMargin + max(lowRank-r.rank, 0))
	var ends []time.Time
	for i := range r.parts {
		if expected := r.env.ExpectedWhenFull(now, r.parts[i].service); expected > margin*left {
			ends = append(ends, now.Add(expected-left))
		}
	}
	if len(ends) == 0 || meetsCoverage(r.route, len(r.parts)-len(ends)) && len(ends) < len(r.parts) {
		return nil
	}
	r.refusedEarly = true
	return &Response{
		Kind: KindRefused, RetryAfter: retryAfter(now, r.route, ends), Missing: len(r.parts),
		Reason: fmt.Sprintf("the leaves of %d services are full for longer than the time left", len(ends)),
	}
}

// RefusedEarly reports whether the request was refused because services are full, before anything was sent.
func (r *Run) RefusedEarly() bool { return r.refusedEarly }
