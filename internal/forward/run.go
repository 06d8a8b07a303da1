package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

const (
	// patienceShare is the part of the objective for which a request waits for a leaf before it is refused. A
	// caller that is refused this early can still be served in time by another VM.
	patienceShare = 4
	// unsentAttempts is how many attempts beyond the allowed number a shard gets when leaves did not run the others.
	unsentAttempts = 4
	// roundPause is the pause before leaves are tried again of which none ran the request: a queue gets shorter, and a
	// connection is free, within about the time of one request.
	roundPause = 15 * time.Millisecond
	// coverageSlack absorbs the rounding of a share that is meant to be a whole number of parts.
	coverageSlack = 1e-9
	// minTimeLeft is the least time for which an attempt is started.
	minTimeLeft = 5 * time.Millisecond
)

// Env is what a run asks while it decides. The answers may differ from call to call.
type Env interface {
	// Choose returns the leaf of a service that is expected to answer first, or nil when none has room. Tried lists the
	// leaves that the part was sent to.
	Choose(now time.Time, service model.ServiceName, tried []*leaves.Member) *leaves.Member
	// Known reports whether the service has a leaf that was not tried, with room or without.
	Known(service model.ServiceName, tried []*leaves.Member) bool
	// First counts a first attempt at a service, and Repeat asks for one more attempt.
	First(now time.Time, service model.ServiceName)
	Repeat(now time.Time, service model.ServiceName, hedge bool) bool
	// HedgeAfter returns how long an attempt may be unanswered before another leaf is asked as well.
	HedgeAfter() time.Duration
}

// Options are the settings of a run.
type Options struct {
	// CallerDelay is how long a request and its answer travel between the caller and this VM together, with the time in
	// which this VM reads the one and writes the other.
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
	// sent and ran are known once the attempt has ended.
	sent, ran bool
	status    int
	err       error
	// hedged says that no further attempt is to be sent because this one is slow.
	hedged bool
}

// part is one shard of a gathered request, or the whole of any other.
type part struct {
	service  model.ServiceName
	attempts []attempt
	tried    []*leaves.Member
	reply    *LeafReply
	// failure is the last reply or error that did not answer the part.
	failure *AttemptEnd
	failed  bool
	// waiting says that no leaf has room.
	waiting bool
	// retryAt is when leaves are tried again that did not run the request. It is zero before all were tried.
	retryAt time.Time
	// exhausted says that the budget allowed no further attempt.
	exhausted bool
}

// Run is the state of one request. It is used by one goroutine.
type Run struct {
	route *routes.Route
	env   Env
	parts []part
	// answerBy is when a partial answer is given rather than waited for the rest. end is when the caller is answered
	// whatever there is, and refuseAt is when a request that was sent to no leaf is refused.
	answerBy, end, refuseAt time.Time
	answered                int
	sent                    bool
	ran                     bool
}

// NewRun starts a request on a route. Service is the one that the route's split gave to it, for a route that does not
// gather.
func NewRun(req *Request, route *routes.Route, service model.ServiceName, o Options, env Env) *Run {
	r := &Run{route: route, env: env}
	r.end = req.Received.Add(route.Timeout)
	if !req.Deadline.IsZero() {
		if d := req.Deadline.Add(-o.CallerDelay); d.Before(r.end) {
			r.end = d
		}
	}
	objective := route.Objective
	if objective <= 0 {
		objective = route.Timeout
	}
	r.answerBy = earlier(req.Received.Add(max(objective-o.CallerDelay, objective/2)), r.end)
	r.refuseAt = earlier(req.Received.Add(objective/patienceShare), r.end)
	if !route.Gathers() {
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
// Step has to be called again. It is called at the start, after each Ended, and when a leaf has room again.
func (r *Run) Step(now time.Time) (sends []Send, response *Response, wake time.Time) {
	wake = r.end
	open := false
	for i := range r.parts {
		p := &r.parts[i]
		if p.reply != nil || p.failed {
			continue
		}
		var at time.Time
		sends, at = r.stepPart(now, i, sends)
		if !p.failed {
			open = true
			wake = earlier(wake, at)
		}
	}
	if response = r.finish(now, open); response != nil {
		return nil, response, now
	}
	if r.enough() {
		wake = earlier(wake, r.answerBy)
	}
	if now.Before(r.refuseAt) && (!r.sent || len(r.Waiting()) > 0) {
		wake = earlier(wake, r.refuseAt)
	}
	return sends, nil, wake
}

// stepPart starts what one part needs, and returns when it has to be looked at again.
func (r *Run) stepPart(now time.Time, i int, sends []Send) ([]Send, time.Time) {
	p := &r.parts[i]
	pending := p.pending()
	if pending == nil {
		sends = r.startPart(now, i, sends)
		if pending = p.pending(); pending == nil {
			if p.retryAt.After(now) {
				return sends, p.retryAt
			}
			return sends, r.end
		}
	}
	if !r.route.Repeatable || p.exhausted || pending.hedged || !r.mayRepeat(p) {
		return sends, r.end
	}
	due := pending.started.Add(r.env.HedgeAfter())
	if now.Before(due) {
		return sends, due
	}
	leaf := r.env.Choose(now, p.service, p.tried)
	if leaf == nil {
		pending.hedged = true // No other leaf has room, and asking again would only add load.
		return sends, r.end
	}
	if !r.env.Repeat(now, p.service, true) {
		p.exhausted = true
		return sends, r.end
	}
	pending.hedged = true
	return r.send(now, i, leaf, causeHedge, sends), r.end
}

// startPart sends a part that no leaf is working on.
func (r *Run) startPart(now time.Time, i int, sends []Send) []Send {
	p := &r.parts[i]
	first := !p.arrived()
	if !first && !r.mayRepeat(p) {
		p.failed = true
		return sends
	}
	if r.end.Sub(now) < minTimeLeft {
		return sends
	}
	if now.Before(p.retryAt) {
		return sends
	}
	leaf := r.env.Choose(now, p.service, p.tried)
	if leaf == nil && r.anotherRound(now, p) {
		return sends
	}
	if leaf == nil {
		// A part whose leaves were all tried fails; one whose leaves have no room waits for it.
		p.waiting = r.env.Known(p.service, p.tried) || len(p.attempts) == 0 && now.Before(r.refuseAt)
		p.failed = !p.waiting
		return sends
	}
	if first {
		if len(p.attempts) == 0 {
			r.env.First(now, p.service)
		}
	} else if !r.env.Repeat(now, p.service, false) {
		p.exhausted, p.failed = true, true
		return sends
	}
	p.waiting = false
	why := causeRetry
	if len(p.attempts) == 0 {
		why = causeFirst
	}
	return r.send(now, i, leaf, why, sends)
}

// anotherRound lets a part go through its leaves again after a pause, if it was sent to all of them and none ran it.
func (r *Run) anotherRound(now time.Time, p *part) bool {
	until := r.refuseAt
	if r.route.Gathers() {
		until = r.answerBy // The other parts are worth waiting for.
	}
	if len(p.attempts) == 0 || r.env.Known(p.service, p.tried) || !now.Before(until) {
		return false
	}
	for i := range p.attempts {
		if p.attempts[i].ran {
			return false
		}
	}
	p.tried, p.retryAt = nil, now.Add(roundPause)
	return true
}

func (r *Run) send(now time.Time, i int, leaf *leaves.Member, why cause, sends []Send) []Send {
	p := &r.parts[i]
	p.attempts = append(p.attempts, attempt{leaf: leaf, cause: why, started: now})
	p.tried = append(p.tried, leaf)
	r.sent = true
	return append(sends, Send{Part: i, Attempt: len(p.attempts) - 1, Leaf: leaf, Until: r.end})
}

// mayRepeat reports whether the rules of the route allow another attempt at a part.
func (r *Run) mayRepeat(p *part) bool {
	ran := 0
	for i := range p.attempts {
		if a := &p.attempts[i]; !a.ended || a.ran {
			ran++
		}
	}
	if ran > 0 && !r.route.Repeatable {
		return false
	}
	return ran < r.route.MaxAttempts && len(p.attempts) < r.route.MaxAttempts+unsentAttempts
}

// pending returns the attempt that was started last and has not ended, or nil.
func (p *part) pending() *attempt {
	for i := len(p.attempts) - 1; i >= 0; i-- {
		if !p.attempts[i].ended {
			return &p.attempts[i]
		}
	}
	return nil
}

// arrived reports whether an attempt may have reached a leaf.
func (p *part) arrived() bool {
	for i := range p.attempts {
		if !p.attempts[i].ended || p.attempts[i].sent {
			return true
		}
	}
	return false
}

// Ended takes the end of an attempt.
func (r *Run) Ended(i, n int, end AttemptEnd) {
	p := &r.parts[i]
	a := &p.attempts[n]
	a.ended, a.sent, a.ran, a.err = true, end.Sent, end.Ran(), end.Err
	if end.Reply != nil {
		a.status = end.Reply.Status
	}
	r.ran = r.ran || a.ran
	if !a.ran {
		// The hedge was not run, so a slow attempt may be hedged again.
		for j := range p.attempts {
			p.attempts[j].hedged = false
		}
	}
	if end.Reply != nil && end.Reply.Succeeded() {
		if p.reply == nil {
			p.reply = end.Reply
			r.answered++
		}
		return
	}
	// A reply says more than a broken connection.
	if p.failure == nil || end.Reply != nil || p.failure.Reply == nil {
		p.failure = &end
	}
}

// enough reports whether the parts that are in make an answer.
func (r *Run) enough() bool {
	return r.answered > 0 && covers(r.route, r.answered)
}

// hopeless reports whether so many parts have failed that no answer can come of the request.
func (r *Run) hopeless() bool {
	left := 0
	for i := range r.parts {
		if !r.parts[i].failed {
			left++
		}
	}
	return left == 0 || !covers(r.route, left)
}

// Waiting lists the services that the request waits for because no leaf has room.
func (r *Run) Waiting() []model.ServiceName {
	var out []model.ServiceName
	for i := range r.parts {
		if p := &r.parts[i]; p.waiting && p.reply == nil && !p.failed {
			out = append(out, p.service)
		}
	}
	return out
}

// Attempts returns how many attempts were started, and Answered how many parts have their reply.
func (r *Run) Attempts() (n int) {
	for i := range r.parts {
		n += len(r.parts[i].attempts)
	}
	return n
}

// Answered returns how many parts are in, and of how many.
func (r *Run) Answered() (in, of int) { return r.answered, len(r.parts) }
