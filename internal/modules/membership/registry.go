package membership

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

// Heartbeat implements kernel.LeafRegistry.
func (m *Module) Heartbeat(ctx context.Context, l leaves.Leaf) error {
	departs := false
	err := m.changeTable(ctx, func(now time.Time) error {
		old, found := m.table.Get(l.ID)
		departs = l.State == leaves.Draining && (!found || old.State != l.State || old.BornMS != l.BornMS)
		err := m.table.ApplyHeartbeat(now, l)
		if err != nil || !found || old.State != l.State || old.BornMS != l.BornMS {
			_ = level.Info(m.logger).Log("msg", "heartbeat decided", "leaf", l.ID, "service", l.Service, "address", l.Address, "state", l.State, "born_ms", l.BornMS, "sequence", l.Sequence, "known_state", old.State, "known_sequence", old.Sequence, "err", err)
		}
		return err
	})
	if err == nil && departs {
		m.storeDeparture(ctx, l.ID)
	}
	return err
}

// maxLoggedIDBytes limits the ID in such a line, which may be of any length.
const maxLoggedIDBytes = 64

// Refused implements kernel.LeafRegistry.
func (m *Module) Refused(id string, err error) {
	m.metrics.invalidRecords.Inc(1)
	if ok, leftOut := m.refusals.Allow(m.now()); ok {
		_ = level.Warn(m.logger).Log("msg", "heartbeat refused because it is invalid", "leaf", id[:min(len(id), maxLoggedIDBytes)], "err", err, "lines_left_out", leftOut)
	}
}

// Deregister implements kernel.LeafRegistry.
func (m *Module) Deregister(ctx context.Context, id string, bornMS int64) error {
	err := m.changeTable(ctx, func(now time.Time) error {
		err := m.table.Deregister(now, id, bornMS)
		l, _ := m.table.Get(id)
		_ = level.Info(m.logger).Log("msg", "leaf deregistered", "leaf", id, "born_ms", bornMS, "state", l.State, "err", err)
		return err
	})
	if err == nil {
		m.storeDeparture(ctx, id)
	}
	return err
}

// changeTable runs fn on the control goroutine and notifies the watching VMs if the table has changed.
func (m *Module) changeTable(ctx context.Context, fn func(now time.Time) error) error {
	var failure error
	err := m.control.Do(ctx, func(now time.Time) {
		before := m.table.Version()
		failure = fn(now)
		if m.table.Version() != before {
			m.notifyWatchers()
		}
	})
	if err != nil {
		return err
	}
	return failure
}
