package leaves

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// evidenceHalfLife is the time in which half of what was reported of a leaf is forgotten. Most troubles of a leaf last 5
	// to 10 s, and a leaf that is avoided is not reported any more.
	evidenceHalfLife = time.Second
	// goodAttempts is the number of good attempts that are assumed beside the reported ones, so that a few bad ones at a
	// leaf with little traffic are no trouble.
	goodAttempts = 3
	// troubleShare is the share of bad attempts from which a leaf is in trouble. Usual pauses of leaves make up to 6% of their
	// attempts slow.
	troubleShare = 0.2
	// shareSteps is the number of steps in which shares are told, so that small changes are no news.
	shareSteps = 10
	// leastAttempts is the number of attempts below which evidence is forgotten.
	leastAttempts = 0.5
)

// Evidence is what VMs saw of one leaf: the attempts that ended, and those of them that failed or took several times as long
// as is usual.
type Evidence struct {
	Leaf          Incarnation
	Attempts, Bad float64
}

// share returns the share of bad attempts.
func (e *Evidence) share() float64 { return e.Bad / (e.Attempts + goodAttempts) }

// told returns the share in the steps in which it is told.
func (e *Evidence) told() float64 { return math.Round(shareSteps*e.share()) / shareSteps }

// round coarsens evidence to whole numbers, so that other VMs are told only of changes that matter to them.
func (e *Evidence) round() {
	share := e.told()
	e.Attempts = math.Exp2(max(0, math.Round(math.Log2(e.Attempts))))
	e.Bad = min(math.Round(share*(e.Attempts+goodAttempts)), e.Attempts)
}

// Trouble holds the leaves in trouble with the share of their attempts that are bad. It is immutable.
type Trouble map[Incarnation]float64

// TroubleBoard gathers on a control VM what entry VMs report of leaves.
type TroubleBoard struct {
	reported map[Incarnation]*fading
}

// fading is evidence that counts less with time.
type fading struct {
	attempts, bad float64
	at            time.Time
}

// NewTroubleBoard returns an empty board.
func NewTroubleBoard() *TroubleBoard {
	return &TroubleBoard{reported: map[Incarnation]*fading{}}
}

func (f *fading) age(now time.Time) {
	kept := math.Exp2(-float64(now.Sub(f.at)) / float64(evidenceHalfLife))
	f.attempts, f.bad, f.at = f.attempts*kept, f.bad*kept, now
}

// Report takes what an entry VM saw since its last report.
func (b *TroubleBoard) Report(now time.Time, list []Evidence) {
	for _, e := range list {
		f := b.reported[e.Leaf]
		if f == nil {
			f = &fading{at: now}
			b.reported[e.Leaf] = f
		}
		f.age(now)
		f.attempts, f.bad = f.attempts+e.Attempts, f.bad+e.Bad
	}
}

// Gathered returns the evidence of leaves that are in trouble by the reports to this VM alone, for other control VMs, in the
// order of the leaves. It forgets what has faded.
func (b *TroubleBoard) Gathered(now time.Time) []Evidence {
	var out []Evidence
	for k, f := range b.reported {
		if f.age(now); f.attempts < leastAttempts {
			delete(b.reported, k)
			continue
		}
		if e := (Evidence{k, f.attempts, f.bad}); e.share() >= troubleShare {
			e.round()
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y Evidence) int {
		return cmp.Or(cmp.Compare(x.Leaf.ID, y.Leaf.ID), cmp.Compare(x.Leaf.BornMS, y.Leaf.BornMS))
	})
	return out
}

// Trouble returns the leaves in trouble by the reports to this VM and by what other control VMs have gathered.
func (b *TroubleBoard) Trouble(now time.Time, others ...[]Evidence) Trouble {
	sums := map[Incarnation]Evidence{}
	for k, f := range b.reported {
		f.age(now)
		sums[k] = Evidence{k, f.attempts, f.bad}
	}
	for _, list := range others {
		for _, e := range list {
			s := sums[e.Leaf]
			sums[e.Leaf] = Evidence{e.Leaf, s.Attempts + e.Attempts, s.Bad + e.Bad}
		}
	}
	out := Trouble{}
	for k, e := range sums {
		if e.share() >= troubleShare {
			out[k] = e.told()
		}
	}
	return out
}
