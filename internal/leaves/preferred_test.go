package leaves

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func notFull(*Member) bool { return false }

// threeLeaves are in the first three of five zones.
func threeLeaves(service int, zones []model.AvailabilityZone) (list []*Member) {
	for i := range 3 {
		list = append(list, &Member{Leaf: Leaf{ID: fmt.Sprint("i", service, "-", i), Service: model.ServiceName(fmt.Sprint("s", service)), AvailabilityZone: zones[i]}})
	}
	return list
}

// Guards against VMs that find no room for a connection after all have lost power, while the leaves still count those from
// before, where there are more entry VMs than connections; and against VMs that leave the leaf of their own zone out.
func TestPreferredLeavesFitTheirConnections(t *testing.T) {
	const vms, services, accepts = 86, 36, 75
	zones := []model.AvailabilityZone{"a", "b", "c", "d", "e"}
	used := map[string]int{}
	each := func(fn func(vm model.VMName, zone model.AvailabilityZone, list []*Member)) {
		for v := range vms {
			for s := range services {
				fn(model.VMName(fmt.Sprint("10.0.0.", v)), zones[v%len(zones)], threeLeaves(s, zones))
			}
		}
	}
	total, two := 0, 0
	each(func(vm model.VMName, zone model.AvailabilityZone, list []*Member) {
		chosen := Preferred(vm, zone, list, 3*0.5*accepts/vms, notFull)
		total += len(chosen)
		two += len(chosen) - 1
		own := false
		for _, m := range chosen {
			used[m.ID]++
			own = own || m.AvailabilityZone == zone
		}
		require.Equal(t, zone < "d", own, "the leaf of the own availability zone is among them")
		require.Contains(t, chosen, Preferred(vm, zone, list, 1, notFull)[0])
	})
	require.InDelta(t, services*3*0.5*accepts, total, 100)
	require.Equal(t, total-vms*services, two, "each VM has one or two")
	full := func(m *Member) bool { return used[m.ID] >= accepts }
	each(func(vm model.VMName, zone model.AvailabilityZone, list []*Member) {
		for _, m := range Preferred(vm, zone, list, 1, full) {
			used[m.ID]++
		}
	})
	for id, n := range used {
		require.LessOrEqual(t, n, accepts, id)
	}
}

// Guards against a VM without a connection because the leaf that it prefers accepts no more.
func TestFullLeavesArePassedOver(t *testing.T) {
	list := threeLeaves(0, []model.AvailabilityZone{"a", "b", "c"})
	full := func(m *Member) bool { return m == list[0] }
	require.Equal(t, list[:1], Preferred("v", "a", list, 1, notFull))
	require.NotContains(t, Preferred("v", "a", list, 1, full), list[0])
	require.Len(t, Preferred("v", "a", list, 1, func(*Member) bool { return true }), 1)
}

// Guards against leaves that are left out although there is room for connections to all.
func TestAllLeavesArePreferredWithRoom(t *testing.T) {
	list := threeLeaves(0, []model.AvailabilityZone{"a", "b", "c"})
	require.Equal(t, list, Preferred("v", "z", list, 3, notFull))
	require.Equal(t, list[:1], Preferred("v", "z", list[:1], 0.1, notFull))
	require.Empty(t, Preferred("v", "z", nil, 0, notFull))
}
