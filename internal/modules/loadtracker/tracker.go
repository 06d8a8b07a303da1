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

// tracker is the state that traffic goroutines keep of one incarnation of a target. Its lock is held only for short operations
// in memory.
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
	queueing limits.QueueingDelay
	// noReplySince is the start of the time without a reply: when the first attempt since the last reply was sent, or when that
	// reply came if other attempts were in flight then. It is zero when no attempt waits since the last reply.
	noReplySince time.Time
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

// candidate returns the values by which a routing policy chooses among targets.
func (tr *tracker) candidate(now time.Time) kernel.Candidate {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return kernel.Candidate{
		InFlight: tr.inFlight, Queued: tr.queue.Len(), Limit: tr.limit.Limit(),
		Latency: tr.latency.Value(), Ejected: tr.health.Ejected(now),
	}
}

// enter counts an attempt as in flight if the limit allows it, and otherwise returns its entry in the queue.
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
		return nil, queueFull(tr.key, tr.queue.Len())
	}
	if evicted != nil {
		evicted.Value.refuse(queueFull(tr.key, tr.queue.Len()))
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
			// The attempt got its permit at the same time; the permit is passed to the next one in the queue.
			tr.inFlight--
			tr.grant()
		}
	default:
		tr.queue.Remove(w)
	}
	return errs.Wrap(ctx.Err(), errs.KindDeadline, "allow more time or lower the load", "attempt ended while it was queued for target %s", tr.key)
}

// grant gives permits to queued attempts while the limit allows it. The caller holds the lock.
func (tr *tracker) grant() {
	for tr.queue.Len() > 0 && tr.hasRoom() {
		w := tr.queue.Pop(tr.module.now(), func(e *queueEntry) {
			e.Value.refuse(errs.New(errs.KindDeadline, "allow more time or lower the load", "deadline passed while the attempt was queued for target %s", tr.key))
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

// sent records an attempt that is about to be sent.
func (tr *tracker) sent(now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.health.OnSent(now)
	if tr.noReplySince.IsZero() {
		tr.noReplySince = now
	}
	tr.zone.onSent(now)
}

// observeWait records how long an attempt waited before it was sent or abandoned.
func (tr *tracker) observeWait(d time.Duration, now time.Time) {
	tr.mu.Lock()
	tr.queueing.Observe(d, now)
	queueingDelay := tr.queueing.Value(now)
	tr.mu.Unlock()
	if queueingDelay > 0 {
		tr.module.serviceFor(tr.key.Service).observeQueueingDelay(queueingDelay, now)
	}
}

// finish ends an attempt and records its result. waited is how long the attempt waited for its permit.
func (tr *tracker) finish(r model.Reply, waited time.Duration) {
	now := tr.module.now()
	service := tr.module.serviceFor(tr.key.Service)
	tr.mu.Lock()
	running := tr.inFlight
	tr.inFlight--
	ejected := tr.update(r, running, now)
	until := tr.health.EjectedUntil()
	tr.grant()
	tr.mu.Unlock()
	// Queries also wait for the permit, so the latency after which they hedge includes this wait.
	service.observe(r, waited+r.Elapsed, now)
	if ejected {
		tr.module.scope.Counter("ejections").Inc(1)
		tr.module.logEjection(tr.key, "target is ejected", until, r)
	}
}

// update updates limit, latency and health with a reply, and reports whether this reply ejects the target.
func (tr *tracker) update(r model.Reply, running int, now time.Time) bool {
	// An attempt that was cancelled early is no evidence about a target that replies to others; one that was cancelled
	// late shows that the target straggles or cannot be reached. A frozen target is detected by the time without any
	// reply, since hedges are faster and its attempts are cancelled early.
	elapsed := r.Elapsed
	if r.Cancelled {
		elapsed = max(elapsed, tr.timeWithoutReply(now))
		if elapsed < tr.module.unresponsiveAfter {
			return false
		}
	}
	if fromTarget(r.Status) {
		tr.noReplySince = time.Time{}
		if tr.inFlight > 0 {
			tr.noReplySince = now
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

// timeWithoutReply returns how long the target has not replied to any attempt, or 0 when no attempt is unanswered.
func (tr *tracker) timeWithoutReply(now time.Time) time.Duration {
	if tr.noReplySince.IsZero() {
		return 0
	}
	return now.Sub(tr.noReplySince)
}

// fromTarget reports whether a result came from the target itself.
func fromTarget(s model.ReplyStatus) bool {
	return s != model.ReplyTimeout && s != model.ReplyNotSent && s != model.ReplyFailed
}
