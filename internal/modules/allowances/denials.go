package allowances

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
)

const (
	// denialLogInterval is the time between two reports of what this VM has denied as an owner.
	denialLogInterval = time.Second
	// maxDenialLines limits the log lines of one report. The other allowances are counted.
	maxDenialLines = 10
)

// denialsToLog returns what is to be logged now. It is called with the lock held.
func (m *Module) denialsToLog(now time.Time) []allowance.Denial {
	if now.Sub(m.denialsLoggedAt) < denialLogInterval {
		return nil
	}
	m.denialsLoggedAt = now
	return m.owner.TakeDenials()
}

// logDenials writes one line for each allowance of which this VM, as its owner, has denied units.
func (m *Module) logDenials(list []allowance.Denial) {
	for i, d := range list[:min(len(list), maxDenialLines)] {
		fields := []any{
			"msg", "allowance denied", fieldOf(d.Key.Kind), d.Key.Name, "denied", d.Count, "units", rounded(d.Units), "depth", rounded(d.Depth),
			"rate_of_all_zones", d.Limit.Rate, "version", d.Limit.Version, "lenders", d.Lenders,
		}
		if leftOut := len(list) - maxDenialLines; i == maxDenialLines-1 && leftOut > 0 {
			fields = append(fields, "lines_left_out", leftOut)
		}
		_ = level.Warn(m.logger).Log(fields...)
	}
}

// rounded keeps two decimals of a number of units.
func rounded(units float64) float64 { return math.Round(units*100) / 100 }

// fieldOf returns the field of log lines that names an allowance of a kind.
func fieldOf(k allowance.Kind) string {
	switch k {
	case allowance.KindCustomer:
		return "customer"
	case allowance.KindExtra:
		return "service"
	}
	return "leaf"
}
