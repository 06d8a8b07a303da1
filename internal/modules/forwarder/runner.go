package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// runner drives one request. Its methods run on the goroutine of the request, apart from finished.
type runner struct {
	module  *Module
	ctx     context.Context
	req     *forward.Request
	route   *routes.Route
	version routes.Version
	run     *forward.Run
	ends    chan attemptEnd
	// wakes gets a value when a leaf has room that the request waits for.
	wakes   chan struct{}
	waiting []model.ServiceName
	flights []*flight
}

// flight is one attempt on its way.
type flight struct {
	part, attempt int
	leaf          *leaves.Member
	began         time.Time
	cancel        func()
	// cancelled is guarded by the lock of the module.
	cancelled bool
	ended     bool
}

type attemptEnd struct {
	flight *flight
	end    forward.AttemptResult
}

// serve runs the request until there is a response.
func (r *runner) serve() *forward.Response {
	defer r.stopWaiting()
	// Every attempt can leave its end here without waiting for the request's goroutine.
	_, parts := r.run.Answered()
	r.ends = make(chan attemptEnd, parts*(r.route.MaxAttempts+maxUnsent))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := r.module.now()
		sends, response, wake := r.run.Step(now)
		if response != nil {
			r.leave(lingerLimit)
			return response
		}
		for _, s := range sends {
			r.start(now, s)
		}
		r.wait()
		if age := now.Sub(r.req.Received); age < zoneCheckEnd {
			r.module.silentZones(now)
			if next := now.Add(zoneCheck); next.Before(wake) {
				wake = next
			}
		}
		timer.Reset(max(wake.Sub(r.module.now()), 0))
		select {
		case x := <-r.ends:
			r.take(x)
			for n := len(r.ends); n > 0; n-- {
				r.take(<-r.ends)
			}
		case <-r.wakes:
		case <-timer.C:
		case <-r.ctx.Done():
			r.leave(0)
			return &forward.Response{Kind: forward.KindCallerGone, Reason: "the caller has left"}
		}
	}
}

// maxUnsent is above the number of attempts beyond the allowed one that a part can have.
const maxUnsent = 8

func (r *runner) take(x attemptEnd) {
	x.flight.ended = true
	r.run.AttemptEnded(x.flight.part, x.flight.attempt, x.end)
}

func (r *runner) start(now time.Time, s forward.Send) {
	m := r.module
	f := &flight{part: s.Part, attempt: s.Attempt, leaf: s.Leaf, began: now}
	r.flights = append(r.flights, f)
	m.mu.Lock()
	m.tracker.AttemptStarted(now, r.route.Name, s.Leaf)
	m.forget(now)
	m.mu.Unlock()
	req := &forward.LeafRequest{Request: r.req, Leaf: s.Leaf.ID, Until: s.Until}
	f.cancel = m.transport.Send(s.Leaf, req, func(end forward.AttemptResult) { r.finished(f, end) })
}

// finished takes the end of an attempt on the goroutine of its connection. It may come after the request is finished.
func (r *runner) finished(f *flight, end forward.AttemptResult) {
	m := r.module
	m.mu.Lock()
	if f.cancelled {
		m.metrics.cancelled.Inc(1)
	}
	ejected := m.tracker.AttemptEnded(m.now(), r.route.Name, f.leaf, f.began, &end, f.cancelled)
	m.startReports()
	m.waiters.wake(f.leaf.Service)
	m.mu.Unlock()
	if ejected > 0 {
		m.logEjection(r, f.leaf, &end, ejected)
	}
	r.ends <- attemptEnd{f, end}
}

// leave ends the attempts that are still on their way, after a delay.
func (r *runner) leave(after time.Duration) {
	for _, f := range r.flights {
		if f.ended {
			continue
		}
		if after == 0 {
			r.cancel(f)
		} else {
			time.AfterFunc(after, func() { r.cancel(f) })
		}
	}
}

func (r *runner) cancel(f *flight) {
	r.module.mu.Lock()
	f.cancelled = true
	r.module.mu.Unlock()
	f.cancel()
}

// wait enters the request into the queues of the services that have no room for it.
func (r *runner) wait() {
	services := r.run.Waiting()
	if slices.Equal(services, r.waiting) {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.waiters.remove(r.waiting, r)
	r.waiting = services
	r.module.waiters.add(services, r)
}

func (r *runner) stopWaiting() {
	if len(r.waiting) == 0 {
		return
	}
	r.module.mu.Lock()
	defer r.module.mu.Unlock()
	r.module.waiters.remove(r.waiting, r)
	// The room that this request was woken for may be of use to the next one.
	for _, s := range r.waiting {
		r.module.waiters.wake(s)
	}
}

// Choose implements forward.Env.
func (r *runner) Choose(now time.Time, service model.ServiceName, tried []*leaves.Member) *leaves.Member {
	m := r.module
	list, trouble := m.members(service), m.control.View().LeafTrouble
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Choose(now, r.route.Name, list, tried, trouble, m.transport)
}

// HasUntried implements forward.Env.
func (r *runner) HasUntried(service model.ServiceName, tried []*leaves.Member) bool {
	for _, x := range r.module.members(service) {
		if !slices.ContainsFunc(tried, func(t *leaves.Member) bool { return t.ID == x.ID }) {
			return true
		}
	}
	return false
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
func (r *runner) TryExtra(now time.Time, service model.ServiceName, hedge bool) bool {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	b, l := m.budget(service)
	if !b.TryExtra(now, l, hedge) {
		return false
	}
	if hedge {
		m.metrics.hedges.Inc(1)
	} else {
		m.metrics.retries.Inc(1)
	}
	return true
}

// HedgeDelay implements forward.Env.
func (r *runner) HedgeDelay() time.Duration {
	m := r.module
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.HedgeDelay(r.route.Name, r.route.Objective)
}
