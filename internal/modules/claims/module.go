// Package claims is the module claims.log. It claims orders in the replicated log, so that each order runs at most
// once.
package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/controlclient"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "claims.log",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapControlClient},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapClaimStore},
		Enabled: func(s *settings.Settings) bool {
			return kernel.ForQueries(settings.RoleEntry)(s) && controlclient.Enabled(s)
		},
	})
}

// Module implements kernel.ClaimStore. Records that the control group does not accept on the first attempt are put
// into a bounded queue, which one goroutine processes.
type Module struct {
	client kernel.ControlClient
	logger log.Logger
	scope  tally.Scope
	now    func() time.Time
	wait   func(ctx context.Context, d time.Duration) error

	queue  chan record
	cancel context.CancelFunc
	done   chan struct{}
	queued backlog
	// lost counts the records that were dropped.
	lost atomic.Int64
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	client, err := kernel.Lookup[kernel.ControlClient](ctx)
	if err != nil {
		return err
	}
	m.init(client, ctx.Logger("claims"), ctx.Scope("claims"), ctx.Now)
	return nil
}

func (m *Module) init(client kernel.ControlClient, logger log.Logger, scope tally.Scope, now func() time.Time) {
	m.client, m.logger, m.scope, m.now, m.wait = client, logger, scope, now, kernel.Wait
	m.queue, m.done = make(chan record, queueLength), make(chan struct{})
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(ctx)
	m.cancel = cancel
	go m.sendQueued(run)
	return nil
}

// Drain implements kernel.Drainer. It waits until the queue is empty: a record that is lost here leaves its order with
// an unknown outcome, and is reported as an error.
func (m *Module) Drain(ctx context.Context) error {
	before := m.lost.Load()
	if m.queued.waitForAll(ctx) == nil && m.lost.Load() == before {
		return nil
	}
	return errs.New(errs.KindUnavailable, "query the targets for the outcomes of recent orders",
		"results of orders were not recorded before the shutdown")
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		<-m.done
	}
	return nil
}

// Claim implements kernel.ClaimStore. It first waits until all queued records of the order are sent: otherwise the
// claim of an earlier send through this VM, which was not run and is about to be released, would be treated as one
// whose outcome is unknown.
func (m *Module) Claim(ctx context.Context, req kernel.ClaimRequest) (model.ClaimResult, error) {
	if _, err := state.OrderKeyTime(req.Order.Key); err != nil {
		return model.ClaimResult{}, err
	}
	if err := m.queued.waitForOrder(ctx, req.Order); err != nil {
		return model.ClaimResult{}, errs.Wrap(err, errs.KindNotAccepted, "send the order again with the same key", "an earlier send of the order is not recorded yet")
	}
	result, err := propose[model.ClaimResult](ctx, m.client, state.ClaimOrder{
		Order: req.Order, Holder: req.Holder, Attempt: req.Attempt, Digest: req.Digest, Deadline: req.Deadline,
	})
	if errs.KindOf(err) == errs.KindUnknownOutcome {
		// The claim may be granted although no request acts on it. The order has not run, so the claim is released.
		remedy := "send the order again with the same key"
		if !m.enqueue(record{command: state.ReleaseClaim{Order: req.Order, Attempt: req.Attempt, Digest: req.Digest}, order: req.Order, createdAt: m.now()}) {
			remedy = "send the order again with a new key: it has not run, but its key may stay claimed"
		}
		err = errs.Wrap(err, errs.KindNotAccepted, remedy, "the claim on the order was not confirmed")
	}
	if err != nil {
		return model.ClaimResult{}, err
	}
	m.scope.Tagged(map[string]string{"decision": string(result.Decision)}).Counter("decisions").Inc(1)
	return result, refusal(result)
}

// refusal returns an error for decisions that neither grant a claim nor record anything.
func refusal(r model.ClaimResult) error {
	switch r.Decision {
	case state.ClaimInvalid:
		return errs.New(errs.KindInvalid, "create a new UUIDv7 with a correct clock for each order", "order key %q is not accepted", r.Claim.Order.Key)
	case state.ClaimLate:
		return errs.New(errs.KindDeadline, "send the order again with the same key and more time", "the deadline passed before the order was claimed")
	case state.ClaimFull:
		return errs.New(errs.KindOverload, "send the order again later", "the control group cannot store more claims on orders for now")
	}
	return nil
}

// Finish implements kernel.ClaimStore.
func (m *Module) Finish(ctx context.Context, order model.OrderID, attempt model.AttemptID, result []byte) error {
	if len(result) > state.MaxResultBytes {
		return errs.New(errs.KindTooLarge, "lower max_response_bytes of the service", "the result of an order has %d bytes; at most %d are kept", len(result), state.MaxResultBytes)
	}
	return m.sendOrQueue(ctx, order, state.FinishClaim{Order: order, Attempt: attempt, Result: result})
}

// Release implements kernel.ClaimStore.
func (m *Module) Release(ctx context.Context, order model.OrderID, attempt model.AttemptID) error {
	return m.sendOrQueue(ctx, order, state.ReleaseClaim{Order: order, Attempt: attempt})
}

// Lookup implements kernel.ClaimStore.
func (m *Module) Lookup(ctx context.Context, order model.OrderID) (model.Claim, error) {
	if _, err := state.OrderKeyTime(order.Key); err != nil {
		return model.Claim{}, err
	}
	answer, err := m.client.Read(ctx, state.GetClaim{Order: order})
	if err != nil {
		return model.Claim{}, err
	}
	a, ok := answer.(state.ClaimAnswer)
	switch {
	case !ok:
		return model.Claim{}, unexpectedType(answer)
	case a.Found:
		return a.Claim, nil
	case a.Expired:
		return model.Claim{}, errs.New(errs.KindNotFound, "check the records of the target", "order %s is older than the claims that are kept", order.Key)
	}
	return model.Claim{}, errs.New(errs.KindNotFound, "send the order if it is still wanted", "there is no claim on order %s", order.Key)
}

func propose[T any](ctx context.Context, client kernel.ControlClient, command kernel.Command) (T, error) {
	var zero T
	result, err := client.Propose(ctx, command)
	if err != nil {
		return zero, err
	}
	if r, ok := result.(T); ok {
		return r, nil
	}
	return zero, unexpectedType(result)
}

func unexpectedType(result any) error {
	return errs.New(errs.KindUnknownOutcome, "run the same release on all VMs", "the control group answered with the unexpected type %T", result)
}

func (m *Module) warn(msg string, r record, err error) {
	_ = level.Warn(m.logger).Log("msg", msg, "service", r.order.Service, "order", r.order.Key, "err", err)
}
