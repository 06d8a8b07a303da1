// Package membership is the module membership.watch. Control VMs hear from leaves; every VM follows all control VMs
// that it knows, and learns of leaves, routes, further control VMs and the number of entry VMs from them.
package membership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "membership"

const readinessKey = "membership"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "membership.watch",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapPeerTransport},
		Wants:    []kernel.Capability{kernel.CapMetrics, kernel.CapStateMachine},
		Provides: []kernel.Capability{kernel.CapLeafRegistry, kernel.CapLeafReporter},
		Enabled:  func(s *settings.Settings) bool { return s.Traffic == settings.TrafficRoutes },
		Settings: []settings.Key{
			{Section: section, Name: "leaf_lapse", Kind: settings.KindDuration, Default: "8s", Min: 0.1, Max: 600, Help: "silence after which a leaf is used only where there is no other; several heartbeats may be late"},
			{Section: section, Name: "orphan_lapse", Kind: settings.KindDuration, Default: "20s", Min: 0.1, Max: 3600, Help: "time for which leaves are kept whose control VM is not reachable"},
			{Section: section, Name: "retain", Kind: settings.KindDuration, Default: "10m", Min: 1, Max: 86400, Help: "time for which ended leaves are remembered"},
		},
	})
}

const (
	// scanInterval is how often leaves and entry VMs are looked through for those that have lapsed.
	scanInterval = 500 * time.Millisecond
	// holdTime is how long a control VM holds a watch without news. It bounds the age of what a VM believes.
	holdTime = time.Second
	// watchTimeout is how long a VM waits for the answer to a watch: the hold and a slow control VM.
	watchTimeout = holdTime + 2*time.Second
	// retryPause is the pause before a control VM that did not answer is asked again.
	retryPause = 200 * time.Millisecond
	// entryLapse is how long an entry VM counts that does not watch any more. A VM that is restarted or frozen for
	// a few seconds keeps its part of the connections.
	entryLapse = 10 * time.Second
	// countLower is how long fewer entry VMs have to be reported before the number falls. Control VMs that are cut off
	// or restarted see fewer of them for a while.
	countLower = 30 * time.Second
	// countAfter is how long a control VM has to run before it knows how many entry VMs there are. All of them connect
	// within a few seconds.
	countAfter = 5 * time.Second
	// fullSources is the number of control VMs from which an entry VM takes leaves and routes: the loss of one delays
	// nothing, and a change does not travel to every entry VM from every control VM.
	fullSources = 2
	// forgetSource is how long the news of a control VM that is not reachable are used.
	forgetSource = 60 * time.Second
)

type (
	scanEvent  struct{}
	peersEvent struct{}
)

// source is what one control VM told this VM.
type source struct {
	// full says that leaves and routes are taken from it. The goroutine that follows it reads this.
	full atomic.Bool
	copy leaves.RemoteTable
	// trouble is what an entry VM was told of leaves in trouble, and gathered what a control VM was told.
	trouble  leaves.Outliers
	gathered []leaves.Evidence
	entryVMs int
	contact  time.Time
	// told says that the control VM has answered at least once.
	told bool
}

// answers reports whether the control VM has answered lately.
func (s *source) answers(now time.Time) bool { return now.Sub(s.contact) <= watchTimeout }

// Module follows control VMs and, on control VMs, answers those that follow.
type Module struct {
	settings    *settings.Settings
	self        model.VMName
	incarnation uint64
	controls    bool
	zone        model.AvailabilityZone
	now         func() time.Time
	control     *kernel.Control
	readiness   *kernel.Readiness
	peers       kernel.PeerTransport
	logger      log.Logger
	gauges      gauges
	run         context.Context
	cancel      context.CancelFunc

	// The following fields belong to the control goroutine.
	table   *leaves.Table
	sources map[model.VMName]*source
	// entrySeen holds when entry VMs watched last, on control VMs.
	entrySeen map[model.VMName]time.Time
	routes    *routes.Table
	index     *leaves.Index
	entryVMs  int
	state     kernel.RouteState
	pool      pool
	// fewerSince is since when fewer entry VMs are reported than the number in use.
	fewerSince time.Time
	// started is when the process started.
	started time.Time
	// cache is nil on VMs without a data folder. cached is the position of the table that was handed to it last, and cachedVMs
	// the number of entry VMs.
	cache     *cache
	cached    uint64
	cachedVMs int
	// recalledVMs is the number of entry VMs before the restart, or 0.
	recalledVMs int
	// changed is closed when there is something new for those that watch.
	changed chan struct{}
	ready   bool
}

type gauges struct {
	ready, draining, lapsed, routesVersion, entryVMs, trouble tally.Gauge
}

func newGauges(s tally.Scope) gauges {
	return gauges{
		ready: s.Gauge("leaves_ready"), draining: s.Gauge("leaves_draining"), lapsed: s.Gauge("leaves_lapsed"),
		routesVersion: s.Gauge("routes_version"), entryVMs: s.Gauge("entry_vms"),
		trouble: s.Gauge("leaves_in_trouble"),
	}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.settings, m.self, m.incarnation = s, ctx.VM.VM, ctx.VM.Incarnation
	m.controls = s.HasRole(settings.RoleControl)
	m.zone, m.now = ctx.AvailabilityZone, ctx.Now
	m.control, m.readiness, m.logger = ctx.Control, ctx.Readiness, ctx.Logger("membership")
	m.gauges = newGauges(ctx.Scope("membership"))
	m.table = leaves.NewTable(m.self, leaves.Config{
		ExpireAfter: s.Duration(section, "leaf_lapse"), OrphanExpireAfter: s.Duration(section, "orphan_lapse"), Retention: s.Duration(section, "retain"),
	})
	m.sources, m.entrySeen = map[model.VMName]*source{}, map[model.VMName]time.Time{}
	m.changed, m.started = make(chan struct{}), ctx.Now()
	m.pool.init()
	m.run, m.cancel = context.WithCancel(context.Background())
	var err error
	if m.peers, err = kernel.Lookup[kernel.PeerTransport](ctx); err != nil {
		return err
	}
	if s.HasRole(settings.RoleEntry) {
		m.readiness.Set(readinessKey, "the VM knows no routes yet")
	}
	if m.controls {
		if m.state, err = kernel.Lookup[kernel.RouteState](ctx); err != nil {
			return err
		}
		m.peers.Handle(kindWatch, m.answer)
		m.peers.Handle(kindReport, m.takeReport)
		m.cache = newCache(fsys.OS{}, s.DataFolder, m.logger)
	}
	m.peers.OnChange(func(kernel.PeerStatus) { _ = m.control.PostWait(m.run, peersEvent{}) }) // It fails only once the process ends.
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	var known memory
	if m.cache != nil {
		var err error
		if known, err = m.cache.load(); err != nil {
			_ = level.Warn(m.logger).Log("msg", "the copy of the leaves on disk is not used", "err", err)
		}
		go m.cache.run(m.run)
	}
	return m.control.Do(ctx, func(now time.Time) {
		m.recall(now, known)
		m.followAll()
		m.control.After(scanInterval, scanEvent{})
		if m.controls {
			m.control.After(troubleInterval, troubleEvent{})
		}
	})
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	return nil
}

// HandleEvent implements kernel.Controller.
func (m *Module) HandleEvent(now time.Time, ev kernel.Event) {
	switch x := ev.(type) {
	case scanEvent:
		m.scan(now)
		m.control.After(scanInterval, scanEvent{})
	case newsEvent:
		m.take(now, x)
	case reportEvent:
		m.pool.board.Record(now, x.list)
	case troubleEvent:
		m.judgeTrouble(now)
		m.control.After(troubleInterval, troubleEvent{})
	case peersEvent:
		m.followAll()
		m.chooseSources(now)
	case kernel.RoutesChanged:
		m.takeRoutes(m.self, x.Table)
	}
}

// announce answers all watches that wait.
func (m *Module) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// takeRoutes puts a table into force. Within one process the version never falls.
func (m *Module) takeRoutes(from model.VMName, t *routes.Table) {
	if t == nil || m.routes != nil && t.Version <= m.routes.Version {
		return
	}
	var before routes.Version
	if m.routes != nil {
		before = m.routes.Version
	}
	m.routes = t
	m.gauges.routesVersion.Update(float64(t.Version))
	_ = level.Info(m.logger).Log("msg", "route table in force", "version", t.Version, "before", before, "from", from, "routes", len(t.Routes), "services", len(t.Services))
	m.control.MarkDirty()
	m.announce()
	m.becomeReady()
}

func (m *Module) becomeReady() {
	if m.ready || m.routes == nil || m.index == nil {
		return
	}
	m.ready = true
	m.readiness.Clear(readinessKey)
	_ = level.Info(m.logger).Log("msg", "the VM is ready", "version", m.routes.Version, "leaves", m.index.Count)
}

// join builds the index of an entry VM from the news of all control VMs.
func (m *Module) join(now time.Time) {
	var copies []*leaves.RemoteTable
	for _, s := range m.sources {
		if s.copy.Leaves != nil {
			copies = append(copies, &s.copy)
		}
	}
	m.index = leaves.BuildIndex(now, copies, m.index)
	m.gauges.ready.Update(float64(m.index.Count))
	m.control.MarkDirty()
}

// scan lets silent leaves, entry VMs and control VMs lapse.
func (m *Module) scan(now time.Time) {
	m.chooseSources(now)
	if !m.controls {
		m.useTrouble(now)
		m.countEntryVMs(now)
		m.forgetSources(now)
		return
	}
	// The event of a change may have found the queue full.
	m.takeRoutes(m.self, m.state.Table())
	before := m.table.Version()
	m.table.Scan(now, scanInterval, m.contact)
	if m.table.Version() != before {
		m.announce()
	}
	for vm, seen := range m.entrySeen {
		if now.Sub(seen) > entryLapse {
			delete(m.entrySeen, vm)
			_ = level.Info(m.logger).Log("msg", "entry VM does not watch any more", "entry_vm", vm, "entry_vms", len(m.entrySeen))
		}
	}
	if p, n := m.table.Version(), m.knownEntryVMs(now); p != m.cached || n != m.cachedVMs {
		if list, _ := m.table.ChangesSince(0); m.cache.offer(memory{list, n}) {
			m.cached, m.cachedVMs = p, n
		}
	}
	counts := m.table.Counts()
	m.gauges.ready.Update(float64(counts[leaves.Ready]))
	m.gauges.draining.Update(float64(counts[leaves.Draining]))
	m.gauges.lapsed.Update(float64(counts[leaves.Expired]))
	m.gauges.entryVMs.Update(float64(len(m.entrySeen)))
}

// ContributeView implements kernel.ViewContributor.
func (m *Module) ContributeView(_ time.Time, v *kernel.View) {
	v.Routes, v.Leaves, v.EntryVMs, v.LeafTrouble = m.routes, m.index, m.entryVMs, m.pool.inForce
}
