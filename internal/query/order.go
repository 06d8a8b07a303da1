package query

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// OrderEnvironment makes the decisions that an order leaves to policies. Methods that Environment has too are the
// same as there.
type OrderEnvironment interface {
	Choose(now time.Time, c ChooseInput) *model.Target
	Retry(r RetryInput) (time.Duration, bool)
	TakeRetries(n int) bool
	Withdraw(attempt int) bool
	// DecodeResult decodes the recorded result of an earlier run of the order.
	DecodeResult(result []byte) (model.Answer, error)
}

// OrderParams are the parameters of an order.
type OrderParams struct {
	Request  *model.Request
	FinishBy time.Time
	IDPrefix string
	Plan     *Plan
}

// OrderReady lists what the caller of an Order has to do.
type OrderReady struct {
	// Claim is the ID of the attempt to claim the order for, or empty.
	Claim model.AttemptID
	// Send is the number of the attempt to send, or negative.
	Send int
	// Record is the result to record with the claim. Release is set if the claim is to be released.
	Record  *model.Answer
	Release bool
	// Wake is when Tick is due.
	Wake time.Time
	// Answer is set once the caller can be answered. A reply that arrives later may still have to be recorded.
	Answer *model.Answer
}

type orderPhase uint8

const (
	// orderClaiming waits for the claim, and orderAwaitingRetry for the time of a retry. Nothing can have run.
	orderClaiming orderPhase = iota
	orderAwaitingRetry
	// orderInFlight has one attempt that may have run.
	orderInFlight
	// orderAbandoned was answered while the request for its claim was in progress; a claim that is granted is
	// released.
	orderAbandoned
	// orderAwaitingLateReply was answered as unknown while its attempt was in flight; a late reply is recorded.
	orderAwaitingLateReply
	orderEnded
)

// Order is the state machine of one non-idempotent request. The order is sent to one target of one shard, after its
// claim is granted and before the deadline, and again only if the target reported that it did not run it. At any
// moment at most one attempt may have run. Inputs are Start, ClaimResult, Reply, Tick and Cancel; it is not safe for
// concurrent use.
type Order struct {
	OrderParams
	env        OrderEnvironment
	snap       *SnapshotPlan
	shard      int
	attempts   []Attempt
	tried      []*model.Target
	abandoned  []model.Snapshot
	phase      orderPhase
	retryAt    time.Time
	retryKind  AttemptKind
	retryCause string
	retries    int
	cancelled  bool
	ready      OrderReady
	stats      model.AnswerStats
}

// NewOrder returns an order. Call Start to begin it.
func NewOrder(p OrderParams, env OrderEnvironment) *Order {
	return &Order{OrderParams: p, env: env, ready: OrderReady{Send: noAttempt}}
}

// Attempt returns an attempt by its number.
func (o *Order) Attempt(n int) *Attempt { return &o.attempts[n] }

// ClaimedAttempt returns the ID of the attempt that the claim names: the first one, even if a retry has run.
func (o *Order) ClaimedAttempt() model.AttemptID { return o.attemptID(0) }

// Snapshot returns the snapshot that the order uses. It is zero before one is chosen.
func (o *Order) Snapshot() model.Snapshot {
	if o.snap == nil {
		return model.Snapshot{}
	}
	return o.snap.Snapshot
}

// InFlight reports whether an attempt is in flight.
func (o *Order) InFlight() bool { return o.phase == orderInFlight || o.phase == orderAwaitingLateReply }

// Ready returns the pending actions. The result is valid until the next input.
func (o *Order) Ready() *OrderReady {
	o.ready.Wake = o.FinishBy
	if o.phase == orderAwaitingRetry && o.retryAt.Before(o.FinishBy) {
		o.ready.Wake = o.retryAt
	}
	return &o.ready
}

// Advance confirms that the caller has acted on the last Ready.
func (o *Order) Advance() {
	o.ready = OrderReady{Send: noAttempt, Answer: o.ready.Answer}
}

// Start chooses the shard and requests the claim.
func (o *Order) Start(now time.Time) {
	if o.Request.OrderKey == "" {
		o.answerNotRun("the request has no order key", "send a UUIDv7 as the order key")
		return
	}
	// The claim is requested even without a target: an earlier send of the order may have run, and then not_run would
	// be false.
	o.snap, o.shard = o.Plan.chooseForOrder(o.Request.OrderKey, o.Request.Shard)
	o.ready.Claim = o.ClaimedAttempt()
}

func (o *Order) attemptID(n int) model.AttemptID {
	return model.AttemptID(o.IDPrefix + strconv.FormatInt(int64(n), 36))
}

// ClaimResult processes the result of the claim store. Nothing is sent before it.
func (o *Order) ClaimResult(now time.Time, result model.ClaimResult, err error) {
	switch o.phase {
	case orderClaiming:
		if err != nil {
			o.claimFailed(err)
		} else {
			o.handleClaim(now, result)
		}
	case orderAbandoned:
		// The caller has been answered and the order will not be sent, so a claim that was granted is released.
		o.ready.Release = (err == nil && o.holdsClaim(result)) || mayBeClaimed(err)
		o.phase = orderEnded
	}
}

// claimFailed ends an order whose claim was not granted. This send has not run, but without the claim store an
// earlier send with the same key cannot be ruled out, and not_run could make the caller order again under a new key.
// Only a key that no send can use is answered as not run. A claim that may have been committed anyway is released, so
// that a resend need not wait for an outcome that will never be recorded.
func (o *Order) claimFailed(err error) {
	reason := "this send was not run, since the order could not be claimed: " + err.Error()
	if errs.KindOf(err) == errs.KindInvalid {
		o.answerNotRun(reason, errs.RemedyOf(err))
	} else {
		o.answerUnknown(reason + "; an earlier send with the same key may have run")
	}
	o.ready.Release = mayBeClaimed(err)
}

func mayBeClaimed(err error) bool {
	return err != nil && errs.KindOf(err) == errs.KindUnknownOutcome
}

// holdsClaim reports whether this request holds the claim. The claim store may have requested it twice, because the
// first result was lost; then the claim exists already and names this request's attempt.
func (o *Order) holdsClaim(r model.ClaimResult) bool {
	switch r.Decision {
	case model.ClaimGranted:
		return r.Claim.Attempt == "" || r.Claim.Attempt == o.ClaimedAttempt()
	case model.ClaimExists:
		return r.Claim.State == model.ClaimHeld && r.Claim.Attempt == o.ClaimedAttempt()
	}
	return false
}

func (o *Order) handleClaim(now time.Time, r model.ClaimResult) {
	switch {
	case o.holdsClaim(r):
		o.dispatch(now, KindFirst, "")
	case r.Decision == model.ClaimMismatch:
		o.answerNotRun("the order key was used with another request", "use a new order key for a new order")
	case r.Decision == model.ClaimExpired:
		o.answerUnknown("the order key is older than the retention of claims, so an earlier run cannot be ruled out")
	case r.Claim.State == model.ClaimReleased:
		o.answerNotRun("the claim was released while the order was being claimed", "resend the order with the same key")
	case r.Claim.State == model.ClaimDone:
		o.answerRecorded(r.Claim.Result)
	default:
		o.answerUnknown("an earlier request with this order key is in progress, or its outcome is unknown")
	}
}

// answerRecorded answers with the recorded outcome of an earlier run, or with outcome_unknown if it cannot be decoded.
func (o *Order) answerRecorded(result []byte) {
	a, err := o.env.DecodeResult(result)
	if err != nil {
		o.answerUnknown("the recorded outcome cannot be decoded: " + err.Error())
		return
	}
	a.RequestID = o.Request.ID
	a.Stats = model.AnswerStats{}
	o.phase = orderEnded
	o.ready.Answer = &a
}

// dispatch sends the order to one target, or releases the claim if the order can no longer be sent.
func (o *Order) dispatch(now time.Time, kind AttemptKind, cause string) {
	if o.cancelled || !now.Before(o.FinishBy) {
		o.releaseClaim("the deadline passed or the caller cancelled the request before the order was sent")
		return
	}
	if o.snap == nil {
		o.releaseClaim("no target holds the shard of the order")
		return
	}
	shard := o.snap.Layout.Shards[o.shard].ID
	target := o.env.Choose(now, ChooseInput{Shard: shard, Holders: o.snap.Holders[o.shard], Tried: o.tried})
	if target == nil {
		o.releaseClaim("no target that holds the shard of the order can be used")
		return
	}
	n := len(o.attempts)
	o.attempts = append(o.attempts, Attempt{ID: o.attemptID(n), Shard: shard, Target: target, Kind: kind, Cause: cause, previous: n - 1})
	o.tried = append(o.tried, target)
	o.phase = orderInFlight
	o.ready.Send = n
	if kind == KindFirst {
		o.stats.First++
	} else {
		o.stats.Retries++
	}
}

// Tick processes the timers that are due.
func (o *Order) Tick(now time.Time) {
	if o.ready.Answer != nil {
		return
	}
	if o.phase == orderAwaitingRetry && !now.Before(o.retryAt) {
		o.dispatch(now, o.retryKind, o.retryCause)
		return
	}
	if !now.Before(o.FinishBy) {
		o.stop("the deadline passed")
	}
}

// chooseForOrder returns the snapshot and the shard for an order. The best snapshot for queries is preferred; if no
// target there holds the shard, the newest snapshot with a holder is used. skip lists the abandoned snapshots.
func (p *Plan) chooseForOrder(key string, named *model.ShardID, skip ...model.Snapshot) (*SnapshotPlan, int) {
	if s := p.Choose(0, skip...); s != nil {
		if i := shardOfOrder(s.Layout, key, named); i >= 0 && len(s.Holders[i]) > 0 {
			return s, i
		}
	}
	for _, s := range p.Snapshots {
		if slices.Contains(skip, s.Snapshot) {
			continue
		}
		if i := shardOfOrder(s.Layout, key, named); i >= 0 && len(s.Holders[i]) > 0 {
			return s, i
		}
	}
	return nil, noAttempt
}

// shardOfOrder returns the index of the shard of an order: the named one, or else the one into whose part of the
// layout the hash of the key falls, so that shards get orders in proportion to their data. The index is negative if
// the layout does not have the named shard.
func shardOfOrder(l *model.Layout, key string, named *model.ShardID) int {
	if named != nil {
		for i, s := range l.Shards {
			if s.ID == *named {
				return i
			}
		}
		return noAttempt
	}
	point := float64(xxhash.Sum64String(key)) / math.MaxUint64
	for i, s := range l.Shards {
		if point -= s.Share; point < 0 {
			return i
		}
	}
	return len(l.Shards) - 1
}
