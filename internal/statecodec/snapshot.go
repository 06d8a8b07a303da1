package statecodec

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

func snapshotToProto(s state.Snapshot) *statepb.Snapshot {
	return &statepb.Snapshot{
		Version: version, Applied: s.Applied, AtNanos: toNanos(s.At), Shared: updateToProto(s.Disseminated),
		History: convertAll(s.History, entryToProto),
		Files: convertAll(s.Files, func(f state.RevisionFiles) *statepb.RevisionFiles {
			return &statepb.RevisionFiles{Revision: uint64(f.Revision), Files: filesToProto(f.Files)}
		}),
		Changes: convertAll(s.Changes, func(c state.ChangeRecord) *statepb.ChangeRecord {
			return &statepb.ChangeRecord{Id: c.ID, Digest: c.Digest, Outcome: string(c.Outcome), Revision: uint64(c.Revision)}
		}),
		Layouts: convertAll(s.Layouts, func(l state.LayoutUse) *statepb.LayoutUse {
			return &statepb.LayoutUse{Key: layoutKeyToProto(l.Key), UsedNanos: toNanos(l.Used)}
		}),
		Dropped: convertAll(s.Dropped, layoutKeyToProto),
		Seats: &statepb.SeatLeases{
			ClockNanos: int64(s.Seats.Clock), Wanted: int64(s.Seats.Wanted),
			Leases: convertAll(s.Seats.Leases, func(l state.SeatLease) *statepb.SeatLease {
				return &statepb.SeatLease{UntilNanos: int64(l.Until), Acknowledged: l.Acknowledged}
			}),
		},
		Claims: &statepb.ClaimTable{
			FloorNanos: toNanos(s.Claims.Floor), RetentionNanos: int64(s.Claims.Retention),
			Claims: convertAll(s.Claims.Claims, claimRecordToProto),
		},
	}
}

func snapshotFromProto(m *statepb.Snapshot) (state.Snapshot, error) {
	disseminated, err := updateFromProto(m.GetShared())
	if err != nil {
		return state.Snapshot{}, err
	}
	return state.Snapshot{
		Applied: m.GetApplied(), At: fromNanos(m.GetAtNanos()), Disseminated: disseminated,
		History: convertAll(m.GetHistory(), entryFromProto),
		Files: convertAll(m.GetFiles(), func(f *statepb.RevisionFiles) state.RevisionFiles {
			return state.RevisionFiles{Revision: model.Revision(f.GetRevision()), Files: filesFromProto(f.GetFiles())}
		}),
		Changes: convertAll(m.GetChanges(), func(c *statepb.ChangeRecord) state.ChangeRecord {
			return state.ChangeRecord{ID: c.GetId(), Digest: c.GetDigest(), Outcome: state.ChangeOutcome(c.GetOutcome()), Revision: model.Revision(c.GetRevision())}
		}),
		Layouts: convertAll(m.GetLayouts(), func(l *statepb.LayoutUse) state.LayoutUse {
			return state.LayoutUse{Key: layoutKeyFromProto(l.GetKey()), Used: fromNanos(l.GetUsedNanos())}
		}),
		Dropped: convertAll(m.GetDropped(), layoutKeyFromProto),
		Seats: state.SeatLeases{
			Clock: time.Duration(m.GetSeats().GetClockNanos()), Wanted: int(m.GetSeats().GetWanted()),
			Leases: convertAll(m.GetSeats().GetLeases(), func(l *statepb.SeatLease) state.SeatLease {
				return state.SeatLease{Until: time.Duration(l.GetUntilNanos()), Acknowledged: l.GetAcknowledged()}
			}),
		},
		Claims: state.ClaimTable{
			Floor: fromNanos(m.GetClaims().GetFloorNanos()), Retention: time.Duration(m.GetClaims().GetRetentionNanos()),
			Claims: convertAll(m.GetClaims().GetClaims(), claimRecordFromProto),
		},
	}, nil
}

func claimRecordToProto(r state.ClaimRecord) *statepb.ClaimRecord {
	return &statepb.ClaimRecord{
		Claim:    claimToProto(r.Claim),
		Released: convertAll(r.Released, func(a model.AttemptID) string { return string(a) }),
	}
}

func claimRecordFromProto(m *statepb.ClaimRecord) state.ClaimRecord {
	return state.ClaimRecord{
		Claim:    claimFromProto(m.GetClaim()),
		Released: convertAll(m.GetReleased(), func(a string) model.AttemptID { return model.AttemptID(a) }),
	}
}
