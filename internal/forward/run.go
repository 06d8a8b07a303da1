package forward

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

const (
	// refusalDivisor divides the objective. The result is the time for which a request waits for an available
	// connection to a leaf before it is refused. A caller that is refused this early can still be served in time by
	// another VM. It is also the time after which a hedge that found no available connection is tried again.
	refusalDivisor = 4
	// maxUnrunAttempts is how many attempts beyond the allowed number a part gets when leaves did not run the others.
	maxUnrunAttempts = 4
	// roundDelay is the delay before leaves are tried again after none of them ran the request: a queue gets shorter, and a
	// connection becomes idle, within about the time of one request.
	roundDelay = 15 * time.Millisecond
	// coverageTolerance absorbs the rounding error of a coverage that represents a whole number of parts.
	coverageTolerance = 1e-9
	// minTimeLeft is the least time to the deadline for which an attempt is started.
	minTimeLeft = 5 * time.Millisecond
)

// Env is the environment of a run. Results may differ from call to call.
type Env interface {
	// Choose returns the leaf of a service that is expected to reply first, or nil when none has an available
	// connection. tried lists the leaves to which the part was sent already.
	Choose(now time.Time, service model.ServiceName, tried []*leaves.Member) *leaves.Member
	// HasUntried reports whether the service has a leaf that was not tried and that takes requests, with or without an
	// available connection.
	HasUntried(now time.Time, service model.ServiceName, tried []*leaves.Member) bool
	// NextReturn returns when the first of the leaves of a service that have asked for a pause takes requests again. It is
	// zero when none has, or when another leaf takes requests now.
	NextReturn(now time.Time, service model.ServiceName) time.Time
	// PauseEnd returns when the first of the leaves of a service that were not tried and have asked for a pause takes requests again, or
	// zero.
	PauseEnd(now time.Time, service model.ServiceName, tried []*leaves.Member) time.Time
	// CountFirst counts a first attempt at a service. TryExtra counts an extra attempt if the budget of the service allows it.
	CountFirst(now time.Time, service model.ServiceName)
	TryExtra(now time.Time, service model.ServiceName, hedge bool) Extra
	// Withdraw takes back an attempt that has not ended, unless a byte of it may have been sent, and reports whether it has. Nothing is
	// sent of it afterwards. The attempt is given by number, as in Send.
	Withdraw(part, attempt int) bool
	// HedgeDelay returns how long an attempt may be unanswered before the request is sent to another leaf as well.
	HedgeDelay() time.Duration
	// ExpectedWhenFull returns the time within which the request is expected to be answered at the earliest by a service whose leaves
	// are all known to be full, and 0 for any other service.
	ExpectedWhenFull(now time.Time, service model.ServiceName) time.Duration
	// SeenLatency returns what this VM has seen of the latency of the route.
	SeenLatency() SeenLatency
}

// Options are the settings of a run.
type Options struct {
	// CallerDelay is the network delay of a request and its answer between the caller and this VM together, with the time that
	// this VM needs to read the request and to write the answer.
	CallerDelay time.Duration
}

// cause is why an attempt was started.
type cause string

const (
	causeFirst cause = "first"
	causeRetry cause = "retry"
	causeHedge cause = "hedge"
)

type attempt struct {
	leaf    *leaves.Member
	cause   cause
	started time.Time
	ended   bool
	// sent and mayHaveRun are set when the attempt ends.
	sent, mayHaveRun bool
	status           int
	err              error
	// hedged reports whether no further hedge is to be sent for this attempt.
	hedged bool
	// hedgeAt is when a hedge is tried again, after no other leaf had an available connection. It is zero before.
	hedgeAt time.Time
}

// part is one shard of a scatter-gather request, or the whole of any other request.
type part struct {
	service  model.ServiceName
	attempts []attempt
	tried    []*leaves.Member
	reply    *LeafReply
	// failure is the last reply or error that did not answer the part.
	failure *AttemptResult
	failed  bool
	// waiting reports whether the part waits because no leaf has an available connection.
	waiting bool
	// pauseEnd is when the first of the leaves that have asked for a pause takes a waiting part. It is zero when none has.
	pauseEnd time.Time
	// retryAt is when the leaves, none of which ran the request, are tried again. It is zero before all were tried.
	retryAt time.Time
	// pausedUntil is the end of the pause that the leaves have asked for, when it is what the part failed for.
	pausedUntil time.Time
	// budgetExhausted reports whether the budget refused an extra attempt.
	budgetExhausted bool
}

// Run is the state of one request. It is used by one goroutine.
type Run struct {
	route *routes.Route
	env   Env
	parts []part
	// partialAt is when a partial answer is given instead of waiting for the remaining parts. deadline is when the caller gets a
	// response in any case, and refuseAt is when a request that was sent to no leaf is refused.
	partialAt, deadline, refuseAt time.Time
	// hedgeRetry is how long after a hedge found no leaf it is tried again.
	hedgeRetry time.Duration
	// endBy is when the VM answers at the latest because it is shutting down, if that is before the deadline of the request.
	endBy         time.Time
	answeredParts int
	// sent reports whether an attempt may have reached a leaf.
	sent          bool
	anyMayHaveRun bool
	rank          int
	// begun reports whether Step was called. refusedEarly reports whether the request was refused because services are full.
	begun, refusedEarly bool
}

// NewRun returns the run of a request on a route. service is the one that was picked from the split of the route; it is
// ignored for a scatter-gather route.
func NewRun(req *Request, route *routes.Route, service model.ServiceName, o Options, env Env) *Run {
	r := &Run{route: route, env: env, rank: req.Rank(route)}
	r.deadline = req.Received.Add(route.Timeout)
	if !req.Deadline.IsZero() {
		if d := req.Deadline.Add(-o.CallerDelay); d.Before(r.deadline) {
			r.deadline = d
		}
	}
	if !req.EndBy.IsZero() && req.EndBy.Before(r.deadline) {
		r.endBy, r.deadline = req.EndBy, req.EndBy
	}
	objective := route.Objective
	if objective <= 0 {
		objective = route.Timeout
	}
	r.partialAt = earlier(req.Received.Add(max(objective-o.CallerDelay, objective/2)), r.deadline)
	r.refuseAt = earlier(req.Received.Add(objective/refusalDivisor), r.deadline)
	r.hedgeRetry = max(objective/refusalDivisor, roundDelay)
	if !route.IsScatterGather() {
		r.parts = []part{{service: service}}
		return r
	}
	r.parts = make([]part, len(route.Shards))
	for i, s := range route.Shards {
		r.parts[i].service = s
	}
	return r
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Step returns the attempts to start now, the response if the request is finished, and otherwise the time at which
// Step has to be called again. It is called at the start, after each AttemptEnded, and when a connection to a leaf is
// available again.
func (r *Run) Step(now time.Time) (sends []Send, response *Response, wake time.Time) {
	if !r.sent {
		if response = r.EarlyRefusal(now); response != nil {
			return nil, response, now
		}
	}
	r.begun = true
	wake = r.deadline
	open := false
	for i := range r.parts {
		p := &r.parts[i]
		if p.reply != nil || p.failed {
			continue
		}
		var partWake time.Time
		sends, partWake = r.stepPart(now, i, sends)
		if !p.failed {
			open = true
			wake = earlier(wake, partWake)
		}
	}
	if response = r.finish(now, open, sends); response != nil {
		return nil, response, now
	}
	if r.hasEnough() {
		wake = earlier(wake, r.partialAt)
	}
	if now.Before(r.refuseAt) && (!r.sent || len(r.Waiting()) > 0) {
		wake = earlier(wake, r.refuseAt)
	}
	return sends, nil, wake
}

// EarlyRefusal returns the refusal of a request of which nothing was sent, or nil if it can be sent.
func (r *Run) EarlyRefusal(now time.Time) *Response {
	refusal := r.refuseUnfinishable(now)
	if refusal == nil {
		refusal = r.refusePaused(now)
	}
	if refusal == nil && !r.begun {
		refusal = r.refuseFull(now)
	}
	return refusal
}

// End makes the next Step return a response, since the VM is about to end.
func (r *Run) End(now time.Time) {
	r.endBy, r.deadline = now, earlier(r.deadline, now)
	r.partialAt, r.refuseAt = earlier(r.partialAt, now), earlier(r.refuseAt, now)
}

// fitsShutdown reports whether an attempt that is started now is expected to end before the VM does. A request whose leaf does not
// reply by then gets 504, while a refusal lets its caller use another VM at once.
func (r *Run) fitsShutdown(now time.Time) bool {
	if r.endBy.IsZero() {
		return true
	}
	return !now.Add(expectedLatency(r.env.SeenLatency(), r.route, r.sent)).After(r.endBy)
}

// stepPart adds the attempts that one part needs now, and returns when the part has to be evaluated again.
func (r *Run) stepPart(now time.Time, i int, sends []Send) ([]Send, time.Time) {
	p := &r.parts[i]
	pending := p.pending()
	if pending == nil {
		sends = r.startPart(now, i, sends)
		if pending = p.pending(); pending == nil {
			if p.retryAt.After(now) {
				return sends, p.retryAt
			}
			if p.waiting && p.pauseEnd.After(now) {
				return sends, earlier(p.pauseEnd, r.deadline)
			}
			return sends, r.deadline
		}
	}
	if !r.route.Repeatable || p.budgetExhausted || pending.hedged || !r.allowsExtra(p) || !r.fitsShutdown(now) {
		return sends, r.deadline
	}
	due := later(pending.started.Add(r.env.HedgeDelay()), pending.hedgeAt)
	if now.Before(due) {
		return sends, due
	}
	leaf := r.env.Choose(now, p.service, p.tried)
	if leaf == nil && !r.env.HasUntried(now, p.service, p.tried) {
		pending.hedged = true // All leaves of the service have the request.
		return sends, r.deadline
	}
	if leaf == nil {
		// The other leaves are busy. This one may stay silent for longer than they are, but trying often would only add load.
		pending.hedgeAt = now.Add(r.hedgeRetry)
		return sends, earlier(pending.hedgeAt, r.deadline)
	}
	switch r.env.TryExtra(now, p.service, true) {
	case ExtraPending:
		return sends, now.Add(ExtraPollInterval)
	case ExtraDenied:
		p.budgetExhausted = true
		return sends, r.deadline
	}
	pending.hedged = true
	return r.send(now, i, leaf, causeHedge, sends), r.deadline
}

// startPart sends a part that has no pending attempt.
func (r *Run) startPart(now time.Time, i int, sends []Send) []Send {
	p := &r.parts[i]
	first := !p.mayHaveArrived()
	if !first && !r.allowsExtra(p) {
		p.failed = true
		return sends
	}
	if r.deadline.Sub(now) < minTimeLeft {
		return sends
	}
	if !r.fitsShutdown(now) {
		p.failed = true
		return sends
	}
	if now.Before(p.retryAt) {
		return sends
	}
	leaf := r.env.Choose(now, p.service, p.tried)
	if leaf == nil && r.retryAllLeaves(now, p) {
		return sends
	}
	if leaf == nil {
		// A part whose leaves were all tried fails; one whose untried leaves have no available connection waits.
		p.waiting = r.env.HasUntried(now, p.service, p.tried) || len(p.attempts) == 0 && now.Before(r.refuseAt)
		p.failed, p.pauseEnd = !p.waiting, r.env.PauseEnd(now, p.service, p.tried)
		return sends
	}
	if first {
		if len(p.attempts) == 0 {
			r.env.CountFirst(now, p.service)
		}
	} else {
		switch r.env.TryExtra(now, p.service, false) {
		case ExtraPending:
			p.retryAt = now.Add(ExtraPollInterval)
			return sends
		case ExtraDenied:
			p.budgetExhausted, p.failed = true, true
			return sends
		}
	}
	p.waiting = false
	reason := causeRetry
	if len(p.attempts) == 0 {
		reason = causeFirst
	}
	return r.send(now, i, leaf, reason, sends)
}

// retryAllLeaves lets all leaves of a part be tried again after a delay, or at the end of the pause that they have asked for, if
// it was sent to all that take requests and none ran it. It reports whether the part needs no attempt now; a part whose leaves are
// paused for too long has failed then.
func (r *Run) retryAllLeaves(now time.Time, p *part) bool {
	until := r.lastStart()
	if r.env.HasUntried(now, p.service, p.tried) || !now.Before(until) {
		return false
	}
	next := now.Add(roundDelay)
	if end := r.env.NextReturn(now, p.service); !end.IsZero() {
		p.pausedUntil = end
		if !end.Before(until) {
			p.failed = true // The leaves want no request for longer than this one can wait.
			return true
		}
		next = end
	} else if len(p.attempts) == 0 {
		return false
	}
	for i := range p.attempts {
		if p.attempts[i].mayHaveRun {
			return false
		}
	}
	p.tried, p.retryAt = nil, next
	return true
}

// lastStart returns until when a part waits for leaves that do not take it now.
func (r *Run) lastStart() time.Time {
	if r.route.IsScatterGather() {
		return r.partialAt // The replies of the other parts are of use only with this one.
	}
	return r.refuseAt
}

func (r *Run) send(now time.Time, i int, leaf *leaves.Member, reason cause, sends []Send) []Send {
	p := &r.parts[i]
	p.attempts = append(p.attempts, attempt{leaf: leaf, cause: reason, started: now})
	p.tried = append(p.tried, leaf)
	r.sent = true
	return append(sends, Send{Part: i, Attempt: len(p.attempts) - 1, Leaf: leaf, Until: r.deadline})
}

// allowsExtra reports whether the rules of the route allow an extra attempt at a part.
func (r *Run) allowsExtra(p *part) bool {
	mayHaveRun := 0
	for i := range p.attempts {
		if a := &p.attempts[i]; !a.ended || a.mayHaveRun {
			mayHaveRun++
		}
	}
	if mayHaveRun > 0 && !r.route.Repeatable {
		return false
	}
	return mayHaveRun < r.route.MaxAttempts && len(p.attempts)-maxUnrunAttempts < r.route.MaxAttempts
}

// pending returns the most recently started attempt among those that have not ended, or nil.
func (p *part) pending() *attempt {
	for i := len(p.attempts) - 1; i >= 0; i-- {
		if !p.attempts[i].ended {
			return &p.attempts[i]
		}
	}
	return nil
}

// mayHaveArrived reports whether an attempt may have reached a leaf.
func (p *part) mayHaveArrived() bool {
	for i := range p.attempts {
		if !p.attempts[i].ended || p.attempts[i].sent {
			return true
		}
	}
	return false
}

// AttemptEnded records the result of an attempt at a part. Both are given by number, as in Send.
func (r *Run) AttemptEnded(partIndex, attemptIndex int, result AttemptResult) {
	p := &r.parts[partIndex]
	a := &p.attempts[attemptIndex]
	a.ended, a.sent, a.mayHaveRun, a.err = true, result.Sent, result.MayHaveRun(), result.Err
	if result.Reply != nil {
		a.status = result.Reply.Status
	}
	r.anyMayHaveRun = r.anyMayHaveRun || a.mayHaveRun
	if !a.sent {
		r.sent = slices.ContainsFunc(r.parts, func(p part) bool { return p.mayHaveArrived() })
	}
	if !a.mayHaveRun {
		// No leaf ran this attempt. If it was a hedge, the slow attempt may be hedged again.
		for j := range p.attempts {
			p.attempts[j].hedged = false
		}
	}
	if result.Reply != nil && result.Reply.Succeeded() {
		if p.reply == nil {
			if r.route.IsScatterGather() {
				result.Reply.Body = Merge([][]byte{result.Reply.Body}, r.route.TopRecords) // The other records are of no use.
			}
			p.reply = result.Reply
			r.answeredParts++
		}
		return
	}
	// A reply is kept in preference to a broken connection.
	if p.failure == nil || result.Reply != nil || p.failure.Reply == nil {
		p.failure = &result
	}
}

// hasEnough reports whether the parts with a reply meet the coverage that the route requires. At least one is needed in any
// case.
func (r *Run) hasEnough() bool {
	return r.answeredParts > 0 && meetsCoverage(r.route, r.answeredParts)
}

// cannotSucceed reports whether so many parts have failed that there can be no answer.
func (r *Run) cannotSucceed() bool {
	left := 0
	for i := range r.parts {
		if !r.parts[i].failed {
			left++
		}
	}
	return left == 0 || !meetsCoverage(r.route, left)
}

// Waiting lists the services for which a part of the request waits because no leaf has an available connection.
func (r *Run) Waiting() []model.ServiceName {
	var out []model.ServiceName
	for i := range r.parts {
		if p := &r.parts[i]; p.waiting && p.reply == nil && !p.failed {
			out = append(out, p.service)
		}
	}
	return out
}

// Sent reports whether an attempt may have reached a leaf, or is under way.
func (r *Run) Sent() bool { return r.sent }

// Attempts returns how many attempts were started, over all parts.
func (r *Run) Attempts() (n int) {
	for i := range r.parts {
		n += len(r.parts[i].attempts)
	}
	return n
}

// Answered returns how many parts have a reply, and the number of all parts.
func (r *Run) Answered() (answered, total int) { return r.answeredParts, len(r.parts) }
