package forward

import (
	"fmt"
	"strings"
	"time"
)

// finish returns the response, or nil while the request is not finished. open reports whether a part still waits for its
// reply.
func (r *Run) finish(now time.Time, open bool) *Response {
	switch {
	case r.answeredParts == len(r.parts):
		return r.answer("all parts have replied")
	case !open && r.hasEnough() && r.route.IsScatterGather():
		return r.answer("the other parts have failed")
	case !open || r.cannotSucceed():
		return r.failure()
	case r.route.IsScatterGather() && r.hasEnough() && !now.Before(r.partialAt):
		return r.answer("the objective is reached")
	case !r.sent && !now.Before(r.refuseAt):
		return r.refuse("no connection to a leaf is available")
	case !now.Before(r.deadline):
		if !r.mayHaveRun() {
			return r.refuse("no leaf could run the request in time")
		}
		return &Response{Kind: KindTimeout, Missing: len(r.parts) - r.answeredParts, Reason: "the deadline has passed"}
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

func (r *Run) failure() *Response {
	if !r.mayHaveRun() {
		return r.refuse("no leaf ran it")
	}
	if p := &r.parts[0]; !r.route.IsScatterGather() && p.failure != nil && p.failure.Reply != nil && !p.failure.Reply.NotRun {
		return &Response{Kind: KindLeaf, Reply: p.failure.Reply, Reason: "the leaf replied with a failure"}
	}
	return &Response{Kind: KindFailed, Missing: len(r.parts) - r.answeredParts, Reason: "no leaf gave a usable reply"}
}

// refusalRetryAfter is the delay after which a refused caller may retry: long enough for a leaf's queue to shorten.
const refusalRetryAfter = 50 * time.Millisecond

func (r *Run) refuse(reason string) *Response {
	return &Response{Kind: KindRefused, RetryAfter: refusalRetryAfter, Missing: len(r.parts), Reason: reason}
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
		case len(p.attempts) == 0 && !r.env.HasUntried(p.service, nil):
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
		return "not run"
	}
	return fmt.Sprintf("status %d", a.status)
}
