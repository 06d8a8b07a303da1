// Package metrics is the module metrics.tally. It keeps the process's metrics in a tally scope and reports them
// in the Prometheus format.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
)

// reportInterval is how often tally passes its values to the Prometheus registry.
const reportInterval = time.Second

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "metrics.tally",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Provides: []kernel.Capability{kernel.CapMetrics},
	})
}

// Module holds the root scope of the process's metrics.
type Module struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	m.handler = reporter.HTTPHandler()
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "chestnuttiller",
		Tags:           map[string]string{"vm": string(ctx.VM.VM), "availability_zone": string(ctx.AvailabilityZone)},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return nil
}

// Scope implements kernel.MetricsSource.
func (m *Module) Scope() tally.Scope { return m.scope }

// MetricsHandler implements kernel.MetricsSource.
func (m *Module) MetricsHandler() http.Handler { return m.handler }

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error { return m.closer.Close() }
