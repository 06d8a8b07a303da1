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

// controlVMs is how many control VMs a demo has.
const controlVMs = 3

// readyLimit bounds the wait for a cluster that has been started.
const readyLimit = 60 * time.Second

// Policies names the policies of a run.
type Policies struct {
	Routing   string `json:"routing"`
	Hedge     string `json:"hedge"`
	Retry     string `json:"retry"`
	Admission string `json:"admission"`
	// HedgeQuantile and HedgeBudget are the keys of the same names in the configuration.
	HedgeQuantile float64 `json:"hedge_quantile"`
	HedgeBudget   float64 `json:"hedge_budget"`
}

// Baseline is the system without its policies.
var Baseline = Policies{Routing: "random", Hedge: "none", Retry: "none", Admission: "open", HedgeQuantile: 0.945, HedgeBudget: 0.07}

// Full is the system with all policies.
var Full = Policies{Routing: "least_loaded", Hedge: "quantile", Retry: "budget", Admission: "priority", HedgeQuantile: 0.945, HedgeBudget: 0.07}

// demoVM is one VM of the demo.
type demoVM struct {
	name   string
	zone   model.AvailabilityZone
	role   string
	source string
	// The addresses of the listeners.
	callers, announce, peer, operator string
	kernel                            *kernel.Kernel
}

// cluster is a whole system in this process.
type cluster struct {
	user    *User
	folder  string
	vms     []*demoVM
	targets []*standin.Target
	zoneOf  map[string]model.AvailabilityZone
	// cut names the availability zone that is cut off, or nothing.
	cut atomic.Pointer[model.AvailabilityZone]
}

// startCluster starts control VMs, entry VMs and stand-in targets, and waits until every entry VM serves.
func startCluster(ctx context.Context, user *User, policies Policies, seed uint64) (*cluster, error) {
	folder, err := os.MkdirTemp("", "chestnuttiller-demo")
	if err != nil {
		return nil, err
	}
	c := &cluster{user: user, folder: folder, zoneOf: map[string]model.AvailabilityZone{}}
	if err := c.start(ctx, policies, seed); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, policies Policies, seed uint64) error {
	if err := c.plan(); err != nil {
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
	return c.awaitReady(ctx)
}

// plan names the VMs and finds free addresses for them.
func (c *cluster) plan() error {
	for i := range controlVMs {
		c.vms = append(c.vms, &demoVM{name: fmt.Sprintf("control-%d", i+1), zone: c.zone(i), role: settings.RoleControl})
	}
	for i := range c.user.EntryVMs {
		c.vms = append(c.vms, &demoVM{name: fmt.Sprintf("entry-%d", i+1), zone: c.zone(i), role: settings.RoleEntry})
	}
	for i, vm := range c.vms {
		host := "127.0.0.1"
		// Only Linux takes every address of 127.0.0.0/8 as its own. Elsewhere the targets cannot tell the zones
		// of entry VMs apart, and all are at the same distance.
		if runtime.GOOS == "linux" {
			vm.source = fmt.Sprintf("127.0.77.%d", i+1)
			c.zoneOf[vm.source] = vm.zone
			// No connection starts from this address, so none can take a port that was found free.
			host = fmt.Sprintf("127.0.78.%d", i+1)
		}
		for _, addr := range []*string{&vm.callers, &vm.announce, &vm.peer, &vm.operator} {
			if err := freeAddress(host, addr); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) zone(i int) model.AvailabilityZone { return c.user.Zones[i%len(c.user.Zones)] }

func freeAddress(host string, addr *string) error {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return err
	}
	*addr = l.Addr().String()
	return l.Close()
}

// settingsOf returns the settings file of a VM.
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
	f.Set("peer_transport", "listen", vm.peer)
	f.Set("operator", "listen", vm.operator)
	if vm.role == settings.RoleControl {
		f.Set("data", "folder", filepath.Join(c.folder, vm.name))
		f.Set("control", "initial_members", strings.Join(c.controlNames(), ","))
	} else {
		f.Set("frontend", "listen", vm.callers)
		f.Set("announce", "listen", vm.announce)
		f.Set("admission", "policy", policies.Admission)
		f.Set("transport", "source_address", vm.source)
	}
	for _, p := range c.vms {
		section := "peer " + p.name
		f.Set(section, "address", p.peer)
		f.Set(section, "availability_zone", string(p.zone))
		f.Set(section, "roles", p.role)
	}
	return f.Text()
}

func (c *cluster) controlNames() []string {
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

// startTargets starts the leaves of all services.
func (c *cluster) startTargets(seed uint64) error {
	for i := range c.user.Groups {
		g := &c.user.Groups[i]
		for n := range g.Services {
			for leaf := range g.Leaves {
				seed++
				t, err := standin.Start(c.targetConfig(g, n, leaf, seed))
				if err != nil {
					return err
				}
				c.targets = append(c.targets, t)
			}
		}
	}
	return nil
}

func (c *cluster) targetConfig(g *ServiceGroup, service, leaf int, seed uint64) standin.Config {
	zone := c.zone(leaf)
	return standin.Config{
		Service: g.serviceName(service), ID: model.TargetID(fmt.Sprintf("leaf-%d", leaf+1)), AvailabilityZone: zone,
		AnnounceURLs: c.announceURLs(zone), LayoutShards: standin.EvenShards(g.Leaves), Shards: g.shardsOf(leaf),
		Slots: g.Slots, ConnectionLimit: g.Connections, ConnectTime: g.ConnectTime, ServiceTime: c.user.ServiceTime,
		NetworkPath: c.distanceFrom(zone), LoadLag: time.Second, BodyBytes: 512, Seed: seed,
	}
}

func (c *cluster) announceURLs(zone model.AvailabilityZone) []string {
	var out []string
	for _, vm := range c.vms {
		if vm.role == settings.RoleEntry && vm.zone == zone {
			out = append(out, "http://"+vm.announce+targetapi.PathAnnounce)
		}
	}
	return out
}

// distanceFrom returns the distance between an availability zone and the VMs.
func (c *cluster) distanceFrom(zone model.AvailabilityZone) func(ip string) (time.Duration, bool) {
	return func(ip string) (time.Duration, bool) {
		from, known := c.zoneOf[ip]
		if !known || from == zone {
			return 0, true
		}
		cut := c.cut.Load()
		return c.user.ZoneDelay, cut == nil || (*cut != from && *cut != zone)
	}
}

// bases lists the URLs at which callers reach the entry VMs.
func (c *cluster) bases() []string {
	var out []string
	for _, vm := range c.vms {
		if vm.role == settings.RoleEntry {
			out = append(out, "http://"+vm.callers)
		}
	}
	return out
}

// layout is the checker's knowledge of layouts.
func (c *cluster) layout(service model.ServiceName, n model.LayoutNumber) *model.Layout {
	for i := range c.user.Groups {
		g := &c.user.Groups[i]
		for j := range g.Services {
			if g.serviceName(j) == service && n == 1 {
				return &model.Layout{Service: service, Number: 1, Shards: standin.EvenShards(g.Leaves)}
			}
		}
	}
	return nil
}

// awaitReady waits until every entry VM is ready and answers one query of each loaded service in full.
func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	caller := NewCaller(c.layout)
	defer caller.Close()
	streams, _ := c.user.streams(1, 0)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	reason := "no answer"
	for _, base := range c.bases() {
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
					return errs.New(errs.KindUnavailable, "look at the logs in "+c.folder, "entry VM %s does not answer for %s in full after %s: %s", base, s.Service, readyLimit, reason)
				}
			}
		}
	}
	return nil
}

// stop stops everything and removes the folder.
func (c *cluster) stop() {
	for _, t := range c.targets {
		t.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := len(c.vms) - 1; i >= 0; i-- {
		if k := c.vms[i].kernel; k != nil {
			_ = k.Drain(ctx) // The figures are taken already.
			_ = k.Stop(ctx)  // The figures are taken already.
		}
	}
	_ = os.RemoveAll(c.folder) // The folder is temporary.
}
