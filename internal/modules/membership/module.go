// Package membership is the module membership.watch. Control VMs receive heartbeats from leaves. Every VM watches all
// control VMs in its peer list, and receives leaves, routes, further control VMs and the number of entry VMs from them.
package membership

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/linelimit"
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
		Provides: []kernel.Capability{kernel.CapLeafRegistry, kernel.CapLeafReporter, kernel.CapExtraGranter},
		Enabled:  func(s *settings.Settings) bool { return s.Traffic == settings.TrafficRoutes },
		Settings: []settings.Key{
			{Section: section, Name: "leaf_lapse", Kind: settings.KindDuration, Default: "8s", Min: 0.1, Max: 600, Help: "time without a heartbeat after which a leaf is used only if its service has no other leaf; several heartbeats may be late"},
			{Section: section, Name: "orphan_lapse", Kind: settings.KindDuration, Default: "20s", Min: 0.1, Max: 3600, Help: "time for which leaves are kept while their control VM is not reachable"},
			{Section: section, Name: "retain", Kind: settings.KindDuration, Default: "10m", Min: 1, Max: 86400, Help: "time for which tombstones of ended leaves are kept"},
			{Section: section, Name: "repeat_slack", Kind: settings.KindInt, Default: "0", Max: 1000000, Help: "on control VMs, repeat_slack of the section forward on entry VMs with repeat_pooled; a part of it is granted to entry VMs on request"},
			{Section: section, Name: "repeat_window", Kind: settings.KindDuration, Default: "10s", Min: 1, Max: 600, Help: "on control VMs, repeat_window of the section forward on entry VMs"},
		},
	})
}

const (
	// scanInterval is the time between two scans for expired leaves and entry VMs.
	scanInterval = 500 * time.Millisecond
	// holdTime is how long a control VM holds a watch request when there is no update. It limits the age of the data
	// that a VM has received.
	holdTime = time.Second
	// lightHoldTime takes the place of holdTime for a VM that requests neither leaves nor routes. The requests of all VMs to
	// control VMs of other zones would otherwise be a large part of the traffic between zones. It is shorter than
	// entryVMExpiry.
	lightHoldTime = 5 * time.Second
	// batchDelay is how long a control VM collects further changes before it answers an entry VM. Leaves start and leave many at
	// a time, and an answer for each would go to every entry VM.
	batchDelay = 30 * time.Millisecond
	// maxHoldTime limits the hold time that a request may state.
	maxHoldTime = 10 * time.Second
	// watchMargin is how much longer than the hold time a VM waits for the answer of a slow control VM.
	watchMargin = 2 * time.Second
	// watchTimeout is how long a VM waits for the answer to a request for leaves or routes.
	watchTimeout = holdTime + watchMargin
	// retryPause is the pause before another watch request to a control VM that did not answer.
	retryPause = 200 * time.Millisecond
	// entryVMExpiry is how long an entry VM still counts after its last watch request. A VM that is restarted or frozen
	// for a few seconds thus keeps its share of the connections.
	entryVMExpiry = 10 * time.Second
	// entryCountFallDelay is how long fewer entry VMs have to be reported before the number falls. Control VMs that are
	// cut off or restarted receive requests from fewer of them for a while.
	entryCountFallDelay = 30 * time.Second
	// entryCountDelay is how long a control VM has to run before it counts the entry VMs itself. All of them connect
	// within a few seconds.
	entryCountDelay = 5 * time.Second
	// fullSources is the number of control VMs from which an entry VM receives leaves and routes: the loss of one
	// delays nothing, and a change is not sent to every entry VM by every control VM.
	fullSources = 2
	// sourceRetention is how long the updates of an unreachable control VM are used.
	sourceRetention = 60 * time.Second
)

type (
	scanEvent  struct{}
	peersEvent struct{}
)

// source is the data that this VM has received from one control VM.
type source struct {
	// full reports whether leaves and routes are requested from the control VM. The goroutine that watches it reads
	// this.
	full atomic.Bool
	// failing reports whether the last request failed.
	failing atomic.Bool
	// endRequest ends the request that is under way.
	endRequest  atomic.Pointer[context.CancelFunc]
	remoteTable leaves.RemoteTable
	// outliers holds the outliers that an entry VM received, and evidence the evidence that a control VM received.
	outliers leaves.Outliers
	evidence []leaves.Evidence
	entryVMs int
	// controlVMs is the number of other control VMs that this one is connected to, by its last answer.
	controlVMs  int
	lastContact time.Time
	// answered reports whether the control VM has answered since the source was added or its leaves were last removed.
	answered bool
}

// responsive reports whether the control VM has answered recently.
func (s *source) responsive(now time.Time) bool {
	limit := watchTimeout
	if !s.full.Load() {
		limit = lightHoldTime + watchMargin
	}
	return now.Sub(s.lastContact) <= limit
}

// sendsOutliers reports whether the outliers or the evidence of the control VM are recent. They are requested with leaves and
// routes.
func (s *source) sendsOutliers(now time.Time) bool { return now.Sub(s.lastContact) <= watchTimeout }

// interrupt ends the request that is under way, so that one for other data can take its place.
func (s *source) interrupt() {
	if end := s.endRequest.Load(); end != nil {
		(*end)()
	}
}

// Module watches control VMs and, on control VMs, answers the watch requests of other VMs.
type Module struct {
	settings    *settings.Settings
	self        model.VMName
	incarnation uint64
	isControl   bool
	zone        model.AvailabilityZone
	now         func() time.Time
	control     *kernel.Control
	readiness   *kernel.Readiness
	peers       kernel.PeerTransport
	replies     replyEncoder
	// refusals limits the log lines about refused heartbeats. Another program may send many.
	refusals linelimit.Limit
	logger   log.Logger
	metrics  metrics
	runCtx   context.Context
	cancel   context.CancelFunc

	// The following fields belong to the control goroutine.
	table   *leaves.Table
	sources map[model.VMName]*source
	// entryLastWatch holds the time of the last watch request of each entry VM. It is used on control VMs only.
	entryLastWatch map[model.VMName]time.Time
	routes         *routes.Table
	removedKeys    *routes.RemovedKeys
	evacuations    routes.Evacuations
	index          *leaves.Index
	entryVMs       int
	state          kernel.RouteState
	outlierPool    outlierPool
	owners         allowanceOwners
	// newest holds the records of which index was built. leaving holds the incarnations that have replied to this VM that
	// they are leaving, and when a control VM last listed them.
	newest map[string]leaves.Leaf
	// extraPool holds the extra attempts that a control VM grants.
	extraPool *forward.ExtraPool
	leaving   map[leaves.Key]time.Time
	// fewerSince is the time since which fewer entry VMs are reported than the number in use; zero if there are not
	// fewer.
	fewerSince time.Time
	// started is when the process started. For entryCountDelay after it, restoredEntryVMs applies instead of the counted
	// number.
	started time.Time
	// cache is nil except on control VMs, which have a data folder. cachedVersion is the table version that was passed
	// to it last, cachedEntryVMs the number of entry VMs, and cachedOwners the digest of the owners of allowances.
	cache          *cache
	cachedVersion  uint64
	cachedEntryVMs int
	cachedOwners   uint64
	// restoredEntryVMs is the number of entry VMs before the restart, or 0 if unknown.
	restoredEntryVMs int
	// changed is closed when there is an update for the watching VMs.
	changed chan struct{}
	ready   bool
}

type metrics struct {
	ready, draining, expired, routesVersion, entryVMs, outliers tally.Gauge
	evacuatedZones                                              tally.Gauge
	// invalidRecords counts the records of leaves that were ignored.
	invalidRecords tally.Counter
	// extrasGranted and extrasDenied count the extra attempts that entry VMs requested.
	extrasGranted, extrasDenied tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		ready: s.Gauge("leaves_ready"), draining: s.Gauge("leaves_draining"), expired: s.Gauge("leaves_lapsed"),
		routesVersion: s.Gauge("routes_version"), evacuatedZones: s.Gauge("evacuated_zones"), entryVMs: s.Gauge("entry_vms"),
		outliers: s.Gauge("leaves_in_trouble"), invalidRecords: s.Counter("invalid_records"),
		extrasGranted: s.Counter("extras_granted"), extrasDenied: s.Counter("extras_denied"),
	}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.settings, m.self, m.incarnation = s, ctx.VM.VM, ctx.VM.Incarnation
	m.isControl = s.HasRole(settings.RoleControl)
	m.zone, m.now = ctx.AvailabilityZone, ctx.Now
	m.control, m.readiness, m.logger = ctx.Control, ctx.Readiness, ctx.Logger("membership")
	m.metrics = newMetrics(ctx.Scope("membership"))
	m.table = leaves.NewTable(m.self, leaves.Config{
		ExpireAfter: s.Duration(section, "leaf_lapse"), OrphanExpireAfter: s.Duration(section, "orphan_lapse"), Retention: s.Duration(section, "retain"),
	})
	m.sources, m.entryLastWatch = map[model.VMName]*source{}, map[model.VMName]time.Time{}
	m.leaving = map[leaves.Key]time.Time{}
	m.changed, m.started = make(chan struct{}), ctx.Now()
	m.outlierPool.init()
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	var err error
	if m.peers, err = kernel.Lookup[kernel.PeerTransport](ctx); err != nil {
		return err
	}
	if s.HasRole(settings.RoleEntry) {
		m.readiness.Set(readinessKey, "the VM has received no routes yet")
	}
	if m.isControl {
		if m.state, err = kernel.Lookup[kernel.RouteState](ctx); err != nil {
			return err
		}
		m.peers.Handle(kindWatch, m.handleWatch)
		m.peers.Handle(kindReport, m.handleReport)
		m.extraPool = forward.NewExtraPool(ctx.Now(), s.Int(section, "repeat_slack"), s.Duration(section, "repeat_window"))
		m.peers.Handle(kindExtra, m.handleExtra)
		m.cache = newCache(fsys.OS{}, s.DataFolder, m.logger)
		m.cache.current = m.currentState
	}
	m.peers.OnChange(func(kernel.PeerStatus) { _ = m.control.PostWait(m.runCtx, peersEvent{}) }) // It fails only when the process ends.
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	var stored cachedState
	if m.cache != nil {
		var err error
		if stored, err = m.cache.load(); err != nil {
			_ = level.Warn(m.logger).Log("msg", "leaves stored on disk could not be loaded and are not used", "err", err)
		}
		go m.cache.run(m.runCtx)
	}
	return m.control.Do(ctx, func(now time.Time) {
		m.restore(now, stored)
		m.watchAll()
		m.control.After(scanInterval, scanEvent{})
		if m.isControl {
			m.control.After(outlierInterval, outlierEvent{})
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
	switch ev := ev.(type) {
	case scanEvent:
		m.scan(now)
		m.control.After(scanInterval, scanEvent{})
	case updateEvent:
		m.applyUpdate(now, ev)
	case leavingEvent:
		m.markLeaving(now, ev.leaf)
	case reportEvent:
		m.outlierPool.board.Record(now, ev.list)
	case outlierEvent:
		m.evaluateOutliers(now)
		m.control.After(outlierInterval, outlierEvent{})
	case peersEvent:
		m.watchAll()
		m.chooseSources(now)
	case kernel.RoutesChanged, kernel.EvacuationsChanged:
		m.applyState()
	}
}

// notifyWatchers answers all watch requests that are on hold.
func (m *Module) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// applyRoutes puts a newer route table into force. Within one process the version never decreases.
func (m *Module) applyRoutes(from model.VMName, t *routes.Table) {
	if t == nil || m.routes != nil && t.Version <= m.routes.Version {
		return
	}
	var before routes.Version
	if m.routes != nil {
		before = m.routes.Version
	}
	changes := routes.CompareCustomers(m.routes, t)
	m.removedKeys = m.removedKeys.After(m.routes, t)
	m.routes = t
	m.metrics.routesVersion.Update(float64(t.Version))
	_ = level.Info(m.logger).Log("msg", "route table in force", "version", t.Version, "before", before, "from", from, "routes", len(t.Routes), "services", len(t.Services),
		"customers", len(t.Customers), "customers_changed", shortList(changes.Names), "keys_added", changes.KeysAdded, "keys_removed", changes.KeysRemoved)
	m.control.MarkDirty()
	m.notifyWatchers()
	m.checkReady()
}

// maxLoggedNames limits the names in one log line.
const maxLoggedNames = 20

// shortList returns a list of names for a log line, with the number of those that are left out.
func shortList(names []string) string {
	if left := len(names) - maxLoggedNames; left > 0 {
		return fmt.Sprintf("%v and %d more", names[:maxLoggedNames], left)
	}
	return fmt.Sprint(names)
}

// checkReady marks the VM as ready once it has routes and leaves.
func (m *Module) checkReady() {
	if m.ready || m.routes == nil || m.index == nil {
		return
	}
	m.ready = true
	m.readiness.Clear(readinessKey)
	_ = level.Info(m.logger).Log("msg", "this VM is ready", "version", m.routes.Version, "leaves", m.index.Count)
}

// rebuildIndex builds the index of an entry VM from the leaves that all control VMs sent. from is the control VM whose answer
// led to it, or this VM.
func (m *Module) rebuildIndex(now time.Time, from model.VMName) {
	var tables []*leaves.RemoteTable
	for _, s := range m.sources {
		if s.remoteTable.Leaves != nil {
			tables = append(tables, &s.remoteTable)
		}
	}
	before := m.newest
	m.newest = leaves.Newest(tables, before)
	m.logChanges(from, before, m.newest)
	m.index = leaves.BuildIndex(now, m.newest, m.isLeaving, m.index)
	m.metrics.ready.Update(float64(m.index.Count))
	m.control.MarkDirty()
}

// scan expires leaves, entry VMs and control VMs that have not sent anything in time.
func (m *Module) scan(now time.Time) {
	m.chooseSources(now)
	if !m.isControl {
		m.applyOutliers(now)
		m.updateEntryVMs(now)
		m.removeExpiredSources(now)
		m.pruneLeaving(now)
		return
	}
	// The event of a change may have been dropped because the queue was full.
	m.applyState()
	before := m.table.Version()
	m.table.Scan(now, scanInterval, m.lastContact)
	if m.table.Version() != before {
		m.notifyWatchers()
	}
	for vm, lastWatch := range m.entryLastWatch {
		if now.Sub(lastWatch) > entryVMExpiry {
			delete(m.entryLastWatch, vm)
			_ = level.Info(m.logger).Log("msg", "entry VM has stopped sending watch requests and is no longer counted", "entry_vm", vm, "entry_vms", len(m.entryLastWatch))
		}
	}
	m.updateOwners(now)
	if version, entryVMs := m.table.Version(), m.entryVMCount(now); version != m.cachedVersion || entryVMs != m.cachedEntryVMs || m.owners.digest != m.cachedOwners {
		if list, _ := m.table.ChangesSince(0); m.cache.enqueue(cachedState{list, entryVMs, m.owners.lists}) {
			m.cachedVersion, m.cachedEntryVMs, m.cachedOwners = version, entryVMs, m.owners.digest
		}
	}
	counts := m.table.Counts()
	m.metrics.ready.Update(float64(counts[leaves.Ready]))
	m.metrics.draining.Update(float64(counts[leaves.Draining]))
	m.metrics.expired.Update(float64(counts[leaves.Expired]))
	m.metrics.entryVMs.Update(float64(len(m.entryLastWatch)))
}

// ContributeView implements kernel.ViewContributor.
func (m *Module) ContributeView(_ time.Time, v *kernel.View) {
	v.Routes, v.Leaves, v.EntryVMs, v.LeafOutliers = m.routes, m.index, m.entryVMs, m.outlierPool.inForce
	v.Evacuations, v.RemovedKeys = m.evacuations, m.removedKeys
	m.contributeOwners(v)
}
