// Package gossip implements the protocol by which VMs exchange the targets that announce themselves to them. It does no
// I/O: its input is messages and the time, its output is messages and changes of the listed targets.
//
// Each VM is the origin of a table of the targets that announce themselves to it. A change of a table is sent
// immediately: from the origin to the VMs of its availability zone and to one VM of each other zone, which forwards it
// in its zone. That VM is chosen by the origin's name, so that this work is spread over all VMs. A change that takes a
// target out of service is sent to two such VMs, so that one that has just failed does not delay it.
//
// Renewals of leases are not sent. Instead each origin reports the stamp of its table to the relays of its zone at a
// fixed interval, and each relay sends one vector of stamps: only the stamps that changed since its last vector, and a
// hash of the whole vector. In steady state a VM thus receives a message of constant size from each relay, regardless
// of the number of VMs and targets. A VM whose copy does not match pulls the vector or table from a VM that has it.
//
// A table is valid while reports or vectors confirm it. Without a confirmation its targets are no longer listed after
// Config.ExpireAfter, by the clock of the VM that holds the copy, so that targets of a zone that was cut off do not
// stay listed.
package gossip

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

// RelaysPerZone is the number of VMs of an availability zone that relay vectors. With two, losing one of them does not
// interrupt the exchange.
const RelaysPerZone = 2

const (
	// pullGrace is the time for which a missing change may still be in transit before the table is pulled.
	pullGrace = 300 * time.Millisecond
	// replicaRetention is how long an unconfirmed table is kept, so that it need not be pulled when its origin returns.
	replicaRetention = 10 * time.Minute
)

// Hop determines whether the receiver of a change forwards it.
type Hop uint8

// The hops of a change.
const (
	// HopZone means that the receiver forwards the change to the VMs of its zone.
	HopZone Hop = iota + 1
	// HopLast means that the receiver does not forward the change.
	HopLast
)

// Scope determines which origins a vector contains.
type Scope uint8

// The scopes of vectors.
const (
	// ScopeZone contains the origins of the sender's zone; relays send it to the relays of other zones.
	ScopeZone Scope = iota + 1
	// ScopeAll contains all origins; relays send it to the VMs of their zone.
	ScopeAll
)

// Changes is a message with a change of a table.
type Changes struct {
	Delta Delta
	Hop   Hop
}

// Report is the periodic message of an origin to the relays of its zone, with the stamp of its table.
type Report struct{ Stamp Stamp }

// VectorUpdate is a message with the changes of a vector since the last update of the same sender and scope.
type VectorUpdate struct {
	Scope   Scope
	Put     []Entry
	Removed []model.VMName
	// Hash is the hash of the whole vector after the update.
	Hash uint64
}

// Message is Changes, Report or VectorUpdate.
type Message interface{}

// Send is a one-way message to be sent.
type Send struct {
	To      model.VMName
	Message Message
}

// PullTable is a request to a VM for its copy of an origin's table.
type PullTable struct {
	From   model.VMName
	Origin model.VMName
}

// PullVector is a request to a VM for a whole vector.
type PullVector struct {
	From  model.VMName
	Scope Scope
}

// Listing is a change of the targets that an origin lists. Record is nil if the origin no longer lists the target.
type Listing struct {
	Origin model.VMName
	Key    model.TargetKey
	Record *model.Announcement
}

// Effects holds the actions that the owner of a Node has to carry out.
type Effects struct {
	Sends       []Send
	PullTables  []PullTable
	PullVectors []PullVector
	Listings    []Listing
}

// Config identifies a VM and sets the intervals.
type Config struct {
	Self        model.VMName
	Zone        model.AvailabilityZone
	Incarnation uint64
	// Interval is the time between two reports, and ExpireAfter the time after which the targets of an unconfirmed
	// table are no longer listed.
	Interval, ExpireAfter time.Duration
}

// Peer is a reachable VM.
type Peer struct {
	VM   model.VMName
	Zone model.AvailabilityZone
}

// replica is the copy of another origin's table.
type replica struct {
	table *Table
	// listed reports whether the targets of the table are listed. It is false after the origin was not confirmed in time.
	listed bool
	// confirmedAt is when a report, vector, change or pulled table last confirmed the origin.
	confirmedAt time.Time
}

// source holds the stamps that another VM sent in a report or in vectors.
type source struct {
	vector      *Vector
	lastContact time.Time
}

// pendingPull is a stamp that the copy of a table has not reached yet.
type pendingPull struct {
	stamp    Stamp
	since    time.Time
	attempts int
}

// Node is the state of one VM. It is owned by one goroutine.
type Node struct {
	config   Config
	ownTable *Table
	pending  Delta
	peers    []Peer
	// zonePeers holds the peers in this VM's zone, ownRelays the relays of this zone, which may include this VM, and
	// remoteRelays the relays of all other zones.
	zonePeers    []model.VMName
	ownRelays    []model.VMName
	remoteRelays []model.VMName
	// zoneForwarders holds, for each other zone, the two VMs that forward this VM's changes there.
	zoneForwarders [][]model.VMName
	replicas       map[model.VMName]*replica
	// reports holds the stamps of the origins that report to this VM as their relay, remoteVectors the vectors from the
	// relays of other zones, and zoneVectors those from the relays of this zone.
	reports       map[model.VMName]*source
	remoteVectors map[model.VMName]*source
	zoneVectors   map[model.VMName]*source
	pendingPulls  map[model.VMName]*pendingPull
	// forwarded holds, for each origin, the newest change that this VM has forwarded.
	forwarded map[model.VMName]Stamp
	lastSent  map[Scope]*Vector
	lastTick  time.Time
	stalled   bool
	effects   Effects
}

// NewNode returns the state of a VM that has no peers and no tables of other VMs.
func NewNode(c Config) *Node {
	n := &Node{
		config: c, ownTable: newTable(c.Incarnation), replicas: map[model.VMName]*replica{},
		reports: map[model.VMName]*source{}, remoteVectors: map[model.VMName]*source{}, zoneVectors: map[model.VMName]*source{},
		pendingPulls: map[model.VMName]*pendingPull{}, forwarded: map[model.VMName]Stamp{},
		lastSent: map[Scope]*Vector{ScopeZone: newVector(), ScopeAll: newVector()},
	}
	n.chooseRelays()
	return n
}

// TakeEffects returns the pending effects and clears them.
func (n *Node) TakeEffects() Effects {
	e := n.effects
	n.effects = Effects{}
	return e
}

// TakeSends returns only the pending messages and clears them.
func (n *Node) TakeSends() []Send {
	s := n.effects.Sends
	n.effects.Sends = nil
	return s
}

// SetPeers replaces the reachable VMs.
func (n *Node) SetPeers(peers []Peer) {
	if slices.Equal(n.peers, peers) {
		return
	}
	n.peers = slices.Clone(peers)
	n.chooseRelays()
}

// chooseRelays determines the relays and forwarders of all zones. It runs only when the peers change, since every
// change of a target is sent to these VMs.
func (n *Node) chooseRelays() {
	zones := map[model.AvailabilityZone][]model.VMName{n.config.Zone: {n.config.Self}}
	n.zonePeers = nil
	for _, p := range n.peers {
		zones[p.Zone] = append(zones[p.Zone], p.VM)
		if p.Zone == n.config.Zone {
			n.zonePeers = append(n.zonePeers, p.VM)
		}
	}
	n.remoteRelays, n.zoneForwarders = nil, nil
	for zone, vms := range zones {
		relays := rendezvous.Top(string(zone), vms, RelaysPerZone)
		if zone == n.config.Zone {
			n.ownRelays = relays
			continue
		}
		n.remoteRelays = append(n.remoteRelays, relays...)
		n.zoneForwarders = append(n.zoneForwarders, rendezvous.Top(string(n.config.Self), vms, 2))
	}
}

// Put stores an announcement that this VM received from the target itself, and reports whether it changed the table.
// The next Flush sends the change.
func (n *Node) Put(a *model.Announcement) (changed bool) {
	if old := n.ownTable.records[a.Key()]; old != nil && sameRecord(old, a) {
		return false
	}
	r := recordOf(a)
	n.ownTable.set(r)
	n.pending.Removed = slices.DeleteFunc(n.pending.Removed, func(k model.TargetKey) bool { return k == r.Key() })
	n.dropPendingPut(r.Key())
	n.pending.Put = append(n.pending.Put, r)
	return true
}

// Remove removes a target whose lease at this VM expired, and reports whether the table contained it.
func (n *Node) Remove(k model.TargetKey) (changed bool) {
	if !n.ownTable.unset(k) {
		return false
	}
	n.dropPendingPut(k)
	n.pending.Removed = append(n.pending.Removed, k)
	return true
}

func (n *Node) dropPendingPut(k model.TargetKey) {
	n.pending.Put = slices.DeleteFunc(n.pending.Put, func(r *model.Announcement) bool { return r.Key() == k })
}

// Flush sends the changes of this VM's own table to other VMs.
func (n *Node) Flush() {
	if len(n.pending.Put) == 0 && len(n.pending.Removed) == 0 {
		return
	}
	d := n.pending
	n.pending = Delta{}
	d.Origin, d.Incarnation, d.From = n.config.Self, n.config.Incarnation, n.ownTable.stamp.Version
	n.ownTable.stamp.Version++
	d.To, d.Digest = n.ownTable.stamp.Version, n.ownTable.stamp.Digest
	n.sendToZone(d)
	perZone := 1
	if urgent(d) {
		perZone = 2
	}
	for _, vms := range n.zoneForwarders {
		for _, vm := range vms[:min(perZone, len(vms))] {
			n.send(vm, Changes{Delta: d, Hop: HopZone})
		}
	}
}

// urgent reports whether a change contains a target that accepts no more work. An expired lease is not urgent: its
// target has sent no announcement for longer than it takes to repair a lost change.
func urgent(d Delta) bool {
	return slices.ContainsFunc(d.Put, func(r *model.Announcement) bool { return !r.State.AcceptsWork() })
}

// sendToZone sends a change to all VMs of this zone except its origin.
func (n *Node) sendToZone(d Delta) {
	for _, vm := range n.zonePeers {
		if vm != d.Origin {
			n.send(vm, Changes{Delta: d, Hop: HopLast})
		}
	}
}

func (n *Node) send(to model.VMName, m Message) {
	n.effects.Sends = append(n.effects.Sends, Send{To: to, Message: m})
}

// Stamp returns the stamp of this VM's own table.
func (n *Node) Stamp() Stamp { return n.ownTable.stamp }

// Table returns this VM's copy of the table of an origin, or nil.
func (n *Node) Table(origin model.VMName) (*Table, Stamp) {
	if origin == n.config.Self {
		return n.ownTable, n.ownTable.stamp
	}
	if r := n.replicas[origin]; r != nil {
		return r.table, r.table.stamp
	}
	return nil, Stamp{}
}

// Entries returns the vector that this VM sent last for a scope.
func (n *Node) Entries(s Scope) []Entry {
	v := n.lastSent[s]
	if v == nil {
		return nil
	}
	out := make([]Entry, 0, len(v.entries))
	for vm, stamp := range v.entries {
		out = append(out, Entry{vm, stamp})
	}
	return out
}
