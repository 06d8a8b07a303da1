package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func candidate(zone model.AvailabilityZone, change func(*model.Candidate)) model.Candidate {
	c := model.Candidate{Target: &model.Target{Announcement: model.Announcement{AvailabilityZone: zone, Slots: 2}}, SameZone: zone == "a", Limit: 2, Weight: 1}
	if change != nil {
		change(&c)
	}
	return c
}

// countChoices counts how often each candidate is chosen.
func countChoices(choose func([]model.Candidate, *rand.Rand) int, candidates ...model.Candidate) []int {
	random := rand.New(rand.NewPCG(1, 1))
	out := make([]int, len(candidates))
	for i := 0; i < 1000; i++ {
		out[choose(candidates, random)]++
	}
	return out
}

// Guards against choosing a worse candidate while a better one exists, under both policies.
func TestRank(t *testing.T) {
	best := candidate("a", nil)
	otherZone := candidate("b", nil)
	full := candidate("a", func(c *model.Candidate) { c.InFlight, c.Queued = 1, 1 })
	tried := candidate("a", func(c *model.Candidate) { c.Tried = true })
	ejected := candidate("a", func(c *model.Candidate) { c.Ejected = true })
	unusable := candidate("a", func(c *model.Candidate) { c.Limit = 0 })
	order := []model.Candidate{best, otherZone, full, tried, ejected, unusable}
	for name, choose := range map[string]func([]model.Candidate, *rand.Rand) int{"random": Random, "least_loaded": LeastLoaded} {
		t.Run(name, func(t *testing.T) {
			for i := 0; i < len(order)-1; i++ {
				for j := i + 1; j < len(order); j++ {
					require.Equal(t, 1000, countChoices(choose, order[j], order[i])[1], "%d against %d", i, j)
				}
			}
			random := rand.New(rand.NewPCG(1, 1))
			require.Negative(t, choose([]model.Candidate{unusable}, random))
			require.Negative(t, choose(nil, random))
		})
	}
}

// Guards against a cold target that gets its whole share immediately.
func TestRandomFollowsWeights(t *testing.T) {
	cold := candidate("a", func(c *model.Candidate) { c.Weight = 0.1 })
	require.InDelta(t, 91, countChoices(Random, cold, candidate("a", nil))[0], 30)
	require.InDelta(t, 333, countChoices(Random, candidate("a", nil), candidate("a", nil), candidate("a", nil))[2], 60)
}

// Guards against load that goes to slow or busy targets, and against load reports that outweigh this
// VM's own counts.
func TestLeastLoaded(t *testing.T) {
	busy := candidate("a", func(c *model.Candidate) { c.InFlight = 1 })
	slow := candidate("a", func(c *model.Candidate) { c.Latency = 50 * time.Millisecond })
	quick := candidate("a", func(c *model.Candidate) { c.Latency = 5 * time.Millisecond })
	unknown := candidate("a", nil)
	cold := candidate("a", func(c *model.Candidate) { c.Weight = 0.5 })
	overreported := candidate("a", nil)
	overreported.Target.Load = model.Load{InFlight: 1000}
	require.Equal(t, 1000, countChoices(LeastLoaded, busy, unknown)[1])
	require.Equal(t, 1000, countChoices(LeastLoaded, slow, quick)[1])
	require.Equal(t, 1000, countChoices(LeastLoaded, slow, unknown, quick)[1]+countChoices(LeastLoaded, slow, unknown, quick)[2])
	require.Equal(t, 1000, countChoices(LeastLoaded, cold, unknown)[1])
	require.Equal(t, 1000, countChoices(LeastLoaded, busy, overreported)[1])
	require.InDelta(t, 500, countChoices(LeastLoaded, unknown, unknown)[0], 60)
	elsewhere := candidate("b", func(c *model.Candidate) { c.Latency = 9 * time.Millisecond })
	require.Equal(t, 1000, countChoices(LeastLoaded, slow, elsewhere)[1], "the straggler of this VM's zone gets all attempts")
	require.Equal(t, 1000, countChoices(LeastLoaded, quick, elsewhere)[0])
}

// Guards against a hedge to the straggler's zone, and to a zone that cannot be used.
func TestPreferOtherZone(t *testing.T) {
	ejected := candidate("c", func(c *model.Candidate) { c.Ejected = true })
	out := PreferOtherZone([]model.Candidate{candidate("a", nil), ejected, candidate("b", nil)}, "a")
	require.Len(t, out, 1)
	require.EqualValues(t, "b", out[0].Target.AvailabilityZone)
	require.Len(t, PreferOtherZone([]model.Candidate{candidate("a", nil), ejected}, "a"), 2)
}
