package forwarder

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
)

// reportInterval is how often this VM reports what it sees of leaves. A VM with few requests learns of a leaf in trouble from
// others before it would meet the leaf itself.
const reportInterval = 300 * time.Millisecond

// startReports starts to report unless this is done already. The caller holds the lock.
func (m *Module) startReports() {
	if m.reporting || m.run.Err() != nil {
		return
	}
	m.reporting = true
	go m.report()
}

// report reports until nothing has been seen for an interval.
func (m *Module) report() {
	for kernel.Wait(m.run, reportInterval) == nil {
		m.mu.Lock()
		list := m.tracker.TakeEvidence()
		m.reporting = len(list) > 0
		m.mu.Unlock()
		if len(list) == 0 {
			return
		}
		m.reporter.Report(list)
	}
}
