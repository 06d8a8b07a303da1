package query

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/query"
)

const (
	// recordTimeout limits the wait for the claim store to record an outcome or release a claim. The store continues
	// to try afterwards.
	recordTimeout = time.Second
	// lateReplyGrace is how long after its deadline the reply of an order is still awaited, to be recorded.
	lateReplyGrace = time.Second
)

// orderRun executes one order. ended holds one number, since an order has at most one attempt in flight.
type orderRun struct {
	*chooser
	executor *Executor
	id       model.OrderID
	machine  *query.Order
	request  *model.Request
	attempts []*attempt
	ended    chan int
}

// runOrder claims an order and sends it to one target. The caller's cancellation stops an order that has not been
// sent; one that has been sent continues until its deadline, so that its outcome can be recorded.
func (e *Executor) runOrder(ctx context.Context, s *service, p *policies, req *model.Request, now, deadline time.Time, priority model.Priority) model.Answer {
	if e.claims == nil {
		return e.notRun(req, errs.New(errs.KindUnavailable, "enable a claim store on this VM", "orders cannot be run, because this VM has no claim store"))
	}
	e.active.Add(1)
	r := &orderRun{
		chooser: newChooser(e, s, p, priority, e.random()), executor: e, id: model.OrderID{Service: s.name, Key: req.OrderKey},
		request: req, ended: make(chan int, 1),
	}
	r.machine = query.NewOrder(query.OrderParams{
		Request: req, FinishBy: finishBy(now, deadline), IDPrefix: e.nextIDPrefix(), Plan: e.planFor(s, e.view(), now),
	}, r)
	return r.run(ctx)
}

// run passes inputs to the state machine until the caller can be answered. An attempt that is still in flight then is
// left to a goroutine that records its reply.
func (r *orderRun) run(ctx context.Context) model.Answer {
	r.machine.Start(r.executor.now())
	done := ctx.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		ready := r.act(ctx)
		if ready.Answer != nil {
			answer := *ready.Answer
			r.detach()
			return answer
		}
		timer.Reset(ready.Wake.Sub(r.executor.now()))
		select {
		case n := <-r.ended:
			r.machine.Reply(r.executor.now(), n, r.attempts[n].reply)
		case <-timer.C:
			r.machine.Tick(r.executor.now())
		case <-done:
			// Cancellation is passed on once; the order may have to continue.
			done = nil
			r.machine.Cancel(r.executor.now())
		}
	}
}

// detach ends the run, or starts a goroutine that waits for the reply of an attempt in flight.
func (r *orderRun) detach() {
	if !r.machine.InFlight() {
		r.executor.active.Done()
		return
	}
	go func() {
		defer r.executor.active.Done()
		n := <-r.ended
		r.machine.Reply(r.executor.now(), n, r.attempts[n].reply)
		r.act(context.Background())
	}()
}

// act carries out the actions that the state machine requests, until there are no more.
func (r *orderRun) act(ctx context.Context) query.OrderReady {
	for {
		ready := *r.machine.Ready()
		r.machine.Advance()
		if ready.Send >= 0 {
			r.send(ready.Send)
		}
		if ready.Record != nil {
			r.record(ready.Record)
		}
		if ready.Release {
			r.releaseClaim()
		}
		if ready.Claim == "" {
			return ready
		}
		r.claim(ctx, ready.Claim)
	}
}

// claim requests the claim. The context ends with the deadline, so that the caller is answered in time.
func (r *orderRun) claim(ctx context.Context, id model.AttemptID) {
	ctx, cancel := context.WithDeadline(ctx, r.machine.FinishBy)
	defer cancel()
	result, err := r.executor.claims.Claim(ctx, kernel.ClaimRequest{
		Order: r.id, Holder: r.executor.holder, Attempt: id, Digest: xxhash.Sum64(r.request.Body), Deadline: r.machine.FinishBy,
	})
	if ctx.Err() != nil {
		// The deadline has passed or the caller has cancelled, whatever the claim store returned: the state machine
		// releases a claim that was granted.
		r.machine.Tick(r.executor.now())
		r.machine.Cancel(r.executor.now())
	}
	r.machine.ClaimResult(r.executor.now(), result, err)
}

// send sends an attempt on its own goroutine. Its context does not end with the caller's.
func (r *orderRun) send(n int) {
	m := r.machine.Attempt(n)
	a := &attempt{number: n, target: m.Target}
	a.request = model.SubRequest{
		Attempt: m.ID, Service: r.service.name, Shard: m.Shard, Snapshot: r.machine.Snapshot(), Body: r.request.Body,
		Priority: r.priority, Deadline: r.machine.FinishBy, OrderKey: r.request.OrderKey,
	}
	a.ctx = newAttemptContext(context.Background(), r.machine.FinishBy.Add(lateReplyGrace))
	r.attempts = append(r.attempts, a)
	_ = level.Info(r.executor.routingLog).Log("msg", "sending order", "attempt", m.ID, "kind", m.Kind, "cause", m.Cause, "service", r.service.name,
		"order", r.id.Key, "shard", m.Shard, "target", m.Target.ID, "snapshot", r.machine.Snapshot())
	go func() {
		// The timer in run answers the caller; this one ends an attempt whose reply never arrives.
		timer := time.AfterFunc(a.ctx.deadline.Sub(r.executor.now()), a.cancel)
		defer timer.Stop()
		r.executor.perform(a)
		a.cancel()
		r.ended <- n
	}()
}

func (r *orderRun) record(a *model.Answer) {
	result, err := json.Marshal(callerapi.Encode(a))
	if err != nil {
		r.warn("the outcome of an order was not recorded, because it cannot be encoded", err)
		return
	}
	r.callClaimStore("the claim store has not yet confirmed that it recorded the outcome of an order", func(ctx context.Context) error {
		return r.executor.claims.Finish(ctx, r.id, r.machine.ClaimedAttempt(), result)
	})
}

func (r *orderRun) releaseClaim() {
	r.callClaimStore("the claim store has not yet confirmed that it released the claim on an order", func(ctx context.Context) error {
		return r.executor.claims.Release(ctx, r.id, r.machine.ClaimedAttempt())
	})
}

// callClaimStore calls the claim store and waits for it, so that a resend right after the answer finds the claim
// recorded or released. The wait ends with the order's deadline; the call continues.
func (r *orderRun) callClaimStore(failureMsg string, call func(context.Context) error) {
	done := make(chan struct{})
	r.executor.active.Add(1)
	go func() {
		defer r.executor.active.Done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := call(ctx); err != nil {
			r.warn(failureMsg, err)
		}
	}()
	timer := time.NewTimer(r.machine.FinishBy.Sub(r.executor.now()))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (r *orderRun) warn(msg string, err error) {
	_ = level.Warn(r.executor.logger).Log("msg", msg, "order", r.id.Key, "service", r.id.Service, "err", err)
}

// Withdraw implements query.OrderEnvironment.
func (r *orderRun) Withdraw(n int) bool { return r.attempts[n].withdraw() }

// DecodeResult implements query.OrderEnvironment.
func (r *orderRun) DecodeResult(result []byte) (model.Answer, error) {
	var a callerapi.Answer
	if err := json.Unmarshal(result, &a); err != nil {
		return model.Answer{}, err
	}
	return callerapi.Decode(a)
}
