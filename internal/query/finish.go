package query

import (
	"fmt"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Cancel ends the query because its caller no longer waits for the answer.
func (q *Query) Cancel(now time.Time) {
	if q.ready.Answer == nil {
		q.reason = "the caller cancelled the request"
		q.finish()
	}
}

// finishIfDone finishes the query if its answer cannot improve any more.
func (q *Query) finishIfDone(now time.Time) {
	switch {
	case q.ready.Answer != nil:
		return
	case q.pendingShards == 0:
		q.finish()
	case !now.Before(q.FinishBy):
		q.reason = "the deadline passed"
		q.finish()
	case q.mayFinishEarly(now):
		q.reason = "finished early with the required coverage"
		q.finish()
	case !reaches(q.reachable, q.Required) && !q.restart(now, q.reachable):
		q.finish()
	}
}

func (q *Query) mayFinishEarly(now time.Time) bool {
	return q.Service.Finish == model.FinishEarly && reaches(q.covered, q.Required) && !now.Before(q.earliestFinish())
}

// earliestFinish returns the first moment at which a query in finish mode early may leave out shards.
func (q *Query) earliestFinish() time.Time { return q.Params.Start.Add(q.Service.FinishAfter) }

// wake returns when Tick is due.
func (q *Query) wake() time.Time {
	if q.ready.Answer != nil {
		return time.Time{}
	}
	at := q.FinishBy
	if !q.nextTimer.IsZero() && q.nextTimer.Before(at) {
		at = q.nextTimer
	}
	if q.Service.Finish == model.FinishEarly && !reaches(q.covered, q.Required) {
		return at
	}
	if e := q.earliestFinish(); q.Service.Finish == model.FinishEarly && e.Before(at) {
		at = e
	}
	return at
}

// finish builds the answer and cancels the attempts that are still in flight.
func (q *Query) finish() {
	a := &model.Answer{RequestID: q.Request.ID}
	if q.snap != nil {
		a.Snapshot = q.snap.Snapshot
		a.Coverage = coverageOfSum(q.covered, q.fullShards == len(q.shards))
	}
	switch {
	case a.Coverage == 1:
		a.Outcome = model.OutcomeComplete
	case reaches(a.Coverage, q.Required):
		a.Outcome, a.Reason = model.OutcomePartial, q.partialReason()
		a.Remedy = "resend for the missing shards, or accept the coverage"
	default:
		// A failed answer carries no parts, so its coverage is 0; the reason states the coverage that was reached.
		a.Outcome, a.Reason = model.OutcomeFailed, q.failureReason(a.Coverage)
		a.Remedy = "resend the request, or require less coverage"
		a.Coverage = 0
		q.withdrawUnsent()
		if q.countMayHaveRun(0) == 0 {
			a.Outcome = model.OutcomeNotRun
		}
	}
	q.fillParts(a)
	for n := q.firstOnSnapshot; n < len(q.attempts) && q.inFlight > 0; n++ {
		q.cancel(n)
	}
	a.Stats = q.stats
	q.ready.Answer = a
}

// partialReason explains a partial answer. If no other reason was recorded, each shard was either answered, in full
// or in part, or had no target from the start.
func (q *Query) partialReason() string {
	if q.reason != "" {
		return q.reason
	}
	missing, partial := 0, 0
	for i := range q.shards {
		switch s := &q.shards[i]; {
		case !s.done:
			missing++
		case s.coverage < 1:
			partial++
		}
	}
	return fmt.Sprintf("%d of %d shards had no target that accepts work, and %d answered in part", missing, len(q.shards), partial)
}

func (q *Query) failureReason(coverage float64) string {
	if q.snap == nil {
		return q.reason
	}
	reason := fmt.Sprintf("coverage %.4f is below the required %.4f", coverage, q.Required)
	if q.reason != "" {
		reason += ": " + q.reason
	}
	return reason
}

// withdrawUnsent stops the attempts that wait to be sent, so that the outcome reflects whether any attempt can still
// run.
func (q *Query) withdrawUnsent() {
	for n := q.firstOnSnapshot; n < len(q.attempts); n++ {
		if q.attempts[n].state != attemptInFlight {
			continue
		}
		if n >= q.nextToSend {
			q.markNotSent(n)
		} else if q.env.Withdraw(n) {
			q.markNotSent(n)
			q.ready.Cancel = append(q.ready.Cancel, n)
		}
	}
}

// fillParts adds the parts and the missing shards. A failed answer carries no parts.
func (q *Query) fillParts(a *model.Answer) {
	accepted := a.Outcome == model.OutcomeComplete || a.Outcome == model.OutcomePartial
	if accepted {
		a.Parts = make([]model.Part, 0, len(q.shards)-q.countUnanswered())
	}
	for i := range q.shards {
		s := &q.shards[i]
		id := q.snap.Layout.Shards[i].ID
		if accepted && s.done {
			a.Parts = append(a.Parts, model.Part{Shard: id, Coverage: s.coverage, Body: s.body})
		}
		if !s.done || s.coverage < 1 {
			a.Missing = append(a.Missing, id)
		}
	}
}

func (q *Query) countUnanswered() int {
	n := 0
	for i := range q.shards {
		if !q.shards[i].done {
			n++
		}
	}
	return n
}
