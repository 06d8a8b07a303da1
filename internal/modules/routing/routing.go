// Package routing contains the modules routing.random and routing.least_loaded, the policies that choose the target
// of an attempt. A service names its policy in the configuration.
package routing

import (
	"math/rand/v2"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/routing"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	register("routing.random", routing.Random)
	register("routing.least_loaded", routing.LeastLoaded)
}

// Policy is a routing policy backed by a pure function.
type Policy struct {
	choose func([]kernel.Candidate, *rand.Rand) int
}

// Choose implements kernel.RoutingPolicy.
func (p *Policy) Choose(candidates []kernel.Candidate, random *rand.Rand) int {
	return p.choose(candidates, random)
}

func register(id kernel.ModuleID, choose func([]kernel.Candidate, *rand.Rand) int) {
	kernel.Register(kernel.ModuleInfo{
		ID:       id,
		New:      func() kernel.Module { return &Policy{choose: choose} },
		Provides: []kernel.Capability{kernel.CapRoutingPolicy},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
	})
}
