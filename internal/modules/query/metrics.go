package query

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// metrics creates the counters of each service once, since a lookup by name for each sub-request is expensive.
type metrics struct {
	scope    tally.Scope
	mu       sync.Mutex
	services map[model.ServiceName]*serviceMetrics
}

// serviceMetrics counts the attempts and answers of one service. Extra load is (hedges + retries) / first.
type serviceMetrics struct {
	first, hedges, retries tally.Counter
	late, dropped          tally.Counter
	restarts, noBudget     tally.Counter
	outcomes               map[model.Outcome]tally.Counter
	coverage               tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope, services: map[model.ServiceName]*serviceMetrics{}}
}

func (m *metrics) service(name model.ServiceName) *serviceMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.services[name]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"service": string(name)})
	s := &serviceMetrics{
		first: scope.Counter("attempts_first"), hedges: scope.Counter("attempts_hedge"), retries: scope.Counter("attempts_retry"),
		late: scope.Counter("replies_late"), dropped: scope.Counter("replies_dropped"), restarts: scope.Counter("snapshot_restarts"), noBudget: scope.Counter("attempts_without_budget"),
		outcomes: map[model.Outcome]tally.Counter{}, coverage: scope.Gauge("last_coverage"),
	}
	for _, o := range []model.Outcome{model.OutcomeComplete, model.OutcomePartial, model.OutcomeNotRun, model.OutcomeRefused, model.OutcomeFailed, model.OutcomeUnknown} {
		s.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("answers")
	}
	m.services[name] = s
	return s
}

func (m *serviceMetrics) answer(a *model.Answer) {
	m.outcomes[a.Outcome].Inc(1)
	m.first.Inc(int64(a.Stats.First))
	m.hedges.Inc(int64(a.Stats.Hedges))
	m.retries.Inc(int64(a.Stats.Retries))
	m.dropped.Inc(int64(a.Stats.Dropped))
	if a.Outcome == model.OutcomeComplete || a.Outcome == model.OutcomePartial {
		m.coverage.Update(a.Coverage)
	}
}
