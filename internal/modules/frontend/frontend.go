// Package frontend is the module frontend.http, to which callers send queries and orders.
package frontend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/httpserver"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "frontend"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:      "frontend.http",
		New:     func() kernel.Module { return &Module{} },
		Needs:   []kernel.Capability{kernel.CapLog, kernel.CapQueryHandler},
		Wants:   []kernel.Capability{kernel.CapMetrics, kernel.CapClaimStore, kernel.CapReplicatedState},
		Enabled: kernel.ForQueries(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "listen", Kind: settings.KindAddress, Default: "127.0.0.1:7400", Help: "address for callers"},
			{Section: section, Name: "read_timeout", Kind: settings.KindDuration, Default: "5s", Min: 0.01, Max: 600, Help: "time for a caller to send its request"},
			{Section: section, Name: "idle_timeout", Kind: settings.KindDuration, Default: "120s", Min: 1, Max: 3600, Help: "time after which an idle connection of a caller is closed"},
			{Section: section, Name: "max_requests", Kind: settings.KindInt, Default: "10000", Min: 1, Max: 1000000, Help: "requests of callers that may be in progress at once"},
		},
	})
}

// maxHeaderBytes is the limit on the size of a request's headers.
const maxHeaderBytes = 16 << 10

// Module serves callers.
type Module struct {
	control     *kernel.Control
	readiness   *kernel.Readiness
	now         func() time.Time
	logger      log.Logger
	scope       tally.Scope
	handler     kernel.QueryHandler
	claims      kernel.ClaimStore
	listen      string
	drainDelay  time.Duration
	maxRequests int64

	server   *httpserver.Server
	draining atomic.Bool
	inFlight atomic.Int64
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.handler, err = kernel.Lookup[kernel.QueryHandler](ctx); err != nil {
		return err
	}
	// Orders can be looked up only if this VM has a claim store.
	m.claims, _ = kernel.Lookup[kernel.ClaimStore](ctx)
	m.control, m.readiness, m.now = ctx.Control, ctx.Readiness, ctx.Now
	m.logger, m.scope = ctx.Logger("frontend"), ctx.Scope("frontend")
	m.listen = ctx.Settings.String(section, "listen")
	m.drainDelay = ctx.Settings.DrainDelay
	m.maxRequests = int64(ctx.Settings.Int(section, "max_requests"))
	m.server = httpserver.New(m.listen, m.routes(), m.logger, httpserver.Options{
		ReadHeaderTimeout: ctx.Settings.Duration(section, "read_timeout"), BodyTimeout: ctx.Settings.Duration(section, "read_timeout"),
		IdleTimeout: ctx.Settings.Duration(section, "idle_timeout"), MaxHeaderBytes: maxHeaderBytes,
	})
	return nil
}

func (m *Module) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = m.writeError
	e.Use(m.trackRequest)
	e.POST(callerapi.PathQuery, m.query)
	e.GET(callerapi.PathOrder, m.order)
	e.GET(callerapi.PathReady, m.ready)
	e.GET(callerapi.PathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return e
}

// trackRequest counts the requests in progress and refuses those above the limit. During a drain it makes responses
// close their connections, so that callers connect to another VM.
func (m *Module) trackRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer m.inFlight.Add(-1)
		if m.draining.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		if m.inFlight.Add(1) > m.maxRequests {
			return tooManyRequests(m.maxRequests)
		}
		return next(c)
	}
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	return m.server.Start()
}

// Addr returns the address on which callers are served.
func (m *Module) Addr() string { return m.server.Addr() }

// Drain implements kernel.Drainer. Readiness has failed by now. The module continues to serve until the load
// balancer has noticed, and then answers the requests in flight.
func (m *Module) Drain(ctx context.Context) error {
	m.draining.Store(true)
	_ = level.Info(m.logger).Log("msg", "drain started; requests of callers are still served during the delay", "delay", m.drainDelay)
	err := m.server.Drain(ctx, m.drainDelay)
	_ = level.Info(m.logger).Log("msg", "drain ended; the server for callers is shut down", "in_flight", m.inFlight.Load(), "err", err)
	return err
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	return m.server.Stop()
}

// ready answers the readiness check of the load balancer.
func (m *Module) ready(c echo.Context) error {
	reasons := m.readiness.Reasons()
	if len(reasons) == 0 {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.JSON(http.StatusServiceUnavailable, map[string][]string{"reasons": reasons})
}
