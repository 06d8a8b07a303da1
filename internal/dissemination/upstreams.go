package dissemination

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

// upstream is a VM that this one subscribes to.
type upstream struct {
	primary bool
	// pending reports whether a call is in progress, subscribed whether the last one succeeded.
	pending     bool
	subscribed  bool
	lastContact time.Time
	// behindSince is when the upstream first confirmed a state that this VM lacks; zero if it lacks none.
	behindSince time.Time
}

func (n *Node) subscribe(to model.VMName, u *upstream, revision, digest uint64) {
	if u.pending {
		return
	}
	u.pending = true
	n.effects.Subscribes = append(n.effects.Subscribes, SubscribeCall{To: to, Subscribe: Subscribe{Revision: revision, Digest: digest, Primary: u.primary}})
}

// chooseUpstreams subscribes to the preferred upstreams of this VM and unsubscribes from the others. The most preferred
// one that responds becomes the primary.
func (n *Node) chooseUpstreams(now time.Time) {
	if n.config.Control && !n.config.Entry {
		return
	}
	want := n.wantedUpstreams(now)
	for vm := range n.upstreams {
		if !slices.Contains(want, vm) {
			delete(n.upstreams, vm)
			n.effects.Unsubscribes = append(n.effects.Unsubscribes, vm)
		}
	}
	primary := n.primaryOf(now, want)
	for _, vm := range want {
		u := n.upstreams[vm]
		if u == nil {
			u = &upstream{lastContact: now, primary: vm == primary}
			n.upstreams[vm] = u
			n.subscribe(vm, u, n.disseminated.Revision, n.disseminated.Digest())
			continue
		}
		if u.primary != (vm == primary) {
			u.primary = vm == primary
			n.subscribe(vm, u, n.disseminated.Revision, n.disseminated.Digest())
		}
	}
}

// primaryOf returns the most preferred upstream that responds, or the most preferred one if none does.
func (n *Node) primaryOf(now time.Time, want []model.VMName) model.VMName {
	for _, vm := range want {
		if u := n.upstreams[vm]; u == nil || now.Sub(u.lastContact) < 3*n.config.Interval {
			return vm
		}
	}
	if len(want) > 0 {
		return want[0]
	}
	return ""
}

// wantedUpstreams returns the upstreams of this VM in order of preference. Relays prefer control VMs, since two relays
// with each other as primary would both wait. Upstreams of the same kind are ordered by a hash with this VM's name,
// which spreads the load.
func (n *Node) wantedUpstreams(now time.Time) []model.VMName {
	relays, control := n.zoneRelays(n.config.Zone), n.controlVMs()
	var want []model.VMName
	add := func(vms []model.VMName, limit int) {
		for _, vm := range rendezvous.Top(string(n.config.Self), vms, limit) {
			if vm != n.config.Self && !slices.Contains(want, vm) {
				want = append(want, vm)
			}
		}
	}
	if n.config.Control || slices.Contains(relays, n.config.Self) {
		add(control, len(control))
		if len(control) == 0 {
			add(n.otherRelays(), len(n.peers))
		}
	}
	add(relays, len(relays))
	if n.controlContactAge(now) > StaleAfter {
		n.fallbackUntil = now.Add(fallbackTime)
	}
	if now.Before(n.fallbackUntil) {
		add(control, 1)
		add(n.otherRelays(), 1)
	}
	return want
}

func (n *Node) controlVMs() []model.VMName {
	var out []model.VMName
	for _, p := range n.peers {
		if p.Control {
			out = append(out, p.VM)
		}
	}
	return out
}

// zoneRelays returns the relays of a zone, chosen among the reachable VMs and this one.
func (n *Node) zoneRelays(zone model.AvailabilityZone) []model.VMName {
	var vms []model.VMName
	for _, p := range n.peers {
		if p.Zone == zone && p.Entry {
			vms = append(vms, p.VM)
		}
	}
	if zone == n.config.Zone && n.config.Entry {
		vms = append(vms, n.config.Self)
	}
	return rendezvous.Top("state "+string(zone), vms, RelaysPerZone)
}

// otherRelays returns the relays of all other zones.
func (n *Node) otherRelays() []model.VMName {
	seen := map[model.AvailabilityZone]bool{n.config.Zone: true}
	var out []model.VMName
	for _, p := range n.peers {
		if !seen[p.Zone] {
			seen[p.Zone] = true
			out = append(out, n.zoneRelays(p.Zone)...)
		}
	}
	return out
}
