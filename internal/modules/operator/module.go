// Package operator is the module operator.http, the HTTP API for operators. Every VM answers the status requests of
// other VMs; the API itself is served where [operator] listen is set.
package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/httperr"
	"github.com/chestnuttiller/chestnuttiller/internal/httpserver"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "operator"

const (
	// maxRequests limits the requests that are handled concurrently. There are few operators and monitoring systems.
	maxRequests = 64
	// readTimeout limits the time for a request to arrive, and idleTimeout the time between two requests.
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// defaultTimeout and maxTimeout limit the duration of a request. The response has to arrive before the client
	// gives up, since only a response can confirm that a change was certainly not made.
	defaultTimeout = 10 * time.Second
	maxTimeout     = time.Minute
	// maxHeaderBytes limits the headers of a request.
	maxHeaderBytes = 16 << 10
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "operator.http",
		New:   func() kernel.Module { return &Module{} },
		Needs: []kernel.Capability{kernel.CapLog},
		Wants: []kernel.Capability{kernel.CapMetrics, kernel.CapPeerTransport, kernel.CapControlClient, kernel.CapControlLog, kernel.CapStateMachine, kernel.CapReplicatedState, kernel.CapDirectory, kernel.CapForwarder},
		Settings: []settings.Key{
			{Section: section, Name: "listen", Kind: settings.KindAddress, Help: "address of the operator API, such as 127.0.0.1:7480; off when empty"},
		},
	})
}

// Module serves the operator API.
type Module struct {
	settings  *settings.Settings
	holder    model.Holder
	control   *kernel.Control
	readiness *kernel.Readiness
	now       func() time.Time
	logger    log.Logger
	// client, peers, controlLog, metrics, stateSource and explainer are nil where the settings leave out their module.
	client      kernel.ControlClient
	peers       kernel.PeerTransport
	controlLog  kernel.ControlLog
	metrics     kernel.MetricsSource
	stateSource kernel.StateSource
	explainer   kernel.Explainer

	listen           string
	server           *httpserver.Server
	requestsInFlight atomic.Int64
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.settings, m.holder, m.control, m.readiness, m.now = ctx.Settings, ctx.VM, ctx.Control, ctx.Readiness, ctx.Now
	m.logger, m.listen = ctx.Logger("operator"), ctx.Settings.String(section, "listen")
	// Each of these is nil where the settings leave out its module.
	m.client, _ = kernel.Lookup[kernel.ControlClient](ctx)
	m.peers, _ = kernel.Lookup[kernel.PeerTransport](ctx)
	m.controlLog, _ = kernel.Lookup[kernel.ControlLog](ctx)
	m.metrics, _ = kernel.Lookup[kernel.MetricsSource](ctx)
	m.stateSource, _ = kernel.Lookup[kernel.StateSource](ctx)
	m.explainer, _ = kernel.Lookup[kernel.Explainer](ctx)
	if m.peers != nil {
		m.peers.Handle(KindVMStatus, m.handleStatus)
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	if m.listen == "" {
		return nil
	}
	m.server = httpserver.New(m.listen, m.routes(), m.logger, httpserver.Options{
		ReadHeaderTimeout: readTimeout, BodyTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	return errs.Wrap(m.server.Start(), errs.KindInvalid, "choose a free address for [operator] listen", "cannot listen for the operator API")
}

// Addr returns the address of the API.
func (m *Module) Addr() string { return m.server.Addr() }

// Drain implements kernel.Drainer. It runs after callers are drained, so that operators can watch that, and before the control
// log, on which requests in flight may depend.
func (m *Module) Drain(ctx context.Context) error {
	if m.server == nil {
		return nil
	}
	return m.server.Drain(ctx, 0)
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.server == nil {
		return nil
	}
	return m.server.Stop()
}

func (m *Module) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = m.writeError
	e.GET(operatorapi.PathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(operatorapi.PathReady, m.ready)
	if m.metrics != nil {
		e.GET(operatorapi.PathMetrics, echo.WrapHandler(m.metrics.MetricsHandler()))
	}
	api := e.Group("", m.limitRequests)
	api.POST(operatorapi.PathConfig, m.apply)
	api.GET(operatorapi.PathConfig, m.config)
	api.GET(operatorapi.PathChange, m.changeOutcome)
	api.GET(operatorapi.PathHistory, m.history)
	api.GET(operatorapi.PathStatus, m.status)
	api.GET(operatorapi.PathTargets, m.targets)
	api.GET(operatorapi.PathMembers, m.members)
	api.POST(operatorapi.PathExplain, m.explain)
	return e
}

// limitRequests limits the number of requests that are handled concurrently, and the duration of each.
func (m *Module) limitRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer m.requestsInFlight.Add(-1)
		if m.requestsInFlight.Add(1) > maxRequests {
			return errs.New(errs.KindOverload, "send fewer requests at the same time", "more than %d requests are in progress", maxRequests)
		}
		timeout, err := timeoutOf(c.Request().Header.Get(operatorapi.HeaderTimeoutMS))
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

func timeoutOf(header string) (time.Duration, error) {
	if header == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errs.New(errs.KindInvalid, "write milliseconds as a whole number", "header %s has the value %q", operatorapi.HeaderTimeoutMS, header)
	}
	return time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond, nil
}

func (m *Module) ready(c echo.Context) error {
	reasons := m.readiness.Reasons()
	if len(reasons) == 0 {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.JSON(http.StatusServiceUnavailable, map[string][]string{"reasons": reasons})
}

// writeError writes the response to a failed request.
func (m *Module) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	body := operatorapi.EncodeError(err)
	status := httperr.StatusOf(body.Kind)
	if conflict, ok := err.(*conflictError); ok {
		body.Revision = uint64(conflict.revision)
	}
	if he, ok := err.(*echo.HTTPError); ok {
		status = he.Code
		body = operatorapi.Error{Kind: errs.KindInvalid, Message: http.StatusText(he.Code), Remedy: "see docs/operator-protocol.md for the paths and methods"}
		if he.Code == http.StatusNotFound {
			body.Kind = errs.KindNotFound
		}
	}
	if body.Remedy == "" {
		body.Remedy = "see the log of this VM"
	}
	_ = level.Info(m.logger).Log("msg", "request to the operator API failed", "path", c.Path(), "kind", body.Kind, "err", err)
	_ = c.JSON(status, body) // The client may have disconnected.
}

// read sends a query to the control group. It fails if no control VM is configured.
func (m *Module) read(ctx context.Context, query kernel.StateQuery) (kernel.StateAnswer, error) {
	if m.client == nil {
		return nil, errs.New(errs.KindUnavailable, "name control VMs in the settings", "no control VM is configured on this VM")
	}
	return m.client.Read(ctx, query)
}

func sortedNames[K ~string, V any](in map[K]V) []K {
	out := make([]K, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
