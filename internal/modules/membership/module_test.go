package membership

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

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
	m := &Module{self: "e", zone: "z2", settings: &settings.Settings{}, run: context.Background(), changed: make(chan struct{}), logger: log.NewNopLogger(), sources: map[model.VMName]*source{}, table: leaves.NewTable("e", leaves.Config{}),
		control: kernel.NewTestControl(), gauges: newGauges(tally.NoopScope)}
	m.pool.init()
	for vm, zone := range map[model.VMName]model.AvailabilityZone{"a": "z1", "b": "z2", "c": "z3", "d": "z4"} {
		peers = append(peers, kernel.PeerStatus{VM: vm, AvailabilityZone: zone, Connected: true, Control: true})
		m.sources[vm] = &source{}
	}
	m.peers = peers
	return m
}

func (m *Module) fullOnes() map[model.VMName]bool {
	out := map[model.VMName]bool{}
	for vm, s := range m.sources {
		if s.full.Load() {
			out[vm] = true
		}
	}
	return out
}

// Guards against a large route table that reaches every entry VM from every control VM, and against an entry VM that
// goes on with one that does not answer.
func TestLeavesAndRoutesComeFromTwoControlVMs(t *testing.T) {
	m := newModule()
	m.chooseSources(start)
	first := m.fullOnes()
	require.Len(t, first, fullSources)
	require.True(t, first["b"], "the own availability zone goes first")
	m.sources["b"].told, m.sources["b"].contact = true, start
	m.chooseSources(start.Add(watchTimeout + time.Second))
	require.Len(t, m.fullOnes(), fullSources)
	require.False(t, m.fullOnes()["b"], "it has not answered for longer than a watch takes")
}

// Guards against control VMs that send what was not asked for, or nothing to a VM that knows nothing.
func TestNewsAreThoseThatWereAskedFor(t *testing.T) {
	m := newModule()
	m.incarnation = 7
	m.routes = &routes.Table{Version: 3}
	require.NoError(t, m.table.ApplyHeartbeat(start, leaves.Leaf{ID: "i", Address: "h:1", State: leaves.Ready}))
	full := &membershippb.WatchRequest{}
	x := m.news(start, full, false)
	require.Len(t, x.GetLeaves(), 1)
	require.EqualValues(t, 3, x.GetRoutes().GetVersion())
	full.Incarnation, full.Position, full.RoutesVersion = 7, x.GetPosition(), 3
	require.Nil(t, m.news(start, full, false), "it knows everything")
	full.RoutesVersion = 2
	require.NotNil(t, m.news(start, full, false).GetRoutes())
	light := &membershippb.WatchRequest{Light: true}
	x = m.news(start, light, false)
	require.Empty(t, x.GetLeaves())
	require.Nil(t, x.GetRoutes())
	light.Incarnation = 7
	require.Nil(t, m.news(start, light, false))
	require.Nil(t, m.news(start, &membershippb.WatchRequest{NoRoutes: true}, false).GetRoutes())
}

// Guards against leaves that are lost while another control VM takes over, and against old news that outlive it.
func TestCopyIsDroppedOnceAnotherOneIsThere(t *testing.T) {
	m := newModule()
	m.control = kernel.NewTestControl()
	m.sources["a"].copy.Apply([]leaves.Leaf{{ID: "i", Service: "s", State: leaves.Ready}}, true)
	m.sources["c"].full.Store(true)
	m.dropCopy(start, m.sources["a"])
	require.NotNil(t, m.sources["a"].copy.Leaves)
	m.sources["c"].copy.Apply(nil, true)
	m.sources["c"].contact = start
	m.gauges = newGauges(tally.NoopScope)
	m.dropCopy(start, m.sources["a"])
	require.Nil(t, m.sources["a"].copy.Leaves)
}

// Guards against VMs that take larger parts of connections and budgets because a control VM was restarted or cut off.
func TestNumberOfEntryVMsFallsLate(t *testing.T) {
	m := newModule()
	m.control, m.gauges = kernel.NewTestControl(), newGauges(tally.NoopScope)
	report := func(at time.Time, n int) {
		for _, s := range m.sources {
			s.contact, s.entryVMs = at, n
		}
		m.countEntryVMs(at)
	}
	report(start, 9)
	require.Equal(t, 9, m.entryVMs)
	report(start.Add(time.Second), 2)
	report(start.Add(20*time.Second), 2)
	require.Equal(t, 9, m.entryVMs)
	report(start.Add(21*time.Second), 10)
	require.Equal(t, 10, m.entryVMs, "it rises at once")
	report(start.Add(22*time.Second), 3)
	report(start.Add(22*time.Second+countLower), 3)
	require.Equal(t, 3, m.entryVMs)
}

// Guards against leaves and a number of entry VMs that are forgotten when all control VMs restart, and against a damaged file
// that stops one. Without the number, each of many entry VMs would open several connections to each leaf.
func TestLeavesAreRecalled(t *testing.T) {
	files := fsystest.NewMemory()
	c := newCache(files, "data", log.NewNopLogger())
	known, err := c.load()
	require.NoError(t, err)
	require.Empty(t, known)
	want := []leaves.Leaf{{ID: "i", Service: "s", Address: "h:1", State: leaves.Ready, BornMS: 4, Sequence: 9}, {ID: "j", State: leaves.Deregistered, BornMS: 3}}
	require.NoError(t, c.save(memory{want, 86}))
	known, err = newCache(files, "data", log.NewNopLogger()).load()
	require.NoError(t, err)
	require.Equal(t, memory{want, 86}, known)
	m := newModule()
	m.started = start
	m.recall(start, known)
	require.EqualValues(t, 86, m.news(start, &membershippb.WatchRequest{}, true).GetEntryVms())
	later := start.Add(countAfter + time.Second)
	m.entrySeen = map[model.VMName]time.Time{"e1": later}
	require.EqualValues(t, 1, m.news(later, &membershippb.WatchRequest{}, true).GetEntryVms())
	l, _ := m.table.Get("i")
	require.Equal(t, leaves.Ready, l.State)
	require.Equal(t, errs.KindConflict, errs.KindOf(m.table.ApplyHeartbeat(start, leaves.Leaf{ID: "j", Address: "h:2", BornMS: 3, Sequence: 7, State: leaves.Ready})))
	files.Corrupt("data/leaves", 12)
	_, err = c.load()
	require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
}
