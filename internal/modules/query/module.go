// Package query is the module query.executor. It runs the state machines of package internal/query on traffic
// goroutines: it sends their attempts through the transport, passes the replies to them, and returns the answers.
package query

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:  "query.executor",
		New: func() kernel.Module { return &Executor{} },
		Needs: []kernel.Capability{
			kernel.CapLog, kernel.CapMetrics, kernel.CapTransport, kernel.CapLoadTracker, kernel.CapRoutingPolicy,
			kernel.CapHedgePolicy, kernel.CapRetryPolicy, kernel.CapAdmissionPolicy,
		},
		Wants:    []kernel.Capability{kernel.CapClaimStore},
		Provides: []kernel.Capability{kernel.CapQueryHandler},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
	})
}

// Executor answers requests. It implements kernel.QueryHandler.
type Executor struct {
	view      func() *kernel.View
	now       func() time.Time
	random    func() *rand.Rand
	transport kernel.Transport
	tracker   kernel.LoadTracker
	admission kernel.AdmissionPolicy
	// claims is nil if no claim store is enabled; orders are then answered as not run.
	claims   kernel.ClaimStore
	policies policyLookup
	holder   model.Holder
	// logger is for lines about requests, and routingLog for lines about attempts.
	logger     log.Logger
	routingLog log.Logger
	debug      bool
	metrics    *metrics

	// viewChanged is closed and replaced when a view is published, which wakes the running queries.
	viewChanged atomic.Pointer[chan struct{}]
	published   <-chan struct{}
	control     *kernel.Control

	idPrefix   string
	queryCount atomic.Uint64
	services   sync.Map // model.ServiceName to *service
	runPool    sync.Pool
	active     sync.WaitGroup
}

// Provision implements kernel.Provisioner.
func (e *Executor) Provision(ctx *kernel.Context) error {
	var err error
	if e.transport, err = kernel.Lookup[kernel.Transport](ctx); err != nil {
		return err
	}
	if e.tracker, err = kernel.Lookup[kernel.LoadTracker](ctx); err != nil {
		return err
	}
	if e.admission, err = kernel.Lookup[kernel.AdmissionPolicy](ctx); err != nil {
		return err
	}
	if e.claims, err = kernel.Lookup[kernel.ClaimStore](ctx); err != nil {
		e.claims = nil
	}
	e.control, e.view = ctx.Control, ctx.Control.View
	e.published = ctx.Control.Changes()
	e.now = ctx.Now
	e.random = ctx.Random
	e.policies = policyLookup{ctx}
	e.holder = ctx.VM
	e.logger = ctx.Logger("query")
	e.routingLog = ctx.Logger("routing")
	e.debug = ctx.DebugLog()
	e.metrics = newMetrics(ctx.Scope("query"))
	e.idPrefix = string(e.holder.VM) + "-" + strconv.FormatUint(e.holder.Incarnation, 36) + "-"
	e.runPool.New = func() any { return newQueryRun(e) }
	e.wakeQueries()
	return nil
}

// Start implements kernel.Starter.
func (e *Executor) Start(ctx context.Context) error {
	e.control.Follow(ctx, e.published, func(*kernel.View) { e.wakeQueries() })
	return nil
}

// wakeQueries makes the running queries check the newest view.
func (e *Executor) wakeQueries() {
	next := make(chan struct{})
	if last := e.viewChanged.Swap(&next); last != nil {
		close(*last)
	}
}

// changed returns a channel that is closed when the next view is published.
func (e *Executor) changed() <-chan struct{} { return *e.viewChanged.Load() }

// nextIDPrefix returns the prefix of the attempt IDs of one query. IDs are unique over all VMs: they contain the VM,
// its incarnation and the number of the query there.
func (e *Executor) nextIDPrefix() string {
	var b [96]byte
	id := append(b[:0], e.idPrefix...)
	id = strconv.AppendUint(id, e.queryCount.Add(1), 36)
	return string(append(id, '-'))
}

// Drain implements kernel.Drainer. The front end no longer accepts requests, so Drain waits only for calls to the claim
// store and for attempts that have not returned: cancelled ones and those of orders whose caller was already answered.
func (e *Executor) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
