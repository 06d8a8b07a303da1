package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// controlVMs is the number of control VMs of a demo.
const controlVMs = 3

// readyLimit limits the wait until the configuration is accepted, and the wait until the entry VMs are ready.
const readyLimit = 60 * time.Second

// Policies holds the policies of a run.
type Policies struct {
	Routing   string `json:"routing"`
	Hedge     string `json:"hedge"`
	Retry     string `json:"retry"`
	Admission string `json:"admission"`
	// HedgeQuantile and HedgeBudget are the values of the configuration keys hedge_quantile and hedge_budget.
	HedgeQuantile float64 `json:"hedge_quantile"`
	HedgeBudget   float64 `json:"hedge_budget"`
}

// BaselinePolicies selects random routing and no hedging, retries or admission control. It is the baseline of comparisons.
var BaselinePolicies = Policies{Routing: "random", Hedge: "none", Retry: "none", Admission: "open", HedgeQuantile: 0.945, HedgeBudget: 0.07}

// AllPolicies enables every policy.
var AllPolicies = Policies{Routing: "least_loaded", Hedge: "quantile", Retry: "budget", Admission: "priority", HedgeQuantile: 0.945, HedgeBudget: 0.07}

type demoVM struct {
	name     string
	zone     model.AvailabilityZone
	role     string
	sourceIP string
	// Addresses of the listeners.
	callerAddr, announceAddr, peerAddr, operatorAddr string
	kernel                                           *kernel.Kernel
}

// cluster is a complete system that runs in this process.
type cluster struct {
	user     *User
	folder   string
	vms      []*demoVM
	targets  []*standin.Target
	zoneByIP map[string]model.AvailabilityZone
	// isolatedZone is the availability zone that is isolated from the others, or nil.
	isolatedZone atomic.Pointer[model.AvailabilityZone]
}

// startCluster starts control VMs, entry VMs and stand-in targets, and waits until every entry VM is ready.
func startCluster(ctx context.Context, user *User, policies Policies, seed uint64) (*cluster, error) {
	folder, err := os.MkdirTemp("", "chestnuttiller-demo")
	if err != nil {
		return nil, err
	}
	c := &cluster{user: user, folder: folder, zoneByIP: map[string]model.AvailabilityZone{}}
	if err := c.start(ctx, policies, seed); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, policies Policies, seed uint64) error {
	if err := c.planVMs(); err != nil {
		return err
	}
	for _, vm := range c.vms {
		if err := c.startVM(ctx, vm, policies, seed); err != nil {
			return errors.Wrapf(err, "VM %s", vm.name)
		}
	}
	if err := c.configure(ctx, policies); err != nil {
		return err
	}
	if err := c.startTargets(seed); err != nil {
		return err
	}
	return c.waitUntilReady(ctx)
}

// planVMs names the VMs and assigns free addresses to their listeners.
func (c *cluster) planVMs() error {
	for i := range controlVMs {
		c.vms = append(c.vms, &demoVM{name: fmt.Sprintf("control-%d", i+1), zone: c.zone(i), role: settings.RoleControl})
	}
	for i := range c.user.EntryVMs {
		c.vms = append(c.vms, &demoVM{name: fmt.Sprintf("entry-%d", i+1), zone: c.zone(i), role: settings.RoleEntry})
	}
	for i, vm := range c.vms {
		host := "127.0.0.1"
		// Only Linux treats every address of 127.0.0.0/8 as local. On other systems the targets cannot distinguish
		// the availability zones of entry VMs, and the network delay to all of them is the same.
		if runtime.GOOS == "linux" {
			vm.sourceIP = fmt.Sprintf("127.0.77.%d", i+1)
			c.zoneByIP[vm.sourceIP] = vm.zone
			// No connection uses this address as its source, so none can occupy a port that was found free.
			host = fmt.Sprintf("127.0.78.%d", i+1)
		}
		for _, addr := range []*string{&vm.callerAddr, &vm.announceAddr, &vm.peerAddr, &vm.operatorAddr} {
			if err := findFreeAddress(host, addr); err != nil {
				return err
			}
		}
	}
	return nil
}

// zone returns the availability zone of VM or target i, counted from 0. The zones are assigned round robin.
func (c *cluster) zone(i int) model.AvailabilityZone { return c.user.Zones[i%len(c.user.Zones)] }

func findFreeAddress(host string, addr *string) error {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return err
	}
	*addr = l.Addr().String()
	return l.Close()
}

// settingsOf returns the content of a VM's settings file.
func (c *cluster) settingsOf(vm *demoVM, policies Policies, seed uint64) string {
	f := Sections{}
	f.Set("vm", "cluster", c.user.Name)
	f.Set("vm", "name", vm.name)
	f.Set("vm", "availability_zone", string(vm.zone))
	f.Set("vm", "roles", vm.role)
	f.Set("vm", "seed", fmt.Sprint(seed))
	f.Set("shutdown", "drain_delay", "0s")
	f.Set("shutdown", "drain_limit", "10s")
	f.Set("log", "level", "warn")
	f.Set("log", "file", filepath.Join(c.folder, vm.name+".log"))
	f.Set("peer_transport", "listen", vm.peerAddr)
	f.Set("operator", "listen", vm.operatorAddr)
	if vm.role == settings.RoleControl {
		f.Set("data", "folder", filepath.Join(c.folder, vm.name))
		f.Set("control", "initial_members", strings.Join(c.controlVMNames(), ","))
	} else {
		f.Set("frontend", "listen", vm.callerAddr)
		f.Set("announce", "listen", vm.announceAddr)
		f.Set("admission", "policy", policies.Admission)
		f.Set("transport", "source_address", vm.sourceIP)
	}
	for _, p := range c.vms {
		section := "peer " + p.name
		f.Set(section, "address", p.peerAddr)
		f.Set(section, "availability_zone", string(p.zone))
		f.Set(section, "roles", p.role)
	}
	return f.Text()
}

func (c *cluster) controlVMNames() []string {
	var out []string
	for _, vm := range c.vms {
		if vm.role == settings.RoleControl {
			out = append(out, vm.name)
		}
	}
	return out
}

func (c *cluster) startVM(ctx context.Context, vm *demoVM, policies Policies, seed uint64) error {
	s, err := settings.Parse(vm.name+".ini", []byte(c.settingsOf(vm, policies, seed)), kernel.SettingsKeys())
	if err != nil {
		return err
	}
	if vm.role == settings.RoleControl {
		if err := initControl(s); err != nil {
			return err
		}
	}
	k, err := kernel.New(s)
	if err != nil {
		return err
	}
	vm.kernel = k
	return k.Start(ctx)
}

func (c *cluster) startTargets(seed uint64) error {
	for i := range c.user.Groups {
		g := &c.user.Groups[i]
		for n := range g.Services {
			for target := range g.Targets {
				seed++
				t, err := standin.Start(c.targetConfig(g, n, target, seed))
				if err != nil {
					return err
				}
				c.targets = append(c.targets, t)
			}
		}
	}
	return nil
}

func (c *cluster) targetConfig(g *ServiceGroup, service, target int, seed uint64) standin.Config {
	zone := c.zone(target)
	return standin.Config{
		Service: g.serviceName(service), ID: model.TargetID(fmt.Sprintf("leaf-%d", target+1)), AvailabilityZone: zone,
		AnnounceURLs: c.announceURLs(zone), LayoutShards: standin.EvenShards(g.Targets), Shards: g.shardsOf(target),
		Slots: g.Slots, ConnectionLimit: g.MaxConnections, ConnectTime: g.ConnectTime, ServiceTime: c.user.ServiceTime,
		NetworkPath: c.networkPathsFrom(zone), LoadLag: time.Second, BodyBytes: 512, Seed: seed,
	}
}

func (c *cluster) announceURLs(zone model.AvailabilityZone) []string {
	var out []string
	for _, vm := range c.vms {
		if vm.role == settings.RoleEntry && vm.zone == zone {
			out = append(out, "http://"+vm.announceAddr+targetapi.PathAnnounce)
		}
	}
	return out
}

// networkPathsFrom returns the function that gives the network delay between an availability zone and the VM at an IP
// address, and whether the VM can be reached.
func (c *cluster) networkPathsFrom(zone model.AvailabilityZone) func(ip string) (time.Duration, bool) {
	return func(ip string) (time.Duration, bool) {
		from, known := c.zoneByIP[ip]
		if !known || from == zone {
			return 0, true
		}
		isolatedZone := c.isolatedZone.Load()
		return c.user.ZoneRoundTrip, isolatedZone == nil || (*isolatedZone != from && *isolatedZone != zone)
	}
}

// entryURLs returns the base URLs at which callers reach the entry VMs.
func (c *cluster) entryURLs() []string {
	var out []string
	for _, vm := range c.vms {
		if vm.role == settings.RoleEntry {
			out = append(out, "http://"+vm.callerAddr)
		}
	}
	return out
}

// layoutOf is the LayoutSource of the checker. It returns nil for an unknown service and for every number but 1.
func (c *cluster) layoutOf(service model.ServiceName, n model.LayoutNumber) *model.Layout {
	for i := range c.user.Groups {
		g := &c.user.Groups[i]
		for j := range g.Services {
			if g.serviceName(j) == service && n == 1 {
				return &model.Layout{Service: service, Number: 1, Shards: standin.EvenShards(g.Targets)}
			}
		}
	}
	return nil
}

// waitUntilReady waits until every entry VM has given a complete answer to one query of each loaded service.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	caller := NewCaller(c.layoutOf)
	defer caller.Close()
	streams, _ := c.user.streams(1, 0)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	reason := "no answer"
	for _, base := range c.entryURLs() {
		for _, s := range streams {
			for n := 0; ; n++ {
				r := caller.Do(ctx, base, &Request{ID: fmt.Sprintf("ready-%d", n), Service: s.Service, Body: []byte("ready")})
				if r.Answer.Outcome == string(model.OutcomeComplete) {
					break
				}
				if r.Err == nil {
					reason = r.Answer.Reason
				}
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return errs.New(errs.KindUnavailable, "look at the logs in "+c.folder, "entry VM %s has given no complete answer for service %s within %s: %s", base, s.Service, readyLimit, reason)
				}
			}
		}
	}
	return nil
}

// stop stops all targets and VMs and removes the folder.
func (c *cluster) stop() {
	for _, t := range c.targets {
		t.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := len(c.vms) - 1; i >= 0; i-- {
		if k := c.vms[i].kernel; k != nil {
			_ = k.Drain(ctx) // The results have been collected already.
			_ = k.Stop(ctx)  // The results have been collected already.
		}
	}
	_ = os.RemoveAll(c.folder) // The folder is temporary.
}
