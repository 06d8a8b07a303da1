// Package allowances is the module allowance.zones. It divides limits on what all entry VMs do together: a few entry VMs of each
// availability zone keep the zone's slices, and the others ask them. Package allowance makes the decisions.
package allowances

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "allowance.zones",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapPeerTransport},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapAllowances},
		Enabled: func(s *settings.Settings) bool {
			return kernel.ForRoutes(settings.RoleEntry)(s) && len(s.ZoneRegions) > 0
		},
	})
}

// The kinds of peer messages.
const (
	kindAsk    = "allowances.ask"
	kindBorrow = "allowances.borrow"
)

// tickInterval is the time between two calls of Owner.Tick. It is well below allowance.MaxGap.
const tickInterval = allowance.MaxGap / 2

// assumedEntryVMs is the number of entry VMs among which local slices are divided while it is unknown. It is higher than the kernel's, so
// that the slices of a larger system do not add up to more than its slack when all VMs start for the first time.
const assumedEntryVMs = 64

// logInterval is the shortest time between two log lines about the same kind of trouble.
const logInterval = 5 * time.Second

// Module implements kernel.Allowances. Its state belongs to traffic goroutines, which hold the lock for short times and never while
// they wait.
type Module struct {
	self    model.VMName
	zone    model.AvailabilityZone
	now     func() time.Time
	control *kernel.Control
	changes <-chan struct{}
	peers   kernel.PeerTransport
	entry   func(model.VMName) settings.Peer
	logger  log.Logger
	metrics metrics
	// added holds the VMs that this module has added as peers. It belongs to the goroutine that follows views.
	added  map[model.VMName]bool
	runCtx context.Context
	cancel context.CancelFunc

	settings *settings.Settings
	// startTicks starts the periodic work, once there is a limit to keep.
	startTicks sync.Once

	mu sync.Mutex
	// ownersChanged is closed when the owners or the connections to them have changed.
	ownersChanged chan struct{}
	// noOwnerUntil is until when asks do not wait for a connection to an owner.
	noOwnerUntil time.Time
	owner        *allowance.Owner
	asker        *allowance.Asker
	owners       map[model.AvailabilityZone][]model.VMName
	entryVMs     int
	connected    map[model.VMName]bool
	// reached holds the owners of this zone that are connected, or this VM.
	reached []model.VMName
	// outgoing holds the asks that wait for owners.
	outgoing map[model.VMName]*outgoing
	// slots holds the asks that this owner has not answered yet.
	slots  map[uint64]slot
	nextID uint64
	// borrowing is the number of requests to other zones that are under way.
	borrowing int
	// reported holds the counts of the owner that the metrics have.
	reported allowance.OwnerCounts
	loggedAt map[string]time.Time
	// denialsLoggedAt is when the denials of this owner were last logged.
	denialsLoggedAt time.Time
}

type metrics struct {
	granted, denied, local, timeouts, ownerChanges tally.Counter
	ownerGranted, ownerDenied, borrows, refusedKey tally.Counter
	borrowed, lent, keys                           tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		granted: s.Counter("granted"), denied: s.Counter("denied"), local: s.Counter("local"), timeouts: s.Counter("owner_timeouts"),
		ownerChanges: s.Counter("owner_changes"), ownerGranted: s.Counter("owner_granted"), ownerDenied: s.Counter("owner_denied"),
		borrows: s.Counter("borrow_requests"), refusedKey: s.Counter("keys_refused"),
		borrowed: s.Gauge("units_borrowed"), lent: s.Gauge("units_lent"), keys: s.Gauge("keys"),
	}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.self, m.zone, m.now = ctx.VM.VM, ctx.AvailabilityZone, ctx.Now
	m.control, m.changes = ctx.Control, ctx.Control.Changes()
	m.logger, m.metrics = ctx.Logger("allowances"), newMetrics(ctx.Scope("allowances"))
	m.settings, m.entry, m.ownersChanged = s, s.EntryPeer, make(chan struct{})
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	var zones []model.AvailabilityZone
	for z := range s.ZoneRegions {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	m.owner = allowance.NewOwner(ctx.Now(), m.zone, zones, ctx.Random())
	m.asker = allowance.NewAsker(len(zones), ctx.Random())
	m.connected, m.outgoing, m.slots = map[model.VMName]bool{}, map[model.VMName]*outgoing{}, map[uint64]slot{}
	m.loggedAt, m.added = map[string]time.Time{}, map[model.VMName]bool{}
	var err error
	if m.peers, err = kernel.Lookup[kernel.PeerTransport](ctx); err != nil {
		return err
	}
	m.peers.Handle(kindAsk, m.handleAsk)
	m.peers.Handle(kindBorrow, m.handleBorrow)
	m.peers.OnChange(func(kernel.PeerStatus) { m.updateConnected() })
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	m.control.Follow(m.runCtx, m.changes, m.applyView)
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	return nil
}

// updateConnected reads which VMs are connected. It reads all of them, since the calls of OnChange may come out of order.
func (m *Module) updateConnected() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.connected)
	for _, p := range m.peers.Peers() {
		m.connected[p.VM] = p.Connected
	}
	m.notifyOwnersChanged()
}

// notifyOwnersChanged tells the owner on this VM that its place may have changed, and wakes requests that wait for an owner. It is called
// with the lock held.
func (m *Module) notifyOwnersChanged() {
	var reached []model.VMName
	for _, vm := range m.owners[m.zone] {
		if vm == m.self || m.connected[vm] {
			reached = append(reached, vm)
		}
	}
	m.owner.LendersChanged()
	if !slices.Equal(reached, m.reached) {
		m.reached = reached
		m.owner.OwnersChanged(m.now())
	}
	close(m.ownersChanged)
	m.ownersChanged = make(chan struct{})
}

// applyView follows the list of owners. Where nothing is limited, there are no connections to owners and no periodic work.
func (m *Module) applyView(v *kernel.View) {
	var owners map[model.AvailabilityZone][]model.VMName
	if v.NeedsAllowances(m.settings) {
		owners = v.AllowanceOwners
		m.startTicks.Do(func() { go m.tick() })
	}
	m.mu.Lock()
	m.entryVMs = cmp.Or(v.EntryVMs, assumedEntryVMs)
	before := m.owners
	m.owners = owners
	m.notifyOwnersChanged()
	changed := !slices.Equal(before[m.zone], m.owners[m.zone])
	m.mu.Unlock()
	if changed {
		m.metrics.ownerChanges.Inc(1)
		_ = level.Info(m.logger).Log("msg", "owners of allowances changed", "zone", m.zone, "owners", len(owners[m.zone]), "this_vm", slices.Contains(owners[m.zone], m.self))
	}
	if changed || !maps.EqualFunc(before, owners, slices.Equal[[]model.VMName]) {
		m.connect(owners)
	}
}

// connect opens connections to the owners of this zone and, if this VM is one of them, to those of the other zones. It ends those to
// VMs that are no longer needed, which would otherwise be tried for ever. It is called on the goroutine that follows views.
func (m *Module) connect(owners map[model.AvailabilityZone][]model.VMName) {
	isOwner := slices.Contains(owners[m.zone], m.self)
	needed := map[model.VMName]bool{}
	for zone, list := range owners {
		for _, vm := range list {
			if vm != m.self && (zone == m.zone || isOwner) {
				needed[vm] = true
			}
		}
	}
	remover, canRemove := m.peers.(kernel.PeerRemover)
	for vm := range m.added {
		if !needed[vm] && canRemove {
			remover.RemovePeer(vm)
			delete(m.added, vm)
		}
	}
	for vm := range needed {
		if !m.added[vm] && !m.isPeer(vm) {
			m.peers.AddPeer(m.entry(vm))
			m.added[vm] = true
		}
	}
	m.updateConnected()
}

// isPeer reports whether a VM is a peer already, such as one that the settings list. Such a VM is not removed.
func (m *Module) isPeer(vm model.VMName) bool {
	return slices.ContainsFunc(m.peers.Peers(), func(p kernel.PeerStatus) bool { return p.VM == vm })
}

// tick calls the periodic parts of the owner and of the asking VM.
func (m *Module) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-m.runCtx.Done():
			return
		case <-t.C:
		}
		now := m.now()
		m.mu.Lock()
		var out allowance.Effects
		m.owner.Tick(now, &out)
		m.apply(now, &out)
		refunds := map[model.VMName][]allowance.Refund{}
		for _, r := range m.asker.Expired(now) {
			m.refund(now, r, refunds)
		}
		m.updateMetrics()
		denials := m.denialsToLog(now)
		m.mu.Unlock()
		m.logDenials(denials)
		for to, list := range refunds {
			m.sendRefunds(to, list)
		}
	}
}

// updateMetrics is called with the lock held.
func (m *Module) updateMetrics() {
	c, r := m.owner.Counts(), m.reported
	m.metrics.ownerGranted.Inc(int64(c.Granted - r.Granted))
	m.metrics.ownerDenied.Inc(int64(c.Denied - r.Denied))
	m.metrics.borrows.Inc(int64(c.Borrows - r.Borrows))
	m.metrics.refusedKey.Inc(int64(c.Full - r.Full))
	m.metrics.borrowed.Update(c.Borrowed)
	m.metrics.lent.Update(c.Lent)
	m.metrics.keys.Update(float64(m.owner.Keys()))
	if c.Full > r.Full {
		m.logSometimes(m.now(), "owner has no room for another allowance and denies it", "keys", m.owner.Keys())
	}
	m.reported = c
}

// logSometimes writes a line at most once in logInterval. It is called with the lock held.
func (m *Module) logSometimes(now time.Time, msg string, keyvals ...interface{}) {
	if now.Sub(m.loggedAt[msg]) < logInterval {
		return
	}
	m.loggedAt[msg] = now
	_ = level.Warn(m.logger).Log(append([]interface{}{"msg", msg}, keyvals...)...)
}
