package model

import "time"

// Holder identifies one run of a process on an entry VM. Incarnation grows with each start.
type Holder struct {
	VM          VMName
	Incarnation uint64
}

// OrderID identifies an order. Callers choose the key, which is unique within the service.
type OrderID struct {
	Service ServiceName
	Key     string
}

// ClaimState is the state of the claim on an order.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld means that the holder may dispatch the order, and may have done so.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the outcome is recorded.
	ClaimDone ClaimState = "done"
	// ClaimReleased means that the order certainly did not run; a resend may claim it again.
	ClaimReleased ClaimState = "released"
)

// Claim is the durable record that lets one holder dispatch one order once.
type Claim struct {
	Order   OrderID
	State   ClaimState
	Holder  Holder
	Attempt AttemptID
	// Digest is the digest of the request body. A resend with another body is refused.
	Digest uint64
	// Result is the recorded answer once the claim is done.
	Result []byte
	// ClaimedAt is the time of the log entry of the claim.
	ClaimedAt time.Time
}

// ClaimDecision is the answer to a request for a claim.
type ClaimDecision string

// The decisions on a request for a claim.
const (
	// ClaimGranted allows the requester to dispatch the order once.
	ClaimGranted ClaimDecision = "granted"
	// ClaimExists means that the order is held or done already; the state of the claim distinguishes the two.
	ClaimExists ClaimDecision = "exists"
	// ClaimMismatch means that the key was used with another request.
	ClaimMismatch ClaimDecision = "mismatch"
	// ClaimExpired means that the key is older than the retention, so an earlier run cannot be ruled out.
	ClaimExpired ClaimDecision = "expired"
)

// ClaimResult is a decision with the claim on which it is based.
type ClaimResult struct {
	Decision ClaimDecision
	Claim    Claim
}
