package leaves

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Preferred returns the leaves of a service that a VM keeps connections to. Wanted is to how many of them, on average over
// the VMs; it is fewer than all where the VMs together are more than a leaf accepts connections. A VM uses the leaves of its
// own availability zone first, then those with the lowest hashes of VM and leaf, so that the VMs spread over all leaves
// without knowing each other. Leaves that are full are passed over unless all are. The others remain for trouble.
func Preferred(vm model.VMName, zone model.AvailabilityZone, list []*Member, wanted float64, full func(*Member) bool) []*Member {
	if wanted >= float64(len(list)) {
		return list
	}
	type ranked struct {
		member    *Member
		full, far int
		hash      uint64
	}
	order := make([]ranked, len(list))
	for i, m := range list {
		order[i] = ranked{member: m, hash: xxhash.Sum64String(string(vm) + "\x00" + m.ID)}
		if full(m) {
			order[i].full = 1
		}
		if m.AvailabilityZone != zone {
			order[i].far = 1
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.full, b.full), cmp.Compare(a.far, b.far), cmp.Compare(a.hash, b.hash))
	})
	// The fraction is rounded up on as many VMs as it says.
	fraction := float64(xxhash.Sum64String(string(vm)+"\x00"+string(list[0].Service))) / math.MaxUint64
	out := make([]*Member, max(1, int(wanted+fraction)))
	for i := range out {
		out[i] = order[i].member
	}
	return out
}
