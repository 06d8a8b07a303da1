package forward

import "time"

const (
	// budgetStep is the time that one cell of the window of a budget covers.
	budgetStep = 500 * time.Millisecond
	// hedgeReserve is the part of a budget that hedges must not use. It is reserved for retries, which respond to a failure.
	hedgeReserve = 0.1
)

// BudgetLimits limits the extra attempts that one VM sends to a service within Window.
type BudgetLimits struct {
	// Ratio is the allowed number of extra attempts for each first attempt. Slack is the number that is allowed in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

type budgetCell struct {
	step         int64
	first, extra float64
}

// Budget counts the attempts of one VM at one service in a sliding window. It is not safe for concurrent use.
type Budget struct {
	cells []budgetCell
	// rounding is added to the allowed number before its fraction is cut off.
	rounding float64
}

// NewBudget returns an unused budget. rounding is a random number from 0 up to 1. With it, the budgets of all VMs
// together allow the sum of their limits: a VM whose limit is only a few attempts would otherwise lose a large part of
// it to the fraction that is cut off.
func NewBudget(rounding float64) *Budget { return &Budget{rounding: rounding} }

func (b *Budget) cell(now time.Time, window time.Duration) *budgetCell {
	if b.cells == nil {
		// One more cell than the window has steps, so that a window that starts within a step is covered completely.
		b.cells = make([]budgetCell, int(window/budgetStep)+1)
	}
	step := now.UnixNano() / int64(budgetStep)
	c := &b.cells[int(step%int64(len(b.cells)))]
	if c.step != step {
		*c = budgetCell{step: step}
	}
	return c
}

// CountFirst counts a first attempt.
func (b *Budget) CountFirst(now time.Time, l BudgetLimits) { b.cell(now, l.Window).first++ }

// TryExtra counts an extra attempt if the budget allows it, and reports whether it does.
func (b *Budget) TryExtra(now time.Time, l BudgetLimits, hedge bool) bool {
	c := b.cell(now, l.Window)
	if u := b.Use(now, l, hedge); !u.AllowsOne() {
		return false
	}
	c.extra++
	return true
}

// BudgetUse is what the attempts of one VM at a service have used of its budget.
type BudgetUse struct {
	// First and Extra are the attempts in the window, and Allowed is how many extra ones are allowed in it.
	First, Extra, Allowed float64
}

// AllowsOne reports whether one more extra attempt is allowed.
func (u BudgetUse) AllowsOne() bool { return u.Extra+1 <= u.Allowed }

// Use returns the use of the budget for hedges or for retries. It counts nothing.
func (b *Budget) Use(now time.Time, l BudgetLimits, hedge bool) (u BudgetUse) {
	step := now.UnixNano() / int64(budgetStep)
	for _, x := range b.cells {
		if step-x.step < int64(len(b.cells)) {
			u.First, u.Extra = u.First+x.first, u.Extra+x.extra
		}
	}
	u.Allowed = l.Ratio*u.First + l.Slack
	if hedge {
		u.Allowed *= 1 - hedgeReserve
	}
	u.Allowed += b.rounding
	return u
}
