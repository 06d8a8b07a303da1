package query

import (
	"fmt"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Reply takes the result of an attempt.
func (o *Order) Reply(now time.Time, n int, r model.Reply) {
	if n < 0 || n != len(o.attempts)-1 || !o.InFlight() {
		o.stats.Dropped++
		return
	}
	a := &o.attempts[n]
	status := r.Status
	if status == model.ReplyOK && r.Attempt != a.ID {
		status = model.ReplyMismatch
	}
	open := o.phase == orderOpen
	switch {
	case status == model.ReplyOK:
		o.done(r)
	case !status.DidNotRun() && open:
		o.phase = orderEnded
	case !status.DidNotRun():
		o.unknown("the attempt ended as " + string(status) + " and may have run")
	case open:
		// The caller was told that the outcome is unknown. It is known now: a resend may run.
		o.phase = orderEnded
		o.ready.Release = true
	default:
		o.retry(now, a, status)
	}
}

// done records the outcome. The caller gets it unless it was answered before.
func (o *Order) done(r model.Reply) {
	coverage := clampCoverage(r.Coverage)
	shard := o.snap.Layout.Shards[o.shard].ID
	a := &model.Answer{
		RequestID: o.Request.ID, Outcome: model.OutcomeComplete, Snapshot: o.snap.Snapshot, Coverage: coverage,
		Parts: []model.Part{{Shard: shard, Coverage: coverage, Body: r.Body}}, Stats: o.stats,
	}
	if coverage < 1 {
		a.Outcome, a.Missing = model.OutcomePartial, []model.ShardID{shard}
		a.Reason, a.Remedy = "the target answered for a part of the shard", "do not resend the order: it has run"
	}
	o.phase = orderEnded
	o.ready.Record = a
	if o.ready.Answer == nil {
		o.ready.Answer = a
	}
}

// retry follows an attempt that certainly did not run.
func (o *Order) retry(now time.Time, a *Attempt, status model.ReplyStatus) {
	reason := "the attempt ended as " + string(status) + " without running"
	delay, ok := o.env.Retry(Retry{
		Shard: a.Shard, Status: status, Retries: o.retries, Now: now, Remaining: o.FinishBy.Sub(now),
		Holders: o.snap.Holders[o.shard], Tried: o.tried,
	})
	if !ok && status == model.ReplyNoSnapshot {
		delay, ok = 0, o.moveOn()
	}
	if !ok || o.cancelled {
		o.giveBack(reason)
		return
	}
	o.retryKind = a.Kind
	if status == model.ReplyNotSent {
		o.uncount(a.Kind)
	} else {
		o.retryKind = KindRetry
		if !o.env.TakeRetries(1) {
			o.giveBack(reason + "; the retry budget is used up")
			return
		}
	}
	o.retries++
	o.retryCause = string(status)
	if delay > 0 {
		o.phase, o.retryAt = orderWaiting, now.Add(delay)
		return
	}
	o.dispatch(now, o.retryKind, o.retryCause)
}

// moveOn turns to another snapshot after the last target with the chosen one has dropped it. Nothing has run, so
// the order may as well go to the shard that has its key there.
func (o *Order) moveOn() bool {
	o.given = append(o.given, o.snap.Snapshot)
	snap, shard := o.Plan.chooseForOrder(o.Request.OrderKey, o.Request.Shard, o.given...)
	if snap == nil {
		return false
	}
	o.snap, o.shard = snap, shard
	o.tried = o.tried[:0]
	return true
}

func (o *Order) uncount(kind AttemptKind) {
	if kind == KindFirst {
		o.stats.First--
	} else {
		o.stats.Retries--
	}
}

// Cancel takes the end of the caller's interest. An attempt that has left goes on until its deadline, so that its
// outcome can be recorded: cancelling it could not undo it, and would make the outcome unknown for good.
func (o *Order) Cancel(time.Time) {
	if o.ready.Answer != nil {
		return
	}
	o.cancelled = true
	if o.phase != orderInFlight || o.withdraw() {
		o.stop("the caller cancelled the request")
	}
}

// stop answers at once.
func (o *Order) stop(reason string) {
	switch {
	case o.phase == orderClaiming:
		o.unknown(reason + " before the order was claimed; this send was not run, and an earlier one with the same key may have been")
		o.phase = orderAbandoned
	case o.phase == orderWaiting || o.withdraw():
		o.giveBack(reason)
	default:
		o.unknown(reason + " while the order was running")
		o.phase = orderOpen
	}
}

// withdraw stops the attempt in flight and reports whether it certainly never leaves.
func (o *Order) withdraw() bool {
	n := len(o.attempts) - 1
	if o.ready.Send == n {
		o.ready.Send = noAttempt
		return true
	}
	return o.env.Withdraw(n)
}

// giveBack releases the claim of an order that certainly did not run.
func (o *Order) giveBack(reason string) {
	o.notRun(reason, "resend the order with the same key")
	o.ready.Release = true
}

func (o *Order) notRun(reason, remedy string) { o.answer(model.OutcomeNotRun, reason, remedy) }

func (o *Order) unknown(reason string) {
	remedy := fmt.Sprintf("ask GET /v1/orders/%s/%s, or resend the order with the same key", o.Request.Service, o.Request.OrderKey)
	o.answer(model.OutcomeUnknown, reason, remedy)
}

func (o *Order) answer(outcome model.Outcome, reason, remedy string) {
	o.phase = orderEnded
	o.ready.Answer = &model.Answer{
		RequestID: o.Request.ID, Outcome: outcome, Snapshot: o.Snapshot(), Reason: reason, Remedy: remedy, Stats: o.stats,
	}
}
