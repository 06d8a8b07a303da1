package membership

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// updateEvent carries the answer of a control VM.
type updateEvent struct {
	from   model.VMName
	update update
}

// update is a decoded answer of a control VM.
type update struct {
	incarnation  uint64
	tableVersion uint64
	complete     bool
	leaves       []leaves.Leaf
	routes       *routes.Table
	entryVMs     int
	controlVMs   []model.VMName
	// outlierVersion is the version of the control VM's outliers or, for control VMs, of its evidence.
	// outliersRequested reports whether they were requested, and outliersIncluded whether the answer contains them.
	outlierVersion                      uint64
	outliersRequested, outliersIncluded bool
	outliers                            leaves.Outliers
	evidence                            []leaves.Evidence
	// light reports whether the request was for neither leaves nor routes.
	light bool
}

// applyUpdate applies the update of a control VM. An update of a VM that is not a source is ignored.
func (m *Module) applyUpdate(now time.Time, ev updateEvent) {
	s := m.sources[ev.from]
	if s == nil {
		return
	}
	if !s.answered {
		s.answered = true
		_ = level.Info(m.logger).Log("msg", "control VM answers", "from", ev.from, "leaves", len(ev.update.leaves), "entry_vms", ev.update.entryVMs)
	}
	s.lastContact = now
	if ev.update.light {
		m.removeRemoteTable(now, s)
	}
	for _, vm := range ev.update.controlVMs {
		m.addControl(vm)
	}
	m.watchAll()
	m.applyRoutes(ev.from, ev.update.routes)
	switch {
	case !ev.update.outliersRequested:
		s.outliers, s.evidence = nil, nil
	case ev.update.outliersIncluded:
		s.outliers, s.evidence = ev.update.outliers, ev.update.evidence
	}
	if m.isControl {
		m.mergeLeaves(now, ev)
		return
	}
	m.applyOutliers(now)
	if !ev.update.light {
		s.remoteTable.Apply(ev.update.leaves, ev.update.complete)
	}
	if !ev.update.light && (len(ev.update.leaves) > 0 || ev.update.complete) {
		m.logLeaves(ev.from, ev.update.leaves)
		m.rebuildIndex(now)
	}
	if s.entryVMs != ev.update.entryVMs {
		s.entryVMs = ev.update.entryVMs
		m.updateEntryVMs(now)
	}
	m.checkReady()
}

// mergeLeaves merges the leaves that another control VM sent into the table of this control VM.
func (m *Module) mergeLeaves(now time.Time, ev updateEvent) {
	before := m.table.Version()
	for _, l := range ev.update.leaves {
		m.table.Merge(now, ev.from, l)
	}
	if m.table.Version() != before {
		m.notifyWatchers()
	}
}

// maxLeafLines limits the log lines about leaves for one answer.
const maxLeafLines = 20

func (m *Module) logLeaves(from model.VMName, list []leaves.Leaf) {
	for i, l := range list {
		if i == maxLeafLines {
			_ = level.Info(m.logger).Log("msg", "more leaves changed; their log lines are left out", "from", from, "lines_left_out", len(list)-i)
			return
		}
		_ = level.Info(m.logger).Log("msg", "leaf changed", "from", from, "leaf", l.ID, "service", l.Service, "address", l.Address, "state", l.State, "born_ms", l.BornMS, "sequence", l.Sequence)
	}
}
