package forward

import "time"

const (
	// budgetStep is the resolution of the window of a budget.
	budgetStep = 500 * time.Millisecond
	// hedgeReserve is the part of a budget that hedges leave to retries, which answer a failure.
	hedgeReserve = 0.1
)

// BudgetLimits bound the attempts beyond the first that one VM sends to a service.
type BudgetLimits struct {
	// Ratio is the allowed share of first attempts, Slack the allowed number beside it, both within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

type budgetCell struct {
	step          int64
	first, repeat float64
}

// Budget counts the attempts of one VM at one service in a sliding window. It is not safe for concurrent use.
type Budget struct {
	cells []budgetCell
	// rounding is added to what is allowed before the fraction is cut off.
	rounding float64
}

// NewBudget returns a budget that is not used yet. Rounding is a random number from 0 up to 1. It lets the budgets of all VMs
// together keep to their sum, since a few attempts for each VM would otherwise lose a large part to the fraction.
func NewBudget(rounding float64) *Budget { return &Budget{rounding: rounding} }

func (b *Budget) cell(now time.Time, window time.Duration) *budgetCell {
	if b.cells == nil {
		// One more cell than fits the window, so that a window that starts within a cell is counted whole.
		b.cells = make([]budgetCell, int(window/budgetStep)+1)
	}
	step := now.UnixNano() / int64(budgetStep)
	c := &b.cells[int(step%int64(len(b.cells)))]
	if c.step != step {
		*c = budgetCell{step: step}
	}
	return c
}

// First counts a first attempt.
func (b *Budget) First(now time.Time, l BudgetLimits) { b.cell(now, l.Window).first++ }

// Take counts a further attempt if the budget allows it.
func (b *Budget) Take(now time.Time, l BudgetLimits, hedge bool) bool {
	c := b.cell(now, l.Window)
	var first, repeat float64
	for _, x := range b.cells {
		if c.step-x.step < int64(len(b.cells)) {
			first, repeat = first+x.first, repeat+x.repeat
		}
	}
	allowed := l.Ratio*first + l.Slack
	if hedge {
		allowed *= 1 - hedgeReserve
	}
	if repeat+1 > allowed+b.rounding {
		return false
	}
	c.repeat++
	return true
}
