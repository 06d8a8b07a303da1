package leaves

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// leastPreferred is how many leaves of a service a VM uses at least, so that a slow attempt can be hedged.
const leastPreferred = 2

// Preferred returns the leaves of a service that a VM keeps connections to. Share is how many connections to one leaf the
// VM may have on average. Where it is below 1, the VMs together are more than a leaf accepts connections, and each uses a
// part of the leaves: those of its own availability zone first, then those with the lowest hashes of VM and leaf, so that
// the VMs spread over all leaves without knowing each other. The others remain for trouble.
func Preferred(vm model.VMName, zone model.AvailabilityZone, list []*Member, share float64) []*Member {
	n := len(list)
	if share >= 1 || n <= leastPreferred {
		return list
	}
	type ranked struct {
		member *Member
		far    bool
		hash   uint64
	}
	order := make([]ranked, n)
	for i, m := range list {
		order[i] = ranked{m, m.AvailabilityZone != zone, xxhash.Sum64String(string(vm) + "\x00" + m.ID)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.far != b.far {
			if a.far {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	out := make([]*Member, min(max(leastPreferred, int(math.Round(share*float64(n)))), n))
	for i := range out {
		out[i] = order[i].member
	}
	return out
}
