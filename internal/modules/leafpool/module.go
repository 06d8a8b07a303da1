// Package leafpool is the module transport.leaves. It sends attempts to leaves over connections that are kept open, and limits
// them so that all entry VMs together open no more than each leaf accepts. The protocol on the connections is a separate module.
package leafpool

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/linelimit"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/readlimit"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "leaf_connections"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "transport.leaves",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapLeafProtocol},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapLeafTransport},
		Enabled:  kernel.ForRoutes(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "dial_timeout", Kind: settings.KindDuration, Default: "500ms", Min: 0.001, Max: 60, Help: "time limit for opening a connection"},
			{Section: section, Name: "probe_interval", Kind: settings.KindDuration, Default: "2s", Min: 1, Max: 600, Help: "time between probes of an idle connection; two unanswered ones end it"},
		},
	})
}

const (
	// defaultConnections is the assumed connection limit of a leaf whose service does not set one.
	defaultConnections = 64
	// usedShare is the part of a leaf's connection limit that all entry VMs use. The leaf still counts the connections of VMs
	// that lost power or were partitioned, and these VMs need more connections when they return.
	usedShare = 0.6
	// scarceShare replaces usedShare where VMs prefer only some of the leaves: after all VMs lost power, each can open one
	// connection although the leaf still counts those from before.
	scarceShare = 0.5
	// maxLostProbes is how many unanswered probes end a connection.
	maxLostProbes = 2
	// idleMargin is how long before its idle timeout a connection is no longer used, so that a request is not sent while the
	// leaf closes it.
	idleMargin = 500 * time.Millisecond
	// replyGrace is how long after the timeout of an attempt its reply may still arrive, since the leaf counts the remaining
	// time from the arrival of the request.
	replyGrace = 100 * time.Millisecond
	// uncountedReplyBytes is more than most replies have. The connections limit the memory for them.
	uncountedReplyBytes = 32 << 10
	// maxInlineBytes is the size up to which a request is written on the caller's goroutine. It fits the socket buffer of an
	// idle connection, so that the write does not block.
	maxInlineBytes = 16 << 10
)

// Module holds the connections to leaves.
type Module struct {
	control  *kernel.Control
	changes  <-chan struct{}
	protocol kernel.LeafProtocol
	logger   log.Logger
	now      func() time.Time
	dialer   net.Dialer
	// replyMemory limits the replies that are being read on all connections together.
	replyMemory *readlimit.Budget
	metrics     metrics
	runCtx      context.Context
	cancel      context.CancelFunc

	self model.VMName
	zone model.AvailabilityZone
	// preferred holds the leaves to which this VM keeps connections. recheck gets a value when a connection may be missing.
	preferred atomic.Pointer[map[leaves.Key]*leaves.Member]
	recheck   chan struct{}

	started time.Time

	// strayBytes limits the log lines about bytes that belong to no request.
	strayBytes linelimit.Limit

	mu    sync.Mutex
	pools map[leaves.Key]*pool
	// requestedAt holds the time of the last request for each service.
	requestedAt map[model.ServiceName]time.Time
}

type metrics struct {
	opened, refused, broken, unexpected tally.Counter
	open                                tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		opened: s.Counter("opened"), refused: s.Counter("refused"), broken: s.Counter("broken"),
		unexpected: s.Counter("unexpected_bytes"), open: s.Gauge("open"),
	}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.control, m.logger, m.now = ctx.Control, ctx.Logger("leaf_connections"), ctx.Now
	m.self, m.zone, m.recheck = ctx.VM.VM, ctx.AvailabilityZone, make(chan struct{}, 1)
	m.changes, m.started = ctx.Control.Changes(), ctx.Now()
	probe := s.Duration(section, "probe_interval")
	m.dialer = net.Dialer{
		Timeout:         s.Duration(section, "dial_timeout"),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: maxLostProbes},
	}
	m.metrics = newMetrics(ctx.Scope("leaf_connections"))
	m.replyMemory = readlimit.ForVM(s.Int("vm", "memory_limit_mb"), uncountedReplyBytes)
	m.pools, m.requestedAt = map[leaves.Key]*pool{}, map[model.ServiceName]time.Time{}
	var err error
	m.protocol, err = kernel.Lookup[kernel.LeafProtocol](ctx)
	return err
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.runCtx, m.cancel = context.WithCancel(ctx)
	m.control.Follow(m.runCtx, m.changes, func(v *kernel.View) {
		m.prune(v)
		m.recheckPreferred()
	})
	go m.preconnect(m.runCtx)
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
	}
	m.prune(&kernel.View{Leaves: &leaves.Index{}})
	return nil
}

// prune closes the connections to leaves that are no longer listed or are evacuated, those in use once they are idle.
func (m *Module) prune(v *kernel.View) {
	if v.Leaves == nil {
		return
	}
	listed := map[leaves.Key]bool{}
	for _, list := range v.Leaves.Services {
		for _, l := range list {
			listed[l.Key()] = true
		}
	}
	m.mu.Lock()
	var idle []*conn
	open := 0
	for k, p := range m.pools {
		open += p.open
		if !listed[k] {
			idle = append(idle, p.retire()...)
			delete(m.pools, k)
		} else if v.Evacuations.Has(p.leaf.AvailabilityZone) {
			idle = append(idle, p.takeAllIdle()...)
		}
	}
	m.mu.Unlock()
	m.metrics.open.Update(float64(open))
	for _, c := range idle {
		_ = c.net.Close() // The reading goroutine removes it from the count.
	}
}

// connectionShare returns the share of an entry VM in the connections that a leaf of a service accepts.
func (m *Module) connectionShare(v *kernel.View, service model.ServiceName) float64 {
	limit := defaultConnections
	if v.Routes != nil {
		if s := v.Routes.Service(service); s != nil && s.MaxConnections > 0 {
			limit = s.MaxConnections
		}
	}
	return float64(limit) / float64(v.EffectiveEntryVMs())
}

// limit returns how many connections this VM may have to a leaf. Each VM may have at least one, since it could not reach the
// leaf otherwise; where that is more than the leaf accepts, each VM prefers only some of the leaves.
func (m *Module) limit(l *leaves.Member) int {
	return max(1, int(math.Round(usedShare*m.connectionShare(m.control.View(), l.Service))))
}

// poolOf returns the pool of a leaf, and creates it if there is none. The caller holds the lock.
func (m *Module) poolOf(l *leaves.Member) *pool {
	p := m.pools[l.Key()]
	if p == nil {
		p = &pool{module: m, leaf: l}
		m.pools[l.Key()] = p
	}
	return p
}

// AvailableConnections implements kernel.LeafTransport.
func (m *Module) AvailableConnections(l *leaves.Member) int {
	limit := m.limit(l)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[l.Key()]
	if p == nil {
		return limit
	}
	if p.refuses(m.now()) {
		return 0
	}
	return limit - (p.open - p.preconnecting - len(p.idle))
}

// Send implements kernel.LeafTransport.
func (m *Module) Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	a := &attempt{module: m, req: req, started: m.now(), done: done}
	limit := m.limit(l)
	m.mu.Lock()
	p := m.poolOf(l)
	now := m.now()
	if now.Sub(m.requestedAt[l.Service]) > warmTime {
		m.recheckPreferred() // Connections that were closed meanwhile are opened again.
	}
	m.requestedAt[l.Service] = now
	refused := p.refuses(now)
	var c *conn
	if !refused {
		c = p.takeIdle(now, req)
	}
	full := c == nil && p.open-p.preconnecting >= limit
	awaitClosed := p.mustAwaitClosed(limit)
	if c == nil && !full && !refused {
		p.open++
	}
	m.mu.Unlock()
	switch {
	case refused:
		a.finish(nil, p.refusal(), false)
	case c != nil:
		c.start(a)
	case full:
		a.finish(nil, errs.New(errs.KindOverload, "send the request to another leaf", "all %d connections to leaf %s are busy", limit, l.ID), false)
	default:
		ctx, stop := context.WithCancel(m.runCtx)
		a.stopDial = stop
		go p.dial(ctx, a, awaitClosed)
	}
	return a
}

// CheckReachable implements kernel.LeafTransport.
func (m *Module) CheckReachable(ctx context.Context, l *leaves.Member) error {
	n, err := m.connect(ctx, l)
	if err != nil {
		return err
	}
	return n.Close()
}

// connect opens a connection to a leaf. The caller counts it.
func (m *Module) connect(ctx context.Context, l *leaves.Member) (net.Conn, error) {
	n, err := m.dialer.DialContext(ctx, "tcp", l.Address)
	if err != nil {
		m.metrics.refused.Inc(1)
		_ = level.Debug(m.logger).Log("msg", "cannot connect to a leaf", "leaf", l.ID, "address", l.Address, "err", err)
		return nil, errs.Wrap(err, errs.KindUnavailable, "send the request to another leaf", "cannot connect to leaf %s", l.ID)
	}
	m.metrics.opened.Inc(1)
	return n, nil
}
