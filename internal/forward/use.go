package forward

import "time"

const (
	// useHalfLife is the half-life of the work of a customer. Bursts of one customer last 5 to 7 s, and the places of a service that
	// is full change within a second.
	useHalfLife = 3 * time.Second
	// useExpiry is the time without requests after which a customer is forgotten. What it has used then counts for nothing.
	useExpiry = 20 * useHalfLife
)

// ServiceUse keeps how much work the leaves did lately for each customer of this VM. It is not safe for concurrent use.
type ServiceUse struct {
	accounts map[string]*UseAccount
	// maxRate is the highest quota of a customer, in requests/s.
	maxRate float64
}

// UseAccount is the use of one customer.
type UseAccount struct {
	all *ServiceUse
	// rate is the customer's quota in requests/s, or 0 without a limit.
	rate float64
	// work is the time at leaves in seconds, as of at. lastUsed is when the last request came.
	work         float64
	at, lastUsed time.Time
}

// NewServiceUse returns a record without customers.
func NewServiceUse() *ServiceUse { return &ServiceUse{accounts: map[string]*UseAccount{}} }

// Account returns the account of a customer that makes a request. rate is its quota in requests/s, or 0 without a limit.
func (u *ServiceUse) Account(now time.Time, customer string, rate float64) *UseAccount {
	a := u.accounts[customer]
	if a == nil {
		a = &UseAccount{all: u, at: now}
		u.accounts[customer] = a
	}
	a.rate, a.lastUsed = rate, now
	u.maxRate = max(u.maxRate, rate)
	return a
}

// Copy returns a copy of the account of a customer, which is new if the customer has none.
func (u *ServiceUse) Copy(now time.Time, customer string, rate float64) *UseAccount {
	a := UseAccount{all: u, at: now}
	if known := u.accounts[customer]; known != nil {
		a = *known
	}
	a.rate = rate
	return &a
}

// Add adds work to the account. It is negative where less was done than was added before.
func (a *UseAccount) Add(now time.Time, work time.Duration) {
	if a == nil {
		return
	}
	a.work, a.at = max(a.decayed(now)+work.Seconds(), 0), now
}

func (a *UseAccount) decayed(now time.Time) float64 {
	return a.work * halved(now, a.at, useHalfLife)
}

// Share returns the work of late in proportion to the customer's quota. Without this proportion, the smallest customers would be
// served whole in a burst of all customers and the largest hardly ever. A customer without a limit counts as one with the highest
// quota. The account of a request without a customer is nil, and its share is 0.
func (a *UseAccount) Share(now time.Time) float64 {
	if a == nil {
		return 0
	}
	rate := a.rate
	if rate <= 0 {
		rate = a.all.maxRate
	}
	if rate <= 0 {
		rate = 1 // No customer has a quota: all are equal.
	}
	return a.decayed(now) / rate
}

// Prune removes the customers without requests for useExpiry.
func (u *ServiceUse) Prune(now time.Time) {
	u.maxRate = 0
	for name, a := range u.accounts {
		if now.Sub(a.lastUsed) > useExpiry {
			delete(u.accounts, name)
			continue
		}
		u.maxRate = max(u.maxRate, a.rate)
	}
}
