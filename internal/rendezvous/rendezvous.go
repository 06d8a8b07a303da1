// Package rendezvous chooses a few VMs for a key by rendezvous hashing. Every VM that has the same list of names makes the
// same choice, and adding or removing a VM changes the choice only for keys that this VM is chosen for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Top returns the n VMs with the highest scores for the key, best first, or all if there are fewer.
func Top(key string, vms []model.VMName, n int) []model.VMName {
	type scored struct {
		vm    model.VMName
		score uint64
	}
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{vm, score(key, vm)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	out := make([]model.VMName, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.vm)
	}
	return out
}

func score(key string, vm model.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)        // Writing to a hash never fails.
	_, _ = d.Write([]byte{0})        // Writing to a hash never fails.
	_, _ = d.WriteString(string(vm)) // Writing to a hash never fails.
	return d.Sum64()
}
