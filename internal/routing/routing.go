// Package routing chooses the target of an attempt among candidates. It is pure: randomness is an argument.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// The parts of a candidate's rank. A lower rank is better, and the parts are ordered by their cost: another
// availability zone adds about a millisecond, a full target makes the attempt wait, one that was tried already has
// proved slow or failing, and an ejected one may be unreachable and cost the query its deadline.
const (
	rankOtherZone = 1 << iota
	rankFull
	rankTried
	rankEjected
	// rankUnusable is the rank of a candidate that this VM may not connect to.
	rankUnusable
)

// minLatency is the lower limit of latencies, so that the ratio of two very fast targets does not outweigh their
// in-flight counts. It is also used for candidates while none has a known latency.
const minLatency = 100 * time.Microsecond

// minWeight is the lower limit of the weight of a target in slow start, so that it gets some attempts.
const minWeight = 0.01

func rank(c *model.Candidate) int {
	if c.Limit <= 0 {
		return rankUnusable
	}
	r := 0
	if !c.SameZone {
		r |= rankOtherZone
	}
	if c.InFlight+c.Queued >= c.Limit {
		r |= rankFull
	}
	if c.Ejected {
		r |= rankEjected
	}
	if c.Tried {
		r |= rankTried
	}
	return r
}

// bestRank returns the lowest rank among the candidates, or rankUnusable if there is none.
func bestRank(candidates []model.Candidate) int {
	best := rankUnusable
	for i := range candidates {
		best = min(best, rank(&candidates[i]))
	}
	return best
}

// Random chooses among the candidates of the best rank with probabilities proportional to their weights. It returns
// -1 if none is usable.
func Random(candidates []model.Candidate, random *rand.Rand) int {
	best := bestRank(candidates)
	if best == rankUnusable {
		return -1
	}
	chosen, total := -1, 0.0
	for i := range candidates {
		if rank(&candidates[i]) != best {
			continue
		}
		w := max(candidates[i].Weight, minWeight)
		total += w
		if random.Float64()*total < w {
			chosen = i
		}
	}
	return chosen
}

// maxSameZoneCostRatio is how much more than a target elsewhere the best one in this VM's availability zone may cost
// and still be chosen. Without a limit, this VM would send everything to the only replica of a shard in its zone,
// even if that replica straggles.
const maxSameZoneCostRatio = 2

// LeastLoaded chooses the candidate of the best rank that is expected to reply first: the one with the lowest product
// of this VM's own attempts there and the recent latency, divided by its weight. This VM's own availability zone is
// preferred until that costs too much. It returns -1 if none is usable.
func LeastLoaded(candidates []model.Candidate, random *rand.Rand) int {
	best := bestRank(candidates)
	if best == rankUnusable {
		return -1
	}
	chosen, cost := cheapest(candidates, best, random)
	if best&rankOtherZone != 0 {
		return chosen
	}
	if other, otherCost := cheapest(candidates, best|rankOtherZone, random); other >= 0 && cost > maxSameZoneCostRatio*otherCost {
		return other
	}
	return chosen
}

// cheapest returns the candidate of the wanted rank with the lowest cost, and the cost. Ties are broken at random, so
// that VMs with the same view do not all send to the same target.
func cheapest(candidates []model.Candidate, wanted int, random *rand.Rand) (int, float64) {
	defaultLatency := lowestLatency(candidates, wanted)
	chosen, ties, lowest := -1, 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if rank(c) != wanted {
			continue
		}
		cost := expectedCost(c, defaultLatency)
		switch {
		case chosen < 0 || cost < lowest:
			chosen, ties, lowest = i, 1, cost
		case cost == lowest:
			ties++
			if random.IntN(ties) == 0 {
				chosen = i
			}
		}
	}
	return chosen, lowest
}

// lowestLatency returns the lowest known latency of the candidates of the wanted rank. It is used for targets without
// a known latency, so that they get attempts and their latency becomes known.
func lowestLatency(candidates []model.Candidate, wanted int) time.Duration {
	var lowest time.Duration
	for i := range candidates {
		c := &candidates[i]
		if rank(c) == wanted && c.Latency > 0 && (lowest == 0 || c.Latency < lowest) {
			lowest = c.Latency
		}
	}
	return max(lowest, minLatency)
}

// reportedLoadShare is the weight of the load that a target reports relative to this VM's own counts. It is small,
// because reports lag or mislead; it only breaks ties.
const reportedLoadShare = 0.01

func expectedCost(c *model.Candidate, defaultLatency time.Duration) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	ownLoad := float64(c.InFlight + c.Queued + 1)
	reportedLoad := 0.0
	if c.Target.Slots > 0 {
		reportedLoad = min(1, float64(c.Target.Load.InFlight+c.Target.Load.Queued)/float64(c.Target.Slots))
	}
	return (ownLoad + reportedLoadShare*reportedLoad) * float64(max(latency, minLatency)) / max(c.Weight, minWeight)
}

// PreferOtherZone moves the candidates for a hedge that are outside the straggler's availability zone to the front
// and returns them, since the zone itself may be slow. If no usable one is outside it, all candidates are returned.
func PreferOtherZone(candidates []model.Candidate, straggler model.AvailabilityZone) []model.Candidate {
	n := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Target.AvailabilityZone == straggler || rank(c) >= rankTried {
			continue
		}
		candidates[n], candidates[i] = candidates[i], candidates[n]
		n++
	}
	if n == 0 {
		return candidates
	}
	return candidates[:n]
}

// CountUntried returns how many candidates are usable, not ejected and not tried.
func CountUntried(candidates []model.Candidate) int {
	n := 0
	for i := range candidates {
		if rank(&candidates[i]) < rankTried {
			n++
		}
	}
	return n
}
