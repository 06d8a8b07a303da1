// Package directory is the module directory.leases. It owns the leases of targets on the control goroutine,
// publishes the directory part of the view and offers announced layouts to control.
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
	// publishDelay gathers changes for one publication, since rebuilding the holders of a service with
	// thousands of targets takes about a millisecond. A target that stops accepting work is published at once.
	publishDelay = 100 * time.Millisecond
	// expiryGrain bounds how often lapsed leases are looked for.
	expiryGrain = 20 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "directory.leases",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Wants:    []kernel.Capability{kernel.CapMetrics, kernel.CapReplicatedState, kernel.CapPeerTransport, kernel.CapControlClient},
		Provides: []kernel.Capability{kernel.CapDirectory},
		Enabled:  kernel.ForRole(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "max_targets", Kind: settings.KindInt, Default: "100000", Min: 1, Max: 1e7, Help: "leases that this VM holds at most"},
			{Section: section, Name: "responsible", Kind: settings.KindInt, Default: "2", Min: 1, Max: 16, Help: "VMs of its availability zone that a target announces itself to"},
			{Section: section, Name: "warm_up", Kind: settings.KindDuration, Default: "2s", Max: 600, Help: "time after the start in which the VM is not ready, because it hears of the targets for the first time"},
			{Section: section, Name: "gossip_interval", Kind: settings.KindDuration, Default: "1s", Min: 0.01, Max: 60, Help: "time between two summaries of leases to other VMs"},
			{Section: section, Name: "gossip_lapse", Kind: settings.KindDuration, Default: "3s", Min: 0.02, Max: 600, Help: "time without a summary after which another VM's targets no longer count"},
		},
	})
}

// LayoutProposer carries what this VM knows of layouts to control.
type LayoutProposer interface {
	// ProposeLayout offers a complete layout. An error of kind conflict says that it can never be settled.
	ProposeLayout(ctx context.Context, l model.Layout) error
	// UseLayouts tells which settled layouts targets still hold, so that they are kept.
	UseLayouts(ctx context.Context, keys []state.LayoutKey) error
}

// announceEvent carries an announcement to the control goroutine.
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
	// warmEvent ends the time in which the VM hears of the targets for the first time.
	warmEvent struct{}
)

// readinessKey names the reason why the VM is not ready while it hears of the targets for the first time.
const readinessKey = "directory"

// Module owns the leases. Its fields are used on the control goroutine only.
type Module struct {
	control  *kernel.Control
	log      log.Logger
	scope    tally.Scope
	random   *rand.Rand
	now      func() time.Time
	leases   *directory.Directory
	view     *kernel.Directory
	built    map[model.ServiceName]*directory.Service
	proposer LayoutProposer
	proposed map[proposalKey]*proposalState
	exchange *exchange
	self     model.VMName
	zone     model.AvailabilityZone
	// responsible is how many VMs a target announces itself to.
	responsible int
	// expiryAt is when the pending expireEvent is due; zero without one.
	expiryAt       time.Time
	cancelExpiry   func()
	publishPending bool
	run            context.Context
	readiness      *kernel.Readiness
	warmUp         time.Duration
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.control, m.now, m.random = ctx.Control, ctx.Now, ctx.Random()
	m.log, m.scope = ctx.Logger("directory"), ctx.Scope("directory")
	m.leases = directory.New(ctx.Settings.Int(section, "max_targets"))
	m.view = &kernel.Directory{Services: map[model.ServiceName]*kernel.ServiceDirectory{}}
	m.proposed = map[proposalKey]*proposalState{}
	// Layouts are proposed only where there is a control group.
	m.proposer, _ = kernel.Lookup[LayoutProposer](ctx)
	m.run = context.Background()
	m.self, m.zone, m.responsible = ctx.VM.VM, ctx.AvailabilityZone, ctx.Settings.Int(section, "responsible")
	if i, l := ctx.Settings.Duration(section, "gossip_interval"), ctx.Settings.Duration(section, "gossip_lapse"); l < 2*i {
		return errs.New(errs.KindInvalid, "raise gossip_lapse to at least twice gossip_interval", "[%s] gossip_lapse %s is too short for gossip_interval %s", section, l, i)
	}
	m.exchange = newExchange(m, ctx)
	m.readiness, m.warmUp = ctx.Readiness, ctx.Settings.Duration(section, "warm_up")
	if m.warmUp > 0 {
		m.readiness.Set(readinessKey, "the VM hears of the targets for the first time")
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
		m.run = ctx
		m.control.After(m.exchange.interval, tickEvent{})
		m.control.After(m.warmUp, warmEvent{})
		m.control.After(jitter(m.random, layoutUseInterval), layoutUseEvent{})
	})
}

// Announce implements kernel.TargetDirectory.
func (m *Module) Announce(ctx context.Context, a *model.Announcement) (kernel.AnnounceResult, error) {
	ev := announceEvent{announcement: a, reply: make(chan announceReply, 1)}
	const remedy = "announce again, or announce to another entry VM"
	if err := m.control.PostWait(ctx, ev); err != nil {
		return kernel.AnnounceResult{}, errs.Wrap(err, errs.KindUnavailable, remedy, "this VM cannot take the announcement now")
	}
	select {
	case r := <-ev.reply:
		return r.result, r.err
	case <-ctx.Done():
		return kernel.AnnounceResult{}, errs.Wrap(ctx.Err(), errs.KindUnavailable, remedy, "this VM cannot take the announcement now")
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
	case proposedEvent:
		m.proposeDone(ev)
	case layoutUseEvent:
		m.reportLayouts()
	case warmEvent:
		m.readiness.Clear(readinessKey)
	default:
		m.exchange.handleEvent(now, ev)
	}
}

// ContributeView implements kernel.ViewContributor. The settled layouts are in the view already, because the
// provider of replicated state goes earlier.
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

// sameMap reports whether two builds hold the same services. Services are immutable, so their pointers tell.
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
		_ = level.Warn(m.log).Log("msg", "announcement refused", "target", a.Key(), "kind", errs.KindOf(err), "err", err)
		return kernel.AnnounceResult{}, err
	}
	m.scope.Counter("announcements_accepted").Inc(1)
	m.offerLayout(a, r)
	m.changed(now, c, "announced_to", m.self)
	if m.exchange.heard(c, a) {
		m.schedule(!a.State.AcceptsWork())
	}
	return kernel.AnnounceResult{
		Responsible: m.exchange.responsible(a.Key(), a.AvailabilityZone, m.responsible),
		NeedLayout:  m.leases.NeedsLayout(a, r),
	}, nil
}

// replicated returns what announcements are checked against, as last published.
func (m *Module) replicated() directory.Replicated {
	v := m.control.View()
	return directory.Replicated{Configured: v.Config != nil, Site: v.Site, Layouts: v.Layouts}
}

func (m *Module) report(now time.Time, ev kernel.TargetStateReport) {
	if c, ok := m.leases.Report(now, ev.Target, ev.Incarnation, ev.State); ok {
		m.changed(now, c, "reported_by", "reply")
	}
}

func (m *Module) expire(now time.Time) {
	m.expiryAt = time.Time{}
	for _, c := range m.leases.Expire(now) {
		m.changed(now, c, "announced_to", m.self)
		if m.exchange.heard(c, nil) {
			m.schedule(false)
		}
	}
	m.armExpiry(now)
}

// changed logs a change of membership and lets it be published. by and value name where it was learnt.
func (m *Module) changed(now time.Time, c directory.Change, by string, value any) {
	m.armExpiry(now)
	if !c.Membership() {
		return
	}
	t := c.Target
	m.scope.Gauge("leases").Update(float64(m.leases.Len()))
	_ = level.Info(m.log).Log("msg", "target "+string(c.Kind), "target", t.Key(), "state", t.State, "previous_state", c.Previous,
		"incarnation", t.Incarnation, "sequence", t.Sequence, "address", t.Addr, "layout", t.Layout.Number, "shards", len(t.Shards), by, value)
	m.schedule(c.Urgent())
}

// schedule lets changes be published and sent on, at once when a target stops accepting work.
func (m *Module) schedule(urgent bool) {
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

// armExpiry keeps one timer for the lease that lapses next.
func (m *Module) armExpiry(now time.Time) {
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
	m.cancelExpiry = m.control.After(max(at.Sub(now), expiryGrain), expireEvent{})
}
