package state

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// maxLeaseStep and leaseSteps limit how far one entry advances the lease clock: by 5 minutes, and by an eighth of
// the lease. A leader whose clock is far ahead, or a long time without a quorum, therefore does not make all leases
// expire at the same time. The lease clock never runs faster than the log's time, so a lease expires late rather than
// early.
const (
	maxLeaseStep = 5 * time.Minute
	leaseSteps   = 8
)

// seatUseShare is the part of a lease during which its holder uses the seat. The rest allows for differences
// between the clocks of control VMs and one step of the lease clock.
const seatUseShare = 0.75

// SeatUseDuration returns how long a VM continues to use its seat after it sent its last successful renewal.
func SeatUseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * seatUseShare)
}

// SeatTable assigns seats to runs of entry VMs. The shares of the entry VMs add up to no more than the connection
// limit of any target, because a change of the seat count has two phases. While Previous differs from Count, every VM
// uses the smaller of its two shares; the state leaves this phase only after each holder has acknowledged that it is
// in it. VMs that still use the old share and VMs that already use the new share therefore never exist at the same
// time.
type SeatTable struct {
	Count    int
	Previous int
	// Change is the number of the latest change of the seat count.
	Change uint64
	Lease  time.Duration
	// Holders lists the holder of each seat by index. Its length is the larger of Count and Previous.
	Holders []SeatHolder
	// Changed is the state revision at which Count, Previous, Change or Lease last changed.
	Changed uint64
}

// SeatHolder is the holder of one seat. Its VM is empty while the seat is free.
type SeatHolder struct {
	Index   int
	Holder  model.Holder
	Changed uint64
}

func (t SeatTable) clone() SeatTable {
	t.Holders = slices.Clone(t.Holders)
	return t
}

// index returns the index of the seat that a VM holds, whatever its incarnation.
func (t *SeatTable) index(vm model.VMName) (int, bool) {
	for i, h := range t.Holders {
		if h.Holder.VM == vm {
			return i, true
		}
	}
	return 0, false
}

// freeIndex returns the lowest free seat below Count. Seats at Count and above are removed by the change in progress.
func (t *SeatTable) freeIndex() (int, bool) {
	for i := 0; i < t.Count; i++ {
		if t.Holders[i].Holder.VM == "" {
			return i, true
		}
	}
	return 0, false
}

// seat returns the seat of one run of a VM, or model.NoSeat if this run holds none.
func (t *SeatTable) seat(h model.Holder) model.Seat {
	i, ok := t.index(h.VM)
	if !ok || t.Holders[i].Holder != h {
		return model.NoSeat
	}
	return model.Seat{Index: i, Seats: t.Count, PreviousSeats: t.Previous}
}

// seatLease is the part of a seat that changes with each renewal and is not disseminated.
type seatLease struct {
	// until is the time on the lease clock at which the lease expires.
	until        time.Duration
	acknowledged uint64
}

// seatLeases holds the leases of the seats by index. clock is the current time on the lease clock.
type seatLeases struct {
	clock time.Duration
	// wanted is the number of seats in the configuration in force.
	wanted int
	leases []seatLease
}

func (l *seatLeases) advance(from, to time.Time, lease time.Duration) {
	if !from.IsZero() {
		l.clock += min(to.Sub(from), maxLeaseStep, lease/leaseSteps)
	}
}

func (l *seatLeases) acknowledged() []uint64 {
	out := make([]uint64, len(l.leases))
	for i, lease := range l.leases {
		out[i] = lease.acknowledged
	}
	return out
}

// configure applies the number of seats and their lease from a new configuration.
func (l *seatLeases) configure(next *DisseminatedState, seats int, lease time.Duration) {
	l.wanted = seats
	if next.Seats.Lease != lease {
		next.Seats.Lease = lease
		next.markSeatsChanged()
	}
	l.beginChange(next)
}

// beginChange starts the change to the wanted number of seats unless a change is in progress.
func (l *seatLeases) beginChange(next *DisseminatedState) {
	t := &next.Seats
	if t.Previous != t.Count || t.Count == l.wanted {
		return
	}
	t.Previous, t.Count = t.Count, l.wanted
	if t.Previous == 0 {
		// With the first configuration no VM holds a seat yet.
		t.Previous = t.Count
	}
	t.Change++
	l.resize(next)
}

func (l *seatLeases) resize(next *DisseminatedState) {
	t := &next.Seats
	n := max(t.Count, t.Previous)
	for len(t.Holders) < n {
		t.Holders = append(t.Holders, SeatHolder{Index: len(t.Holders), Changed: next.markChanged()})
		l.leases = append(l.leases, seatLease{})
	}
	t.Holders, l.leases = t.Holders[:n], l.leases[:n]
	next.markSeatsChanged()
}

// completeChange ends a change once every holder has acknowledged it. Seats beyond the new number have a share of 0
// by then, so their holders lose the seat but no connections.
func (l *seatLeases) completeChange(next *DisseminatedState) {
	t := &next.Seats
	if t.Previous == t.Count {
		return
	}
	for i, h := range t.Holders {
		if h.Holder.VM != "" && l.leases[i].acknowledged < t.Change {
			return
		}
	}
	t.Previous = t.Count
	l.resize(next)
	l.beginChange(next)
}

func (l *seatLeases) expire(next *DisseminatedState) {
	for i, h := range next.Seats.Holders {
		if h.Holder.VM != "" && l.leases[i].until <= l.clock {
			l.assign(next, i, model.Holder{})
		}
	}
}

// assign assigns a seat to a holder; the empty holder frees it. The holder reads its seat from a state that includes
// the current phase, so using the seat counts as an acknowledgement of that phase.
func (l *seatLeases) assign(next *DisseminatedState, index int, h model.Holder) {
	next.setSeatHolder(index, h)
	l.leases[index] = seatLease{acknowledged: next.Seats.Change}
}

// extend renews a lease. It never shortens one: when the answer to this renewal is lost, the holder still relies on
// an earlier, longer lease.
func (l *seatLeases) extend(next *DisseminatedState, index int) {
	l.leases[index].until = max(l.leases[index].until, l.clock+next.Seats.Lease)
}

func (l *seatLeases) acquire(next *DisseminatedState, h model.Holder) SeatResult {
	l.expire(next)
	t := &next.Seats
	if !validHolder(h) {
		return SeatResult{Outcome: SeatNone, Seat: model.NoSeat}
	}
	i, ok := t.index(h.VM)
	switch {
	case ok && t.Holders[i].Holder.Incarnation > h.Incarnation:
		return SeatResult{Outcome: SeatLost, Seat: model.NoSeat}
	case ok && t.Holders[i].Holder.Incarnation < h.Incarnation:
		l.assign(next, i, h)
	case !ok:
		if i, ok = t.freeIndex(); !ok {
			return SeatResult{Outcome: SeatNone, Seat: model.NoSeat}
		}
		l.assign(next, i, h)
	}
	l.extend(next, i)
	return SeatResult{Outcome: SeatHeld, Seat: t.seat(h)}
}

func (l *seatLeases) renew(next *DisseminatedState, c RenewSeat) SeatResult {
	l.expire(next)
	t := &next.Seats
	i, ok := t.index(c.Holder.VM)
	if !ok || t.Holders[i].Holder != c.Holder {
		return SeatResult{Outcome: SeatLost, Seat: model.NoSeat}
	}
	acknowledged := min(c.Acknowledged, t.Change)
	l.leases[i].acknowledged = max(l.leases[i].acknowledged, acknowledged)
	l.extend(next, i)
	return SeatResult{Outcome: SeatHeld, Seat: t.seat(c.Holder)}
}

func (l *seatLeases) release(next *DisseminatedState, h model.Holder) SeatResult {
	if i, ok := next.Seats.index(h.VM); ok && next.Seats.Holders[i].Holder == h {
		l.assign(next, i, model.Holder{})
	}
	return SeatResult{Outcome: SeatLost, Seat: model.NoSeat}
}

// seatResult completes a result with the state after the command, since the command itself may have ended a change of
// the seat count.
func (s *State) seatResult(r SeatResult) SeatResult {
	t := &s.disseminated.Seats
	if r.Outcome == SeatHeld && r.Seat.Index < len(t.Holders) {
		r.Seat.Seats, r.Seat.PreviousSeats = t.Count, t.Previous
	} else {
		r.Seat = model.NoSeat
		if r.Outcome == SeatHeld {
			r.Outcome = SeatLost
		}
	}
	r.Change, r.Lease, r.StateRevision = t.Change, t.Lease, s.disseminated.Revision
	return r
}
