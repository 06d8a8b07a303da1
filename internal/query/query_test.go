package query

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

var epoch = time.Unix(1_800_000_000, 0)

// fakeEnv makes decisions from the values that a property test draws, and models whether an attempt has been sent to
// its target.
type fakeEnv struct {
	hedges, retries int
	hedgeAfter      time.Duration
	retryDelay      time.Duration
	// retryTimeouts allows retries of shards that are still unanswered.
	retryTimeouts bool
	// queued lists attempts that were in Ready.Send and have not been sent yet, and withdrawn those that never will be.
	queued    map[int]bool
	withdrawn map[int]bool
}

func (f *fakeEnv) Choose(_ time.Time, c ChooseInput) *model.Target {
	for _, t := range c.Holders {
		if !containsTarget(c.Tried, t) {
			return t
		}
	}
	if c.Straggler != nil && !c.AllowTried || len(c.Holders) == 0 {
		return nil
	}
	return c.Holders[0]
}

func containsTarget(list []*model.Target, t *model.Target) bool {
	return slices.ContainsFunc(list, func(x *model.Target) bool { return x.ID == t.ID })
}

func (f *fakeEnv) HedgeAfter(model.ShardID) (time.Duration, bool) {
	return f.hedgeAfter, f.hedgeAfter > 0
}
func (f *fakeEnv) Retry(r RetryInput) (time.Duration, bool) {
	return f.retryDelay, r.Retries < 3 && (f.retryTimeouts || r.Status != model.ReplyTimeout)
}
func (f *fakeEnv) TakeHedge(bool) bool { return f.take(&f.hedges, 1) }
func (f *fakeEnv) TakeRetries(n int) bool {
	return f.take(&f.retries, n)
}
func (f *fakeEnv) take(from *int, n int) bool {
	if *from < n {
		return false
	}
	*from -= n
	return true
}
func (f *fakeEnv) Withdraw(n int) bool {
	if f.queued[n] {
		delete(f.queued, n)
		f.withdrawn[n] = true
	}
	return f.withdrawn[n]
}

// send models that an attempt is sent to its target.
func (f *fakeEnv) send(n int) { delete(f.queued, n) }

// cluster draws layouts and targets. Each target holds some shards of one layout in some index versions.
func cluster(t *rapid.T) (map[model.LayoutNumber]*model.Layout, []*model.Target) {
	layouts := map[model.LayoutNumber]*model.Layout{}
	for n := model.LayoutNumber(1); n <= 2; n++ {
		count := rapid.IntRange(1, 5).Draw(t, "shards")
		l := &model.Layout{Service: "s", Number: n}
		for i := 0; i < count; i++ {
			l.Shards = append(l.Shards, model.Shard{ID: model.ShardID(i), Share: 1 / float64(count)})
		}
		layouts[n] = l
	}
	var targets []*model.Target
	count := rapid.IntRange(1, 8).Draw(t, "targets")
	for i := 0; i < count; i++ {
		l := layouts[model.LayoutNumber(rapid.IntRange(1, 2).Draw(t, "layout"))]
		target := &model.Target{Announcement: model.Announcement{Service: "s", ID: model.TargetID(fmt.Sprintf("t%d", i)), State: model.TargetServing, Layout: l.Ref()}}
		for _, s := range l.Shards {
			if rapid.IntRange(0, 3).Draw(t, "holds") > 0 {
				target.Shards = append(target.Shards, s.ID)
			}
		}
		for v := model.IndexVersion(1); v <= 2; v++ {
			if rapid.Bool().Draw(t, "version") {
				target.IndexVersions = append(target.IndexVersions, v)
			}
		}
		targets = append(targets, target)
	}
	return layouts, targets
}

func planOf(layouts map[model.LayoutNumber]*model.Layout, targets []*model.Target) *Plan {
	return NewPlan(layouts, planHolders(targets), targets, nil)
}

func planHolders(targets []*model.Target) map[model.Snapshot]map[model.ShardID][]*model.Target {
	holders := map[model.Snapshot]map[model.ShardID][]*model.Target{}
	for _, t := range targets {
		for _, v := range t.IndexVersions {
			s := model.Snapshot{Layout: t.Layout.Number, Index: v}
			if holders[s] == nil {
				holders[s] = map[model.ShardID][]*model.Target{}
			}
			for _, shard := range t.Shards {
				holders[s][shard] = append(holders[s][shard], t)
			}
		}
	}
	return holders
}

// harness drives one query with drawn inputs and records what happened to each attempt.
type harness struct {
	t            *rapid.T
	query        *Query
	env          *fakeEnv
	now          time.Time
	sentSnapshot map[int]model.Snapshot
	inFlight     []int
	sentAttempts []int
	mayHaveRun   map[int]bool
	attemptIDs   map[model.AttemptID]bool
	answer       *model.Answer
	hedged       int
	retried      int
}

func (h *harness) act() {
	r := h.query.Ready()
	for _, n := range r.Send {
		a := h.query.Attempt(n)
		require.False(h.t, h.attemptIDs[a.ID], "an attempt ID was used twice")
		require.Nil(h.t, r.Answer, "an attempt was sent together with the answer")
		h.attemptIDs[a.ID] = true
		h.sentSnapshot[n] = h.query.Snapshot()
		h.inFlight, h.sentAttempts = append(h.inFlight, n), append(h.sentAttempts, n)
		h.env.queued[n] = true
		h.mayHaveRun[n] = true // Until the target replies that it did not run.
		switch a.Kind {
		case KindHedge:
			h.hedged++
		case KindRetry:
			h.retried++
		}
	}
	h.answer = r.Answer
	h.query.Advance()
}

// step draws one input and passes it to the query.
func (h *harness) step(plan func() *Plan) {
	switch kind := rapid.IntRange(0, 9).Draw(h.t, "input"); {
	case kind <= 5 && len(h.inFlight) > 0:
		i := rapid.IntRange(0, len(h.inFlight)-1).Draw(h.t, "attempt")
		n := h.inFlight[i]
		h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
		h.reply(n)
	case kind == 6 && len(h.sentAttempts) > 0: // A duplicate or late reply.
		n := h.sentAttempts[rapid.IntRange(0, len(h.sentAttempts)-1).Draw(h.t, "duplicate")]
		if !slices.Contains(h.inFlight, n) {
			late := h.okReply(n)
			late.Body = []byte("late")
			h.query.Reply(h.now, n, late)
		}
	case kind == 8 && len(h.inFlight) > 0:
		h.env.send(h.inFlight[rapid.IntRange(0, len(h.inFlight)-1).Draw(h.t, "sent")])
	case kind == 7:
		h.query.PlanChanged(h.now, plan())
	case kind == 9 && rapid.IntRange(0, 9).Draw(h.t, "cancel") == 0:
		h.query.Cancel(h.now)
	default:
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(h.t, "ms")) * time.Millisecond)
		h.query.Tick(h.now)
	}
}

// okReply returns a reply whose body names the snapshot and shard that the attempt was sent for.
func (h *harness) okReply(n int) model.Reply {
	a := h.query.Attempt(n)
	return model.Reply{Attempt: a.ID, Status: model.ReplyOK, Coverage: 1, Body: []byte(fmt.Sprintf("%s/%d", h.sentSnapshot[n], a.Shard))}
}

func (h *harness) reply(n int) {
	r := h.okReply(n)
	statuses := []model.ReplyStatus{model.ReplyOK, model.ReplyOK, model.ReplyOK, model.ReplyNotSent, model.ReplyShed, model.ReplyNotRun,
		model.ReplyNoSnapshot, model.ReplyMismatch, model.ReplyTruncated, model.ReplyTimeout, model.ReplyFailed}
	r.Status = rapid.SampledFrom(statuses).Draw(h.t, "status")
	if r.Status == model.ReplyOK {
		r.Coverage = rapid.SampledFrom([]float64{1, 1, 0.5, 0}).Draw(h.t, "coverage")
		if rapid.IntRange(0, 9).Draw(h.t, "crossed") == 0 {
			r.Attempt, r.Body = "another", []byte("of another attempt")
		}
	}
	h.env.send(n)
	if r.Status.DidNotRun() {
		h.mayHaveRun[n] = false
	}
	h.query.Reply(h.now, n, r)
}

// Guards against mixed snapshots, a wrong coverage, a wrong not_run, exceeded budgets and queries
// that never end, under any sequence of replies, timers, plan changes and cancellation.
func TestQueryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layouts, targets := cluster(t)
		env := &fakeEnv{
			hedges: rapid.IntRange(0, 3).Draw(t, "hedges"), retries: rapid.IntRange(0, 8).Draw(t, "retries"), queued: map[int]bool{}, withdrawn: map[int]bool{},
			hedgeAfter: time.Duration(rapid.IntRange(0, 30).Draw(t, "hedgeAfter")) * time.Millisecond,
			retryDelay: time.Duration(rapid.IntRange(0, 5).Draw(t, "retryDelay")) * time.Millisecond,
		}
		hedges, retries := env.hedges, env.retries
		service := &model.ServiceConfig{Name: "s", Idempotent: true, FinishAfter: 20 * time.Millisecond,
			Finish: rapid.SampledFrom([]model.FinishMode{model.FinishWait, model.FinishEarly}).Draw(t, "finish")}
		required := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "required")
		h := &harness{t: t, env: env, now: epoch, sentSnapshot: map[int]model.Snapshot{}, mayHaveRun: map[int]bool{}, attemptIDs: map[model.AttemptID]bool{}}
		h.query = New(Params{Request: &model.Request{ID: "r"}, Service: service, Start: epoch, FinishBy: epoch.Add(100 * time.Millisecond),
			Required: required, IDPrefix: "q-", Plan: planOf(layouts, targets)}, env)
		h.query.Start(h.now)
		h.act()
		for i := 0; h.answer == nil; i++ {
			require.Less(t, i, 500, "the query was never answered")
			h.step(func() *Plan {
				return planOf(layouts, targets[rapid.IntRange(0, len(targets)-1).Draw(t, "removed targets"):])
			})
			h.act()
		}
		checkAnswer(t, h, layouts, required)
		require.LessOrEqual(t, h.hedged, hedges-env.hedges, "more hedges than the budget allows")
		require.LessOrEqual(t, h.retried, retries-env.retries+countNotSent(h), "more retries than the budget allows")
		require.Zero(t, h.query.inFlight, "attempts are still in flight after the answer")
	})
}

// countNotSent counts the attempts that were never sent. Their replacements take nothing from the budget.
func countNotSent(h *harness) int {
	n := 0
	for _, a := range h.query.attempts {
		if a.state == attemptNotSent {
			n++
		}
	}
	return n
}

func checkAnswer(t *rapid.T, h *harness, layouts map[model.LayoutNumber]*model.Layout, required float64) {
	a := h.answer
	covered, full := 0.0, 0
	missing := map[model.ShardID]bool{}
	for _, id := range a.Missing {
		missing[id] = true
	}
	seen := map[model.ShardID]bool{}
	for _, p := range a.Parts {
		require.Equal(t, fmt.Sprintf("%s/%d", a.Snapshot, p.Shard), string(p.Body), "a part belongs to another snapshot or shard")
		require.False(t, seen[p.Shard], "a shard is in the answer twice")
		seen[p.Shard] = true
		covered += p.Coverage * layouts[a.Snapshot.Layout].Shards[p.Shard].Share
		if p.Coverage == 1 {
			full++
		}
		require.Equal(t, p.Coverage < 1, missing[p.Shard])
	}
	switch a.Outcome {
	case model.OutcomeComplete:
		require.Equal(t, 1.0, a.Coverage)
		require.Len(t, layouts[a.Snapshot.Layout].Shards, full)
	case model.OutcomePartial:
		require.InDelta(t, covered, a.Coverage, 1e-9)
		require.Less(t, a.Coverage, 1.0)
		require.NotEmpty(t, a.Reason, "a partial answer has no reason")
		require.GreaterOrEqual(t, a.Coverage+1e-9, required)
		require.Len(t, a.Missing, len(layouts[a.Snapshot.Layout].Shards)-full)
	case model.OutcomeNotRun:
		for n, mayHaveRun := range h.mayHaveRun {
			require.False(t, mayHaveRun && !h.env.withdrawn[n], "the outcome is not_run, but attempt %d may have run", n)
		}
	default:
		require.Equal(t, model.OutcomeFailed, a.Outcome)
		require.Empty(t, a.Parts)
	}
}

// Guards against rounding that makes an incomplete answer look complete.
func TestCoverageRounding(t *testing.T) {
	require.Less(t, coverageOfSum(1+1e-6, false), 1.0)
	require.Equal(t, 1.0, coverageOfSum(1-1e-7, true))
	require.False(t, reaches(math.Nextafter(1, 0), 1))
	require.False(t, reaches(0, 0))
	require.True(t, reaches(0.3+0.6, 0.9))
}

// replicaFixture returns a service of two snapshots with the same layout of three shards, each shard with the given
// number of replicas in each snapshot. The newer snapshot lacks the dropped shards.
func replicaFixture(oldReplicas, newReplicas int, dropped ...model.ShardID) (map[model.LayoutNumber]*model.Layout, []*model.Target) {
	l := &model.Layout{Service: "s", Number: 1, Shards: []model.Shard{{ID: 0, Share: 0.5}, {ID: 1, Share: 0.25}, {ID: 2, Share: 0.25}}}
	var targets []*model.Target
	for _, s := range l.Shards {
		for r := 0; r < max(oldReplicas, newReplicas); r++ {
			t := &model.Target{Announcement: model.Announcement{ID: model.TargetID(fmt.Sprintf("t%d-%d", s.ID, r)), State: model.TargetServing, Layout: l.Ref(), Shards: []model.ShardID{s.ID}}}
			if r < oldReplicas {
				t.IndexVersions = append(t.IndexVersions, 1)
			}
			if r < newReplicas && !slices.Contains(dropped, s.ID) {
				t.IndexVersions = append(t.IndexVersions, 2)
			}
			targets = append(targets, t)
		}
	}
	return map[model.LayoutNumber]*model.Layout{1: l}, targets
}

// Guards against choosing a newest snapshot that has less coverage, or that sends all load to few
// targets.
func TestChooseSnapshot(t *testing.T) {
	oldest, newest := model.Snapshot{Layout: 1, Index: 1}, model.Snapshot{Layout: 1, Index: 2}
	for name, c := range map[string]struct {
		old, new int
		dropped  []model.ShardID
		required float64
		want     *model.Snapshot
	}{
		"newest is complete":         {old: 3, new: 3, want: &newest},
		"newest lacks a shard":       {old: 3, new: 3, dropped: []model.ShardID{2}, want: &oldest},
		"one of three replicas":      {old: 3, new: 1, want: &oldest},
		"two of three replicas":      {old: 3, new: 2, want: &newest},
		"single replicas":            {old: 1, new: 1, want: &newest},
		"only a partial one is left": {old: 0, new: 2, dropped: []model.ShardID{2}, required: 0.7, want: &newest},
		"none has required coverage": {old: 0, new: 2, dropped: []model.ShardID{2}, required: 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			s := planOf(replicaFixture(c.old, c.new, c.dropped...)).Choose(c.required)
			require.Equal(t, c.want == nil, s == nil)
			if s != nil {
				require.Equal(t, *c.want, s.Snapshot)
			}
		})
	}
}

// Guards against choosing a newest snapshot that only ejected targets hold, and against a
// shard that counts as missing while an ejected target holds it.
func TestChooseAvoidsEjected(t *testing.T) {
	layouts, targets := replicaFixture(1, 2)
	holders := map[model.Snapshot]map[model.ShardID][]*model.Target{}
	for _, x := range targets {
		s := model.Snapshot{Layout: 1, Index: x.IndexVersions[len(x.IndexVersions)-1]}
		if len(x.IndexVersions) == 2 {
			s.Index = 1
		}
		if holders[s] == nil {
			holders[s] = map[model.ShardID][]*model.Target{}
		}
		holders[s][x.Shards[0]] = append(holders[s][x.Shards[0]], x)
	}
	reachable := func(holders []*model.Target) int { return len(holders[0].IndexVersions) - 1 }
	require.Equal(t, model.IndexVersion(1), NewPlan(layouts, holders, targets, reachable).Choose(1).Snapshot.Index)
	none := func([]*model.Target) int { return 0 }
	require.Equal(t, model.IndexVersion(2), NewPlan(layouts, holders, targets, none).Choose(1).Snapshot.Index)
}

func startFixture(env *fakeEnv, required float64, p *Plan) *Query {
	q := New(Params{Request: &model.Request{}, Service: &model.ServiceConfig{Idempotent: true}, Start: epoch, FinishBy: epoch.Add(100 * time.Millisecond),
		Required: required, IDPrefix: "q-", Plan: p}, env)
	q.Start(epoch)
	q.Ready()
	q.Advance()
	return q
}

// Guards against a query that answers with less coverage than another snapshot has after its own has
// disappeared, that restarts beyond the retry budget, or whose outcome is not_run although attempts on the abandoned
// snapshot were sent.
func TestRestart(t *testing.T) {
	both := planOf(replicaFixture(1, 1))
	for _, budget := range []int{0, 2, 3} {
		env := &fakeEnv{retries: budget, withdrawn: map[int]bool{}}
		q := startFixture(env, 0.25, both)
		require.Equal(t, model.IndexVersion(2), q.Snapshot().Index)
		q.PlanChanged(epoch.Add(time.Millisecond), planOf(replicaFixture(1, 0)))
		if budget < 3 {
			require.Equal(t, model.IndexVersion(2), q.Snapshot().Index, "the query restarted beyond the budget")
			q.Tick(epoch.Add(time.Second))
			require.Equal(t, model.OutcomeFailed, q.Ready().Answer.Outcome)
			continue
		}
		require.Equal(t, model.IndexVersion(1), q.Snapshot().Index)
		r := q.Ready()
		require.Equal(t, []int{0, 1, 2}, r.Cancel)
		require.Equal(t, []int{3, 4, 5}, r.Send)
		q.Advance()
		for n := 3; n < 6; n++ {
			q.Reply(epoch.Add(2*time.Millisecond), n, model.Reply{Status: model.ReplyNotRun})
		}
		require.Equal(t, model.OutcomeFailed, q.Ready().Answer.Outcome)
	}
}

// Guards against a straggler that is never hedged because the budget was empty when the hedge
// was first due.
func TestHedgeWaitsForBudget(t *testing.T) {
	env := &fakeEnv{hedgeAfter: 10 * time.Millisecond, withdrawn: map[int]bool{}}
	q := startFixture(env, 1, planOf(replicaFixture(2, 2)))
	q.Tick(epoch.Add(10 * time.Millisecond))
	require.Empty(t, q.Ready().Send)
	require.Equal(t, epoch.Add(12500*time.Microsecond), q.Ready().Wake)
	env.hedges = 1
	q.Tick(epoch.Add(20 * time.Millisecond))
	require.Equal(t, []int{3}, q.Ready().Send)
	require.Equal(t, 1, q.stats.Hedges)
}

// Guards against a query that waits for a shard whose attempt and hedge both straggle, and against
// an unlimited number of hedges.
func TestStragglingHedges(t *testing.T) {
	env := &fakeEnv{hedgeAfter: 10 * time.Millisecond, hedges: 100, withdrawn: map[int]bool{}}
	q := startFixture(env, 1, planOf(replicaFixture(2, 2)))
	targets := map[model.TargetID]int{}
	for ms := 10; ms < 90; ms += 10 {
		q.Tick(epoch.Add(time.Duration(ms) * time.Millisecond))
		for _, n := range q.Ready().Send {
			if a := q.Attempt(n); a.Shard == 0 {
				targets[a.Target.ID]++
			}
		}
		q.Advance()
	}
	require.Equal(t, 3*maxHedges, q.stats.Hedges)
	require.Equal(t, map[model.TargetID]int{"t0-0": maxHedges - 1, "t0-1": 1}, targets, "the first hedge avoids the straggler, later ones may go to any target")
}

// Guards against a shard of a frozen target that is never retried because the hedge budget is used
// up.
func TestOverdueRetry(t *testing.T) {
	env := &fakeEnv{retryTimeouts: true, retries: 1, withdrawn: map[int]bool{}}
	q := startFixture(env, 1, planOf(replicaFixture(2, 2)))
	q.Tick(epoch.Add(49 * time.Millisecond))
	require.Empty(t, q.Ready().Send)
	q.Tick(epoch.Add(50 * time.Millisecond))
	require.Len(t, q.Ready().Send, 1, "half of the time has passed, and the budget has one retry")
	require.Equal(t, KindRetry, q.Attempt(q.Ready().Send[0]).Kind)
	require.Equal(t, 1, q.stats.Retries)
}

// Guards against a shard that is given up because many targets shed load at the same moment,
// and against a retry that is sent without budget.
func TestShedWaitsForBudget(t *testing.T) {
	env := &fakeEnv{withdrawn: map[int]bool{}}
	q := startFixture(env, 1, planOf(replicaFixture(1, 1)))
	q.Reply(epoch, 0, model.Reply{Status: model.ReplyShed})
	require.Equal(t, epoch.Add(budgetRecheckInterval), q.Ready().Wake)
	q.Tick(epoch.Add(budgetRecheckInterval))
	require.Empty(t, q.Ready().Send)
	env.retries = 1
	q.Tick(epoch.Add(2 * budgetRecheckInterval))
	require.Equal(t, []int{3}, q.Ready().Send)
	require.Zero(t, env.retries)
	require.Equal(t, 1, q.stats.Retries)
}

// Guards against a shard that is given up although another snapshot has it.
func TestNoSnapshotRestarts(t *testing.T) {
	q := startFixture(&fakeEnv{retries: 10, withdrawn: map[int]bool{}}, 1, planOf(replicaFixture(1, 1)))
	q.Reply(epoch, 0, model.Reply{Status: model.ReplyNoSnapshot})
	// The same target replies once more, and then the targets of the other snapshot; attempts that the targets
	// refused cost nothing.
	for n := 3; n < 6; n++ {
		q.Ready()
		q.Advance()
		q.Reply(epoch, n, model.Reply{Status: model.ReplyNoSnapshot})
	}
	require.Equal(t, model.IndexVersion(1), q.Snapshot().Index)
	require.Nil(t, q.Ready().Answer)
}

// Guards against extra attempts above the share of first attempts.
func TestBudget(t *testing.T) {
	b := NewBudget(0)
	taken := 0
	for i := 0; i < 1000; i++ {
		b.Deposit(3, 0.05, 3)
		if b.Take(1) {
			taken++
		}
	}
	require.InDelta(t, 150, taken, 1)
	for i := 0; i < 1000; i++ {
		b.Deposit(100, 0.1, 20)
	}
	require.LessOrEqual(t, b.Tokens(), 20+10)
	b = NewBudget(6)
	require.True(t, b.TakeAbove(1, 5))
	require.False(t, b.TakeAbove(1, 5), "the reserve is kept for hedges that were postponed")
	require.True(t, b.Take(5))
}

// Guards against a token that two goroutines both take.
func TestBudgetUnderContention(t *testing.T) {
	b := NewBudget(100)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for i := 0; i < 8; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := 0; j < 1000; j++ {
				if b.Take(1) {
					taken.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	require.EqualValues(t, 100, taken.Load())
}

// BenchmarkDecisions measures the state machine alone.
func BenchmarkDecisions(b *testing.B) {
	plan := planOf(wideFixture(1100))
	env := &fakeEnv{hedgeAfter: time.Second}
	q := &Query{}
	b.ReportAllocs()
	for b.Loop() {
		q.Reset(Params{Request: &model.Request{}, Service: &model.ServiceConfig{Idempotent: true}, Start: epoch, FinishBy: epoch.Add(time.Second), Required: 1, IDPrefix: "q-", Plan: plan}, env)
		q.Start(epoch)
		q.Ready()
		q.Advance()
		for n := 0; n < 1100; n++ {
			q.Reply(epoch, n, model.Reply{Attempt: q.Attempt(n).ID, Status: model.ReplyOK, Coverage: 1})
		}
		if q.Ready().Answer.Outcome != model.OutcomeComplete {
			b.Fatal(q.Ready().Answer.Reason)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*1100), "us/sub-request")
}

// BenchmarkPlan measures the making of a plan, which is the cost of a new view for the next query.
func BenchmarkPlan(b *testing.B) {
	layouts, targets := wideFixture(1100)
	holders := planHolders(targets)
	b.ReportAllocs()
	for b.Loop() {
		NewPlan(layouts, holders, targets, nil)
	}
}

// wideFixture returns a service of many shards with three replicas each and two index versions.
func wideFixture(shards int) (map[model.LayoutNumber]*model.Layout, []*model.Target) {
	l := &model.Layout{Service: "s", Number: 1}
	var targets []*model.Target
	for i := 0; i < shards; i++ {
		l.Shards = append(l.Shards, model.Shard{ID: model.ShardID(i), Share: 1 / float64(shards)})
		for r := 0; r < 3; r++ {
			targets = append(targets, &model.Target{Announcement: model.Announcement{ID: model.TargetID(fmt.Sprintf("t%d-%d", i, r)), State: model.TargetServing,
				Layout: model.LayoutRef{Number: 1}, Shards: []model.ShardID{model.ShardID(i)}, IndexVersions: []model.IndexVersion{1, 2}}})
		}
	}
	return map[model.LayoutNumber]*model.Layout{1: l}, targets
}
