package membership

import (
	"context"
	"sync"
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

// refusalLogInterval is the shortest time between two log lines about refused heartbeats. Another program may send many.
const refusalLogInterval = time.Second

// maxLoggedIDBytes limits the ID in such a line, which may be of any length.
const maxLoggedIDBytes = 64

// refusals limits the log lines about refused heartbeats.
type refusals struct {
	mu       sync.Mutex
	loggedAt time.Time
	leftOut  int
}

// allow reports whether a line is to be written, and how many were left out since the last one.
func (r *refusals) allow(now time.Time) (ok bool, leftOut int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.loggedAt) < refusalLogInterval {
		r.leftOut++
		return false, 0
	}
	leftOut, r.leftOut, r.loggedAt = r.leftOut, 0, now
	return true, leftOut
}

// Refused implements kernel.LeafRegistry.
func (m *Module) Refused(id string, err error) {
	m.metrics.invalidRecords.Inc(1)
	if ok, leftOut := m.refusals.allow(m.now()); ok {
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
