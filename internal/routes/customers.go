package routes

import (
	"crypto/sha256"
	"math"
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// KeyDigest is the SHA-256 digest of a customer's key. Tables hold digests only, so that no key is logged, and so that the time
// of a lookup does not depend on how much of a key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Quota limits the requests of a customer across all VMs: to Rate requests per second on average, and to Burst more at once.
// A Rate of 0 means no limit, whatever the burst.
type Quota struct {
	Rate  float64
	Burst float64
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// Customer is a customer whose callers identify themselves with a key.
type Customer struct {
	Name string
	// Keys holds the digests of the customer's keys.
	Keys []KeyDigest
	// Rank takes the place of the rank of the route. It is nil where the customer has none.
	Rank  *int
	Quota Quota
	// Regions lists the regions whose leaves may get the customer's requests. Without any, all regions may.
	Regions []string
}

// buildCustomers validates the customers and builds the index of their keys.
func (t *Table) buildCustomers() error {
	names := make(map[string]bool, len(t.Customers))
	t.byKey = map[KeyDigest]*Customer{}
	for i := range t.Customers {
		c := &t.Customers[i]
		switch {
		case c.Name == "":
			return invalid("name every customer", "customer %d has no name", i)
		case !isHeaderValue(c.Name):
			return invalid("use printable ASCII characters without spaces at the ends", "the name of customer %d cannot be sent in a header", i)
		case names[c.Name]:
			return invalid("list each customer once", "customer %q is listed twice", c.Name)
		case !isAmount(c.Quota.Rate) || !isAmount(c.Quota.Burst):
			return invalid("use a rate and a burst of 0 or above", "customer %q has a rate of %v and a burst of %v", c.Name, c.Quota.Rate, c.Quota.Burst)
		}
		names[c.Name] = true
		for _, k := range c.Keys {
			if other := t.byKey[k]; other != nil && other != c {
				return invalid("give each customer keys of its own", "customers %q and %q share a key", other.Name, c.Name)
			}
			t.byKey[k] = c
		}
	}
	return nil
}

func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// isHeaderValue reports whether a text arrives unchanged as the value of a header.
func isHeaderValue(s string) bool {
	return s != "" && s[0] != ' ' && s[len(s)-1] != ' ' && !slices.ContainsFunc([]byte(s), func(b byte) bool { return b < ' ' || b > '~' })
}

// NeedsKey reports whether a request on the route needs the key of a customer.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Customers) > 0 && !r.Public }

// NeedsAllowances reports whether the table limits what all entry VMs do together.
func (t *Table) NeedsAllowances() bool {
	return slices.ContainsFunc(t.Customers, func(c Customer) bool { return c.Quota.IsLimited() }) ||
		slices.ContainsFunc(t.Services, func(s Service) bool { return s.WarmUpRate > 0 })
}

// CustomerOf returns the customer that holds a key, or nil.
func (t *Table) CustomerOf(key string) *Customer {
	if key == "" {
		return nil
	}
	return t.byKey[DigestKey(key)]
}

// Evacuations holds the availability zones to whose leaves nothing is sent. Revision increases with each change.
type Evacuations struct {
	Revision uint64
	// Zones is in the order of the names.
	Zones []model.AvailabilityZone
}

// Has reports whether a zone is evacuated.
func (e Evacuations) Has(zone model.AvailabilityZone) bool { return slices.Contains(e.Zones, zone) }
