// Package dissemination is the module dissemination.relay. It keeps this VM's copy of the replicated state, relays it
// to other VMs, holds this VM's seat, and fills the parts of the view that come from the state.
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
	// readinessKey identifies the reason why the VM is not ready while it has no state.
	readinessKey = "dissemination"
	// seatReadinessKey identifies the reason why the VM is not ready while it has no seat.
	seatReadinessKey = "seat"
	// contactPublishInterval is how far the published time of the last contact with the control group may lag behind.
	// Each publication has a small cost for every reader of the view, so a confirmation that changes only this time
	// is not always published.
	contactPublishInterval = 5 * time.Second
	// ageLogInterval is the time between two log lines about a state that the control group no longer confirms.
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
			{Section: section, Name: "bootstrap_grace", Kind: settings.KindDuration, Default: "2s", Min: 0.01, Max: 600, Help: "time that a VM that starts waits for other VMs to report their state before it is ready"},
			{Section: section, Name: "local_config", Help: "folder with base.ini and overlays, for a system without control VMs"},
			{Section: section, Name: "services", Kind: settings.KindList, Help: "services with default settings, for a system without control VMs and local_config"},
		},
	})
}

// Module holds the copy of the replicated state. Its fields are used only on the control goroutine, except for those
// that Provision sets.
type Module struct {
	control   *kernel.Control
	readiness *kernel.Readiness
	logger    log.Logger
	scope     tally.Scope
	random    func() float64
	now       func() time.Time
	zone      model.AvailabilityZone
	interval  time.Duration
	// local is set in a system without control VMs only; exchange and node are nil then. seats is nil except on an entry
	// VM of a system with control VMs.
	local         *localState
	exchange      *exchange
	node          *dissemination.Node
	seats         *seats
	controlClient kernel.ControlClient
	stateSource   kernel.StateSource
	controlLog    kernel.ControlLog
	runCtx        context.Context

	config *model.Config
	// configChanged is the state revision at which config was changed.
	configChanged uint64
	layouts       map[model.ServiceName]map[model.LayoutNumber]*model.Layout
	// publishedContact is the time of the last contact with the control group in the last published view.
	publishedContact time.Time
	// contactAgeLoggedAt is when a missing contact with the control group was last logged; zero while there is contact.
	contactAgeLoggedAt time.Time
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.control, m.readiness, m.now, m.zone = ctx.Control, ctx.Readiness, ctx.Now, ctx.AvailabilityZone
	m.logger, m.scope, m.random = ctx.Logger("dissemination"), ctx.Scope("dissemination"), ctx.Random().Float64
	m.interval, m.runCtx = s.Duration(section, "interval"), context.Background()
	if !hasControl(s) {
		var err error
		if m.local, err = newLocalState(ctx); err == nil {
			m.shareLayouts()
		}
		return err
	}
	// Each of these is nil if the settings do not enable its module.
	m.controlClient, _ = kernel.Lookup[kernel.ControlClient](ctx)
	m.stateSource, _ = kernel.Lookup[kernel.StateSource](ctx)
	m.controlLog, _ = kernel.Lookup[kernel.ControlLog](ctx)
	m.node = dissemination.NewNode(m.now(), dissemination.Config{
		Self: ctx.VM.VM, Zone: ctx.AvailabilityZone, Entry: s.HasRole(settings.RoleEntry), Control: s.HasRole(settings.RoleControl),
		Interval: m.interval, BootstrapGrace: s.Duration(section, "bootstrap_grace"), BootstrapPeers: peersOf(s),
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
		_ = level.Warn(m.logger).Log("msg", "no VM has the role control; this VM uses local settings instead of the replicated state", "services", len(m.local.services()))
		return nil
	}
	return m.control.Do(ctx, func(time.Time) {
		m.runCtx = ctx
		m.control.After(0, tickEvent{})
	})
}

// Drain implements kernel.Drainer. It releases the seat once the connections to targets are closed.
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
		m.applyLocalState(now)
		m.node.Tick(now)
		m.checkControlContact(now)
	case kernel.StateChanged:
		m.applyLocalState(now)
	case seatResultEvent:
		m.seats.handleResult(now, ev)
	default:
		if !m.exchange.handleEvent(now, ev) {
			return
		}
	}
	m.applyEffects(now)
}

// applyLocalState applies the state of this control VM's own replica.
func (m *Module) applyLocalState(now time.Time) {
	if m.stateSource == nil {
		return
	}
	confirmed := false
	if m.controlLog != nil {
		s := m.controlLog.Status()
		confirmed = s.Leader != "" && s.Role != "candidate" && s.Role != "joining"
	}
	m.node.SetLocalState(now, m.stateSource.DisseminatedState(), confirmed)
}

// applyEffects carries out the effects that the node has after an event, and updates readiness and seat.
func (m *Module) applyEffects(now time.Time) {
	e := m.node.TakeEffects()
	if e.Refused != nil {
		m.scope.Counter("updates_refused").Inc(1)
		_ = level.Error(m.logger).Log("msg", "update of the replicated state could not be applied", "revision", m.node.Disseminated().Revision, "err", e.Refused)
	}
	m.exchange.applyEffects(now, e)
	if e.Changed {
		m.applyState()
	}
	if m.node.Ready() {
		m.readiness.Clear(readinessKey)
	}
	if m.seats != nil {
		m.seats.step(now)
	}
}

// applyState parses a new state and marks the view for publication.
func (m *Module) applyState() {
	s := m.node.Disseminated()
	m.layouts = s.LayoutTable()
	m.applyConfig(s)
	m.scope.Gauge("state_revision").Update(float64(s.Revision))
	_ = level.Info(m.logger).Log("msg", "replicated state applied", "revision", s.Revision, "configuration", s.ConfigRevision, "layouts", len(s.Layouts), "seats", s.Seats.Count)
	m.control.MarkDirty()
}

// applyConfig parses the configuration if it is a new one. If this release cannot read it, the previous one stays in
// force, because a VM without a configuration would serve nothing.
func (m *Module) applyConfig(s *state.DisseminatedState) {
	if s.ConfigRevision == 0 || s.ConfigChanged == m.configChanged {
		return
	}
	c, err := config.Parse(s.ConfigFiles())
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "new configuration cannot be read and is not in force; upgrade this VM", "configuration", s.ConfigRevision, "err", err)
		return
	}
	c.Revision = s.ConfigRevision
	m.config, m.configChanged = c, s.ConfigChanged
	m.scope.Gauge("configuration_revision").Update(float64(c.Revision))
	site := c.SiteOf(m.zone)
	if site == nil {
		_ = level.Warn(m.logger).Log("msg", "configuration in force has no site for this availability zone", "configuration", c.Revision, "availability_zone", m.zone)
		return
	}
	_ = level.Info(m.logger).Log("msg", "configuration in force", "configuration", c.Revision, "site", site.Name, "services", len(site.Services))
}

// checkControlContact publishes, records and logs the time since the control group last confirmed the state.
func (m *Module) checkControlContact(now time.Time) {
	contact := m.node.ControlContact()
	if contact.Sub(m.publishedContact) >= contactPublishInterval {
		m.control.MarkDirty()
	}
	if contact.IsZero() {
		return
	}
	age := now.Sub(contact)
	m.scope.Gauge("control_contact_age_seconds").Update(age.Seconds())
	if age < dissemination.StaleAfter {
		if !m.contactAgeLoggedAt.IsZero() {
			_ = level.Info(m.logger).Log("msg", "the control group confirms the replicated state again", "revision", m.node.Disseminated().Revision)
		}
		m.contactAgeLoggedAt = time.Time{}
		return
	}
	if now.Sub(m.contactAgeLoggedAt) >= ageLogInterval {
		m.contactAgeLoggedAt = now
		_ = level.Warn(m.logger).Log("msg", "the control group no longer confirms the replicated state; this VM continues with the state that it has", "revision", m.node.Disseminated().Revision, "age", age.Round(time.Second))
	}
}

// ContributeView implements kernel.ViewContributor.
func (m *Module) ContributeView(now time.Time, v *kernel.View) {
	v.Seat = model.NoSeat
	if m.local != nil {
		m.local.contribute(now, v)
		return
	}
	s := m.node.Disseminated()
	v.Config, v.StateRevision, v.ControlContact, v.Layouts = m.config, s.Revision, m.node.ControlContact(), m.layouts
	m.publishedContact = v.ControlContact
	if m.config != nil {
		v.Site = m.config.SiteOf(m.zone)
	}
	if m.seats != nil {
		v.Seat = m.seats.contribute(now, v)
	}
}

// ProposeLayout proposes a layout to the control group. An error of kind conflict means that it can never be
// committed.
func (m *Module) ProposeLayout(ctx context.Context, l model.Layout) error {
	if m.local != nil {
		return m.commitLocally(ctx, &l)
	}
	result, err := m.propose(ctx, state.CommitLayout{Layout: l})
	if err != nil {
		return err
	}
	r, ok := result.(state.CommitLayoutResult)
	if !ok {
		return errs.New(errs.KindInternal, "report this fault", "the result of a proposed layout has type %T", result)
	}
	return dissemination.LayoutResultError(r)
}

// ReportLayoutUse reports to the control group which layouts targets still use.
func (m *Module) ReportLayoutUse(ctx context.Context, keys []state.LayoutKey) error {
	if m.local != nil || len(keys) == 0 {
		return nil
	}
	_, err := m.propose(ctx, state.ReportLayoutUse{Layouts: keys})
	return err
}

func (m *Module) propose(ctx context.Context, command kernel.Command) (kernel.CommandResult, error) {
	if m.controlClient == nil {
		return nil, errs.New(errs.KindUnavailable, "enable the module control.client", "this VM cannot send commands to the control group")
	}
	return m.controlClient.Propose(ctx, command)
}

func (m *Module) commitLocally(ctx context.Context, l *model.Layout) error {
	var err error
	if doErr := m.control.Do(ctx, func(time.Time) {
		if err = m.local.commitLayout(l); err == nil {
			m.control.MarkDirty()
		}
	}); doErr != nil {
		return doErr
	}
	return err
}
