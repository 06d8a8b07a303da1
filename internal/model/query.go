package model

import "time"

// Priority determines the order of queued work: the lowest value is the most urgent.
type Priority int

// The priorities, most urgent first.
const (
	PriorityUrgent Priority = iota
	PriorityNormal
	PriorityBulk
	// PriorityCount is the number of priorities.
	PriorityCount
)

var priorityNames = [PriorityCount]string{"urgent", "normal", "bulk"}

// String returns the name used in configuration and headers.
func (p Priority) String() string {
	if p < 0 || p >= PriorityCount {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority parses the form that String returns. It returns false for any other text.
func ParsePriority(s string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return 0, false
}

// Request is one request of a caller, independent of any encoding.
type Request struct {
	ID      string
	Service ServiceName
	Caller  CallerID
	Body    []byte
	// Priority is nil when the priority of the service's configuration applies.
	Priority *Priority
	// Deadline is the time by which the caller wants the answer.
	Deadline time.Time
	// MinimumCoverage is the minimum that the caller accepts. The larger of it and the service's setting applies.
	MinimumCoverage float64
	// OrderKey identifies a non-idempotent order. It is empty for queries.
	OrderKey string
	// Shard names the shard that an order goes to. When it is nil, the shard is derived from the order key.
	Shard *ShardID
}

// Outcome is the outcome of a caller's request.
type Outcome string

// The outcomes.
const (
	// OutcomeComplete is an answer that covers all data of its snapshot.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial is an answer that reaches the minimum coverage, but does not cover all data.
	OutcomePartial Outcome = "partial"
	// OutcomeNotRun means that no attempt has run or can still run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRefused means that admission refused the request. The answer states when to try again.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that attempts were made, but gave no acceptable answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that an order may or may not have run.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Part is the answer of one shard. Coverage is the share of the shard's data that it covers, from 0 to 1.
type Part struct {
	Shard    ShardID
	Coverage float64
	Body     []byte
}

// Answer is the answer to a caller's request.
type Answer struct {
	RequestID string
	Outcome   Outcome
	Snapshot  Snapshot
	// Coverage is the share of the snapshot's data that the answer covers, from 0 to 1.
	Coverage float64
	// Missing lists the shards that did not answer in full.
	Missing []ShardID
	Parts   []Part
	// Reason and Remedy explain every outcome but complete.
	Reason     string
	Remedy     string
	RetryAfter time.Duration
	Stats      AnswerStats
}

// AnswerStats counts the attempts behind an answer by their kind, and the replies that were dropped.
type AnswerStats struct {
	First   int
	Hedges  int
	Retries int
	Dropped int
}

// AttemptID identifies one attempt. Targets return it with their reply, so that a reply to another attempt is detected.
type AttemptID string

// SubRequest is one attempt: a request to one target for one shard of one snapshot.
type SubRequest struct {
	Attempt  AttemptID
	Service  ServiceName
	Shard    ShardID
	Snapshot Snapshot
	Body     []byte
	Priority Priority
	Deadline time.Time
	// OrderKey is set on orders only. It is sent in a header to which net/http gives no meaning.
	OrderKey string
}

// ReplyStatus classifies the result of an attempt.
type ReplyStatus string

// The results of an attempt.
const (
	// ReplyOK is a complete reply to this attempt.
	ReplyOK ReplyStatus = "ok"
	// ReplyNotSent means that no byte of the request can have been sent.
	ReplyNotSent ReplyStatus = "not_sent"
	// ReplyShed means that the target refused the attempt without running it.
	ReplyShed ReplyStatus = "shed"
	// ReplyNotRun means that the target did not run the attempt for another reason, such as that it is leaving.
	ReplyNotRun ReplyStatus = "not_run"
	// ReplyNoSnapshot means that the target no longer has the snapshot; it did not run the attempt.
	ReplyNoSnapshot ReplyStatus = "no_snapshot"
	// ReplyMismatch means that the reply belongs to another attempt, shard or snapshot.
	ReplyMismatch ReplyStatus = "mismatch"
	// ReplyTruncated means that the body was short or damaged.
	ReplyTruncated ReplyStatus = "truncated"
	// ReplyTimeout means that the deadline passed or the attempt was cancelled.
	ReplyTimeout ReplyStatus = "timeout"
	// ReplyFailed means that the target failed, or that the connection broke after bytes may have been sent.
	ReplyFailed ReplyStatus = "failed"
)

// DidNotRun reports whether the target certainly has not run the attempt and will not.
func (s ReplyStatus) DidNotRun() bool {
	switch s {
	case ReplyNotSent, ReplyShed, ReplyNotRun, ReplyNoSnapshot:
		return true
	}
	return false
}

// Reply is the result of one attempt.
type Reply struct {
	Attempt  AttemptID
	Shard    ShardID
	Status   ReplyStatus
	Coverage float64
	Body     []byte
	Reason   string
	Elapsed  time.Duration
	// Cancelled reports whether the attempt ended because its context did, and not because of the target.
	Cancelled bool
	// TargetState is the target's state as given in the reply, or empty.
	TargetState TargetState
}
