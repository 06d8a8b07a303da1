package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// busyTransport has no available connection to any leaf while it is busy.
type busyTransport struct {
	partitionTransport
	busy atomic.Bool
}

func (x *busyTransport) AvailableConnections(*leaves.Member) int {
	if x.busy.Load() {
		return 0
	}
	return 1
}

// newShardModule returns a module with a route to one shard, which has a leaf in each of the zones.
func newShardModule(t *testing.T, zones ...model.AvailabilityZone) (*Module, *busyTransport) {
	m, _ := newPartitionModule(t)
	x := &busyTransport{}
	m.transport, m.zoneRegions = x, map[model.AvailabilityZone]string{"own": "north", "other": "south"}
	route := &m.control.View().Routes.Routes[0]
	route.Shards, route.Timeout, route.Objective = route.Shards[:1], time.Minute, time.Minute
	var list []*leaves.Member
	for _, z := range zones {
		list = append(list, &leaves.Member{Leaf: leaves.Leaf{ID: string(z), Service: "a", AvailabilityZone: z}})
	}
	m.control.View().Leaves.Services["a"] = list
	return m, x
}

// evacuate puts evacuations into force as the control goroutine does.
func (m *Module) evacuate(zones ...model.AvailabilityZone) {
	v := *m.control.View()
	m.applyView(m.control.View())
	v.Evacuations = routes.Evacuations{Revision: v.Evacuations.Revision + 1, Zones: zones}
	m.control.SetTestView(&v)
	m.applyView(&v)
}

// forwardWaiting sends a request and returns once it waits for a leaf. It fails if the request does not end later.
func (m *Module) forwardWaiting(t *testing.T) (response func() *forward.Response) {
	var r atomic.Pointer[forward.Response]
	go func() {
		// The request is old enough not to be woken to check for unresponsive zones.
		received := time.Now().Add(-zoneCheckEnd)
		r.Store(m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: received, Deadline: received.Add(time.Minute)}))
	}()
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.waiters["a"]) == 1 && len(m.waiters["a"][0].wakes) == 0
	}, 5*time.Second, time.Millisecond)
	return func() *forward.Response {
		require.Eventually(t, func() bool { return r.Load() != nil }, 5*time.Second, time.Millisecond, "the request still waits")
		return r.Load()
	}
}

// Guards against requests that wait for the leaves of an evacuated zone until they time out, although their service has no others.
func TestServiceInEvacuatedZoneRefusesImmediately(t *testing.T) {
	m, x := newShardModule(t, "own")
	x.busy.Store(true)
	waiting := m.forwardWaiting(t)
	m.evacuate("own")
	for _, r := range []*forward.Response{waiting(), m.forwardRequest(time.Minute)} {
		require.Equal(t, forward.KindRefused, r.Kind)
		require.Positive(t, r.RetryAfter)
	}
	m.evacuate()
	x.busy.Store(false)
	require.Equal(t, forward.KindMerged, m.forwardRequest(time.Minute).Kind, "the evacuation has ended")
}

// Guards against a waiting request that is still sent to a leaf that was evacuated meanwhile, or is not woken by the change.
func TestWaitingRequestsGoToOtherZones(t *testing.T) {
	m, x := newShardModule(t, "own", "other")
	x.busy.Store(true)
	waiting := m.forwardWaiting(t)
	x.busy.Store(false)
	m.evacuate("own")
	require.Equal(t, []string{"other"}, waiting().Signatures)
	for range 20 {
		require.Equal(t, []string{"other"}, m.forwardRequest(time.Minute).Signatures)
	}
}

// Guards against a request that leaves its regions, and against a free connection that is offered only to a request that may not use
// it while another one could.
func TestRequestsStayInTheirRegions(t *testing.T) {
	m, x := newShardModule(t, "own", "other")
	m.control.View().Routes.Routes[0].Regions = []string{"south"}
	for range 20 {
		require.Equal(t, []string{"other"}, m.forwardRequest(time.Minute).Signatures)
	}
	x.busy.Store(true)
	m.forwardWaiting(t)
	anywhere := &runner{module: m, req: &forward.Request{}, route: &routes.Route{Rank: 1}, wakes: make(chan struct{}, 1)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiters.add([]model.ServiceName{"a"}, anywhere)
	m.waiters.wakeFor(time.Now(), m.members("a")[0])
	require.Len(t, anywhere.wakes, 1)
}

// Guards against VMs that stay not ready, and tell callers to use another VM, because the leaves of an evacuated zone do not reply.
func TestEvacuatedZoneDoesNotMakeTheVMUnready(t *testing.T) {
	m, x := newPartitionModule(t)
	require.Equal(t, forward.KindMerged, m.forwardRequest(time.Second).Kind)
	x.partitioned.Store(true)
	require.Equal(t, forward.KindTimeout, m.forwardRequest(time.Second).Kind, "it may have run")
	require.True(t, m.forwardRequest(time.Second).TryAnotherVM)
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 1 }, 5*time.Second, time.Millisecond)
	m.evacuate("other")
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 0 }, 5*time.Second, time.Millisecond)
	require.False(t, m.forwardRequest(time.Second).TryAnotherVM)
}

// evacuatingTransport is one whose attempts still wait for a connection when their availability zone is evacuated.
type evacuatingTransport struct {
	partitionTransport
	m *Module
}

func (x *evacuatingTransport) Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	if l.AvailabilityZone != "own" {
		return x.partitionTransport.Send(l, req, done)
	}
	x.m.evacuate("own")
	done(forward.AttemptResult{Err: errors.New("the leaf is evacuated")})
	return sentAttempt(func() {})
}

// Guards against leaves that get no requests for seconds after the end of an evacuation, because of attempts that were not sent to them.
func TestEvacuationIsNoEvidenceAgainstLeaves(t *testing.T) {
	m, x := newShardModule(t, "own", "other")
	require.Equal(t, []string{"own"}, m.forwardRequest(time.Minute).Signatures)
	m.transport = &evacuatingTransport{m: m}
	for range 8 {
		require.Equal(t, []string{"other"}, m.forwardRequest(time.Minute).Signatures)
		m.evacuate()
	}
	m.transport = x
	require.Equal(t, []string{"own"}, m.forwardRequest(time.Minute).Signatures)
}
