package query

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/query"
)

// policyLookup finds policies by the names that the configuration uses.
type policyLookup struct{ ctx *kernel.Context }

// moduleID returns the module for a policy name: "least_loaded" and "routing.least_loaded" are the same routing
// policy.
func moduleID(kind, name string) kernel.ModuleID {
	if strings.Contains(name, ".") {
		return kernel.ModuleID(name)
	}
	return kernel.ModuleID(kind + "." + name)
}

// policies are the policies of one service under one configuration.
type policies struct {
	config  *model.ServiceConfig
	routing kernel.RoutingPolicy
	hedge   kernel.HedgePolicy
	retry   kernel.RetryPolicy
}

func (l policyLookup) find(c *model.ServiceConfig) (*policies, error) {
	p := &policies{config: c}
	var err error
	if p.routing, err = kernel.LookupModule[kernel.RoutingPolicy](l.ctx, moduleID("routing", c.Routing)); err != nil {
		return nil, err
	}
	if p.hedge, err = kernel.LookupModule[kernel.HedgePolicy](l.ctx, moduleID("hedge", c.Hedge)); err != nil {
		return nil, err
	}
	if p.retry, err = kernel.LookupModule[kernel.RetryPolicy](l.ctx, moduleID("retry", c.Retry)); err != nil {
		return nil, err
	}
	return p, nil
}

// initialRetries is the number of retries that a process may send before first attempts have filled the retry budget.
const initialRetries = 10

// service is the state that the executor keeps for one service across queries.
type service struct {
	name     model.ServiceName
	policies atomic.Pointer[policies]
	hedges   *query.Budget
	retries  *query.Budget
	metrics  *serviceMetrics

	plan     atomic.Pointer[planEntry]
	planLock sync.Mutex
}

// planEntry is a plan with the directory and the state revision that it was made from.
type planEntry struct {
	plan      *query.Plan
	directory *kernel.ServiceDirectory
	revision  uint64
	createdAt time.Time
}

// maxPlanAge is how long a plan is used before ejections are checked again. It limits the work for that to less than
// a hundredth of a core at 1,100 shards.
const maxPlanAge = 100 * time.Millisecond

func (e *Executor) service(name model.ServiceName) *service {
	if s, ok := e.services.Load(name); ok {
		return s.(*service)
	}
	s := &service{name: name, hedges: query.NewBudget(0), retries: query.NewBudget(initialRetries), metrics: e.metrics.service(name)}
	actual, _ := e.services.LoadOrStore(name, s)
	return actual.(*service)
}

// policiesFor returns the policies that a service configuration names. They are kept until the configuration changes.
func (e *Executor) policiesFor(s *service, c *model.ServiceConfig) (*policies, error) {
	if p := s.policies.Load(); p != nil && p.config == c {
		return p, nil
	}
	p, err := e.policies.find(c)
	if err != nil {
		return nil, err
	}
	s.policies.Store(p)
	return p, nil
}

// planFor returns the plan of a service for a view. One goroutine at a time makes a plan. If only ejections may have
// changed, the other goroutines use the previous plan until the new one is ready. If the directory has changed, they
// wait for the new plan, which takes less than a millisecond at 1,100 shards.
func (e *Executor) planFor(s *service, v *kernel.View, now time.Time) *query.Plan {
	directory := v.Targets(s.name)
	current := s.plan.Load()
	if current.matches(directory, v) {
		if now.Sub(current.createdAt) < maxPlanAge || !s.planLock.TryLock() {
			return current.plan
		}
	} else {
		s.planLock.Lock()
	}
	defer s.planLock.Unlock()
	if latest := s.plan.Load(); latest != current && latest.matches(directory, v) {
		return latest.plan
	}
	entry := &planEntry{plan: e.newPlan(s.name, v, directory, now), directory: directory, revision: v.StateRevision, createdAt: now}
	s.plan.Store(entry)
	return entry.plan
}

// matches reports whether the entry was made from the same directory and layouts.
func (p *planEntry) matches(directory *kernel.ServiceDirectory, v *kernel.View) bool {
	return p != nil && p.directory == directory && p.revision == v.StateRevision
}

func (e *Executor) newPlan(name model.ServiceName, v *kernel.View, d *kernel.ServiceDirectory, now time.Time) *query.Plan {
	if d == nil {
		return query.NewPlan(nil, nil, nil, nil)
	}
	var candidates []kernel.Candidate
	usable := func(holders []*model.Target) int {
		candidates = e.tracker.Candidates(candidates[:0], now, holders)
		n := 0
		for i := range candidates {
			if !candidates[i].Ejected && candidates[i].Limit > 0 {
				n++
			}
		}
		return n
	}
	return query.NewPlan(v.Layouts[name], d.Holders, d.Targets, usable)
}
