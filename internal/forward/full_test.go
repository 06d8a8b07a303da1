package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// rejectionWith is the reply of a leaf that does not run the request and reports its load.
func rejectionWith(load Load) AttemptResult {
	return AttemptResult{Sent: true, Latency: time.Millisecond, Reply: &LeafReply{Status: 503, NotRun: true, Load: &load}}
}

// Guards against full leaves that count as outliers or are ejected: in a burst of 2.5 times the usual load on 36 shards with 3 leaves,
// each of which is sent 2.5 times what it can run, 72 of 108 leaves were outliers at all VMs.
func TestBurstOnFullLeavesMakesNoOutliers(t *testing.T) {
	const vms, shards, replicas, slots = 8, 36, 3, 4
	board := leaves.NewOutlierBoard()
	var trackers []*Tracker
	for range vms {
		trackers = append(trackers, NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom()))
	}
	var list []*leaves.Member
	for i := range shards * replicas {
		list = append(list, &leaves.Member{Leaf: leaves.Leaf{ID: fmt.Sprint(i), Slots: slots, AvailabilityZone: "z"}})
	}
	now := start
	for round := range 40 {
		now = start.Add(time.Duration(round) * 100 * time.Millisecond)
		for _, x := range trackers {
			for _, m := range list {
				for n := range 5 { // 2 of 5 attempts are run.
					result := rejectionWith(Load{Running: slots, Waiting: 2, Slots: slots})
					if n < 2 {
						result = successWith("")
						result.Latency, result.Reply.Load = 10*time.Millisecond, &Load{Running: slots, Waiting: 2, Slots: slots}
					}
					x.AttemptStarted(now, "r", m)
					require.Zero(t, x.AttemptEnded(now, "r", m, now, &result, false))
				}
			}
			board.Record(now, x.TakeEvidence())
		}
	}
	require.Len(t, board.Outliers(now), 0, "leaves that count as outliers")
	for _, x := range trackers {
		for _, m := range list {
			require.Zero(t, x.statsOf(m).failureRate, "it would multiply the cost of a full leaf")
			require.True(t, x.statsOf(m).shedUntil.After(now), "it is not chosen for a moment")
		}
	}
}

// Guards against a leaf that rejects nearly everything although it has room, and gets requests all the same since rejections are no
// evidence against a full leaf.
func TestLeafThatRejectsWithRoomIsFaulty(t *testing.T) {
	const slots = 4
	m := members(1)[0]
	trial := func(m *leaves.Member, load Load) (ejected bool, outliers leaves.Outliers) {
		x, board := NewTracker(TrackerOptions{Zone: "z"}, testRandom()), leaves.NewOutlierBoard()
		for range 20 {
			result := rejectionWith(load)
			x.AttemptStarted(start, "r", m)
			ejected = x.AttemptEnded(start, "r", m, start, &result, false).Ejected > 0 || ejected
		}
		board.Record(start, x.TakeEvidence())
		return ejected, board.Outliers(start)
	}
	ejected, outliers := trial(m, Load{Running: 1, Slots: slots})
	require.True(t, ejected)
	require.Len(t, outliers, 1)
	for _, full := range []Load{{Running: slots, Slots: slots}, {Running: 3, Waiting: 1, Slots: slots}} {
		ejected, outliers = trial(m, full)
		require.False(t, ejected)
		require.Empty(t, outliers)
	}
	warming := *m
	warming.WarmAt = start.Add(time.Second)
	ejected, outliers = trial(&warming, Load{Running: 1, Slots: slots})
	require.False(t, ejected, "a leaf that warms up accepts less than its slots")
	require.Empty(t, outliers)
}
