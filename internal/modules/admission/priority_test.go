package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// idleTracker reports no queueing delay.
type idleTracker struct{ kernel.LoadTracker }

func (idleTracker) QueueingDelay(model.ServiceName) time.Duration { return 0 }

func newPolicy(queue, maxCost int) *Priority {
	return &Priority{
		now: time.Now, tracker: idleTracker{}, logger: log.NewNopLogger(), scope: tally.NoopScope,
		queueLength: queue, maxCost: maxCost, serviceShare: 1, waitShare: 1, services: map[model.ServiceName]*service{},
	}
}

func newRequest(name model.ServiceName, concurrency int, p model.Priority) kernel.AdmissionRequest {
	return kernel.AdmissionRequest{
		Service: &model.ServiceConfig{Name: name, MaxConcurrency: concurrency, CallerShare: 0.5}, Priority: p,
		Deadline: time.Now().Add(time.Minute), Cost: 1,
	}
}

// Guards against reservations that are lost or counted twice when requests are admitted, refused and cancelled
// concurrently.
func TestReservationsAreAccountedFor(t *testing.T) {
	defer goleak.VerifyNone(t)
	p := newPolicy(8, 6)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7)*time.Millisecond)
			defer cancel()
			req := newRequest(model.ServiceName(fmt.Sprint("s", i%3)), 4, model.Priority(i%3))
			req.Caller = model.CallerID(fmt.Sprint("c", i%5))
			reservation, err := p.Admit(ctx, req)
			if err != nil {
				require.Contains(t, []errs.Kind{errs.KindOverload, errs.KindDeadline}, errs.KindOf(err))
				return
			}
			p.mu.Lock()
			require.LessOrEqual(t, p.cost, 6)
			p.mu.Unlock()
			reservation.Done(model.OutcomeComplete)
			reservation.Done(model.OutcomeComplete)
		})
	}
	wg.Wait()
	require.Zero(t, p.cost)
	for _, s := range p.services {
		require.Zero(t, s.limit.Running())
		require.Zero(t, s.queue.Len())
		require.Empty(t, s.callers)
		require.Zero(t, s.cost)
	}
}

// Guards against urgent requests that wait behind others, and against a caller that fills the queue of a service.
func TestUrgentGoesFirstAndCallersAreLimited(t *testing.T) {
	p := newPolicy(4, 100)
	running, err := p.Admit(context.Background(), newRequest("s", 1, model.PriorityBulk))
	require.NoError(t, err)
	second, err := p.Admit(context.Background(), newRequest("s", 1, model.PriorityBulk))
	require.NoError(t, err, "the limit is never below two")
	order := make(chan model.Priority, 2)
	var wg sync.WaitGroup
	for i, priority := range []model.Priority{model.PriorityBulk, model.PriorityNormal} {
		wg.Go(func() {
			reservation, err := p.Admit(context.Background(), newRequest("s", 1, priority))
			require.NoError(t, err)
			order <- priority
			reservation.Done(model.OutcomeComplete)
		})
		require.Eventually(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.services["s"].queue.Len() == i+1
		}, time.Second, time.Millisecond)
	}
	greedy := newRequest("s", 1, model.PriorityBulk)
	greedy.Caller = "greedy"
	p.services["s"].callers["greedy"] = 3
	_, err = p.Admit(context.Background(), greedy)
	require.ErrorContains(t, err, "whole share")
	running.Done(model.OutcomeComplete)
	require.Equal(t, model.PriorityNormal, <-order)
	second.Done(model.OutcomeComplete)
	wg.Wait()
}

// Guards against one service that takes the whole VM, and against a request that is larger than its limit and could
// never run.
func TestServiceShare(t *testing.T) {
	p := newPolicy(1, 10)
	p.serviceShare = 0.5
	big := newRequest("a", 10, model.PriorityNormal)
	big.Cost = 20
	first, err := p.Admit(context.Background(), big)
	require.NoError(t, err)
	first.Done(model.OutcomeComplete)
	for range 5 {
		_, err := p.Admit(context.Background(), newRequest("a", 10, model.PriorityNormal))
		require.NoError(t, err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.Admit(cancelled, newRequest("a", 10, model.PriorityNormal))
	require.Error(t, err, "the service has used its whole share")
	other, err := p.Admit(context.Background(), newRequest("b", 10, model.PriorityNormal))
	require.NoError(t, err)
	other.Done(model.OutcomeComplete)
}
