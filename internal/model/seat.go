package model

import "github.com/cespare/xxhash/v2"

// Seat is an entry VM's right to a share of the connections to every target.
type Seat struct {
	// Index is the seat's number, from 0. It is negative when the VM has no seat.
	Index int
	// Seats is the number of seats. While it changes, PreviousSeats is the old number; otherwise both are equal.
	Seats         int
	PreviousSeats int
}

// NoSeat is the value for a VM without a seat. Such a VM may not open connections to targets.
var NoSeat = Seat{Index: -1}

// ConnectionShare returns how many connections a VM with this seat may have to a target with the given limit. While
// the number of seats changes it is the smaller of both shares, so that VMs that have not yet received the change
// cannot push the sum over the limit.
func (s Seat) ConnectionShare(k TargetKey, limit int) int {
	share := seatShare(s.Index, s.Seats, k, limit)
	if s.PreviousSeats != s.Seats {
		share = min(share, seatShare(s.Index, s.PreviousSeats, k, limit))
	}
	return share
}

// seatShare divides the limit evenly among the seats. The remainder goes to seats rotated by the target's hash,
// so that with a limit below the number of seats each target has its own subset of VMs. The sum over all
// seats is exactly the limit.
func seatShare(index, seats int, k TargetKey, limit int) int {
	if index < 0 || index >= seats || limit <= 0 {
		return 0
	}
	offset := int(xxhash.Sum64String(k.String()) % uint64(seats))
	share := limit / seats
	if (index+offset)%seats < limit%seats {
		share++
	}
	return share
}
