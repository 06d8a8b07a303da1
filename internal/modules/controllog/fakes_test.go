package controllog

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID: "test.machine", New: func() kernel.Module { return &fakeMachine{} }, Provides: []kernel.Capability{kernel.CapStateMachine},
	})
	kernel.Register(kernel.ModuleInfo{
		ID: "test.peers", New: func() kernel.Module { return &fakePeers{} }, Provides: []kernel.Capability{kernel.CapPeerTransport},
	})
}

// fakeMachine is a state machine whose state is the number of entries and a hash chain over them.
type fakeMachine struct {
	count, chain uint64
	last         time.Time
	// history is set in a cluster whose states are recorded.
	history *history
}

// history holds the chain after each number of entries that a machine of a cluster has applied.
type history struct {
	mu       sync.Mutex
	chains   map[uint64]uint64
	count    uint64
	diverged bool
}

// paddedSnapshotBytes is the size of a snapshot in a cluster whose states are recorded, which is several messages.
const paddedSnapshotBytes = 20000

var histories sync.Map // by cluster name

func (h *history) record(count, chain uint64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.chains[count]; ok && c != chain {
		h.diverged = true
	}
	h.chains[count], h.count = chain, max(h.count, count)
}

// newest returns the number of entries that were applied on any machine, and whether two machines differed.
func (h *history) newest() (count uint64, diverged bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count, h.diverged
}

func (f *fakeMachine) Provision(ctx *kernel.Context) error {
	if h, ok := histories.Load(ctx.Settings.Cluster); ok {
		f.history = h.(*history)
	}
	return nil
}

func (f *fakeMachine) Apply(index uint64, at time.Time, data []byte) []byte {
	if at.Before(f.last) {
		panic("the time of an entry is before that of the previous entry")
	}
	h := fnv.New64a()
	fmt.Fprint(h, f.chain, index, at.UnixNano(), string(data))
	f.count, f.chain, f.last = f.count+1, h.Sum64(), at
	f.history.record(f.count, f.chain)
	return f.Query(nil)
}

func (f *fakeMachine) Query([]byte) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, f.count), f.chain)
}

func (f *fakeMachine) Snapshot() ([]byte, error) {
	data := binary.BigEndian.AppendUint64(f.Query(nil), uint64(f.last.UnixNano()))
	if f.history != nil {
		data = append(data, make([]byte, paddedSnapshotBytes-len(data))...)
	}
	return data, nil
}

func (f *fakeMachine) Restore(data []byte) error {
	if len(data) != 24 && (f.history == nil || len(data) != paddedSnapshotBytes) {
		return fmt.Errorf("the state has %d bytes", len(data))
	}
	f.count, f.chain = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	f.last = time.Unix(0, int64(binary.BigEndian.Uint64(data[16:])))
	f.history.record(f.count, f.chain)
	return nil
}

// network connects the fake transports of one cluster.
type network struct {
	mu           sync.Mutex
	vms          map[model.VMName]*fakePeers
	disconnected map[model.VMName]bool
}

var networks sync.Map // by cluster name

func networkOf(cluster string) *network {
	n, _ := networks.LoadOrStore(cluster, &network{vms: map[model.VMName]*fakePeers{}, disconnected: map[model.VMName]bool{}})
	return n.(*network)
}

func (n *network) setDisconnected(vm model.VMName, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[vm] = disconnected
}

func (n *network) find(from, to model.VMName) *fakePeers {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.disconnected[from] || n.disconnected[to] {
		return nil
	}
	return n.vms[to]
}

// fakePeers is a peer transport in memory with one queue per receiver.
type fakePeers struct {
	vm       model.VMName
	peers    []settings.Peer
	network  *network
	handlers map[string]kernel.PeerHandler
	queue    chan func()
	quit     chan struct{}
}

func (f *fakePeers) Provision(ctx *kernel.Context) error {
	f.vm, f.peers, f.network = ctx.VM.VM, ctx.Settings.Peers, networkOf(ctx.Settings.Cluster)
	f.handlers, f.queue, f.quit = map[string]kernel.PeerHandler{}, make(chan func(), 1024), make(chan struct{})
	return nil
}

func (f *fakePeers) Start(context.Context) error {
	f.network.mu.Lock()
	f.network.vms[f.vm] = f
	f.network.mu.Unlock()
	go func() {
		for {
			select {
			case handle := <-f.queue:
				handle()
			case <-f.quit:
				return
			}
		}
	}()
	return nil
}

func (f *fakePeers) Stop(context.Context) error {
	f.network.mu.Lock()
	delete(f.network.vms, f.vm)
	f.network.mu.Unlock()
	close(f.quit)
	return nil
}

func (f *fakePeers) Handle(kind string, h kernel.PeerHandler) { f.handlers[kind] = h }

func (f *fakePeers) Call(ctx context.Context, to model.VMName, m kernel.PeerMessage) ([]byte, error) {
	p := f.network.find(f.vm, to)
	if p == nil {
		return nil, errs.New(errs.KindUnavailable, "resend", "%s is not connected", to)
	}
	return p.handlers[m.Kind](ctx, f.vm, m.Payload)
}

func (f *fakePeers) Send(to model.VMName, m kernel.PeerMessage) bool {
	p := f.network.find(f.vm, to)
	if p == nil {
		return false
	}
	select {
	case p.queue <- func() { _, _ = p.handlers[m.Kind](context.Background(), f.vm, m.Payload) }:
		return true
	default:
		return false
	}
}

func (f *fakePeers) Peers() []kernel.PeerStatus {
	var out []kernel.PeerStatus
	for _, p := range f.peers {
		out = append(out, kernel.PeerStatus{VM: p.Name, Control: p.HasRole(settings.RoleControl)})
	}
	return out
}

func (f *fakePeers) AddPeer(p settings.Peer)          { f.peers = append(f.peers, p) }
func (f *fakePeers) OnChange(func(kernel.PeerStatus)) {}

// group is a control group in one process.
type group struct {
	t       testing.TB
	cluster string
	folder  string
	vms     []model.VMName
	keys    string
	kernels map[model.VMName]*kernel.Kernel
	// first is the number of first members of the group; 0 means all VMs.
	first int
	// files replaces the disk of a VM if it is set.
	files map[model.VMName]fsys.FS
}

const (
	// fastKeys set election timeouts of 100 to 200 ms.
	fastKeys = "election_ticks = 20\n" + commonKeys
	// steadyKeys set election timeouts of at least 1 s, for tests that rely on one leader.
	steadyKeys = "election_ticks = 200\n" + commonKeys
	// commonKeys set small segments, so that a test starts quickly and fills several of them.
	commonKeys = "tick = 5ms\nheartbeat_ticks = 2\nretry = 20ms\ncall_timeout = 1s\nsegment_bytes = 524288\n" +
		"max_proposal_bytes = 65536\nmax_unapplied_bytes = 131072\nmax_message_bytes = 16384\n"
)

func newGroup(t testing.TB, size int, keys string) *group {
	g := &group{t: t, cluster: t.Name(), folder: t.TempDir(), keys: keys, kernels: map[model.VMName]*kernel.Kernel{}}
	for i := range size {
		g.vms = append(g.vms, model.VMName(fmt.Sprintf("vm-%d", i)))
	}
	t.Cleanup(func() {
		networks.Delete(g.cluster)
		for vm := range g.kernels {
			g.stop(vm)
		}
	})
	return g
}

func (g *group) settings(vm model.VMName) *settings.Settings {
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\ncluster = %s\nname = %s\navailability_zone = az-1\nroles = control\nseed = 7\n", g.cluster, vm)
	fmt.Fprintf(&b, "[data]\nfolder = %s\n[control]\ninitial_members = %s\n%s", filepath.Join(g.folder, string(vm)), g.names(), g.keys)
	for i, p := range g.vms {
		fmt.Fprintf(&b, "[peer %s]\naddress = 127.0.0.1:%d\navailability_zone = az-1\nroles = control\n", p, 1000+i)
	}
	s, err := settings.Parse("test.ini", []byte(b.String()), kernel.SettingsKeys())
	require.NoError(g.t, err)
	return s
}

func (g *group) names() string {
	var names []string
	for i, vm := range g.vms {
		if g.first == 0 || i < g.first {
			names = append(names, string(vm))
		}
	}
	return strings.Join(names, ", ")
}

func (g *group) start(vm model.VMName) {
	k, err := kernel.New(g.settings(vm))
	require.NoError(g.t, err)
	if files := g.files[vm]; files != nil {
		m, err := kernel.Lookup[*Module](k.Context())
		require.NoError(g.t, err)
		m.files = files
	}
	require.NoError(g.t, k.Start(context.Background()))
	g.kernels[vm] = k
}

func (g *group) stop(vm model.VMName) {
	k := g.kernels[vm]
	delete(g.kernels, vm)
	require.NoError(g.t, k.Stop(context.Background()))
}

// loseDisk stops a VM and removes its data folder.
func (g *group) loseDisk(vm model.VMName) {
	g.stop(vm)
	require.NoError(g.t, os.RemoveAll(filepath.Join(g.folder, string(vm))))
}

// form initializes and starts all VMs and waits for a leader.
func (g *group) form() {
	for _, vm := range g.vms {
		require.NoError(g.t, Init(g.settings(vm)))
		g.start(vm)
	}
	g.leader()
}

func (g *group) log(vm model.VMName) kernel.ControlLog {
	l, err := kernel.Lookup[kernel.ControlLog](g.kernels[vm].Context())
	require.NoError(g.t, err)
	return l
}

// waitLimit is far above the time that any condition needs on a loaded machine.
const waitLimit = 30 * time.Second

func (g *group) until(description string, cond func() bool) {
	require.Eventually(g.t, cond, waitLimit, time.Millisecond, description)
}

// leader waits for a VM whose leadership a quorum confirms.
func (g *group) leader() model.VMName {
	var leader model.VMName
	g.until("a leader answers reads", func() bool {
		for vm := range g.kernels {
			if g.log(vm).Status().Role != roleLeader {
				continue
			}
			if _, err := g.read(vm); err == nil {
				leader = vm
				return true
			}
		}
		return false
	})
	return leader
}

func (g *group) read(vm model.VMName) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return g.log(vm).Read(ctx, nil)
}

// propose retries only after errors that mean that the entry was not applied.
func (g *group) propose(data string) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		out, err := g.log(g.leader()).Propose(ctx, []byte(data))
		if k := errs.KindOf(err); err != nil && (k == errs.KindNotLeader || k == errs.KindNotAccepted) {
			continue
		}
		require.NoError(g.t, err)
		return out
	}
}

// state returns the state of one VM, which may be outdated.
func (g *group) state(vm model.VMName) string {
	m, err := kernel.Lookup[*fakeMachine](g.kernels[vm].Context())
	require.NoError(g.t, err)
	var out string
	require.NoError(g.t, g.kernels[vm].Context().Control.Do(context.Background(), func(time.Time) { out = string(m.Query(nil)) }))
	return out
}

// isComplete reports whether the members are exactly the running VMs and all of them are voters.
func (g *group) isComplete(vm model.VMName) bool {
	members := g.log(vm).Status().Members
	for _, member := range members {
		k, ok := g.kernels[member.VM]
		if !ok || member.Learner {
			return false
		}
		l, err := kernel.Lookup[kernel.ControlLog](k.Context())
		if err != nil || l.Status().Replica != member.Replica {
			return false
		}
	}
	return len(members) == len(g.vms)
}
