package forwarder

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	readinessKey = "forward"
	// zoneCheckInterval is how often a request that waits for replies checks for unresponsive availability zones, until it is
	// zoneCheckEnd old. Both allow for the time after which a zone counts as unresponsive.
	zoneCheckInterval = 100 * time.Millisecond
	zoneCheckEnd      = 600 * time.Millisecond
	// zoneProbeInterval is how often connections to unresponsive zones are tried. The readiness of a VM is polled once a second.
	zoneProbeInterval = 500 * time.Millisecond
	// zoneProbeLeaves is how many leaves of an unresponsive zone are tried at a time, since one may be down or accept no more
	// connections.
	zoneProbeLeaves = 3
)

// zoneWatch is the state of the probes of unresponsive availability zones.
type zoneWatch struct {
	// probing is true while a goroutine tries to connect to the unresponsive zones. It is guarded by the module's lock.
	probing bool
	// reason is why the VM is not ready, or empty. Only that goroutine uses it.
	reason string
}

// unresponsiveNow lists the unresponsive availability zones without the evacuated ones, to which nothing is sent. The caller holds the
// lock.
func (m *Module) unresponsiveNow(now time.Time) []model.AvailabilityZone {
	list := m.tracker.UnresponsiveZones(now)
	if len(list) == 0 {
		return nil
	}
	return slices.DeleteFunc(list, m.control.View().Evacuations.Has)
}

// unresponsiveZones lists the unresponsive availability zones, and starts to probe them.
func (m *Module) unresponsiveZones(now time.Time) []model.AvailabilityZone {
	m.mu.Lock()
	defer m.mu.Unlock()
	unresponsive := m.unresponsiveNow(now)
	if len(unresponsive) > 0 && !m.zones.probing && m.runCtx.Err() == nil {
		m.zones.probing = true
		go m.probeZones()
	}
	return unresponsive
}

// probeZones tries to connect to the unresponsive zones until none is left. Meanwhile the VM is not ready if it reaches too few
// shards of a route, so that callers connect to VMs of other zones.
func (m *Module) probeZones() {
	var previous []model.AvailabilityZone
	for {
		m.mu.Lock()
		unresponsive := m.unresponsiveNow(m.now())
		m.mu.Unlock()
		m.logZones(previous, unresponsive)
		previous = unresponsive
		m.updateReadiness(unresponsive)
		if len(unresponsive) == 0 {
			m.mu.Lock()
			m.zones.probing = false
			m.mu.Unlock()
			return
		}
		m.probe(unresponsive)
		if kernel.Wait(m.runCtx, zoneProbeInterval) != nil {
			return
		}
	}
}

// logZones logs which zones have become unresponsive, and which are responsive again.
func (m *Module) logZones(previous, unresponsive []model.AvailabilityZone) {
	m.metrics.unresponsiveZones.Update(float64(len(unresponsive)))
	for _, z := range unresponsive {
		if slices.Contains(previous, z) {
			continue
		}
		m.mu.Lock()
		last := m.tracker.LastReply(z)
		m.mu.Unlock()
		_ = level.Warn(m.logger).Log("msg", "availability zone is unresponsive", "zone", z, "last_reply", last.UTC().Format(time.RFC3339Nano))
	}
	for _, z := range previous {
		if slices.Contains(unresponsive, z) {
			continue
		}
		msg := "availability zone is responsive again"
		if m.control.View().Evacuations.Has(z) {
			msg = "availability zone is evacuated and no longer probed"
		}
		_ = level.Info(m.logger).Log("msg", msg, "zone", z)
	}
}

// updateReadiness sets whether the VM is ready, which requires that it reaches enough shards for each of its routes.
func (m *Module) updateReadiness(unresponsive []model.AvailabilityZone) {
	v := m.control.View()
	reason := ""
	if v.Routes != nil {
		for i := range v.Routes.Routes {
			route := &v.Routes.Routes[i]
			if refusal := forward.RefuseUnreachable(route, v.Leaves, unresponsive, m.filter(v, route, nil)); refusal != nil {
				reason = fmt.Sprintf("route %s: %s", route.Name, refusal.Reason)
				break
			}
		}
	}
	if reason == m.zones.reason {
		return
	}
	m.zones.reason = reason
	if reason == "" {
		m.readiness.Clear(readinessKey)
		_ = level.Info(m.logger).Log("msg", "this VM is ready again")
		return
	}
	m.readiness.Set(readinessKey, reason)
	_ = level.Warn(m.logger).Log("msg", "this VM is not ready", "reason", reason)
}

// probe opens connections to a few leaves of each unresponsive zone, and marks a zone as reachable once one could be opened.
func (m *Module) probe(unresponsive []model.AvailabilityZone) {
	index := m.control.View().Leaves
	if index == nil {
		return
	}
	var all sync.WaitGroup
	for _, zone := range unresponsive {
		for _, l := range m.leavesIn(index, zone, zoneProbeLeaves) {
			all.Go(func() {
				if err := m.transport.CheckReachable(m.runCtx, l); err != nil {
					_ = level.Debug(m.logger).Log("msg", "cannot connect to a leaf of an unresponsive availability zone", "zone", zone, "leaf", l.ID, "err", err)
					return
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				m.tracker.MarkReachable(m.now(), zone)
			})
		}
	}
	all.Wait()
}

// leavesIn returns up to n random leaves of an availability zone that take requests.
func (m *Module) leavesIn(index *leaves.Index, zone model.AvailabilityZone, n int) (found []*leaves.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, list := range index.Services {
		for _, l := range list {
			if l.AvailabilityZone == zone && !m.tracker.Refuses(now, l) {
				found = append(found, l)
			}
		}
	}
	m.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}
