package gossip

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Tick sends the periodic report and vectors, expires unconfirmed tables and pulls missing ones. It has to be called
// once per Config.Interval.
func (n *Node) Tick(now time.Time) {
	// After a stall of this process, confirmations may still be waiting in its queue, so nothing expires for one
	// interval, but not for a second one in a row.
	n.stalled = !n.stalled && !n.lastTick.IsZero() && now.Sub(n.lastTick) > 2*n.config.Interval
	n.lastTick = now
	if !n.stalled {
		n.expireSources(now)
		n.confirmFromVectors(now)
		n.expireReplicas(now)
	}
	isRelay := slices.Contains(n.ownRelays, n.config.Self)
	if len(n.ownTable.records) > 0 {
		for _, vm := range n.ownRelays {
			if vm != n.config.Self {
				n.send(vm, Report{Stamp: n.ownTable.stamp})
			}
		}
	}
	if isRelay || len(n.reports) > 0 || len(n.remoteVectors) > 0 {
		n.sendVectors()
	}
	n.pullOverdue(now)
}

// expireSources removes reports and vectors that were not renewed.
func (n *Node) expireSources(now time.Time) {
	for _, sources := range []map[model.VMName]*source{n.reports, n.remoteVectors, n.zoneVectors} {
		for vm, s := range sources {
			if now.Sub(s.lastContact) >= n.config.ExpireAfter {
				delete(sources, vm)
			}
		}
	}
}

// confirmFromVectors confirms the origins that the remaining reports and vectors contain. Each message confirms the
// whole vector of its sender, because updates omit the entries that have not changed.
func (n *Node) confirmFromVectors(now time.Time) {
	for _, sources := range []map[model.VMName]*source{n.reports, n.remoteVectors, n.zoneVectors} {
		for _, s := range sources {
			for origin, stamp := range s.vector.entries {
				r := n.replicas[origin]
				if r == nil || r.table.stamp.Incarnation != stamp.Incarnation {
					continue
				}
				if !r.listed {
					n.markConfirmed(now, origin, r)
				}
				if s.lastContact.After(r.confirmedAt) {
					r.confirmedAt = s.lastContact
				}
				n.checkStamp(now, origin, stamp)
			}
		}
	}
}

// expireReplicas ends the listing of the targets of tables that were not confirmed in time, and removes tables after
// replicaRetention.
func (n *Node) expireReplicas(now time.Time) {
	for origin, r := range n.replicas {
		age := now.Sub(r.confirmedAt)
		if r.listed && age >= n.config.ExpireAfter {
			n.unlistAll(origin, r)
			delete(n.pendingPulls, origin)
		}
		if age >= replicaRetention {
			delete(n.replicas, origin)
			delete(n.forwarded, origin)
		}
	}
}

// sendVectors sends the changes of the two vectors of a relay. Vectors of this zone's relays are not included, since a
// stamp that relays confirm to each other would never expire.
func (n *Node) sendVectors() {
	zone, all := newVector(), newVector()
	if len(n.ownTable.records) > 0 {
		zone.set(n.config.Self, n.ownTable.stamp)
		all.set(n.config.Self, n.ownTable.stamp)
	}
	for origin, s := range n.reports {
		for _, stamp := range s.vector.entries {
			zone.set(origin, stamp)
			all.set(origin, stamp)
		}
	}
	for _, s := range n.remoteVectors {
		for origin, stamp := range s.vector.entries {
			if old, ok := all.entries[origin]; !ok || old.Older(stamp) {
				all.set(origin, stamp)
			}
		}
	}
	n.sendVector(ScopeAll, all, n.zonePeers)
	n.sendVector(ScopeZone, zone, n.remoteRelays)
}

func (n *Node) sendVector(scope Scope, next *Vector, to []model.VMName) {
	last := n.lastSent[scope]
	n.lastSent[scope] = next
	if len(next.entries) == 0 && len(last.entries) == 0 {
		return
	}
	u := VectorUpdate{Scope: scope, Hash: next.hash}
	for vm, stamp := range next.entries {
		if old, ok := last.entries[vm]; !ok || old != stamp {
			u.Put = append(u.Put, Entry{vm, stamp})
		}
	}
	for vm := range last.entries {
		if _, ok := next.entries[vm]; !ok {
			u.Removed = append(u.Removed, vm)
		}
	}
	for _, vm := range to {
		n.send(vm, u)
	}
}

// pullOverdue pulls the tables whose pullGrace has passed.
func (n *Node) pullOverdue(now time.Time) {
	for origin, p := range n.pendingPulls {
		if now.Sub(p.since) >= pullGrace {
			n.pull(origin, p)
		}
	}
}
