package forwarder

import (
	"context"
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

// newServiceModule returns a module with a route to one service, which has a leaf in each of the zones.
func newServiceModule(t *testing.T, zones ...model.AvailabilityZone) (*Module, *busyTransport) {
	m, _ := newPartitionModule(t)
	x := &busyTransport{}
	m.transport = x
	m.zoneRegions = map[model.AvailabilityZone]string{"own": "north", "other": "south"}
	var list []*leaves.Member
	for _, z := range zones {
		list = append(list, &leaves.Member{Leaf: leaves.Leaf{ID: string(z), Service: "s", AvailabilityZone: z}})
	}
	table, err := routes.Build(&routes.Table{Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Repeatable: true, Timeout: time.Minute, Objective: time.Minute, MaxAttempts: 2, Split: []routes.Share{{Service: "s", Weight: 1}},
	}}})
	require.NoError(t, err)
	m.control.SetTestView(&kernel.View{Routes: table, Leaves: &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"s": list}}})
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

// forwardWaiting sends a request and returns once it waits for a leaf of the service.
func (m *Module) forwardWaiting(t *testing.T) <-chan *forward.Response {
	done := make(chan *forward.Response, 1)
	go func() {
		// The request is old enough not to be woken to check for unresponsive zones.
		received := time.Now().Add(-zoneCheckEnd)
		done <- m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: received, Deadline: received.Add(time.Minute)})
	}()
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.waiters["s"]) == 1 && len(m.waiters["s"][0].wakes) == 0
	}, 5*time.Second, time.Millisecond)
	return done
}

func requireResponse(t *testing.T, done <-chan *forward.Response) *forward.Response {
	select {
	case r := <-done:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
		return nil
	}
}

// Guards against requests that wait for the leaves of an evacuated zone until they time out, although their service has no others.
func TestServiceInEvacuatedZoneRefusesImmediately(t *testing.T) {
	m, x := newServiceModule(t, "own")
	x.busy.Store(true)
	waiting := m.forwardWaiting(t)
	m.evacuate("own")
	for _, r := range []*forward.Response{requireResponse(t, waiting), m.forwardRequest(time.Minute)} {
		require.Equal(t, forward.KindRefused, r.Kind)
		require.Positive(t, r.RetryAfter)
	}
	m.evacuate()
	x.busy.Store(false)
	require.Equal(t, forward.KindLeaf, m.forwardRequest(time.Minute).Kind, "the evacuation has ended")
}

// Guards against a waiting request that is still sent to a leaf that was evacuated meanwhile, and against one that is not woken by the
// change.
func TestWaitingRequestsGoToOtherZones(t *testing.T) {
	m, x := newServiceModule(t, "own", "other")
	x.busy.Store(true)
	waiting := m.forwardWaiting(t)
	x.busy.Store(false)
	m.evacuate("own")
	require.Equal(t, "other", requireResponse(t, waiting).Reply.Signature)
	for range 20 {
		require.Equal(t, "other", m.forwardRequest(time.Minute).Reply.Signature)
	}
}

// Guards against a request that leaves its regions, and against a free connection that is offered only to a request that may not use
// it while another one could.
func TestRequestsStayInTheirRegions(t *testing.T) {
	m, x := newServiceModule(t, "own", "other")
	route := &m.control.View().Routes.Routes[0]
	route.Regions = []string{"south"}
	for range 20 {
		require.Equal(t, "other", m.forwardRequest(time.Minute).Reply.Signature)
	}
	x.busy.Store(true)
	waiting := m.forwardWaiting(t)
	free := &runner{module: m, req: &forward.Request{}, route: &routes.Route{Rank: 1}, wakes: make(chan struct{}, 1)}
	m.mu.Lock()
	m.waiters.add([]model.ServiceName{"s"}, free)
	m.waiters.wakeFor(m.members("s")[0])
	m.mu.Unlock()
	require.Len(t, free.wakes, 1)
	x.busy.Store(false)
	m.mu.Lock()
	m.waiters.wakeFor(m.members("s")[1])
	m.mu.Unlock()
	require.Equal(t, "other", requireResponse(t, waiting).Reply.Signature)
	route.Regions = []string{"west"}
	require.Equal(t, forward.KindRefused, m.forwardRequest(time.Minute).Kind)
}

// Guards against VMs that stay not ready, and tell callers to use another VM, because the leaves of a zone that is evacuated do not
// reply.
func TestEvacuatedZoneDoesNotMakeTheVMUnready(t *testing.T) {
	m, x := newPartitionModule(t)
	require.Equal(t, forward.KindMerged, m.forwardRequest(time.Second).Kind)
	x.partitioned.Store(true)
	require.Equal(t, forward.KindTimeout, m.forwardRequest(time.Second).Kind, "it may have run")
	require.True(t, m.forwardRequest(time.Second).TryAnotherVM)
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 1 }, 5*time.Second, time.Millisecond)
	m.evacuate("other")
	require.Eventually(t, func() bool { return len(m.readiness.Reasons()) == 0 }, 5*time.Second, time.Millisecond)
	r := m.forwardRequest(time.Second)
	require.Equal(t, forward.KindRefused, r.Kind)
	require.False(t, r.TryAnotherVM)
}
