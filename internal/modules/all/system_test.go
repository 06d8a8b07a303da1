package all_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/all"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/controllog"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	startTimeout = 30 * time.Second
	// inForceTimeout is the stated time for a configuration change to be in force on all VMs.
	inForceTimeout = 4 * time.Second
)

const (
	controlVMs = 3
	entryVMs   = 6
)

// startSystem starts control and entry VMs with all modules in this process, over TCP on loopback.
func startSystem(t *testing.T) map[string]*kernel.Kernel {
	t.Helper()
	listeners, peers := map[string]string{}, ""
	add := func(name, zone, role string) {
		listeners[name] = peertest.FreeAddress()
		peers += fmt.Sprintf("[peer %s]\naddress = %s\navailability_zone = %s\nroles = %s\n", name, listeners[name], zone, role)
	}
	for i := range controlVMs {
		add(fmt.Sprintf("control-%d", i), fmt.Sprintf("az-%d", i), "control")
	}
	for i := range entryVMs {
		add(fmt.Sprintf("vm-%d", i), fmt.Sprintf("az-%d", i%controlVMs), "entry")
	}
	out := map[string]*kernel.Kernel{}
	for name, listen := range listeners {
		role, zone := "entry", "az-"+name[len(name)-1:]
		if strings.HasPrefix(name, "control") {
			role = "control"
		} else {
			var i int
			_, _ = fmt.Sscanf(name, "vm-%d", &i)
			zone = fmt.Sprintf("az-%d", i%controlVMs)
		}
		text := fmt.Sprintf("[vm]\ncluster = test\nname = %s\navailability_zone = %s\nroles = %s\n[log]\nlevel = error\n[data]\nfolder = %s\n"+
			"[peer_transport]\nlisten = %s\n[shutdown]\ndrain_delay = 50ms\n[control]\ninitial_members = control-0, control-1, control-2\n", name, zone, role, t.TempDir(), listen)
		if role == "entry" {
			text += fmt.Sprintf("[announce]\nlisten = %s\n[frontend]\nlisten = %s\n", peertest.FreeAddress(), peertest.FreeAddress())
		}
		s, err := settings.Parse(name+".ini", []byte(text+peers), kernel.SettingsKeys())
		require.NoError(t, err)
		if role == "control" {
			require.NoError(t, controllog.Init(s))
		}
		k, err := kernel.New(s)
		require.NoError(t, err)
		require.NoError(t, k.Start(context.Background()))
		out[name] = k
		t.Cleanup(func() {
			if out[name] != nil {
				require.NoError(t, k.Stop(context.Background()))
			}
		})
	}
	return out
}

// eventually waits until a condition is true on all entry VMs.
func eventually(t *testing.T, vms map[string]*kernel.Kernel, timeout time.Duration, condition func(k *kernel.Kernel, v *kernel.View) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		for name, k := range vms {
			if strings.HasPrefix(name, "vm") && !condition(k, k.Context().Control.View()) {
				return false
			}
		}
		return true
	}, timeout, time.Millisecond)
}

func applyConfig(t *testing.T, k *kernel.Kernel, basedOn model.Revision, deadline string) {
	t.Helper()
	client, err := kernel.Lookup[kernel.ControlClient](k.Context())
	require.NoError(t, err)
	files := model.ConfigFiles{Base: "[system]\nname = test\nseats = 6\n[site north]\navailability_zones = az-0, az-1, az-2\nservices = depot\n[service depot]\ndeadline = " + deadline + "\n"}
	c, err := config.Parse(files)
	require.NoError(t, err)
	command := state.ApplyConfig{ChangeID: "change-" + deadline, BasedOn: basedOn, Author: "test", Files: files, Seats: c.Seats, SeatLease: c.SeatLease, ClaimRetention: c.ClaimRetention}
	require.Eventually(t, func() bool {
		result, err := client.Propose(context.Background(), command)
		return err == nil && result.(state.ChangeResult).Err() == nil
	}, startTimeout, 10*time.Millisecond)
}

// Guards against parts that pass their own tests but do not work together. Covers a control group on disk, TCP between
// all VMs, configuration, seats, layouts and leases in every view, and the loss of all control VMs.
func TestSystemStartsAndServesWithoutControlVMs(t *testing.T) {
	vms := startSystem(t)
	applyConfig(t, vms["vm-0"], 0, "400ms")
	eventually(t, vms, startTimeout, func(k *kernel.Kernel, v *kernel.View) bool {
		return len(k.Context().Readiness.Reasons()) == 0 && v.Service("depot") != nil && v.Seat.Index >= 0 && v.Seat.Seats == entryVMs
	})

	applyConfig(t, vms["vm-1"], 1, "300ms")
	eventually(t, vms, inForceTimeout, func(_ *kernel.Kernel, v *kernel.View) bool {
		return v.Service("depot").Deadline == 300*time.Millisecond
	})

	directory, err := kernel.Lookup[kernel.TargetDirectory](vms["vm-0"].Context())
	require.NoError(t, err)
	layout := model.Layout{Service: "depot", Number: 1, Shards: []model.Shard{{ID: 0, Share: 1}}}
	announcement := &model.Announcement{
		Service: "depot", ID: "leaf", AvailabilityZone: "az-0", Addr: "127.0.0.1:1", Incarnation: 1, Sequence: 1, State: model.TargetServing,
		Layout: layout.Ref(), LayoutShards: layout.Shards, Shards: []model.ShardID{0}, IndexVersions: []model.IndexVersion{1},
		Slots: 2, ConnectionLimit: 25, Lease: time.Minute,
	}
	result, err := directory.Announce(context.Background(), announcement)
	require.NoError(t, err)
	require.Len(t, result.Responsible, 2)
	holders := func(v *kernel.View) int {
		s := v.Targets("depot")
		if s == nil {
			return 0
		}
		return len(s.Holders[model.Snapshot{Layout: 1, Index: 1}][0])
	}
	eventually(t, vms, startTimeout, func(_ *kernel.Kernel, v *kernel.View) bool { return holders(v) == 1 })

	require.NoError(t, vms["vm-5"].Drain(context.Background()))
	client, err := kernel.Lookup[kernel.ControlClient](vms["vm-4"].Context())
	require.NoError(t, err)
	status, err := client.Read(context.Background(), state.GetStatus{})
	require.NoError(t, err)
	heldSeats := 0
	for _, h := range status.(state.StatusAnswer).Seats.Holders {
		require.NotEqual(t, model.VMName("vm-5"), h.Holder.VM, "a drained VM releases its seat")
		if h.Holder.VM != "" {
			heldSeats++
		}
	}
	require.Equal(t, entryVMs-1, heldSeats)
	require.NoError(t, vms["vm-5"].Stop(context.Background()))
	delete(vms, "vm-5")

	for i := range controlVMs {
		name := fmt.Sprintf("control-%d", i)
		require.NoError(t, vms[name].Stop(context.Background()))
		delete(vms, name)
	}
	leaving := *announcement
	leaving.Sequence, leaving.State = 2, model.TargetLeaving
	_, err = directory.Announce(context.Background(), &leaving)
	require.NoError(t, err)
	eventually(t, vms, inForceTimeout, func(k *kernel.Kernel, v *kernel.View) bool {
		return holders(v) == 0 && v.Service("depot") != nil && v.Seat.Index >= 0 && len(k.Context().Readiness.Reasons()) == 0
	})
}
