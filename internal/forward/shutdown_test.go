package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// runEndingBy returns a run on a route with a timeout of 1 s, at a VM that is shutting down.
func runEndingBy(r *routes.Route, e Env, endBy time.Time) *Run {
	return NewRun(&Request{ID: "x", Received: start, Deadline: at(2000), EndBy: endBy}, r, "a", Options{}, e)
}

// known is what is seen of a route whose high latency is known, and few of one with few attempts. All are in milliseconds.
func known(median, high int) SeenLatency {
	s := few(median, 60000)
	s.High = time.Duration(high) * time.Millisecond
	return s
}

func few(median, highest int) SeenLatency {
	return SeenLatency{Median: time.Duration(median) * time.Millisecond, Highest: time.Duration(highest) * time.Millisecond}
}

// Guards against a request that is passed on although the VM ends before the leaf is expected to reply, and against one that is
// refused although there is time for it.
func TestShutdownRefusesWhatCannotBeFinished(t *testing.T) {
	for _, c := range []struct {
		seen       SeenLatency
		repeatable bool
		left       time.Duration
		sent       bool
	}{
		// The objective is 400 ms, and the timeout 1 s.
		{known(10, 100), false, 150 * time.Millisecond, true},
		{known(10, 200), false, 150 * time.Millisecond, false},
		{known(10, 200), true, 150 * time.Millisecond, false},
		{known(10, 900), false, 890 * time.Millisecond, false},
		{known(10, 900), true, 390 * time.Millisecond, false},
		{known(10, 900), true, 410 * time.Millisecond, true}, // A hedge replies in time.
		{known(500, 900), true, 490 * time.Millisecond, false},
		{known(500, 900), true, 510 * time.Millisecond, true},
		{few(0, 0), false, 390 * time.Millisecond, false},
		{few(0, 0), false, 410 * time.Millisecond, true},
		{few(0, 0), true, 390 * time.Millisecond, false},
		{few(0, 0), true, 410 * time.Millisecond, true},
		{few(10, 100), false, 390 * time.Millisecond, false},
		{few(10, 100), false, 410 * time.Millisecond, true},
		{few(10, 100), true, 90 * time.Millisecond, false},
		{few(10, 100), true, 110 * time.Millisecond, true},
		{few(10, 500), false, 490 * time.Millisecond, false},
		{few(10, 500), false, 510 * time.Millisecond, true},
		{few(500, 500), true, 490 * time.Millisecond, false},
		{few(10, 1500), false, 900 * time.Millisecond, false},
		{few(10, 1500), false, 1100 * time.Millisecond, true}, // The route's timeout passes earlier.
	} {
		e := newEnv("a")
		e.seen = c.seen
		sends, response, _ := runEndingBy(singleRoute(c.repeatable), e, start.Add(c.left)).Step(start)
		require.Equal(t, c.sent, len(sends) == 1, c)
		if !c.sent {
			require.Equal(t, KindRefused, response.Kind)
			require.True(t, response.TryAnotherVM)
			require.Positive(t, response.RetryAfter)
		}
	}
}

// Guards against a shutdown that refuses all requests of a route with little traffic, although there is time for them, and against
// decisions that use latencies of another route.
func TestLatencyIsKnownFromTheFirstReply(t *testing.T) {
	tracker := NewTracker(TrackerOptions{HedgeQuantile: 0.9}, testRandom())
	leaf := newEnv("a").leaves["a"][0]
	require.Zero(t, tracker.SeenLatency("r"))
	reply := successWith("1")
	for i := range minLatencySamples {
		if i > 0 {
			seen := tracker.SeenLatency("r")
			require.Zero(t, seen.High)
			require.InEpsilon(t, time.Duration(9+i)*time.Millisecond, seen.Highest, 0.02)
		}
		now := at(10 * i)
		tracker.AttemptStarted(now, "r", leaf)
		reply.Latency = time.Duration(10+i) * time.Millisecond
		tracker.AttemptEnded(now.Add(reply.Latency), "r", leaf, now, &reply, false)
	}
	require.InEpsilon(t, 29*time.Millisecond, tracker.SeenLatency("r").High, 0.02)
	require.Zero(t, tracker.SeenLatency("other"))
}

// Guards against an expected latency of a route without an objective that lets everything pass.
func TestTimeoutStandsInForAMissingObjective(t *testing.T) {
	r := singleRoute(false)
	r.Objective = 0
	require.Equal(t, r.Timeout, expectedLatency(SeenLatency{}, r, false))
	require.Equal(t, r.Timeout, expectedLatency(few(10, 10), r, false))
}

// Guards against a silent leaf whose request is not sent to another one late in a shutdown, although that would probably reply in
// time, and against a hedge that cannot.
func TestRepeatableRequestIsHedgedDuringAShutdown(t *testing.T) {
	for left, hedged := range map[int]bool{11: true, 9: false} {
		e := newEnv("a")
		e.seen = known(10, 900)
		r := runEndingBy(singleRoute(true), e, at(500))
		sends, _, _ := r.Step(start)
		require.Len(t, sends, 1)
		e.hedgeDelay = time.Duration(500-left) * time.Millisecond
		sends, response, _ := r.Step(start.Add(e.hedgeDelay))
		require.Nil(t, response)
		require.Equal(t, hedged, len(sends) == 1, "%d ms before the end", left)
	}
}

// Guards against requests that are cut off without an answer when the VM ends, and against an answer that states that a request was
// not run although it may have been.
func TestShutdownAnswersWhatIsHeld(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.seen = known(10, 100)
	r := runEndingBy(singleRoute(false), e, at(300))
	r.Step(start)
	_, response, wake := r.Step(at(299))
	require.Nil(t, response)
	require.Equal(t, at(300), wake)
	_, response, _ = r.Step(at(300))
	require.Equal(t, KindTimeout, response.Kind)

	r = runEndingBy(singleRoute(false), e, at(300))
	r.Step(start)
	r.AttemptEnded(0, 0, replyWith(503, true))
	sends, response, _ := r.Step(at(250))
	require.Empty(t, sends, "another attempt would not end in time")
	require.Equal(t, KindRefused, response.Kind)

	// Requests from before the shutdown are ended when it ends.
	r = newRun(singleRoute(true), e)
	r.Step(start)
	r.End(at(15))
	sends, response, _ = r.Step(at(15))
	require.Empty(t, sends)
	require.Equal(t, KindTimeout, response.Kind)

	r = newRun(scatterRoute(0.5), e)
	r.Step(start)
	r.AttemptEnded(0, 0, successWith("1"))
	r.AttemptEnded(1, 0, successWith("2"))
	r.End(at(15))
	_, response, _ = r.Step(at(15))
	require.Equal(t, KindMerged, response.Kind)
	require.Equal(t, 2, response.Missing)

	for _, m := range e.leaves["a"] {
		e.full[m.ID] = true
	}
	r = newRun(singleRoute(true), e)
	r.Step(start)
	r.End(at(15))
	_, response, _ = r.Step(at(15))
	require.Equal(t, KindRefused, response.Kind, "the request was sent to no leaf")
}
