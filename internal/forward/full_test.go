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

// newShortRun returns the run of a request to four shards of which all but the last have replied. The last one was rejected by a full
// leaf, and the budget of extra attempts is used up.
func newShortRun(t *testing.T) (*Run, *fakeEnv) {
	e := newEnv("a", "b", "c", "d")
	e.extraLeft = 0
	r := newRun(scatterRoute(1), e) // The objective leaves 90 ms for waiting.
	r.Step(start)
	for i := range 3 {
		r.AttemptEnded(i, 0, successWith("aaaaaaaaaaaaaaaa"))
	}
	r.AttemptEnded(3, 0, replyWith(503, true))
	return r, e
}

// Guards against a query that fails with 34 of 36 shards and time left because the budget was used up for a moment, and against a part
// that asks the budget all the time.
func TestPartThatNoLeafRanAwaitsTheBudget(t *testing.T) {
	r, e := newShortRun(t)
	sends, response, wake := r.Step(at(1))
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(1).Add(budgetRetryDelay), wake)
	asked := e.extraLeft
	r.Step(at(5))
	require.Equal(t, asked, e.extraLeft, "a step for another reason does not ask the budget")
	require.Empty(t, r.Waiting(), "a connection is of no use to it")
	e.extraLeft = 1
	sends, _, _ = r.Step(wake)
	require.Len(t, sends, 1)
	require.Equal(t, "d2", sends[0].Leaf.ID)
	r.AttemptEnded(3, 1, successWith("aaaaaaaaaaaaaaaa"))
	_, response, _ = r.Step(at(20))
	require.Equal(t, KindMerged, response.Kind)
	require.Zero(t, response.Missing)
}

// Guards against a wait for the budget that cannot help: after the last moment for an attempt, for a part that a leaf has failed, and
// for a request that has used no leaf and may run at once on another VM.
func TestPartDoesNotAwaitTheBudgetInVain(t *testing.T) {
	r, e := newShortRun(t)
	now, steps := at(1), 0
	var response *Response
	for ; response == nil; steps++ {
		_, response, now = r.Step(now)
	}
	require.Equal(t, KindFailed, response.Kind)
	require.False(t, now.After(r.lastStart()))
	require.LessOrEqual(t, -e.extraLeft, 6, "one request for each budgetRetryDelay")
	require.LessOrEqual(t, steps, 7)

	e = newEnv("a", "b", "c", "d")
	e.extraLeft = 0
	r = newRun(scatterRoute(1), e)
	r.Step(start)
	r.AttemptEnded(3, 0, lostConnection)
	_, response, _ = r.Step(at(1))
	require.Equal(t, KindFailed, response.Kind)

	r = newRun(scatterRoute(1), e)
	r.Step(start)
	for i := range 4 {
		r.AttemptEnded(i, 0, replyWith(503, true))
	}
	_, response, _ = r.Step(at(1))
	require.Equal(t, KindRefused, response.Kind)
}
