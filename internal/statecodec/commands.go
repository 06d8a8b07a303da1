package statecodec

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

func commandToProto(command any) (*statepb.Command, error) {
	m := &statepb.Command{Version: version}
	switch c := command.(type) {
	case state.ApplyConfig:
		m.Command = &statepb.Command_ApplyConfig{ApplyConfig: &statepb.ApplyConfig{
			ChangeId: c.ChangeID, BasedOn: uint64(c.BasedOn), Author: c.Author, Comment: c.Comment,
			Files: filesToProto(c.Files), Summary: c.Summary, Seats: int64(c.Seats),
			SeatLeaseNanos: int64(c.SeatLease), ClaimRetentionNanos: int64(c.ClaimRetention),
		}}
	case state.CommitLayout:
		m.Command = &statepb.Command_SettleLayout{SettleLayout: &statepb.SettleLayout{Layout: layoutToProto(&c.Layout)}}
	case state.ReportLayoutUse:
		m.Command = &statepb.Command_UseLayouts{UseLayouts: &statepb.UseLayouts{Layouts: convertAll(c.Layouts, layoutKeyToProto)}}
	case state.AcquireSeat:
		m.Command = &statepb.Command_AcquireSeat{AcquireSeat: &statepb.AcquireSeat{Holder: holderToProto(c.Holder)}}
	case state.RenewSeat:
		m.Command = &statepb.Command_RenewSeat{RenewSeat: &statepb.RenewSeat{Holder: holderToProto(c.Holder), Acknowledged: c.Acknowledged}}
	case state.ReleaseSeat:
		m.Command = &statepb.Command_ReleaseSeat{ReleaseSeat: &statepb.ReleaseSeat{Holder: holderToProto(c.Holder)}}
	case state.ClaimOrder:
		m.Command = &statepb.Command_ClaimOrder{ClaimOrder: &statepb.ClaimOrder{
			Order: orderToProto(c.Order), Holder: holderToProto(c.Holder), Attempt: string(c.Attempt),
			Digest: c.Digest, DeadlineNanos: toNanos(c.Deadline),
		}}
	case state.FinishClaim:
		m.Command = &statepb.Command_FinishClaim{FinishClaim: &statepb.FinishClaim{
			Order: orderToProto(c.Order), Attempt: string(c.Attempt), Result: c.Result,
		}}
	case state.ReleaseClaim:
		m.Command = &statepb.Command_ReleaseClaim{ReleaseClaim: &statepb.ReleaseClaim{
			Order: orderToProto(c.Order), Attempt: string(c.Attempt), Digest: c.Digest,
		}}
	default:
		return nil, malformed("command", "its type is not supported")
	}
	return m, nil
}

func commandFromProto(m *statepb.Command) (any, error) {
	switch c := m.Command.(type) {
	case *statepb.Command_ApplyConfig:
		p := c.ApplyConfig
		return state.ApplyConfig{
			ChangeID: p.ChangeId, BasedOn: model.Revision(p.BasedOn), Author: p.Author, Comment: p.Comment,
			Files: filesFromProto(p.Files), Summary: p.Summary, Seats: int(p.Seats),
			SeatLease: time.Duration(p.SeatLeaseNanos), ClaimRetention: time.Duration(p.ClaimRetentionNanos),
		}, nil
	case *statepb.Command_SettleLayout:
		l, err := layoutFromProto(c.SettleLayout.GetLayout())
		return state.CommitLayout{Layout: l}, err
	case *statepb.Command_UseLayouts:
		return state.ReportLayoutUse{Layouts: convertAll(c.UseLayouts.GetLayouts(), layoutKeyFromProto)}, nil
	case *statepb.Command_AcquireSeat:
		return state.AcquireSeat{Holder: holderFromProto(c.AcquireSeat.GetHolder())}, nil
	case *statepb.Command_RenewSeat:
		return state.RenewSeat{Holder: holderFromProto(c.RenewSeat.GetHolder()), Acknowledged: c.RenewSeat.GetAcknowledged()}, nil
	case *statepb.Command_ReleaseSeat:
		return state.ReleaseSeat{Holder: holderFromProto(c.ReleaseSeat.GetHolder())}, nil
	case *statepb.Command_ClaimOrder:
		p := c.ClaimOrder
		return state.ClaimOrder{
			Order: orderFromProto(p.GetOrder()), Holder: holderFromProto(p.GetHolder()), Attempt: model.AttemptID(p.GetAttempt()),
			Digest: p.GetDigest(), Deadline: fromNanos(p.GetDeadlineNanos()),
		}, nil
	case *statepb.Command_FinishClaim:
		p := c.FinishClaim
		return state.FinishClaim{Order: orderFromProto(p.GetOrder()), Attempt: model.AttemptID(p.GetAttempt()), Result: p.GetResult()}, nil
	case *statepb.Command_ReleaseClaim:
		p := c.ReleaseClaim
		return state.ReleaseClaim{Order: orderFromProto(p.GetOrder()), Attempt: model.AttemptID(p.GetAttempt()), Digest: p.GetDigest()}, nil
	}
	return nil, malformed("command", "its type is not supported")
}

func resultToProto(result any) (*statepb.Result, error) {
	m := &statepb.Result{Version: version}
	switch r := result.(type) {
	case state.Rejected:
		m.Result = &statepb.Result_Rejected{Rejected: &statepb.Rejected{Reason: r.Reason}}
	case state.ChangeResult:
		m.Result = &statepb.Result_Change{Change: changeToProto(r)}
	case state.CommitLayoutResult:
		m.Result = &statepb.Result_Settle{Settle: &statepb.SettleResult{
			Outcome: string(r.Outcome), Reason: r.Reason,
			Settled: &statepb.LayoutRef{Number: uint64(r.Committed.Number), Digest: r.Committed.Digest},
		}}
	case state.LayoutUseResult:
		m.Result = &statepb.Result_Use{Use: &statepb.UseResult{Unknown: convertAll(r.Unknown, layoutKeyToProto)}}
	case state.SeatResult:
		m.Result = &statepb.Result_Seat{Seat: &statepb.SeatResult{
			Outcome: string(r.Outcome), Index: int64(r.Seat.Index), Seats: int64(r.Seat.Seats), PreviousSeats: int64(r.Seat.PreviousSeats),
			Change: r.Change, LeaseNanos: int64(r.Lease), StateRevision: r.StateRevision,
		}}
	case model.ClaimResult:
		m.Result = &statepb.Result_Claim{Claim: &statepb.ClaimResult{Decision: string(r.Decision), Claim: claimToProto(r.Claim)}}
	case state.ClaimUpdate:
		m.Result = &statepb.Result_ClaimUpdate{ClaimUpdate: &statepb.ClaimUpdate{Applied: r.Applied, Found: r.Found, Claim: claimToProto(r.Claim)}}
	default:
		return nil, malformed("result", "its type is not supported")
	}
	return m, nil
}

func resultFromProto(m *statepb.Result) (any, error) {
	switch r := m.Result.(type) {
	case *statepb.Result_Rejected:
		return state.Rejected{Reason: r.Rejected.GetReason()}, nil
	case *statepb.Result_Change:
		return changeFromProto(r.Change), nil
	case *statepb.Result_Settle:
		p := r.Settle
		return state.CommitLayoutResult{
			Outcome: state.LayoutOutcome(p.GetOutcome()), Reason: p.GetReason(),
			Committed: model.LayoutRef{Number: model.LayoutNumber(p.GetSettled().GetNumber()), Digest: p.GetSettled().GetDigest()},
		}, nil
	case *statepb.Result_Use:
		return state.LayoutUseResult{Unknown: convertAll(r.Use.GetUnknown(), layoutKeyFromProto)}, nil
	case *statepb.Result_Seat:
		p := r.Seat
		return state.SeatResult{
			Outcome: state.SeatOutcome(p.GetOutcome()), Change: p.GetChange(), Lease: time.Duration(p.GetLeaseNanos()), StateRevision: p.GetStateRevision(),
			Seat: model.Seat{Index: int(p.GetIndex()), Seats: int(p.GetSeats()), PreviousSeats: int(p.GetPreviousSeats())},
		}, nil
	case *statepb.Result_Claim:
		return model.ClaimResult{Decision: model.ClaimDecision(r.Claim.GetDecision()), Claim: claimFromProto(r.Claim.GetClaim())}, nil
	case *statepb.Result_ClaimUpdate:
		p := r.ClaimUpdate
		return state.ClaimUpdate{Applied: p.GetApplied(), Found: p.GetFound(), Claim: claimFromProto(p.GetClaim())}, nil
	}
	return nil, malformed("result", "its type is not supported")
}
