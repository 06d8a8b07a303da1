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

// Guards against a request that is passed on although the VM ends before the leaf is expected to reply, and against one that is
// refused although there is time for it.
func TestShutdownRefusesWhatCannotBeFinished(t *testing.T) {
	for _, c := range []struct {
		highLatency, left time.Duration
		sent              bool
	}{
		{100 * time.Millisecond, 150 * time.Millisecond, true},
		{200 * time.Millisecond, 150 * time.Millisecond, false},
		{0, 900 * time.Millisecond, false},
		{0, 1100 * time.Millisecond, true}, // The route's timeout passes earlier.
	} {
		e := newEnv("a")
		e.highLatency = c.highLatency
		sends, response, _ := runEndingBy(singleRoute(false), e, start.Add(c.left)).Step(start)
		require.Equal(t, c.sent, len(sends) == 1, c)
		if !c.sent {
			require.Equal(t, KindRefused, response.Kind)
			require.True(t, response.TryAnotherVM)
			require.Positive(t, response.RetryAfter)
		}
	}
}

// Guards against requests that are cut off without an answer when the VM ends, and against an answer that states that a request was
// not run although it may have been.
func TestShutdownAnswersWhatIsHeld(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.highLatency = 100 * time.Millisecond
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
