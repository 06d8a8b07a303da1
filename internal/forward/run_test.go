package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fakeEnv offers the leaves of each service in their order.
type fakeEnv struct {
	leaves  map[model.ServiceName][]*leaves.Member
	full    map[string]bool
	hedge   time.Duration
	repeats int
	first   int
}

func newEnv(services ...model.ServiceName) *fakeEnv {
	e := &fakeEnv{leaves: map[model.ServiceName][]*leaves.Member{}, full: map[string]bool{}, hedge: 20 * time.Millisecond, repeats: 100}
	for _, s := range services {
		for _, n := range []string{"1", "2", "3"} {
			e.leaves[s] = append(e.leaves[s], &leaves.Member{Leaf: leaves.Leaf{ID: string(s) + n, Service: s}})
		}
	}
	return e
}

func (e *fakeEnv) untried(s model.ServiceName, tried []*leaves.Member) (out []*leaves.Member) {
next:
	for _, m := range e.leaves[s] {
		for _, t := range tried {
			if t.ID == m.ID {
				continue next
			}
		}
		out = append(out, m)
	}
	return out
}

func (e *fakeEnv) Choose(_ time.Time, s model.ServiceName, tried []*leaves.Member) *leaves.Member {
	for _, m := range e.untried(s, tried) {
		if !e.full[m.ID] {
			return m
		}
	}
	return nil
}

func (e *fakeEnv) Known(s model.ServiceName, tried []*leaves.Member) bool {
	return len(e.untried(s, tried)) > 0
}
func (e *fakeEnv) First(time.Time, model.ServiceName) { e.first++ }
func (e *fakeEnv) Repeat(time.Time, model.ServiceName, bool) bool {
	e.repeats--
	return e.repeats >= 0
}
func (e *fakeEnv) HedgeAfter() time.Duration { return e.hedge }

func single(repeatable bool) *routes.Route {
	return &routes.Route{Name: "one", Repeatable: repeatable, Timeout: time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Split: []routes.Share{{Service: "a", Weight: 1}}}
}

func gather(least float64) *routes.Route {
	return &routes.Route{Name: "all", Repeatable: true, Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Shards: []model.ServiceName{"a", "b", "c", "d"}, TopRecords: 2, MinCoverage: least}
}

func begin(r *routes.Route, e Env) *Run {
	return NewRun(&Request{ID: "x", Received: start, Deadline: at(2000)}, r, "a", Options{CallerDelay: 10 * time.Millisecond}, e)
}

func success(body string) AttemptEnd {
	return AttemptEnd{Sent: true, Reply: &LeafReply{Status: 200, Signature: "sig " + body, Body: []byte(body)}}
}

func status(code int, notRun bool) AttemptEnd {
	return AttemptEnd{Sent: true, Reply: &LeafReply{Status: code, Signature: "sig", NotRun: notRun}}
}

var lost = AttemptEnd{Sent: true, Err: errors.New("connection reset")}

// Guards against an unsafe request that runs twice, and against telling its caller that it has not run.
func TestUnsafeRequestIsSentOnceAfterItMayHaveRun(t *testing.T) {
	e := newEnv("a")
	r := begin(single(false), e)
	sends, _, _ := r.Step(start)
	require.Len(t, sends, 1)
	sends, response, _ := r.Step(at(500))
	require.Empty(t, sends, "no hedge")
	require.Nil(t, response)
	r.Ended(0, 0, lost)
	_, response, _ = r.Step(at(501))
	require.Equal(t, KindFailed, response.Kind)
}

// Guards against giving up on a request that a leaf states not to have run.
func TestNotRunIsSentAgain(t *testing.T) {
	e := newEnv("a")
	r := begin(single(false), e)
	r.Step(start)
	r.Ended(0, 0, status(503, true))
	sends, _, _ := r.Step(at(1))
	require.Equal(t, "a2", sends[0].Leaf.ID)
	require.Equal(t, 99, e.repeats, "the arrival that the leaf rejected counts")
	r.Ended(0, 1, AttemptEnd{Err: errors.New("refused"), Refused: true})
	sends, _, _ = r.Step(at(2))
	require.Equal(t, "a3", sends[0].Leaf.ID)
	r.Ended(0, 2, status(503, true))
	sends, response, wake := r.Step(at(3))
	require.Empty(t, sends)
	require.Nil(t, response)
	sends, _, _ = r.Step(wake)
	require.Equal(t, "a1", sends[0].Leaf.ID, "all are tried again after a pause")
	for n := 3; n < 6; n++ {
		r.Ended(0, n, status(503, true))
		_, response, _ = r.Step(at(50 + n))
	}
	require.Equal(t, KindRefused, response.Kind, "no leaf ran it, and none will")
	require.Positive(t, response.RetryAfter)
}

// Guards against a refusal while an attempt is still on its way.
func TestTimeoutIsNoRefusal(t *testing.T) {
	r := begin(single(false), newEnv("a"))
	r.Step(start)
	_, response, _ := r.Step(at(1000))
	require.Equal(t, KindTimeout, response.Kind)
}

// Guards against a leaf's own failure that is answered in other words.
func TestFailureOfTheLeafIsPassedOn(t *testing.T) {
	r := begin(single(false), newEnv("a"))
	r.Step(start)
	r.Ended(0, 0, status(500, false))
	_, response, _ := r.Step(at(5))
	require.Equal(t, KindLeaf, response.Kind)
	require.Equal(t, 500, response.Reply.Status)
}

// Guards against a request that waits for room until its deadline although another VM could serve it.
func TestRefusedEarlyWithoutRoom(t *testing.T) {
	e := newEnv("a")
	e.full = map[string]bool{"a1": true, "a2": true, "a3": true}
	r := begin(single(true), e)
	sends, response, wake := r.Step(start)
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(100), wake)
	require.Equal(t, []model.ServiceName{"a"}, r.Waiting())
	_, response, _ = r.Step(wake)
	require.Equal(t, KindRefused, response.Kind)
	require.Zero(t, e.first)
}

// Guards against a paused leaf that decides the latency of the whole answer, and against a second hedge.
func TestSlowPartIsHedgedOnce(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	r := begin(gather(1), e)
	sends, _, wake := r.Step(start)
	require.Len(t, sends, 4)
	require.Equal(t, at(20), wake)
	for i := range 3 {
		r.Ended(i, 0, success("aaaaaaaaaaaaaaa"+string(rune('a'+i))))
	}
	sends, _, _ = r.Step(at(20))
	require.Len(t, sends, 1)
	require.Equal(t, "d2", sends[0].Leaf.ID)
	sends, _, _ = r.Step(at(60))
	require.Empty(t, sends)
	r.Ended(3, 1, success("aaaaaaaaaaaaaaad"))
	_, response, _ := r.Step(at(61))
	require.Equal(t, KindMerged, response.Kind)
	require.Zero(t, response.Missing)
	require.Equal(t, "aaaaaaaaaaaaaaadaaaaaaaaaaaaaaac", string(response.Body))
}

// Guards against a partial answer that waits beyond the objective, comes before it, or hides what is missing.
func TestPartialAnswerAtTheObjective(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.repeats = 0
	r := begin(gather(0.75), e)
	r.Step(start)
	for i := range 3 {
		r.Ended(i, 0, success("aaaaaaaaaaaaaaaa"))
	}
	_, response, wake := r.Step(at(50))
	require.Nil(t, response)
	require.Equal(t, at(90), wake, "the objective less the way to the caller")
	_, response, _ = r.Step(wake)
	require.Equal(t, KindMerged, response.Kind)
	require.Equal(t, 1, response.Missing)
	require.Len(t, response.Signatures, 3)
}

// Guards against an answer with fewer parts than the route asks for, and against waiting when it cannot come.
func TestTooFewPartsFailAtOnce(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.repeats = 0
	r := begin(gather(0.75), e)
	r.Step(start)
	r.Ended(0, 0, lost)
	_, response, _ := r.Step(at(5))
	require.Nil(t, response)
	r.Ended(1, 0, status(500, false))
	_, response, _ = r.Step(at(6))
	require.Equal(t, KindFailed, response.Kind)
}

// Guards against merged records that are out of order, cut or from more than the allowed number.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 100)).Draw(t, "bodies")
		top := rapid.IntRange(0, 8).Draw(t, "top")
		out := Merge(bodies, top)
		n := 0
		for _, b := range bodies {
			n += len(b) / RecordBytes
		}
		require.Len(t, out, min(n, top)*RecordBytes)
		for i := RecordBytes; i < len(out); i += RecordBytes {
			require.GreaterOrEqual(t, string(out[i-RecordBytes:i]), string(out[i:i+RecordBytes]))
		}
	})
}

// Guards against more repeats than the shared budget allows in any window.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := BudgetLimits{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
		var b Budget
		var firsts, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.First(now, l)
				firsts = append(firsts, now)
			} else if b.Take(now, l, false) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			within := func(list []time.Time, window time.Duration) (n int) {
				for _, x := range list {
					if !x.After(end) && end.Sub(x) < window {
						n++
					}
				}
				return n
			}
			// Requests are counted to the resolution of the window.
			require.LessOrEqual(t, float64(within(repeats, l.Window)), l.Ratio*float64(within(firsts, l.Window+budgetStep))+l.Slack)
		}
	})
}

// Guards against a slack that is lost to fractions, because each of many VMs has a few attempts of it only, and against VMs
// that exceed it together.
func TestBudgetsOfManyVMsKeepToTheirSum(t *testing.T) {
	const vms, slack = 86, 150.0
	random := testRandom()
	taken := 0
	for range vms {
		b := NewBudget(random.Float64())
		for b.Take(start, BudgetLimits{Slack: slack / vms, Window: 10 * time.Second}, false) {
			taken++
		}
	}
	// A sum of 86 fractions that are rounded at random has a deviation of less than 5.
	require.InDelta(t, slack, taken, 15)
}

func members(n int) (out []*leaves.Member) {
	for i := range n {
		out = append(out, &leaves.Member{Leaf: leaves.Leaf{ID: string(rune('a' + i)), Slots: 3, AvailabilityZone: "z"}})
	}
	return out
}

// Guards against requests that keep going to a stalled, failing or ejected leaf while others are free.
func TestTrackerAvoidsTroubledLeaves(t *testing.T) {
	room := openLeaves{}
	list := members(3)
	x := NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom())
	for i := range 60 {
		m := list[i%3]
		x.Begin(at(i), "r", m)
		ok := success("")
		ok.Latency = 10 * time.Millisecond
		x.Done(at(i+10), "r", m, at(i), &ok, false)
	}
	x.Begin(at(100), "r", list[0])
	for range 20 {
		require.NotEqual(t, "a", x.Choose(at(200), "r", list, nil, nil, room).ID, "a has not answered for 100 ms")
	}
	for i := range ejectAfter {
		x.Begin(at(200+i), "r", list[1])
		x.Done(at(200+i), "r", list[1], at(200+i), &lost, false)
	}
	for range 20 {
		require.Equal(t, "c", x.Choose(at(210), "r", list, nil, nil, room).ID)
	}
	require.Equal(t, "b", x.Choose(at(210), "r", list[1:2], nil, nil, room).ID, "an ejected leaf serves when there is no other")
	require.Nil(t, x.Choose(at(210), "r", list[:1], list[:1], nil, room))
}
