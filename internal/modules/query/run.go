package query

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/query"
)

const (
	// replyMargin is the time reserved before the caller's deadline for encoding and returning the answer. It is at
	// most the time until the deadline divided by replyMarginDivisor.
	replyMargin        = 5 * time.Millisecond
	replyMarginDivisor = 20
	// overloadRetryAfter is the delay after which a refused caller may retry.
	overloadRetryAfter = time.Second
)

// HandleQuery implements kernel.QueryHandler. It returns by the deadline of the request.
func (e *Executor) HandleQuery(ctx context.Context, req model.Request) model.Answer {
	view := e.view()
	now := e.now()
	config := view.Service(req.Service)
	if config == nil {
		// Counters exist for configured services only, so that callers cannot create counters by sending unknown
		// names.
		answer := e.notRun(&req, errs.New(errs.KindNotFound, "use a service that is configured at this site", "service %q is not configured", req.Service))
		e.logAnswer(&req, &answer)
		return answer
	}
	s := e.service(req.Service)
	answer := e.handle(ctx, s, config, &req, now)
	s.metrics.answer(&answer)
	e.logAnswer(&req, &answer)
	return answer
}

func (e *Executor) handle(ctx context.Context, s *service, config *model.ServiceConfig, req *model.Request, now time.Time) model.Answer {
	p, err := e.policiesFor(s, config)
	if err != nil {
		return e.notRun(req, err)
	}
	deadline := now.Add(config.Deadline)
	if !req.Deadline.IsZero() && req.Deadline.Before(deadline) {
		deadline = req.Deadline
	}
	if !now.Before(deadline) {
		return e.notRun(req, errs.New(errs.KindDeadline, "allow more time", "the deadline has passed"))
	}
	priority := config.Priority
	if req.Priority != nil {
		priority = *req.Priority
	}
	reservation, err := e.admit(ctx, s, config, req, now, deadline, priority)
	if err != nil {
		return e.notAdmitted(req, err)
	}
	run := e.runQuery
	if !config.Idempotent {
		run = e.runOrder
	}
	answer := run(ctx, s, p, req, now, deadline, priority)
	reservation.Done(answer.Outcome)
	return answer
}

// admit requests admission. The cost of a query is the number of shards of the newest snapshot.
func (e *Executor) admit(ctx context.Context, s *service, config *model.ServiceConfig, req *model.Request, now, deadline time.Time, priority model.Priority) (kernel.Reservation, error) {
	cost := 1
	if plan := e.planFor(s, e.view(), now); config.Idempotent && len(plan.Snapshots) > 0 {
		cost = len(plan.Snapshots[0].Layout.Shards)
	}
	return e.admission.Admit(ctx, kernel.AdmissionRequest{Service: config, Caller: req.Caller, Priority: priority, Deadline: deadline, Cost: cost})
}

func (e *Executor) notRun(req *model.Request, err error) model.Answer {
	return model.Answer{RequestID: req.ID, Outcome: model.OutcomeNotRun, Reason: err.Error(), Remedy: errs.RemedyOf(err)}
}

// notAdmitted answers a request that the admission policy refused. Nothing of it has run.
func (e *Executor) notAdmitted(req *model.Request, err error) model.Answer {
	a := e.notRun(req, err)
	if errs.KindOf(err) == errs.KindOverload {
		a.Outcome, a.RetryAfter = model.OutcomeRefused, overloadRetryAfter
	}
	return a
}

func finishBy(now, deadline time.Time) time.Time {
	return deadline.Add(-min(replyMargin, deadline.Sub(now)/replyMarginDivisor))
}

// chunkSize is the number of attempts that are allocated together. Chunks keep the addresses of attempts stable, because
// goroutines use the attempts while the list grows.
const chunkSize = 64

// queryRun executes one query. Its memory is reused once the query has its answer and all its attempts have ended.
type queryRun struct {
	chooser
	executor        *Executor
	request         *model.Request
	deadline        time.Time
	ctx             context.Context
	view            *kernel.View
	plan            *query.Plan
	machine         query.Query
	chunks          [][]attempt
	startedAttempts int
	inbox           inbox
	endedBuffer     []int
	timer           *time.Timer
	timerAt         time.Time
	answered        atomic.Bool
	// references counts the goroutines of the query and of its attempts.
	references atomic.Int32
}

func newQueryRun(e *Executor) *queryRun {
	r := &queryRun{executor: e, chooser: chooser{tracker: e.tracker, random: e.random(), planned: map[*model.Target]int{}}, inbox: newInbox(), timer: time.NewTimer(time.Hour)}
	r.timer.Stop()
	return r
}

func (e *Executor) runQuery(ctx context.Context, s *service, p *policies, req *model.Request, now, deadline time.Time, priority model.Priority) model.Answer {
	e.active.Add(1)
	r := e.runPool.Get().(*queryRun)
	r.references.Store(1)
	r.answered.Store(false)
	r.service, r.policies, r.request, r.priority, r.deadline, r.ctx = s, p, req, priority, deadline, ctx
	r.view = e.view()
	r.plan = e.planFor(s, r.view, now)
	r.machine.Reset(query.Params{
		Request: req, Service: p.config, Start: now, FinishBy: finishBy(now, deadline),
		Required: max(req.MinimumCoverage, p.config.MinimumCoverage), IDPrefix: e.nextIDPrefix(), Plan: r.plan,
	}, r)
	answer := r.loop(ctx)
	r.release()
	return answer
}

// release drops one reference. Dropping the last one returns the memory of the run to the pool for another query.
func (r *queryRun) release() {
	if r.references.Add(-1) > 0 {
		return
	}
	e := r.executor
	select {
	case <-r.inbox.signal:
	default:
	}
	r.endedBuffer = r.inbox.take(r.endedBuffer)
	for n := 0; n < r.startedAttempts; n++ {
		r.attempt(n).reset()
	}
	r.startedAttempts = 0
	// The state machine refers to the bodies of the replies, which a pooled run must not keep alive.
	r.machine.Reset(query.Params{}, nil)
	r.service, r.policies, r.request, r.ctx, r.view, r.plan = nil, nil, nil, nil, nil, nil
	e.runPool.Put(r)
	e.active.Done()
}

func (r *queryRun) attempt(n int) *attempt { return &r.chunks[n/chunkSize][n%chunkSize] }

// loop passes inputs to the state machine until it has its answer.
func (r *queryRun) loop(ctx context.Context) model.Answer {
	defer r.timer.Stop()
	r.timerAt = time.Time{}
	r.machine.Start(r.executor.now())
	r.deposit(len(r.machine.Ready().Send))
	for {
		ready := r.machine.Ready()
		r.act(ready)
		if ready.Answer != nil {
			r.answered.Store(true)
			return *ready.Answer
		}
		r.machine.Advance()
		r.setTimer(ready.Wake)
		// The channel is read before the view is checked, so that a change in between is not missed.
		changed := r.executor.changed()
		if r.applyNewView() {
			continue
		}
		select {
		case <-r.inbox.signal:
			r.handleReplies()
		case <-r.timer.C:
			r.timerAt = time.Time{}
			r.machine.Tick(r.executor.now())
		case <-ctx.Done():
			r.machine.Cancel(r.executor.now())
		case <-changed:
		}
	}
}

// deposit adds the tokens for the first attempts to the hedge and retry budgets. The hedge budget accumulates at most the
// tokens of hedgeBurstQueries queries, and the retry budget at most enough for one restart of the whole query on another
// snapshot.
func (r *queryRun) deposit(firstAttempts int) {
	const hedgeBurstQueries = 4
	c := r.policies.config
	r.service.hedges.Deposit(firstAttempts, c.HedgeBudget, int(hedgeBurstQueries*float64(firstAttempts)*c.HedgeBudget))
	r.service.retries.Deposit(firstAttempts, c.RetryBudget, firstAttempts)
}

func (r *queryRun) setTimer(at time.Time) {
	if at.Equal(r.timerAt) {
		return
	}
	r.timerAt = at
	r.timer.Reset(at.Sub(r.executor.now()))
}

func (r *queryRun) handleReplies() {
	now := r.executor.now()
	r.endedBuffer = r.inbox.take(r.endedBuffer)
	for _, n := range r.endedBuffer {
		r.machine.Reply(now, n, r.attempt(n).reply)
	}
}

// applyNewView applies a view that was published while the query runs. If the view leads to a new plan, it passes the plan
// to the state machine and returns true.
func (r *queryRun) applyNewView() bool {
	v := r.executor.view()
	if v == r.view {
		return false
	}
	now := r.executor.now()
	r.view = v
	plan := r.executor.planFor(r.service, v, now)
	if plan == r.plan {
		return false
	}
	r.plan = plan
	r.machine.PlanChanged(now, plan)
	return true
}

func (r *queryRun) act(ready *query.Ready) {
	for _, n := range ready.Cancel {
		r.attempt(n).cancel()
	}
	for _, n := range ready.Send {
		r.start(n)
	}
	clear(r.planned)
	for i := range ready.Notices {
		r.notice(&ready.Notices[i])
	}
}

// start sends an attempt on its own goroutine. A pool of goroutines fed by a channel took twice the time with ten
// concurrent queries of 1,100 shards, because they contended for the lock of the channel.
func (r *queryRun) start(n int) {
	for len(r.chunks)*chunkSize <= n {
		r.chunks = append(r.chunks, r.newChunk())
	}
	m := r.machine.Attempt(n)
	a := r.attempt(n)
	a.number, a.target = n, m.Target
	a.request = model.SubRequest{
		Attempt: m.ID, Service: r.service.name, Shard: m.Shard, Snapshot: r.machine.Snapshot(), Body: r.request.Body,
		Priority: r.priority, Deadline: r.machine.FinishBy,
	}
	a.ctx = newAttemptContext(r.ctx, r.machine.FinishBy)
	r.startedAttempts = n + 1
	r.references.Add(1)
	r.logAttempt(m)
	go a.run()
}

// newChunk allocates attempts, each with the function that its goroutine runs, because a go statement with arguments
// would allocate a function for each sub-request.
func (r *queryRun) newChunk() []attempt {
	chunk := make([]attempt, chunkSize)
	for i := range chunk {
		a := &chunk[i]
		a.run = func() { r.perform(a) }
	}
	return chunk
}

func (r *queryRun) perform(a *attempt) {
	r.executor.perform(a)
	a.cancel()
	if r.answered.Load() && a.reply.Status == model.ReplyOK {
		r.service.metrics.late.Inc(1)
	}
	r.inbox.add(a.number)
	r.release()
}

// logAttempt logs a routing decision. First attempts are logged at level debug, because a line for each of 1,100
// sub-requests would delay the answer. The attempts of a restart are too, because the restart has its own log line.
func (r *queryRun) logAttempt(m *query.Attempt) {
	extra := m.IsExtra()
	if !extra && !r.executor.debug {
		return
	}
	logger := level.Debug(r.executor.routingLog)
	if extra {
		logger = level.Info(r.executor.routingLog)
	}
	_ = logger.Log("msg", "sending attempt", "request", r.request.ID, "attempt", m.ID, "kind", m.Kind, "cause", m.Cause,
		"service", r.service.name, "shard", m.Shard, "target", m.Target.ID, "snapshot", r.machine.Snapshot())
}

func (r *queryRun) notice(n *query.Notice) {
	logger := level.Info(r.executor.logger)
	switch n.Kind {
	case query.NoticeRestart:
		r.service.metrics.restarts.Inc(1)
	case query.NoticeNoBudget:
		r.service.metrics.noBudget.Inc(1)
		if !r.executor.debug {
			return
		}
		logger = level.Debug(r.executor.routingLog)
	}
	_ = logger.Log("msg", n.Kind, "request", r.request.ID, "service", r.service.name, "shard", n.Shard,
		"snapshot", n.Snapshot, "detail", n.Detail)
}

func (e *Executor) logAnswer(req *model.Request, a *model.Answer) {
	if a.Outcome == model.OutcomeComplete {
		return
	}
	_ = level.Info(e.logger).Log("msg", "request was not answered completely", "request", req.ID, "service", req.Service, "outcome", a.Outcome,
		"coverage", a.Coverage, "missing", len(a.Missing), "snapshot", a.Snapshot, "reason", a.Reason)
}

// Withdraw implements query.Environment.
func (r *queryRun) Withdraw(n int) bool { return r.attempt(n).withdraw() }
