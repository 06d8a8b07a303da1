package query

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against replies that reach another query and against repeated attempt IDs, when the
// memory of earlier queries is reused.
func TestConcurrentQueries(t *testing.T) {
	h := newHarness(t, 70)
	var ids sync.Map
	h.transport.send = func(_ context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		if _, twice := ids.LoadOrStore(req.Attempt, true); twice {
			return reply(req, model.ReplyFailed)
		}
		return reply(req, model.ReplyOK)
	}
	var wg sync.WaitGroup
	for i := 0; i < 20; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := 0; j < 10; j++ {
				body := fmt.Sprint(i, "-", j)
				a := h.executor.HandleQuery(context.Background(), model.Request{ID: body, Service: "s", Body: []byte(body)})
				if a.Outcome != model.OutcomeComplete || a.RequestID != body || len(a.Parts) != 70 || a.Stats.Retries != 0 {
					t.Errorf("answer %v %q with %d parts to %q", a.Outcome, a.RequestID, len(a.Parts), body)
				}
				for _, p := range a.Parts {
					if string(p.Body) != body {
						t.Errorf("part %q in the answer to %q", p.Body, body)
					}
				}
			}
		}()
	}
	wg.Wait()
	h.waitForAttempts(t)
}

// Guards against a straggler that delays the answer, against a hedge to its availability
// zone, and against a slower attempt that is not cancelled.
func TestHedgeAvoidsStraggler(t *testing.T) {
	h := newHarness(t, 3)
	h.tracker.quantile = time.Millisecond
	h.tracker.neverHedged = map[model.ShardID]bool{0: true, 2: true}
	// The executor's clock passes the quantile once, after the straggler has its attempt. With the machine's clock, a
	// reply to the hedge that took over a millisecond caused a second hedge. The budget is above its reserve, so that
	// the hedge is sent when it is first due.
	start := time.Now()
	var elapsed atomic.Int64
	h.executor.now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	h.executor.service("s").hedges.Deposit(hedgeReserve, 1, hedgeReserve)
	h.transport.send = func(ctx context.Context, target *model.Target, req model.SubRequest) model.Reply {
		if target.ID == "t1-0" {
			elapsed.Store(int64(h.tracker.quantile))
			return waitForCancel(ctx, req)
		}
		return reply(req, model.ReplyOK)
	}
	var lines []string
	h.executor.routingLog = log.LoggerFunc(func(values ...any) error {
		lines = append(lines, fmt.Sprint(values...))
		return nil
	})
	a := h.query(context.Background())
	require.Equal(t, model.OutcomeComplete, a.Outcome)
	require.Equal(t, model.AnswerStats{First: 3, Hedges: 1}, a.Stats)
	require.Len(t, lines, 1, "the hedge has one line at level info, ordinary attempts have none")
	require.Contains(t, lines[0], "hedge")
	require.Contains(t, lines[0], "t1-1")
	h.waitForAttempts(t)
}

// Guards against hedges above the share of first attempts.
func TestNoHedgeBeyondBudget(t *testing.T) {
	h := newHarness(t, 3)
	h.config.HedgeBudget = 0
	h.config.Deadline = 50 * time.Millisecond
	h.tracker.quantile = time.Millisecond
	h.transport.send = func(ctx context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		return waitForCancel(ctx, req)
	}
	a := h.query(context.Background())
	require.Equal(t, model.OutcomeFailed, a.Outcome)
	require.Zero(t, a.Stats.Hedges)
	h.waitForAttempts(t)
}

// Guards against a lost replica that reduces coverage, and against taking from the retry budget for
// an attempt that was never sent: its replacement is free.
func TestLostReplica(t *testing.T) {
	h := newHarness(t, 3)
	for _, status := range []model.ReplyStatus{model.ReplyNotSent, model.ReplyFailed, model.ReplyShed} {
		h.transport.send = func(_ context.Context, target *model.Target, req model.SubRequest) model.Reply {
			if target.ID == "t0-0" {
				return reply(req, status)
			}
			return reply(req, model.ReplyOK)
		}
		a := h.query(context.Background())
		require.Equal(t, model.OutcomeComplete, a.Outcome)
		require.Equal(t, 3, a.Stats.First)
		require.Equal(t, status != model.ReplyNotSent, a.Stats.Retries == 1)
	}
	h.waitForAttempts(t)
}

// Guards against queries that wait until their deadline because an availability zone is unreachable.
func TestEjectedZone(t *testing.T) {
	h := newHarness(t, 3)
	h.tracker.ejected = map[model.TargetID]bool{"t0-0": true, "t1-0": true, "t2-0": true, "t2-1": true}
	var last atomic.Int32
	h.transport.send = func(ctx context.Context, target *model.Target, req model.SubRequest) model.Reply {
		if target.ID == "t0-0" || target.ID == "t1-0" {
			return waitForCancel(ctx, req)
		}
		if strings.HasPrefix(string(target.ID), "t2") {
			last.Add(1)
		}
		return reply(req, model.ReplyOK)
	}
	require.Equal(t, model.OutcomeComplete, h.query(context.Background()).Outcome)
	require.EqualValues(t, 1, last.Load(), "an ejected target that alone holds a shard was not used")
}

// Guards against hedges to targets that cannot be reached.
func TestNoHedgeToEjected(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Deadline = 50 * time.Millisecond
	h.tracker.quantile = time.Millisecond
	h.tracker.ejected = map[model.TargetID]bool{"t0-1": true}
	h.transport.send = func(ctx context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		return waitForCancel(ctx, req)
	}
	require.Zero(t, h.query(context.Background()).Stats.Hedges)
	h.waitForAttempts(t)
}

// Guards against the outcome failed for a request of which this VM sent nothing.
func TestNotRunWhileQueued(t *testing.T) {
	h := newHarness(t, 3)
	h.tracker.blocked = true
	h.config.Deadline = 30 * time.Millisecond
	require.Equal(t, model.OutcomeNotRun, h.query(context.Background()).Outcome)
	h.waitForAttempts(t)
}

// Guards against attempts that continue after the caller has cancelled.
func TestCallerCancels(t *testing.T) {
	h := newHarness(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	var arrived atomic.Int32
	h.transport.send = func(ctx context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		if arrived.Add(1) == 3 {
			cancel()
		}
		return waitForCancel(ctx, req)
	}
	require.Equal(t, model.OutcomeFailed, h.query(ctx).Outcome)
	h.waitForAttempts(t)
}

// Guards against an answer with less coverage than another snapshot has, and against an answer
// from two snapshots.
func TestSnapshotDisappears(t *testing.T) {
	h := newHarness(t, 3)
	h.transport.send = func(_ context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		if req.Snapshot.Index == 2 {
			return reply(req, model.ReplyNoSnapshot)
		}
		return reply(req, model.ReplyOK)
	}
	a := h.query(context.Background())
	require.Equal(t, model.OutcomeComplete, a.Outcome)
	require.Equal(t, model.Snapshot{Layout: 1, Index: 1}, a.Snapshot)
	h.waitForAttempts(t)
}

// Guards against a query that waits for a snapshot that is no longer in the view.
func TestViewChangesWhileRunning(t *testing.T) {
	h := newHarness(t, 3)
	var once sync.Once
	h.transport.send = func(ctx context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		if req.Snapshot.Index == 2 {
			once.Do(func() { h.publish(3, 1) })
			return waitForCancel(ctx, req)
		}
		return reply(req, model.ReplyOK)
	}
	a := h.query(context.Background())
	require.Equal(t, model.OutcomeComplete, a.Outcome)
	require.EqualValues(t, 1, a.Snapshot.Index)
	h.waitForAttempts(t)
}

// Guards against a wrong outcome for requests that are not admitted or cannot be sent.
func TestRefusals(t *testing.T) {
	h := newHarness(t, 3)
	require.Equal(t, model.OutcomeNotRun, h.executor.HandleQuery(context.Background(), model.Request{Service: "unknown"}).Outcome)
	h.admission.refuse = errs.New(errs.KindOverload, "wait", "the queue is full")
	a := h.query(context.Background())
	require.Equal(t, model.OutcomeRefused, a.Outcome)
	require.Positive(t, a.RetryAfter)
	h.admission.refuse = errs.New(errs.KindDeadline, "wait", "the deadline cannot be met")
	require.Equal(t, model.OutcomeNotRun, h.query(context.Background()).Outcome)
	h.admission.refuse = nil
	h.publish(3)
	require.Equal(t, model.OutcomeNotRun, h.query(context.Background()).Outcome)
}

func (h *harness) order(ctx context.Context, key string) model.Answer {
	return h.executor.HandleQuery(ctx, model.Request{ID: key, Service: "s", Body: []byte("order"), OrderKey: key})
}

// Guards against orders that run twice or are sent without a claim, and against a resend that does not get
// the recorded outcome.
func TestOrders(t *testing.T) {
	h := newHarness(t, 3)
	h.config.Idempotent = false
	var runs atomic.Int32
	status := model.ReplyOK
	h.transport.send = func(_ context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		if !status.DidNotRun() {
			runs.Add(1)
		}
		return reply(req, status)
	}
	require.Equal(t, model.OutcomeNotRun, h.order(context.Background(), "").Outcome)
	first := h.order(context.Background(), "k1")
	require.Equal(t, model.OutcomeComplete, first.Outcome)
	require.Len(t, first.Parts, 1)
	again := h.order(context.Background(), "k1")
	require.Equal(t, first.Parts, again.Parts)
	require.EqualValues(t, 1, runs.Load())

	status = model.ReplyFailed
	require.Equal(t, model.OutcomeUnknown, h.order(context.Background(), "k2").Outcome)
	require.Equal(t, model.OutcomeUnknown, h.order(context.Background(), "k2").Outcome)
	require.EqualValues(t, 2, runs.Load())

	status = model.ReplyNotRun
	require.Equal(t, model.OutcomeNotRun, h.order(context.Background(), "k3").Outcome)
	status = model.ReplyOK
	require.Equal(t, model.OutcomeComplete, h.order(context.Background(), "k3").Outcome)
	require.EqualValues(t, 3, runs.Load())

	h.publish(3)
	require.Equal(t, first.Parts, h.order(context.Background(), "k1").Parts, "a resend without targets gets the recorded outcome")
	require.Equal(t, model.OutcomeNotRun, h.order(context.Background(), "k6").Outcome)
	h.publish(3, 1, 2)

	h.claims.fail = errs.New(errs.KindUnavailable, "wait", "no quorum")
	require.Equal(t, model.OutcomeUnknown, h.order(context.Background(), "k4").Outcome, "only the claim store can rule out an earlier send")
	h.executor.claims = nil
	require.Equal(t, model.OutcomeNotRun, h.order(context.Background(), "k5").Outcome)
	require.EqualValues(t, 3, runs.Load())
	h.waitForAttempts(t)
}

// Guards against an order that is not run because an index version was replaced.
func TestOrderMovesToAnotherSnapshot(t *testing.T) {
	h := newHarness(t, 3)
	h.config.Idempotent = false
	h.transport.send = func(_ context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		if req.Snapshot.Index == 2 {
			return reply(req, model.ReplyNoSnapshot)
		}
		return reply(req, model.ReplyOK)
	}
	a := h.order(context.Background(), "k")
	require.Equal(t, model.OutcomeComplete, a.Outcome)
	require.EqualValues(t, 1, a.Snapshot.Index)
	h.waitForAttempts(t)
}

// Guards against an order whose outcome is not recorded because its caller cancelled.
func TestOrderOutlivesCaller(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Idempotent = false
	ctx, cancel := context.WithCancel(context.Background())
	h.transport.send = func(attempt context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		cancel()
		if attempt.Err() != nil {
			return reply(req, model.ReplyTimeout)
		}
		return reply(req, model.ReplyOK)
	}
	require.Equal(t, model.OutcomeComplete, h.order(ctx, "k").Outcome)
	h.waitForAttempts(t)
}

// Guards against a late outcome that is not recorded for the resend.
func TestOrderLateReply(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Idempotent = false
	h.config.Deadline = 20 * time.Millisecond
	answered := make(chan struct{})
	h.transport.send = func(_ context.Context, _ *model.Target, req model.SubRequest) model.Reply {
		<-answered
		return reply(req, model.ReplyOK)
	}
	require.Equal(t, model.OutcomeUnknown, h.order(context.Background(), "k").Outcome)
	close(answered)
	h.waitForAttempts(t)
	require.Equal(t, model.OutcomeComplete, h.order(context.Background(), "k").Outcome)
	h.waitForAttempts(t)
}

// Guards against the outcome outcome_unknown for an order that this VM never sent.
func TestOrderWithdrawnWhileQueued(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Idempotent = false
	h.config.Deadline = 20 * time.Millisecond
	h.tracker.blocked = true
	require.Equal(t, model.OutcomeNotRun, h.order(context.Background(), "k").Outcome)
	h.waitForAttempts(t)
	claim, err := h.claims.Lookup(context.Background(), model.OrderID{Service: "s", Key: "k"})
	require.NoError(t, err)
	require.Equal(t, model.ClaimReleased, claim.State)
}

// BenchmarkQuery measures the cost that the executor adds to each sub-request, with a transport that replies
// immediately.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{3, 15, 110, 1100} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			h := newHarness(b, shards)
			h.tracker.quantile = time.Second
			b.ReportAllocs()
			for b.Loop() {
				if a := h.query(context.Background()); a.Outcome != model.OutcomeComplete {
					b.Fatal(a.Outcome, a.Reason)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*shards), "us/sub-request")
			h.waitForAttempts(b)
		})
	}
}

// BenchmarkQueryParallel measures how queries to 1,100 shards contend with each other.
func BenchmarkQueryParallel(b *testing.B) {
	const shards = 1100
	h := newHarness(b, shards)
	h.tracker.quantile = time.Second
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.query(context.Background())
		}
	})
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*shards), "us/sub-request")
	h.waitForAttempts(b)
}
