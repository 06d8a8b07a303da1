package query

import "time"

// maxRestarts is the limit on the restarts of a query on another snapshot.
const maxRestarts = 2

// PlanChanged applies a newer plan. The query stays on its snapshot while that can still answer.
func (q *Query) PlanChanged(now time.Time, p *Plan) {
	if q.ready.Answer != nil || q.snap == nil {
		return
	}
	q.Plan = p
	if s := p.find(q.snap.Snapshot); s != nil {
		q.snap = s
	} else {
		q.restart(now, q.expectedCoverage())
	}
	q.finishIfDone(now)
}

// expectedCoverage returns the share of the data that can still be expected of a snapshot that no target holds any
// more: the shards that were answered, and those in flight at targets that still accept work. Before the first answer
// it is 0, since starting again then loses nothing.
func (q *Query) expectedCoverage() float64 {
	if q.covered == 0 {
		return 0
	}
	share := q.covered
	for i := range q.shards {
		if s := &q.shards[i]; !s.done && !s.missing && q.inFlightAtAcceptingTarget(s) {
			share += s.share
		}
	}
	return share
}

// inFlightAtAcceptingTarget reports whether a shard has an attempt in flight at a target that still accepts work.
func (q *Query) inFlightAtAcceptingTarget(s *shardState) bool {
	for n := s.last; n != noAttempt; n = q.attempts[n].previous {
		if q.attempts[n].state == attemptInFlight && q.Plan.AcceptsWork(q.attempts[n].Target.ID) {
			return true
		}
	}
	return false
}

// restart starts the query again on another snapshot if that covers more than can be expected of the current one and
// the retry budget allows it. Nothing of the abandoned snapshot is kept, so that an answer never mixes two snapshots.
func (q *Query) restart(now time.Time, expected float64) bool {
	if q.restarts >= maxRestarts || q.FinishBy.Sub(now) <= now.Sub(q.begunAt) {
		// With less time left than was spent on the abandoned snapshot, the query would probably not be answered in
		// time on the new one.
		return false
	}
	next := q.Plan.Choose(q.Required, append(q.abandoned, q.snap.Snapshot)...)
	if next == nil || next.Available <= expected+coverageTolerance {
		return false
	}
	cost := min(q.countMayHaveRun(q.firstOnSnapshot), len(next.Layout.Shards))
	if !q.env.TakeRetries(cost) {
		return false
	}
	q.abandon()
	q.restarts++
	q.ready.Notices = append(q.ready.Notices, Notice{Kind: NoticeRestart, Snapshot: next.Snapshot, Detail: "previous snapshot " + q.snap.Snapshot.String()})
	q.beginSnapshot(now, next, cost)
	return true
}

// abandon cancels the attempts on the current snapshot. Attempts that did not run put no load on a target, so the
// attempts that replace them take their place in the counts.
func (q *Query) abandon() {
	q.abandoned = append(q.abandoned, q.snap.Snapshot)
	for n := q.firstOnSnapshot; n < len(q.attempts); n++ {
		if q.attempts[n].state == attemptNotRun {
			q.uncountAttempt(q.attempts[n].Kind)
		}
		q.cancel(n)
	}
}

// countMayHaveRun counts the attempts, from the given number on, that may have run or may still run.
func (q *Query) countMayHaveRun(from int) int {
	n := 0
	for i := from; i < len(q.attempts); i++ {
		switch q.attempts[i].state {
		case attemptInFlight, attemptEnded, attemptCancelled:
			n++
		}
	}
	return n
}
