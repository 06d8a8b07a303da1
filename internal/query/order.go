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

// OrderEnvironment is what an order asks besides the questions of a query.
type OrderEnvironment interface {
	Choose(now time.Time, c Choice) *model.Target
	Retry(r Retry) (time.Duration, bool)
	TakeRetries(n int) bool
	Withdraw(attempt int) bool
	// Recorded decodes the recorded result of an earlier run of the order.
	Recorded(result []byte) (model.Answer, error)
}

// OrderParams is what an order starts with.
type OrderParams struct {
	Request  *model.Request
	FinishBy time.Time
	IDPrefix string
	Plan     *Plan
}

// OrderReady is what the caller of an Order has to do.
type OrderReady struct {
	// Claim is the attempt to claim the order for, or empty.
	Claim model.AttemptID
	// Send is the number of the attempt to send, or negative.
	Send int
	// Record is the result to record with the claim. Release says that the claim is to be given back.
	Record  *model.Answer
	Release bool
	// Wake is when Tick is due.
	Wake time.Time
	// Answer is set once the caller can be answered. A reply that arrives later may still have to be recorded.
	Answer *model.Answer
}

type orderPhase uint8

const (
	// orderClaiming waits for the claim, and orderWaiting for the time of a retry. Nothing can have run.
	orderClaiming orderPhase = iota
	orderWaiting
	// orderInFlight has one attempt that may have run.
	orderInFlight
	// orderAbandoned was answered as not run while its claim was on the way; a grant is given back.
	orderAbandoned
	// orderOpen was answered as unknown while its attempt was in flight; a late reply is recorded.
	orderOpen
	orderEnded
)

// Order is the state machine of one non-idempotent request. It goes to one target of one shard, after its claim is
// granted and before the deadline, and again only when the target said that it did not run it. At any moment at
// most one attempt may have run. Inputs are Start, Claimed, Reply, Tick and Cancel; it is not safe for concurrent
// use.
type Order struct {
	OrderParams
	env        OrderEnvironment
	snap       *SnapshotPlan
	shard      int
	attempts   []Attempt
	tried      []*model.Target
	given      []model.Snapshot
	phase      orderPhase
	retryAt    time.Time
	retryKind  AttemptKind
	retryCause string
	retries    int
	cancelled  bool
	ready      OrderReady
	stats      model.AnswerStats
}

// NewOrder returns an order. Start begins it.
func NewOrder(p OrderParams, env OrderEnvironment) *Order {
	return &Order{OrderParams: p, env: env, ready: OrderReady{Send: noAttempt}}
}

// Attempt returns an attempt by its number.
func (o *Order) Attempt(n int) *Attempt { return &o.attempts[n] }

// ClaimedAttempt returns the attempt that the claim names: the first one, whichever retry has run.
func (o *Order) ClaimedAttempt() model.AttemptID { return o.attemptID(0) }

// Snapshot returns the snapshot that the order uses.
func (o *Order) Snapshot() model.Snapshot {
	if o.snap == nil {
		return model.Snapshot{}
	}
	return o.snap.Snapshot
}

// InFlight reports whether an attempt is in flight.
func (o *Order) InFlight() bool { return o.phase == orderInFlight || o.phase == orderOpen }

// Ready returns what is to be done.
func (o *Order) Ready() *OrderReady {
	o.ready.Wake = o.FinishBy
	if o.phase == orderWaiting && o.retryAt.Before(o.FinishBy) {
		o.ready.Wake = o.retryAt
	}
	return &o.ready
}

// Advance says that the last Ready has been acted on.
func (o *Order) Advance() {
	o.ready = OrderReady{Send: noAttempt, Answer: o.ready.Answer}
}

// Start chooses the shard and asks for the claim.
func (o *Order) Start(now time.Time) {
	if o.Request.OrderKey == "" {
		o.notRun("the request has no order key", "send a UUIDv7 as the order key")
		return
	}
	// The claim is asked for even without a target: an earlier send of the order may have run, and then not_run
	// would be false.
	o.snap, o.shard = o.Plan.chooseForOrder(o.Request.OrderKey, o.Request.Shard)
	o.ready.Claim = o.ClaimedAttempt()
}

func (o *Order) attemptID(n int) model.AttemptID {
	return model.AttemptID(o.IDPrefix + strconv.FormatInt(int64(n), 36))
}

// Claimed takes the answer of the claim store. Nothing was sent before it.
func (o *Order) Claimed(now time.Time, result model.ClaimResult, err error) {
	switch o.phase {
	case orderClaiming:
		if err != nil {
			o.claimFailed(err)
		} else {
			o.decide(now, result)
		}
	case orderAbandoned:
		// The answer said that the order was not run, and it will not be: a granted claim is given back.
		o.ready.Release = (err == nil && o.isOurs(result)) || mayBeClaimed(err)
		o.phase = orderEnded
	}
}

// claimFailed ends an order whose claim was not granted. This send has not run, but without control nobody can say
// whether an earlier send with the same key has, so that not_run could have the caller order again under a new key.
// Only a key that no send can use is told as not run. When the claim may have been committed all the same it is given
// back, so that a resend need not wait for an outcome that will never be recorded.
func (o *Order) claimFailed(err error) {
	reason := "this send was not run, since the order could not be claimed: " + err.Error()
	if errs.KindOf(err) == errs.KindInvalid {
		o.notRun(reason, errs.RemedyOf(err))
	} else {
		o.unknown(reason + "; an earlier send with the same key may have run")
	}
	o.ready.Release = mayBeClaimed(err)
}

func mayBeClaimed(err error) bool {
	return err != nil && errs.KindOf(err) == errs.KindUnknownOutcome
}

// isOurs reports whether this request holds the claim. The claim store may have asked twice for it, because the
// first answer was lost; then the claim exists already and names this request's attempt.
func (o *Order) isOurs(r model.ClaimResult) bool {
	switch r.Decision {
	case model.ClaimGranted:
		return r.Claim.Attempt == "" || r.Claim.Attempt == o.ClaimedAttempt()
	case model.ClaimExists:
		return r.Claim.State == model.ClaimHeld && r.Claim.Attempt == o.ClaimedAttempt()
	}
	return false
}

func (o *Order) decide(now time.Time, r model.ClaimResult) {
	switch {
	case o.isOurs(r):
		o.dispatch(now, KindFirst, "")
	case r.Decision == model.ClaimMismatch:
		o.notRun("the order key was used with another request", "use a new order key for a new order")
	case r.Decision == model.ClaimExpired:
		o.unknown("the order key is older than the retention of claims, so an earlier run cannot be ruled out")
	case r.Claim.State == model.ClaimReleased:
		o.notRun("the order was given back while it was claimed", "resend the order with the same key")
	case r.Claim.State == model.ClaimDone:
		o.repeat(r.Claim.Result)
	default:
		o.unknown("an earlier request with this order key is in progress, or its outcome is not known")
	}
}

// repeat answers with the recorded outcome of an earlier run.
func (o *Order) repeat(result []byte) {
	a, err := o.env.Recorded(result)
	if err != nil {
		o.unknown("the recorded outcome cannot be read: " + err.Error())
		return
	}
	a.RequestID = o.Request.ID
	a.Stats = model.AnswerStats{}
	o.phase = orderEnded
	o.ready.Answer = &a
}

// dispatch sends the order to one target, or gives the claim back when that can no longer be done.
func (o *Order) dispatch(now time.Time, kind AttemptKind, cause string) {
	if o.cancelled || !now.Before(o.FinishBy) {
		o.giveBack("the deadline passed or the caller left before the order was sent")
		return
	}
	if o.snap == nil {
		o.giveBack("no target holds the shard of the order")
		return
	}
	shard := o.snap.Layout.Shards[o.shard].ID
	target := o.env.Choose(now, Choice{Shard: shard, Holders: o.snap.Holders[o.shard], Tried: o.tried})
	if target == nil {
		o.giveBack("no target may be used for the shard of the order")
		return
	}
	n := len(o.attempts)
	o.attempts = append(o.attempts, Attempt{ID: o.attemptID(n), Shard: shard, Target: target, Kind: kind, Cause: cause, earlier: n - 1})
	o.tried = append(o.tried, target)
	o.phase = orderInFlight
	o.ready.Send = n
	if kind == KindFirst {
		o.stats.First++
	} else {
		o.stats.Retries++
	}
}

// Tick takes the passing of time.
func (o *Order) Tick(now time.Time) {
	if o.ready.Answer != nil {
		return
	}
	if o.phase == orderWaiting && !now.Before(o.retryAt) {
		o.dispatch(now, o.retryKind, o.retryCause)
		return
	}
	if !now.Before(o.FinishBy) {
		o.stop("the deadline passed")
	}
}

// chooseForOrder returns the snapshot and the shard for an order. The best snapshot for queries goes first; when
// nothing there holds the shard, the newest one with a holder is taken. Skip lists snapshots that were given up.
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

// shardOfOrder returns the index of the shard of an order: the named one, or the one whose part of the layout the
// hash of the key falls into, so that shards get orders in proportion to their data. It is negative when the
// layout does not have the named shard.
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
