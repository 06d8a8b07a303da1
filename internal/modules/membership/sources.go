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

// watchAll starts to watch the control VMs that are not watched yet.
func (m *Module) watchAll() {
	if m.runCtx.Err() != nil {
		return
	}
	for _, p := range m.peers.Peers() {
		if p.Control && m.sources[p.VM] == nil {
			s := &source{}
			m.sources[p.VM] = s
			m.chooseSources(m.now())
			go m.watch(m.runCtx, p.VM, s)
		}
	}
}

// chooseSources chooses the control VMs from which leaves and routes are requested: those that respond first, then those that
// are connected to a majority of the control VMs, since the others may lack the latest changes, then those of the own
// availability zone, then by a hash that spreads entry VMs over the control VMs. A control VM requests
// them from all others.
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
		reach := 0
		switch s := m.sources[vm]; {
		case !connected[vm]:
			reach = 3
		case s.failing.Load() || s.answered && !s.responsive(now):
			reach = 2
		case s.answered && 2*(s.controlVMs+1) <= len(names):
			reach = 1
		}
		if zones[vm] != m.zone {
			return 2*reach + 1
		}
		return 2 * reach
	}
	order := rendezvous.Top(string(m.self), names, len(names))
	slices.SortStableFunc(order, func(a, b model.VMName) int { return cmp.Compare(rank(a), rank(b)) })
	for i, vm := range order {
		full := m.isControl || i < fullSources
		if s := m.sources[vm]; s.full.Swap(full) != full {
			s.interrupt()
			_ = level.Info(m.logger).Log("msg", "choice of control VMs for leaves and routes changed", "from", vm, "full", full)
		}
	}
	if !m.isControl && len(order) > 0 && order[0] != m.primaryControlVM() {
		m.outlierPool.primary.Store(&order[0])
		m.applyOutliers(now)
	}
}

func (m *Module) addControl(vm model.VMName) {
	if m.settings.DiscoversPeers && vm != m.self {
		m.peers.AddPeer(m.settings.ControlPeer(vm))
	}
}

// removeRemoteTable removes the leaves of a control VM from which they are no longer requested, once another control VM
// has sent its own and is responsive.
func (m *Module) removeRemoteTable(now time.Time, s *source) {
	if s.remoteTable.Leaves == nil || s.full.Load() {
		return
	}
	for _, other := range m.sources {
		if other != s && other.full.Load() && other.remoteTable.Leaves != nil && other.responsive(now) {
			s.remoteTable = leaves.RemoteTable{}
			m.rebuildIndex(now, m.self)
			return
		}
	}
}

// updateEntryVMs updates the number of entry VMs to the greatest one that a control VM reports; a smaller number
// applies only after entryCountFallDelay. So a control VM that is cut off from some entry VMs does not cause the others
// to use more connections than are available.
func (m *Module) updateEntryVMs(now time.Time) {
	n := 0
	for _, s := range m.sources {
		if now.Sub(s.lastContact) < sourceRetention {
			n = max(n, s.entryVMs)
		}
	}
	if n >= m.entryVMs {
		m.fewerSince = time.Time{}
	} else if m.fewerSince.IsZero() {
		m.fewerSince = now
	}
	if n == m.entryVMs || n == 0 || n < m.entryVMs && now.Sub(m.fewerSince) < entryCountFallDelay {
		return
	}
	_ = level.Info(m.logger).Log("msg", "number of entry VMs changed", "before", m.entryVMs, "now", n)
	m.entryVMs = n
	m.metrics.entryVMs.Update(float64(n))
	m.control.MarkDirty()
}

// lastContact returns when a control VM last answered, or the zero time if it never did.
func (m *Module) lastContact(vm model.VMName) time.Time {
	if s := m.sources[vm]; s != nil {
		return s.lastContact
	}
	return time.Time{}
}

// removeExpiredSources removes the leaves of control VMs that have not answered for sourceRetention, if another control
// VM responds.
func (m *Module) removeExpiredSources(now time.Time) {
	answering := false
	for _, s := range m.sources {
		answering = answering || s.responsive(now)
	}
	for vm, s := range m.sources {
		if answering && s.answered && now.Sub(s.lastContact) > sourceRetention {
			s.answered, s.remoteTable = false, leaves.RemoteTable{}
			_ = level.Warn(m.logger).Log("msg", "leaves of a control VM removed because the VM has not answered for too long", "from", vm, "age", now.Sub(s.lastContact))
			m.rebuildIndex(now, m.self)
		}
	}
}
