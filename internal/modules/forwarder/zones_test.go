package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// cutTransport answers for the leaves of the zone "own", and for all others unless they are cut off.
type cutTransport struct{ cut atomic.Bool }

func (x *cutTransport) Send(l *leaves.Member, _ *forward.LeafRequest, done func(forward.AttemptResult)) func() {
	if l.AvailabilityZone == "own" || !x.cut.Load() {
		done(forward.AttemptResult{Reply: &forward.LeafReply{Status: 200, Signature: l.ID}, Sent: true, Latency: time.Millisecond})
		return func() {}
	}
	began := time.Now()
	return func() {
		done(forward.AttemptResult{Err: errors.New("cancelled"), Sent: true, Latency: time.Since(began)})
	}
}

func (x *cutTransport) Reach(context.Context, *leaves.Member) error {
	if x.cut.Load() {
		return errors.New("no connection")
	}
	return nil
}

func (*cutTransport) Room(*leaves.Member) int     { return 1 }
func (*cutTransport) Prefers(*leaves.Member) bool { return true }

// newCutModule has a route to four shards: one has a leaf in the VM's own zone, and the others have theirs in another one.
func newCutModule(t *testing.T) (*Module, *cutTransport) {
	table, index := &routes.Table{Version: 1}, &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{}}
	route := routes.Route{Name: "r", Host: "h", Prefix: "/", Repeatable: true, Timeout: 5 * time.Second, Objective: 50 * time.Millisecond, MaxAttempts: 2, TopRecords: 1, MinCoverage: 0.75}
	for _, s := range []model.ServiceName{"a", "b", "c", "d"} {
		table.Services = append(table.Services, routes.Service{Name: s})
		route.Shards = append(route.Shards, s)
		zone := model.AvailabilityZone("other")
		if s == "a" {
			zone = "own"
		}
		index.Services[s] = []*leaves.Member{{Leaf: leaves.Leaf{ID: string(s), Service: s, AvailabilityZone: zone}}}
	}
	table.Routes = []routes.Route{route}
	built, err := routes.Build(table)
	require.NoError(t, err)
	x := &cutTransport{}
	m := &Module{
		control: kernel.NewTestControl(), readiness: kernel.NewReadiness(), transport: x, reporter: &keptReports{}, logger: log.NewNopLogger(), metrics: newMetrics(tally.NoopScope), now: time.Now,
		budgets: map[model.ServiceName]*forward.Budget{}, random: rand.New(rand.NewPCG(1, 2)), waiters: waiters{},
		tracker: forward.NewTracker(forward.TrackerOptions{Zone: "own", HedgeQuantile: 0.9}, rand.New(rand.NewPCG(1, 2))),
	}
	m.run, m.cancel = context.WithCancel(context.Background())
	t.Cleanup(m.cancel)
	m.control.SetTestView(&kernel.View{Routes: built, Leaves: index})
	return m, x
}

func (m *Module) ask(patience time.Duration) *forward.Response {
	now := time.Now()
	return m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: now, Deadline: now.Add(patience)})
}

// Guards against requests that a VM in a zone which is cut off holds until their deadline, and against callers that go on
// connecting to it; and against a VM that stays out of use once the network is whole.
func TestVMInACutZoneRefusesAtOnce(t *testing.T) {
	m, x := newCutModule(t)
	for range 5 {
		require.Equal(t, forward.KindMerged, m.ask(time.Second).Kind)
	}
	x.cut.Store(true)
	require.Equal(t, forward.KindTimeout, m.ask(time.Second).Kind, "it may have run")
	began := time.Now()
	r := m.ask(10 * time.Second)
	require.Equal(t, forward.KindRefused, r.Kind)
	require.True(t, r.TryAnotherVM)
	require.Less(t, time.Since(began), time.Second)
	require.Contains(t, r.Reason, "1 of 4 shards are reachable")
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 1 }, 5*time.Second, time.Millisecond)
	x.cut.Store(false)
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, forward.KindMerged, m.ask(time.Second).Kind)
}
