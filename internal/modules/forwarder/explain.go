package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Explain implements kernel.Explainer. It makes the checks of Forward in the same order and reads what they use.
func (m *Module) Explain(req *forward.Request) *forward.Explanation {
	view, now := m.control.View(), m.now()
	x := &forward.Explanation{At: now, Evacuations: view.Evacuations, Choice: m.choice}
	if view.Routes == nil {
		x.Refusal = notReady()
		return x
	}
	x.Version = view.Routes.Version
	if x.Route = view.Routes.Match(req.Host, req.Path); x.Route == nil {
		x.Refusal = noRoute()
		return x
	}
	req.HasCustomers = len(view.Routes.Customers) > 0
	if x.Customer, x.Refusal = forward.Identify(view.Routes, x.Route, req.Keys, view.RemovedKeys); x.Refusal != nil {
		return x // Regions of the customer may restrict the leaves, so there are no candidates to show.
	}
	req.Customer = x.Customer
	x.Rank = req.Rank(x.Route)
	x.Credit = m.quotas.known(req, view.Routes.Version)
	m.mu.Lock()
	unresponsive := slices.DeleteFunc(m.tracker.KnownUnresponsiveZones(), view.Evacuations.Has)
	x.HedgeDelay = m.tracker.HedgeDelay(x.Route.Name, x.Route.Objective)
	m.mu.Unlock()
	if x.Refusal = forward.RefuseUnreachable(x.Route, view.Leaves, unresponsive, m.filter(view, x.Route, x.Customer)); x.Refusal == nil {
		x.Refusal = forward.RefuseKnownDenial(x.Credit)
	}
	x.Services = forward.Shares(x.Route)
	m.explainRefusals(now, view, req, x)
	for i := range x.Services {
		m.explainService(now, view, x, &x.Services[i])
	}
	return x
}

// explainRefusals sets the early refusals of the services. A scatter-gather request has one for all shards.
func (m *Module) explainRefusals(now time.Time, view *kernel.View, req *forward.Request, x *forward.Explanation) {
	for i := range x.Services {
		s := &x.Services[i]
		if i > 0 && x.Route.IsScatterGather() {
			s.Refusal = x.Services[0].Refusal
			continue
		}
		s.Refusal = m.earlyRefusal(now, view, req, x.Route, s.Service)
	}
}

// earlyRefusal returns the refusal of a request before anything is sent, or nil. The runner is not served: its methods are only read.
func (m *Module) earlyRefusal(now time.Time, view *kernel.View, req *forward.Request, route *routes.Route, service model.ServiceName) *forward.Response {
	if route.IsScatterGather() {
		service = ""
	}
	if refusal := forward.RefuseNotAllowed(route, service, view.Leaves, m.filter(view, route, req.Customer)); refusal != nil {
		return refusal
	}
	r := &runner{module: m, ctx: context.Background(), req: req, route: route, service: service, version: view.Routes.Version, use: m.copyOfAccount(now, req)}
	return forward.NewRun(req, route, service, m.options, r).EarlyRefusal(now)
}

// copyOfAccount returns a copy of the account that accountOf returns.
func (m *Module) copyOfAccount(now time.Time, req *forward.Request) *forward.UseAccount {
	if !req.HasCustomers {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := req.Customer; c != nil {
		return m.use.Copy(now, c.Name, c.Quota.Rate)
	}
	return m.use.Copy(now, "", 0)
}

// explainService sets the candidates of a service and its budget.
func (m *Module) explainService(now time.Time, view *kernel.View, x *forward.Explanation, s *forward.ServiceExplanation) {
	var list []*leaves.Member
	if view.Leaves != nil {
		list = view.Leaves.Services[s.Service]
	}
	f := m.filter(view, x.Route, x.Customer)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Candidates = m.tracker.Compare(now, x.Route.Name, list, view.LeafOutliers, m.transport, func(l *leaves.Member) forward.Standing {
		if s := f.Standing(l); s != forward.StandingEligible {
			return s
		}
		if _, limited := m.warmUpLimit(now, l); limited && !m.cold.book.HasUnit(now, l.Key()) {
			return forward.StandingNoColdUnit
		}
		return forward.StandingEligible
	})
	b, l := m.budgets[s.Service], m.budgetLimits()
	if b == nil {
		b = forward.NewBudget(0) // It is created, with a random rounding, by the first request.
	}
	s.Retries, s.Hedges = b.Use(now, l, false), b.Use(now, l, true)
	if m.granter != nil {
		u := m.grants.Use(now, s.Service)
		s.Pool = &u
	}
}

// known returns what this VM knows of the credit of a request, without taking any, or nil where nothing limits it.
func (q *quotas) known(req *forward.Request, version routes.Version) *allowance.Known {
	if !isLimited(req) || q.allowances == nil {
		return nil
	}
	if o, ok := q.allowances.(kernel.AllowanceObserver); ok {
		k := o.Known(forward.QuotaKey(req.Customer), q.options.Limit(req.Customer.Quota, version))
		return &k
	}
	return &allowance.Known{Credit: allowance.CreditUnknown}
}
