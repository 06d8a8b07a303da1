// Package dissemination is the module dissemination.relay. It keeps this VM's copy of the replicated state, passes
// it on to other VMs, keeps this VM's seat, and fills the parts of the view that come from the state.
package dissemination

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/dissemination"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const section = "dissemination"

const (
	// readinessKey names the reason why the VM is not ready while it has no state.
	readinessKey = "dissemination"
	// seatReadinessKey names the reason why the VM is not ready while it has no seat.
	seatReadinessKey = "seat"
	// contactGrain is how far the published time of contact may lag. Each publication costs every reader of the
	// view a little, so that a contact alone is not published with each confirmation.
	contactGrain = 5 * time.Second
	// ageLogInterval is the time between two log lines about a state that control does not confirm.
	ageLogInterval = time.Minute
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "dissemination.relay",
		New:   func() kernel.Module { return &Module{} },
		Needs: []kernel.Capability{kernel.CapLog},
		Wants: []kernel.Capability{
			kernel.CapMetrics, kernel.CapPeerTransport, kernel.CapStateMachine, kernel.CapControlLog, kernel.CapControlClient,
		},
		Provides: []kernel.Capability{kernel.CapReplicatedState},
		Enabled:  func(s *settings.Settings) bool { return s.Traffic == settings.TrafficQueries },
		Settings: []settings.Key{
			{Section: section, Name: "interval", Kind: settings.KindDuration, Default: "1s", Min: 0.01, Max: 60, Help: "time between two confirmations of the state to other VMs"},
			{Section: section, Name: "bootstrap_grace", Kind: settings.KindDuration, Default: "2s", Min: 0.01, Max: 600, Help: "time for the VMs around to name their state before a VM that starts is ready"},
			{Section: section, Name: "local_config", Help: "folder with base.ini and overlays, for a system without control VMs"},
			{Section: section, Name: "services", Kind: settings.KindList, Help: "services with default settings, for a system without control VMs and local_config"},
		},
	})
}

// Module holds the copy of the replicated state. Its fields are used on the control goroutine, apart from those
// that Provision sets.
type Module struct {
	control   *kernel.Control
	readiness *kernel.Readiness
	log       log.Logger
	scope     tally.Scope
	random    func() float64
	now       func() time.Time
	zone      model.AvailabilityZone
	interval  time.Duration
	local     *localState
	exchange  *exchange
	node      *dissemination.Node
	seats     *seats
	client    kernel.ControlClient
	source    kernel.StateSource
	replica   kernel.ControlLog
	run       context.Context

	config *model.Config
	// configChanged is the state revision of config.
	configChanged uint64
	layouts       map[model.ServiceName]map[model.LayoutNumber]*model.Layout
	// published is what the last view said.
	publishedContact time.Time
	ageLoggedAt      time.Time
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.control, m.readiness, m.now, m.zone = ctx.Control, ctx.Readiness, ctx.Now, ctx.AvailabilityZone
	m.log, m.scope, m.random = ctx.Logger("dissemination"), ctx.Scope("dissemination"), ctx.Random().Float64
	m.interval, m.run = s.Duration(section, "interval"), context.Background()
	if !hasControl(s) {
		var err error
		if m.local, err = newLocalState(ctx); err == nil {
			m.shareLayouts()
		}
		return err
	}
	// Each of these is missing where the settings leave its module out.
	m.client, _ = kernel.Lookup[kernel.ControlClient](ctx)
	m.source, _ = kernel.Lookup[kernel.StateSource](ctx)
	m.replica, _ = kernel.Lookup[kernel.ControlLog](ctx)
	m.node = dissemination.NewNode(m.now(), dissemination.Config{
		Self: ctx.VM.VM, Zone: ctx.AvailabilityZone, Entry: s.HasRole(settings.RoleEntry), Control: s.HasRole(settings.RoleControl),
		Interval: m.interval, Grace: s.Duration(section, "bootstrap_grace"), Around: peersOf(s),
	})
	m.exchange = newExchange(m, ctx)
	if s.HasRole(settings.RoleEntry) {
		m.readiness.Set(readinessKey, "the VM has no replicated state yet")
		m.readiness.Set(seatReadinessKey, noSeatReason)
		m.seats = newSeats(m, ctx)
	}
	return nil
}

func peersOf(s *settings.Settings) []dissemination.Peer {
	var out []dissemination.Peer
	for _, p := range s.Peers {
		out = append(out, dissemination.Peer{VM: p.Name, Zone: p.AvailabilityZone, Entry: p.HasRole(settings.RoleEntry), Control: p.HasRole(settings.RoleControl)})
	}
	return out
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	if m.local != nil {
		_ = level.Warn(m.log).Log("msg", "no VM has the role control; local settings stand in for the replicated state", "services", len(m.local.services()))
		return nil
	}
	return m.control.Do(ctx, func(time.Time) {
		m.run = ctx
		m.control.After(0, tickEvent{})
	})
}

// Drain implements kernel.Drainer. It gives the seat back once the connections to targets are closed.
func (m *Module) Drain(ctx context.Context) error {
	if m.seats == nil {
		return nil
	}
	return m.seats.drain(ctx)
}

// HandleEvent implements kernel.Controller.
func (m *Module) HandleEvent(now time.Time, ev kernel.Event) {
	if m.local != nil {
		return
	}
	switch ev := ev.(type) {
	case tickEvent:
		m.control.After(m.interval, tickEvent{})
		m.exchange.refreshPeers(now)
		m.takeLocal(now)
		m.node.Tick(now)
		m.watchContact(now)
	case kernel.StateChanged:
		m.takeLocal(now)
	case seatResultEvent:
		m.seats.result(now, ev)
	default:
		if !m.exchange.handleEvent(now, ev) {
			return
		}
	}
	m.carryOut(now)
}

// takeLocal takes over the state of this control VM.
func (m *Module) takeLocal(now time.Time) {
	if m.source == nil {
		return
	}
	confirmed := false
	if m.replica != nil {
		s := m.replica.Status()
		confirmed = s.Leader != "" && s.Role != "candidate" && s.Role != "joining"
	}
	m.node.LocalState(now, m.source.SharedState(), confirmed)
}

// carryOut carries out the effects of an event and publishes what changed.
func (m *Module) carryOut(now time.Time) {
	e := m.node.TakeEffects()
	if e.Refused != nil {
		m.scope.Counter("updates_refused").Inc(1)
		_ = level.Error(m.log).Log("msg", "update refused", "revision", m.node.Shared().Revision, "err", e.Refused)
	}
	m.exchange.carryOut(now, e)
	if e.Changed {
		m.takeState()
	}
	if m.node.Ready() {
		m.readiness.Clear(readinessKey)
	}
	if m.seats != nil {
		m.seats.step(now)
	}
}

// takeState parses a new state and lets it be published.
func (m *Module) takeState() {
	s := m.node.Shared()
	m.layouts = s.LayoutTable()
	m.takeConfig(s)
	m.scope.Gauge("state_revision").Update(float64(s.Revision))
	_ = level.Info(m.log).Log("msg", "state taken over", "revision", s.Revision, "configuration", s.ConfigRevision, "layouts", len(s.Layouts), "seats", s.Seats.Count)
	m.control.MarkDirty()
}

// takeConfig parses the configuration when it is a new one. A configuration that this release cannot read leaves
// the one before in force, because a VM without any would serve nothing.
func (m *Module) takeConfig(s *state.Shared) {
	if s.ConfigRevision == 0 || s.ConfigChanged == m.configChanged {
		return
	}
	c, err := config.Parse(s.ConfigFiles())
	if err != nil {
		_ = level.Error(m.log).Log("msg", "configuration not taken over; remedy: upgrade this VM", "configuration", s.ConfigRevision, "err", err)
		return
	}
	c.Revision = s.ConfigRevision
	m.config, m.configChanged = c, s.ConfigChanged
	m.scope.Gauge("configuration_revision").Update(float64(c.Revision))
	site := c.SiteOf(m.zone)
	if site == nil {
		_ = level.Warn(m.log).Log("msg", "configuration in force has no site for this availability zone", "configuration", c.Revision, "availability_zone", m.zone)
		return
	}
	_ = level.Info(m.log).Log("msg", "configuration in force", "configuration", c.Revision, "site", site.Name, "services", len(site.Services))
}

// watchContact tells how old the state is that control last confirmed.
func (m *Module) watchContact(now time.Time) {
	contact := m.node.Contact()
	if contact.Sub(m.publishedContact) >= contactGrain {
		m.control.MarkDirty()
	}
	if contact.IsZero() {
		return
	}
	age := now.Sub(contact)
	m.scope.Gauge("control_contact_age_seconds").Update(age.Seconds())
	if age < dissemination.StaleAfter {
		if !m.ageLoggedAt.IsZero() {
			_ = level.Info(m.log).Log("msg", "control confirms the state again", "revision", m.node.Shared().Revision)
		}
		m.ageLoggedAt = time.Time{}
		return
	}
	if now.Sub(m.ageLoggedAt) >= ageLogInterval {
		m.ageLoggedAt = now
		_ = level.Warn(m.log).Log("msg", "control cannot be reached; the VM goes on with the state that it has", "revision", m.node.Shared().Revision, "age", age.Round(time.Second))
	}
}

// ContributeView implements kernel.ViewContributor.
func (m *Module) ContributeView(now time.Time, v *kernel.View) {
	v.Seat = model.NoSeat
	if m.local != nil {
		m.local.contribute(now, v)
		return
	}
	s := m.node.Shared()
	v.Config, v.StateRevision, v.ControlContact, v.Layouts = m.config, s.Revision, m.node.Contact(), m.layouts
	m.publishedContact = v.ControlContact
	if m.config != nil {
		v.Site = m.config.SiteOf(m.zone)
	}
	if m.seats != nil {
		v.Seat = m.seats.contribute(now, v)
	}
}

// ProposeLayout offers a layout to control. An error of kind conflict says that it can never be settled.
func (m *Module) ProposeLayout(ctx context.Context, l model.Layout) error {
	if m.local != nil {
		return m.settleLocally(ctx, &l)
	}
	result, err := m.propose(ctx, state.CommitLayout{Layout: l})
	if err != nil {
		return err
	}
	r, ok := result.(state.CommitLayoutResult)
	if !ok {
		return errs.New(errs.KindInternal, "report this fault", "the result of a layout is a %T", result)
	}
	return dissemination.SettleError(r)
}

// UseLayouts tells control which layouts targets still hold.
func (m *Module) UseLayouts(ctx context.Context, keys []state.LayoutKey) error {
	if m.local != nil || len(keys) == 0 {
		return nil
	}
	_, err := m.propose(ctx, state.ReportLayoutUse{Layouts: keys})
	return err
}

func (m *Module) propose(ctx context.Context, command kernel.Command) (kernel.CommandResult, error) {
	if m.client == nil {
		return nil, errs.New(errs.KindUnavailable, "enable the module control.client", "this VM has no way to control")
	}
	return m.client.Propose(ctx, command)
}

func (m *Module) settleLocally(ctx context.Context, l *model.Layout) error {
	var err error
	if doErr := m.control.Do(ctx, func(time.Time) {
		if err = m.local.settle(l); err == nil {
			m.control.MarkDirty()
		}
	}); doErr != nil {
		return doErr
	}
	return err
}
