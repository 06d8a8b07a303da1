package query

import (
	"strconv"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// AttemptKind is the reason for which an attempt is sent.
type AttemptKind uint8

// The kinds of attempts.
const (
	// KindFirst is the first attempt for a shard, or one that replaces an attempt that was never sent.
	KindFirst AttemptKind = iota
	// KindHedge is sent while another attempt for the shard is in flight.
	KindHedge
	// KindRetry is sent after another attempt for the shard has failed.
	KindRetry
)

// String returns the name used in log lines.
func (k AttemptKind) String() string { return [...]string{"first", "hedge", "retry"}[k] }

// Attempt is one attempt of a query. Its fields do not change once it is listed in Ready.
type Attempt struct {
	ID     model.AttemptID
	Shard  model.ShardID
	Target *model.Target
	Kind   AttemptKind
	// Cause is the cause of a hedge or retry: the ID of a straggling target, or the status of a failed attempt.
	Cause string

	shardIndex int
	previous   int
	state      attemptState
}

// IsExtra reports whether the attempt is a hedge or retry of a single shard, and not part of the restart of a whole
// query.
func (a *Attempt) IsExtra() bool { return a.Kind != KindFirst && a.Cause != causeRestart }

type attemptState uint8

const (
	// attemptInFlight waits for its reply, and attemptCancelled may still get one. attemptEnded may have run.
	attemptInFlight attemptState = iota
	attemptEnded
	attemptCancelled
	// attemptNotSent and attemptNotRun have not run and never will.
	attemptNotSent
	attemptNotRun
)

// noAttempt ends the linked list of a shard's attempts.
const noAttempt = -1

// causeRestart is the cause of attempts that replace those on an abandoned snapshot.
const causeRestart = "restart"

func causeForSnapshot(kind AttemptKind) string {
	if kind == KindFirst {
		return ""
	}
	return causeRestart
}

// attemptIDBase is the number base of the attempt numbers in IDs.
const attemptIDBase = 36

// makeAttemptIDs makes the IDs of the next n attempts in one allocation.
func (q *Query) makeAttemptIDs(n int) {
	first := len(q.attempts)
	q.idBuffer, q.idEnds = q.idBuffer[:0], q.idEnds[:0]
	for i := first; i < first+n; i++ {
		q.idBuffer = append(q.idBuffer, q.IDPrefix...)
		q.idBuffer = strconv.AppendInt(q.idBuffer, int64(i), attemptIDBase)
		q.idEnds = append(q.idEnds, len(q.idBuffer))
	}
	q.attemptIDs, q.firstAttemptID = string(q.idBuffer), first
}

// attemptID returns the ID of an attempt: one of those made in advance, or a new one.
func (q *Query) attemptID(n int) model.AttemptID {
	i := n - q.firstAttemptID
	switch {
	case i < 0 || i >= len(q.idEnds):
		return model.AttemptID(q.IDPrefix + strconv.FormatInt(int64(n), attemptIDBase))
	case i == 0:
		return model.AttemptID(q.attemptIDs[:q.idEnds[0]])
	}
	return model.AttemptID(q.attemptIDs[q.idEnds[i-1]:q.idEnds[i]])
}

// triedTargets lists the targets to which an attempt for the shard was sent, and those that have dropped the
// snapshot.
func (q *Query) triedTargets(shard int) []*model.Target {
	q.tried = append(q.tried[:0], q.droppedBy...)
	for n := q.shards[shard].last; n != noAttempt; n = q.attempts[n].previous {
		q.tried = append(q.tried, q.attempts[n].Target)
	}
	return q.tried
}

func (q *Query) hasTried(shard int, t *model.Target) bool {
	for _, tried := range q.triedTargets(shard) {
		if tried.ID == t.ID {
			return true
		}
	}
	return false
}

func endState(status model.ReplyStatus) attemptState {
	switch {
	case status == model.ReplyNotSent:
		return attemptNotSent
	case status.DidNotRun():
		return attemptNotRun
	}
	return attemptEnded
}
