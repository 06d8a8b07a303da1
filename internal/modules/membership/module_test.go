package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys/fsystest"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// fakePeers is a transport that only lists VMs.
type fakePeers []kernel.PeerStatus

func (fakePeers) Handle(string, kernel.PeerHandler) {}
func (fakePeers) Call(context.Context, model.VMName, kernel.PeerMessage) ([]byte, error) {
	return nil, context.Canceled
}
func (fakePeers) Send(model.VMName, kernel.PeerMessage) bool { return false }
func (f fakePeers) Peers() []kernel.PeerStatus               { return f }
func (fakePeers) AddPeer(settings.Peer)                      {}
func (fakePeers) OnChange(func(kernel.PeerStatus))           {}

var start = time.Unix(1000, 0)

func newModule() *Module {
	peers := fakePeers{}
	m := &Module{self: "e", zone: "z2", settings: &settings.Settings{}, runCtx: context.Background(), changed: make(chan struct{}), logger: log.NewNopLogger(), sources: map[model.VMName]*source{}, table: leaves.NewTable("e", leaves.Config{}),
		control: kernel.NewTestControl(), metrics: newMetrics(tally.NoopScope)}
	m.outlierPool.init()
	for vm, zone := range map[model.VMName]model.AvailabilityZone{"a": "z1", "b": "z2", "c": "z3", "d": "z4"} {
		peers = append(peers, kernel.PeerStatus{VM: vm, AvailabilityZone: zone, Connected: true, Control: true})
		m.sources[vm] = &source{}
	}
	m.peers = peers
	return m
}

func (m *Module) fullSourceVMs() map[model.VMName]bool {
	out := map[model.VMName]bool{}
	for vm, s := range m.sources {
		if s.full.Load() {
			out[vm] = true
		}
	}
	return out
}

// Guards against a large route table that every control VM sends to every entry VM, and against an entry VM that keeps
// requesting it from a control VM that does not answer.
func TestLeavesAndRoutesComeFromTwoControlVMs(t *testing.T) {
	m := newModule()
	m.chooseSources(start)
	first := m.fullSourceVMs()
	require.Len(t, first, fullSources)
	require.True(t, first["b"], "control VMs of the own availability zone are preferred")
	m.sources["b"].answered, m.sources["b"].lastContact = true, start
	m.chooseSources(start.Add(watchTimeout + time.Second))
	require.Len(t, m.fullSourceVMs(), fullSources)
	require.False(t, m.fullSourceVMs()["b"], "it has not answered for longer than a watch request takes")
}

// Guards against control VMs that send data that was not requested, or send nothing to a VM that has received nothing
// yet.
func TestUpdatesContainWhatWasRequested(t *testing.T) {
	m := newModule()
	m.incarnation = 7
	m.routes = &routes.Table{Version: 3}
	require.NoError(t, m.table.ApplyHeartbeat(start, leaves.Leaf{ID: "i", Address: "10.0.0.1:1", State: leaves.Ready}))
	full := &membershippb.WatchRequest{}
	reply := m.updateFor(start, full, false)
	require.Len(t, reply.GetLeaves(), 1)
	require.EqualValues(t, 3, reply.GetRoutes().GetVersion())
	full.Incarnation, full.Position, full.RoutesVersion = 7, reply.GetPosition(), 3
	require.Nil(t, m.updateFor(start, full, false), "it has received everything")
	full.RoutesVersion = 2
	require.NotNil(t, m.updateFor(start, full, false).GetRoutes())
	light := &membershippb.WatchRequest{Light: true}
	reply = m.updateFor(start, light, false)
	require.Empty(t, reply.GetLeaves())
	require.Nil(t, reply.GetRoutes())
	light.Incarnation = 7
	require.Nil(t, m.updateFor(start, light, false))
	require.Nil(t, m.updateFor(start, &membershippb.WatchRequest{NoRoutes: true}, false).GetRoutes())
}

// Guards against leaves that are missing while the source of leaves changes to another control VM, and against old
// leaves that stay after it.
func TestRemoteTableIsRemovedOnceAnotherOneIsAvailable(t *testing.T) {
	m := newModule()
	m.control = kernel.NewTestControl()
	m.sources["a"].remoteTable.Apply([]leaves.Leaf{{ID: "i", Service: "s", State: leaves.Ready}}, true)
	m.sources["c"].full.Store(true)
	m.removeRemoteTable(start, m.sources["a"])
	require.NotNil(t, m.sources["a"].remoteTable.Leaves)
	m.sources["c"].remoteTable.Apply(nil, true)
	m.sources["c"].lastContact = start
	m.metrics = newMetrics(tally.NoopScope)
	m.removeRemoteTable(start, m.sources["a"])
	require.Nil(t, m.sources["a"].remoteTable.Leaves)
}

// Guards against VMs that use larger shares of connections and budgets because a control VM was restarted or cut off.
func TestNumberOfEntryVMsFallsAfterDelay(t *testing.T) {
	m := newModule()
	m.control, m.metrics = kernel.NewTestControl(), newMetrics(tally.NoopScope)
	report := func(at time.Time, n int) {
		for _, s := range m.sources {
			s.lastContact, s.entryVMs = at, n
		}
		m.updateEntryVMs(at)
	}
	report(start, 9)
	require.Equal(t, 9, m.entryVMs)
	report(start.Add(time.Second), 2)
	report(start.Add(20*time.Second), 2)
	require.Equal(t, 9, m.entryVMs)
	report(start.Add(21*time.Second), 10)
	require.Equal(t, 10, m.entryVMs, "the number rises at once")
	report(start.Add(22*time.Second), 3)
	report(start.Add(22*time.Second+entryCountFallDelay), 3)
	require.Equal(t, 3, m.entryVMs)
}

// Guards against leaves and a number of entry VMs that are lost when all control VMs restart, and against a damaged
// file that keeps one from starting. Without the number, each of many entry VMs would open several connections to each
// leaf.
func TestLeavesAreRestoredFromDisk(t *testing.T) {
	files := fsystest.NewMemory()
	c := newCache(files, "data", log.NewNopLogger())
	stored, err := c.load()
	require.NoError(t, err)
	require.Empty(t, stored)
	want := []leaves.Leaf{{ID: "i", Service: "s", Address: "10.0.0.1:1", State: leaves.Ready, BornMS: 4, Sequence: 9}, {ID: "j", State: leaves.Deregistered, BornMS: 3}}
	owners := ownerLists{"z": {"10.0.0.1", "10.0.0.2"}}
	require.NoError(t, c.save(cachedState{want, 86, owners}))
	stored, err = newCache(files, "data", log.NewNopLogger()).load()
	require.NoError(t, err)
	require.Equal(t, cachedState{want, 86, owners}, stored)
	m := newModule()
	m.started = start
	m.restore(start, stored)
	require.EqualValues(t, 86, m.updateFor(start, &membershippb.WatchRequest{}, true).GetEntryVms())
	later := start.Add(entryCountDelay + time.Second)
	m.entryLastWatch = map[model.VMName]time.Time{"e1": later}
	require.EqualValues(t, 1, m.updateFor(later, &membershippb.WatchRequest{}, true).GetEntryVms())
	l, _ := m.table.Get("i")
	require.Equal(t, leaves.Ready, l.State)
	require.Equal(t, errs.KindConflict, errs.KindOf(m.table.ApplyHeartbeat(start, leaves.Leaf{ID: "j", Address: "h:2", BornMS: 3, Sequence: 7, State: leaves.Ready})))
	files.Corrupt("data/leaves", 12)
	_, err = c.load()
	require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
}

// Guards against an answer to each entry VM for each of many leaves that start at the same time.
func TestChangesAreBatchedForEntryVMs(t *testing.T) {
	m := newModule()
	m.control, m.entryLastWatch = kernel.StartTestControl(t.Context()), map[model.VMName]time.Time{}
	answers := 0
	req := &membershippb.WatchRequest{Incarnation: m.incarnation}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 50 {
			err := m.Heartbeat(t.Context(), leaves.Leaf{ID: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", 80+i), State: leaves.Ready, BornMS: int64(i + 1), Sequence: 1})
			if err != nil {
				t.Error(err)
			}
			time.Sleep(time.Millisecond)
		}
	}()
	for listed := 0; listed < 50; answers++ {
		data, err := proto.Marshal(req)
		require.NoError(t, err)
		data, err = m.handleWatch(t.Context(), "entry", data)
		require.NoError(t, err)
		reply, err := decodeReply(data)
		require.NoError(t, err)
		listed += len(reply.GetLeaves())
		req.Position = reply.GetPosition()
	}
	<-done
	require.Less(t, answers, 15)
}
