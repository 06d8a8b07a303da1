package leaves

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

func notFull(*Member) bool { return false }

// threeLeaves returns three leaves of a service, in the first three of the zones.
func threeLeaves(service int, zones []model.AvailabilityZone) (list []*Member) {
	for i := range 3 {
		list = append(list, &Member{Leaf: Leaf{ID: fmt.Sprint("i", service, "-", i), Service: model.ServiceName(fmt.Sprint("s", service)), AvailabilityZone: zones[i]}})
	}
	return list
}

// Guards against VMs that cannot connect after all VMs lost power, because the leaves still count the connections from before
// and there are more entry VMs than a leaf accepts connections; and against VMs that do not prefer the leaf of their own zone.
func TestPreferredLeavesKeepToConnectionLimits(t *testing.T) {
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
	total, extra := 0, 0
	each(func(vm model.VMName, zone model.AvailabilityZone, list []*Member) {
		chosen := Preferred(vm, zone, list, 3*0.5*accepts/vms, notFull)
		total += len(chosen)
		extra += len(chosen) - 1
		ownZone := false
		for _, m := range chosen {
			used[m.ID]++
			ownZone = ownZone || m.AvailabilityZone == zone
		}
		require.Equal(t, zone < "d", ownZone, "a leaf of the VM's availability zone is preferred")
		require.Contains(t, chosen, Preferred(vm, zone, list, 1, notFull)[0])
	})
	require.InDelta(t, services*3*0.5*accepts, total, 100)
	require.Equal(t, total-vms*services, extra, "each VM prefers one or two leaves")
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

// Guards against a VM without a connection because its preferred leaf accepts no more connections.
func TestFullLeavesAreSkipped(t *testing.T) {
	list := threeLeaves(0, []model.AvailabilityZone{"a", "b", "c"})
	full := func(m *Member) bool { return m == list[0] }
	require.Equal(t, list[:1], Preferred("v", "a", list, 1, notFull))
	require.NotContains(t, Preferred("v", "a", list, 1, full), list[0])
	require.Len(t, Preferred("v", "a", list, 1, func(*Member) bool { return true }), 1)
}

// Guards against leaves that are not preferred although each VM may connect to all of them.
func TestAllLeavesArePreferredIfConnectionsSuffice(t *testing.T) {
	list := threeLeaves(0, []model.AvailabilityZone{"a", "b", "c"})
	require.Equal(t, list, Preferred("v", "z", list, 3, notFull))
	require.Equal(t, list[:1], Preferred("v", "z", list[:1], 0.1, notFull))
	require.Empty(t, Preferred("v", "z", nil, 0, notFull))
}
