package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// randomConnections has no connection to some leaves, and prefers some.
type randomConnections map[string]int

func (c randomConnections) AvailableConnections(m *leaves.Member) int { return c[m.ID] % 4 }
func (c randomConnections) Prefers(m *leaves.Member) bool             { return c[m.ID] < 8 }

// newObservedTracker returns a tracker with random observations of six leaves, and the source of its random numbers.
func newObservedTracker(choice Choice, seed uint64) (*Tracker, *rand.PCG, []*leaves.Member, leaves.Outliers, randomConnections, time.Time) {
	random, source := rand.New(rand.NewPCG(seed, 1)), rand.NewPCG(seed, 2)
	t := NewTracker(TrackerOptions{Zone: "z0", Choice: choice}, rand.New(source))
	now, outliers, connections := time.Unix(1000, 0), leaves.Outliers{}, randomConnections{}
	var list []*leaves.Member
	for i := range 6 {
		m := &leaves.Member{Leaf: leaves.Leaf{ID: fmt.Sprint("l", i), AvailabilityZone: model.AvailabilityZone(fmt.Sprint("z", i%3)), Slots: 2}}
		if random.IntN(4) == 0 {
			m.WarmAt = now.Add(time.Hour)
		}
		if random.IntN(4) == 0 {
			outliers[m.Key().Incarnation] = random.Float64()
		}
		connections[m.ID] = random.IntN(12)
		list = append(list, m)
	}
	for range random.IntN(60) {
		m, started := list[random.IntN(len(list)-1)], now // One leaf stays unobserved.
		t.AttemptStarted(started, "r", m)
		now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
		reply := &LeafReply{Status: 200, Signature: "s", Load: &Load{Running: random.IntN(4), Waiting: random.IntN(3), Slots: 2}}
		result := AttemptResult{Reply: reply, Sent: true, Latency: now.Sub(started)}
		switch random.IntN(24) {
		case 0:
			reply.NotRun, reply.RetryAfter = true, 20*time.Millisecond
		case 1:
			reply.Leaving = true
		case 2, 3:
			reply.NotRun = true
		case 4:
			result = AttemptResult{Refused: true}
		case 5, 6:
			continue // The attempt stays unanswered.
		}
		t.AttemptEnded(now, "r", m, started, &result, false)
	}
	if random.IntN(4) == 0 {
		t.zoneOf("z1").unresponsive = true
	}
	return t, source, list, outliers, connections, now
}

// Guards against an explanation that differs from the choice, that leaves out a leaf that may be chosen, and against one that changes
// the next choice.
func TestExplainedChoiceIsTheRealOne(t *testing.T) {
	for _, choice := range []Choice{ChoiceRequests, ChoiceWork} {
		standings := map[Standing]int{}
		for seed := range uint64(400) {
			tracker, source, list, outliers, connections, now := newObservedTracker(choice, seed)
			untouched, _, _, _, _, _ := newObservedTracker(choice, seed)
			candidates := tracker.Compare(now, "r", list, outliers, connections, nil)
			require.Equal(t, untouched, tracker, "the explanation has changed the tracker")
			require.Len(t, candidates, len(list))
			byLeaf := map[*leaves.Member]*Candidate{}
			for i := range candidates {
				byLeaf[candidates[i].Leaf] = &candidates[i]
			}
			// The same numbers as Choose draws make the explained costs those that it compares.
			state, err := source.MarshalBinary()
			require.NoError(t, err)
			draws := &rand.PCG{}
			require.NoError(t, draws.UnmarshalBinary(state))
			var want, likely *leaves.Member
			least := 0.0
			for _, m := range list {
				c := byLeaf[m]
				standings[c.Standing]++
				if c.Likely {
					require.Nil(t, likely)
					likely = m
				}
				if c.Standing != StandingEligible {
					continue
				}
				if cost := c.Cost + (c.MaxCost-c.Cost)*rand.New(draws).Float64(); want == nil || cost < least {
					want, least = m, cost
				}
			}
			if want == nil {
				want = likely
			}
			got := tracker.Choose(now, "r", list, nil, outliers, connections)
			require.Same(t, want, got, "choice %s, seed %d", choice, seed)
			if got != nil {
				require.True(t, byLeaf[got].Possible)
				require.Same(t, likely, candidates[0].Leaf)
			}
		}
		for _, s := range []Standing{StandingEligible, StandingNoConnection, StandingLeaving, StandingPaused, StandingEjected, StandingZoneUnresponsive} {
			require.Positive(t, standings[s], s)
		}
	}
}

// Guards against an explained leaf that the request must not get, or for which there is no unit of its warm-up rate.
func TestRestrictedLeavesAreNotLikely(t *testing.T) {
	tracker, _, list, outliers, connections, now := newObservedTracker(ChoiceWork, 3)
	first := tracker.Compare(now, "r", list, outliers, connections, nil)[0]
	for _, s := range []Standing{StandingEvacuated, StandingOtherRegion, StandingNoColdUnit} {
		for _, c := range tracker.Compare(now, "r", list, outliers, connections, func(m *leaves.Member) Standing {
			if m == first.Leaf {
				return s
			}
			return StandingEligible
		}) {
			if c.Leaf == first.Leaf {
				require.Equal(t, s, c.Standing)
				require.False(t, c.Possible)
			}
		}
	}
}

// Guards against a budget that is shown other than it is applied, and against one that is used by being shown.
func TestShownBudgetIsTheAppliedOne(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b, shown := NewBudget(0.4), NewBudget(0.4)
	l, now := BudgetLimits{Ratio: 0.2, Slack: 3, Window: 2 * time.Second}, time.Unix(1000, 0)
	for range 2000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		hedge := random.IntN(2) == 0
		use := shown.Use(now, l, hedge)
		require.Equal(t, use, shown.Use(now, l, hedge))
		if random.IntN(3) == 0 {
			b.CountFirst(now, l)
			shown.CountFirst(now, l)
			continue
		}
		ok := b.TryExtra(now, l, hedge)
		require.Equal(t, ok, use.AllowsOne())
		require.Equal(t, ok, shown.TryExtra(now, l, hedge))
	}
}
