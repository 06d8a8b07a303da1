package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

func pauseFor(d time.Duration) AttemptResult {
	return AttemptResult{Sent: true, Latency: time.Millisecond, Reply: &LeafReply{Status: 503, NotRun: true, RetryAfter: d}}
}

// Guards against requests to a leaf that has asked for a pause, also when all others are ejected, and against a pause that counts as
// a failure of the leaf.
func TestPausedLeafGetsNothing(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(100, 100, healthy)
	first := at(x.now)
	x.tracker.AttemptStarted(first, "r", x.list[0])
	verdict := x.tracker.AttemptEnded(first, "r", x.list[0], first, ptr(pauseFor(3*time.Second)), false)
	require.Equal(t, Verdict{Paused: 3 * time.Second}, verdict)
	for range ejectAfter {
		x.tracker.AttemptStarted(first, "r", x.list[1])
		x.tracker.AttemptEnded(first, "r", x.list[1], first, &lostConnection, false)
	}
	x.tracker.TakeEvidence()
	for s := time.Duration(0); s < 3*time.Second; s += 100 * time.Millisecond {
		require.Nil(t, x.tracker.Choose(first.Add(s), "r", x.list[:1], nil, nil, fakeConnections{}))
		require.Equal(t, "b", x.tracker.Choose(first.Add(s), "r", x.list, nil, nil, fakeConnections{}).ID, "an ejected leaf is tried first")
	}
	require.Equal(t, first.Add(3*time.Second), x.tracker.NextReturn(first, x.list[:1]))
	require.Zero(t, x.tracker.NextReturn(first, x.list), "the other leaf takes requests")
	end := first.Add(3 * time.Second)
	require.Equal(t, "a", x.tracker.Choose(end, "r", x.list[:1], nil, nil, fakeConnections{}).ID)
	x.now += 3000
	x.send(200, 20, healthy)
	require.Greater(t, x.chosen["a"], 60, "the pause left no failure behind: %v", x.chosen)
}

func ptr[T any](v T) *T { return &v }

// Guards against pauses of years, and against the end of a pause that a shorter one moves ahead.
func TestPausesAreLimited(t *testing.T) {
	x := NewTracker(TrackerOptions{Zone: "z"}, testRandom())
	m := members(1)[0]
	for _, d := range []time.Duration{100 * 365 * 24 * time.Hour, time.Second} {
		x.AttemptStarted(start, "r", m)
		x.AttemptEnded(start, "r", m, start, ptr(pauseFor(d)), false)
	}
	require.Equal(t, start.Add(maxPause), x.NextReturn(start, []*leaves.Member{m}))
	x.Prune(start.Add(maxPause / 2))
	require.True(t, x.Refuses(start.Add(maxPause/2), m), "a leaf without requests is still paused")
}

// Guards against an attempt at a leaf that has replied that it is leaving: as a first one, a hedge, a retry or the trial of an ejected
// leaf.
func TestLeavingLeafGetsNothing(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(100, 100, healthy)
	now := at(x.now)
	x.tracker.AttemptStarted(now, "r", x.list[0])
	x.tracker.AttemptStarted(now.Add(1), "r", x.list[0])
	reply := successWith("")
	reply.Reply.Leaving = true
	require.True(t, x.tracker.AttemptEnded(now, "r", x.list[0], now, &reply, false).Leaving)
	require.False(t, x.tracker.AttemptEnded(now, "r", x.list[0], now.Add(1), &reply, false).Leaving, "it is reported once")
	for range 2 * ejectAfter {
		x.tracker.AttemptStarted(now, "r", x.list[1])
		x.tracker.AttemptEnded(now, "r", x.list[1], now, &lostConnection, false)
	}
	for s := range 30 {
		later := now.Add(time.Duration(s) * time.Second)
		require.Equal(t, "b", x.tracker.Choose(later, "r", x.list, nil, nil, fakeConnections{}).ID)
		require.Nil(t, x.tracker.Choose(later, "r", x.list, x.list[1:], nil, fakeConnections{}))
		require.True(t, x.tracker.Refuses(later, x.list[0]))
	}
}

// Guards against a request that waits until its deadline for leaves that have asked for a pause, and against a time to return that
// is not the end of the first pause.
func TestRequestToPausedLeavesIsRefusedAtOnce(t *testing.T) {
	e := newEnv("a")
	e.paused = map[string]time.Time{"a1": at(5000), "a2": at(3000), "a3": at(4000)}
	sends, response, _ := newRun(singleRoute(true), e).Step(start)
	require.Empty(t, sends)
	require.Equal(t, KindRefused, response.Kind)
	require.Equal(t, 3*time.Second, response.RetryAfter)
	require.Zero(t, e.firstAttempts)
	e.paused = map[string]time.Time{"a1": start.Add(maxPause), "a2": start.Add(maxPause), "a3": start.Add(maxPause)}
	_, response, _ = newRun(singleRoute(true), e).Step(start)
	require.Equal(t, maxRetryAfter, response.RetryAfter, "one wrong value does not keep callers away for an hour")
}

// Guards against a refusal although the pause ends while the request can wait.
func TestRequestWaitsForAShortPause(t *testing.T) {
	e := newEnv("a")
	e.paused = map[string]time.Time{"a1": at(80), "a2": at(60), "a3": at(70)}
	r := newRun(singleRoute(true), e)
	sends, response, wake := r.Step(start)
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(60), wake)
	sends, _, _ = r.Step(wake)
	require.Equal(t, "a2", sends[0].Leaf.ID)
}

// Guards against a request that waits for a busy leaf and misses the end of the pause of another one, and against one that is evaluated
// again and again after it.
func TestRequestThatWaitsForABusyLeafNoticesTheEndOfAPause(t *testing.T) {
	e := newEnv("a")
	e.full["a1"] = true
	e.paused = map[string]time.Time{"a2": at(80), "a3": at(60)}
	r := newRun(singleRoute(true), e)
	sends, response, wake := r.Step(start)
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(60), wake)
	e.full["a3"] = true
	_, _, wake = r.Step(wake)
	require.Equal(t, at(80), wake)
	e.full["a2"] = true
	_, _, wake = r.Step(wake)
	require.Equal(t, at(100), wake, "the request is refused")
	e.full["a2"] = false
	sends, _, _ = r.Step(at(90))
	require.Equal(t, "a2", sends[0].Leaf.ID)

	scatter := newEnv("a", "b", "c", "d")
	scatter.full["a1"], scatter.full["a2"], scatter.full["a3"] = true, true, true
	scatter.paused = map[string]time.Time{"a3": at(988)}
	r = newRun(scatterRoute(1), scatter)
	r.Step(start)
	_, _, wake = r.Step(at(987))
	require.Equal(t, at(988), wake)
	now := r.deadline.Add(-minTimeLeft / 2)
	_, response, wake = r.Step(now)
	require.True(t, response != nil || wake.After(now), "the time of the next step is past")
}

// The first of the pauses of leaves that were not tried counts, and none of a leaf that is leaving. Guards against a request that is
// woken for a leaf that it cannot use.
func TestPauseEndIsThatOfALeafThatCanBeUsed(t *testing.T) {
	x := NewTracker(TrackerOptions{Zone: "z"}, testRandom())
	list := members(4)
	require.Zero(t, x.PauseEnd(start, list, nil))
	for i, d := range []time.Duration{2 * time.Second, time.Second, 3 * time.Second} {
		result := pauseFor(d)
		result.Reply.Leaving = i == 1
		x.AttemptStarted(start, "r", list[i])
		x.AttemptEnded(start, "r", list[i], start, &result, false)
	}
	require.Equal(t, start.Add(2*time.Second), x.PauseEnd(start, list, nil))
	require.Equal(t, start.Add(3*time.Second), x.PauseEnd(start, list, list[:1]))
	require.Equal(t, start.Add(3*time.Second), x.PauseEnd(start.Add(2*time.Second), list, nil))
	require.Zero(t, x.PauseEnd(start.Add(3*time.Second), list, nil))
}

// Guards against a request that a leaf has turned away and that is not sent to another one, and against a refusal that invites the
// caller back before a leaf takes requests again.
func TestTurnedAwayRequestGoesToAnotherLeaf(t *testing.T) {
	e := newEnv("a")
	r := newRun(singleRoute(false), e)
	r.Step(start)
	e.paused["a1"] = at(2001)
	r.AttemptEnded(0, 0, pauseFor(2*time.Second))
	sends, _, _ := r.Step(at(1))
	require.Equal(t, "a2", sends[0].Leaf.ID)
	require.Equal(t, 99, e.extraLeft, "it counts towards the budget")
	e.paused["a2"], e.paused["a3"] = at(1502), at(1802)
	r.AttemptEnded(0, 1, pauseFor(1500*time.Millisecond))
	_, response, _ := r.Step(at(2))
	require.Equal(t, KindRefused, response.Kind, "no leaf has run it")
	require.Equal(t, 1500*time.Millisecond, response.RetryAfter)
}

// Guards against a scatter-gather request that is sent although too many of its shards are paused, and against one that is refused
// or waits although the others are enough.
func TestPausedShards(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	for _, id := range []string{"d1", "d2", "d3"} {
		e.paused[id] = at(700)
	}
	r := newRun(scatterRoute(0.75), e)
	sends, response, _ := r.Step(start)
	require.Nil(t, response)
	require.Len(t, sends, 3)
	for i := range 3 {
		r.AttemptEnded(i, 0, successWith("aaaaaaaaaaaaaaaa"))
	}
	_, response, _ = r.Step(at(10))
	require.Equal(t, KindMerged, response.Kind)
	require.Equal(t, 1, response.Missing)
	for _, id := range []string{"c1", "c2", "c3"} {
		e.paused[id] = at(400)
	}
	sends, response, _ = newRun(scatterRoute(0.75), e).Step(start)
	require.Empty(t, sends)
	require.Equal(t, KindRefused, response.Kind)
	require.Equal(t, 400*time.Millisecond, response.RetryAfter, "one of the two shards may be missing")
}

// Guards against a time to return that is negative, zero or beyond its limit, whatever pauses the leaves ask for.
func TestTimeToReturnIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEnv("a", "b", "c", "d")
		for _, list := range e.leaves {
			for _, m := range list {
				if d := rapid.Int64Range(-1000, 1<<40).Draw(t, m.ID); d > 0 {
					e.paused[m.ID] = start.Add(time.Duration(d) * time.Microsecond)
				}
			}
		}
		r := newRun(scatterRoute(rapid.Float64Range(0, 1).Draw(t, "coverage")), e)
		sends, response, wake := r.Step(start)
		if response == nil {
			require.True(t, len(sends) > 0 || wake.After(start))
			return
		}
		require.Empty(t, sends)
		require.GreaterOrEqual(t, response.RetryAfter, refusalRetryAfter)
		require.LessOrEqual(t, response.RetryAfter, maxRetryAfter)
	})
}

// Guards against replies of megabytes that are kept until the last shard has replied.
func TestOnlyTheGreatestRecordsOfAPartAreKept(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	r := newRun(scatterRoute(1), e)
	r.Step(start)
	large := successWith(string(make([]byte, 1<<20)))
	r.AttemptEnded(0, 0, large)
	require.Len(t, large.Reply.Body, 2*RecordBytes)
}
