package forwarder

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
)

// reportInterval is how often this VM reports its evidence about leaves. It is short, so that a VM with few requests receives
// the outliers that other VMs have found before it sends a request to one of them.
const reportInterval = 300 * time.Millisecond

// startReports starts the goroutine that reports unless it is running. The caller holds the lock.
func (m *Module) startReports() {
	if m.reporting || m.runCtx.Err() != nil {
		return
	}
	m.reporting = true
	go m.report()
}

// report sends reports until an interval ends without new evidence.
func (m *Module) report() {
	for kernel.Wait(m.runCtx, reportInterval) == nil {
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
