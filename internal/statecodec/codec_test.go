package statecodec

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

var update = flag.Bool("update", false, "write the golden files")

var (
	at     = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	holder = model.Holder{VM: "vm1", Incarnation: 9}
	order  = model.OrderID{Service: "s", Key: "019b7cdf-8c48-7000-8000-000000000001"}
	layout = model.Layout{Service: "s", Number: 2, Shards: []model.Shard{{ID: 0, Share: 0.25}, {ID: 7, Share: 0.75}}}
	files  = model.ConfigFiles{Base: "[system]\n", Overlays: map[model.SiteName]string{"a": "x", "b": "y"}}
	entry  = state.HistoryEntry{Revision: 1, ChangeID: "c", Author: "ann", Comment: "why", At: at, Summary: []string{"seats"}}
	claim  = model.Claim{Order: order, State: model.ClaimDone, Holder: holder, Attempt: "a", Digest: 1 << 60, Result: []byte("r"), ClaimedAt: at}
	seats  = state.SeatTable{Count: 2, Previous: 1, Change: 3, Lease: time.Hour, Changed: 4, Holders: []state.SeatHolder{{Index: 1, Holder: holder, Changed: 5}}}
)

var commands = []any{
	state.ApplyConfig{ChangeID: "c", BasedOn: 3, Author: "ann", Comment: "why", Files: files, Summary: []string{"l"}, Seats: 9, SeatLease: time.Hour, ClaimRetention: time.Minute},
	state.CommitLayout{Layout: layout},
	state.ReportLayoutUse{Layouts: []state.LayoutKey{{Service: "s", Number: 2}}},
	state.AcquireSeat{Holder: holder},
	state.RenewSeat{Holder: holder, Acknowledged: 2},
	state.ReleaseSeat{Holder: holder},
	state.ClaimOrder{Order: order, Holder: holder, Attempt: "a", Digest: 5, Deadline: at},
	state.FinishClaim{Order: order, Attempt: "a", Result: []byte("r")},
	state.ReleaseClaim{Order: order, Attempt: "a", Digest: 5},
}

var results = []any{
	state.Rejected{Reason: "no"},
	state.ChangeResult{Outcome: state.ChangeConflict, Revision: 4, Repeated: true},
	state.CommitLayoutResult{Outcome: state.LayoutConflict, Committed: layout.Ref(), Reason: "other"},
	state.LayoutUseResult{Unknown: []state.LayoutKey{{Service: "s", Number: 3}}},
	state.SeatResult{Outcome: state.SeatNone, Seat: model.NoSeat, Change: 1, Lease: time.Hour, StateRevision: 7},
	model.ClaimResult{Decision: model.ClaimExists, Claim: claim},
	state.ClaimUpdate{Applied: true, Found: true, Claim: claim},
}

var queries = []any{
	state.GetConfig{Revision: 2}, state.GetHistory{Before: 3, Limit: 4}, state.GetChange{ChangeID: "c"},
	state.GetClaim{Order: order}, state.GetUpdate{From: 5}, state.GetStatus{},
}

var sampleUpdate = state.Update{
	From: 1, To: 9, ConfigRevision: 2, ConfigChanged: 8, Floor: 1, Digest: 1 << 63, Seats: seats,
	Files:   []state.File{{Site: "a", Text: "x", Changed: 7, Digest: 4}, {Site: "b", Changed: 8, Removed: true}},
	Layouts: []state.CommittedLayout{{Layout: &layout, Digest: layout.Digest(), Changed: 6}, {Layout: &model.Layout{Service: "s", Number: 1}, Changed: 6, Dropped: true}},
}

var answers = []any{
	state.Rejected{Reason: "no"},
	state.ConfigAnswer{Found: true, InForce: 3, Entry: entry, Files: files},
	state.HistoryAnswer{InForce: 3, Entries: []state.HistoryEntry{entry}},
	state.ChangeResult{Outcome: state.ChangeUnknown},
	state.ClaimAnswer{Found: true, Claim: claim, Expired: true},
	sampleUpdate,
	state.StatusAnswer{StateRevision: 1, ConfigRevision: 2, Seats: seats, Acknowledged: []uint64{1, 2}, Layouts: 3, Claims: 4, ClaimBytes: 5, ChangeIDs: 6, At: at},
}

// sampleState returns a state whose parts all have an entry.
func sampleState() *state.State {
	s := state.New()
	for i, c := range []any{
		state.ApplyConfig{ChangeID: "c1", Files: files, Seats: 2, SeatLease: time.Hour, ClaimRetention: time.Hour, Author: "ann"},
		state.CommitLayout{Layout: layout}, state.AcquireSeat{Holder: holder},
		state.ClaimOrder{Order: order, Holder: holder, Attempt: "a", Digest: 5, Deadline: at},
		state.ReleaseClaim{Order: order, Attempt: "a"},
	} {
		s.Apply(uint64(i+1), at, c)
	}
	return s
}

// requireGolden compares an encoding with its golden file.
func requireGolden(t *testing.T, name string, data []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".hex")
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(hex.EncodeToString(data)+"\n"), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, strings.TrimSpace(string(want)), hex.EncodeToString(data))
}

func roundTrip[T any](t *testing.T, kind string, values []T, enc func(T) ([]byte, error), dec func([]byte) (T, error)) {
	for i, v := range values {
		name := fmt.Sprintf("%s-%d-%T", kind, i, v)
		t.Run(name, func(t *testing.T) {
			data, err := enc(v)
			require.NoError(t, err)
			requireGolden(t, strings.ReplaceAll(name, ".", "_"), data)
			decoded, err := dec(data)
			require.NoError(t, err)
			require.Equal(t, v, decoded)
		})
	}
}

// Guards against a field that is lost in encoding or decoding, and against a change of the format that makes log
// entries or messages of an earlier release unreadable.
func TestGoldenRoundTrips(t *testing.T) {
	roundTrip(t, "command", commands, EncodeCommand, DecodeCommand)
	roundTrip(t, "result", results, EncodeResult, DecodeResult)
	roundTrip(t, "query", queries, EncodeQuery, DecodeQuery)
	roundTrip(t, "answer", answers, EncodeAnswer, DecodeAnswer)
	roundTrip(t, "update", []state.Update{sampleUpdate}, EncodeUpdate, DecodeUpdate)
	roundTrip(t, "snapshot", []state.Snapshot{sampleState().Snapshot()}, EncodeSnapshot, DecodeSnapshot)
}

// Guards against a decoder that accepts a later format, missing versions or oversized input.
func TestBadInputGivesTypedErrors(t *testing.T) {
	newer, err := proto.Marshal(&statepb.Command{Version: version + 1})
	require.NoError(t, err)
	_, err = DecodeCommand(newer)
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	require.True(t, IsNewerFormat(err))
	for name, data := range map[string][]byte{"empty": nil, "garbage": {0xff, 0xff}, "no command": {8, 1}} {
		_, err = DecodeCommand(data)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), name)
		require.False(t, IsNewerFormat(err), name)
		require.NotEmpty(t, errs.RemedyOf(err), name)
	}
	_, err = DecodeCommand(make([]byte, MaxCommandBytes+1))
	require.Equal(t, errs.KindTooLarge, errs.KindOf(err))
	_, err = EncodeCommand(state.ApplyConfig{Files: model.ConfigFiles{Base: strings.Repeat("x", MaxCommandBytes)}})
	require.Equal(t, errs.KindTooLarge, errs.KindOf(err))
	_, err = EncodeCommand(state.ApplyConfig{ChangeID: "\xff"})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	_, err = EncodeCommand(struct{}{})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	mismatch, err := proto.Marshal(&statepb.Command{Version: version, Command: &statepb.Command_SettleLayout{
		SettleLayout: &statepb.SettleLayout{Layout: &statepb.Layout{ShardIds: []uint32{1}}},
	}})
	require.NoError(t, err)
	_, err = DecodeCommand(mismatch)
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
}

// Guards against input that makes a decoder or the state panic, and against a decoded command that changes
// when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, c := range commands[:3] {
		data, _ := EncodeCommand(c)
		f.Add(data)
	}
	data, _ := EncodeUpdate(sampleState().Disseminated().Full())
	f.Add(data)
	data, _ = EncodeSnapshot(sampleState().Snapshot())
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := DecodeCommand(data); err == nil {
			encoded, err := EncodeCommand(c)
			require.NoError(t, err)
			decoded, err := DecodeCommand(encoded)
			require.NoError(t, err)
			// The printed forms are compared because a share may be NaN, which is not equal to itself.
			require.Equal(t, fmt.Sprintf("%+v", c), fmt.Sprintf("%+v", decoded))
			s := sampleState()
			_, err = EncodeResult(s.Apply(9, at, c))
			require.NoError(t, err)
		}
		if q, err := DecodeQuery(data); err == nil {
			_, err = EncodeAnswer(sampleState().Query(q))
			require.NoError(t, err)
		}
		if u, err := DecodeUpdate(data); err == nil {
			_, _ = state.NewDisseminatedState().Apply(u)
		}
		if in, err := DecodeSnapshot(data); err == nil {
			if s, err := state.Restore(in); err == nil {
				for i, c := range commands {
					s.Apply(uint64(i), at.Add(time.Duration(i)*24*time.Hour), c)
				}
			}
		}
		_, _ = DecodeResult(data)
		_, _ = DecodeAnswer(data)
	})
}
