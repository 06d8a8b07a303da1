// Package forward decides how one request that is routed by host and path is answered: which attempts are sent to
// leaves, when they are hedged or sent again, when an answer is good enough, and what the caller is told. It is pure:
// the clock is an argument, attempts are values, and nothing is encoded here.
package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// Field is one header of a request or reply.
type Field struct{ Name, Value string }

// Request is one attempt of a caller.
type Request struct {
	// ID names the attempt. All leaves that it is sent to get the same ID.
	ID     string
	Method string
	Host   string
	// Path selects the route. Target is the path with its query as the caller sent it.
	Path   string
	Target string
	// Header holds the headers that leaves get unchanged.
	Header   []Field
	Body     []byte
	Received time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// LeafRequest is a request on its way to one leaf.
type LeafRequest struct {
	*Request
	// Leaf is the ID of the leaf. A leaf with another ID refuses the request.
	Leaf string
	// Until is when the answer is of no use any more. TimeLeft is the time until then when the bytes are written.
	Until    time.Time
	TimeLeft time.Duration
}

// Load is what a leaf says of its load.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes there at the moment, where 1 is as usual. It is 0 when the leaf does not say.
	Pace float64
}

// LeafReply is a whole reply of a leaf.
type LeafReply struct {
	Status int
	Header []Field
	Body   []byte
	// Signature proves to the caller that the leaf gave this reply.
	Signature string
	// NotRun says that the leaf states that it did not run the request.
	NotRun bool
	// WrongLeaf says that another leaf than the named one answered.
	WrongLeaf bool
	Load      *Load
	// IdleLimit is how long the leaf keeps an idle connection. It is 0 when the leaf does not say.
	IdleLimit time.Duration
}

// Succeeded reports whether the reply is an answer of the leaf's service.
func (r *LeafReply) Succeeded() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.NotRun
}

// AttemptEnd is the end of an attempt.
type AttemptEnd struct {
	// Reply is nil when there is no whole reply.
	Reply *LeafReply
	Err   error
	// Sent says that bytes of the request may have reached the leaf.
	Sent bool
	// Refused says that no connection to the leaf could be opened, or that the leaf closed a new one.
	Refused bool
	// Latency is the time from the start of the attempt to its end.
	Latency time.Duration
}

// Ran reports whether the leaf may have run the request.
func (e *AttemptEnd) Ran() bool { return e.Sent && (e.Reply == nil || !e.Reply.NotRun) }

// Kind is the kind of a response.
type Kind string

// The kinds of responses.
const (
	// KindLeaf passes the reply of one leaf on.
	KindLeaf Kind = "leaf"
	// KindMerged holds the merged records of the shards.
	KindMerged Kind = "merged"
	// KindNoRoute says that no route of the table matches.
	KindNoRoute Kind = "no_route"
	// KindNotReady says that this VM knows no route table yet. The request has not run.
	KindNotReady Kind = "not_ready"
	// KindRefused says that the request has not run and never will.
	KindRefused Kind = "refused"
	// KindFailed says that no leaf gave a usable reply. The request may have run.
	KindFailed Kind = "failed"
	// KindTimeout is KindFailed because the time was over.
	KindTimeout Kind = "timeout"
	// KindGone says that the caller has left, so that there is nobody to answer.
	KindGone Kind = "caller_gone"
)

// Response is what the caller is told.
type Response struct {
	Kind Kind
	// Reply is the reply that KindLeaf passes on.
	Reply *LeafReply
	// Signatures, Missing and Body make up a merged answer: the signatures of the shards that are in, the number
	// of shards that are not, and the records.
	Signatures []string
	Missing    int
	Body       []byte
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Elsewhere asks the caller to connect to another VM.
	Elsewhere bool
	// Reason says in a few words what led to the response.
	Reason string
}

// Send is an attempt that the caller of Step has to start.
type Send struct {
	Part, Attempt int
	Leaf          *leaves.Member
	Until         time.Time
}
