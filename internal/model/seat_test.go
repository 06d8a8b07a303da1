package model

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against more connections to a target than its limit while VMs hold different views of a change of the
// number of seats: some have not received it, some use the smaller of both shares, and some already use the new number
// because all have acknowledged the change.
func TestConnectionSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oldSeats := rapid.IntRange(1, 20).Draw(t, "old")
		newSeats := rapid.IntRange(1, 20).Draw(t, "new")
		limit := rapid.SampledFrom([]int{1, 2, 3, 25, 30, 35, 110}).Draw(t, "limit")
		k := TargetKey{Service: "s", ID: TargetID(rapid.String().Draw(t, "id"))}
		allAcknowledged := rapid.Bool().Draw(t, "acknowledged")
		sum := 0
		for i := range max(oldSeats, newSeats) {
			seat := Seat{Index: i, Seats: newSeats, PreviousSeats: oldSeats}
			if rapid.Bool().Draw(t, "behind or ahead") {
				seat = Seat{Index: i, Seats: oldSeats, PreviousSeats: oldSeats}
				if allAcknowledged {
					seat = Seat{Index: i, Seats: newSeats, PreviousSeats: newSeats}
				}
			}
			sum += seat.ConnectionShare(k, limit)
		}
		require.LessOrEqual(t, sum, limit)
	})
}

// Guards against connections that no VM may use. When all VMs hold the same view, the shares add up to the limit.
func TestConnectionSharesUseWholeLimit(t *testing.T) {
	for _, limit := range []int{3, 25, 30, 35, 110} {
		sum := 0
		for i := range 9 {
			sum += Seat{Index: i, Seats: 9, PreviousSeats: 9}.ConnectionShare(TargetKey{Service: "s", ID: "a"}, limit)
		}
		require.Equal(t, limit, sum)
	}
}
