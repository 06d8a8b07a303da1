package routes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func tableWith(t *testing.T, version Version, customers ...Customer) *Table {
	table, err := Build(&Table{Version: version, Customers: customers})
	require.NoError(t, err)
	return table
}

func withKeys(name string, keys ...string) Customer {
	c := Customer{Name: name}
	for _, k := range keys {
		c.Keys = append(c.Keys, DigestKey(k))
	}
	return c
}

// Guards against a removed key that counts as unknown, one that counts as removed after it was added again, a version that a later
// change replaces, and a memory without bound.
func TestRemovedKeysAreRemembered(t *testing.T) {
	first := tableWith(t, 1, withKeys("one", "k1", "k2"))
	second := tableWith(t, 2, withKeys("one", "k2"), withKeys("two", "k3"))
	third := tableWith(t, 3, withKeys("two", "k3"))
	fourth := tableWith(t, 4, withKeys("one", "k2"))
	var none *RemovedKeys
	at := none.After(nil, first).After(first, second).After(second, third)
	removedBy := func(r *RemovedKeys, key string) Version { v, _ := r.RemovedBy(key); return v }
	require.Equal(t, []Version{2, 3, 0, 0}, []Version{removedBy(at, "k1"), removedBy(at, "k2"), removedBy(at, "k3"), removedBy(at, "k4")})
	at = at.After(third, fourth)
	require.Equal(t, []Version{2, 0, 4}, []Version{removedBy(at, "k1"), removedBy(at, "k2"), removedBy(at, "k3")})
	_, ok := none.RemovedBy("k1")
	require.False(t, ok)

	var keys []string
	for i := range maxRemovedKeys + 10 {
		keys = append(keys, fmt.Sprint(i))
	}
	many := tableWith(t, 5, withKeys("one", keys...))
	at = at.After(fourth, many).After(many, tableWith(t, 6))
	require.Len(t, at.versions, maxRemovedKeys)
	require.Zero(t, removedBy(at, "k1"), "the oldest is forgotten first")
}

// Guards against a change of customers that the log of a new table does not name.
func TestChangesOfCustomersAreCompared(t *testing.T) {
	rank, same := 1, 1
	before := tableWith(t, 1, withKeys("keys", "a", "b"), withKeys("moved", "c"), Customer{Name: "equal", Rank: &rank, Regions: []string{"r"}}, Customer{Name: "quota"}, withKeys("gone", "d"))
	after := tableWith(t, 2, withKeys("keys", "a", "e"), Customer{Name: "moved"}, Customer{Name: "equal", Rank: &same, Regions: []string{"r"}},
		Customer{Name: "quota", Quota: Quota{Rate: 1}}, withKeys("added", "c"))
	require.Equal(t, CustomerChanges{Names: []string{"added", "gone", "keys", "moved", "quota"}, KeysAdded: 2, KeysRemoved: 3}, CompareCustomers(before, after))
	require.Empty(t, CompareCustomers(after, after).Names)
	require.Equal(t, 4, CompareCustomers(nil, before).KeysAdded)
}
