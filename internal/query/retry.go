package query

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func (q *Query) countAttempt(kind AttemptKind) {
	switch kind {
	case KindFirst:
		q.stats.First++
	case KindHedge:
		q.stats.Hedges++
	case KindRetry:
		q.stats.Retries++
	}
}

func (q *Query) addTimer(at time.Time) {
	if q.nextTimer.IsZero() || at.Before(q.nextTimer) {
		q.nextTimer = at
	}
}

// budgetRecheckInterval is the time after which a retry that the budget did not allow checks the budget again. While
// time is left, waiting is better than giving up the shard.
const budgetRecheckInterval = 10 * time.Millisecond

// handleFailure decides what follows a failed attempt.
func (q *Query) handleFailure(now time.Time, a *Attempt, status model.ReplyStatus) {
	s := &q.shards[a.shardIndex]
	if status == model.ReplyNoSnapshot {
		q.droppedBy = append(q.droppedBy, a.Target)
	}
	if s.inFlight > 0 || s.done {
		return
	}
	delay, ok := q.retryDelay(now, a.shardIndex, status)
	if ok {
		ok = q.retry(now, a, status, delay)
	}
	if !ok && !s.missing {
		q.reason = "a shard was given up after an attempt ended as " + string(status)
		q.markMissing(a.shardIndex)
	}
	if status == model.ReplyNoSnapshot && s.missing {
		q.restart(now, q.reachable)
	}
}

func (q *Query) retryDelay(now time.Time, shard int, status model.ReplyStatus) (time.Duration, bool) {
	return q.env.Retry(RetryInput{
		Shard: q.snap.Layout.Shards[shard].ID, Status: status, Retries: q.shards[shard].retries, Now: now, Remaining: q.FinishBy.Sub(now),
		Holders: q.snap.Holders[shard], Tried: q.triedTargets(shard),
	})
}

// retry sends or schedules another attempt. An attempt that was never sent put no load on any target, so its
// replacement keeps its kind and takes nothing from the budget.
func (q *Query) retry(now time.Time, a *Attempt, status model.ReplyStatus, delay time.Duration) bool {
	s := &q.shards[a.shardIndex]
	kind, shard := a.Kind, a.shardIndex
	if status != model.ReplyNotSent {
		kind = KindRetry
		if !q.env.TakeRetries(1) {
			q.addNotice(NoticeNoBudget, shard, kind.String())
			s.awaitingBudget = mayWaitForBudget(status)
			if s.awaitingBudget {
				q.schedule(shard, now.Add(budgetRecheckInterval), kind, status)
			}
			return s.awaitingBudget
		}
	}
	s.retries++
	if delay > 0 {
		q.schedule(shard, now.Add(delay), kind, status)
		return true
	}
	return q.send(now, shard, kind, nil, string(status))
}

// mayWaitForBudget reports whether a retry may wait until the budget allows it. A target that is leaving or has
// dropped the snapshot would reply the same again, so its shard is given up and the query may restart on another
// snapshot.
func mayWaitForBudget(status model.ReplyStatus) bool {
	return status != model.ReplyNoSnapshot && status != model.ReplyNotRun
}

func (q *Query) schedule(shard int, at time.Time, kind AttemptKind, status model.ReplyStatus) {
	s := &q.shards[shard]
	s.retryAt, s.retryKind, s.retryCause = at, kind, string(status)
	q.addTimer(at)
}

// takeBudgetForRetry checks the budget again for a retry that waits for it, and reports whether the retry may be sent
// now.
func (q *Query) takeBudgetForRetry(now time.Time, shard int) bool {
	s := &q.shards[shard]
	if _, ok := q.retryDelay(now, shard, model.ReplyStatus(s.retryCause)); !ok {
		q.reason = "a shard was given up while its retry waited for the retry budget"
		q.markMissing(shard)
		return false
	}
	if !q.env.TakeRetries(1) {
		s.retryAt = now.Add(budgetRecheckInterval)
		q.addTimer(s.retryAt)
		return false
	}
	s.awaitingBudget = false
	s.retries++
	return true
}

func (q *Query) uncountAttempt(kind AttemptKind) {
	switch kind {
	case KindFirst:
		q.stats.First--
	case KindHedge:
		q.stats.Hedges--
	case KindRetry:
		q.stats.Retries--
	}
}

func (q *Query) addNotice(kind NoticeKind, shard int, detail string) {
	q.ready.Notices = append(q.ready.Notices, Notice{Kind: kind, Shard: q.snap.Layout.Shards[shard].ID, Snapshot: q.snap.Snapshot, Detail: detail})
}

// Tick processes the timers that are due.
func (q *Query) Tick(now time.Time) {
	if q.ready.Answer != nil {
		return
	}
	if !q.nextTimer.IsZero() && !now.Before(q.nextTimer) {
		q.fireTimers(now)
	}
	q.finishIfDone(now)
}

func (q *Query) fireTimers(now time.Time) {
	q.nextTimer = time.Time{}
	for i := range q.shards {
		s := &q.shards[i]
		if s.done || s.missing {
			continue
		}
		if !s.retryAt.IsZero() {
			if now.Before(s.retryAt) {
				q.addTimer(s.retryAt)
			} else if !s.awaitingBudget || q.takeBudgetForRetry(now, i) {
				q.send(now, i, s.retryKind, nil, s.retryCause)
			}
			continue
		}
		if s.inFlight > 0 {
			q.fireHedge(now, i)
			q.fireOverdueRetry(now, i)
		}
	}
}

const (
	// maxHedges is the limit on the hedges of one shard. With one, a query to 15 shards waits in 4% of cases for a
	// shard whose attempt and hedge both straggle, when 5% of attempts do.
	maxHedges = 3
	// hedgeRecheckDivisor divides the delay of a hedge. The result is the time after which a hedge that the budget
	// did not allow checks the budget again.
	hedgeRecheckDivisor = 4
)

func (q *Query) fireHedge(now time.Time, shard int) {
	s := &q.shards[shard]
	switch {
	case s.hedgeAt.IsZero():
	case now.Before(s.hedgeAt):
		q.addTimer(s.hedgeAt)
	default:
		q.hedge(now, shard)
	}
}

// hedge sends another attempt for a shard. The first hedge goes to a target that has not been tried, later ones to
// any target.
func (q *Query) hedge(now time.Time, shard int) {
	s := &q.shards[shard]
	s.hedgeAt = time.Time{}
	if _, ok := q.env.HedgeAfter(q.snap.Layout.Shards[shard].ID); !ok {
		return
	}
	straggler := q.attempts[s.last].Target
	q.send(now, shard, KindHedge, straggler, string(straggler.ID))
}

// postponeHedge schedules another check of the budget for a hedge. A shard that is still unanswered then is more
// likely to straggle than one that has just passed the quantile, so its hedge may use the reserve of the budget.
func (q *Query) postponeHedge(now time.Time, shard int) {
	s := &q.shards[shard]
	s.hedgeAt = now.Add(max(s.hedgeDelay/hedgeRecheckDivisor, time.Millisecond))
	q.addTimer(s.hedgeAt)
	if !s.hedgePostponed {
		s.hedgePostponed = true
		q.addNotice(NoticeNoBudget, shard, KindHedge.String())
	}
}

func (q *Query) fireOverdueRetry(now time.Time, shard int) {
	s := &q.shards[shard]
	switch {
	case s.overdueRetried:
	case now.Before(s.overdueRetryAt):
		q.addTimer(s.overdueRetryAt)
	default:
		s.overdueRetried = true
		q.retryOverdue(now, shard)
	}
}

// overdueCause is the cause of a retry whose earlier attempt is still unanswered.
const overdueCause = "no reply after half of the time"

// retryOverdue sends a retry for a shard that has been unanswered for half of its time. A frozen target sends no
// reply that could trigger a retry, and the hedge budget is soon used up by the queries that wait for the target.
func (q *Query) retryOverdue(now time.Time, shard int) {
	s := &q.shards[shard]
	straggler := q.attempts[s.last].Target
	delay, ok := q.retryDelay(now, shard, model.ReplyTimeout)
	// A delay means that only targets that have been tried are left.
	if !ok || delay > 0 || !q.env.TakeRetries(1) {
		return
	}
	s.retries++
	q.send(now, shard, KindRetry, straggler, overdueCause)
}
