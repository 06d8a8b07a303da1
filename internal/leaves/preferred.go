package leaves

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Preferred returns the leaves of a service to which a VM keeps connections. count is their number, on average over the VMs;
// it is less than the number of leaves where there are more VMs than a leaf accepts connections. A VM prefers the leaves of its
// own availability zone, then those with the lowest hashes of VM and leaf, so that the VMs spread over all leaves without
// coordination. Leaves that are full are skipped unless all are. The leaves that are not preferred are used only when the
// preferred ones fail or are slow.
func Preferred(vm model.VMName, zone model.AvailabilityZone, list []*Member, count float64, full func(*Member) bool) []*Member {
	if count >= float64(len(list)) {
		return list
	}
	type ranked struct {
		member          *Member
		full, otherZone int
		hash            uint64
	}
	order := make([]ranked, len(list))
	for i, m := range list {
		order[i] = ranked{member: m, hash: xxhash.Sum64String(string(vm) + "\x00" + m.ID)}
		if full(m) {
			order[i].full = 1
		}
		if m.AvailabilityZone != zone {
			order[i].otherZone = 1
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.full, b.full), cmp.Compare(a.otherZone, b.otherZone), cmp.Compare(a.hash, b.hash))
	})
	// The count is rounded up on a share of the VMs that equals its fraction.
	fraction := float64(xxhash.Sum64String(string(vm)+"\x00"+string(list[0].Service))) / math.MaxUint64
	out := make([]*Member, max(1, int(count+fraction)))
	for i := range out {
		out[i] = order[i].member
	}
	return out
}
