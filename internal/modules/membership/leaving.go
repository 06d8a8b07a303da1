package membership

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// leavingEvent reports that an incarnation of a leaf has replied that it is leaving.
type leavingEvent struct{ leaf leaves.Key }

// MarkLeaving implements kernel.LeafReporter.
func (m *Module) MarkLeaving(leaf leaves.Key) {
	if !m.control.Post(leavingEvent{leaf}) {
		// The leaf states this only in its replies, and this VM sends it no further requests.
		go func() { _ = m.control.PostWait(m.runCtx, leavingEvent{leaf}) }() // It fails only when the process ends.
	}
}

func (m *Module) markLeaving(now time.Time, leaf leaves.Key) {
	if m.isLeaving(leaf) {
		return
	}
	m.leaving[leaf] = now
	_ = level.Info(m.logger).Log("msg", "leaf removed because it has replied that it is leaving", "leaf", leaf.ID, "address", leaf.Address, "born_ms", leaf.BornMS, "known_state", m.newest[leaf.ID].State)
	m.rebuildIndex(now, m.self)
}

func (m *Module) isLeaving(leaf leaves.Key) bool {
	_, ok := m.leaving[leaf]
	return ok
}

// pruneLeaving removes the markers of incarnations that no control VM has listed for the retention of tombstones.
func (m *Module) pruneLeaving(now time.Time) {
	for leaf, listedAt := range m.leaving {
		l, listed := m.newest[leaf.ID]
		switch {
		case listed && l.BornMS == leaf.BornMS:
			m.leaving[leaf] = now
		case now.Sub(listedAt) > m.settings.Duration(section, "retain"):
			delete(m.leaving, leaf)
		}
	}
}
