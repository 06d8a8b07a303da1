package directory_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/directory"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/log"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
)

const wait = 20 * time.Second

// cluster is a cluster of entry VMs without control.
type cluster struct {
	*peertest.Cluster
	t testing.TB
}

func vmName(i int) model.VMName { return model.VMName(fmt.Sprintf("vm-%d", i)) }

func newCluster(t testing.TB, zones, size int, timing string) *cluster {
	return &cluster{peertest.NewCluster(t, zones, size, 0, "[directory]\n"+timing), t}
}

func (c *cluster) announce(i int, a *model.Announcement) (kernel.AnnounceResult, error) {
	d, err := kernel.Lookup[kernel.TargetDirectory](c.Running[vmName(i)].Context())
	require.NoError(c.t, err)
	return d.Announce(context.Background(), a)
}

// state returns the state of a target in the view of a VM, or "absent" if the view lacks the target.
func (c *cluster) state(vm model.VMName, id string) model.TargetState {
	s := c.View(vm).Targets("depot")
	if s == nil {
		return "absent"
	}
	for _, t := range s.Targets {
		if t.ID == model.TargetID(id) {
			return t.State
		}
	}
	return "absent"
}

// waitFor waits until the target has the state on all VMs of the zones, or of all zones if none are given.
func (c *cluster) waitFor(id string, want model.TargetState, zones ...string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for vm := range c.Running {
			if (len(zones) == 0 || strings.Contains(strings.Join(zones, " "), string(c.Zone(vm)))) && c.state(vm, id) != want {
				return false
			}
		}
		return true
	}, wait, time.Millisecond, "target %s is not %s everywhere", id, want)
}

// waitConnected waits until each VM has connections, so that its responses name two responsible VMs.
func (c *cluster) waitConnected() {
	c.t.Helper()
	a := announcement("probe", 1, 1, model.TargetServing)
	require.Eventually(c.t, func() bool {
		a.Sequence++
		for i := range c.VMs {
			if r, err := c.announce(i, a); err != nil || len(r.Responsible) != 2 {
				return false
			}
		}
		return true
	}, wait, time.Millisecond)
}

func announcement(id string, incarnation, sequence uint64, state model.TargetState) *model.Announcement {
	return &model.Announcement{
		Service: "depot", ID: model.TargetID(id), AvailabilityZone: "az-0", Addr: "127.0.0.1:" + id, Incarnation: incarnation,
		Sequence: sequence, State: state, Layout: model.LayoutRef{Number: 1, Digest: 5}, Shards: []model.ShardID{0},
		IndexVersions: []model.IndexVersion{7}, Slots: 2, ConnectionLimit: 25, Lease: time.Minute,
	}
}

const shortGossipTimes = "gossip_interval = 50ms\ngossip_lapse = 400ms"

// Guards against a leaving target that still gets work from VMs that it did not announce itself to, without any
// control VM, and against an expired lease that other VMs keep.
func TestChangesReachAllVMs(t *testing.T) {
	c := newCluster(t, 3, 9, "gossip_interval = 10s\ngossip_lapse = 30s")
	c.waitConnected()
	_, err := c.announce(0, announcement("1", 1, 1, model.TargetServing))
	require.NoError(t, err)
	c.waitFor("1", model.TargetServing)
	_, err = c.announce(0, announcement("1", 1, 2, model.TargetLeaving))
	require.NoError(t, err)
	c.waitFor("1", model.TargetLeaving) // It takes less than the 10 s interval only if changes are sent immediately.

	short := announcement("2", 1, 1, model.TargetServing)
	short.Lease = 500 * time.Millisecond
	_, err = c.announce(0, short)
	require.NoError(t, err)
	c.waitFor("2", model.TargetServing)
	c.waitFor("2", "absent")
}

// Guards against targets of a cut-off zone that stay listed, whether TCP reports the partition or not, and against
// targets that are still missing after the partition has ended.
func TestTargetsOfCutOffZoneExpire(t *testing.T) {
	for _, link := range []peertest.Link{peertest.LinkUnresponsive, peertest.LinkDown} {
		t.Run(fmt.Sprint(link), func(t *testing.T) {
			c := newCluster(t, 3, 9, shortGossipTimes)
			c.waitConnected()
			_, err := c.announce(0, announcement("1", 1, 1, model.TargetServing))
			require.NoError(t, err)
			c.waitFor("1", model.TargetServing)
			c.PartitionZone("az-0", link)
			c.waitFor("1", "absent", "az-1", "az-2")
			c.waitFor("1", model.TargetServing, "az-0")
			c.Network.SetLinks(nil)
			c.waitFor("1", model.TargetServing)
		})
	}
}

// Guards against a VM that starts late or misses messages and never receives the targets of the other VMs.
func TestMissedChangesArePulled(t *testing.T) {
	c := newCluster(t, 3, 9, shortGossipTimes)
	c.waitConnected()
	for i := range 50 {
		_, err := c.announce(i%9, announcement(fmt.Sprint(i), 1, 1, model.TargetServing))
		require.NoError(t, err)
	}
	c.Stop(vmName(4))
	c.Start(vmName(4))
	for i := range 50 {
		if i%9 != 4 {
			c.waitFor(fmt.Sprint(i), model.TargetServing)
		}
	}
	var dropped atomic.Int64
	c.Network.DropMessages(func(_, to model.VMName, m kernel.PeerMessage) bool {
		return to == vmName(8) && len(m.Payload) > 60 && dropped.Add(1) < 20 // Messages with changes are longer than summaries.
	})
	_, err := c.announce(0, announcement("0", 1, 2, model.TargetDraining))
	require.NoError(t, err)
	c.waitFor("0", model.TargetDraining)
}

// Guards against a late message of an older incarnation that restores the older state of the target.
func TestOldIncarnationDoesNotOverride(t *testing.T) {
	c := newCluster(t, 3, 9, shortGossipTimes)
	c.waitConnected()
	_, err := c.announce(0, announcement("1", 2, 1, model.TargetCold))
	require.NoError(t, err)
	c.waitFor("1", model.TargetCold)
	for i := range 9 {
		_, err := c.announce(i, announcement("1", 1, 99, model.TargetServing))
		require.Error(t, err)
	}
	c.waitFor("1", model.TargetCold)
}

// Guards against a target state on a reply that is not published immediately.
func TestReportedStateIsPublished(t *testing.T) {
	c := newCluster(t, 1, 1, shortGossipTimes)
	_, err := c.announce(0, announcement("1", 1, 1, model.TargetServing))
	require.NoError(t, err)
	c.waitFor("1", model.TargetServing)
	control := c.Running[vmName(0)].Context().Control
	require.True(t, control.Post(kernel.TargetStateReport{Target: model.TargetKey{Service: "depot", ID: "1"}, Incarnation: 1, State: model.TargetLeaving}))
	c.waitFor("1", model.TargetLeaving)
}
