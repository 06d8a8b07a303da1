package dissemination_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/dissemination"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/log"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
)

const wait = 20 * time.Second

// group is the replicated state of a test, shared by all control VMs.
type group struct {
	mu    sync.Mutex
	state *state.State
	index uint64
	vms   map[*testControl]bool
}

var currentGroup *group

func (g *group) apply(command any) any {
	g.mu.Lock()
	g.index++
	result := g.state.Apply(g.index, time.Now(), command)
	vms := make([]*testControl, 0, len(g.vms))
	for vm := range g.vms {
		vms = append(vms, vm)
	}
	g.mu.Unlock()
	for _, vm := range vms {
		vm.control.Post(kernel.StateChanged{})
	}
	return result
}

// testControl replaces the control client, and testStateSource the control log and the state machine. Both use the
// shared group.
type testControl struct {
	group     *group
	control   *kernel.Control
	transport kernel.PeerTransport
	isControl bool
}

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID: "test.control", New: func() kernel.Module { return &testControl{} },
		Needs: []kernel.Capability{kernel.CapPeerTransport}, Provides: []kernel.Capability{kernel.CapControlClient},
		Enabled: func(s *settings.Settings) bool { return len(s.Peers) > 0 },
	})
	kernel.Register(kernel.ModuleInfo{
		ID: "test.state", New: func() kernel.Module { return &testStateSource{} }, Enabled: kernel.ForQueries(settings.RoleControl),
		Provides: []kernel.Capability{kernel.CapStateMachine, kernel.CapControlLog},
	})
}

func (c *testControl) Provision(ctx *kernel.Context) error {
	var err error
	c.group, c.control, c.isControl = currentGroup, ctx.Control, ctx.Settings.HasRole(settings.RoleControl)
	if c.transport, err = kernel.Lookup[kernel.PeerTransport](ctx); err != nil || !c.isControl {
		return err
	}
	c.transport.Handle("test.propose", func(_ context.Context, _ model.VMName, data []byte) ([]byte, error) {
		command, err := statecodec.DecodeCommand(data)
		if err != nil {
			return nil, err
		}
		return statecodec.EncodeResult(c.group.apply(command))
	})
	return nil
}

func (c *testControl) Start(context.Context) error {
	if c.isControl {
		c.group.mu.Lock()
		defer c.group.mu.Unlock()
		c.group.vms[c] = true
	}
	return nil
}

func (c *testControl) Propose(ctx context.Context, command kernel.Command) (kernel.CommandResult, error) {
	data, err := statecodec.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	if data, err = c.transport.Call(ctx, "control-0", kernel.PeerMessage{Kind: "test.propose", Payload: data}); err != nil {
		return nil, err
	}
	return statecodec.DecodeResult(data)
}

func (c *testControl) Read(context.Context, kernel.StateQuery) (kernel.StateAnswer, error) {
	return nil, errs.New(errs.KindUnavailable, "use Propose", "not part of this test")
}

// WithinShares implements kernel.ConnectionShareChecker as if connections closed immediately.
func (c *testControl) WithinShares(*kernel.View) bool { return true }

type testStateSource struct{ group *group }

func (s *testStateSource) Provision(*kernel.Context) error {
	s.group = currentGroup
	return nil
}

func (s *testStateSource) DisseminatedState() *state.DisseminatedState {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.state.Disseminated()
}

func (s *testStateSource) Propose(context.Context, []byte) ([]byte, error) { return nil, nil }
func (s *testStateSource) Read(context.Context, []byte) ([]byte, error)    { return nil, nil }
func (s *testStateSource) Status() kernel.ControlStatus {
	return kernel.ControlStatus{Role: "leader", Leader: "control-0"}
}

func baseFile(seats int) string {
	return fmt.Sprintf("[system]\nname = sfax\nseats = %d\n[site north]\navailability_zones = az-0, az-1, az-2\nservices = depot\n[service depot]\n", seats)
}

// configure commits a configuration with the given number of seats.
func (g *group) configure(t testing.TB, seats int) {
	t.Helper()
	g.mu.Lock()
	revision := g.state.Disseminated().ConfigRevision
	g.mu.Unlock()
	files := model.ConfigFiles{Base: baseFile(seats)}
	c, err := config.Parse(files)
	require.NoError(t, err)
	r := g.apply(state.ApplyConfig{ChangeID: fmt.Sprint(revision), BasedOn: revision, Author: "x", Files: files, Seats: c.Seats, SeatLease: c.SeatLease, ClaimRetention: c.ClaimRetention})
	require.NoError(t, r.(state.ChangeResult).Err())
}

func newCluster(t *testing.T) (*group, *peertest.Cluster) {
	currentGroup = &group{state: state.New(), vms: map[*testControl]bool{}}
	return currentGroup, peertest.NewCluster(t, 3, 9, 3, "[dissemination]\ninterval = 50ms\nbootstrap_grace = 100ms")
}

func ready(c *peertest.Cluster, vm model.VMName) bool {
	return len(c.Running[vm].Context().Readiness.Reasons()) == 0
}

// eventually waits until a condition holds on all running entry VMs.
func eventually(t *testing.T, c *peertest.Cluster, condition func(vm model.VMName, v *kernel.View) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, vm := range c.VMs {
			if vm.Roles == settings.RoleEntry && c.Running[vm.Name] != nil && !condition(vm.Name, c.View(vm.Name)) {
				return false
			}
		}
		return true
	}, wait, time.Millisecond)
}

// Guards against VMs that serve without a state, a configuration that does not arrive, two VMs with the same seat, and
// changes of the number of seats that do not complete.
func TestStateAndSeatsReachAllVMs(t *testing.T) {
	g, c := newCluster(t)
	for _, vm := range c.VMs {
		require.False(t, vm.Roles == settings.RoleEntry && ready(c, vm.Name))
	}
	g.configure(t, 9)
	eventually(t, c, func(vm model.VMName, v *kernel.View) bool {
		return ready(c, vm) && v.Service("depot") != nil && v.Seat.Index >= 0 && !v.ControlContact.IsZero()
	})
	taken := map[int]model.VMName{}
	eventually(t, c, func(vm model.VMName, v *kernel.View) bool {
		taken[v.Seat.Index] = vm
		return true
	})
	require.Len(t, taken, 9)

	g.configure(t, 12)
	eventually(t, c, func(_ model.VMName, v *kernel.View) bool { return v.Seat.Seats == 12 && v.Seat.PreviousSeats == 12 })
	layout := model.Layout{Service: "depot", Number: 1, Shards: []model.Shard{{ID: 0, Share: 1}}}
	p, err := kernel.LookupModule[interface {
		ProposeLayout(context.Context, model.Layout) error
	}](c.Running["vm-4"].Context(), "dissemination.relay")
	require.NoError(t, err)
	require.NoError(t, p.ProposeLayout(context.Background(), layout))
	eventually(t, c, func(_ model.VMName, v *kernel.View) bool { return v.Layouts["depot"][1] != nil })
	layout.Shards = []model.Shard{{ID: 0, Share: 0.5}, {ID: 1, Share: 0.5}}
	require.Equal(t, errs.KindConflict, errs.KindOf(p.ProposeLayout(context.Background(), layout)))
}

// Guards against a seat that stays occupied after its VM has drained, and one that is used after it was released.
func TestDrainReleasesTheSeat(t *testing.T) {
	g, c := newCluster(t)
	g.configure(t, 9)
	eventually(t, c, func(_ model.VMName, v *kernel.View) bool { return v.Seat.Index >= 0 })
	require.NoError(t, c.Running["vm-3"].Drain(context.Background()))
	require.Equal(t, model.NoSeat, c.View("vm-3").Seat)
	free := 0
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.state.Disseminated().Seats.Holders {
		if h.Holder.VM == "" {
			free++
		}
	}
	require.Equal(t, 1, free)
}

// Guards against a cut-off zone that stops serving, that cannot start a VM, or that reverts to an older state.
func TestCutOffZoneKeepsServing(t *testing.T) {
	g, c := newCluster(t)
	g.configure(t, 9)
	eventually(t, c, func(vm model.VMName, v *kernel.View) bool { return ready(c, vm) && v.Seat.Index >= 0 })
	c.Network.SetLinks(func(a, b model.VMName) peertest.Link {
		if a == "control-1" || b == "control-1" || (c.Zone(a) == "az-1") != (c.Zone(b) == "az-1") {
			return peertest.LinkDown
		}
		return peertest.LinkUp
	})
	revision := c.View("vm-1").StateRevision
	contact := c.View("vm-1").ControlContact
	c.Stop("vm-1")
	c.Start("vm-1")
	require.False(t, ready(c, "vm-1"))
	require.Eventually(t, func() bool { return ready(c, "vm-1") }, wait, time.Millisecond)
	require.GreaterOrEqual(t, c.View("vm-1").StateRevision, revision)
	require.NotNil(t, c.View("vm-1").Service("depot"))
	require.Less(t, c.View("vm-1").ControlContact.Sub(contact), wait)

	g.configure(t, 10)
	eventually(t, c, func(vm model.VMName, v *kernel.View) bool {
		return c.Zone(vm) == "az-1" && v.Config.Seats == 9 || v.Config != nil && v.Config.Seats == 10
	})
	c.Network.SetLinks(nil)
	eventually(t, c, func(_ model.VMName, v *kernel.View) bool { return v.Config.Seats == 10 && v.Seat.Index >= 0 })
}

// Guards against a system without control VMs that does not use the files of local_config.
func TestLocalConfig(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "base.ini"), []byte(baseFile(1)), 0o644))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "north.site.ini"), []byte("[service depot]\ndeadline = 123ms\n"), 0o644))
	currentGroup = &group{state: state.New(), vms: map[*testControl]bool{}}
	c := peertest.NewCluster(t, 1, 2, 0, "[dissemination]\nlocal_config = "+folder)
	eventually(t, c, func(vm model.VMName, v *kernel.View) bool {
		return ready(c, vm) && v.Service("depot") != nil && v.Service("depot").Deadline == 123*time.Millisecond && v.Seat.Seats == 2
	})
}
