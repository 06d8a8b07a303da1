package forward

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// finish returns the response, or nil while the request is not finished. open reports whether a part still waits for its
// reply. sends lists the attempts that are started only if there is no response.
func (r *Run) finish(now time.Time, open bool, sends []Send) *Response {
	switch {
	case r.answeredParts == len(r.parts):
		return r.answer("all parts have replied")
	case !open && r.hasEnough() && r.route.IsScatterGather():
		return r.answer("the other parts have failed")
	case !open || r.cannotSucceed():
		r.withdrawUnsent(sends)
		return r.failure(now)
	case r.route.IsScatterGather() && r.hasEnough() && !now.Before(r.partialAt):
		return r.answer("the objective is reached")
	case !r.sent && !now.Before(r.refuseAt):
		return r.refuse(now, "no connection to a leaf is available")
	case !now.Before(r.deadline):
		r.withdrawUnsent(sends)
		if !r.mayHaveRun() {
			return r.refuse(now, "no leaf could run the request in time")
		}
		reason := "the deadline has passed"
		if !r.endBy.IsZero() {
			reason = shutdownReason
		}
		return &Response{Kind: KindTimeout, Missing: len(r.parts) - r.answeredParts, Reason: reason}
	}
	return nil
}

func (r *Run) answer(reason string) *Response {
	if !r.route.IsScatterGather() {
		return &Response{Kind: KindLeaf, Reply: r.parts[0].reply, Reason: reason}
	}
	out := &Response{Kind: KindMerged, Missing: len(r.parts) - r.answeredParts, Reason: reason}
	bodies := make([][]byte, 0, r.answeredParts)
	for i := range r.parts {
		if p := &r.parts[i]; p.reply != nil {
			out.Signatures = append(out.Signatures, p.reply.Signature)
			bodies = append(bodies, p.reply.Body)
		}
	}
	out.Body = Merge(bodies, r.route.TopRecords)
	return out
}

var (
	errNotStarted = errs.New(errs.KindUnavailable, "no action is needed", "the request ended before the attempt was started")
	errWithdrawn  = errs.New(errs.KindUnavailable, "see why no connection to the leaf was opened in time", "the request ended before the attempt was sent")
)

// withdrawUnsent ends the attempts of which nothing was sent, because the request ends. sends lists those that were not started.
func (r *Run) withdrawUnsent(sends []Send) {
	for _, s := range sends {
		r.AttemptEnded(s.Part, s.Attempt, AttemptResult{Err: errNotStarted})
	}
	for i := range r.parts {
		for n := range r.parts[i].attempts {
			if !r.parts[i].attempts[n].ended && r.env.Withdraw(i, n) {
				r.AttemptEnded(i, n, AttemptResult{Err: errWithdrawn})
			}
		}
	}
}

// mayHaveRun reports whether a leaf has run the request or still may.
func (r *Run) mayHaveRun() bool {
	if r.anyMayHaveRun {
		return true
	}
	for i := range r.parts {
		if r.parts[i].pending() != nil {
			return true
		}
	}
	return false
}

// failure returns the response to a request that no leaf has answered with a success.
func (r *Run) failure(now time.Time) *Response {
	if !r.mayHaveRun() {
		return r.refuse(now, "no leaf ran it")
	}
	failed := &Response{Kind: KindFailed, Missing: len(r.parts) - r.answeredParts, Reason: "no leaf gave a usable reply"}
	p := &r.parts[0]
	if r.route.IsScatterGather() || p.failure == nil || p.failure.Reply == nil || p.failure.Reply.NotRun {
		return failed
	}
	reply := p.failure.Reply
	if reason := r.whyWithheld(reply); reason != "" {
		failed.Reason = reason
		return failed
	}
	return &Response{Kind: KindLeaf, Reply: reply, Reason: "the leaf replied with a failure"}
}

// whyWithheld returns why the caller does not get the reply of a leaf that did not answer the request, or "" if it does.
func (r *Run) whyWithheld(reply *LeafReply) string {
	switch {
	case reply.hasSuccessStatus():
		return fmt.Sprintf("the leaf replied with status %d and without a signature", reply.Status)
	case reply.StatusMeansNotRun && !r.route.Repeatable:
		// The caller would send a request again that may run only once. The status alone is no proof that it has not run.
		return fmt.Sprintf("the leaf replied with status %d without the statement that it has not run the request", reply.Status)
	}
	return ""
}

const (
	// refusalRetryAfter is the delay after which a refused caller may retry: long enough for a leaf's queue to shorten.
	refusalRetryAfter = 50 * time.Millisecond
	// maxRetryAfter limits the delay that a caller gets because leaves have asked for a pause, so that one leaf with a wrong
	// value does not keep callers away after the service has recovered.
	maxRetryAfter = 10 * time.Second
)

// refuse returns the refusal of the request. Where leaves have asked for a pause, the caller may retry once enough of them
// take requests again.
func (r *Run) refuse(now time.Time, reason string) *Response {
	var pauses []time.Time
	for i := range r.parts {
		if p := &r.parts[i]; p.reply == nil && !p.pausedUntil.IsZero() {
			pauses = append(pauses, p.pausedUntil)
		}
	}
	return &Response{
		Kind: KindRefused, RetryAfter: retryAfter(now, r.route, pauses), TryAnotherVM: !r.endBy.IsZero(), Missing: len(r.parts), Reason: reason,
	}
}

// retryAfter returns when a refused caller may retry, given the ends of the pauses of shards: when so many of the pauses have
// ended that the other shards may be missing.
func retryAfter(now time.Time, route *routes.Route, pauses []time.Time) time.Duration {
	slices.SortFunc(pauses, time.Time.Compare)
	needed := len(pauses)
	if route.IsScatterGather() {
		for needed > 0 && meetsCoverage(route, len(route.Shards)-len(pauses)+needed-1) {
			needed--
		}
	}
	if needed == 0 {
		return refusalRetryAfter
	}
	return min(max(pauses[needed-1].Sub(now), refusalRetryAfter), maxRetryAfter)
}

// shutdownReason is the reason of responses that are given because the VM is shutting down.
const shutdownReason = "the VM is shutting down"

// refuseUnfinishable returns the refusal of a request of which nothing was sent, if it is not expected to end before the VM does. It
// returns nil if the request can be sent.
func (r *Run) refuseUnfinishable(now time.Time) *Response {
	if r.fitsShutdown(now) {
		return nil
	}
	return r.refuse(now, shutdownReason)
}

// refusePaused returns the refusal of a request of which nothing was sent, if too many of its shards, or the leaves of its service,
// have asked for a pause that ends after an attempt would have to be sent. It returns nil if the request can be sent.
func (r *Run) refusePaused(now time.Time) *Response {
	var pauses []time.Time
	for i := range r.parts {
		p := &r.parts[i]
		if end := r.env.NextReturn(now, p.service); end.After(r.lastStart()) {
			p.pausedUntil = end
			pauses = append(pauses, end)
		}
	}
	left := len(r.parts) - len(pauses)
	if len(pauses) == 0 || left > 0 && meetsCoverage(r.route, left) {
		return nil
	}
	return &Response{
		Kind: KindRefused, RetryAfter: retryAfter(now, r.route, pauses), Missing: len(r.parts),
		Reason: fmt.Sprintf("the leaves of %d services have asked for a pause", len(pauses)),
	}
}

// Describe lists the attempts at the parts without a reply: the service, and for each attempt its cause, the leaf with
// its address and the sequence number of its heartbeat in the index, the age of the attempt and how it ended.
func (r *Run) Describe(now time.Time) string {
	var b strings.Builder
	for i := range r.parts {
		p := &r.parts[i]
		if p.reply != nil {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s[", p.service)
		for n := range p.attempts {
			a := &p.attempts[n]
			fmt.Fprintf(&b, "%s %s@%s/%d %dms ago: %s; ", a.cause, a.leaf.ID, a.leaf.Address, a.leaf.Sequence, now.Sub(a.started).Milliseconds(), a.outcome())
		}
		switch {
		case p.budgetExhausted:
			b.WriteString("budget of extra attempts used up")
		case !p.pausedUntil.IsZero():
			fmt.Fprintf(&b, "leaves have asked for a pause until %s", p.pausedUntil.UTC().Format(time.RFC3339Nano))
		case len(p.attempts) == 0 && !r.env.HasUntried(now, p.service, nil):
			b.WriteString("the service has no leaf")
		case p.waiting:
			b.WriteString("no connection to a leaf is available")
		}
		b.WriteByte(']')
	}
	return b.String()
}

func (a *attempt) outcome() string {
	switch {
	case !a.ended:
		return "unanswered"
	case a.err != nil:
		return a.err.Error()
	case !a.mayHaveRun:
		return fmt.Sprintf("status %d, not run", a.status)
	}
	return fmt.Sprintf("status %d", a.status)
}
