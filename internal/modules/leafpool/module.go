// Package leafpool is the module transport.leaves. It carries attempts to leaves over warm connections, of which all
// entry VMs together open no more than each leaf accepts. What is spoken on a connection is a module of its own.
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
	"github.com/chestnuttiller/chestnuttiller/internal/model"
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
			{Section: section, Name: "dial_timeout", Kind: settings.KindDuration, Default: "500ms", Min: 0.001, Max: 60, Help: "limit for opening a connection"},
			{Section: section, Name: "probe_interval", Kind: settings.KindDuration, Default: "2s", Min: 1, Max: 600, Help: "time between probes of an idle connection; two unanswered ones end it"},
		},
	})
}

const (
	// defaultConnections is what a leaf is assumed to accept when its service does not say.
	defaultConnections = 64
	// usedShare is the part of a leaf's connections that all entry VMs use. The leaf goes on counting connections of VMs
	// that lost power or were cut off, and the VMs that come back need room beside them.
	usedShare = 0.6
	// scarceShare stands in for it where VMs use a part of the leaves only: after all VMs have lost power, each finds room
	// for one connection beside those from before.
	scarceShare = 0.5
	// probesLost is how many unanswered probes end a connection.
	probesLost = 2
	// idleMargin is how long before its end an idle connection is not used any more, so that a request does not
	// cross the close.
	idleMargin = 500 * time.Millisecond
	// replyGrace is how long after the end of an attempt its reply may still arrive, since the leaf counts the time
	// that is left from the arrival of the request.
	replyGrace = 100 * time.Millisecond
	// inlineBytes is the size up to which a request is written by the caller's goroutine. It fits the socket buffer
	// of an idle connection, so that the write does not wait.
	inlineBytes = 16 << 10
)

// Module keeps the connections.
type Module struct {
	control  *kernel.Control
	changes  <-chan struct{}
	protocol kernel.LeafProtocol
	logger   log.Logger
	now      func() time.Time
	dialer   net.Dialer
	metrics  metrics
	run      context.Context
	cancel   context.CancelFunc

	vm   model.VMName
	zone model.AvailabilityZone
	// preferred holds the leaves to which this VM keeps connections. wanted gets a value when one may be missing.
	preferred atomic.Pointer[map[leaves.Key]*leaves.Member]
	wanted    chan struct{}

	started time.Time

	mu    sync.Mutex
	pools map[leaves.Key]*pool
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
	m.vm, m.zone, m.wanted = ctx.VM.VM, ctx.AvailabilityZone, make(chan struct{}, 1)
	m.changes, m.started = ctx.Control.Changes(), ctx.Now()
	probe := s.Duration(section, "probe_interval")
	m.dialer = net.Dialer{
		Timeout:         s.Duration(section, "dial_timeout"),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: probesLost},
	}
	m.metrics = newMetrics(ctx.Scope("leaf_connections"))
	m.pools = map[leaves.Key]*pool{}
	var err error
	m.protocol, err = kernel.Lookup[kernel.LeafProtocol](ctx)
	return err
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.run, m.cancel = context.WithCancel(ctx)
	m.control.Follow(m.run, m.changes, func(v *kernel.View) {
		m.prune(v)
		m.wantConnections()
	})
	go m.preconnect(m.run)
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

// prune closes the connections to leaves that are not listed any more, once they are idle.
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
		}
	}
	m.mu.Unlock()
	m.metrics.open.Update(float64(open))
	for _, c := range idle {
		_ = c.net.Close() // Its reader takes it out of the count.
	}
}

// share returns how many connections to a leaf of a service there are for each entry VM.
func (m *Module) share(v *kernel.View, service model.ServiceName) float64 {
	accepts := defaultConnections
	if v.Routes != nil {
		if s := v.Routes.Service(service); s != nil && s.MaxConnections > 0 {
			accepts = s.MaxConnections
		}
	}
	return float64(accepts) / float64(v.SharingVMs())
}

// limit returns how many connections this VM may have to a leaf. Each VM may have one, since it could not reach the leaf
// otherwise; where that is more than the leaf accepts, VMs prefer some leaves to others.
func (m *Module) limit(l *leaves.Member) int {
	return max(1, int(math.Round(usedShare*m.share(m.control.View(), l.Service))))
}

// poolOf returns the pool of a leaf. The lock is held.
func (m *Module) poolOf(l *leaves.Member) *pool {
	p := m.pools[l.Key()]
	if p == nil {
		p = &pool{module: m, leaf: l}
		m.pools[l.Key()] = p
	}
	return p
}

// Room implements kernel.LeafTransport.
func (m *Module) Room(l *leaves.Member) int {
	limit := m.limit(l)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[l.Key()]
	if p == nil {
		return limit
	}
	return limit - (p.open - p.preconnecting - len(p.idle))
}

// Send implements kernel.LeafTransport.
func (m *Module) Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) (cancel func()) {
	x := &exchange{module: m, req: req, began: m.now(), done: done}
	limit := m.limit(l)
	m.mu.Lock()
	p := m.poolOf(l)
	c := p.take(m.now())
	full := c == nil && p.open-p.preconnecting >= limit
	if c == nil && !full {
		p.open++
	}
	m.mu.Unlock()
	switch {
	case c != nil:
		c.begin(x)
	case full:
		x.finish(nil, errs.New(errs.KindOverload, "send the request to another leaf", "all %d connections to leaf %s are busy", limit, l.ID), false)
	default:
		ctx, stop := context.WithCancel(m.run)
		x.stopDial = stop
		go p.dial(ctx, x)
	}
	return x.cancel
}

// Reach implements kernel.LeafTransport.
func (m *Module) Reach(ctx context.Context, l *leaves.Member) error {
	n, err := m.connect(ctx, l)
	if err != nil {
		return err
	}
	return n.Close()
}

// connect opens a connection to a leaf, which the caller counts.
func (m *Module) connect(ctx context.Context, l *leaves.Member) (net.Conn, error) {
	n, err := m.dialer.DialContext(ctx, "tcp", l.Address)
	if err != nil {
		m.metrics.refused.Inc(1)
		_ = level.Debug(m.logger).Log("msg", "connection not opened", "leaf", l.ID, "address", l.Address, "err", err)
		return nil, errs.Wrap(err, errs.KindUnavailable, "send the request to another leaf", "no connection to leaf %s", l.ID)
	}
	m.metrics.opened.Inc(1)
	return n, nil
}
