// Package state is the replicated state machine: the history of configurations, committed layouts, seats and claims.
// It is deterministic and has no side effects: the same commands with the same times give the same state on every VM.
// It therefore reads no clock, uses no randomness and never depends on the iteration order of a map.
package state

import (
	"fmt"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// State is the whole replicated state. It is not safe for concurrent use; a DisseminatedState is immutable
// and may be passed to other goroutines.
type State struct {
	// applied is the index of the last entry that was applied, and at is its time.
	applied      uint64
	at           time.Time
	disseminated *DisseminatedState
	history      history
	layouts      layoutUse
	seats        seatLeases
	claims       claims
}

// New returns the state before the first entry.
func New() *State {
	return &State{
		disseminated: newDisseminatedState(),
		history:      newHistory(),
		layouts:      newLayoutUse(),
		claims:       newClaims(),
	}
}

// Disseminated returns the disseminated part of the state. It is immutable.
func (s *State) Disseminated() *DisseminatedState { return s.disseminated }

// Applied returns the index of the last entry that was applied, or 0 before the first.
func (s *State) Applied() uint64 { return s.applied }

// Apply applies one committed command and returns its result. at is the time of the log entry.
func (s *State) Apply(index uint64, at time.Time, command any) any {
	at = at.UTC()
	if at.Before(s.at) {
		at = s.at
	}
	s.seats.advance(s.at, at, s.disseminated.Seats.Lease)
	s.applied, s.at = index, at
	// Commands on claims are the most frequent ones and do not change the disseminated state, so it is not copied
	// for them.
	if result, ok := s.applyClaim(command); ok {
		return result
	}
	next := s.disseminated.clone()
	result := s.apply(next, command)
	s.seats.expire(next)
	s.seats.completeChange(next)
	if next.changed {
		next.Revision++
		next.changed = false
		next.pruneTombstones()
		next.seal()
		s.disseminated = next
	}
	if r, ok := result.(SeatResult); ok {
		return s.seatResult(r)
	}
	return result
}

func (s *State) applyClaim(command any) (any, bool) {
	switch c := command.(type) {
	case ClaimOrder:
		return s.claims.claim(s.at, c), true
	case FinishClaim:
		return s.claims.finish(s.at, c), true
	case ReleaseClaim:
		return s.claims.release(s.at, c), true
	}
	return nil, false
}

func (s *State) apply(next *DisseminatedState, command any) any {
	switch c := command.(type) {
	case ApplyConfig:
		return s.applyConfig(next, c)
	case CommitLayout:
		return s.commitLayout(next, c)
	case ReportLayoutUse:
		return s.reportLayoutUse(next, c)
	case AcquireSeat:
		return s.seats.acquire(next, c.Holder)
	case RenewSeat:
		return s.seats.renew(next, c)
	case ReleaseSeat:
		return s.seats.release(next, c.Holder)
	}
	return Rejected{Reason: fmt.Sprintf("command %T is not supported", command)}
}

// Query answers a query. It does not change the state. The answer to a query of an unsupported type is Rejected.
func (s *State) Query(query any) any {
	switch q := query.(type) {
	case GetConfig:
		return s.history.get(q.Revision)
	case GetHistory:
		return s.history.list(q)
	case GetChange:
		return s.history.change(q.ChangeID)
	case GetClaim:
		return s.claims.lookup(q.Order)
	case GetUpdate:
		return s.disseminated.UpdateFrom(q.From)
	case GetStatus:
		return s.status()
	}
	return Rejected{Reason: fmt.Sprintf("query %T is not supported", query)}
}

func (s *State) status() StatusAnswer {
	return StatusAnswer{
		StateRevision:  s.disseminated.Revision,
		ConfigRevision: s.disseminated.ConfigRevision,
		Seats:          s.disseminated.Seats.clone(),
		Acknowledged:   s.seats.acknowledged(),
		Layouts:        len(s.layouts.used),
		Claims:         len(s.claims.byOrder),
		ClaimBytes:     s.claims.resultBytes,
		ChangeIDs:      len(s.history.changes),
		At:             s.at,
	}
}

// applyConfig records the change and passes its values to the parts that need them.
func (s *State) applyConfig(next *DisseminatedState, c ApplyConfig) ChangeResult {
	r := s.history.apply(s.at, c)
	if r.Outcome != ChangeAccepted || r.Repeated {
		return r
	}
	next.setConfig(r.Revision, c.Files)
	s.seats.configure(next, c.Seats, c.SeatLease)
	s.claims.retention = c.ClaimRetention
	return r
}

// truncate shortens a text to a limit in bytes, so that no command can grow the state without limit.
func truncate(text string, limit int) string {
	if len(text) > limit {
		return strings.ToValidUTF8(text[:limit], "")
	}
	return text
}

// validHolder reports whether a holder identifies a run of a VM.
func validHolder(h model.Holder) bool {
	return h.VM != "" && len(h.VM) <= maxTextBytes && h.Incarnation != 0
}
