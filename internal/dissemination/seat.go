package dissemination

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// seatBackoffFirst and seatBackoffLast bound the wait after a command that failed or found no free seat.
	seatBackoffFirst = 500 * time.Millisecond
	seatBackoffLast  = 30 * time.Second
	// renewalsPerLease is how often a lease is renewed. The seat is used for three quarters of the lease, so that
	// one renewal and its repetitions may fail.
	renewalsPerLease = 3
	// inheritedUseShare is the share of the lease for which a VM that restarts without contact to control uses the
	// seat of its earlier run. It counts from the last contact that the state had with control, and not from the
	// start, since several restarts could otherwise use the seat beyond its lease. That run has ended, so nobody else
	// uses the seat as long as control has not given it away; control does so only after the lease, and the earlier
	// run may have renewed it half a lease before that contact.
	inheritedUseShare = 0.25
)

// SeatKeeper decides when this VM asks for its seat, renews it and acknowledges a change of the number of seats.
type SeatKeeper struct {
	holder model.Holder
	// seat and revision are those of the last result of control. A disseminated state of that revision or a
	// higher one outweighs them.
	seat     model.Seat
	revision uint64
	useUntil time.Time
	renewAt  time.Time
	// acknowledged is the highest change that control has recorded for this run of the seat.
	acknowledged uint64
	takenUp      uint64
	pending      bool
	notBefore    time.Time
	backoff      time.Duration
	released     bool
	// contact is when control last confirmed the state.
	contact time.Time
	// answered says that control has answered a command, so that the seat of an earlier run no longer counts.
	answered bool
}

// NewSeatKeeper returns the keeper of a VM that starts.
func NewSeatKeeper(h model.Holder) *SeatKeeper {
	return &SeatKeeper{holder: h, seat: model.NoSeat, backoff: seatBackoffFirst}
}

// SetContact notes when control last confirmed the state; zero when it never did.
func (k *SeatKeeper) SetContact(at time.Time) { k.contact = at }

// Current returns the seat that this VM may use now.
func (k *SeatKeeper) Current(now time.Time, s *state.Shared) model.Seat {
	if !k.released && !k.answered {
		return k.inherited(now, s)
	}
	if k.released || !now.Before(k.useUntil) {
		return model.NoSeat
	}
	if s.Revision >= k.revision {
		return s.SeatOf(k.holder)
	}
	return k.seat
}

// inherited returns the seat of an earlier run of this VM. A VM that restarts in a cut-off availability zone serves
// with it what it can.
func (k *SeatKeeper) inherited(now time.Time, s *state.Shared) model.Seat {
	earlier, ok := s.EarlierRun(k.holder)
	if !ok || k.contact.IsZero() || now.Sub(k.contact) >= time.Duration(inheritedUseShare*float64(s.Seats.Lease)) {
		return model.NoSeat
	}
	return s.SeatOf(earlier)
}

// Change returns the number of the change that Current includes.
func (k *SeatKeeper) Change(s *state.Shared) uint64 {
	if s.Revision >= k.revision {
		return s.Seats.Change
	}
	return 0
}

// TakeUp notes that this VM uses no more than the share of a change, and has closed all connections beyond it.
func (k *SeatKeeper) TakeUp(change uint64) { k.takenUp = max(k.takenUp, change) }

// TakenUp returns the highest change that was taken up.
func (k *SeatKeeper) TakenUp() uint64 { return k.takenUp }

// Command returns the command to be sent now, or nil. It is followed by Result.
func (k *SeatKeeper) Command(now time.Time, s *state.Shared) any {
	if k.released || k.pending || now.Before(k.notBefore) || s.Seats.Count == 0 {
		return nil
	}
	if !k.answered || k.Current(now, s).Index < 0 {
		k.pending = true
		return state.AcquireSeat{Holder: k.holder}
	}
	changing := s.Seats.Previous != s.Seats.Count && k.acknowledged < s.Seats.Change && k.takenUp >= s.Seats.Change
	if changing || !now.Before(k.renewAt) {
		k.pending = true
		return state.RenewSeat{Holder: k.holder, Acknowledged: k.takenUp}
	}
	return nil
}

// Result handles the result of a command that was sent at a time. Random is from 0 to 1 and spreads the commands
// of VMs that started or failed together.
func (k *SeatKeeper) Result(now, sentAt time.Time, command any, r state.SeatResult, err error, random float64) {
	k.pending = false
	k.answered = k.answered || err == nil
	if err != nil || r.Outcome != state.SeatHeld {
		if err == nil && r.Outcome == state.SeatLost {
			k.useUntil, k.acknowledged = time.Time{}, 0
		}
		k.notBefore = now.Add(time.Duration((0.5 + random/2) * float64(k.backoff)))
		k.backoff = min(2*k.backoff, seatBackoffLast)
		return
	}
	k.backoff, k.notBefore = seatBackoffFirst, time.Time{}
	k.seat, k.revision = r.Seat, r.StateRevision
	k.useUntil = sentAt.Add(state.SeatUseDuration(r.Lease))
	k.renewAt = sentAt.Add(time.Duration((0.9 + random/10) * float64(r.Lease) / renewalsPerLease))
	switch c := command.(type) {
	case state.AcquireSeat:
		k.acknowledged = 0 // An earlier command may have taken the seat, before the present change.
	case state.RenewSeat:
		k.acknowledged = max(k.acknowledged, c.Acknowledged)
	}
}

// Release stops the use of the seat and returns the command that gives it back, or nil without one. The command
// is sent once all connections are closed.
func (k *SeatKeeper) Release() any {
	held := !k.released && !k.useUntil.IsZero()
	k.released = true
	if !held {
		return nil
	}
	return state.ReleaseSeat{Holder: k.holder}
}

// SettleError turns the result of a proposed layout into an error of kind conflict when it can never be settled.
func SettleError(r state.CommitLayoutResult) error {
	switch r.Outcome {
	case state.LayoutCommitted, state.LayoutExists:
		return nil
	case state.LayoutsFull:
		return errs.New(errs.KindOverload, "let targets leave old layouts", "the layout cannot be settled now: %s", r.Reason)
	}
	return errs.New(errs.KindConflict, "announce the layout under a new number", "the layout is refused (%s): %s", r.Outcome, r.Reason)
}
