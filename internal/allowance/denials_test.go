package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against a denial for which the owner cannot state what it had and why no zone has lent units, and against reports that repeat
// or that leave out customers first.
func TestDenialsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewOwner(now, "az-0", []model.AvailabilityZone{"az-0", "az-1", "az-2", "az-3"}, rand.New(rand.NewPCG(1, 1)))
	limit := Limit{Rate: 4, Slack: 8, Version: 3}
	customer, leaf := Key{KindCustomer, "c"}, Key{KindColdLeaf, "l"}
	var out Effects
	o.Ask(now, Ask{ID: 1, Key: customer, Limit: limit, N: 1}, false, &out) // The zone's part of half of the slack is 1.
	require.Len(t, out.Replies, 1)
	require.Empty(t, o.TakeDenials())
	for _, b := range out.Borrows {
		switch b.Zone {
		case "az-1":
			o.Lent(now, b, 0, false, &out)
		case "az-2":
			o.Lent(now, b, 0, true, &out)
		}
	}
	for id := uint64(2); id < 5; id++ {
		o.Ask(now, Ask{ID: id, Key: customer, Limit: limit, N: 1}, false, &out)
		o.Ask(now, Ask{ID: 10 * id, Key: leaf, Limit: limit, N: 2}, false, &out)
	}
	o.Ask(now, Ask{ID: 50, Key: leaf, Limit: limit, N: 2}, false, &out)
	o.Tick(now.Add(BorrowWait), &out)
	denials := o.TakeDenials()
	require.Len(t, denials, 2)
	require.Equal(t, customer, denials[0].Key, "customers first")
	require.Equal(t, 3, denials[0].Count)
	require.Equal(t, limit, denials[0].Limit)
	require.Equal(t, 1.0, denials[0].Depth)
	require.Less(t, denials[0].Units, 1.0)
	require.Equal(t, "az-1 does not answer, az-2 has too few, az-3 has not answered yet", denials[0].Lenders)
	require.Equal(t, 4, denials[1].Count)
	require.Empty(t, o.TakeDenials())
}

// Guards against a refusal that does not name the owner because this VM repeats an earlier denial.
func TestRepeatedDenialsNameTheOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAsker(3, rand.New(rand.NewPCG(1, 1)))
	key, limit := Key{KindCustomer, "c"}, Limit{Rate: 1}
	a.Answered(now, key, limit, Answer{RetryAfter: time.Second, Owner: "vm-1"})
	answer, decided := a.Take(now, key, limit, 1)
	require.True(t, decided)
	require.Equal(t, model.VMName("vm-1"), answer.Owner)
	require.True(t, answer.Remembered)
}
