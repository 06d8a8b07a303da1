package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// fakeConnections has available connections to all leaves, and prefers all except those that it lists.
type fakeConnections struct{ notPreferred []string }

func (fakeConnections) AvailableConnections(*leaves.Member) int { return 1 }

func (x fakeConnections) Prefers(m *leaves.Member) bool {
	return !slices.Contains(x.notPreferred, m.ID)
}

// trackerTrial sends one request at a time, as an entry VM with little traffic does, and counts the choices of each leaf.
type trackerTrial struct {
	tracker *Tracker
	list    []*leaves.Member
	now     int
	chosen  map[string]int
	// ejected is for how long the last result ejected its leaf.
	ejected time.Duration
}

func newTrackerTrial(n int) *trackerTrial {
	return &trackerTrial{tracker: NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom()), list: members(n), chosen: map[string]int{}}
}

// send sends n requests, one every gap milliseconds. behave returns the result of an attempt at a leaf and whether the attempt
// was cancelled; the attempt ends after the latency of the result.
func (x *trackerTrial) send(n, gap int, behave func(id string) (AttemptResult, bool)) {
	x.chosen = map[string]int{}
	for range n {
		x.now += gap
		m := x.tracker.Choose(at(x.now), "r", x.list, nil, nil, fakeConnections{})
		x.chosen[m.ID]++
		end, cancelled := behave(m.ID)
		x.tracker.AttemptStarted(at(x.now), "r", m)
		x.ejected = x.tracker.AttemptEnded(at(x.now).Add(end.Latency), "r", m, at(x.now), &end, cancelled).Ejected
	}
}

func replyAfter(d time.Duration) (AttemptResult, bool) {
	end := successWith("")
	end.Latency = d
	return end, false
}

func healthy(string) (AttemptResult, bool) { return replyAfter(10 * time.Millisecond) }

// Guards against requests that are sent to a leaf which sheds some of them while another leaf accepts all: each shed request
// uses an extra attempt of the budget.
func TestTrackerAvoidsLeafThatSheds(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	n := 0
	x.send(100, 300, func(id string) (AttemptResult, bool) {
		if n++; id == "a" && n%5 < 2 {
			return AttemptResult{Reply: &LeafReply{Status: 503, NotRun: true}, Sent: true, Latency: time.Millisecond}, false
		}
		return healthy(id)
	})
	require.Less(t, x.chosen["a"], 30, "of 100; it would be 50 without the observations")
	require.Positive(t, x.chosen["a"], "it is still tried occasionally")
}

// Guards against a leaf without a reply yet that gets no requests, because another one replies in less than the least typical
// latency and counts as faster than a typical leaf.
func TestFastLeafDoesNotKeepRequestsFromAnother(t *testing.T) {
	x := newTrackerTrial(2)
	fast := func(string) (AttemptResult, bool) { return replyAfter(200 * time.Microsecond) }
	list := x.list
	x.list = list[:1]
	x.send(100, 20, fast)
	x.list = list
	x.send(100, 20, fast)
	require.Greater(t, x.chosen["b"], 20, "of 100")
}

// Guards against an unresponsive leaf that counts as healthy again because the attempts at it were cancelled after
// other leaves had replied to the requests.
func TestTrackerAvoidsUnresponsiveLeaf(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	x.send(60, 300, func(id string) (AttemptResult, bool) {
		if id == "a" {
			return AttemptResult{Sent: true, Err: lostConnection.Err, Latency: 330 * time.Millisecond}, true
		}
		return healthy(id)
	})
	require.Less(t, x.chosen["a"], 15, "of 60")
	require.Positive(t, x.chosen["a"], "it is still tried occasionally")
	x.send(60, 1000, healthy)
	require.Greater(t, x.chosen["a"], 15, "it is chosen again once it replies")
}

// Guards against latency ratios that refer to different typical latencies on a route with few requests, so that one of several
// equal leaves gets all requests.
func TestTrackerSpreadsRareRequests(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(100, 100, healthy)
	x.send(60, 2500, healthy)
	require.Greater(t, x.chosen["a"], 15, "of 60")
	require.Greater(t, x.chosen["b"], 15, "of 60")
}

// Guards against leaves that count as unresponsive because the caller disconnected or a hedge was faster.
func TestAttemptsCancelledEarlyAreIgnored(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	x.send(40, 100, func(string) (AttemptResult, bool) {
		return AttemptResult{Sent: true, Err: lostConnection.Err, Latency: 100 * time.Millisecond}, true
	})
	require.Greater(t, x.chosen["a"], 8)
	require.Greater(t, x.chosen["b"], 8)
}

// Guards against a leaf that was slow for some time and is never tried again, because leaves that are avoided are not observed.
func TestTrackerRetriesLeafThatWasSlow(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	x.send(40, 100, func(id string) (AttemptResult, bool) {
		if id == "a" {
			return replyAfter(80 * time.Millisecond)
		}
		return healthy(id)
	})
	require.Less(t, x.chosen["a"], 10, "of 40")
	x.send(300, 200, healthy)
	require.Greater(t, x.chosen["a"], 75, "of 300")
}

// Guards against connections to leaves that are not preferred, whose connections other VMs need, while the preferred ones work;
// and against not using such leaves when the preferred ones fail.
func TestTrackerUsesOtherLeavesOnlyWhenPreferredFail(t *testing.T) {
	x := NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom())
	list, connections := members(3), fakeConnections{notPreferred: []string{"c"}}
	for range 50 {
		require.NotEqual(t, "c", x.Choose(at(0), "r", list, nil, nil, connections).ID)
	}
	require.Equal(t, "c", x.Choose(at(0), "r", list, list[:2], nil, connections).ID)
	for _, m := range list[:2] {
		for i := range ejectAfter {
			x.AttemptStarted(at(i), "r", m)
			verdict := x.AttemptEnded(at(i), "r", m, at(i), &lostConnection, false)
			require.Equal(t, i == ejectAfter-1, verdict.Ejected == minEjectTime, "the ejection is returned")
		}
	}
	require.Equal(t, "c", x.Choose(at(10), "r", list, nil, nil, connections).ID)
}

// Guards against evidence for other VMs that misses slow or unresponsive leaves, or that counts an attempt as bad because the
// caller disconnected or the leaf accepts no more connections of this VM.
func TestTrackerCollectsEvidence(t *testing.T) {
	x := newTrackerTrial(3)
	x.send(100, 100, healthy)
	for _, e := range x.tracker.TakeEvidence() {
		require.Zero(t, e.Bad)
		require.Positive(t, e.Attempts)
	}
	require.Empty(t, x.tracker.TakeEvidence(), "evidence is returned once")
	m := x.list[0]
	end := func(e AttemptResult, cancelled bool) {
		x.tracker.AttemptStarted(at(x.now), "r", m)
		x.tracker.AttemptEnded(at(x.now).Add(e.Latency), "r", m, at(x.now), &e, cancelled)
	}
	slow, _ := replyAfter(50 * time.Millisecond)
	end(slow, false)
	end(lostConnection, false)
	end(AttemptResult{Sent: true, Err: lostConnection.Err, Latency: 400 * time.Millisecond}, true)
	end(AttemptResult{Sent: true, Err: lostConnection.Err, Latency: 20 * time.Millisecond}, true)
	end(AttemptResult{Err: lostConnection.Err}, false)
	end(AttemptResult{Err: lostConnection.Err, Refused: true}, false)
	end(AttemptResult{Err: lostConnection.Err, Refused: true, Sent: true}, false)
	typical, _ := healthy("")
	end(typical, false)
	require.Equal(t, []leaves.Evidence{{Leaf: m.Key().Incarnation, Attempts: 4, Bad: 3}}, x.tracker.TakeEvidence())
}

// Guards against quantiles that do not follow the latencies of a window.
func TestQuantilesFollowTheLatencies(t *testing.T) {
	h := newLatencyHalf(medianPercent)
	record := func(n int, latency time.Duration) {
		for range n {
			h.record(latency)
		}
	}
	median := func() time.Duration { return h.quantiles[medianPercent] }
	record(1, 30*time.Millisecond)
	require.InEpsilon(t, 30*time.Millisecond, median(), 0.02)
	h.reset()
	record(160, 10*time.Millisecond)
	require.InEpsilon(t, 10*time.Millisecond, median(), 0.02)
	record(200, 50*time.Millisecond)
	require.InEpsilon(t, 50*time.Millisecond, median(), 0.02)
	record(1, 10*time.Hour)
	require.Equal(t, int64(361), h.TotalCount(), "the highest latency that is recorded")
}
