// Package announce is the module announce.http. It serves POST /v1/announce to targets and passes the decoded
// announcements to the directory.
package announce

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/httperr"
	"github.com/chestnuttiller/chestnuttiller/internal/httpserver"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

const section = "announce"

const (
	maxHeaderBytes = 8 << 10
	// maxDecoding limits the announcements that are read concurrently, and with them the memory for their bodies.
	maxDecoding = 64
	// announceTimeout limits how long an announcement waits for the control goroutine.
	announceTimeout = 2 * time.Second
	idleTimeout     = 60 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:      "announce.http",
		New:     func() kernel.Module { return &Module{} },
		Needs:   []kernel.Capability{kernel.CapLog, kernel.CapDirectory},
		Wants:   []kernel.Capability{kernel.CapMetrics},
		Enabled: kernel.ForQueries(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "listen", Kind: settings.KindAddress, Default: "127.0.0.1:7401", Help: "address for announcements of targets"},
			{Section: section, Name: "advertise", Kind: settings.KindAddress, Help: "address in the announce URL that targets receive; the address of listen when empty"},
			{Section: section, Name: "read_timeout", Kind: settings.KindDuration, Default: "5s", Min: 0.01, Max: 60, Help: "longest time for an announcement to arrive"},
			{Section: section, Name: "max_connections", Kind: settings.KindInt, Default: "4096", Min: 1, Max: 1 << 20, Help: "maximum number of connections from targets"},
		},
	})
}

// Module serves the announcements of targets.
type Module struct {
	logger         log.Logger
	scope          tally.Scope
	directory      kernel.TargetDirectory
	listen         string
	maxConnections int
	server         *httpserver.Server
	// decoding is a semaphore for the announcements that are being read.
	decoding chan struct{}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.directory, err = kernel.Lookup[kernel.TargetDirectory](ctx); err != nil {
		return err
	}
	m.logger, m.scope = ctx.Logger("announce"), ctx.Scope("announce")
	m.listen, m.maxConnections = ctx.Settings.String(section, "listen"), ctx.Settings.Int(section, "max_connections")
	m.decoding = make(chan struct{}, maxDecoding)
	advertise := ctx.Settings.String(section, "advertise")
	if advertise == "" {
		advertise = m.listen
	}
	m.directory.SetAnnounceURL("http://" + advertise + targetapi.PathAnnounce)
	timeout := ctx.Settings.Duration(section, "read_timeout")
	m.server = httpserver.New(m.listen, m.routes(), m.logger, httpserver.Options{
		ReadHeaderTimeout: timeout, BodyTimeout: timeout, WriteTimeout: timeout + announceTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, MaxConnections: m.maxConnections,
	})
	return nil
}

func (m *Module) routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = func(err error, c echo.Context) { m.writeError(c, routeError(err)) }
	e.POST(targetapi.PathAnnounce, m.announce)
	return e
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	return errs.Wrap(m.server.Start(), errs.KindInvalid, "give [announce] listen a free address of this VM", "cannot listen for announcements")
}

// Addr returns the address of the listener.
func (m *Module) Addr() string { return m.server.Addr() }

// Stop implements kernel.Stopper. Announcements are accepted until Stop runs, because the requests that are still in
// flight depend on the state of targets.
func (m *Module) Stop(ctx context.Context) error {
	_ = m.server.Drain(ctx, 0) // It logs its error. Announcements that are left are cut off, and their targets announce again.
	return m.server.Stop()
}

func (m *Module) announce(c echo.Context) error {
	select {
	case m.decoding <- struct{}{}:
		defer func() { <-m.decoding }()
	default:
		return errs.New(errs.KindOverload, "announce again, or announce to another entry VM", "%d announcements are being read", maxDecoding)
	}
	a, err := targetapi.Decode(http.MaxBytesReader(c.Response(), c.Request().Body, targetapi.MaxAnnouncementBytes))
	if err != nil {
		return bodyError(err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), announceTimeout)
	defer cancel()
	result, err := m.directory.Announce(ctx, a)
	if err != nil {
		return err
	}
	m.scope.Counter("accepted").Inc(1)
	return c.JSON(http.StatusOK, targetapi.AnnounceResponse{Responsible: result.Responsible, NeedLayout: result.NeedLayout})
}

// bodyError returns a typed error for a body above the size limit. Other errors are returned unchanged.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errs.New(errs.KindTooLarge, "leave out the shards of the layout on renewals", "announcement is larger than %d bytes", tooLarge.Limit)
	}
	return err
}

// routeError returns a typed error for an error of the router. Other errors are returned unchanged.
func routeError(err error) error {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		return errs.New(errs.KindNotFound, "use POST "+targetapi.PathAnnounce, "no such path or method")
	}
	return err
}

// writeError counts and logs a refused announcement and writes the response.
func (m *Module) writeError(c echo.Context, err error) {
	if c.Response().Committed {
		return
	}
	m.scope.Counter("refused").Inc(1)
	kind := errs.KindOf(err)
	_ = level.Debug(m.logger).Log("msg", "announcement refused", "from", c.RealIP(), "kind", kind, "err", err)
	_ = c.JSON(httperr.StatusOf(kind), httperr.Encode(err)) // The target may have disconnected.
}
