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
	// zoneCheck is how often a request that waits for replies looks whether an availability zone has fallen silent, until it
	// is zoneCheckEnd old. Both allow for the time after which a zone counts as silent.
	zoneCheck    = 100 * time.Millisecond
	zoneCheckEnd = 600 * time.Millisecond
	// zoneProbe is how often connections to silent zones are tried. A VM is asked once a second whether it is ready.
	zoneProbe = 500 * time.Millisecond
	// zoneProbeLeaves is how many leaves of a silent zone are tried at a time. One may be down, or accept no more connections.
	zoneProbeLeaves = 3
)

// zoneWatch is what the module does about silent availability zones.
type zoneWatch struct {
	// probing says that a goroutine tries to reach the silent zones. The lock of the module guards it.
	probing bool
	// reason is why the VM is not ready. The goroutine owns it.
	reason string
}

// silentZones lists the silent availability zones, and starts to probe them.
func (m *Module) silentZones(now time.Time) []model.AvailabilityZone {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := m.tracker.UnresponsiveZones(now)
	if len(silent) > 0 && !m.zones.probing && m.run.Err() == nil {
		m.zones.probing = true
		go m.probeZones()
	}
	return silent
}

// probeZones tries to reach the silent zones until all answer. Meanwhile the VM is not ready if it reaches too few shards of
// a route, so that callers connect to VMs of other zones.
func (m *Module) probeZones() {
	var before []model.AvailabilityZone
	for {
		m.mu.Lock()
		silent := m.tracker.UnresponsiveZones(m.now())
		m.mu.Unlock()
		m.logZones(before, silent)
		before = silent
		m.judgeReadiness(silent)
		if len(silent) == 0 {
			m.mu.Lock()
			m.zones.probing = false
			m.mu.Unlock()
			return
		}
		m.probe(silent)
		if kernel.Wait(m.run, zoneProbe) != nil {
			return
		}
	}
}

// logZones tells which zones have fallen silent, and which answer again.
func (m *Module) logZones(before, silent []model.AvailabilityZone) {
	m.metrics.silentZones.Update(float64(len(silent)))
	for _, z := range silent {
		if slices.Contains(before, z) {
			continue
		}
		m.mu.Lock()
		last := m.tracker.LastReply(z)
		m.mu.Unlock()
		_ = level.Warn(m.logger).Log("msg", "availability zone is silent", "zone", z, "last_reply", last.UTC().Format(time.RFC3339Nano))
	}
	for _, z := range before {
		if !slices.Contains(silent, z) {
			_ = level.Info(m.logger).Log("msg", "availability zone answers again", "zone", z)
		}
	}
}

// judgeReadiness makes the VM ready or not, by the shards that its routes need.
func (m *Module) judgeReadiness(silent []model.AvailabilityZone) {
	v := m.control.View()
	reason := ""
	if v.Routes != nil {
		for i := range v.Routes.Routes {
			if x := forward.RefuseUnreachable(&v.Routes.Routes[i], v.Leaves, silent); x != nil {
				reason = fmt.Sprintf("route %s: %s", v.Routes.Routes[i].Name, x.Reason)
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
		_ = level.Info(m.logger).Log("msg", "the VM is ready again")
		return
	}
	m.readiness.Set(readinessKey, reason)
	_ = level.Warn(m.logger).Log("msg", "the VM is not ready", "reason", reason)
}

// probe opens a connection to a few leaves of each silent zone, and takes a zone for reachable once one is open.
func (m *Module) probe(silent []model.AvailabilityZone) {
	index := m.control.View().Leaves
	if index == nil {
		return
	}
	var all sync.WaitGroup
	for _, zone := range silent {
		for _, l := range m.leavesIn(index, zone, zoneProbeLeaves) {
			all.Go(func() {
				if err := m.transport.Reach(m.run, l); err != nil {
					_ = level.Debug(m.logger).Log("msg", "leaf of a silent zone is not reached", "zone", zone, "leaf", l.ID, "err", err)
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

// leavesIn returns some leaves of an availability zone.
func (m *Module) leavesIn(index *leaves.Index, zone model.AvailabilityZone, n int) (in []*leaves.Member) {
	for _, list := range index.Services {
		for _, l := range list {
			if l.AvailabilityZone == zone {
				in = append(in, l)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.random.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
	return in[:min(n, len(in))]
}
