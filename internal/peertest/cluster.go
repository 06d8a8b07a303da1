package peertest

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// VM is one VM of a cluster.
type VM struct {
	Name  model.VMName
	Zone  model.AvailabilityZone
	Roles string
}

// Cluster runs VMs with the modules that the test imports, connected by an in-memory network.
type Cluster struct {
	t       testing.TB
	Network *Network
	VMs     []VM
	// Running holds the kernels of the VMs that run.
	Running       map[model.VMName]*kernel.Kernel
	extraSettings string
}

// NewCluster starts VMs that are spread over zones az-0, az-1 and so on: entry VMs vm-0, vm-1 and so on, and
// control VMs control-0 and so on. extraSettings is appended to the settings of each.
func NewCluster(t testing.TB, zones, entry, control int, extraSettings string) *Cluster {
	c := &Cluster{t: t, Network: NewNetwork(t.Name()), Running: map[model.VMName]*kernel.Kernel{}, extraSettings: extraSettings}
	t.Cleanup(c.Network.Close)
	add := func(prefix, role string, count int) {
		for i := range count {
			c.VMs = append(c.VMs, VM{model.VMName(fmt.Sprintf("%s-%d", prefix, i)), model.AvailabilityZone(fmt.Sprintf("az-%d", i%zones)), role})
		}
	}
	add("control", settings.RoleControl, control)
	add("vm", settings.RoleEntry, entry)
	for _, vm := range c.VMs {
		c.Start(vm.Name)
	}
	return c
}

// Zone returns the zone of a VM.
func (c *Cluster) Zone(name model.VMName) model.AvailabilityZone {
	for _, vm := range c.VMs {
		if vm.Name == name {
			return vm.Zone
		}
	}
	return ""
}

// Start starts a VM.
func (c *Cluster) Start(name model.VMName) {
	c.t.Helper()
	var text strings.Builder
	for _, vm := range c.VMs {
		if vm.Name == name {
			fmt.Fprintf(&text, "[vm]\ncluster = test\nname = %s\navailability_zone = %s\nroles = %s\n[data]\nfolder = %s\n", name, vm.Zone, vm.Roles, c.t.TempDir())
		}
	}
	fmt.Fprintf(&text, "[log]\nlevel = error\n[peer_memory]\nnetwork = %s\n%s\n", c.t.Name(), c.extraSettings)
	for _, vm := range c.VMs {
		fmt.Fprintf(&text, "[peer %s]\naddress = 127.0.0.1:1\navailability_zone = %s\nroles = %s\n", vm.Name, vm.Zone, vm.Roles)
	}
	s, err := settings.Parse("test.ini", []byte(text.String()), kernel.SettingsKeys())
	require.NoError(c.t, err)
	k, err := kernel.New(s)
	require.NoError(c.t, err)
	if d, err := kernel.Lookup[kernel.TargetDirectory](k.Context()); err == nil {
		d.SetAnnounceURL("http://" + string(name))
	}
	require.NoError(c.t, k.Start(context.Background()))
	c.Running[name] = k
	c.t.Cleanup(func() { c.Stop(name) })
}

// Stop stops a VM without draining it.
func (c *Cluster) Stop(name model.VMName) {
	if k := c.Running[name]; k != nil {
		delete(c.Running, name)
		require.NoError(c.t, k.Stop(context.Background()))
	}
}

// View returns the view of a VM.
func (c *Cluster) View(name model.VMName) *kernel.View {
	return c.Running[name].Context().Control.View()
}

// PartitionZone sets the state of all links between a zone and the other zones.
func (c *Cluster) PartitionZone(zone model.AvailabilityZone, link Link) {
	c.Network.SetLinks(func(a, b model.VMName) Link {
		if (c.Zone(a) == zone) != (c.Zone(b) == zone) {
			return link
		}
		return LinkUp
	})
}
