package loadtracker

import (
	"context"
	"sync"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/admission"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/limits"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// tracker is the traffic-side state of one incarnation of a target. Its lock is held for a few operations on
// plain values only.
type tracker struct {
	module      *Module
	key         model.TargetKey
	incarnation uint64
	zone        *zoneHealth

	mu       sync.Mutex
	inFlight int
	limit    *limits.Concurrency
	health   limits.Health
	latency  limits.LatencyAverage
	queue    *admission.Queue[*waiter]
	standing limits.QueueingDelay
	// silentSince is when the first attempt since the last reply was sent, or zero when a reply came since.
	silentSince time.Time
}

func newTracker(m *Module, t *model.Target, z *zoneHealth, share int) *tracker {
	return &tracker{
		module: m, key: t.Key(), incarnation: t.Incarnation, zone: z,
		limit: limits.NewConcurrency(t.Slots, share), queue: admission.NewQueue[*waiter](m.queueCapacity),
	}
}

func (tr *tracker) setShare(share int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.limit.SetShare(share)
	tr.grant()
}

func (tr *tracker) idle() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.inFlight == 0 && tr.queue.Len() == 0
}

// candidate describes the target for a choice.
func (tr *tracker) candidate(now time.Time) kernel.Candidate {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return kernel.Candidate{
		InFlight: tr.inFlight, Queued: tr.queue.Len(), Limit: tr.limit.Limit(),
		Latency: tr.latency.Value(), Ejected: tr.health.Ejected(now),
	}
}

// enter takes a place in flight at once, or returns a place in the queue.
func (tr *tracker) enter(ctx context.Context, p model.Priority) (*queueEntry, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.limit.Limit() == 0 {
		return nil, noShare(tr.key)
	}
	if tr.queue.Len() == 0 && tr.hasRoom() {
		tr.inFlight++
		return nil, nil
	}
	deadline, _ := ctx.Deadline()
	w := &queueEntry{Value: &waiter{granted: make(chan struct{})}, Priority: p, Deadline: deadline}
	evicted, ok := tr.queue.Push(w)
	if !ok {
		return nil, overload(tr.key, tr.queue.Len())
	}
	if evicted != nil {
		evicted.Value.refuse(overload(tr.key, tr.queue.Len()))
	}
	return w, nil
}

func (tr *tracker) hasRoom() bool { return tr.inFlight < tr.limit.Limit() }

// wait waits until the attempt may be sent or its context ends.
func (tr *tracker) wait(ctx context.Context, w *queueEntry) error {
	select {
	case <-w.Value.granted:
		return w.Value.err
	case <-ctx.Done():
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	select {
	case <-w.Value.granted:
		if w.Value.err == nil {
			// The place was granted at the same moment; it goes to the next one.
			tr.inFlight--
			tr.grant()
		}
	default:
		tr.queue.Remove(w)
	}
	return errs.Wrap(ctx.Err(), errs.KindDeadline, "allow more time or lower the load", "attempt ended while it waited for target %s", tr.key)
}

// grant hands free places to the queue. The caller holds the lock.
func (tr *tracker) grant() {
	for tr.queue.Len() > 0 && tr.hasRoom() {
		w := tr.queue.Pop(tr.module.now(), func(e *queueEntry) {
			e.Value.refuse(errs.New(errs.KindDeadline, "allow more time or lower the load", "deadline passed while the attempt waited for target %s", tr.key))
		})
		if w == nil {
			return
		}
		tr.inFlight++
		close(w.Value.granted)
	}
}

func (w *waiter) refuse(err error) {
	w.err = err
	close(w.granted)
}

// sent records an attempt that is about to leave.
func (tr *tracker) sent(now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.health.OnSent(now)
	if tr.silentSince.IsZero() {
		tr.silentSince = now
	}
	tr.zone.onSent(now)
}

// waited records how long an attempt waited before it was sent or given up.
func (tr *tracker) waited(d time.Duration, now time.Time) {
	tr.mu.Lock()
	tr.standing.Observe(d, now)
	standing := tr.standing.Value(now)
	tr.mu.Unlock()
	if standing > 0 {
		tr.module.serviceFor(tr.key.Service).onStanding(standing, now)
	}
}

// finish ends an attempt and learns from its result.
func (tr *tracker) finish(r model.Reply, waited time.Duration) {
	now := tr.module.now()
	service := tr.module.serviceFor(tr.key.Service)
	tr.mu.Lock()
	running := tr.inFlight
	tr.inFlight--
	ejected := tr.learn(r, running, now)
	until := tr.health.EjectedUntil()
	tr.grant()
	tr.mu.Unlock()
	// Queries wait for the permit too, so that the latency after which they hedge includes it.
	service.observe(r, waited+r.Elapsed, now)
	if ejected {
		tr.module.scope.Counter("ejections").Inc(1)
		tr.module.logEjection(tr.key, "target is ejected", until, r)
	}
}

// learn updates limit, latency and health, and reports whether the target is ejected by this reply.
func (tr *tracker) learn(r model.Reply, running int, now time.Time) bool {
	// An attempt that was cancelled early says nothing of a target that answers others; one that was cancelled
	// late says that the target straggles or cannot be reached. A frozen target is seen by its silence, since
	// hedges win and cancel its attempts early.
	elapsed := r.Elapsed
	if r.Cancelled {
		elapsed = max(elapsed, tr.silence(now))
		if elapsed < tr.module.unresponsiveAfter {
			return false
		}
	}
	if heard(r.Status) {
		tr.silentSince = time.Time{}
		if tr.inFlight > 0 {
			tr.silentSince = now
		}
	}
	switch r.Status {
	case model.ReplyOK, model.ReplyNoSnapshot, model.ReplyNotRun:
		tr.latency.Observe(r.Elapsed)
		tr.limit.OnAccepted(running, r.Elapsed, now)
	case model.ReplyShed:
		tr.limit.OnShed(now)
	case model.ReplyTimeout:
		tr.latency.Observe(elapsed)
		tr.zone.onFailure(now, tr)
		return tr.health.OnFailure(now)
	default:
		if r.Status == model.ReplyNotSent {
			tr.zone.onFailure(now, tr)
		}
		return tr.health.OnFailure(now)
	}
	tr.health.OnSuccess()
	tr.zone.onSuccess()
	return false
}

// silence returns how long the target has not replied to anything, or 0 when nothing was sent since its last reply.
func (tr *tracker) silence(now time.Time) time.Duration {
	if tr.silentSince.IsZero() {
		return 0
	}
	return now.Sub(tr.silentSince)
}

// heard reports whether a result came from the target itself.
func heard(s model.ReplyStatus) bool {
	return s != model.ReplyTimeout && s != model.ReplyNotSent && s != model.ReplyFailed
}
