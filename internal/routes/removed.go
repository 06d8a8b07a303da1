package routes

import (
	"cmp"
	"maps"
	"slices"
)

// maxRemovedKeys limits the removed keys that a VM remembers. Those that were removed first are forgotten first.
const maxRemovedKeys = 4096

// RemovedKeys remembers which version of the route table removed a key, so that a refusal can state it. It is immutable, and nil is
// empty.
type RemovedKeys struct {
	versions map[KeyDigest]Version
}

// RemovedBy returns the version that removed a key.
func (r *RemovedKeys) RemovedBy(key string) (v Version, ok bool) {
	if r == nil {
		return 0, false
	}
	v, ok = r.versions[DigestKey(key)]
	return v, ok
}

// After returns the removed keys once one table has taken the place of another, which may be nil.
func (r *RemovedKeys) After(before, after *Table) *RemovedKeys {
	out := map[KeyDigest]Version{}
	if r != nil {
		maps.Copy(out, r.versions)
	}
	if before != nil {
		for k := range before.byKey {
			out[k] = after.Version
		}
	}
	for k := range after.byKey {
		delete(out, k)
	}
	if excess := len(out) - maxRemovedKeys; excess > 0 {
		oldest := slices.SortedFunc(maps.Keys(out), func(a, b KeyDigest) int { return cmp.Compare(out[a], out[b]) })
		for _, k := range oldest[:excess] {
			delete(out, k)
		}
	}
	return &RemovedKeys{versions: out}
}

// CustomerChanges is what differs between the customers of two tables.
type CustomerChanges struct {
	// Names lists the customers that were added or removed, or have other keys or limits, in the order of the names.
	Names                  []string
	KeysAdded, KeysRemoved int
}

// CompareCustomers compares the customers of a table with those of an earlier one, which may be nil.
func CompareCustomers(before, after *Table) (c CustomerChanges) {
	if before == nil {
		before = &Table{}
	}
	changed := map[string]bool{}
	count := func(a, b *Table) (missing int) {
		for k, customer := range a.byKey {
			if other := b.byKey[k]; other == nil || other.Name != customer.Name {
				missing++
				changed[customer.Name] = true
			}
		}
		for i := range a.Customers {
			name := a.Customers[i].Name
			other := slices.IndexFunc(b.Customers, func(x Customer) bool { return x.Name == name })
			if other < 0 || !sameTerms(&a.Customers[i], &b.Customers[other]) {
				changed[name] = true
			}
		}
		return missing
	}
	c.KeysRemoved, c.KeysAdded = count(before, after), count(after, before)
	c.Names = slices.Sorted(maps.Keys(changed))
	return c
}

// sameTerms reports whether two states of a customer are equal apart from the keys.
func sameTerms(a, b *Customer) bool {
	sameRank := a.Rank == b.Rank || a.Rank != nil && b.Rank != nil && *a.Rank == *b.Rank
	return sameRank && a.Quota == b.Quota && slices.Equal(a.Regions, b.Regions)
}
