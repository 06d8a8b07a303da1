package query

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// DecodeResult implements OrderEnvironment. A result is the ID prefix of the run that it records.
func (f *fakeEnv) DecodeResult(result []byte) (model.Answer, error) {
	return model.Answer{Outcome: model.OutcomeComplete, Coverage: 1, Reason: string(result)}, nil
}

// claimLog models the replicated claim on one order, shared by all VMs.
type claimLog struct{ claim *model.Claim }

func (c *claimLog) claimFor(attempt model.AttemptID) model.ClaimResult {
	if c.claim != nil && c.claim.State != model.ClaimReleased {
		return model.ClaimResult{Decision: model.ClaimExists, Claim: *c.claim}
	}
	c.claim = &model.Claim{State: model.ClaimHeld, Attempt: attempt}
	return model.ClaimResult{Decision: model.ClaimGranted, Claim: *c.claim}
}

func (c *claimLog) release(attempt model.AttemptID) {
	if c.claim != nil && c.claim.Attempt == attempt && c.claim.State == model.ClaimHeld {
		c.claim.State = model.ClaimReleased
	}
}

func (c *claimLog) finish(attempt model.AttemptID, result string) {
	if c.claim != nil && c.claim.Attempt == attempt && c.claim.State == model.ClaimHeld {
		c.claim.State, c.claim.Result = model.ClaimDone, []byte(result)
	}
}

// orderRun is one request for the order, on one VM.
type orderRun struct {
	order      *Order
	env        *fakeEnv
	claiming   bool
	inFlight   int
	executions int
	answer     *model.Answer
}

func (r *orderRun) act(t *rapid.T, log *claimLog) {
	ready := r.order.Ready()
	if ready.Claim != "" {
		r.claiming = true
	}
	if ready.Send >= 0 {
		require.Negative(t, r.inFlight, "two attempts in flight")
		require.Nil(t, r.answer, "an attempt is sent after the answer")
		r.inFlight = ready.Send
		r.env.queued[ready.Send] = true
	}
	if ready.Record != nil {
		log.finish(r.order.ClaimedAttempt(), string(r.order.IDPrefix))
	}
	if ready.Release {
		require.Zero(t, r.executions, "the claim of an order that ran was released")
		log.release(r.order.ClaimedAttempt())
	}
	if r.answer != nil {
		require.Same(t, r.answer, ready.Answer, "the answer changed after it was given")
	}
	r.answer = ready.Answer
	r.order.Advance()
}

// reply ends the attempt in flight with a drawn status. The target has run it, or reports that it did not.
func (r *orderRun) reply(t *rapid.T, now time.Time) {
	n := r.inFlight
	status := rapid.SampledFrom([]model.ReplyStatus{model.ReplyOK, model.ReplyNotSent, model.ReplyShed, model.ReplyNotRun,
		model.ReplyNoSnapshot, model.ReplyMismatch, model.ReplyTruncated, model.ReplyTimeout, model.ReplyFailed}).Draw(t, "status")
	if r.env.withdrawn[n] {
		status = model.ReplyNotSent
	}
	if status == model.ReplyOK || (!status.DidNotRun() && rapid.Bool().Draw(t, "ran")) {
		r.executions++
	}
	r.inFlight = noAttempt
	r.env.send(n)
	r.order.Reply(now, n, model.Reply{Attempt: r.order.Attempt(n).ID, Status: status, Coverage: 1})
}

// resolveClaim answers the request for the claim: granted, refused, or lost with or without having been committed.
func (r *orderRun) resolveClaim(t *rapid.T, log *claimLog, now time.Time) {
	r.claiming = false
	switch rapid.IntRange(0, 4).Draw(t, "claim") {
	case 0:
		r.order.ClaimResult(now, model.ClaimResult{}, errs.New(errs.KindUnavailable, "wait", "no quorum"))
	case 1:
		log.claimFor(r.order.ClaimedAttempt())
		r.order.ClaimResult(now, model.ClaimResult{}, errs.New(errs.KindUnknownOutcome, "query", "lost reply"))
	case 2:
		// The claim store repeats its request after a lost answer.
		log.claimFor(r.order.ClaimedAttempt())
		r.order.ClaimResult(now, log.claimFor(r.order.ClaimedAttempt()), nil)
	default:
		r.order.ClaimResult(now, log.claimFor(r.order.ClaimedAttempt()), nil)
	}
}

// Guards against an order that runs twice, or that is answered as not run after it ran, under any
// sequence of claims, lost replies, target replies, timers and cancellations of several requests with one key.
func TestOrderAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layouts, targets := cluster(t)
		log := &claimLog{}
		var runs []*orderRun
		requests := rapid.IntRange(1, 4).Draw(t, "requests")
		for i := 0; i < requests; i++ {
			env := &fakeEnv{retries: rapid.IntRange(0, 2).Draw(t, "retries"), queued: map[int]bool{}, withdrawn: map[int]bool{},
				retryDelay: time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * time.Millisecond}
			o := NewOrder(OrderParams{Request: &model.Request{ID: "r", Service: "s", OrderKey: "k"}, FinishBy: epoch.Add(20 * time.Millisecond),
				IDPrefix: fmt.Sprintf("vm%d-", i), Plan: planOf(layouts, targets)}, env)
			r := &orderRun{order: o, env: env, inFlight: noAttempt}
			o.Start(epoch)
			r.act(t, log)
			runs = append(runs, r)
		}
		now := epoch
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := 0; i < steps; i++ {
			r := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
			switch kind := rapid.IntRange(0, 9).Draw(t, "input"); {
			case kind < 4 && r.claiming:
				r.resolveClaim(t, log, now)
			case kind < 7 && r.inFlight >= 0:
				r.reply(t, now)
			case kind == 7:
				// The attempt is sent long before its reply arrives.
				r.env.send(r.inFlight)
			case kind == 8 && rapid.Bool().Draw(t, "cancel"):
				r.order.Cancel(now)
			case kind == 8 && len(r.order.attempts) > 0 && r.inFlight < 0:
				// A duplicate of the last reply.
				r.order.Reply(now, len(r.order.attempts)-1, model.Reply{Status: model.ReplyShed})
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "ms")) * time.Millisecond)
				r.order.Tick(now)
			}
			r.act(t, log)
		}
		total := 0
		for _, r := range runs {
			r.order.Tick(now.Add(time.Second))
			r.act(t, log)
			require.NotNil(t, r.answer, "the order was never answered")
			total += r.executions
			if r.answer.Outcome == model.OutcomeNotRun {
				require.Zero(t, r.executions, "the outcome is not_run, but the order ran")
				require.True(t, r.inFlight < 0 || r.env.withdrawn[r.inFlight], "the outcome is not_run, but the order may still run")
			}
		}
		require.LessOrEqual(t, total, 1, "the order ran more than once")
	})
}

// Guards against a wrong outcome for each result of the claim store.
func TestOrderClaimResults(t *testing.T) {
	layout := &model.Layout{Service: "s", Number: 1, Shards: []model.Shard{{ID: 0, Share: 1}}}
	target := &model.Target{Announcement: model.Announcement{ID: "t", State: model.TargetServing, Layout: layout.Ref(), Shards: []model.ShardID{0}, IndexVersions: []model.IndexVersion{1}}}
	plan := planOf(map[model.LayoutNumber]*model.Layout{1: layout}, []*model.Target{target})
	for name, c := range map[string]struct {
		result  model.ClaimResult
		err     error
		at      time.Duration
		outcome model.Outcome
		release bool
	}{
		"no quorum":     {err: errs.New(errs.KindUnavailable, "wait", "no quorum"), outcome: model.OutcomeUnknown},
		"lost reply":    {err: errs.New(errs.KindUnknownOutcome, "query", "lost"), outcome: model.OutcomeUnknown, release: true},
		"other error":   {err: errors.New("x"), outcome: model.OutcomeUnknown},
		"malformed key": {err: errs.New(errs.KindInvalid, "send a UUIDv7", "bad key"), outcome: model.OutcomeNotRun},
		"mismatch":      {result: model.ClaimResult{Decision: model.ClaimMismatch}, outcome: model.OutcomeNotRun},
		"expired":       {result: model.ClaimResult{Decision: model.ClaimExpired}, outcome: model.OutcomeUnknown},
		"held":          {result: model.ClaimResult{Decision: model.ClaimExists, Claim: model.Claim{State: model.ClaimHeld}}, outcome: model.OutcomeUnknown},
		"done":          {result: model.ClaimResult{Decision: model.ClaimExists, Claim: model.Claim{State: model.ClaimDone}}, outcome: model.OutcomeComplete},
		"released":      {result: model.ClaimResult{Decision: model.ClaimExists, Claim: model.Claim{State: model.ClaimReleased}}, outcome: model.OutcomeNotRun},
		"granted late":  {result: model.ClaimResult{Decision: model.ClaimGranted}, at: time.Second, outcome: model.OutcomeNotRun, release: true},
		"other attempt": {result: model.ClaimResult{Decision: model.ClaimGranted, Claim: model.Claim{State: model.ClaimHeld, Attempt: "x"}}, outcome: model.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			o := NewOrder(OrderParams{Request: &model.Request{Service: "s", OrderKey: "k"}, FinishBy: epoch.Add(100 * time.Millisecond), IDPrefix: "a-", Plan: plan}, &fakeEnv{})
			o.Start(epoch)
			require.Equal(t, o.ClaimedAttempt(), o.Ready().Claim)
			o.Advance()
			o.ClaimResult(epoch.Add(c.at), c.result, c.err)
			r := o.Ready()
			require.NotNil(t, r.Answer)
			require.Equal(t, c.outcome, r.Answer.Outcome)
			require.Equal(t, c.release, r.Release)
			require.Negative(t, r.Send)
		})
	}
}

// Guards against a resend that goes to another shard than the first send, and against orders that
// all go to one shard.
func TestShardOfOrder(t *testing.T) {
	l := &model.Layout{Shards: []model.Shard{{ID: 4, Share: 0.1}, {ID: 7, Share: 0.9}}}
	counts := map[int]int{}
	for i := 0; i < 1000; i++ {
		key := fmt.Sprint("key", i)
		require.Equal(t, shardOfOrder(l, key, nil), shardOfOrder(l, key, nil))
		counts[shardOfOrder(l, key, nil)]++
	}
	require.InDelta(t, 100, counts[0], 50)
	named := model.ShardID(4)
	require.Equal(t, 0, shardOfOrder(l, "k", &named))
	named = 5
	require.Negative(t, shardOfOrder(l, "k", &named))
}
