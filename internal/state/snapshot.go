package state

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Snapshot is the state snapshot: the whole state as plain values in a fixed order. Equal states have equal
// snapshots.
type Snapshot struct {
	Applied      uint64
	At           time.Time
	Disseminated Update
	History      []HistoryEntry
	Files        []RevisionFiles
	// Changes lists the recorded results of change IDs, oldest first.
	Changes []ChangeRecord
	Layouts []LayoutUse
	Dropped []LayoutKey
	Seats   SeatLeases
	Claims  ClaimTable
}

// RevisionFiles holds the files of one revision.
type RevisionFiles struct {
	Revision model.Revision
	Files    model.ConfigFiles
}

// ChangeRecord is the recorded result of a change ID.
type ChangeRecord struct {
	ID       string
	Digest   []byte
	Outcome  ChangeOutcome
	Revision model.Revision
}

// LayoutUse records when a committed layout was last in use.
type LayoutUse struct {
	Key  LayoutKey
	Used time.Time
}

// SeatLeases holds the lease clock and the leases of the seats by index.
type SeatLeases struct {
	Clock  time.Duration
	Wanted int
	Leases []SeatLease
}

// SeatLease is the lease of one seat. Until is a time on the lease clock.
type SeatLease struct {
	Until        time.Duration
	Acknowledged uint64
}

// ClaimTable holds the claims, sorted by service and key.
type ClaimTable struct {
	Floor     time.Time
	Retention time.Duration
	Claims    []ClaimRecord
}

// ClaimRecord is one claim with the attempts that released it.
type ClaimRecord struct {
	Claim    model.Claim
	Released []model.AttemptID
}

// Snapshot returns the whole state as plain values, which later changes of the state do not affect.
func (s *State) Snapshot() Snapshot {
	out := Snapshot{
		Applied: s.applied, At: s.at, Disseminated: s.disseminated.Full(),
		History: slices.Clone(s.history.entries),
		Seats:   SeatLeases{Clock: s.seats.clock, Wanted: s.seats.wanted},
		Claims:  ClaimTable{Floor: s.claims.floor, Retention: s.claims.retention},
	}
	for _, f := range s.history.files {
		out.Files = append(out.Files, RevisionFiles{f.revision, f.files})
	}
	for _, id := range s.history.order {
		r := s.history.changes[id]
		out.Changes = append(out.Changes, ChangeRecord{r.id, slices.Clone(r.digest[:]), r.outcome, r.revision})
	}
	used := slices.SortedFunc(maps.Keys(s.layouts.used), compareLayoutKeys)
	for _, key := range used {
		out.Layouts = append(out.Layouts, LayoutUse{key, s.layouts.used[key]})
	}
	for _, service := range sortedKeys(s.layouts.dropped) {
		out.Dropped = append(out.Dropped, LayoutKey{service, s.layouts.dropped[service]})
	}
	for _, l := range s.seats.leases {
		out.Seats.Leases = append(out.Seats.Leases, SeatLease{l.until, l.acknowledged})
	}
	for _, order := range slices.SortedFunc(maps.Keys(s.claims.byOrder), compareOrders) {
		r := s.claims.byOrder[order]
		out.Claims.Claims = append(out.Claims.Claims, ClaimRecord{r.Claim, slices.Clone(r.released)})
	}
	return out
}

// Restore returns the state that a snapshot holds. It refuses a snapshot whose parts contradict each other.
func Restore(in Snapshot) (*State, error) {
	s := New()
	s.applied, s.at = in.Applied, in.At
	disseminated, err := s.disseminated.Apply(in.Disseminated)
	if err != nil {
		return nil, corruptSnapshot(err, "the disseminated state is damaged")
	}
	s.disseminated = disseminated
	for _, step := range []func(Snapshot) error{s.restoreHistory, s.restoreLayouts, s.restoreSeats, s.restoreClaims} {
		if err := step(in); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func corruptSnapshot(cause error, message string) error {
	const remedy = "replace this VM; the new one loads the state from the other control VMs"
	if cause == nil {
		return errs.New(errs.KindCorrupt, remedy, "state snapshot: %s", message)
	}
	return errs.Wrap(cause, errs.KindCorrupt, remedy, "state snapshot: %s", message)
}

func (s *State) restoreHistory(in Snapshot) error {
	s.history.entries = slices.Clone(in.History)
	for _, f := range in.Files {
		s.history.files = append(s.history.files, storedFiles{f.Revision, s.history.shareTexts(f.Files)})
	}
	for _, c := range in.Changes {
		r := changeRecord{id: c.ID, outcome: c.Outcome, revision: c.Revision}
		if copy(r.digest[:], c.Digest) != len(r.digest) {
			return corruptSnapshot(nil, "the digest of a change is too short")
		}
		s.history.record(r)
	}
	if s.history.inForce() != s.disseminated.ConfigRevision {
		return corruptSnapshot(nil, "the history does not end at the configuration in force")
	}
	return nil
}

func (s *State) restoreLayouts(in Snapshot) error {
	for _, l := range in.Layouts {
		committed, ok := s.disseminated.Layouts[l.Key]
		if !ok || committed.Dropped {
			return corruptSnapshot(nil, "a layout in use is not committed")
		}
		s.layouts.used[l.Key] = l.Used
		s.layouts.shards += len(committed.Layout.Shards)
	}
	for _, d := range in.Dropped {
		s.layouts.dropped[d.Service] = d.Number
	}
	return nil
}

func (s *State) restoreSeats(in Snapshot) error {
	if len(in.Seats.Leases) != len(s.disseminated.Seats.Holders) {
		return corruptSnapshot(nil, "the numbers of seats and leases differ")
	}
	s.seats.clock, s.seats.wanted = in.Seats.Clock, in.Seats.Wanted
	for _, l := range in.Seats.Leases {
		s.seats.leases = append(s.seats.leases, seatLease{l.Until, l.Acknowledged})
	}
	return nil
}

func (s *State) restoreClaims(in Snapshot) error {
	s.claims.floor, s.claims.retention = in.Claims.Floor, in.Claims.Retention
	for _, c := range in.Claims.Claims {
		order := c.Claim.Order
		created, err := OrderKeyTime(order.Key)
		if err != nil {
			return corruptSnapshot(err, "the key of a claim is malformed")
		}
		if s.claims.byOrder[order] != nil {
			return corruptSnapshot(nil, "an order has two claims")
		}
		s.claims.byOrder[order] = &claimRecord{Claim: c.Claim, released: slices.Clone(c.Released)}
		s.claims.byKeyTime = append(s.claims.byKeyTime, claimKey{created, order})
		s.claims.resultBytes += len(c.Claim.Result)
	}
	heap.Init(&s.claims.byKeyTime)
	return nil
}
