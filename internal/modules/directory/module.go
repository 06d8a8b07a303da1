// Package directory is the module directory.leases. It owns the leases of targets on the control goroutine,
// publishes the directory part of the view and proposes announced layouts to the control group.
package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/directory"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const section = "directory"

const (
	// publishDelay is how long changes are collected for one publication, since rebuilding the holders of a service
	// with thousands of targets takes about a millisecond. A target that stops accepting work is published immediately.
	publishDelay = 100 * time.Millisecond
	// minExpiryDelay is the shortest delay before the next check for expired leases.
	minExpiryDelay = 20 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "directory.leases",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Wants:    []kernel.Capability{kernel.CapMetrics, kernel.CapReplicatedState, kernel.CapPeerTransport, kernel.CapControlClient},
		Provides: []kernel.Capability{kernel.CapDirectory},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "max_targets", Kind: settings.KindInt, Default: "100000", Min: 1, Max: 1e7, Help: "maximum number of leases on this VM"},
			{Section: section, Name: "responsible", Kind: settings.KindInt, Default: "2", Min: 1, Max: 16, Help: "number of VMs of its availability zone that a target announces itself to"},
			{Section: section, Name: "warm_up", Kind: settings.KindDuration, Default: "2s", Max: 600, Help: "time after the start during which the VM is not ready, while it receives the first announcements and listings of targets"},
			{Section: section, Name: "gossip_interval", Kind: settings.KindDuration, Default: "1s", Min: 0.01, Max: 60, Help: "interval at which summaries of leases are sent to other VMs"},
			{Section: section, Name: "gossip_lapse", Kind: settings.KindDuration, Default: "3s", Min: 0.02, Max: 600, Help: "time without a summary after which the targets that another VM lists are no longer used"},
		},
	})
}

// LayoutProposer sends layouts and their use to the control group.
type LayoutProposer interface {
	// ProposeLayout proposes a complete layout. An error of kind conflict means that it can never be committed.
	ProposeLayout(ctx context.Context, l model.Layout) error
	// ReportLayoutUse reports the committed layouts that targets still use, so that they are kept.
	ReportLayoutUse(ctx context.Context, keys []state.LayoutKey) error
}

// announceEvent passes an announcement to the control goroutine.
type announceEvent struct {
	announcement *model.Announcement
	reply        chan announceReply
}

type announceReply struct {
	result kernel.AnnounceResult
	err    error
}

type (
	expireEvent  struct{}
	publishEvent struct{}
	// warmUpDoneEvent ends the warm-up time after the start.
	warmUpDoneEvent struct{}
)

// readinessKey identifies the reason why the VM is not ready during the warm-up time.
const readinessKey = "directory"

// Module owns the leases. Its fields are used only on the control goroutine.
type Module struct {
	control   *kernel.Control
	logger    log.Logger
	scope     tally.Scope
	random    *rand.Rand
	now       func() time.Time
	leases    *directory.Directory
	view      *kernel.Directory
	built     map[model.ServiceName]*directory.Service
	proposer  LayoutProposer
	proposals map[proposalKey]*proposalState
	exchange  *exchange
	self      model.VMName
	zone      model.AvailabilityZone
	// responsible is the number of VMs that a target announces itself to.
	responsible int
	// expiryAt is when the pending expireEvent is due; zero if none is pending.
	expiryAt       time.Time
	cancelExpiry   func()
	publishPending bool
	runCtx         context.Context
	readiness      *kernel.Readiness
	warmUp         time.Duration
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.control, m.now, m.random = ctx.Control, ctx.Now, ctx.Random()
	m.logger, m.scope = ctx.Logger("directory"), ctx.Scope("directory")
	m.leases = directory.New(ctx.Settings.Int(section, "max_targets"))
	m.view = &kernel.Directory{Services: map[model.ServiceName]*kernel.ServiceDirectory{}}
	m.proposals = map[proposalKey]*proposalState{}
	// Layouts are proposed only if a module can send them to the control group.
	m.proposer, _ = kernel.Lookup[LayoutProposer](ctx)
	m.runCtx = context.Background()
	m.self, m.zone, m.responsible = ctx.VM.VM, ctx.AvailabilityZone, ctx.Settings.Int(section, "responsible")
	if i, l := ctx.Settings.Duration(section, "gossip_interval"), ctx.Settings.Duration(section, "gossip_lapse"); l < 2*i {
		return errs.New(errs.KindInvalid, "raise gossip_lapse to at least twice gossip_interval", "[%s] gossip_lapse %s is too short for gossip_interval %s", section, l, i)
	}
	m.exchange = newExchange(m, ctx)
	m.readiness, m.warmUp = ctx.Readiness, ctx.Settings.Duration(section, "warm_up")
	if m.warmUp > 0 {
		m.readiness.Set(readinessKey, "the VM is still receiving the first announcements and listings of targets")
	}
	return nil
}

// SetAnnounceURL implements kernel.TargetDirectory.
func (m *Module) SetAnnounceURL(url string) {
	m.exchange.selfURL = url
	if t, ok := m.exchange.transport.(interface{ SetAnnounceURL(string) }); ok {
		t.SetAnnounceURL(url)
	}
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	return m.control.Do(ctx, func(time.Time) {
		m.runCtx = ctx
		m.control.After(m.exchange.interval, tickEvent{})
		m.control.After(m.warmUp, warmUpDoneEvent{})
		m.control.After(jitter(m.random, layoutUseInterval), layoutUseEvent{})
	})
}

// Announce implements kernel.TargetDirectory.
func (m *Module) Announce(ctx context.Context, a *model.Announcement) (kernel.AnnounceResult, error) {
	ev := announceEvent{announcement: a, reply: make(chan announceReply, 1)}
	const remedy = "announce again, or announce to another entry VM"
	if err := m.control.PostWait(ctx, ev); err != nil {
		return kernel.AnnounceResult{}, errs.Wrap(err, errs.KindUnavailable, remedy, "this VM cannot process the announcement now")
	}
	select {
	case r := <-ev.reply:
		return r.result, r.err
	case <-ctx.Done():
		return kernel.AnnounceResult{}, errs.Wrap(ctx.Err(), errs.KindUnavailable, remedy, "this VM cannot process the announcement now")
	}
}

// HandleEvent implements kernel.Controller.
func (m *Module) HandleEvent(now time.Time, ev kernel.Event) {
	switch ev := ev.(type) {
	case announceEvent:
		result, err := m.announce(now, ev.announcement)
		ev.reply <- announceReply{result, err}
	case kernel.TargetStateReport:
		m.report(now, ev)
	case expireEvent:
		m.expire(now)
	case publishEvent:
		m.publishPending = false
		m.publish()
	case proposeEvent:
		m.propose(ev.key)
	case proposeResultEvent:
		m.handleProposeResult(ev)
	case layoutUseEvent:
		m.reportLayoutUse()
	case warmUpDoneEvent:
		m.readiness.Clear(readinessKey)
	default:
		m.exchange.handleEvent(now, ev)
	}
}

// ContributeView implements kernel.ViewContributor. The view contains the committed layouts already, because the
// provider of the replicated state contributes earlier.
func (m *Module) ContributeView(_ time.Time, v *kernel.View) {
	built := m.leases.View(v.Layouts)
	if !sameMap(built, m.built) {
		m.built = built
		m.view = &kernel.Directory{Services: make(map[model.ServiceName]*kernel.ServiceDirectory, len(built))}
		for name, s := range built {
			m.view.Services[name] = (*kernel.ServiceDirectory)(s)
		}
	}
	v.Directory = m.view
}

// sameMap reports whether two maps hold the same services. Services are immutable, so comparing pointers is enough.
func sameMap(a, b map[model.ServiceName]*directory.Service) bool {
	if len(a) != len(b) {
		return false
	}
	for k, s := range a {
		if b[k] != s {
			return false
		}
	}
	return true
}

func (m *Module) announce(now time.Time, a *model.Announcement) (kernel.AnnounceResult, error) {
	r := m.replicated()
	c, err := m.leases.Apply(now, a, r)
	if err != nil {
		m.scope.Counter("announcements_refused").Inc(1)
		_ = level.Warn(m.logger).Log("msg", "announcement refused", "target", a.Key(), "kind", errs.KindOf(err), "err", err)
		return kernel.AnnounceResult{}, err
	}
	m.scope.Counter("announcements_accepted").Inc(1)
	m.proposeNewLayout(a, r)
	m.handleChange(now, c, "announced_to", m.self)
	if m.exchange.updateOwnTable(c, a) {
		m.schedulePublish(!a.State.AcceptsWork())
	}
	return kernel.AnnounceResult{
		Responsible: m.exchange.responsible(a.Key(), a.AvailabilityZone, m.responsible),
		NeedLayout:  m.leases.NeedsLayout(a, r),
	}, nil
}

// replicated returns the replicated state that announcements are checked against, as of the last published view.
func (m *Module) replicated() directory.ReplicatedState {
	v := m.control.View()
	return directory.ReplicatedState{Configured: v.Config != nil, Site: v.Site, Layouts: v.Layouts}
}

func (m *Module) report(now time.Time, ev kernel.TargetStateReport) {
	if c, ok := m.leases.ApplyReportedState(now, ev.Target, ev.Incarnation, ev.State); ok {
		m.handleChange(now, c, "reported_by", "reply")
	}
}

func (m *Module) expire(now time.Time) {
	m.expiryAt = time.Time{}
	for _, c := range m.leases.Expire(now) {
		m.handleChange(now, c, "announced_to", m.self)
		if m.exchange.updateOwnTable(c, nil) {
			m.schedulePublish(false)
		}
	}
	m.scheduleExpiry(now)
}

// handleChange logs a change that affects routing and schedules its publication. sourceKey and source are the log field
// that names where the change came from.
func (m *Module) handleChange(now time.Time, c directory.Change, sourceKey string, source any) {
	m.scheduleExpiry(now)
	if !c.AffectsRouting() {
		return
	}
	t := c.Target
	m.scope.Gauge("leases").Update(float64(m.leases.Len()))
	_ = level.Info(m.logger).Log("msg", "target "+string(c.Kind), "target", t.Key(), "state", t.State, "previous_state", c.Previous,
		"incarnation", t.Incarnation, "sequence", t.Sequence, "address", t.Addr, "layout", t.Layout.Number, "shards", len(t.Shards), sourceKey, source)
	m.schedulePublish(c.Urgent())
}

// schedulePublish schedules the publication of changes and their gossip to other VMs. Urgent changes are published
// immediately.
func (m *Module) schedulePublish(urgent bool) {
	if urgent {
		m.publish()
		return
	}
	if !m.publishPending {
		m.publishPending = true
		m.control.After(publishDelay, publishEvent{})
	}
}

func (m *Module) publish() {
	m.control.MarkDirty()
	m.exchange.flush()
}

// scheduleExpiry keeps one timer for the lease that expires next.
func (m *Module) scheduleExpiry(now time.Time) {
	at, ok := m.leases.NextExpiry()
	if !ok {
		return
	}
	if !m.expiryAt.IsZero() {
		if !at.Before(m.expiryAt) {
			return
		}
		m.cancelExpiry()
	}
	m.expiryAt = at
	m.cancelExpiry = m.control.After(max(at.Sub(now), minExpiryDelay), expireEvent{})
}
