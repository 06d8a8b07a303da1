// Package forward decides how one request that is routed by host and path is answered: which attempts are sent to
// leaves, when they are hedged or retried, when an answer is good enough, and which response the caller gets. It does no
// I/O: the clock is an argument, attempts are values, and nothing is encoded here.
package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Field is one header of a request or reply.
type Field struct{ Name, Value string }

// Request is one attempt of a caller.
type Request struct {
	// ID identifies the caller's attempt. All leaves to which it is sent get the same ID.
	ID     string
	Method string
	Host   string
	// Path selects the route. Target is the path with its query as the caller sent it.
	Path   string
	Target string
	// Header holds the headers that are passed to leaves unchanged.
	Header   []Field
	Body     []byte
	Received time.Time
	// Deadline is when the caller stops waiting. If it is zero, only the route's timeout applies.
	Deadline time.Time
	// Keys holds the keys by which the caller identifies its customer, one for each header that names one. Customer is the customer
	// that holds the key. It is nil on routes that need no key.
	Keys     []string
	Customer *routes.Customer
	// HasCustomers reports whether the route table in force has customers. A leaf then gets neither the key nor a customer's name
	// that the caller sent.
	HasCustomers bool
	// EndBy is when this VM answers at the latest because it is shutting down. It is zero if the VM is not.
	EndBy time.Time
}

// Rank returns the rank of the request on a route: that of its customer if the customer has one, and of the route otherwise. Requests
// of rank 0 are served first.
func (r *Request) Rank(route *routes.Route) int {
	if r.Customer != nil && r.Customer.Rank != nil {
		return *r.Customer.Rank
	}
	return route.Rank
}

// LeafRequest is a request to one leaf.
type LeafRequest struct {
	*Request
	// Leaf is the ID of the leaf. A leaf with another ID refuses the request.
	Leaf string
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Until is when the attempt times out. TimeLeft is the time until then, taken when the request is encoded.
	Until    time.Time
	TimeLeft time.Duration
}

// Load is the load that a leaf reports in a reply.
type Load struct {
	Running, Waiting, Slots int
	// LatencyRatio is the current latency of the leaf relative to its typical one. It is 0 when the leaf does not report it.
	LatencyRatio float64
}

// LeafReply is a complete reply of a leaf.
type LeafReply struct {
	Status int
	Header []Field
	Body   []byte
	// Signature proves to the caller that the leaf gave this reply.
	Signature string
	// NotRun reports whether the leaf states that it did not run the request.
	NotRun bool
	// StatusMeansNotRun reports whether callers take the status for a promise that the request has not run and never will. A leaf may
	// give such a status to a request that it has run; only NotRun is a statement of the leaf.
	StatusMeansNotRun bool
	// WrongLeaf reports whether a leaf other than the addressed one replied.
	WrongLeaf bool
	// Identified reports whether the reply names the caller's attempt that it answers.
	Identified bool
	// Leaving reports whether the leaf states that it is about to end and gets no further requests.
	Leaving bool
	// RetryAfter is how long the leaf, which has turned the request away, asks this VM not to send it anything. It is 0 when
	// the leaf does not ask for it.
	RetryAfter time.Duration
	// Load is nil when the leaf does not report it.
	Load *Load
	// IdleTimeout is how long the leaf keeps an idle connection. It is 0 when the leaf does not report it.
	IdleTimeout time.Duration
}

// Succeeded reports whether the leaf ran the request and gave a signed reply with a status of 2xx.
func (r *LeafReply) Succeeded() bool {
	return r.hasSuccessStatus() && r.Signature != "" && !r.NotRun
}

func (r *LeafReply) hasSuccessStatus() bool { return r.Status >= 200 && r.Status < 300 }

// maxPause limits the pause that a leaf may ask for. A longer one is taken for an error of the leaf.
const maxPause = time.Hour

// Pause returns for how long this VM sends nothing to the leaf because of the reply.
func (r *LeafReply) Pause() time.Duration { return min(r.RetryAfter, maxPause) }

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	// Reply is nil when there is no complete reply.
	Reply *LeafReply
	Err   error
	// Sent reports whether bytes of the request may have reached the leaf.
	Sent bool
	// Refused reports whether no connection to the leaf could be opened, or the leaf closed a new one.
	Refused bool
	// Latency is the time from the start of the attempt to its end.
	Latency time.Duration
}

// MayHaveRun reports whether the leaf may have run the request.
func (r *AttemptResult) MayHaveRun() bool { return r.Sent && (r.Reply == nil || !r.Reply.NotRun) }

// Kind is the kind of a response.
type Kind string

// The kinds of responses.
const (
	// KindLeaf passes on the reply of one leaf.
	KindLeaf Kind = "leaf"
	// KindMerged holds the merged records of the shards.
	KindMerged Kind = "merged"
	// KindNoRoute means that no route of the table matches.
	KindNoRoute Kind = "no_route"
	// KindNotReady means that this VM has no route table yet. The request has not run.
	KindNotReady Kind = "not_ready"
	// KindRefused means that the request has not run and never will.
	KindRefused Kind = "refused"
	// KindUnauthorized means that the request names no customer of the route table in force. It has not run.
	KindUnauthorized Kind = "unauthorized"
	// KindOverQuota means that the quota of the customer is used up. The request has not run.
	KindOverQuota Kind = "over_quota"
	// KindFailed means that no leaf gave a usable reply. The request may have run.
	KindFailed Kind = "failed"
	// KindTimeout means that no usable reply came before the deadline. The request may have run.
	KindTimeout Kind = "timeout"
	// KindCallerGone means that the caller has disconnected, so that no response is sent.
	KindCallerGone Kind = "caller_gone"
)

// Response is the answer to the caller.
type Response struct {
	Kind Kind
	// Reply is the reply that KindLeaf passes on.
	Reply *LeafReply
	// Signatures, Missing and Body make up a merged answer: the signatures of the shards that replied, the number of shards
	// that did not, and the merged records.
	Signatures []string
	Missing    int
	Body       []byte
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
	// TryAnotherVM reports whether the caller should connect to another VM.
	TryAnotherVM bool
	// Reason describes briefly why this response was given.
	Reason string
	// Details are further fields of the log line about the response, which callers do not get.
	Details []any
	// Undelivered records that the response could not be written to the caller in full. It is nil where nothing records this.
	Undelivered func(error)
}

// Send is an attempt that the caller of Step has to start: the one with the number Attempt at the part with the number Part.
type Send struct {
	Part, Attempt int
	Leaf          *leaves.Member
	Until         time.Time
}
