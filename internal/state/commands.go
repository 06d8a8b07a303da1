package state

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// ApplyConfig replaces the configuration if BasedOn is still the revision in force. The proposer has checked the
// files with package config. Apply does not parse them: releases that check files more or less strictly would
// otherwise disagree about the same entry. The values that the state itself needs are separate fields.
type ApplyConfig struct {
	ChangeID string
	BasedOn  model.Revision
	Author   string
	Comment  string
	Files    model.ConfigFiles
	// Summary describes the difference from the revision in force, for the history.
	Summary        []string
	Seats          int
	SeatLease      time.Duration
	ClaimRetention time.Duration
}

// ChangeOutcome is the outcome of a change of the configuration.
type ChangeOutcome string

// The outcomes of a change.
const (
	// ChangeAccepted means that the change was accepted as the revision in Revision.
	ChangeAccepted ChangeOutcome = "accepted"
	// ChangeConflict means that another change was accepted first; Revision was in force at that time.
	ChangeConflict ChangeOutcome = "conflict"
	// ChangeIDReused means that the change ID belongs to another change; Revision is the revision of its result.
	ChangeIDReused ChangeOutcome = "id_reused"
	// ChangeInvalid means that the command itself is malformed.
	ChangeInvalid ChangeOutcome = "invalid"
	// ChangeUnknown means that no change with the ID is recorded.
	ChangeUnknown ChangeOutcome = "unknown"
)

// ChangeResult is the result of ApplyConfig and the answer to GetChange.
type ChangeResult struct {
	Outcome  ChangeOutcome
	Revision model.Revision
	// Repeated reports whether the result was recorded by an earlier send of the same change.
	Repeated bool
}

// Err returns nil for an accepted change and a typed error otherwise.
func (r ChangeResult) Err() error {
	switch r.Outcome {
	case ChangeAccepted:
		return nil
	case ChangeConflict:
		return errs.New(errs.KindConflict, "read the configuration in force, repeat the edit there and send it with a new change ID",
			"another change was accepted first: revision %d is in force", r.Revision)
	case ChangeIDReused:
		return errs.New(errs.KindInvalid, "send the change with a new change ID", "the change ID belongs to a different change")
	case ChangeUnknown:
		return errs.New(errs.KindNotFound, "resend the change with the same ID", "no change with this ID is recorded")
	}
	return errs.New(errs.KindInvalid, "give a change ID of 1 to 64 characters and at least one seat", "the change is malformed")
}

// CommitLayout proposes a partition layout. The first valid one for a service and number is committed.
type CommitLayout struct{ Layout model.Layout }

// LayoutOutcome is the outcome of a proposed layout.
type LayoutOutcome string

// The outcomes of a proposed layout.
const (
	// LayoutCommitted means that this command committed the layout.
	LayoutCommitted LayoutOutcome = "settled"
	// LayoutExists means that the same layout was committed before.
	LayoutExists LayoutOutcome = "exists"
	// LayoutConflict means that another layout is committed under the number.
	LayoutConflict LayoutOutcome = "contradicts"
	// LayoutTooOld means that the number is at or below one that was dropped.
	LayoutTooOld LayoutOutcome = "too_old"
	// LayoutInvalid means that the layout cannot be the denominator of a coverage.
	LayoutInvalid LayoutOutcome = "invalid"
	// LayoutsFull means that too many layouts are in use.
	LayoutsFull LayoutOutcome = "full"
)

// CommitLayoutResult is the result of CommitLayout.
type CommitLayoutResult struct {
	Outcome LayoutOutcome
	// Committed is the layout that is committed under the number, if any.
	Committed model.LayoutRef
	Reason    string
}

// ReportLayoutUse reports that targets still use layouts, so that these are not dropped. Directory VMs send it at most
// once in LayoutUseInterval.
type ReportLayoutUse struct{ Layouts []LayoutKey }

// LayoutUseResult is the result of ReportLayoutUse.
type LayoutUseResult struct {
	// Unknown lists the layouts that are not committed.
	Unknown []LayoutKey
}

// AcquireSeat requests a seat for one run of an entry VM. It may be sent again.
type AcquireSeat struct{ Holder model.Holder }

// RenewSeat renews the lease of a seat. Acknowledged is the number of the latest change of the seat count that the
// VM has applied: from then on it uses no more than the smaller share and has closed the connections beyond it.
type RenewSeat struct {
	Holder       model.Holder
	Acknowledged uint64
}

// ReleaseSeat releases a seat. The VM has closed all connections to targets before it sends this.
type ReleaseSeat struct{ Holder model.Holder }

// SeatOutcome is the outcome of a seat command.
type SeatOutcome string

// The outcomes of seat commands.
const (
	// SeatHeld means that the VM holds the seat.
	SeatHeld SeatOutcome = "held"
	// SeatNone means that no seat is free; the VM sends the request again later.
	SeatNone SeatOutcome = "none"
	// SeatLost means that the VM holds no seat: it expired, passed to a later run of the VM or was released.
	SeatLost SeatOutcome = "lost"
)

// SeatResult is the result of the seat commands.
type SeatResult struct {
	Outcome SeatOutcome
	Seat    model.Seat
	// Change is the number of the latest change of the seat count. A VM acknowledges the change that it has applied.
	Change uint64
	// Lease counts from the time at which the VM sent the command. The VM stops sending to targets
	// SeatUseDuration(Lease) after it sent its last successful renewal.
	Lease time.Duration
	// StateRevision is the state revision of this result. A VM reads its seat from the disseminated state only at
	// this revision or a higher one.
	StateRevision uint64
}

// ClaimOrder requests the claim on an order.
type ClaimOrder struct {
	Order    model.OrderID
	Holder   model.Holder
	Attempt  model.AttemptID
	Digest   uint64
	Deadline time.Time
}

// Decisions on claims in addition to those of package model. The claim store turns them into errors, since nothing
// was granted and the order may be sent again.
const (
	// ClaimInvalid means that the key is not a UUIDv7, that its time is in the future, or that another field is
	// invalid.
	ClaimInvalid model.ClaimDecision = "invalid"
	// ClaimLate means that the deadline had passed when the claim was committed.
	ClaimLate model.ClaimDecision = "late"
	// ClaimFull means that no more claims can be kept.
	ClaimFull model.ClaimDecision = "full"
)

// FinishClaim records the result of an order.
type FinishClaim struct {
	Order   model.OrderID
	Attempt model.AttemptID
	Result  []byte
}

// ReleaseClaim releases a claim because the order certainly did not run and will not. When the claim has not arrived
// yet, a later claim by the attempt is refused. Digest is 0 when the sender does not have it.
type ReleaseClaim struct {
	Order   model.OrderID
	Attempt model.AttemptID
	Digest  uint64
}

// ClaimUpdate is the result of FinishClaim and ReleaseClaim.
type ClaimUpdate struct {
	// Applied reports whether the claim is in the requested state.
	Applied bool
	// Found reports whether a claim exists; Claim is that claim.
	Found bool
	Claim model.Claim
}

// Rejected is the result of a command or query that the state machine does not support.
type Rejected struct{ Reason string }

// GetConfig reads the files of a revision. Revision 0 means the one in force.
type GetConfig struct{ Revision model.Revision }

// ConfigAnswer is the answer to GetConfig.
type ConfigAnswer struct {
	Found bool
	// InForce is the revision in force. It is 0 before the first configuration.
	InForce model.Revision
	Entry   HistoryEntry
	Files   model.ConfigFiles
}

// GetHistory reads accepted changes, newest first, at most 500 of them. Before 0 starts at the newest.
type GetHistory struct {
	Before model.Revision
	Limit  int
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision model.Revision
	BasedOn  model.Revision
	ChangeID string
	Author   string
	Comment  string
	At       time.Time
	Summary  []string
}

// HistoryAnswer is the answer to GetHistory.
type HistoryAnswer struct {
	InForce model.Revision
	Entries []HistoryEntry
}

// GetChange reads the recorded result of a change, for a sender whose answer was lost.
type GetChange struct{ ChangeID string }

// GetClaim reads the claim on an order.
type GetClaim struct{ Order model.OrderID }

// ClaimAnswer is the answer to GetClaim.
type ClaimAnswer struct {
	Found bool
	Claim model.Claim
	// Expired reports whether the key is older than the claims that are kept, so that an earlier run cannot be ruled
	// out.
	Expired bool
}

// GetUpdate reads the changes of the disseminated state since a state revision.
type GetUpdate struct{ From uint64 }

// GetStatus reads the revisions, the seat table and the sizes of the state.
type GetStatus struct{}

// StatusAnswer is the answer to GetStatus.
type StatusAnswer struct {
	StateRevision  uint64
	ConfigRevision model.Revision
	Seats          SeatTable
	// Acknowledged holds, for each seat, the number of the latest change of the seat count that its holder has applied.
	Acknowledged []uint64
	Layouts      int
	Claims       int
	ClaimBytes   int
	ChangeIDs    int
	At           time.Time
}
