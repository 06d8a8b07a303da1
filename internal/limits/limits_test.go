package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against more attempts in flight than the connection share, whatever the target replies.
func TestConcurrencyStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(0, 12).Draw(t, "share")
		c := NewConcurrency(rapid.IntRange(1, 4).Draw(t, "slots"), share)
		now := time.Unix(0, 0)
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch step {
			case 0:
				c.OnAccepted(c.Limit(), time.Millisecond, now)
			case 1:
				c.OnShed(now)
			case 2:
				share = rapid.IntRange(0, 12).Draw(t, "new share")
				c.SetShare(share)
			}
			require.LessOrEqual(t, c.Limit(), share)
			require.Equal(t, share > 0, c.Limit() >= 1, "a share above 0 allows at least one attempt")
		}
	})
}

// Guards against a burst of shed replies that cuts the limit once for each reply, down to almost nothing.
func TestOneBurstDecreasesOnce(t *testing.T) {
	c := NewConcurrency(10, 10)
	now := time.Unix(0, 0).Add(time.Hour)
	for range 40 {
		c.OnAccepted(c.Limit(), time.Millisecond, now)
	}
	require.Equal(t, 10, c.Limit())
	for range 5 {
		c.OnShed(now)
	}
	require.Equal(t, 8, c.Limit())
}

// Guards against an unreachable target that costs more than a few probes, and against one that is never probed again.
func TestHealthEjectsAndProbes(t *testing.T) {
	var h Health
	now := time.Unix(0, 0).Add(time.Hour)
	require.False(t, h.OnFailure(now))
	require.False(t, h.OnFailure(now))
	require.True(t, h.OnFailure(now))
	require.True(t, h.Ejected(now))
	now = h.EjectedUntil()
	require.False(t, h.Ejected(now), "a probe is allowed after the ejection")
	h.OnSent(now)
	require.True(t, h.Ejected(now), "only one probe at a time")
	require.True(t, h.OnFailure(now))
	require.Equal(t, 2*firstEjection, h.EjectedUntil().Sub(now), "the ejection doubles")
	h.OnSuccess()
	require.False(t, h.Ejected(now))
}

// Guards against ejecting the last replica of a shard, and against sending to a failing replica while another one
// serves.
func TestMaxEjectedLeavesOne(t *testing.T) {
	require.Equal(t, 0, MaxEjected(0))
	require.Equal(t, 0, MaxEjected(1))
	require.Equal(t, 2, MaxEjected(3))
}

// Guards against a target that gets its full share of work as soon as it serves, and against one that never gets it.
func TestSlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	require.Equal(t, ColdWeight, SlowStartWeight(now, now))
	require.InDelta(t, 0.5, SlowStartWeight(now.Add(-SlowStartWindow/2), now), 0.01)
	require.Equal(t, 1.0, SlowStartWeight(now.Add(-SlowStartWindow), now))
}
