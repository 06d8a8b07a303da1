// Package forwarder is the module forward.routes. It runs the requests that are routed by host and path on traffic
// goroutines, with the decisions of package forward.
package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "forward"

const (
	// forgetInterval is how often observations of leaves that are not used any more are dropped, and forgetAfter how
	// old they are then.
	forgetInterval = 10 * time.Second
	forgetAfter    = time.Minute
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "forward.routes",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapLeafTransport, kernel.CapLeafReporter},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapForwarder},
		Enabled:  kernel.ForRoutes(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "caller_delay", Kind: settings.KindDuration, Default: "12ms", Max: 10, Help: "time that a request and its answer travel between callers and this VM, together; a new connection of the caller included"},
			{Section: section, Name: "answer_work", Kind: settings.KindDuration, Default: "1500us", Max: 1, Help: "processor time, on a whole core, from the first byte of a request to its arrival here and from the decision to answer to the last byte"},
			{Section: section, Name: "hedge_quantile", Kind: settings.KindFloat, Default: "0.92", Min: 0.5, Max: 0.999, Help: "quantile of the latency of a route after which an attempt is hedged"},
			{Section: section, Name: "repeat_ratio", Kind: settings.KindFloat, Default: "0.2", Max: 10, Help: "attempts beyond the first that all entry VMs together may send to a service, as a share of the requests for it"},
			{Section: section, Name: "repeat_slack", Kind: settings.KindInt, Default: "50", Max: 1000000, Help: "attempts beyond the first that are allowed beside the share"},
			{Section: section, Name: "repeat_window", Kind: settings.KindDuration, Default: "10s", Min: 1, Max: 600, Help: "time over which attempts beyond the first are counted"},
		},
	})
}

// budgetSafety keeps the attempts of all VMs below the bound although each counts by itself and their number may be
// known late.
const budgetSafety = 0.85

// lingerLimit is how long attempts go on that are still unanswered when the request is finished. Breaking them off
// closes their connections, and a usual pause of a leaf is shorter.
const lingerLimit = 250 * time.Millisecond

// Module runs requests.
type Module struct {
	run       context.Context
	cancel    context.CancelFunc
	control   *kernel.Control
	readiness *kernel.Readiness
	transport kernel.LeafTransport
	logger    log.Logger
	metrics   metrics
	options   forward.Options
	limits    forward.BudgetLimits
	now       func() time.Time

	started time.Time

	mu      sync.Mutex
	tracker *forward.Tracker
	budgets map[model.ServiceName]*forward.Budget
	random  *rand.Rand
	waiters waiters
	// forgotten is when old observations were dropped last.
	forgotten time.Time
	samples   sampler
	// ejections bounds the lines about ejected leaves.
	ejections sampler
	zones     zoneWatch
	reporter  kernel.LeafReporter
	// reporting says that a goroutine reports what this VM sees of leaves. The lock guards it.
	reporting bool
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.control, m.logger, m.now = ctx.Control, ctx.Logger("forward"), ctx.Now
	m.readiness, m.started = ctx.Readiness, ctx.Now()
	m.run, m.cancel = context.WithCancel(context.Background())
	m.metrics = newMetrics(ctx.Scope("forward"))
	m.options = forward.Options{CallerDelay: callerDelay(s)}
	m.limits = forward.BudgetLimits{
		Ratio:  budgetSafety * s.Float(section, "repeat_ratio"),
		Slack:  budgetSafety * float64(s.Int(section, "repeat_slack")),
		Window: s.Duration(section, "repeat_window"),
	}
	m.random = ctx.Random()
	m.tracker = forward.NewTracker(forward.TrackerOptions{Zone: ctx.AvailabilityZone, HedgeQuantile: s.Float(section, "hedge_quantile")}, ctx.Random())
	m.budgets = map[model.ServiceName]*forward.Budget{}
	m.waiters = waiters{}
	var err error
	if m.reporter, err = kernel.Lookup[kernel.LeafReporter](ctx); err != nil {
		return err
	}
	m.transport, err = kernel.Lookup[kernel.LeafTransport](ctx)
	return err
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	return nil
}

// callerDelay returns how long before the end of the objective an answer has to leave. Reading a request and writing its
// answer take longer on a VM with a small share of a core.
func callerDelay(s *settings.Settings) time.Duration {
	work := float64(s.Duration(section, "answer_work")) / s.Float("vm", "cpu_share")
	return s.Duration(section, "caller_delay") + time.Duration(work)
}

// Forward implements kernel.Forwarder. One request is handled with one route table from beginning to end.
func (m *Module) Forward(ctx context.Context, req *forward.Request) *forward.Response {
	view := m.control.View()
	if view.Routes == nil {
		return m.end(req, nil, &forward.Response{Kind: forward.KindNotReady, RetryAfter: notReadyPause, Reason: "no route table is known yet"})
	}
	route := view.Routes.Match(req.Host, req.Path)
	if route == nil {
		return m.end(req, nil, &forward.Response{Kind: forward.KindNoRoute, Reason: "no route matches"})
	}
	if x := forward.RefuseUnreachable(route, view.Leaves, m.silentZones(m.now())); x != nil {
		return m.end(req, nil, x)
	}
	r := &runner{module: m, ctx: ctx, req: req, route: route, version: view.Routes.Version, wakes: make(chan struct{}, 1)}
	var service model.ServiceName
	if !route.Gathers() {
		m.mu.Lock()
		service = route.Pick(m.random.Float64())
		m.mu.Unlock()
	}
	r.run = forward.NewRun(req, route, service, m.options, r)
	return m.end(req, r, r.serve())
}

// notReadyPause is when a caller may come back to a VM that has just started: routes are known within it as a rule.
const notReadyPause = 300 * time.Millisecond

// forget drops old observations from time to time. The caller holds the lock.
func (m *Module) forget(now time.Time) {
	if now.Sub(m.forgotten) > forgetInterval {
		m.forgotten = now
		m.tracker.Prune(now.Add(-forgetAfter))
	}
}

// budget returns the budget of a service and its limits, of which each entry VM has an equal part of the slack. The
// caller holds the lock.
func (m *Module) budget(service model.ServiceName) (*forward.Budget, forward.BudgetLimits) {
	b := m.budgets[service]
	if b == nil {
		b = forward.NewBudget(m.random.Float64())
		m.budgets[service] = b
	}
	l := m.limits
	l.Slack /= float64(m.control.View().SharingVMs())
	if m.now().Sub(m.started) < l.Window {
		l.Slack = 0 // An earlier run of this VM may have used its part.
	}
	return b, l
}

// members returns the leaves of a service.
func (m *Module) members(service model.ServiceName) []*leaves.Member {
	if index := m.control.View().Leaves; index != nil {
		return index.Services[service]
	}
	return nil
}

type metrics struct {
	scope                             tally.Scope
	first, retries, hedges, cancelled tally.Counter
	latency                           tally.Histogram
	silentZones                       tally.Gauge
}

// latencyBuckets cover an answer within a zone at 1 ms up to a caller's patience of 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(s tally.Scope) metrics {
	attempts := func(cause string) tally.Counter {
		return s.Tagged(map[string]string{"cause": cause}).Counter("attempts")
	}
	return metrics{
		scope: s, first: attempts("first"), retries: attempts("retry"), hedges: attempts("hedge"),
		cancelled: s.Counter("attempts_cancelled"), latency: s.Histogram("latency", latencyBuckets),
		silentZones: s.Gauge("silent_zones"),
	}
}
