package query

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/hedge"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/log"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/metrics"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/retry"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/routing"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTransport replies as the function send does, or with success if there is none.
type fakeTransport struct {
	send   func(ctx context.Context, t *model.Target, req model.SubRequest) model.Reply
	active atomic.Int32
}

func (f *fakeTransport) Send(ctx context.Context, t *model.Target, req model.SubRequest) model.Reply {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.send == nil {
		return reply(req, model.ReplyOK)
	}
	return f.send(ctx, t, req)
}

func reply(req model.SubRequest, status model.ReplyStatus) model.Reply {
	return model.Reply{Attempt: req.Attempt, Status: status, Coverage: 1, Body: req.Body}
}

// waitForCancel replies with a timeout once the context has ended.
func waitForCancel(ctx context.Context, req model.SubRequest) model.Reply {
	<-ctx.Done()
	return reply(req, model.ReplyTimeout)
}

// fakeTracker reports no load. Acquire blocks until the context ends if blocked is set.
type fakeTracker struct {
	ejected  map[model.TargetID]bool
	quantile time.Duration
	// neverHedged lists shards whose quantile is an hour, so that they are not hedged on a slow machine either.
	neverHedged map[model.ShardID]bool
	blocked     bool
}

func (f *fakeTracker) Candidates(dst []kernel.Candidate, _ time.Time, targets []*model.Target) []kernel.Candidate {
	for _, t := range targets {
		dst = append(dst, kernel.Candidate{Target: t, SameZone: t.AvailabilityZone == "a", Limit: 8, Weight: 1, Ejected: f.ejected[t.ID]})
	}
	return dst
}

type fakePermit struct{}

func (fakePermit) Done(model.Reply) {}

func (f *fakeTracker) Acquire(ctx context.Context, _ *model.Target, _ model.Priority) (kernel.Permit, error) {
	if f.blocked {
		<-ctx.Done()
		return nil, errs.New(errs.KindDeadline, "allow more time", "the queue is full")
	}
	return fakePermit{}, nil
}

func (f *fakeTracker) QuantileLatency(_ model.ServiceName, shard model.ShardID, _ float64) time.Duration {
	if f.neverHedged[shard] {
		return time.Hour
	}
	return f.quantile
}

func (f *fakeTracker) Shedding(model.ServiceName) bool { return false }

func (f *fakeTracker) QueueingDelay(model.ServiceName) time.Duration { return 0 }

type fakeAdmission struct{ refuse error }

func (f *fakeAdmission) Admit(context.Context, kernel.AdmissionRequest) (kernel.Reservation, error) {
	return fakeReservation{}, f.refuse
}

type fakeReservation struct{}

func (fakeReservation) Done(model.Outcome) {}

// fakeClaims is a claim store for one VM.
type fakeClaims struct {
	mu     sync.Mutex
	claims map[model.OrderID]*model.Claim
	fail   error
}

func (f *fakeClaims) Claim(_ context.Context, req kernel.ClaimRequest) (model.ClaimResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return model.ClaimResult{}, f.fail
	}
	if c := f.claims[req.Order]; c != nil && c.State != model.ClaimReleased {
		return model.ClaimResult{Decision: model.ClaimExists, Claim: *c}, nil
	}
	f.claims[req.Order] = &model.Claim{Order: req.Order, State: model.ClaimHeld, Holder: req.Holder, Attempt: req.Attempt, Digest: req.Digest}
	return model.ClaimResult{Decision: model.ClaimGranted, Claim: *f.claims[req.Order]}, nil
}

func (f *fakeClaims) update(o model.OrderID, a model.AttemptID, s model.ClaimState, result []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.claims[o]; c != nil && c.Attempt == a {
		c.State, c.Result = s, result
	}
	return nil
}

func (f *fakeClaims) Finish(_ context.Context, o model.OrderID, a model.AttemptID, result []byte) error {
	return f.update(o, a, model.ClaimDone, result)
}

func (f *fakeClaims) Release(_ context.Context, o model.OrderID, a model.AttemptID) error {
	return f.update(o, a, model.ClaimReleased, nil)
}

func (f *fakeClaims) Lookup(_ context.Context, o model.OrderID) (model.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.claims[o], nil
}

// harness is a kernel with the executor, the policies and fakes for everything else. It has one service with the
// given number of shards and two replicas of each.
type harness struct {
	executor  *Executor
	kernel    *kernel.Kernel
	transport *fakeTransport
	tracker   *fakeTracker
	admission *fakeAdmission
	claims    *fakeClaims
	config    *model.ServiceConfig
	view      kernel.View
}

// fakes is the module that replaces the modules of other packages.
type fakes struct {
	*fakeTransport
	*fakeTracker
	*fakeAdmission
	*fakeClaims
	harness *harness
}

// HandleEvent implements kernel.Controller.
func (f *fakes) HandleEvent(time.Time, kernel.Event) {}

// ContributeView implements kernel.ViewContributor.
func (f *fakes) ContributeView(_ time.Time, v *kernel.View) {
	version, at := v.Version, v.PublishedAt
	*v = f.harness.view
	v.Version, v.PublishedAt = version, at
}

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID: "test.fakes",
		New: func() kernel.Module {
			f := &fakes{&fakeTransport{}, &fakeTracker{}, &fakeAdmission{}, &fakeClaims{claims: map[model.OrderID]*model.Claim{}}, nil}
			f.harness = &harness{transport: f.fakeTransport, tracker: f.fakeTracker, admission: f.fakeAdmission, claims: f.fakeClaims}
			return f
		},
		Provides: []kernel.Capability{kernel.CapTransport, kernel.CapLoadTracker, kernel.CapAdmissionPolicy, kernel.CapClaimStore},
	})
}

func newHarness(t testing.TB, shards int) *harness {
	s, err := settings.Parse("test.ini", []byte("[vm]\ncluster = c\nname = vm1\navailability_zone = a\nseed = 1\n[log]\nfile = "+os.DevNull+"\n"), kernel.SettingsKeys())
	require.NoError(t, err)
	k, err := kernel.New(s)
	require.NoError(t, err)
	f, err := kernel.LookupModule[*fakes](k.Context(), "test.fakes")
	require.NoError(t, err)
	h := f.harness
	h.kernel = k
	h.executor, err = kernel.Lookup[*Executor](k.Context())
	require.NoError(t, err)
	h.config = &model.ServiceConfig{Name: "s", Deadline: 10 * time.Second, Idempotent: true, MinimumCoverage: 1, Routing: "random", Hedge: "quantile",
		HedgeBudget: 1, HedgeQuantile: 0.95, Retry: "retry.budget", RetryBudget: 0.1}
	require.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
	h.publish(shards, 1, 2)
	return h
}

// publish publishes a view in which every target holds the given index versions.
func (h *harness) publish(shards int, versions ...model.IndexVersion) {
	l := &model.Layout{Service: "s", Number: 1}
	d := &kernel.ServiceDirectory{Holders: map[model.Snapshot]map[model.ShardID][]*model.Target{}}
	for i := 0; i < shards; i++ {
		l.Shards = append(l.Shards, model.Shard{ID: model.ShardID(i), Share: 1 / float64(shards)})
		for r, zone := range []model.AvailabilityZone{"a", "b"} {
			t := &model.Target{Announcement: model.Announcement{Service: "s", ID: model.TargetID(fmt.Sprintf("t%d-%d", i, r)), AvailabilityZone: zone, State: model.TargetServing,
				Layout: model.LayoutRef{Number: 1}, Shards: []model.ShardID{model.ShardID(i)}, IndexVersions: versions}}
			d.Targets = append(d.Targets, t)
			for _, v := range versions {
				snap := model.Snapshot{Layout: 1, Index: v}
				if d.Holders[snap] == nil {
					d.Holders[snap] = map[model.ShardID][]*model.Target{}
				}
				d.Holders[snap][model.ShardID(i)] = append(d.Holders[snap][model.ShardID(i)], t)
			}
		}
	}
	control := h.kernel.Context().Control
	_ = control.Do(context.Background(), func(time.Time) {
		h.view = kernel.View{
			Site:      &model.SiteConfig{Services: map[model.ServiceName]*model.ServiceConfig{"s": h.config}},
			Layouts:   map[model.ServiceName]map[model.LayoutNumber]*model.Layout{"s": {1: l}},
			Directory: &kernel.Directory{Services: map[model.ServiceName]*kernel.ServiceDirectory{"s": d}},
		}
		control.MarkDirty()
	})
}

func (h *harness) query(ctx context.Context) model.Answer {
	return h.executor.HandleQuery(ctx, model.Request{ID: "r", Service: "s", Body: []byte("body")})
}

// waitForAttempts waits for the goroutines of cancelled attempts.
func (h *harness) waitForAttempts(t testing.TB) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, h.executor.Drain(ctx))
	require.Zero(t, h.transport.active.Load(), "an attempt is still in flight")
}
