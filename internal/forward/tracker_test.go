package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// openLeaves have room, and all are preferred but those that are listed.
type openLeaves struct{ others []string }

func (openLeaves) Room(*leaves.Member) int { return 1 }

func (x openLeaves) Prefers(m *leaves.Member) bool { return !slices.Contains(x.others, m.ID) }

// trackerTrial sends one request at a time, as an entry VM with little traffic does, and counts who gets it.
type trackerTrial struct {
	tracker *Tracker
	list    []*leaves.Member
	now     int
	chosen  map[string]int
	// ejected is for how long the last end ejected its leaf.
	ejected time.Duration
}

func newTrackerTrial(n int) *trackerTrial {
	return &trackerTrial{tracker: NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom()), list: members(n), chosen: map[string]int{}}
}

// send sends requests with a pause of gap milliseconds between them. Behave returns the end of an attempt at a leaf and
// whether it was cancelled; the reply takes the latency of the end.
func (x *trackerTrial) send(n, gap int, behave func(id string) (AttemptEnd, bool)) {
	x.chosen = map[string]int{}
	for range n {
		x.now += gap
		m := x.tracker.Choose(at(x.now), "r", x.list, nil, nil, openLeaves{})
		x.chosen[m.ID]++
		end, cancelled := behave(m.ID)
		x.tracker.Begin(at(x.now), "r", m)
		x.ejected = x.tracker.Done(at(x.now).Add(end.Latency), "r", m, at(x.now), &end, cancelled)
	}
}

func answersIn(d time.Duration) (AttemptEnd, bool) {
	end := success("")
	end.Latency = d
	return end, false
}

func healthy(string) (AttemptEnd, bool) { return answersIn(10 * time.Millisecond) }

// Guards against requests that go to a leaf which sheds a part of them, while another one takes all: each shed request
// costs a part of the repeat budget.
func TestTrackerAvoidsLeafThatSheds(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	n := 0
	x.send(100, 300, func(id string) (AttemptEnd, bool) {
		if n++; id == "a" && n%5 < 2 {
			return AttemptEnd{Reply: &LeafReply{Status: 503, NotRun: true}, Sent: true, Latency: time.Millisecond}, false
		}
		return healthy(id)
	})
	require.Less(t, x.chosen["a"], 30, "of 100; it would be 50 without learning")
	require.Positive(t, x.chosen["a"], "it is tried again at times")
}

// Guards against a leaf that has fallen silent and looks sound again once the attempts at it were cancelled, because the
// request was answered without it.
func TestTrackerAvoidsSilentLeaf(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	x.send(60, 300, func(id string) (AttemptEnd, bool) {
		if id == "a" {
			return AttemptEnd{Sent: true, Err: lost.Err, Latency: 330 * time.Millisecond}, true
		}
		return healthy(id)
	})
	require.Less(t, x.chosen["a"], 15, "of 60")
	require.Positive(t, x.chosen["a"], "it is tried again at times")
	x.send(60, 1000, healthy)
	require.Greater(t, x.chosen["a"], 15, "it serves again once it answers")
}

// Guards against paces that are measured against different latencies on a route with few requests, so that one of several
// equal leaves takes them all.
func TestTrackerSpreadsRareRequests(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(100, 100, healthy)
	x.send(60, 2500, healthy)
	require.Greater(t, x.chosen["a"], 15, "of 60")
	require.Greater(t, x.chosen["b"], 15, "of 60")
}

// Guards against leaves that count as silent because the caller has left, or because a hedge was faster.
func TestCancelledAttemptsSayNothingEarly(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	x.send(40, 100, func(string) (AttemptEnd, bool) {
		return AttemptEnd{Sent: true, Err: lost.Err, Latency: 100 * time.Millisecond}, true
	})
	require.Greater(t, x.chosen["a"], 8)
	require.Greater(t, x.chosen["b"], 8)
}

// Guards against a leaf that was slow for a while and is never tried again, because nothing is observed of leaves that
// are avoided.
func TestTrackerForgetsOldTrouble(t *testing.T) {
	x := newTrackerTrial(2)
	x.send(300, 100, healthy)
	x.send(40, 100, func(id string) (AttemptEnd, bool) {
		if id == "a" {
			return answersIn(80 * time.Millisecond)
		}
		return healthy(id)
	})
	require.Less(t, x.chosen["a"], 10, "of 40")
	x.send(300, 200, healthy)
	require.Greater(t, x.chosen["a"], 75, "of 300")
}

// Guards against connections to leaves that other VMs need them for, and against leaves that are not used in trouble.
func TestTrackerUsesOtherLeavesInTroubleOnly(t *testing.T) {
	x := NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom())
	list, connections := members(3), openLeaves{others: []string{"c"}}
	for range 50 {
		require.NotEqual(t, "c", x.Choose(at(0), "r", list, nil, nil, connections).ID)
	}
	require.Equal(t, "c", x.Choose(at(0), "r", list, list[:2], nil, connections).ID)
	for _, m := range list[:2] {
		for i := range ejectAfter {
			x.Begin(at(i), "r", m)
			ejected := x.Done(at(i), "r", m, at(i), &lost, false)
			require.Equal(t, i == ejectAfter-1, ejected == ejectMin, "the ejection is told")
		}
	}
	require.Equal(t, "c", x.Choose(at(10), "r", list, nil, nil, connections).ID)
}

// Guards against evidence for other VMs that leaves out slow and silent leaves, or that holds it against a leaf that a caller
// has left or that accepts no further connection of this VM.
func TestTrackerGathersEvidence(t *testing.T) {
	x := newTrackerTrial(3)
	x.send(100, 100, healthy)
	for _, e := range x.tracker.TakeEvidence() {
		require.Zero(t, e.Bad)
		require.Positive(t, e.Attempts)
	}
	require.Empty(t, x.tracker.TakeEvidence(), "it is told once")
	m := x.list[0]
	end := func(e AttemptEnd, cancelled bool) {
		x.tracker.Begin(at(x.now), "r", m)
		x.tracker.Done(at(x.now).Add(e.Latency), "r", m, at(x.now), &e, cancelled)
	}
	slow, _ := answersIn(50 * time.Millisecond)
	end(slow, false)
	end(lost, false)
	end(AttemptEnd{Sent: true, Err: lost.Err, Latency: 400 * time.Millisecond}, true)
	end(AttemptEnd{Sent: true, Err: lost.Err, Latency: 20 * time.Millisecond}, true)
	end(AttemptEnd{Err: lost.Err}, false)
	end(AttemptEnd{Err: lost.Err, Refused: true}, false)
	end(AttemptEnd{Err: lost.Err, Refused: true, Sent: true}, false)
	usual, _ := healthy("")
	end(usual, false)
	require.Equal(t, []leaves.Evidence{{Leaf: m.Key().Incarnation, Attempts: 4, Bad: 3}}, x.tracker.TakeEvidence())
}
