package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// rejectionWith is the reply of a leaf that does not run the request and reports its load.
func rejectionWith(load Load) AttemptResult {
	return AttemptResult{Sent: true, Latency: time.Millisecond, Reply: &LeafReply{Status: 503, NotRun: true, Load: &load}}
}

// fullLeaves is a service of three leaves with 4 slots at a burst of 2.5 times its usual load: each replies after 10 ms without a queue
// and has the given number of requests in its queue.
type fullLeaves struct {
	tracker *Tracker
	list    []*leaves.Member
	load    Load
}

func newFullLeaves(waiting int) *fullLeaves {
	x := &fullLeaves{NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom()), members(3), Load{Running: 4, Waiting: waiting, Slots: 4}}
	for i := range 100 {
		for _, m := range x.list {
			x.reply(at(10*i), m)
		}
	}
	return x
}

func (x *fullLeaves) reply(now time.Time, m *leaves.Member) {
	result := successWith("")
	result.Latency, result.Reply.Load = 10*time.Millisecond*time.Duration(1+x.load.Waiting/4), &x.load
	x.tracker.AttemptStarted(now, "r", m)
	x.tracker.AttemptEnded(now, "r", m, now, &result, false)
}

func (x *fullLeaves) reject(now time.Time, list ...*leaves.Member) {
	for _, m := range list {
		result := rejectionWith(x.load)
		x.tracker.AttemptStarted(now, "r", m)
		x.tracker.AttemptEnded(now, "r", m, now, &result, false)
	}
}

// Guards against a service that counts as full without agreeing evidence: one leaf has room or does not reply, the evidence is old, or
// the leaves have rejected nothing.
func TestServiceIsFullOnlyByTheEvidenceOfAllLeaves(t *testing.T) {
	now := at(1000)
	x := newFullLeaves(200)
	require.Zero(t, x.tracker.ExpectedWhenFull(now, x.list, 0), "no leaf has rejected anything")
	x.reject(now, x.list...)
	require.InDelta(t, 510, x.tracker.ExpectedWhenFull(now, x.list, 0).Milliseconds(), 20, "the queue of 200 takes 50 times 10 ms")
	require.Zero(t, x.tracker.ExpectedWhenFull(now.Add(fullTime+1), x.list, 0), "the rejections are old")
	require.Zero(t, x.tracker.ExpectedWhenFull(now, append(members(4)[3:], x.list...), 0), "nothing is known of a leaf")

	x = newFullLeaves(200)
	x.reject(now, x.list[:2]...)
	require.Zero(t, x.tracker.ExpectedWhenFull(now, x.list, 0), "a leaf accepts")
	later := now.Add(maxLoadAge)
	x.reject(later, x.list[:2]...)
	require.Zero(t, x.tracker.ExpectedWhenFull(later, x.list, 0), "a leaf is paused, and its report is old")
	x.load = Load{Running: 3, Slots: 4}
	x.reply(later, x.list[2])
	require.Zero(t, x.tracker.ExpectedWhenFull(later, x.list, 0), "a leaf has a free slot")
}

// Guards against a wait on this VM that is not known, and against one that a pause of the leaves makes longer than it is.
func TestWaitOnThisVMIsKnownByTheRateOfReplies(t *testing.T) {
	x := newFullLeaves(1)
	now := at(1000)
	require.InDelta(t, 200, x.tracker.ExpectedWhenFull(now, x.list, 60).Milliseconds(), 50, "60 requests at 300/s")
	before := x.tracker.ExpectedWhenFull(now, x.list, 60)
	require.Less(t, x.tracker.ExpectedWhenFull(now.Add(120*time.Millisecond), x.list, 60), before*5/4, "a pause of 120 ms")
	x.load = Load{Running: 2, Slots: 4}
	x.reply(now, x.list[0])
	require.Zero(t, x.tracker.ExpectedWhenFull(now, x.list, 60), "a leaf has room, so it is the connections that are in use")
	fresh := newFullLeaves(1)
	require.Zero(t, fresh.tracker.ExpectedWhenFull(now.Add(10*time.Second), fresh.list, 60), "no reply of late")
}

// Guards against a request that uses leaves although it is certain to miss its deadline, and against a refusal because of the shards
// that may be missing.
func TestRequestThatCannotBeWholeIsRefusedAtOnce(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.whenFull = map[model.ServiceName]time.Duration{"a": time.Minute, "b": 10 * time.Second}
	sends, response, _ := newRun(scatterRoute(0.75), e).Step(start)
	require.Empty(t, sends)
	require.Equal(t, KindRefused, response.Kind)
	require.Equal(t, 9*time.Second, response.RetryAfter, "when one shard is still full, which may be missing")
	require.Contains(t, response.Reason, "2 services are full")
	require.Zero(t, e.firstAttempts)

	delete(e.whenFull, "b")
	r := newRun(scatterRoute(0.75), e)
	sends, response, _ = r.Step(start)
	require.Len(t, sends, 4, "one shard may be missing")
	require.Nil(t, response)
	e.whenFull["b"] = time.Minute
	_, response, _ = r.Step(at(1))
	require.Nil(t, response, "it has used leaves already")

	sends, _, _ = newRun(singleRoute(true), e).Step(start)
	require.Len(t, sends, 1, "a request to one leaf waits and is refused as before")
}

// Guards against a refusal of a request that may still be in time, and of one with a better rank before one with a lower rank.
func TestLowRanksAreRefusedFirst(t *testing.T) {
	for _, c := range []struct {
		rank, expected int
		refused        bool
	}{{5, 1900, false}, {5, 2100, true}, {2, 2100, true}, {1, 2900, false}, {1, 3100, true}, {0, 3900, false}, {0, 4100, true}} {
		e := newEnv("a", "b", "c", "d")
		e.whenFull = map[model.ServiceName]time.Duration{"a": time.Duration(c.expected) * time.Millisecond}
		route := scatterRoute(1)
		route.Rank = c.rank
		_, response, _ := newRun(route, e).Step(start) // 1 s is left.
		require.Equal(t, c.refused, response != nil, "%+v", c)
	}
}
