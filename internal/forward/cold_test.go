package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// Guards against a cold leaf that gets requests without a unit, or several for one, and against a request for a unit at each attempt.
func TestColdLeafGetsOneRequestForEachUnit(t *testing.T) {
	b, leaf := NewColdBook(), leaves.Key{Incarnation: leaves.Incarnation{ID: "l", BornMS: 1}}
	ok, request := b.Reserve(start, leaf)
	require.True(t, !ok && request)
	ok, request = b.Reserve(start, leaf)
	require.True(t, !ok && !request, "the request is under way")
	b.Answer(start, leaf, start, true, 0)
	ok, _ = b.Reserve(start, leaf)
	require.True(t, ok)
	b.Release(leaf)
	ok, _ = b.Reserve(start, leaf)
	require.True(t, ok)
	ok, request = b.Reserve(start, leaf)
	require.True(t, !ok && request)
	b.Answer(start, leaf, start, true, 0)
	ok, request = b.Reserve(start.Add(coldUnitExpiry), leaf)
	require.True(t, !ok && request, "the unit has expired")
}

// Guards against a denied leaf that is asked for all the time, and one that is never asked for again.
func TestDeniedColdLeafIsTriedLater(t *testing.T) {
	b, leaf := NewColdBook(), leaves.Key{Incarnation: leaves.Incarnation{ID: "l", BornMS: 1}}
	b.Reserve(start, leaf)
	next := b.Answer(start, leaf, start, false, time.Hour)
	require.Equal(t, start.Add(maxColdDenial), next)
	_, request := b.Reserve(next.Add(-1), leaf)
	require.False(t, request)
	_, request = b.Reserve(next, leaf)
	require.True(t, request)
	_, request = b.Reserve(next.Add(coldRequestTimeout), leaf)
	require.True(t, request, "the answer was lost")
	b.Prune(next.Add(time.Hour))
	require.Empty(t, b.leaves)
}

// Guards against a pool of zones that grants more than the pooled part of the slack in a window, under all faults that its slack pays for.
func TestZonePoolKeepsToThePooledSlack(t *testing.T) {
	for _, slack := range []int{0, 50, 172, 200} {
		l := ZonePoolLimit(slack, 10*time.Second)
		most := l.Rate*(10*time.Second+GrantExpiry).Seconds() + l.Burst + l.Slack*1.25
		require.InDelta(t, BudgetSafety*PooledShare*float64(slack), most, 1e-9)
		require.GreaterOrEqual(t, l.Rate, 0.0)
	}
}
