package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

const (
	// ownersKey is the key by which the owners of allowances are chosen among the entry VMs of a zone.
	ownersKey = "allowance owners"
	// minOwners and maxOwners limit the owners of a zone, and entryVMsPerOwner is the number of entry VMs for each between them.
	minOwners        = 3
	maxOwners        = 64
	entryVMsPerOwner = 16
	// ownersInterval is the shortest time between two changes of the owners that watching VMs are notified of. While many entry VMs
	// start, each would otherwise change the list.
	ownersInterval = time.Second
	// maxOwnerZones limits the zones that are read from an answer.
	maxOwnerZones = 256
)

// ownerLists holds the owners of allowances by availability zone.
type ownerLists map[model.AvailabilityZone][]model.VMName

// allowanceOwners is the part of the control state about the owners of allowances.
type allowanceOwners struct {
	// zones holds the zone of each entry VM that states it in its watch requests. It is used on control VMs only.
	zones map[model.VMName]model.AvailabilityZone
	// lists holds the owners that were chosen or, on entry VMs, received. digest is 0 while there are none.
	lists  ownerLists
	digest uint64
	// received is the digest that an entry VM received last. The goroutines that watch control VMs read it.
	received atomic.Uint64
	// chosenAt is when the lists last changed.
	chosenAt time.Time
	// newZoneAt is when an entry VM last stated its zone for the first time.
	newZoneAt time.Time
	// provisional reports that this control VM has just started: its lists are old ones, or lack VMs that have not connected to it yet.
	// They are sent to VMs without any.
	provisional bool
}

// noteZone records the zone of an entry VM that has sent a watch request.
func (a *allowanceOwners) noteZone(now time.Time, vm model.VMName, zone string) {
	if zone == "" {
		return
	}
	if _, ok := a.zones[vm]; !ok {
		a.newZoneAt = now
	}
	if a.zones == nil {
		a.zones = map[model.VMName]model.AvailabilityZone{}
	}
	a.zones[vm] = model.AvailabilityZone(zone)
}

// choose chooses the owners among the entry VMs of each zone, and reports whether they have changed.
func (a *allowanceOwners) choose(now time.Time) bool {
	if len(a.zones) == 0 || now.Sub(a.chosenAt) < ownersInterval {
		return false
	}
	byZone := ownerLists{}
	for vm, zone := range a.zones {
		byZone[zone] = append(byZone[zone], vm)
	}
	for zone, vms := range byZone {
		byZone[zone] = rendezvous.Top(ownersKey, vms, min(max(len(vms)/entryVMsPerOwner, minOwners), maxOwners))
	}
	digest := byZone.digest()
	if digest == a.digest {
		return false
	}
	a.lists, a.digest, a.chosenAt = byZone, digest, now
	return true
}

// digest returns a hash of the lists that is never 0.
func (l ownerLists) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, zone := range slices.Sorted(maps.Keys(l)) {
		_, _ = d.WriteString(string(zone)) // Writing to a hash never fails.
		for _, vm := range l[zone] {
			_, _ = d.WriteString("\x00" + string(vm)) // Writing to a hash never fails.
		}
		_, _ = d.WriteString("\x01") // Writing to a hash never fails.
	}
	return cmp.Or(d.Sum64(), 1)
}

// knowsZones reports whether the zones of all entry VMs that watch a control VM that has just started are known, and no VM has been added
// for a while, as after the first start of all VMs.
func (m *Module) knowsZones(now time.Time) bool {
	return len(m.owners.zones) > 0 && len(m.owners.zones) == len(m.entryLastWatch) && now.Sub(m.owners.newZoneAt) >= ownersInterval
}

// updateOwners chooses the owners on a control VM. One that has just started waits until the entry VMs have connected, and entry VMs
// keep to the owners that they have.
func (m *Module) updateOwners(now time.Time) {
	for vm := range m.owners.zones {
		if _, ok := m.entryLastWatch[vm]; !ok {
			delete(m.owners.zones, vm)
		}
	}
	starting := now.Sub(m.started) <= entryCountDelay
	if starting && (m.owners.digest != 0 || !m.knowsZones(now)) {
		return
	}
	confirmed := m.owners.provisional && !starting
	m.owners.provisional = starting
	if !m.owners.choose(now) {
		if confirmed {
			m.notifyWatchers()
		}
		return
	}
	total := 0
	for _, vms := range m.owners.lists {
		total += len(vms)
	}
	_ = level.Info(m.logger).Log("msg", "owners of allowances chosen", "zones", len(m.owners.lists), "owners", total, "entry_vms", len(m.owners.zones))
	m.notifyWatchers()
}

// restoreOwners puts the owners from before a restart into force, so that entry VMs have them at once after a restart of all VMs.
func (m *Module) restoreOwners(stored ownerLists) {
	if len(stored) > 0 {
		m.owners.lists, m.owners.digest, m.owners.provisional = stored, stored.digest(), true
	}
}

// newOwners reports whether a VM that requests the owners has other ones than this control VM.
func (m *Module) newOwners(req *membershippb.WatchRequest) bool {
	digest := req.GetOwnersDigest()
	if m.owners.provisional && digest != 0 {
		return false
	}
	return req.GetAvailabilityZone() != "" && digest != anyOwners && m.owners.digest != 0 && digest != m.owners.digest
}

func (l ownerLists) toProto(digest uint64) *membershippb.AllowanceOwners {
	out := &membershippb.AllowanceOwners{Digest: digest}
	for _, zone := range slices.Sorted(maps.Keys(l)) {
		z := &membershippb.ZoneOwners{AvailabilityZone: string(zone)}
		for _, vm := range l[zone] {
			z.EntryVms = append(z.EntryVms, string(vm))
		}
		out.Zones = append(out.Zones, z)
	}
	return out
}

// ownersFromProto leaves out what exceeds the number of owners that a control VM chooses.
func ownersFromProto(in *membershippb.AllowanceOwners) ownerLists {
	if in == nil {
		return nil
	}
	out := ownerLists{}
	for _, z := range in.GetZones()[:min(len(in.GetZones()), maxOwnerZones)] {
		var vms []model.VMName
		for _, vm := range z.GetEntryVms()[:min(len(z.GetEntryVms()), maxOwners)] {
			vms = append(vms, model.VMName(vm))
		}
		out[model.AvailabilityZone(z.GetAvailabilityZone())] = vms
	}
	return out
}

// applyOwners puts the owners that the primary control VM has sent into force on an entry VM.
func (m *Module) applyOwners(from model.VMName, lists ownerLists, digest uint64) {
	if lists == nil || digest == m.owners.digest || m.primaryControlVM() != from {
		return
	}
	m.owners.lists, m.owners.digest = lists, digest
	m.owners.received.Store(digest)
	_ = level.Info(m.logger).Log("msg", "owners of allowances received", "from", from, "zones", len(lists))
	m.control.MarkDirty()
}

// requestOwners adds to a watch request the zone of this VM, and which owners it has if it needs them. Only the primary control VM is asked.
// The zone is stated although nothing is limited yet: light watch requests are held for seconds, and control VMs that learn the zones then
// would choose different owners when the first limit comes into force.
func (m *Module) requestOwners(vm model.VMName, req *membershippb.WatchRequest) {
	req.AvailabilityZone, req.OwnersDigest = "", 0
	if m.isControl || len(m.settings.ZoneRegions) == 0 {
		return
	}
	req.AvailabilityZone, req.OwnersDigest = string(m.zone), anyOwners
	if m.primaryControlVM() == vm && m.control.View().NeedsAllowances(m.settings) {
		req.OwnersDigest = m.owners.received.Load()
	}
}

// anyOwners is stated as the digest by a VM that does not want the owners from this control VM.
const anyOwners = ^uint64(0)

func (m *Module) contributeOwners(v *kernel.View) {
	if !m.isControl {
		v.AllowanceOwners = m.owners.lists
	}
}
