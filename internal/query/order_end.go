package query

import (
	"fmt"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Reply processes the result of an attempt.
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
	answered := o.phase == orderAwaitingLateReply
	switch {
	case status == model.ReplyOK:
		o.recordOutcome(r)
	case !status.DidNotRun() && answered:
		o.phase = orderEnded
	case !status.DidNotRun():
		o.answerUnknown("the attempt ended as " + string(status) + " and may have run")
	case answered:
		// The caller was answered that the outcome is unknown. The order is now known not to have run, so a resend
		// may run it.
		o.phase = orderEnded
		o.ready.Release = true
	default:
		o.retry(now, a, status)
	}
}

// recordOutcome records the outcome, and answers the caller if it was not answered before.
func (o *Order) recordOutcome(r model.Reply) {
	coverage := clampCoverage(r.Coverage)
	shard := o.snap.Layout.Shards[o.shard].ID
	a := &model.Answer{
		RequestID: o.Request.ID, Outcome: model.OutcomeComplete, Snapshot: o.snap.Snapshot, Coverage: coverage,
		Parts: []model.Part{{Shard: shard, Coverage: coverage, Body: r.Body}}, Stats: o.stats,
	}
	if coverage < 1 {
		a.Outcome, a.Missing = model.OutcomePartial, []model.ShardID{shard}
		a.Reason, a.Remedy = "the target replied for only a part of the shard", "do not resend the order: it has run"
	}
	o.phase = orderEnded
	o.ready.Record = a
	if o.ready.Answer == nil {
		o.ready.Answer = a
	}
}

// retry follows an attempt that did not run: it sends or schedules another one, or releases the claim.
func (o *Order) retry(now time.Time, a *Attempt, status model.ReplyStatus) {
	reason := "the attempt ended as " + string(status) + " without running"
	delay, ok := o.env.Retry(RetryInput{
		Shard: a.Shard, Status: status, Retries: o.retries, Now: now, Remaining: o.FinishBy.Sub(now),
		Holders: o.snap.Holders[o.shard], Tried: o.tried,
	})
	if !ok && status == model.ReplyNoSnapshot {
		delay, ok = 0, o.switchSnapshot()
	}
	if !ok || o.cancelled {
		o.releaseClaim(reason)
		return
	}
	o.retryKind = a.Kind
	if status == model.ReplyNotSent {
		o.uncountAttempt(a.Kind)
	} else {
		o.retryKind = KindRetry
		if !o.env.TakeRetries(1) {
			o.releaseClaim(reason + "; the retry budget is used up")
			return
		}
	}
	o.retries++
	o.retryCause = string(status)
	if delay > 0 {
		o.phase, o.retryAt = orderAwaitingRetry, now.Add(delay)
		return
	}
	o.dispatch(now, o.retryKind, o.retryCause)
}

// switchSnapshot chooses another snapshot after the last target with the current one has dropped it. Nothing has run,
// so the order may go to the shard that its key selects in the other snapshot.
func (o *Order) switchSnapshot() bool {
	o.abandoned = append(o.abandoned, o.snap.Snapshot)
	snap, shard := o.Plan.chooseForOrder(o.Request.OrderKey, o.Request.Shard, o.abandoned...)
	if snap == nil {
		return false
	}
	o.snap, o.shard = snap, shard
	o.tried = o.tried[:0]
	return true
}

func (o *Order) uncountAttempt(kind AttemptKind) {
	if kind == KindFirst {
		o.stats.First--
	} else {
		o.stats.Retries--
	}
}

// Cancel ends the order because its caller no longer waits for the answer. An attempt that was sent continues until
// its deadline, so that its outcome can be recorded: cancelling it could not undo it, and would leave the outcome
// unknown forever.
func (o *Order) Cancel(time.Time) {
	if o.ready.Answer != nil {
		return
	}
	o.cancelled = true
	if o.phase != orderInFlight || o.withdraw() {
		o.stop("the caller cancelled the request")
	}
}

// stop answers immediately, whatever the phase of the order.
func (o *Order) stop(reason string) {
	switch {
	case o.phase == orderClaiming:
		o.answerUnknown(reason + " before the order was claimed; this send was not run, but an earlier one with the same key may have run")
		o.phase = orderAbandoned
	case o.phase == orderAwaitingRetry || o.withdraw():
		o.releaseClaim(reason)
	default:
		o.answerUnknown(reason + " while the order was running")
		o.phase = orderAwaitingLateReply
	}
}

// withdraw stops the attempt in flight and reports whether it has not been sent and never will be.
func (o *Order) withdraw() bool {
	n := len(o.attempts) - 1
	if o.ready.Send == n {
		o.ready.Send = noAttempt
		return true
	}
	return o.env.Withdraw(n)
}

// releaseClaim releases the claim of an order that did not run.
func (o *Order) releaseClaim(reason string) {
	o.answerNotRun(reason, "resend the order with the same key")
	o.ready.Release = true
}

func (o *Order) answerNotRun(reason, remedy string) { o.answer(model.OutcomeNotRun, reason, remedy) }

func (o *Order) answerUnknown(reason string) {
	remedy := fmt.Sprintf("send GET /v1/orders/%s/%s, or resend the order with the same key", o.Request.Service, o.Request.OrderKey)
	o.answer(model.OutcomeUnknown, reason, remedy)
}

func (o *Order) answer(outcome model.Outcome, reason, remedy string) {
	o.phase = orderEnded
	o.ready.Answer = &model.Answer{
		RequestID: o.Request.ID, Outcome: outcome, Snapshot: o.Snapshot(), Reason: reason, Remedy: remedy, Stats: o.stats,
	}
}
