package dissemination

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// minSeatBackoff and maxSeatBackoff limit the wait after a command that failed or found no free seat, before
	// jitter.
	minSeatBackoff = 500 * time.Millisecond
	maxSeatBackoff = 30 * time.Second
	// renewalsPerLease is the number of renewals within the time of one lease. The seat is used for three quarters of
	// the lease, so that one renewal and its retries may fail.
	renewalsPerLease = 3
	// earlierRunUseShare is the share of the lease for which a VM that restarts without contact with the control group
	// uses the seat of its earlier run. The time starts when the control group last confirmed the state, not at the
	// start of the VM, since several restarts could otherwise use the seat beyond its lease. The earlier run has ended,
	// so no other process uses the seat until the control group assigns it again. The control group assigns it only
	// after the lease has expired, and the earlier run may have renewed the lease half a lease before the control group
	// last confirmed the state.
	earlierRunUseShare = 0.25
)

// SeatKeeper decides when this VM acquires a seat, renews it and acknowledges a change of the number of seats.
type SeatKeeper struct {
	holder model.Holder
	// seat and revision are from the last result of the control group. A disseminated state of that revision or a higher one
	// takes precedence over them.
	seat     model.Seat
	revision uint64
	useUntil time.Time
	renewAt  time.Time
	// acknowledged is the highest change that the control group has recorded as acknowledged since this VM acquired the
	// seat.
	acknowledged  uint64
	appliedChange uint64
	pending       bool
	notBefore     time.Time
	backoff       time.Duration
	released      bool
	// controlContact is when the control group last confirmed the state.
	controlContact time.Time
	// controlAnswered reports whether the control group has answered a command, so that the seat of an earlier run is no
	// longer used.
	controlAnswered bool
}

// NewSeatKeeper returns the keeper of a VM that starts.
func NewSeatKeeper(h model.Holder) *SeatKeeper {
	return &SeatKeeper{holder: h, seat: model.NoSeat, backoff: minSeatBackoff}
}

// SetControlContact records when the control group last confirmed the state; zero if it never did.
func (k *SeatKeeper) SetControlContact(at time.Time) { k.controlContact = at }

// Current returns the seat that this VM may use now.
func (k *SeatKeeper) Current(now time.Time, s *state.DisseminatedState) model.Seat {
	if !k.released && !k.controlAnswered {
		return k.earlierRunSeat(now, s)
	}
	if k.released || !now.Before(k.useUntil) {
		return model.NoSeat
	}
	if s.Revision >= k.revision {
		return s.SeatOf(k.holder)
	}
	return k.seat
}

// earlierRunSeat returns the seat of an earlier run of this VM, while it may be used. With it, a VM that restarts in a
// cut-off availability zone can serve requests.
func (k *SeatKeeper) earlierRunSeat(now time.Time, s *state.DisseminatedState) model.Seat {
	earlier, ok := s.EarlierRun(k.holder)
	if !ok || k.controlContact.IsZero() || now.Sub(k.controlContact) >= time.Duration(earlierRunUseShare*float64(s.Seats.Lease)) {
		return model.NoSeat
	}
	return s.SeatOf(earlier)
}

// Change returns the number of the last change of the number of seats that Current takes into account.
func (k *SeatKeeper) Change(s *state.DisseminatedState) uint64 {
	if s.Revision >= k.revision {
		return s.Seats.Change
	}
	return 0
}

// MarkChangeApplied records that this VM keeps to its share after a change, and has closed all connections beyond it.
func (k *SeatKeeper) MarkChangeApplied(change uint64) { k.appliedChange = max(k.appliedChange, change) }

// AppliedChange returns the highest change for which MarkChangeApplied was called.
func (k *SeatKeeper) AppliedChange() uint64 { return k.appliedChange }

// Command returns the command to be sent now, or nil. The caller has to pass its result to HandleResult.
func (k *SeatKeeper) Command(now time.Time, s *state.DisseminatedState) any {
	if k.released || k.pending || now.Before(k.notBefore) || s.Seats.Count == 0 {
		return nil
	}
	if !k.controlAnswered || k.Current(now, s).Index < 0 {
		k.pending = true
		return state.AcquireSeat{Holder: k.holder}
	}
	changing := s.Seats.Previous != s.Seats.Count && k.acknowledged < s.Seats.Change && k.appliedChange >= s.Seats.Change
	if changing || !now.Before(k.renewAt) {
		k.pending = true
		return state.RenewSeat{Holder: k.holder, Acknowledged: k.appliedChange}
	}
	return nil
}

// HandleResult handles the result of a command that was sent at sentAt. random is between 0 and 1 and spreads the
// commands of VMs that started or failed at the same time.
func (k *SeatKeeper) HandleResult(now, sentAt time.Time, command any, r state.SeatResult, err error, random float64) {
	k.pending = false
	k.controlAnswered = k.controlAnswered || err == nil
	if err != nil || r.Outcome != state.SeatHeld {
		if err == nil && r.Outcome == state.SeatLost {
			k.useUntil, k.acknowledged = time.Time{}, 0
		}
		k.notBefore = now.Add(time.Duration((0.5 + random/2) * float64(k.backoff)))
		k.backoff = min(2*k.backoff, maxSeatBackoff)
		return
	}
	k.backoff, k.notBefore = minSeatBackoff, time.Time{}
	k.seat, k.revision = r.Seat, r.StateRevision
	k.useUntil = sentAt.Add(state.SeatUseDuration(r.Lease))
	k.renewAt = sentAt.Add(time.Duration((0.9 + random/10) * float64(r.Lease) / renewalsPerLease))
	switch c := command.(type) {
	case state.AcquireSeat:
		k.acknowledged = 0 // An earlier command may have acquired the seat before the current change.
	case state.RenewSeat:
		k.acknowledged = max(k.acknowledged, c.Acknowledged)
	}
}

// Release stops the use of the seat and returns the command that releases it at the control group, or nil if there is
// none. The caller sends the command once all connections are closed.
func (k *SeatKeeper) Release() any {
	held := !k.released && !k.useUntil.IsZero()
	k.released = true
	if !held {
		return nil
	}
	return state.ReleaseSeat{Holder: k.holder}
}

// LayoutResultError returns the error for the result of a proposed layout. It is of kind conflict if the layout can
// never be committed.
func LayoutResultError(r state.CommitLayoutResult) error {
	switch r.Outcome {
	case state.LayoutCommitted, state.LayoutExists:
		return nil
	case state.LayoutsFull:
		return errs.New(errs.KindOverload, "move targets off old layouts", "the layout cannot be committed now: %s", r.Reason)
	}
	return errs.New(errs.KindConflict, "announce the layout under a new number", "the control group refused the layout (%s): %s", r.Outcome, r.Reason)
}
