package membership

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// newsEvent brings the answer of a control VM.
type newsEvent struct {
	from model.VMName
	news news
}

// news is a decoded answer of a control VM.
type news struct {
	incarnation uint64
	position    uint64
	complete    bool
	leaves      []leaves.Leaf
	routes      *routes.Table
	entryVMs    int
	controlVMs  []model.VMName
	// troubleVersion is the version of what the control VM knows of leaves in trouble. It is listed in trouble, or in gathered
	// for control VMs, when toldTrouble is set, and askedTrouble says that it was asked for.
	troubleVersion            uint64
	askedTrouble, toldTrouble bool
	trouble                   leaves.Outliers
	gathered                  []leaves.Evidence
	// light says that leaves and routes were not asked for.
	light bool
}

// take takes over the news of a control VM.
func (m *Module) take(now time.Time, x newsEvent) {
	s := m.sources[x.from]
	if s == nil {
		return
	}
	if !s.told {
		s.told = true
		_ = level.Info(m.logger).Log("msg", "control VM answers", "from", x.from, "leaves", len(x.news.leaves), "entry_vms", x.news.entryVMs)
	}
	s.contact = now
	if x.news.light {
		m.dropCopy(now, s)
	}
	for _, vm := range x.news.controlVMs {
		m.addControl(vm)
	}
	m.followAll()
	m.takeRoutes(x.from, x.news.routes)
	switch {
	case !x.news.askedTrouble:
		s.trouble, s.gathered = nil, nil
	case x.news.toldTrouble:
		s.trouble, s.gathered = x.news.trouble, x.news.gathered
	}
	if m.controls {
		m.merge(now, x)
		return
	}
	m.useTrouble(now)
	if !x.news.light {
		s.copy.Apply(x.news.leaves, x.news.complete)
	}
	if !x.news.light && (len(x.news.leaves) > 0 || x.news.complete) {
		m.logLeaves(x.from, x.news.leaves)
		m.join(now)
	}
	if s.entryVMs != x.news.entryVMs {
		s.entryVMs = x.news.entryVMs
		m.countEntryVMs(now)
	}
	m.becomeReady()
}

// merge lets a control VM take over what another one hears from leaves.
func (m *Module) merge(now time.Time, x newsEvent) {
	before := m.table.Version()
	for _, l := range x.news.leaves {
		m.table.Merge(now, x.from, l)
	}
	if m.table.Version() != before {
		m.announce()
	}
}

// maxLeafLines bounds the lines about leaves of one answer.
const maxLeafLines = 20

func (m *Module) logLeaves(from model.VMName, list []leaves.Leaf) {
	for i, l := range list {
		if i == maxLeafLines {
			_ = level.Info(m.logger).Log("msg", "further leaves changed", "from", from, "lines_left_out", len(list)-i)
			return
		}
		_ = level.Info(m.logger).Log("msg", "leaf changed", "from", from, "leaf", l.ID, "service", l.Service, "address", l.Address, "state", l.State, "born_ms", l.BornMS, "sequence", l.Sequence)
	}
}
