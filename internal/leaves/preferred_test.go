package leaves

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against more connections to a leaf than it accepts where there are more entry VMs than that, and against a VM
// that has no second leaf to ask.
func TestPreferredLeavesFitTheirConnections(t *testing.T) {
	const vms, services, accepts = 86, 36, 75
	zones := []model.AvailabilityZone{"a", "b", "c", "d", "e"}
	used := map[string]int{}
	for v := range vms {
		zone := zones[v%len(zones)]
		for s := range services {
			var list []*Member
			for i := range 3 {
				list = append(list, &Member{Leaf: Leaf{ID: fmt.Sprint("i", s, "-", i), AvailabilityZone: zones[i]}})
			}
			chosen := Preferred(model.VMName(fmt.Sprint("10.0.0.", v)), zone, list, 0.6*accepts/vms)
			require.Len(t, chosen, 2)
			own := false
			for _, m := range chosen {
				used[m.ID]++
				own = own || m.AvailabilityZone == zone
			}
			require.Equal(t, zone < "d", own, "the leaf of the own availability zone is among them")
		}
	}
	for id, n := range used {
		require.LessOrEqual(t, n, accepts, id)
	}
}

// Guards against leaves that are left out although there is room for connections to all.
func TestAllLeavesArePreferredWithRoom(t *testing.T) {
	list := []*Member{{Leaf: Leaf{ID: "a"}}, {Leaf: Leaf{ID: "b"}}, {Leaf: Leaf{ID: "c"}}}
	require.Equal(t, list, Preferred("v", "z", list, 1))
	require.Equal(t, list[:2], Preferred("v", "z", list[:2], 0.1))
	require.Len(t, Preferred("v", "z", list, 0.9), 3)
}
