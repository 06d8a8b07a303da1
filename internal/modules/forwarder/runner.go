package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// runner runs one request. Its methods run on the goroutine of the request, except for finished and, once there is a
// response, cancel.
type runner struct {
	module *Module
	ctx    context.Context
	req    *forward.Request
	route  *routes.Route
	// service is the one that was picked from the split of the route. It is empty for a scatter-gather route.
	service model.ServiceName
	version routes.Version
	// use is the account of the customer of the request. It is nil where the configuration has no customers.
	use     *forward.UseAccount
	state   *forward.Run
	results *resultQueue
	// wakes gets a value when a leaf for which the request waits has an available connection.
	wakes chan struct{}
	// waiting lists the services in whose queues the request is.
	waiting []model.ServiceName
	// wanted lists the services at which the current step needs extra attempts beyond the budget of this VM.
	wanted []model.ServiceName
	// reserved lists the cold leaves for which the current step has taken a unit, and wantedUnits those for which it needs one.
	reserved    []*leaves.Member
	wantedUnits []coldUnit
	// coldLeaves names the cold leaves for which a step of the request lacked a unit.
	coldLeaves []string
	attempts   []*attempt
}

// attempt is one attempt that was passed to the transport. Only cancelled, withdrawn and ended change later; ended is used on the
// goroutine of the request.
type attempt struct {
	part, index int
	leaf        *leaves.Member
	startedAt   time.Time
	handle      kernel.LeafAttempt
	// charged is the work that was added to the account of the customer when the attempt was started.
	charged time.Duration
	// cancelled and withdrawn are guarded by the module's lock.
	cancelled, withdrawn bool
	ended                bool
}

type attemptResult struct {
	attempt *attempt
	result  forward.AttemptResult
}

// resultQueue passes the results of attempts to the goroutine of the request. Adding one never blocks, whatever the number of
// attempts that the route allows, since a connection may add one after the request has finished.
type resultQueue struct {
	mu   sync.Mutex
	list []attemptResult
	// added gets a value after a result was added.
	added chan struct{}
}

func newResultQueue() *resultQueue { return &resultQueue{added: make(chan struct{}, 1)} }

func (q *resultQueue) add(x attemptResult) {
	q.mu.Lock()
	q.list = append(q.list, x)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default: // A value is already pending.
	}
}

func (q *resultQueue) take() []attemptResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = nil
	return list
}

// rank returns the rank of the request. Requests of rank 0 are served first.
func (r *runner) rank() int { return r.req.Rank(r.route) }

// serve runs the request until there is a response or the caller has disconnected.
func (r *runner) serve() *forward.Response {
	defer r.leaveQueues()
	r.results = newResultQueue()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		// Whatever has woken the request, replies that have arrived count before the time does.
		for _, x := range r.results.take() {
			r.record(x)
		}
		now := r.module.now()
		sends, response, wake := r.step(now)
		r.settleUnits(now, sends)
		if response != nil {
			if r.state.RefusedEarly() {
				r.module.metrics.refusedEarly.Inc(1)
			}
			r.withdrawExtras(now)
			r.cancelPending(cancelDelay)
			return response
		}
		r.requestExtras(now)
		for _, s := range sends {
			r.start(now, s)
		}
		r.updateQueues()
		if age := now.Sub(r.req.Received); age < zoneCheckEnd {
			r.module.unresponsiveZones(now)
			if next := now.Add(zoneCheckInterval); next.Before(wake) {
				wake = next
			}
		}
		timer.Reset(max(wake.Sub(r.module.now()), 0))
		select {
		case <-r.results.added:
		case <-r.wakes:
		case <-timer.C:
		case <-r.ctx.Done():
			if errs.KindOf(context.Cause(r.ctx)) == errs.KindShutdown {
				r.ctx = context.Background() // The response is given now, and does not depend on the caller any more.
				r.state.End(r.module.now())
				continue
			}
			r.cancelPending(0)
			return &forward.Response{Kind: forward.KindCallerGone, Reason: goneReason(r.ctx)}
		}
	}
}

// step takes the next step of the request. One that was sent to no leaf is refused once no leaf may get it any more, so that a request
// that waits for a leaf of an evacuated zone ends at once.
func (r *runner) step(now time.Time) ([]forward.Send, *forward.Response, time.Time) {
	if !r.state.Sent() {
		view := r.module.control.View()
		if refusal := forward.RefuseNotAllowed(r.route, r.service, view.Leaves, r.module.filter(view, r.route, r.req.Customer)); refusal != nil {
			return nil, refusal, now
		}
	}
	return r.state.Step(now)
}

// goneReason returns why the context of a request has ended without a shutdown. The server cancels it without a cause once the
// connection of the caller fails or ends.
func goneReason(ctx context.Context) string {
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return "the request was ended: " + cause.Error()
	}
	return "the caller has disconnected"
}

func (r *runner) record(x attemptResult) {
	x.attempt.ended = true
	r.state.AttemptEnded(x.attempt.part, x.attempt.index, x.result)
}

func (r *runner) start(now time.Time, s forward.Send) {
	m := r.module
	a := &attempt{part: s.Part, index: s.Attempt, leaf: s.Leaf, startedAt: now}
	r.attempts = append(r.attempts, a)
	m.mu.Lock()
	m.tracker.AttemptStarted(now, r.route.Name, s.Leaf)
	if r.use != nil {
		// The usual work is charged at once, so that a customer cannot start many attempts before the first of them ends.
		a.charged = m.tracker.UsualLatency(r.route.Name)
		r.use.Add(now, a.charged)
	}
	m.prune(now)
	m.mu.Unlock()
	req := &forward.LeafRequest{Request: r.req, Leaf: s.Leaf.ID, Until: s.Until, Repeatable: r.route.Repeatable}
	a.handle = m.transport.Send(s.Leaf, req, func(result forward.AttemptResult) { r.finished(a, result) })
}

// finished records the result of an attempt on the goroutine of its connection, possibly after the request has finished.
func (r *runner) finished(a *attempt, result forward.AttemptResult) {
	m := r.module
	m.mu.Lock()
	// A connection that could not be opened counts against the leaf although the attempt was withdrawn meanwhile. An attempt that was not
	// sent because the leaf has been evacuated says nothing about the leaf.
	evacuated := !result.Sent && m.control.View().Evacuations.Has(a.leaf.AvailabilityZone)
	cancelled := a.cancelled || (a.withdrawn || evacuated) && !result.Refused
	if cancelled {
		m.metrics.cancelled.Inc(1)
	}
	now := m.now()
	verdict := m.tracker.AttemptEnded(now, r.route.Name, a.leaf, a.startedAt, &result, cancelled)
	r.use.Add(now, workOf(&result)-a.charged)
	m.startReports()
	m.waiters.wakeFor(now, a.leaf)
	m.mu.Unlock()
	if verdict.Leaving {
		m.reporter.MarkLeaving(a.leaf.Key())
	}
	m.logVerdict(r, a.leaf, &result, verdict)
	r.results.add(attemptResult{a, result})
}

// workOf returns the time for which an attempt has used its leaf.
func workOf(result *forward.AttemptResult) time.Duration {
	if !result.MayHaveRun() {
		return 0
	}
	return result.Latency
}

// cancelPending cancels the attempts that have not ended, either after the delay or, if it is 0, immediately.
func (r *runner) cancelPending(delay time.Duration) {
	for _, a := range r.attempts {
		if a.ended {
			continue
		}
		if delay == 0 {
			r.cancel(a)
		} else {
			time.AfterFunc(delay, func() { r.cancel(a) })
		}
	}
}

func (r *runner) cancel(a *attempt) {
	r.module.mu.Lock()
	a.cancelled = true
	r.module.mu.Unlock()
	a.handle.Cancel()
}

// updateQueues enters the request into the queues of the services whose leaves have no available connection, and
// removes it from all others.
func (r *runner) updateQueues() {
	services := r.state.Waiting()
	if slices.Equal(services, r.waiting) {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.waiters.remove(r.waiting, r)
	r.waiting = services
	r.module.waiters.add(services, r)
	if len(services) > 0 {
		// A connection may have become available since the step, and has woken another request or none.
		select {
		case r.wakes <- struct{}{}:
		default: // The next step is due anyway.
		}
	}
}

func (r *runner) leaveQueues() {
	if len(r.waiting) == 0 {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.waiters.remove(r.waiting, r)
	now := r.module.now()
	// The next request may use the connection for which this one was woken.
	for _, s := range r.waiting {
		r.module.waiters.wake(now, s)
	}
}

// allowed returns the leaves of a service that the request may be sent to, by the latest view: an evacuation binds requests that wait,
// too.
func (r *runner) allowed(service model.ServiceName) []*leaves.Member {
	f := r.module.filter(r.module.control.View(), r.route, r.req.Customer)
	return f.Allowed(r.module.members(service))
}

// mayUse reports whether the request may be sent to a leaf.
func (r *runner) mayUse(l *leaves.Member) bool {
	f := r.module.filter(r.module.control.View(), r.route, r.req.Customer)
	return f.Allows(l)
}

// Choose implements forward.Env.
func (r *runner) Choose(now time.Time, service model.ServiceName, tried []*leaves.Member) *leaves.Member {
	m := r.module
	list, outliers := r.allowed(service), m.control.View().LeafOutliers
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		leaf := m.tracker.Choose(now, r.route.Name, list, tried, outliers, m.transport)
		if leaf == nil || r.reserveUnit(now, leaf) {
			return leaf
		}
		tried = append(slices.Clip(tried), leaf) // A cold leaf without a unit counts as having no connection.
	}
}

// HasUntried implements forward.Env.
func (r *runner) HasUntried(now time.Time, service model.ServiceName, tried []*leaves.Member) bool {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(r.allowed(service), func(x *leaves.Member) bool {
		return !m.tracker.Refuses(now, x) && !slices.ContainsFunc(tried, func(t *leaves.Member) bool { return t.ID == x.ID })
	})
}

// NextReturn implements forward.Env.
func (r *runner) NextReturn(now time.Time, service model.ServiceName) time.Time {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.NextReturn(now, r.allowed(service))
}

// PauseEnd implements forward.Env.
func (r *runner) PauseEnd(now time.Time, service model.ServiceName, tried []*leaves.Member) time.Time {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.PauseEnd(now, r.allowed(service), tried)
}

// CountFirst implements forward.Env.
func (r *runner) CountFirst(now time.Time, service model.ServiceName) {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	b, l := m.budget(service)
	b.CountFirst(now, l)
	m.metrics.first.Inc(1)
}

// TryExtra implements forward.Env.
func (r *runner) TryExtra(now time.Time, service model.ServiceName, hedge bool) forward.Extra {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	b, l := m.budget(service)
	if !b.TryExtra(now, l, hedge) {
		if m.granter == nil {
			return forward.ExtraDenied
		}
		answer, request := m.grants.Take(now, service)
		if request {
			r.wanted = append(r.wanted, service)
		}
		if answer != forward.ExtraGranted {
			return answer
		}
		m.metrics.granted.Inc(1)
	}
	if hedge {
		m.metrics.hedges.Inc(1)
	} else {
		m.metrics.retries.Inc(1)
	}
	return forward.ExtraGranted
}

// withdrawExtras drops the extra attempts that the last step would have needed.
func (r *runner) withdrawExtras(now time.Time) {
	if len(r.wanted) == 0 {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	for _, s := range r.wanted {
		r.module.grants.Withdraw(s, now)
	}
}

// requestExtras requests the extra attempts that the last step needs beyond the budget of this VM.
func (r *runner) requestExtras(now time.Time) {
	if len(r.wanted) == 0 {
		return
	}
	m, services := r.module, r.wanted
	r.wanted = nil
	go func() {
		ctx, cancel := context.WithTimeout(m.runCtx, forward.GrantExpiry)
		defer cancel()
		granted, err := m.granter.RequestExtras(ctx, services)
		if err != nil {
			_ = level.Debug(m.logger).Log("msg", "no extra attempt is granted", "services", len(services), "err", err)
			granted = make([]bool, len(services))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		for i, s := range services {
			m.grants.Answer(m.now(), s, now, granted[i])
		}
	}()
}

// Withdraw implements forward.Env.
func (r *runner) Withdraw(part, index int) bool {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.part == part && a.index == index })
	if i < 0 || !r.attempts[i].handle.Withdraw() {
		return false
	}
	r.module.mu.Lock()
	r.attempts[i].withdrawn = true
	r.module.mu.Unlock()
	return true
}

// ExpectedWhenFull implements forward.Env.
func (r *runner) ExpectedWhenFull(now time.Time, service model.ServiceName) time.Duration {
	m := r.module
	list := r.allowed(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.ExpectedWhenFull(now, list, m.waiters.ahead(now, service, r))
}

// SeenLatency implements forward.Env.
func (r *runner) SeenLatency() forward.SeenLatency {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.SeenLatency(r.route.Name)
}

// HedgeDelay implements forward.Env.
func (r *runner) HedgeDelay() time.Duration {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.HedgeDelay(r.route.Name, r.route.Objective)
}
