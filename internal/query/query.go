package query

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Environment makes the decisions that depend on policies or on what this VM observes of the targets. Its methods do
// not block. With the same inputs and the same results of these methods, a Query takes the same decisions.
type Environment interface {
	// Choose returns the target for an attempt, or nil when none may be used.
	Choose(now time.Time, c ChooseInput) *model.Target
	// HedgeAfter returns the delay after which an attempt for the shard is hedged, and false if it is never hedged.
	HedgeAfter(shard model.ShardID) (time.Duration, bool)
	// Retry reports whether a failed attempt is followed by another one, and after which delay.
	Retry(r RetryInput) (time.Duration, bool)
	// TakeHedge takes one hedge from the hedge budget, and reports whether the budget allows it. Hedges leave a reserve
	// in the budget. Only a hedge that was postponed before may use it, since its shard has been unanswered for longer
	// than its quantile; useReserve is set for it.
	TakeHedge(useReserve bool) bool
	// TakeRetries takes n retries from the retry budget, and reports whether the budget allows them.
	TakeRetries(n int) bool
	// Withdraw stops an attempt that was listed in Ready.Send, and reports whether it has not been sent and never will
	// be.
	Withdraw(attempt int) bool
}

// ChooseInput is the input of a choice among the holders of a shard.
type ChooseInput struct {
	Shard   model.ShardID
	Holders []*model.Target
	// Tried lists the targets to which an attempt for the shard was sent or that have dropped the snapshot. They are
	// chosen only if no other target can be.
	Tried []*model.Target
	// Straggler is the target whose slow attempt is hedged. The hedge avoids it and, where possible, its availability
	// zone.
	Straggler *model.Target
	// AllowTried lets a hedge go to a target that has been tried for the shard.
	AllowTried bool
}

// RetryInput describes a failed attempt, for the decision whether to retry it.
type RetryInput struct {
	Shard     model.ShardID
	Status    model.ReplyStatus
	Retries   int
	Now       time.Time
	Remaining time.Duration
	Holders   []*model.Target
	Tried     []*model.Target
}

// Params are the parameters of a query.
type Params struct {
	Request *model.Request
	Service *model.ServiceConfig
	// Start is when the request arrived, and FinishBy the latest time of its answer.
	Start    time.Time
	FinishBy time.Time
	// Required is the least coverage of an acceptable answer.
	Required float64
	// IDPrefix starts the IDs of the attempts. It is unique to the query.
	IDPrefix string
	Plan     *Plan
}

// shardState is the state of one shard of the chosen snapshot.
type shardState struct {
	share    float64
	coverage float64
	body     []byte
	// hedgeAt and retryAt are when the next hedge and the next retry are due; zero if there is none.
	hedgeAt time.Time
	retryAt time.Time
	// last is the number of the latest attempt; each attempt links to the one before it.
	last       int
	inFlight   int
	retries    int
	retryKind  AttemptKind
	retryCause string
	// awaitingBudget is set while the retry waits for the retry budget.
	awaitingBudget bool
	// hedges counts the hedges sent. hedgePostponed is set once a hedge was postponed because the budget was used up.
	hedges         int
	hedgePostponed bool
	hedgeDelay     time.Duration
	// overdueRetryAt is when the shard, if it is still unanswered, takes a retry from the retry budget. This happens once.
	overdueRetryAt time.Time
	overdueRetried bool
	// done is set once the shard is answered, missing once it cannot be answered any more.
	done    bool
	missing bool
}

// Ready lists what the caller of a Query has to do. Its slices are valid until the next input.
type Ready struct {
	// Send and Cancel hold the numbers of the attempts to send and to cancel.
	Send   []int
	Cancel []int
	// Wake is when Tick is due. It is zero when nothing is due.
	Wake time.Time
	// Answer is set once the query is finished.
	Answer *model.Answer
	// Notices describe decisions to be logged.
	Notices []Notice
}

// Notice describes a decision other than to send an attempt.
type Notice struct {
	Kind NoticeKind
	// Shard is the shard that the decision is about, unless it is about the whole request.
	Shard    model.ShardID
	Snapshot model.Snapshot
	Detail   string
}

// NoticeKind classifies notices.
type NoticeKind uint8

// The kinds of notices.
const (
	// NoticeRestart reports that the query starts again on another snapshot.
	NoticeRestart NoticeKind = iota
	// NoticeNoBudget reports that a hedge or retry was postponed or not sent because its budget is used up.
	NoticeNoBudget
)

// String returns the message of the log line.
func (k NoticeKind) String() string {
	return [...]string{"restarting the query on another snapshot", "budget for extra attempts is used up; the attempt is postponed or not sent"}[k]
}

// Query is the state machine of one query. Inputs are Start, Reply, Tick, PlanChanged and Cancel; after each of
// them the caller takes the Ready, acts on it and calls Advance. It is not safe for concurrent use.
type Query struct {
	Params
	env      Environment
	snap     *SnapshotPlan
	shards   []shardState
	attempts []Attempt
	tried    []*model.Target
	// droppedBy lists the targets that have dropped the snapshot, and abandoned lists the snapshots that the query no
	// longer uses.
	droppedBy []*model.Target
	abandoned []model.Snapshot
	ready     Ready
	stats     model.AnswerStats

	// attemptIDs holds the concatenated IDs of the attempts from firstAttemptID on; idEnds holds the offset at which
	// each ends. idBuffer is reused by later queries.
	attemptIDs     string
	firstAttemptID int
	idBuffer       []byte
	idEnds         []int

	// covered is the share of the data that was answered, reachable the share that was answered or still can be.
	covered       float64
	reachable     float64
	pendingShards int
	fullShards    int
	inFlight      int
	restarts      int
	// firstOnSnapshot is the number of the first attempt on the current snapshot, and begunAt when it was sent.
	firstOnSnapshot int
	begunAt         time.Time
	// nextToSend is the number of the first attempt that Ready has not yet returned.
	nextToSend int
	// nextTimer is no later than the first time at which a hedge or retry of a shard is due; zero if none is.
	nextTimer time.Time
	reason    string
}

// New returns a query. Call Start to begin it.
func New(p Params, env Environment) *Query {
	q := &Query{}
	q.Reset(p, env)
	return q
}

// Reset prepares a finished query for another request and reuses its memory.
func (q *Query) Reset(p Params, env Environment) {
	clear(q.shards)
	clear(q.attempts)
	*q = Query{
		Params: p, env: env, shards: q.shards[:0], attempts: q.attempts[:0], tried: q.tried[:0], droppedBy: q.droppedBy[:0],
		idBuffer: q.idBuffer[:0], idEnds: q.idEnds[:0], abandoned: q.abandoned[:0],
		ready: Ready{Send: q.ready.Send[:0], Cancel: q.ready.Cancel[:0], Notices: q.ready.Notices[:0]},
	}
}

// Attempt returns an attempt by its number. The pointer is valid until the next input.
func (q *Query) Attempt(n int) *Attempt { return &q.attempts[n] }

// Snapshot returns the snapshot that the query uses. It is zero before one is chosen.
func (q *Query) Snapshot() model.Snapshot {
	if q.snap == nil {
		return model.Snapshot{}
	}
	return q.snap.Snapshot
}

// Ready returns the pending actions. Attempts that were cancelled before Ready returned them are left out.
func (q *Query) Ready() *Ready {
	send := q.ready.Send[:0]
	for _, n := range q.ready.Send {
		if q.attempts[n].state == attemptInFlight {
			send = append(send, n)
		}
	}
	q.ready.Send = send
	q.ready.Wake = q.wake()
	return &q.ready
}

// Advance confirms that the caller has acted on the last Ready, and empties its slices.
func (q *Query) Advance() {
	q.nextToSend = len(q.attempts)
	q.ready.Send = q.ready.Send[:0]
	q.ready.Cancel = q.ready.Cancel[:0]
	q.ready.Notices = q.ready.Notices[:0]
}

// Start chooses the snapshot and sends the first attempts.
func (q *Query) Start(now time.Time) {
	snap := q.Plan.Choose(q.Required)
	if snap == nil {
		q.reason = q.Plan.shortageReason(q.Required)
		q.finish()
		return
	}
	q.beginSnapshot(now, snap, 0)
	q.finishIfDone(now)
}

// beginSnapshot sends one attempt for each shard of a snapshot. As many of them as retries gives, from the first on,
// count as retries; the others count as first attempts.
func (q *Query) beginSnapshot(now time.Time, snap *SnapshotPlan, retries int) {
	n := len(snap.Layout.Shards)
	q.snap = snap
	q.covered, q.reachable, q.fullShards, q.pendingShards = 0, snap.Available, 0, n
	q.droppedBy = q.droppedBy[:0]
	q.firstOnSnapshot, q.begunAt = len(q.attempts), now
	q.nextTimer = time.Time{}
	clear(q.shards)
	q.shards = resize(q.shards, n)
	q.growAttempts(n)
	q.makeAttemptIDs(n)
	for i := range q.shards {
		s := &q.shards[i]
		*s = shardState{share: snap.Layout.Shards[i].Share, last: noAttempt}
		if len(snap.Holders[i]) == 0 {
			s.missing = true
			q.pendingShards--
			continue
		}
		kind := KindFirst
		if retries > 0 {
			kind = KindRetry
		}
		if q.send(now, i, kind, nil, causeForSnapshot(kind)) && kind == KindRetry {
			retries--
		}
	}
}

func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}

// growAttempts allocates memory for one attempt for each shard and some more.
func (q *Query) growAttempts(n int) {
	if cap(q.attempts)-len(q.attempts) >= n {
		return
	}
	grown := make([]Attempt, len(q.attempts), len(q.attempts)+n+n/8+4)
	copy(grown, q.attempts)
	q.attempts = grown
}

// send adds an attempt for a shard, and reports whether it did. When no target may be used and no other attempt is in
// flight, it marks the shard as missing. A hedge that the budget does not allow is postponed.
func (q *Query) send(now time.Time, shard int, kind AttemptKind, straggler *model.Target, cause string) bool {
	s := &q.shards[shard]
	id := q.snap.Layout.Shards[shard].ID
	allowTried := kind == KindHedge && s.hedges > 0
	target := q.env.Choose(now, ChooseInput{
		Shard: id, Holders: q.snap.Holders[shard], Tried: q.triedTargets(shard), Straggler: straggler, AllowTried: allowTried,
	})
	if target == nil || (straggler != nil && !allowTried && q.hasTried(shard, target)) {
		if s.inFlight == 0 {
			q.markMissing(shard)
		}
		return false
	}
	if kind == KindHedge && !q.env.TakeHedge(s.hedgePostponed) {
		q.postponeHedge(now, shard)
		return false
	}
	n := len(q.attempts)
	q.attempts = append(q.attempts, Attempt{ID: q.attemptID(n), Shard: id, Target: target, Kind: kind, Cause: cause, shardIndex: shard, previous: s.last})
	s.last = n
	s.inFlight++
	q.inFlight++
	s.retryAt = time.Time{}
	if s.overdueRetryAt.IsZero() {
		s.overdueRetryAt = now.Add(q.FinishBy.Sub(now) / 2)
		q.addTimer(s.overdueRetryAt)
	}
	if kind == KindHedge {
		s.hedges++
	}
	s.hedgeAt = time.Time{}
	if delay, ok := q.env.HedgeAfter(id); ok && s.hedges < maxHedges {
		s.hedgeAt, s.hedgeDelay = now.Add(delay), delay
		q.addTimer(s.hedgeAt)
	}
	q.ready.Send = append(q.ready.Send, n)
	q.countAttempt(kind)
	return true
}

// Reply processes the result of an attempt. Replies to attempts that have ended or were cancelled, and replies that
// belong to another attempt, are dropped and counted.
func (q *Query) Reply(now time.Time, n int, r model.Reply) {
	if q.ready.Answer != nil || n < 0 || n >= len(q.attempts) || q.attempts[n].state != attemptInFlight {
		q.dropReply(n, r.Status)
		return
	}
	a := &q.attempts[n]
	status := r.Status
	if status == model.ReplyOK && r.Attempt != a.ID {
		status = model.ReplyMismatch
	}
	if status == model.ReplyMismatch || status == model.ReplyTruncated {
		q.stats.Dropped++
	}
	q.endAttempt(a, endState(status))
	if status == model.ReplyNotSent {
		q.uncountAttempt(a.Kind)
	}
	if status == model.ReplyOK {
		q.acceptReply(a.shardIndex, r)
	} else {
		q.handleFailure(now, a, status)
	}
	q.finishIfDone(now)
}

// dropReply processes a result that can no longer be used. Results without a reply, such as those of cancelled
// attempts, are not counted as dropped.
func (q *Query) dropReply(n int, status model.ReplyStatus) {
	switch status {
	case model.ReplyOK, model.ReplyMismatch, model.ReplyTruncated:
		q.stats.Dropped++
	}
	if n >= 0 && n < len(q.attempts) && q.attempts[n].state == attemptCancelled && status.DidNotRun() {
		q.attempts[n].state = endState(status)
	}
}

func (q *Query) endAttempt(a *Attempt, state attemptState) {
	a.state = state
	q.inFlight--
	q.shards[a.shardIndex].inFlight--
}

// acceptReply stores the reply of a shard and cancels the other attempts for it.
func (q *Query) acceptReply(shard int, r model.Reply) {
	s := &q.shards[shard]
	s.done = true
	s.coverage = clampCoverage(r.Coverage)
	s.body = r.Body
	q.pendingShards--
	q.covered += s.share * s.coverage
	q.reachable -= s.share * (1 - s.coverage)
	if s.coverage == 1 {
		q.fullShards++
	}
	q.cancelShard(shard)
}

func (q *Query) cancelShard(shard int) {
	for n := q.shards[shard].last; n != noAttempt && q.shards[shard].inFlight > 0; n = q.attempts[n].previous {
		q.cancel(n)
	}
}

func (q *Query) cancel(n int) {
	if q.attempts[n].state != attemptInFlight {
		return
	}
	if n >= q.nextToSend {
		q.markNotSent(n)
		return
	}
	q.endAttempt(&q.attempts[n], attemptCancelled)
	q.ready.Cancel = append(q.ready.Cancel, n)
}

// markNotSent ends an attempt that was not sent and never will be.
func (q *Query) markNotSent(n int) {
	a := &q.attempts[n]
	q.endAttempt(a, attemptNotSent)
	q.uncountAttempt(a.Kind)
}

// markMissing records that the shard cannot be answered any more.
func (q *Query) markMissing(shard int) {
	s := &q.shards[shard]
	if s.done || s.missing {
		return
	}
	s.missing = true
	q.pendingShards--
	q.reachable -= s.share
}
