package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

// followAll starts to follow the control VMs that are not followed yet.
func (m *Module) followAll() {
	if m.run.Err() != nil {
		return
	}
	for _, p := range m.peers.Peers() {
		if p.Control && m.sources[p.VM] == nil {
			s := &source{}
			m.sources[p.VM] = s
			m.chooseSources(m.now())
			go m.follow(m.run, p.VM, s)
		}
	}
}

// chooseSources chooses the control VMs from which leaves and routes are taken: those that answer before the others, then
// those of the own availability zone, then by a hash that spreads entry VMs over the control VMs. A control VM hears from
// all others.
func (m *Module) chooseSources(now time.Time) {
	zones := map[model.VMName]model.AvailabilityZone{}
	connected := map[model.VMName]bool{}
	for _, p := range m.peers.Peers() {
		zones[p.VM], connected[p.VM] = p.AvailabilityZone, p.Connected
	}
	var names []model.VMName
	for vm := range m.sources {
		names = append(names, vm)
	}
	rank := func(vm model.VMName) int {
		switch s := m.sources[vm]; {
		case !connected[vm] || s.told && !s.answers(now):
			return 2
		case zones[vm] != m.zone:
			return 1
		}
		return 0
	}
	order := rendezvous.Top(string(m.self), names, len(names))
	slices.SortStableFunc(order, func(a, b model.VMName) int { return cmp.Compare(rank(a), rank(b)) })
	for i, vm := range order {
		full := m.controls || i < fullSources
		if s := m.sources[vm]; s.full.Swap(full) != full {
			_ = level.Info(m.logger).Log("msg", "source of leaves and routes changed", "from", vm, "full", full)
		}
	}
	if !m.controls && len(order) > 0 && order[0] != m.first() {
		m.pool.first.Store(&order[0])
		m.useTrouble(now)
	}
}

func (m *Module) addControl(vm model.VMName) {
	if m.settings.Discovers && vm != m.self {
		m.peers.AddPeer(m.settings.ControlPeer(vm))
	}
}

// dropCopy forgets the leaves of a control VM from which they are not taken any more, once another one has told its own.
func (m *Module) dropCopy(now time.Time, s *source) {
	if s.copy.Leaves == nil || s.full.Load() {
		return
	}
	for _, other := range m.sources {
		if other != s && other.full.Load() && other.copy.Leaves != nil && other.answers(now) {
			s.copy = leaves.RemoteTable{}
			m.join(now)
			return
		}
	}
}

// countEntryVMs takes the greatest number that a control VM reports, so that a control VM which is cut off from some
// entry VMs does not make the others take more connections than there are.
func (m *Module) countEntryVMs(now time.Time) {
	n := 0
	for _, s := range m.sources {
		if now.Sub(s.contact) < forgetSource {
			n = max(n, s.entryVMs)
		}
	}
	if n >= m.entryVMs {
		m.fewerSince = time.Time{}
	} else if m.fewerSince.IsZero() {
		m.fewerSince = now
	}
	if n == m.entryVMs || n == 0 || n < m.entryVMs && now.Sub(m.fewerSince) < countLower {
		return
	}
	_ = level.Info(m.logger).Log("msg", "number of entry VMs changed", "before", m.entryVMs, "now", n)
	m.entryVMs = n
	m.gauges.entryVMs.Update(float64(n))
	m.control.MarkDirty()
}

// contact returns when a control VM answered last.
func (m *Module) contact(vm model.VMName) time.Time {
	if s := m.sources[vm]; s != nil {
		return s.contact
	}
	return time.Time{}
}

// forgetSources drops the news of control VMs that have not answered for long, as long as another one answers.
func (m *Module) forgetSources(now time.Time) {
	answering := false
	for _, s := range m.sources {
		answering = answering || s.answers(now)
	}
	for vm, s := range m.sources {
		if answering && s.told && now.Sub(s.contact) > forgetSource {
			s.told, s.copy = false, leaves.RemoteTable{}
			_ = level.Warn(m.logger).Log("msg", "the leaves of a control VM are dropped because it has not answered", "from", vm, "age", now.Sub(s.contact))
			m.join(now)
		}
	}
}
