package forward

import (
	"errors"
	"maps"
	"slices"
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

// fakeEnv chooses the leaves of each service in the order of its list.
type fakeEnv struct {
	leaves     map[model.ServiceName][]*leaves.Member
	full       map[string]bool
	paused     map[string]time.Time
	hedgeDelay time.Duration
	seen       SeenLatency
	extraLeft  int
	// unsent holds the numbers, as in Send, of the attempts of which nothing was sent.
	unsent map[[2]int]bool
	// pending is how many of the next requests for extra attempts are pending.
	pending       int
	firstAttempts int
	// whenFull holds the expected times of full services.
	whenFull map[model.ServiceName]time.Duration
}

func newEnv(services ...model.ServiceName) *fakeEnv {
	e := &fakeEnv{leaves: map[model.ServiceName][]*leaves.Member{}, full: map[string]bool{}, paused: map[string]time.Time{}, hedgeDelay: 20 * time.Millisecond, extraLeft: 100}
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

func (e *fakeEnv) Choose(now time.Time, s model.ServiceName, tried []*leaves.Member) *leaves.Member {
	for _, m := range e.untried(s, tried) {
		if !e.full[m.ID] && !now.Before(e.paused[m.ID]) {
			return m
		}
	}
	return nil
}

func (e *fakeEnv) HasUntried(now time.Time, s model.ServiceName, tried []*leaves.Member) bool {
	return slices.ContainsFunc(e.untried(s, tried), func(m *leaves.Member) bool { return !now.Before(e.paused[m.ID]) })
}

func (e *fakeEnv) NextReturn(now time.Time, s model.ServiceName) (first time.Time) {
	for _, m := range e.leaves[s] {
		end := e.paused[m.ID]
		if !now.Before(end) {
			return time.Time{}
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

func (e *fakeEnv) PauseEnd(now time.Time, s model.ServiceName, tried []*leaves.Member) (first time.Time) {
	for _, m := range e.untried(s, tried) {
		if end := e.paused[m.ID]; now.Before(end) && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	return first
}

func (e *fakeEnv) CountFirst(time.Time, model.ServiceName) { e.firstAttempts++ }
func (e *fakeEnv) TryExtra(time.Time, model.ServiceName, bool) Extra {
	if e.pending > 0 {
		e.pending--
		return ExtraPending
	}
	e.extraLeft--
	if e.extraLeft < 0 {
		return ExtraDenied
	}
	return ExtraGranted
}
func (e *fakeEnv) Withdraw(part, attempt int) bool { return e.unsent[[2]int{part, attempt}] }
func (e *fakeEnv) HedgeDelay() time.Duration       { return e.hedgeDelay }

func (e *fakeEnv) ExpectedWhenFull(_ time.Time, s model.ServiceName) time.Duration {
	return e.whenFull[s]
}

func (e *fakeEnv) SeenLatency() SeenLatency { return e.seen }

func singleRoute(repeatable bool) *routes.Route {
	return &routes.Route{Name: "one", Repeatable: repeatable, Timeout: time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Split: []routes.Share{{Service: "a", Weight: 1}}}
}

func scatterRoute(minCoverage float64) *routes.Route {
	return &routes.Route{Name: "all", Repeatable: true, Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Shards: []model.ServiceName{"a", "b", "c", "d"}, TopRecords: 2, MinCoverage: minCoverage}
}

func newRun(r *routes.Route, e Env) *Run {
	return NewRun(&Request{ID: "x", Received: start, Deadline: at(2000)}, r, "a", Options{CallerDelay: 10 * time.Millisecond}, e)
}

func successWith(body string) AttemptResult {
	return AttemptResult{Sent: true, Reply: &LeafReply{Status: 200, Signature: "sig " + body, Body: []byte(body)}}
}

func replyWith(code int, notRun bool) AttemptResult {
	return AttemptResult{Sent: true, Reply: &LeafReply{Status: code, Signature: "sig", NotRun: notRun}}
}

var lostConnection = AttemptResult{Sent: true, Err: errors.New("connection reset")}

// Guards against a request that is not repeatable and runs twice, and against a response that claims that it has not run.
func TestUnrepeatableRequestIsNotSentAgainOnceItMayHaveRun(t *testing.T) {
	e := newEnv("a")
	r := newRun(singleRoute(false), e)
	sends, _, _ := r.Step(start)
	require.Len(t, sends, 1)
	sends, response, _ := r.Step(at(500))
	require.Empty(t, sends, "no hedge")
	require.Nil(t, response)
	r.AttemptEnded(0, 0, lostConnection)
	_, response, _ = r.Step(at(501))
	require.Equal(t, KindFailed, response.Kind)
}

// Guards against failing a request that a leaf states it has not run, although another leaf could run it.
func TestRequestThatWasNotRunIsSentAgain(t *testing.T) {
	e := newEnv("a")
	r := newRun(singleRoute(false), e)
	r.Step(start)
	r.AttemptEnded(0, 0, replyWith(503, true))
	sends, _, _ := r.Step(at(1))
	require.Equal(t, "a2", sends[0].Leaf.ID)
	require.Equal(t, 99, e.extraLeft, "an extra attempt is counted, since the first one reached a leaf")
	r.AttemptEnded(0, 1, AttemptResult{Err: errors.New("refused"), Refused: true})
	sends, _, _ = r.Step(at(2))
	require.Equal(t, "a3", sends[0].Leaf.ID)
	r.AttemptEnded(0, 2, replyWith(503, true))
	sends, response, wake := r.Step(at(3))
	require.Empty(t, sends)
	require.Nil(t, response)
	sends, _, _ = r.Step(wake)
	require.Equal(t, "a1", sends[0].Leaf.ID, "all leaves are tried again after a delay")
	for n := 3; n < 6; n++ {
		r.AttemptEnded(0, n, replyWith(503, true))
		_, response, _ = r.Step(at(50 + n))
	}
	require.Equal(t, KindRefused, response.Kind, "no leaf ran it, and none will")
	require.Positive(t, response.RetryAfter)
}

// Guards against a refusal while an attempt is still pending.
func TestTimeoutWithPendingAttemptIsNoRefusal(t *testing.T) {
	r := newRun(singleRoute(false), newEnv("a"))
	r.Step(start)
	_, response, _ := r.Step(at(1000))
	require.Equal(t, KindTimeout, response.Kind)
}

// Guards against a failure reply of a leaf that does not reach the caller unchanged.
func TestFailureReplyIsPassedOn(t *testing.T) {
	r := newRun(singleRoute(false), newEnv("a"))
	r.Step(start)
	r.AttemptEnded(0, 0, replyWith(500, false))
	_, response, _ := r.Step(at(5))
	require.Equal(t, KindLeaf, response.Kind)
	require.Equal(t, 500, response.Reply.Status)
}

// Guards against a request that has run once and that the caller sends again, because it got a response which means that the request has
// not run. Attempts of requests that may run once end in all ways and orders.
func TestResponseMeansNotRunOnlyIfNoLeafMayHaveRunTheRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := map[string]AttemptResult{
			"not sent": {Err: errors.New("refused"), Refused: true}, "lost": lostConnection, "not run": replyWith(503, true), "failed": replyWith(500, false),
			"status means not run": {Sent: true, Reply: &LeafReply{Status: 503, Signature: "sig", StatusMeansNotRun: true}},
		}
		names := rapid.SliceOfN(rapid.SampledFrom(slices.Sorted(maps.Keys(ends))), 12, 12).Draw(t, "ends of attempts")
		r := newRun(singleRoute(false), newEnv("a"))
		mayHaveRun := 0
		sends, response, wake := r.Step(start)
		for n := 0; response == nil; sends, response, wake = r.Step(wake) {
			for _, s := range sends {
				end := ends[names[n]]
				n++
				r.AttemptEnded(s.Part, s.Attempt, end)
				if end.MayHaveRun() {
					mayHaveRun++
				}
			}
		}
		require.LessOrEqual(t, mayHaveRun, 1)
		meansNotRun := response.Kind == KindRefused || response.Kind == KindLeaf && response.Reply.StatusMeansNotRun
		require.Equal(t, mayHaveRun == 0, meansNotRun, "%v: %s", names, response.Kind)
	})
}

// Guards against another response than the leaf's to a request that may run again: its caller repeats it after any failure.
func TestRepeatableRequestGetsTheReplyOfItsLeaf(t *testing.T) {
	r := newRun(singleRoute(true), newEnv("a"))
	reply := AttemptResult{Sent: true, Reply: &LeafReply{Status: 503, Signature: "sig", StatusMeansNotRun: true}}
	_, response, _ := r.Step(start)
	for n := 0; response == nil; n++ {
		r.AttemptEnded(0, n, reply)
		_, response, _ = r.Step(at(n + 1))
	}
	require.Equal(t, KindLeaf, response.Kind)
	require.Equal(t, reply.Reply, response.Reply)
}

// Guards against a success that the caller gets without the signature of a leaf, on routes whose requests may run once and on others.
func TestSuccessWithoutSignatureIsNotPassedOn(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		r := newRun(singleRoute(repeatable), newEnv("a"))
		_, response, _ := r.Step(start)
		for n := 0; response == nil; n++ {
			r.AttemptEnded(0, n, AttemptResult{Sent: true, Reply: &LeafReply{Status: 201, Body: []byte("body")}})
			_, response, _ = r.Step(at(n + 1))
		}
		require.Equal(t, KindFailed, response.Kind)
		require.Nil(t, response.Reply)
		require.Contains(t, response.Reason, "without a signature")
	}
}

// Guards against a request that waits for an available connection until its deadline although another VM could serve
// it.
func TestRequestWithoutConnectionIsRefusedEarly(t *testing.T) {
	e := newEnv("a")
	e.full = map[string]bool{"a1": true, "a2": true, "a3": true}
	r := newRun(singleRoute(true), e)
	sends, response, wake := r.Step(start)
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(100), wake)
	require.Equal(t, []model.ServiceName{"a"}, r.Waiting())
	_, response, _ = r.Step(wake)
	require.Equal(t, KindRefused, response.Kind)
	require.Zero(t, e.firstAttempts)
}

// Guards against a paused leaf that delays the whole answer, and against a second hedge of one attempt.
func TestSlowPartIsHedgedOnce(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	r := newRun(scatterRoute(1), e)
	sends, _, wake := r.Step(start)
	require.Len(t, sends, 4)
	require.Equal(t, at(20), wake)
	for i := range 3 {
		r.AttemptEnded(i, 0, successWith("aaaaaaaaaaaaaaa"+string(rune('a'+i))))
	}
	sends, _, _ = r.Step(at(20))
	require.Len(t, sends, 1)
	require.Equal(t, "d2", sends[0].Leaf.ID)
	sends, _, _ = r.Step(at(60))
	require.Empty(t, sends)
	r.AttemptEnded(3, 1, successWith("aaaaaaaaaaaaaaad"))
	_, response, _ := r.Step(at(61))
	require.Equal(t, KindMerged, response.Kind)
	require.Zero(t, response.Missing)
	require.Equal(t, "aaaaaaaaaaaaaaadaaaaaaaaaaaaaaac", string(response.Body))
}

// Guards against a partial answer that is given after or before the objective, or that does not count the missing shards.
func TestPartialAnswerAtTheObjective(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.extraLeft = 0
	r := newRun(scatterRoute(0.75), e)
	r.Step(start)
	for i := range 3 {
		r.AttemptEnded(i, 0, successWith("aaaaaaaaaaaaaaaa"))
	}
	_, response, wake := r.Step(at(50))
	require.Nil(t, response)
	require.Equal(t, at(90), wake, "the objective less the delay to the caller")
	_, response, _ = r.Step(wake)
	require.Equal(t, KindMerged, response.Kind)
	require.Equal(t, 1, response.Missing)
	require.Len(t, response.Signatures, 3)
}

// Guards against an answer with fewer shards than the route requires, and against waiting once there can be no answer.
func TestRequestFailsOnceCoverageIsOutOfReach(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.extraLeft = 0
	r := newRun(scatterRoute(0.75), e)
	r.Step(start)
	r.AttemptEnded(0, 0, lostConnection)
	_, response, _ := r.Step(at(5))
	require.Nil(t, response)
	r.AttemptEnded(1, 0, replyWith(500, false))
	_, response, _ = r.Step(at(6))
	require.Equal(t, KindFailed, response.Kind)
}

// Guards against merged records that are out of order, truncated or too many.
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

// Guards against more extra attempts than the budget allows in any window.
func TestBudgetLimitsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := BudgetLimits{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
		var b Budget
		var firsts, extras []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.CountFirst(now, l)
				firsts = append(firsts, now)
			} else if b.TryExtra(now, l, false) {
				extras = append(extras, now)
			}
		}
		for _, end := range extras {
			within := func(list []time.Time, window time.Duration) (n int) {
				for _, x := range list {
					if !x.After(end) && end.Sub(x) < window {
						n++
					}
				}
				return n
			}
			// The budget counts first attempts with the resolution of its window.
			require.LessOrEqual(t, float64(within(extras, l.Window)), l.Ratio*float64(within(firsts, l.Window+budgetStep))+l.Slack)
		}
	})
}

// Guards against a slack that is lost to rounding because each of many VMs gets only a few attempts of it, and against VMs that
// together exceed it.
func TestBudgetsOfManyVMsAddUp(t *testing.T) {
	const vms, slack = 86, 150.0
	random := testRandom()
	taken := 0
	for range vms {
		b := NewBudget(random.Float64())
		for b.TryExtra(start, BudgetLimits{Slack: slack / vms, Window: 10 * time.Second}, false) {
			taken++
		}
	}
	// The sum of 86 randomly rounded fractions has a standard deviation of less than 5.
	require.InDelta(t, slack, taken, 15)
}

func members(n int) (out []*leaves.Member) {
	for i := range n {
		out = append(out, &leaves.Member{Leaf: leaves.Leaf{ID: string(rune('a' + i)), Slots: 3, AvailabilityZone: "z"}})
	}
	return out
}

// Guards against requests that are sent to a stalled, failing or ejected leaf while others have available connections.
func TestTrackerAvoidsStalledAndFailingLeaves(t *testing.T) {
	connections := fakeConnections{}
	list := members(3)
	x := NewTracker(TrackerOptions{Zone: "z", HedgeQuantile: 0.9}, testRandom())
	for i := range 60 {
		m := list[i%3]
		x.AttemptStarted(at(i), "r", m)
		ok := successWith("")
		ok.Latency = 10 * time.Millisecond
		x.AttemptEnded(at(i+10), "r", m, at(i), &ok, false)
	}
	x.AttemptStarted(at(100), "r", list[0])
	for range 20 {
		require.NotEqual(t, "a", x.Choose(at(200), "r", list, nil, nil, connections).ID, "leaf a has not answered for 100 ms")
	}
	for i := range ejectAfter {
		x.AttemptStarted(at(200+i), "r", list[1])
		x.AttemptEnded(at(200+i), "r", list[1], at(200+i), &lostConnection, false)
	}
	for range 20 {
		require.Equal(t, "c", x.Choose(at(210), "r", list, nil, nil, connections).ID)
	}
	require.Equal(t, "b", x.Choose(at(210), "r", list[1:2], nil, nil, connections).ID, "an ejected leaf is used when there is no other")
	require.Nil(t, x.Choose(at(210), "r", list[:1], list[:1], nil, connections))
}

// Guards against a request that is sent, hedged or retried after its deadline, because the process was paused in between.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	for _, route := range []*routes.Route{singleRoute(true), singleRoute(false), scatterRoute(0.5)} {
		sends, response, _ := newRun(route, newEnv("a", "b", "c", "d")).Step(at(10_000))
		require.Empty(t, sends)
		require.Equal(t, KindRefused, response.Kind, "nothing was sent, so it has not run")
		r := newRun(route, newEnv("a", "b", "c", "d"))
		r.Step(start)
		sends, response, _ = r.Step(at(10_000))
		require.Empty(t, sends)
		require.Equal(t, KindTimeout, response.Kind)
		r = newRun(route, newEnv("a", "b", "c", "d"))
		r.Step(start)
		r.AttemptEnded(0, 0, replyWith(503, true))
		sends, _, _ = r.Step(at(10_000))
		require.Empty(t, sends)
	}
}

// Guards against a request that is held by a silent leaf until its deadline or the end of the VM, because the other leaves were busy
// for a moment when its hedge was due; and against hedges that are tried all the time while they are.
func TestHedgeIsTriedAgainAfterOtherLeavesWereBusy(t *testing.T) {
	e := newEnv("a")
	r := newRun(singleRoute(true), e) // The objective is 400 ms.
	sends, _, _ := r.Step(start)
	require.Equal(t, "a1", sends[0].Leaf.ID)
	e.full["a2"], e.full["a3"] = true, true
	sends, response, wake := r.Step(at(20))
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(120), wake)
	e.full["a2"] = false
	sends, _, wake = r.Step(at(60))
	require.Empty(t, sends)
	require.Equal(t, at(120), wake)
	sends, _, _ = r.Step(at(120))
	require.Len(t, sends, 1)
	require.Equal(t, "a2", sends[0].Leaf.ID)
	sends, _, _ = r.Step(at(300))
	require.Empty(t, sends, "the route allows two attempts")
	require.Zero(t, r.Waiting(), "a request with an attempt under way is in no queue")
}

// Guards against 502 for a request that no leaf has run, because its last step chose leaves for some parts and gave up on another.
func TestAttemptsThatAreNotStartedCountAsNotRun(t *testing.T) {
	e := newEnv("a", "b", "c", "d")
	e.extraLeft = 3
	r := newRun(scatterRoute(1), e)
	sends, _, _ := r.Step(start)
	require.Len(t, sends, 4)
	for _, s := range sends {
		r.AttemptEnded(s.Part, s.Attempt, replyWith(503, true))
	}
	sends, response, _ := r.Step(at(1))
	require.Empty(t, sends)
	require.Equal(t, KindRefused, response.Kind)
	require.Positive(t, response.RetryAfter)
}

// Guards against 504 or 502 for a request of which nothing was sent, because connections to leaves were still being opened, and against
// 503 for one that may have been sent.
func TestRequestOfWhichNothingWasSentIsRefused(t *testing.T) {
	for _, c := range []struct {
		unsent map[[2]int]bool
		kind   Kind
	}{
		{map[[2]int]bool{{0, 0}: true, {0, 1}: true}, KindRefused},
		{map[[2]int]bool{{0, 0}: true}, KindTimeout},
		{map[[2]int]bool{{0, 1}: true}, KindTimeout},
	} {
		for _, end := range []int{0, 30} {
			e := newEnv("a")
			e.unsent = c.unsent
			r := newRun(singleRoute(true), e)
			r.Step(start)
			sends, _, _ := r.Step(at(20))
			require.Len(t, sends, 1, "the hedge")
			now := 1000
			if end > 0 {
				r.End(at(end))
				now = end
			}
			_, response, _ := r.Step(at(now))
			require.Equal(t, c.kind, response.Kind)
			require.Equal(t, c.kind == KindRefused && end > 0, response.TryAnotherVM)
		}
	}
	for _, unsent := range []bool{true, false} {
		e := newEnv("a", "b", "c", "d")
		e.extraLeft = 0
		e.unsent = map[[2]int]bool{{1, 0}: unsent, {2, 0}: true, {3, 0}: true}
		r := newRun(scatterRoute(1), e)
		r.Step(start)
		r.AttemptEnded(0, 0, replyWith(503, true))
		_, response, _ := r.Step(at(1))
		if unsent {
			require.Equal(t, KindRefused, response.Kind)
		} else {
			require.Equal(t, KindFailed, response.Kind)
		}
	}
}

// Guards against a request that waits for an available connection until its deadline, because an attempt was chosen that could not be
// sent.
func TestRequestIsRefusedEarlyAfterAnAttemptThatWasNotSent(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		e := newEnv("a")
		r := newRun(singleRoute(repeatable), e)
		sends, _, _ := r.Step(start)
		require.Len(t, sends, 1)
		e.full = map[string]bool{"a1": true, "a2": true, "a3": true}
		r.AttemptEnded(0, 0, AttemptResult{Err: errors.New("all connections are busy")})
		sends, response, wake := r.Step(at(1))
		require.Empty(t, sends)
		require.Nil(t, response)
		require.Equal(t, at(100), wake)
		_, response, _ = r.Step(wake)
		require.NotNil(t, response, "the route's timeout is 1 s")
		require.Equal(t, KindRefused, response.Kind)
	}
}
