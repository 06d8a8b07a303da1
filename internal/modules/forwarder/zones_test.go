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

// partitionTransport replies for the leaves of the zone "own", and for all others unless a network partition cuts them off.
type partitionTransport struct{ partitioned atomic.Bool }

// sentAttempt is an attempt that was sent. It is the function that cancels it.
type sentAttempt func()

func (cancel sentAttempt) Cancel() { cancel() }
func (sentAttempt) Withdraw() bool { return false }

func (x *partitionTransport) Send(l *leaves.Member, _ *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	if l.AvailabilityZone == "own" || !x.partitioned.Load() {
		done(forward.AttemptResult{Reply: &forward.LeafReply{Status: 200, Signature: l.ID}, Sent: true, Latency: time.Millisecond})
		return sentAttempt(func() {})
	}
	started := time.Now()
	return sentAttempt(func() {
		done(forward.AttemptResult{Err: errors.New("cancelled"), Sent: true, Latency: time.Since(started)})
	})
}

func (x *partitionTransport) CheckReachable(context.Context, *leaves.Member) error {
	if x.partitioned.Load() {
		return errors.New("no connection")
	}
	return nil
}

func (*partitionTransport) AvailableConnections(*leaves.Member) int { return 1 }
func (*partitionTransport) Prefers(*leaves.Member) bool             { return true }

// newPartitionModule returns a module with a route to four shards: one has its leaf in the VM's own zone, and the others have
// theirs in another zone.
func newPartitionModule(t *testing.T) (*Module, *partitionTransport) {
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
	x := &partitionTransport{}
	m := &Module{
		control: kernel.NewTestControl(), readiness: kernel.NewReadiness(), transport: x, reporter: &fakeReporter{}, logger: log.NewNopLogger(), metrics: newMetrics(tally.NoopScope), now: time.Now,
		budgets: map[model.ServiceName]*forward.Budget{}, random: rand.New(rand.NewPCG(1, 2)), waiters: waiters{}, use: forward.NewServiceUse(),
		tracker: forward.NewTracker(forward.TrackerOptions{Zone: "own", HedgeQuantile: 0.9}, rand.New(rand.NewPCG(1, 2))),
	}
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	t.Cleanup(m.cancel)
	m.control.SetTestView(&kernel.View{Routes: built, Leaves: index})
	return m, x
}

func (m *Module) forwardRequest(timeout time.Duration) *forward.Response {
	now := time.Now()
	return m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: now, Deadline: now.Add(timeout)})
}

// Guards against a VM in a partitioned zone that holds requests until their deadline, and against callers that still connect to
// it; and against a VM that stays not ready once the partition has ended.
func TestVMInPartitionedZoneRefusesImmediately(t *testing.T) {
	m, x := newPartitionModule(t)
	for range 5 {
		require.Equal(t, forward.KindMerged, m.forwardRequest(time.Second).Kind)
	}
	x.partitioned.Store(true)
	require.Equal(t, forward.KindTimeout, m.forwardRequest(time.Second).Kind, "it may have run")
	started := time.Now()
	r := m.forwardRequest(10 * time.Second)
	require.Equal(t, forward.KindRefused, r.Kind)
	require.True(t, r.TryAnotherVM)
	require.Less(t, time.Since(started), time.Second)
	require.Contains(t, r.Reason, "1 of 4 shards are reachable")
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 1 }, 5*time.Second, time.Millisecond)
	x.partitioned.Store(false)
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, forward.KindMerged, m.forwardRequest(time.Second).Kind)
}
