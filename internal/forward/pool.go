package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// BudgetSafety scales the budget of extra attempts down, so that all VMs together keep to the limit although each counts
	// only its own attempts and may use an outdated number of VMs.
	BudgetSafety = 0.85
	// PooledShare is the part of the slack that control VMs grant on request. The rest is divided equally among the entry VMs,
	// which have it without a control VM. Most VMs need less than their equal share in a window while a few need several times
	// as much.
	PooledShare = 0.5
	// GrantExpiry is how long after its request a granted extra attempt may be started.
	GrantExpiry = 200 * time.Millisecond
)

// ExtraPool holds the extra attempts that one control VM may grant to entry VMs in each window. It is not safe for concurrent use.
type ExtraPool struct {
	limits  BudgetLimits
	started time.Time
	grants  map[model.ServiceName]*Budget
}

// NewExtraPool returns the pool of a control VM that starts now. slack is the number of extra attempts that all entry VMs together
// may send to a service in a window, in addition to those for their own requests. With a slack of 0 the pool grants nothing.
func NewExtraPool(now time.Time, slack int, window time.Duration) *ExtraPool {
	return &ExtraPool{
		// An extra attempt that is granted at the end of a window may be started in the next one.
		limits:  BudgetLimits{Slack: BudgetSafety * PooledShare * float64(slack), Window: window + GrantExpiry},
		started: now, grants: map[model.ServiceName]*Budget{},
	}
}

// Grant grants one extra attempt at a service, if the part of the pool that belongs to this control VM allows it. controlVMs is the
// number of control VMs, each of which has an equal part. A control VM that has just started grants nothing for a window, since its
// earlier run may have granted its part.
func (p *ExtraPool) Grant(now time.Time, service model.ServiceName, controlVMs int) bool {
	if p.limits.Slack == 0 || now.Sub(p.started) <= p.limits.Window {
		return false
	}
	b := p.grants[service]
	if b == nil {
		b = NewBudget(0)
		p.grants[service] = b
	}
	l := p.limits
	l.Slack /= float64(max(controlVMs, 1))
	return b.TryExtra(now, l, false)
}

// Extra is the answer to a request for an extra attempt.
type Extra int

// The answers. With ExtraPending the request is to be repeated after ExtraPollInterval.
const (
	ExtraDenied Extra = iota
	ExtraGranted
	ExtraPending
)

// ExtraPollInterval is how long a part waits before it requests a pending extra attempt again. A control VM of the same zone answers
// within it.
const ExtraPollInterval = 3 * time.Millisecond

const (
	// grantTimeout is how long an entry VM waits for the answer of a control VM.
	grantTimeout = 20 * time.Millisecond
	// denialTime is how long an entry VM requests no more extra attempts at a service after a denial, or without an answer.
	denialTime = 250 * time.Millisecond
)

// GrantBook keeps, on an entry VM, the extra attempts that a control VM has granted and those that were requested. It is not safe for
// concurrent use.
type GrantBook struct {
	services map[model.ServiceName]*serviceGrants
}

type serviceGrants struct {
	// granted is the number of unused grants, which expire at expiresAt.
	granted   int
	expiresAt time.Time
	// requestedAt is when the request that is under way was sent, or zero.
	requestedAt time.Time
	deniedUntil time.Time
}

// NewGrantBook returns an empty book.
func NewGrantBook() *GrantBook { return &GrantBook{services: map[model.ServiceName]*serviceGrants{}} }

// Take takes a grant for a service, if there is one. request reports whether a grant has to be requested; the caller passes the
// answer to Answer.
func (g *GrantBook) Take(now time.Time, service model.ServiceName) (answer Extra, request bool) {
	s := g.services[service]
	if s == nil {
		s = &serviceGrants{}
		g.services[service] = s
	}
	switch {
	case s.granted > 0 && now.Before(s.expiresAt):
		s.granted--
		return ExtraGranted, false
	case now.Before(s.deniedUntil):
		return ExtraDenied, false
	case s.requestedAt.IsZero():
		s.requestedAt = now
		return ExtraPending, true
	case now.Sub(s.requestedAt) < grantTimeout:
		return ExtraPending, false
	}
	s.deniedUntil, s.requestedAt = now.Add(denialTime), time.Time{}
	return ExtraDenied, false
}

// PoolUse is what an entry VM knows of the pool of extra attempts of a service.
type PoolUse struct {
	// Granted is the number of unused grants. Until DeniedUntil no further ones are requested; it is zero after no recent denial.
	Granted     int
	DeniedUntil time.Time
}

// Use returns what is known of the pool for a service. It takes and requests nothing.
func (g *GrantBook) Use(now time.Time, service model.ServiceName) (u PoolUse) {
	s := g.services[service]
	if s == nil {
		return u
	}
	if now.Before(s.expiresAt) {
		u.Granted = s.granted
	}
	if now.Before(s.deniedUntil) {
		u.DeniedUntil = s.deniedUntil
	}
	return u
}

// Withdraw records that the request of Take that was made at the given time is not sent.
func (g *GrantBook) Withdraw(service model.ServiceName, requestedAt time.Time) {
	if s := g.services[service]; s != nil && s.requestedAt.Equal(requestedAt) {
		s.requestedAt = time.Time{}
	}
}

// Answer records the answer to the request of Take that was made at the given time.
func (g *GrantBook) Answer(now time.Time, service model.ServiceName, requestedAt time.Time, granted bool) {
	s := g.services[service]
	if s == nil {
		return
	}
	g.Withdraw(service, requestedAt)
	if !granted {
		s.deniedUntil = now.Add(denialTime)
		return
	}
	if expiresAt := requestedAt.Add(GrantExpiry); !now.Before(s.expiresAt) {
		s.granted, s.expiresAt = 1, expiresAt
	} else {
		s.granted++ // The earlier end applies to all.
	}
}

const (
	// zonePoolBurst is the part of the pool that may be granted at once, and zonePoolSlack the part that pays for owners that take over
	// and for VMs without an owner. They use up to zonePoolSlackUse of the latter. The rest is granted at an even rate.
	zonePoolBurst    = 0.5
	zonePoolSlack    = 0.125
	zonePoolSlackUse = 1.25
)

// ZonePoolLimit returns the allowance of the extra attempts at a service beyond the budgets of the VMs, where allowances take the place
// of the pools of control VMs. Any window holds at most PooledShare of the slack.
func ZonePoolLimit(slack int, window time.Duration) allowance.Limit {
	pool := BudgetSafety * PooledShare * float64(slack)
	rate := pool * (1 - zonePoolBurst - zonePoolSlackUse*zonePoolSlack) / (window + GrantExpiry).Seconds()
	return allowance.Limit{Rate: rate, Burst: zonePoolBurst * pool, Slack: zonePoolSlack * pool}
}
