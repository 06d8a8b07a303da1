package statecodec

import (
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

func queryToProto(query any) (*statepb.Query, error) {
	m := &statepb.Query{Version: version}
	switch q := query.(type) {
	case state.GetConfig:
		m.Query = &statepb.Query_GetConfig{GetConfig: &statepb.GetConfig{Revision: uint64(q.Revision)}}
	case state.GetHistory:
		m.Query = &statepb.Query_GetHistory{GetHistory: &statepb.GetHistory{Before: uint64(q.Before), Limit: int64(q.Limit)}}
	case state.GetChange:
		m.Query = &statepb.Query_GetChange{GetChange: &statepb.GetChange{ChangeId: q.ChangeID}}
	case state.GetClaim:
		m.Query = &statepb.Query_GetClaim{GetClaim: &statepb.GetClaim{Order: orderToProto(q.Order)}}
	case state.GetUpdate:
		m.Query = &statepb.Query_GetUpdate{GetUpdate: &statepb.GetUpdate{From: q.From}}
	case state.GetStatus:
		m.Query = &statepb.Query_GetStatus{GetStatus: &statepb.GetStatus{}}
	default:
		return nil, malformed("query", "its type is not supported")
	}
	return m, nil
}

func queryFromProto(m *statepb.Query) (any, error) {
	switch q := m.Query.(type) {
	case *statepb.Query_GetConfig:
		return state.GetConfig{Revision: model.Revision(q.GetConfig.GetRevision())}, nil
	case *statepb.Query_GetHistory:
		return state.GetHistory{Before: model.Revision(q.GetHistory.GetBefore()), Limit: int(q.GetHistory.GetLimit())}, nil
	case *statepb.Query_GetChange:
		return state.GetChange{ChangeID: q.GetChange.GetChangeId()}, nil
	case *statepb.Query_GetClaim:
		return state.GetClaim{Order: orderFromProto(q.GetClaim.GetOrder())}, nil
	case *statepb.Query_GetUpdate:
		return state.GetUpdate{From: q.GetUpdate.GetFrom()}, nil
	case *statepb.Query_GetStatus:
		return state.GetStatus{}, nil
	}
	return nil, malformed("query", "its type is not supported")
}

func answerToProto(answer any) (*statepb.Answer, error) {
	m := &statepb.Answer{Version: version}
	switch a := answer.(type) {
	case state.Rejected:
		m.Answer = &statepb.Answer_Rejected{Rejected: &statepb.Rejected{Reason: a.Reason}}
	case state.ConfigAnswer:
		m.Answer = &statepb.Answer_Config{Config: &statepb.ConfigAnswer{
			Found: a.Found, InForce: uint64(a.InForce), Entry: entryToProto(a.Entry), Files: filesToProto(a.Files),
		}}
	case state.HistoryAnswer:
		m.Answer = &statepb.Answer_History{History: &statepb.HistoryAnswer{InForce: uint64(a.InForce), Entries: convertAll(a.Entries, entryToProto)}}
	case state.ChangeResult:
		m.Answer = &statepb.Answer_Change{Change: changeToProto(a)}
	case state.ClaimAnswer:
		m.Answer = &statepb.Answer_Claim{Claim: &statepb.ClaimAnswer{Found: a.Found, Expired: a.Expired, Claim: claimToProto(a.Claim)}}
	case state.Update:
		m.Answer = &statepb.Answer_Update{Update: updateToProto(a)}
	case state.StatusAnswer:
		m.Answer = &statepb.Answer_Status{Status: &statepb.StatusAnswer{
			StateRevision: a.StateRevision, ConfigRevision: uint64(a.ConfigRevision), Seats: seatsToProto(a.Seats),
			Acknowledged: a.Acknowledged, Layouts: int64(a.Layouts), Claims: int64(a.Claims),
			ClaimBytes: int64(a.ClaimBytes), ChangeIds: int64(a.ChangeIDs), AtNanos: toNanos(a.At),
		}}
	default:
		return nil, malformed("answer", "its type is not supported")
	}
	return m, nil
}

func answerFromProto(m *statepb.Answer) (any, error) {
	switch a := m.Answer.(type) {
	case *statepb.Answer_Rejected:
		return state.Rejected{Reason: a.Rejected.GetReason()}, nil
	case *statepb.Answer_Config:
		p := a.Config
		return state.ConfigAnswer{
			Found: p.GetFound(), InForce: model.Revision(p.GetInForce()), Entry: entryFromProto(p.GetEntry()), Files: filesFromProto(p.GetFiles()),
		}, nil
	case *statepb.Answer_History:
		return state.HistoryAnswer{InForce: model.Revision(a.History.GetInForce()), Entries: convertAll(a.History.GetEntries(), entryFromProto)}, nil
	case *statepb.Answer_Change:
		return changeFromProto(a.Change), nil
	case *statepb.Answer_Claim:
		return state.ClaimAnswer{Found: a.Claim.GetFound(), Expired: a.Claim.GetExpired(), Claim: claimFromProto(a.Claim.GetClaim())}, nil
	case *statepb.Answer_Update:
		return updateFromProto(a.Update)
	case *statepb.Answer_Status:
		p := a.Status
		return state.StatusAnswer{
			StateRevision: p.GetStateRevision(), ConfigRevision: model.Revision(p.GetConfigRevision()), Seats: seatsFromProto(p.GetSeats()),
			Acknowledged: p.GetAcknowledged(), Layouts: int(p.GetLayouts()), Claims: int(p.GetClaims()),
			ClaimBytes: int(p.GetClaimBytes()), ChangeIDs: int(p.GetChangeIds()), At: fromNanos(p.GetAtNanos()),
		}, nil
	}
	return nil, malformed("answer", "its type is not supported")
}
