// Package transport is the module transport.http. It sends attempts to targets over kept-alive HTTP/1.1
// connections, classifies every result, and keeps the number of connections to each target within this VM's share.
package transport

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "transport"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "transport.http",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapTransport},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "dial_timeout", Kind: settings.KindDuration, Default: "300ms", Min: 0.001, Max: 60, Help: "time limit for opening a connection to a target"},
			{Section: section, Name: "source_address", Help: "IP address of this VM that connections to targets are opened from; chosen by the operating system if empty"},
			{Section: section, Name: "warm_connections", Kind: settings.KindInt, Default: "2", Min: 0, Max: 1000, Help: "connections to each target that are opened before they are needed"},
			{Section: section, Name: "idle_timeout", Kind: settings.KindDuration, Default: "90s", Min: 1, Max: 3600, Help: "time after which an idle connection is closed"},
			{Section: section, Name: "max_reply_bytes", Kind: settings.KindInt, Default: "4194304", Min: 1, Max: 1 << 30, Help: "largest reply of one target"},
		},
	})
}

// Module holds one connection pool for each target.
type Module struct {
	control         *kernel.Control
	now             func() time.Time
	logger          log.Logger
	scope           tally.Scope
	dialTimeout     time.Duration
	idleTimeout     time.Duration
	warmConnections int
	maxReplyBytes   int64
	source          net.Addr
	changes         <-chan struct{}

	mu    sync.RWMutex
	pools map[poolKey]*pool
	// reconciledVersion is the version of the view that was last applied to the pools.
	reconciledVersion uint64
}

// poolKey identifies the pool of one incarnation of a target; the next incarnation gets another pool.
type poolKey struct {
	target      model.TargetKey
	incarnation uint64
	addr        string
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.control, m.now = ctx.Control, ctx.Now
	m.logger, m.scope = ctx.Logger("transport"), ctx.Scope("transport")
	m.dialTimeout = ctx.Settings.Duration(section, "dial_timeout")
	m.idleTimeout = ctx.Settings.Duration(section, "idle_timeout")
	m.warmConnections = ctx.Settings.Int(section, "warm_connections")
	m.maxReplyBytes = int64(ctx.Settings.Int(section, "max_reply_bytes"))
	if text := ctx.Settings.String(section, "source_address"); text != "" {
		source, err := netip.ParseAddr(text)
		if err != nil {
			return errs.Wrap(err, errs.KindInvalid, "write an IP address such as 10.0.0.1", "[transport] source_address is %q", text)
		}
		m.source = &net.TCPAddr{IP: source.AsSlice()}
	}
	m.pools = map[poolKey]*pool{}
	m.changes = ctx.Control.Changes()
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.control.Follow(ctx, m.changes, m.reconcile)
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, p := range m.pools {
		p.close()
		delete(m.pools, k)
	}
	return nil
}

// reconcile opens pools for new targets, applies changed shares and closes the pools of targets that are no longer in the
// view. Attempts in flight keep their connections until they end.
func (m *Module) reconcile(v *kernel.View) {
	current := map[poolKey]*model.Target{}
	v.EachTarget(func(t *model.Target) { current[keyOf(t)] = t })
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, p := range m.pools {
		if current[k] == nil {
			p.close()
			delete(m.pools, k)
		}
	}
	for k, t := range current {
		share := v.Seat.ConnectionShare(t.Key(), t.ConnectionLimit)
		p := m.pools[k]
		if p == nil {
			p = newPool(m, t.Addr, share)
			m.pools[k] = p
			_ = level.Info(m.logger).Log("msg", "connection pool for target opened", "target", t.Key(), "addr", t.Addr, "share", share)
		}
		p.setShare(share, m.warmConnectionsFor(t))
	}
	m.reconciledVersion = v.Version
}

// WithinShares implements kernel.ConnectionShareChecker.
func (m *Module) WithinShares(v *kernel.View) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.reconciledVersion < v.Version {
		return false
	}
	for _, p := range m.pools {
		if !p.withinShare() {
			return false
		}
	}
	return true
}

// warmConnectionsFor returns how many connections to a target are kept open. A target that gets no new work needs none.
func (m *Module) warmConnectionsFor(t *model.Target) int {
	if !t.State.AcceptsWork() {
		return 0
	}
	return m.warmConnections
}

func keyOf(t *model.Target) poolKey {
	return poolKey{target: t.Key(), incarnation: t.Incarnation, addr: t.Addr}
}

// pool returns the pool of a target. It opens one if needed, because an attempt may still be sent to a target that has
// just been removed from the view.
func (m *Module) pool(t *model.Target) *pool {
	k := keyOf(t)
	m.mu.RLock()
	p := m.pools[k]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p = m.pools[k]; p == nil {
		p = newPool(m, t.Addr, m.control.View().Seat.ConnectionShare(t.Key(), t.ConnectionLimit))
		m.pools[k] = p
	}
	return p
}

// Send implements kernel.Transport.
func (m *Module) Send(ctx context.Context, t *model.Target, req model.SubRequest) model.Reply {
	started := m.now()
	reply := m.pool(t).send(ctx, t, req, m.maxReplyBytes)
	reply.Attempt, reply.Shard = req.Attempt, req.Shard
	reply.Elapsed = m.now().Sub(started)
	m.scope.Tagged(map[string]string{"status": string(reply.Status)}).Counter("replies").Inc(1)
	if s := reply.TargetState; s != "" && !s.AcceptsWork() {
		m.control.Post(kernel.TargetStateReport{Target: t.Key(), Incarnation: t.Incarnation, State: s})
	}
	if reply.Status != model.ReplyOK && reply.Status != model.ReplyTimeout {
		_ = level.Debug(m.logger).Log("msg", "attempt failed", "attempt", req.Attempt, "target", t.Key(), "status", reply.Status, "reason", reply.Reason)
	}
	return reply
}

func newHTTPTransport(p *pool, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: 1 << 16, // The pool itself limits the connections to the share.
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		Proxy:               nil,
	}
}
