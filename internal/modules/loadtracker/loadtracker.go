// Package loadtracker is the module load.tracker. It keeps the observations of this VM about each target, and limits the
// attempts in flight there by the VM's connection share and by the concurrency that the target accepts.
package loadtracker

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/admission"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/limits"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "load_tracker"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "load.tracker",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapLoadTracker},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
		Settings: []settings.Key{
			{Section: section, Name: "queue_per_target", Kind: settings.KindInt, Default: "64", Min: 1, Max: 100000, Help: "attempts that may wait for one target"},
			{Section: section, Name: "unresponsive_after", Kind: settings.KindDuration, Default: "200ms", Min: 0.001, Max: 60, Help: "time without a reply after which a timeout counts against the target"},
		},
	})
}

// Module holds one tracker for each target.
type Module struct {
	control           *kernel.Control
	now               func() time.Time
	logger            log.Logger
	scope             tally.Scope
	zone              model.AvailabilityZone
	queueCapacity     int
	unresponsiveAfter time.Duration

	mu       sync.RWMutex
	targets  map[model.TargetKey]*tracker
	zones    map[model.AvailabilityZone]*zoneHealth
	services map[model.ServiceName]*serviceLatency

	changes <-chan struct{}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.control, m.now, m.zone = ctx.Control, ctx.Now, ctx.AvailabilityZone
	m.logger, m.scope = ctx.Logger("load"), ctx.Scope("load")
	m.queueCapacity = ctx.Settings.Int(section, "queue_per_target")
	m.unresponsiveAfter = ctx.Settings.Duration(section, "unresponsive_after")
	m.targets = map[model.TargetKey]*tracker{}
	m.zones = map[model.AvailabilityZone]*zoneHealth{}
	m.services = map[model.ServiceName]*serviceLatency{}
	m.changes = ctx.Control.Changes()
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.control.Follow(ctx, m.changes, m.reconcile)
	return nil
}

// reconcile applies new connection shares and removes targets that are no longer in the directory.
func (m *Module) reconcile(v *kernel.View) {
	live := map[model.TargetKey]*model.Target{}
	v.EachTarget(func(t *model.Target) { live[t.Key()] = t })
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, tr := range m.targets {
		if t, ok := live[k]; ok {
			tr.setShare(v.Seat.ConnectionShare(k, t.ConnectionLimit))
		} else if tr.idle() {
			delete(m.targets, k)
		}
	}
}

// tracker returns the tracker of a target, and creates one for a new target or a new incarnation.
func (m *Module) tracker(t *model.Target) *tracker {
	k := t.Key()
	m.mu.RLock()
	tr := m.targets[k]
	m.mu.RUnlock()
	if tr != nil && tr.incarnation >= t.Incarnation {
		return tr
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if tr = m.targets[k]; tr != nil && tr.incarnation >= t.Incarnation {
		return tr
	}
	z := m.zones[t.AvailabilityZone]
	if z == nil {
		z = &zoneHealth{}
		m.zones[t.AvailabilityZone] = z
	}
	share := m.control.View().Seat.ConnectionShare(k, t.ConnectionLimit)
	m.targets[k] = newTracker(m, t, z, share)
	return m.targets[k]
}

// Candidates implements kernel.LoadTracker.
func (m *Module) Candidates(dst []kernel.Candidate, now time.Time, targets []*model.Target) []kernel.Candidate {
	ejected := 0
	for _, t := range targets {
		tr := m.tracker(t)
		c := tr.candidate(now)
		c.Target = t
		c.SameZone = t.AvailabilityZone == m.zone
		c.Weight = limits.SlowStartWeight(t.ServingSince, now)
		if t.State == model.TargetCold {
			c.Weight = limits.ColdWeight
		}
		switch {
		case !c.SameZone && tr.zone.isUnreachable(now):
			c.Ejected = true
		case c.Ejected:
			// At least one replica of a shard always stays available.
			if ejected++; ejected > limits.MaxEjected(len(targets)) {
				c.Ejected = false
			}
		}
		dst = append(dst, c)
	}
	return dst
}

// Acquire implements kernel.LoadTracker.
func (m *Module) Acquire(ctx context.Context, t *model.Target, p model.Priority) (kernel.Permit, error) {
	tr := m.tracker(t)
	requested := m.now()
	w, err := tr.enter(ctx, p)
	if err != nil {
		return nil, err
	}
	now := requested
	if w != nil {
		err = tr.wait(ctx, w)
		now = m.now()
	}
	tr.observeWait(now.Sub(requested), now)
	if err != nil {
		return nil, err
	}
	tr.sent(now)
	return &permit{tracker: tr, waited: now.Sub(requested)}, nil
}

// QueueingDelay implements kernel.LoadTracker.
func (m *Module) QueueingDelay(s model.ServiceName) time.Duration {
	if l := m.service(s); l != nil {
		return l.queueingDelay(m.now())
	}
	return 0
}

// QuantileLatency implements kernel.LoadTracker.
func (m *Module) QuantileLatency(s model.ServiceName, shard model.ShardID, quantile float64) time.Duration {
	if l := m.service(s); l != nil {
		return l.quantile(shard, quantile, m.now())
	}
	return 0
}

// Shedding implements kernel.LoadTracker.
func (m *Module) Shedding(s model.ServiceName) bool {
	l := m.service(s)
	return l != nil && l.sheds.isShedding(m.now())
}

func (m *Module) service(s model.ServiceName) *serviceLatency {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.services[s]
}

func (m *Module) serviceFor(s model.ServiceName) *serviceLatency {
	if l := m.service(s); l != nil {
		return l
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services[s] == nil {
		m.services[s] = newServiceLatency()
	}
	return m.services[s]
}

// permit is the right to one attempt in flight.
type permit struct {
	tracker *tracker
	// waited is how long the attempt waited for the permit.
	waited time.Duration
	once   sync.Once
}

// Done implements kernel.Permit.
func (p *permit) Done(r model.Reply) { p.once.Do(func() { p.tracker.finish(r, p.waited) }) }

func queueFull(t model.TargetKey, queued int) error {
	return errs.New(errs.KindOverload, "try again later or with a longer deadline", "%d attempts are already queued for target %s", queued, t)
}

func noShare(t model.TargetKey) error {
	return errs.New(errs.KindOverload, "choose a target that this VM may connect to", "this VM has no share of the connections of target %s", t)
}

func (m *Module) logEjection(t model.TargetKey, msg string, until time.Time, r model.Reply) {
	_ = level.Warn(m.logger).Log("msg", msg, "target", t, "status", r.Status, "reason", r.Reason, "for", until.Sub(m.now()).Round(time.Millisecond))
}

// waiter is an attempt in the queue of a target. granted is closed when the wait ends; err is then nil if the attempt may be
// sent, and otherwise the reason why not.
type waiter struct {
	granted chan struct{}
	err     error
}

type queueEntry = admission.Waiter[*waiter]
