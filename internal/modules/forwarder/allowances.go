package forwarder

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// The values of the setting repeat_pool.
const (
	poolControl = "control"
	poolZones   = settings.PoolZones
)

// zonePool implements kernel.ExtraGranter with allowances.
type zonePool struct {
	allowances kernel.AllowanceBatches
	limit      allowance.Limit
}

// newGranter returns the provider of extra attempts that the settings name.
func newGranter(ctx *kernel.Context) (kernel.ExtraGranter, error) {
	s := ctx.Settings
	if s.String(section, "repeat_pool") == poolControl {
		return kernel.Lookup[kernel.ExtraGranter](ctx)
	}
	allowances, err := kernel.Lookup[kernel.AllowanceBatches](ctx)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "add [vm] zone_regions, or set repeat_pool = "+poolControl, "[%s] repeat_pool = %s needs the availability zones", section, poolZones)
	}
	return &zonePool{allowances, forward.ZonePoolLimit(s.Int(section, "repeat_slack"), s.Duration(section, "repeat_window"))}, nil
}

// RequestExtras implements kernel.ExtraGranter.
func (p *zonePool) RequestExtras(ctx context.Context, services []model.ServiceName) ([]bool, error) {
	granted := make([]bool, len(services))
	if p.limit.Burst == 0 {
		return granted, nil
	}
	asks := make([]allowance.Ask, 0, len(services))
	for _, s := range services {
		asks = append(asks, allowance.Ask{Key: allowance.NewKey(allowance.KindExtra, string(s)), Limit: p.limit, N: 1})
	}
	for i, a := range p.allowances.TakeAll(ctx, asks) {
		granted[i] = a.Granted
	}
	return granted, nil
}

// coldLeaves limits the requests to cold leaves. It is guarded by the module's lock.
type coldLeaves struct {
	// allowances is nil where the settings do not list the availability zones. Cold leaves are not limited then.
	allowances kernel.Allowances
	book       *forward.ColdBook
	slack      float64
}

func (c *coldLeaves) provision(ctx *kernel.Context, s *settings.Settings) {
	c.book, c.slack = forward.NewColdBook(), s.Float(section, "warmup_slack")
	if a, err := kernel.Lookup[kernel.Allowances](ctx); err == nil {
		c.allowances = a
	}
}

// warmUpLimit returns the limit of a leaf, and false if it has none or is warm.
func (m *Module) warmUpLimit(now time.Time, leaf *leaves.Member) (allowance.Limit, bool) {
	if m.cold.allowances == nil || !now.Before(leaf.WarmAt) {
		return allowance.Limit{}, false
	}
	table := m.control.View().Routes
	if table == nil {
		return allowance.Limit{}, false
	}
	s := table.Service(leaf.Service)
	if s == nil || s.WarmUpRate <= 0 {
		return allowance.Limit{}, false
	}
	return allowance.Limit{Rate: s.WarmUpRate, Slack: m.cold.slack, Version: uint64(table.Version)}.Bounded(), true
}

// coldUnit is a unit of the allowance of a cold leaf that the current step of a request has reserved or needs.
type coldUnit struct {
	leaf  *leaves.Member
	limit allowance.Limit
}

// maxColdLeaves limits the cold leaves that the log line of a request names.
const maxColdLeaves = 10

// reserveUnit reports whether the current step may send a request to a leaf. The caller holds the lock.
func (r *runner) reserveUnit(now time.Time, leaf *leaves.Member) bool {
	limit, limited := r.module.warmUpLimit(now, leaf)
	if !limited {
		return true
	}
	ok, request := r.module.cold.book.Reserve(now, leaf.Key())
	if ok {
		r.reserved = append(r.reserved, leaf)
	}
	if !ok && len(r.coldLeaves) < maxColdLeaves && !slices.Contains(r.coldLeaves, leaf.ID) {
		r.coldLeaves = append(r.coldLeaves, leaf.ID)
	}
	if request {
		r.wantedUnits = append(r.wantedUnits, coldUnit{leaf, limit})
	}
	return ok
}

// settleUnits releases the units that the last step has reserved and not used, and requests those that it lacked.
func (r *runner) settleUnits(now time.Time, sends []forward.Send) {
	if len(r.reserved) > 0 {
		r.module.mu.Lock()
		for _, s := range sends {
			if i := slices.Index(r.reserved, s.Leaf); i >= 0 {
				r.reserved = slices.Delete(r.reserved, i, i+1)
			}
		}
		for _, leaf := range r.reserved {
			r.module.cold.book.Release(leaf.Key())
		}
		r.module.mu.Unlock()
		r.reserved = nil
	}
	for _, u := range r.wantedUnits {
		go r.module.requestUnit(now, u)
	}
	r.wantedUnits = nil
}

// requestUnit requests a unit for a cold leaf, and wakes a request that waits for its service once it may try again.
func (m *Module) requestUnit(now time.Time, u coldUnit) {
	ctx, cancel := context.WithTimeout(m.runCtx, forward.ColdWait)
	defer cancel()
	key := allowance.Key{Kind: allowance.KindColdLeaf, Name: u.leaf.ID + " " + strconv.FormatInt(u.leaf.BornMS, 10)}
	answer := m.cold.allowances.Take(ctx, key, u.limit, 1)
	m.mu.Lock()
	at := m.now()
	next := m.cold.book.Answer(at, u.leaf.Key(), now, answer.Granted, answer.RetryAfter)
	m.mu.Unlock()
	wake := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.waiters.wake(m.now(), u.leaf.Service)
	}
	if delay := next.Sub(at); delay > 0 {
		time.AfterFunc(delay, wake)
		return
	}
	wake()
}
