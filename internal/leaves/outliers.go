package leaves

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// evidenceHalfLife is the half-life of the evidence about a leaf. Most faults of a leaf last 5 to 10 s, and a leaf that is
	// avoided is no longer reported.
	evidenceHalfLife = time.Second
	// assumedGoodAttempts is added to the reported attempts, so that a few bad attempts do not make a leaf with little traffic
	// an outlier.
	assumedGoodAttempts = 3
	// outlierRate is the rate of bad attempts from which a leaf is an outlier. Ordinary pauses of a leaf make up to 6% of its
	// attempts slow.
	outlierRate = 0.2
	// rateSteps is the number of steps to which published rates are rounded, so that small changes cause no update.
	rateSteps = 10
	// minAttempts is the decayed number of attempts below which evidence is removed.
	minAttempts = 0.5
)

// Evidence counts the attempts at one leaf that ended, and those of them that failed or took several times the typical
// latency.
type Evidence struct {
	Leaf          Incarnation
	Attempts, Bad float64
}

// rate returns the share of bad attempts, with assumedGoodAttempts added to the attempts.
func (e *Evidence) rate() float64 { return e.Bad / (e.Attempts + assumedGoodAttempts) }

// publishedRate returns the rate rounded to the steps in which it is published.
func (e *Evidence) publishedRate() float64 { return math.Round(rateSteps*e.rate()) / rateSteps }

// round coarsens evidence to whole numbers, so that other VMs get an update only for changes that matter to them.
func (e *Evidence) round() {
	rate := e.publishedRate()
	e.Attempts = math.Exp2(max(0, math.Round(math.Log2(e.Attempts))))
	e.Bad = min(math.Round(rate*(e.Attempts+assumedGoodAttempts)), e.Attempts)
}

// Outliers holds the leaves with a high rate of bad attempts, and this rate. It is immutable.
type Outliers map[Incarnation]float64

// OutlierBoard collects, on a control VM, the evidence that entry VMs report about leaves.
type OutlierBoard struct {
	evidence map[Incarnation]*decayingEvidence
}

// decayingEvidence is evidence whose counts decay with time.
type decayingEvidence struct {
	attempts, bad float64
	at            time.Time
}

// NewOutlierBoard returns an empty board.
func NewOutlierBoard() *OutlierBoard {
	return &OutlierBoard{evidence: map[Incarnation]*decayingEvidence{}}
}

func (d *decayingEvidence) decay(now time.Time) {
	kept := math.Exp2(-float64(now.Sub(d.at)) / float64(evidenceHalfLife))
	d.attempts, d.bad, d.at = d.attempts*kept, d.bad*kept, now
}

// Record adds the evidence that an entry VM collected since its last report.
func (b *OutlierBoard) Record(now time.Time, list []Evidence) {
	for _, e := range list {
		d := b.evidence[e.Leaf]
		if d == nil {
			d = &decayingEvidence{at: now}
			b.evidence[e.Leaf] = d
		}
		d.decay(now)
		d.attempts, d.bad = d.attempts+e.Attempts, d.bad+e.Bad
	}
}

// LocalEvidence returns, for other control VMs, the evidence about leaves that are outliers by the reports to this VM alone, in
// the order of the leaves. It removes evidence that has decayed.
func (b *OutlierBoard) LocalEvidence(now time.Time) []Evidence {
	var out []Evidence
	for k, d := range b.evidence {
		if d.decay(now); d.attempts < minAttempts {
			delete(b.evidence, k)
			continue
		}
		if e := (Evidence{k, d.attempts, d.bad}); e.rate() >= outlierRate {
			e.round()
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y Evidence) int {
		return cmp.Or(cmp.Compare(x.Leaf.ID, y.Leaf.ID), cmp.Compare(x.Leaf.BornMS, y.Leaf.BornMS))
	})
	return out
}

// Outliers returns the outliers by the reports to this VM and by the local evidence of other control VMs.
func (b *OutlierBoard) Outliers(now time.Time, others ...[]Evidence) Outliers {
	sums := map[Incarnation]Evidence{}
	for k, d := range b.evidence {
		d.decay(now)
		sums[k] = Evidence{k, d.attempts, d.bad}
	}
	for _, list := range others {
		for _, e := range list {
			s := sums[e.Leaf]
			sums[e.Leaf] = Evidence{e.Leaf, s.Attempts + e.Attempts, s.Bad + e.Bad}
		}
	}
	out := Outliers{}
	for k, e := range sums {
		if e.rate() >= outlierRate {
			out[k] = e.publishedRate()
		}
	}
	return out
}
