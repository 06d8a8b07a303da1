package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

const (
	// coldUnitExpiry is how long a VM keeps a unit for a cold leaf before it sends the request. Any second then holds the requests of
	// 1.4 s of granted units at most, and the limit of a cold leaf allows 1.5 times its rate.
	coldUnitExpiry = 400 * time.Millisecond
	// maxColdDenial limits how long no unit for a cold leaf is requested after a denial.
	maxColdDenial = 250 * time.Millisecond
	// coldRequestTimeout is how long the answer to a request for a unit may take before another one is sent.
	coldRequestTimeout = time.Second
	// ColdWait limits the wait for the answer to a request for a unit for a cold leaf.
	ColdWait = 100 * time.Millisecond
)

type coldUnits struct {
	units       int
	expiresAt   time.Time
	requestedAt time.Time
	deniedUntil time.Time
}

// ColdBook keeps, on an entry VM, the units of the allowances of cold leaves: each request to such a leaf takes one. It is not safe for
// concurrent use.
type ColdBook struct {
	leaves map[leaves.Key]*coldUnits
}

// NewColdBook returns an empty book.
func NewColdBook() *ColdBook { return &ColdBook{leaves: map[leaves.Key]*coldUnits{}} }

// Reserve takes a unit for a leaf, if there is one. request reports whether one has to be requested; the caller passes the answer to
// Answer. Until then, and after a denial, the leaf counts as having no connection.
func (b *ColdBook) Reserve(now time.Time, leaf leaves.Key) (ok, request bool) {
	c := b.leaves[leaf]
	if c == nil {
		c = &coldUnits{}
		b.leaves[leaf] = c
	}
	if !now.Before(c.expiresAt) {
		c.units = 0 // Expired units are lost: they may have been granted in an earlier second.
	}
	if c.units > 0 {
		c.units--
		return true, false
	}
	if now.Before(c.deniedUntil) || now.Sub(c.requestedAt) < coldRequestTimeout {
		return false, false
	}
	c.requestedAt = now
	return false, true
}

// HasUnit reports whether Reserve would take a unit for a leaf. It takes and requests none.
func (b *ColdBook) HasUnit(now time.Time, leaf leaves.Key) bool {
	c := b.leaves[leaf]
	return c != nil && c.units > 0 && now.Before(c.expiresAt)
}

// Release puts back a unit that Reserve has taken and that was not used. It expires as before.
func (b *ColdBook) Release(leaf leaves.Key) {
	if c := b.leaves[leaf]; c != nil {
		c.units++
	}
}

// Answer records the answer to the request of Reserve that was made at the given time, and returns when a request that waits for the
// leaf may try again.
func (b *ColdBook) Answer(now time.Time, leaf leaves.Key, requestedAt time.Time, granted bool, retryAfter time.Duration) (next time.Time) {
	c := b.leaves[leaf]
	if c == nil || !c.requestedAt.Equal(requestedAt) {
		return now
	}
	c.requestedAt = time.Time{}
	if !granted {
		c.deniedUntil = now.Add(min(max(retryAfter, roundDelay), maxColdDenial))
		return c.deniedUntil
	}
	if !now.Before(c.expiresAt) {
		c.units = 0
	}
	c.units++
	c.expiresAt = requestedAt.Add(coldUnitExpiry)
	return now
}

// Prune removes the leaves that were last asked for before the given time.
func (b *ColdBook) Prune(before time.Time) {
	for k, c := range b.leaves {
		if c.expiresAt.Before(before) && c.deniedUntil.Before(before) && c.requestedAt.Before(before) {
			delete(b.leaves, k)
		}
	}
}
