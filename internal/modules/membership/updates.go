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
	// invalid holds an error for each record that was left out because no leaf can have it.
	invalid []error
	routes  *routes.Table
	// evacuations has revision 0 if the answer contains none.
	evacuations routes.Evacuations
	entryVMs    int
	controlVMs  []model.VMName
	// outlierVersion is the version of the control VM's outliers or, for control VMs, of its evidence.
	// outliersRequested reports whether they were requested, and outliersIncluded whether the answer contains them.
	outlierVersion                      uint64
	outliersRequested, outliersIncluded bool
	outliers                            leaves.Outliers
	evidence                            []leaves.Evidence
	// owners is nil if the answer contains no owners of allowances.
	owners       ownerLists
	ownersDigest uint64
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
	s.controlVMs = len(ev.update.controlVMs)
	m.logInvalid(ev.from, ev.update.invalid)
	if ev.update.light {
		m.removeRemoteTable(now, s)
	}
	for _, vm := range ev.update.controlVMs {
		m.addControl(vm)
	}
	m.watchAll()
	if !m.isControl { // A control VM gets them from the log that it applies.
		m.applyEvacuations(ev.from, ev.update.evacuations)
	}
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
	m.applyOwners(ev.from, ev.update.owners, ev.update.ownersDigest)
	if !ev.update.light {
		s.remoteTable.Apply(ev.update.leaves, ev.update.complete)
	}
	if !ev.update.light && (len(ev.update.leaves) > 0 || ev.update.complete) {
		m.rebuildIndex(now, ev.from)
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

// logInvalid counts and logs the records of an answer that were left out.
func (m *Module) logInvalid(from model.VMName, list []error) {
	if len(list) > 0 {
		m.metrics.invalidRecords.Inc(int64(len(list)))
		_ = level.Warn(m.logger).Log("msg", "records of leaves ignored because they are invalid", "from", from, "records", len(list), "err", list[0])
	}
}

// logChanges logs what the newest records of the leaves change for this VM. from is the control VM whose answer led to it.
func (m *Module) logChanges(from model.VMName, before, now map[string]leaves.Leaf) {
	lines, leftOut := 0, 0
	line := func(msg string, l leaves.Leaf) {
		if lines++; lines > maxLeafLines {
			leftOut++
			return
		}
		_ = level.Info(m.logger).Log("msg", msg, "from", from, "leaf", l.ID, "service", l.Service, "address", l.Address, "state", l.State, "born_ms", l.BornMS, "sequence", l.Sequence)
	}
	for id, l := range now {
		if old, ok := before[id]; !ok || !leaves.SameUse(&old, &l) {
			line("leaf changed", l)
		}
	}
	for id, l := range before {
		if _, ok := now[id]; !ok {
			line("leaf is no longer listed", l)
		}
	}
	if leftOut > 0 {
		_ = level.Info(m.logger).Log("msg", "more leaves changed; their log lines are left out", "from", from, "lines_left_out", leftOut)
	}
}
