package statecodec

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

// convertAll converts each element of a list. An empty list becomes nil.
func convertAll[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, x := range in {
		out[i] = convert(x)
	}
	return out
}

// toNanos encodes a time. The zero time is 0.
func toNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromNanos decodes a time. 0 is the zero time.
func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

func filesToProto(f model.ConfigFiles) *statepb.ConfigFiles {
	m := &statepb.ConfigFiles{Base: f.Base, Overlays: make(map[string]string, len(f.Overlays))}
	for site, text := range f.Overlays {
		m.Overlays[string(site)] = text
	}
	return m
}

func filesFromProto(m *statepb.ConfigFiles) model.ConfigFiles {
	f := model.ConfigFiles{Base: m.GetBase(), Overlays: make(map[model.SiteName]string, len(m.GetOverlays()))}
	for site, text := range m.GetOverlays() {
		f.Overlays[model.SiteName(site)] = text
	}
	return f
}

func changeToProto(r state.ChangeResult) *statepb.ChangeResult {
	return &statepb.ChangeResult{Outcome: string(r.Outcome), Revision: uint64(r.Revision), Repeated: r.Repeated}
}

func changeFromProto(m *statepb.ChangeResult) state.ChangeResult {
	return state.ChangeResult{Outcome: state.ChangeOutcome(m.GetOutcome()), Revision: model.Revision(m.GetRevision()), Repeated: m.GetRepeated()}
}

func layoutToProto(l *model.Layout) *statepb.Layout {
	m := &statepb.Layout{Service: string(l.Service), Number: uint64(l.Number)}
	for _, s := range l.Shards {
		m.ShardIds = append(m.ShardIds, uint32(s.ID))
		m.Shares = append(m.Shares, s.Share)
	}
	return m
}

func layoutFromProto(m *statepb.Layout) (model.Layout, error) {
	l := model.Layout{Service: model.ServiceName(m.GetService()), Number: model.LayoutNumber(m.GetNumber())}
	shares := m.GetShares()
	if len(shares) != len(m.GetShardIds()) {
		return model.Layout{}, malformed("layout", "the numbers of shards and shares differ")
	}
	for i, id := range m.GetShardIds() {
		l.Shards = append(l.Shards, model.Shard{ID: model.ShardID(id), Share: shares[i]})
	}
	return l, nil
}

func layoutKeyToProto(k state.LayoutKey) *statepb.LayoutKey {
	return &statepb.LayoutKey{Service: string(k.Service), Number: uint64(k.Number)}
}

func layoutKeyFromProto(m *statepb.LayoutKey) state.LayoutKey {
	return state.LayoutKey{Service: model.ServiceName(m.GetService()), Number: model.LayoutNumber(m.GetNumber())}
}

func holderToProto(h model.Holder) *statepb.Holder {
	return &statepb.Holder{Vm: string(h.VM), Incarnation: h.Incarnation}
}

func holderFromProto(m *statepb.Holder) model.Holder {
	return model.Holder{VM: model.VMName(m.GetVm()), Incarnation: m.GetIncarnation()}
}

func orderToProto(o model.OrderID) *statepb.OrderID {
	return &statepb.OrderID{Service: string(o.Service), Key: o.Key}
}

func orderFromProto(m *statepb.OrderID) model.OrderID {
	return model.OrderID{Service: model.ServiceName(m.GetService()), Key: m.GetKey()}
}

func claimToProto(c model.Claim) *statepb.Claim {
	return &statepb.Claim{
		Order: orderToProto(c.Order), State: string(c.State), Holder: holderToProto(c.Holder), Attempt: string(c.Attempt),
		Digest: c.Digest, Result: c.Result, ClaimedAtNanos: toNanos(c.ClaimedAt),
	}
}

func claimFromProto(m *statepb.Claim) model.Claim {
	return model.Claim{
		Order: orderFromProto(m.GetOrder()), State: model.ClaimState(m.GetState()), Holder: holderFromProto(m.GetHolder()),
		Attempt: model.AttemptID(m.GetAttempt()), Digest: m.GetDigest(), Result: m.GetResult(), ClaimedAt: fromNanos(m.GetClaimedAtNanos()),
	}
}

func entryToProto(e state.HistoryEntry) *statepb.HistoryEntry {
	return &statepb.HistoryEntry{
		Revision: uint64(e.Revision), BasedOn: uint64(e.BasedOn), ChangeId: e.ChangeID, Author: e.Author,
		Comment: e.Comment, AtNanos: toNanos(e.At), Summary: e.Summary,
	}
}

func entryFromProto(m *statepb.HistoryEntry) state.HistoryEntry {
	return state.HistoryEntry{
		Revision: model.Revision(m.GetRevision()), BasedOn: model.Revision(m.GetBasedOn()), ChangeID: m.GetChangeId(), Author: m.GetAuthor(),
		Comment: m.GetComment(), At: fromNanos(m.GetAtNanos()), Summary: m.GetSummary(),
	}
}

func seatsToProto(t state.SeatTable) *statepb.SeatTable {
	return &statepb.SeatTable{
		Count: int64(t.Count), Previous: int64(t.Previous), Change: t.Change, LeaseNanos: int64(t.Lease), Changed: t.Changed,
		Holders: convertAll(t.Holders, func(h state.SeatHolder) *statepb.SeatHolder {
			return &statepb.SeatHolder{Index: int64(h.Index), Holder: holderToProto(h.Holder), Changed: h.Changed}
		}),
	}
}

func seatsFromProto(m *statepb.SeatTable) state.SeatTable {
	return state.SeatTable{
		Count: int(m.GetCount()), Previous: int(m.GetPrevious()), Change: m.GetChange(), Lease: time.Duration(m.GetLeaseNanos()), Changed: m.GetChanged(),
		Holders: convertAll(m.GetHolders(), func(h *statepb.SeatHolder) state.SeatHolder {
			return state.SeatHolder{Index: int(h.GetIndex()), Holder: holderFromProto(h.GetHolder()), Changed: h.GetChanged()}
		}),
	}
}

func updateToProto(u state.Update) *statepb.Update {
	return &statepb.Update{
		Version: version, Full: u.Full, From: u.From, To: u.To,
		ConfigRevision: uint64(u.ConfigRevision), ConfigChanged: u.ConfigChanged,
		Files: convertAll(u.Files, func(f state.File) *statepb.File {
			return &statepb.File{Site: string(f.Site), Text: f.Text, Changed: f.Changed, Removed: f.Removed, Digest: f.Digest}
		}),
		Layouts: convertAll(u.Layouts, func(l state.CommittedLayout) *statepb.SettledLayout {
			return &statepb.SettledLayout{Layout: layoutToProto(l.Layout), Digest: l.Digest, Changed: l.Changed, Dropped: l.Dropped}
		}),
		Seats: seatsToProto(u.Seats), Floor: u.Floor, Digest: u.Digest,
	}
}

func updateFromProto(m *statepb.Update) (state.Update, error) {
	u := state.Update{
		Full: m.GetFull(), From: m.GetFrom(), To: m.GetTo(),
		ConfigRevision: model.Revision(m.GetConfigRevision()), ConfigChanged: m.GetConfigChanged(),
		Files: convertAll(m.GetFiles(), func(f *statepb.File) state.File {
			return state.File{Site: model.SiteName(f.GetSite()), Text: f.GetText(), Changed: f.GetChanged(), Removed: f.GetRemoved(), Digest: f.GetDigest()}
		}),
		Seats: seatsFromProto(m.GetSeats()), Floor: m.GetFloor(), Digest: m.GetDigest(),
	}
	for _, p := range m.GetLayouts() {
		l, err := layoutFromProto(p.GetLayout())
		if err != nil {
			return state.Update{}, err
		}
		u.Layouts = append(u.Layouts, state.CommittedLayout{Layout: &l, Digest: p.GetDigest(), Changed: p.GetChanged(), Dropped: p.GetDropped()})
	}
	return u, nil
}
