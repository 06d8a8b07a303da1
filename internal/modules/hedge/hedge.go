// Package hedge contains the modules hedge.none and hedge.quantile, the policies that decide when another attempt is
// sent for a shard whose first one is slow.
package hedge

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// minDelay is the lower limit of the delay of a hedge. Below it a hedge would mostly race replies that are already on
// the network.
const minDelay = time.Millisecond

func init() {
	register("hedge.none", func() kernel.Module { return none{} })
	register("hedge.quantile", func() kernel.Module { return quantile{} })
}

func register(id kernel.ModuleID, create func() kernel.Module) {
	kernel.Register(kernel.ModuleInfo{
		ID:       id,
		New:      create,
		Provides: []kernel.Capability{kernel.CapHedgePolicy},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
	})
}

// none never hedges.
type none struct{}

// HedgeAfter implements kernel.HedgePolicy.
func (none) HedgeAfter(kernel.HedgeInput) (time.Duration, bool) { return 0, false }

// quantile hedges an attempt after the latency quantile that the service configures, as measured for the shard. It sends
// no hedges while that latency is unknown, or while targets shed load, because a hedge would add to the load that they
// shed.
type quantile struct{}

// HedgeAfter implements kernel.HedgePolicy.
func (quantile) HedgeAfter(in kernel.HedgeInput) (time.Duration, bool) {
	if in.Shedding || in.QuantileLatency <= 0 || !in.Service.Idempotent {
		return 0, false
	}
	return max(in.QuantileLatency, minDelay), true
}
