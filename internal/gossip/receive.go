package gossip

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// HandleMessage handles a message of another VM.
func (n *Node) HandleMessage(now time.Time, from model.VMName, m Message) {
	switch m := m.(type) {
	case Changes:
		n.receiveChanges(now, m)
	case Report:
		n.receiveReport(now, from, m)
	case VectorUpdate:
		n.receiveVector(now, from, m)
	}
}

func (n *Node) receiveChanges(now time.Time, m Changes) {
	d := m.Delta
	if d.Origin == n.config.Self {
		return
	}
	n.forwardInZone(m)
	r := n.replicas[d.Origin]
	if r == nil || r.table.stamp.Incarnation < d.Incarnation {
		r = n.resetReplica(now, d.Origin, d.Incarnation)
	}
	current := r.table.stamp
	if d.Incarnation < current.Incarnation || d.To <= current.Version {
		return
	}
	n.markConfirmed(now, d.Origin, r)
	for _, rec := range d.Put {
		r.table.set(rec)
		n.list(d.Origin, rec)
	}
	if d.From != current.Version {
		// The new records apply immediately, since one of them may be of a leaving target. The missing changes are
		// pulled.
		n.schedulePull(now, d.Origin, Stamp{d.Incarnation, d.To, d.Digest})
		return
	}
	for _, k := range d.Removed {
		if r.table.unset(k) {
			n.unlist(d.Origin, k)
		}
	}
	r.table.stamp.Version = d.To
	n.checkStamp(now, d.Origin, Stamp{d.Incarnation, d.To, d.Digest})
}

// forwardInZone forwards a change to this VM's zone, once, even if the change has already arrived by another path: that
// path may have missed VMs that only this one reaches.
func (n *Node) forwardInZone(m Changes) {
	if m.Hop != HopZone {
		return
	}
	s := Stamp{Incarnation: m.Delta.Incarnation, Version: m.Delta.To}
	if !n.forwarded[m.Delta.Origin].Older(s) {
		return
	}
	n.forwarded[m.Delta.Origin] = s
	n.sendToZone(m.Delta)
}

// resetReplica starts an empty copy for a new incarnation of an origin.
func (n *Node) resetReplica(now time.Time, origin model.VMName, incarnation uint64) *replica {
	if old := n.replicas[origin]; old != nil && old.listed {
		n.unlistAll(origin, old)
	}
	r := &replica{table: newTable(incarnation), listed: true, confirmedAt: now}
	n.replicas[origin] = r
	delete(n.pendingPulls, origin)
	return r
}

func (n *Node) receiveReport(now time.Time, from model.VMName, m Report) {
	s := n.reports[from]
	if s == nil {
		s = &source{vector: newVector()}
		n.reports[from] = s
	}
	s.lastContact = now
	s.vector.set(from, m.Stamp)
	n.confirm(now, from, m.Stamp)
}

func (n *Node) receiveVector(now time.Time, from model.VMName, m VectorUpdate) {
	sources := n.sourcesOf(m.Scope)
	if sources == nil {
		return
	}
	s := sources[from]
	if s == nil {
		s = &source{vector: newVector()}
		sources[from] = s
	}
	s.lastContact = now
	for _, vm := range m.Removed {
		s.vector.unset(vm)
		n.unconfirm(vm)
	}
	for _, e := range m.Put {
		s.vector.set(e.Origin, e.Stamp)
		n.confirm(now, e.Origin, e.Stamp)
	}
	if s.vector.hash != m.Hash {
		n.effects.PullVectors = append(n.effects.PullVectors, PullVector{From: from, Scope: m.Scope})
	}
}

func (n *Node) sourcesOf(s Scope) map[model.VMName]*source {
	switch s {
	case ScopeZone:
		return n.remoteVectors
	case ScopeAll:
		return n.zoneVectors
	}
	return nil
}

// HandleVector handles a whole vector that was pulled.
func (n *Node) HandleVector(now time.Time, from model.VMName, scope Scope, entries []Entry) {
	s := n.sourcesOf(scope)[from]
	if s == nil {
		return
	}
	s.vector = newVector()
	for _, e := range entries {
		s.vector.set(e.Origin, e.Stamp)
		n.confirm(now, e.Origin, e.Stamp)
	}
}

// HandleTable handles a whole table that was pulled. A table that is older than this VM's copy changes nothing.
func (n *Node) HandleTable(now time.Time, origin model.VMName, stamp Stamp, records []*model.Announcement) {
	if origin == n.config.Self {
		return
	}
	r := n.replicas[origin]
	if r != nil && stamp.Older(r.table.stamp) {
		return
	}
	if r == nil || r.table.stamp.Incarnation < stamp.Incarnation {
		r = n.resetReplica(now, origin, stamp.Incarnation)
	}
	keep := make(map[model.TargetKey]bool, len(records))
	for _, rec := range records {
		keep[rec.Key()] = true
		r.table.set(rec)
		n.list(origin, rec)
	}
	for k := range r.table.records {
		if !keep[k] {
			r.table.unset(k)
			n.unlist(origin, k)
		}
	}
	r.listed, r.confirmedAt = true, now
	r.table.stamp.Version = stamp.Version
	n.checkStamp(now, origin, stamp)
}

// confirm records that an origin is alive and has a table with the stamp.
func (n *Node) confirm(now time.Time, origin model.VMName, s Stamp) {
	if origin == n.config.Self {
		return
	}
	r := n.replicas[origin]
	if r == nil || r.table.stamp.Incarnation < s.Incarnation {
		r = n.resetReplica(now, origin, s.Incarnation)
	}
	if r.table.stamp.Incarnation == s.Incarnation {
		n.markConfirmed(now, origin, r)
	}
	n.checkStamp(now, origin, s)
}

// unconfirm ends the listing of an origin that no report or vector contains any more. The VM that removed it from its
// vector has already waited for Config.ExpireAfter, so this one need not wait again.
func (n *Node) unconfirm(origin model.VMName) {
	r := n.replicas[origin]
	if r == nil || !r.listed || n.hasSource(origin) {
		return
	}
	n.unlistAll(origin, r)
	delete(n.pendingPulls, origin)
}

// hasSource reports whether a report or vector contains the origin.
func (n *Node) hasSource(origin model.VMName) bool {
	for _, sources := range []map[model.VMName]*source{n.reports, n.remoteVectors, n.zoneVectors} {
		for _, s := range sources {
			if _, ok := s.vector.entries[origin]; ok {
				return true
			}
		}
	}
	return false
}

// markConfirmed records a confirmation. If the records of the copy were no longer listed, they are listed again.
func (n *Node) markConfirmed(now time.Time, origin model.VMName, r *replica) {
	r.confirmedAt = now
	if r.listed {
		return
	}
	r.listed = true
	for _, rec := range r.table.records {
		n.list(origin, rec)
	}
}

// checkStamp compares the copy of a table with a stamp, and schedules a pull if the copy is behind or differs. The pull
// stays pending until the copy has reached the stamp, because a pulled table may itself be a copy that is behind.
func (n *Node) checkStamp(now time.Time, origin model.VMName, s Stamp) {
	current := n.replicas[origin].table.stamp
	if current != s && !s.Older(current) {
		n.schedulePull(now, origin, s)
		return
	}
	if p := n.pendingPulls[origin]; p != nil && (p.stamp == current || p.stamp.Older(current)) {
		delete(n.pendingPulls, origin)
	}
}

func (n *Node) schedulePull(now time.Time, origin model.VMName, s Stamp) {
	p := n.pendingPulls[origin]
	if p != nil && s.Older(p.stamp) {
		return
	}
	if p == nil {
		p = &pendingPull{since: now}
		n.pendingPulls[origin] = p
		if len(n.replicas[origin].table.records) == 0 {
			// Without any record of the origin there is no change in transit worth waiting for.
			n.pull(origin, p)
		}
	}
	p.stamp = s
}

// pull requests the table from one of the VMs that have it, a different one with each attempt.
func (n *Node) pull(origin model.VMName, p *pendingPull) {
	holders := n.holders(origin)
	if len(holders) == 0 {
		return
	}
	from := holders[p.attempts%len(holders)]
	p.attempts++
	n.effects.PullTables = append(n.effects.PullTables, PullTable{From: from, Origin: origin})
}

// holders returns the VMs that may have the origin's table: the origin itself first, if it is reachable, then the VMs
// whose reports or vectors contain it.
func (n *Node) holders(origin model.VMName) []model.VMName {
	var out []model.VMName
	for _, sources := range []map[model.VMName]*source{n.reports, n.zoneVectors, n.remoteVectors} {
		for vm, s := range sources {
			if _, ok := s.vector.entries[origin]; ok {
				out = append(out, vm)
			}
		}
	}
	slices.Sort(out)
	if n.reachable(origin) {
		out = append([]model.VMName{origin}, out...)
	}
	return slices.Compact(out)
}

func (n *Node) reachable(vm model.VMName) bool {
	return slices.ContainsFunc(n.peers, func(p Peer) bool { return p.VM == vm })
}

func (n *Node) list(origin model.VMName, r *model.Announcement) {
	n.effects.Listings = append(n.effects.Listings, Listing{Origin: origin, Key: r.Key(), Record: r})
}

func (n *Node) unlist(origin model.VMName, k model.TargetKey) {
	n.effects.Listings = append(n.effects.Listings, Listing{Origin: origin, Key: k})
}

func (n *Node) unlistAll(origin model.VMName, r *replica) {
	r.listed = false
	for k := range r.table.records {
		n.unlist(origin, k)
	}
}
