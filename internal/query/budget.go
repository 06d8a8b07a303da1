package query

import "sync/atomic"

// microTokens is the number of budget units in one token, so that fractions of a token can be stored as integers.
const microTokens = 1_000_000

// minBurst is the lowest limit on the tokens that a budget accumulates. With fewer, a service of 3 shards could not
// spend its share at all.
const minBurst = 10

// Budget limits extra attempts to a share of first attempts. It is shared by the traffic goroutines of a service and
// costs one atomic operation for each query and one for each extra attempt.
type Budget struct {
	tokens atomic.Int64
}

// NewBudget returns a budget with an initial number of tokens.
func NewBudget(initial int) *Budget {
	b := &Budget{}
	b.tokens.Store(int64(initial) * microTokens)
	return b
}

// Deposit adds share tokens for each first attempt. The budget accumulates no more tokens than the burst.
func (b *Budget) Deposit(firstAttempts int, share float64, burst int) {
	limit := int64(max(burst, minBurst)) * microTokens
	if b.tokens.Load() >= limit {
		return
	}
	// Concurrent deposits may exceed the limit by one deposit each; Take brings the budget back below it.
	b.tokens.Add(int64(float64(firstAttempts) * share * microTokens))
}

// Take takes n tokens and reports whether the budget had them. If it had fewer, none are taken.
func (b *Budget) Take(n int) bool { return b.TakeAbove(n, 0) }

// TakeAbove takes n tokens if the budget still has the reserve afterwards. A negative reserve lets the budget be
// overdrawn by as much; later deposits pay it back.
func (b *Budget) TakeAbove(n, reserve int) bool {
	cost := int64(n) * microTokens
	required := cost + int64(reserve)*microTokens
	for {
		available := b.tokens.Load()
		if available < required {
			return false
		}
		if b.tokens.CompareAndSwap(available, available-cost) {
			return true
		}
	}
}

// Tokens returns the number of whole tokens in the budget.
func (b *Budget) Tokens() int { return int(b.tokens.Load() / microTokens) }
