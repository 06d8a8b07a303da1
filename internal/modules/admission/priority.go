package admission

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/admission"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "admission.priority",
		New:      func() kernel.Module { return &Priority{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapLoadTracker},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapAdmissionPolicy},
		Enabled:  enabled(policyPriority),
		Settings: []settings.Key{
			{Section: section, Name: policyKey, Default: policyPriority, Choices: []string{policyPriority, policyOpen}, Help: "admission policy"},
			{Section: section, Name: "queue", Kind: settings.KindInt, Default: "256", Min: 1, Max: 100000, Help: "requests of one service that may wait"},
			{Section: section, Name: "max_cost", Kind: settings.KindInt, Default: "20000", Min: 1, Max: 10000000, Help: "sub-requests of all services that may run at once"},
			{Section: section, Name: "wait_share", Kind: settings.KindFloat, Default: "0.25", Min: 0.01, Max: 1, Help: "share of a request's time that it may wait for admission"},
			{Section: section, Name: "service_share", Kind: settings.KindFloat, Default: "0.5", Min: 0.01, Max: 1, Help: "share of max_cost that one service may hold"},
		},
	})
}

// Priority admits requests by priority, within limits for each service, for each caller and for the whole VM.
type Priority struct {
	now          func() time.Time
	tracker      kernel.LoadTracker
	logger       log.Logger
	scope        tally.Scope
	queueLength  int
	maxCost      int
	serviceShare float64
	waitShare    float64

	mu       sync.Mutex
	cost     int
	services map[model.ServiceName]*service
}

// service is the admission state of one service, guarded by the lock of Priority. cost is the sum of the costs of its
// running requests.
type service struct {
	limit   *admission.ServiceLimit
	queue   *admission.Queue[*request]
	callers admission.Callers
	cost    int
}

// request is a waiting or running request. It implements kernel.Reservation.
type request struct {
	kernel.AdmissionRequest
	policy  *Priority
	decided chan struct{}
	err     error
	started time.Time
	once    sync.Once
}

// Provision implements kernel.Provisioner.
func (p *Priority) Provision(ctx *kernel.Context) error {
	var err error
	if p.tracker, err = kernel.Lookup[kernel.LoadTracker](ctx); err != nil {
		return err
	}
	p.now = ctx.Now
	p.waitShare = ctx.Settings.Float(section, "wait_share")
	p.logger, p.scope = ctx.Logger("admission"), ctx.Scope("admission")
	p.queueLength = ctx.Settings.Int(section, "queue")
	p.maxCost = ctx.Settings.Int(section, "max_cost")
	p.serviceShare = ctx.Settings.Float(section, "service_share")
	p.services = map[model.ServiceName]*service{}
	return nil
}

// Admit implements kernel.AdmissionPolicy.
func (p *Priority) Admit(ctx context.Context, req kernel.AdmissionRequest) (kernel.Reservation, error) {
	r := &request{AdmissionRequest: req, policy: p, decided: make(chan struct{})}
	w, err := p.startOrQueue(r)
	if err == nil && w != nil {
		err = p.wait(ctx, r, w)
	}
	if err != nil {
		p.scope.Tagged(map[string]string{"kind": string(errs.KindOf(err))}).Counter("refused").Inc(1)
		_ = level.Info(p.logger).Log("msg", "request was not admitted", "service", req.Service.Name, "caller", req.Caller, "priority", req.Priority, "err", err)
		return nil, err
	}
	return r, nil
}

// startOrQueue starts a request immediately and returns nil, or returns its entry in the queue.
func (p *Priority) startOrQueue(r *request) (*admission.Waiter[*request], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.service(r.Service)
	if !s.callers.HasCapacity(r.Caller, r.Service.CallerShare, s.limit.Limit()+p.queueLength) {
		return nil, errs.New(errs.KindOverload, "send fewer requests at once, or raise caller_share", "caller %q has used its whole share of service %s", r.Caller, r.Service.Name)
	}
	if s.queue.Len() == 0 && p.fits(s, r) {
		s.callers.Increment(r.Caller)
		p.start(s, r, now)
		return nil, nil
	}
	wait := s.limit.ExpectedWait(s.queue.Len())
	// A request that waits too long has little time left for its attempts. Refusing it early costs nothing.
	latest := now.Add(time.Duration(p.waitShare * float64(r.Deadline.Sub(now))))
	if r.Priority != model.PriorityUrgent && now.Add(wait).After(latest) {
		return nil, errs.New(errs.KindOverload, "try again later or with a longer deadline", "requests of service %s wait about %s for admission, longer than the deadline allows", r.Service.Name, wait.Round(time.Millisecond))
	}
	w := &admission.Waiter[*request]{Value: r, Priority: r.Priority, Deadline: latest}
	evicted, ok := s.queue.Push(w)
	if !ok {
		return nil, queueFull(r.Service.Name)
	}
	s.callers.Increment(r.Caller)
	if evicted != nil {
		s.refuse(evicted.Value, queueFull(r.Service.Name))
	}
	// The new request may be more urgent and fit where the first one in the queue does not.
	p.startWaiting(s, now)
	return w, nil
}

func queueFull(s model.ServiceName) error {
	return errs.New(errs.KindOverload, "try again later", "the admission queue of service %s is full", s)
}

func (p *Priority) wait(ctx context.Context, r *request, w *admission.Waiter[*request]) error {
	select {
	case <-r.decided:
		return r.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-r.decided:
		if r.err == nil {
			p.finish(r, model.OutcomeNotRun)
		}
	default:
		s := p.services[r.Service.Name]
		s.queue.Remove(w)
		s.callers.Decrement(r.Caller)
	}
	return errs.Wrap(ctx.Err(), errs.KindDeadline, "allow more time or lower the load", "the request was cancelled or timed out while it waited for admission")
}

// fits reports whether a request may start now. The caller holds the lock.
func (p *Priority) fits(s *service, r *request) bool {
	if !s.limit.HasCapacity(r.Priority) {
		return false
	}
	// A request that is larger than a limit may run alone, otherwise it could never run.
	fitsVM := p.cost == 0 || p.cost+r.Cost <= p.maxCost
	fitsService := s.cost == 0 || float64(s.cost+r.Cost) <= p.serviceShare*float64(p.maxCost)
	return fitsVM && fitsService
}

func (p *Priority) start(s *service, r *request, now time.Time) {
	r.started = now
	s.limit.Start()
	s.cost += r.Cost
	p.cost += r.Cost
}

// finish ends a running request and starts waiting ones. The caller holds the lock.
func (p *Priority) finish(r *request, o model.Outcome) {
	now := p.now()
	s := p.services[r.Service.Name]
	missed := o == model.OutcomeFailed || o == model.OutcomeUnknown || now.After(r.Deadline)
	s.limit.Finish(now.Sub(r.started), missed)
	s.callers.Decrement(r.Caller)
	if s.limit.AdaptDue(now) {
		s.limit.Adapt(p.tracker.QueueingDelay(r.Service.Name), now)
	}
	s.cost -= r.Cost
	p.cost -= r.Cost
	p.startWaiting(s, now)
	for _, other := range p.services {
		if other != s && other.queue.Len() > 0 {
			p.startWaiting(other, now)
		}
	}
}

// startWaiting starts waiting requests while they fit. The caller holds the lock.
func (p *Priority) startWaiting(s *service, now time.Time) {
	for s.queue.Len() > 0 {
		w := s.queue.Peek()
		if !now.Before(w.Deadline) {
			s.queue.Remove(w)
			s.refuse(w.Value, errs.New(errs.KindOverload, "try again later or with a longer deadline", "the request to service %s waited too long for admission", w.Value.Service.Name))
			continue
		}
		if !p.fits(s, w.Value) {
			return
		}
		s.queue.Remove(w)
		p.start(s, w.Value, now)
		close(w.Value.decided)
	}
}

// refuse ends the wait of a request that was removed from the queue.
func (s *service) refuse(r *request, err error) {
	s.callers.Decrement(r.Caller)
	r.err = err
	close(r.decided)
}

// Done implements kernel.Reservation.
func (r *request) Done(o model.Outcome) {
	r.once.Do(func() {
		r.policy.mu.Lock()
		defer r.policy.mu.Unlock()
		r.policy.finish(r, o)
	})
}

// service returns the state of a service, with its configured maximum applied.
func (p *Priority) service(c *model.ServiceConfig) *service {
	s := p.services[c.Name]
	if s == nil {
		s = &service{limit: admission.NewServiceLimit(c.MaxConcurrency), queue: admission.NewQueue[*request](p.queueLength), callers: admission.Callers{}}
		p.services[c.Name] = s
	}
	s.limit.SetMax(c.MaxConcurrency)
	return s
}
