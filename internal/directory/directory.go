// Package directory decides which targets are members: it keeps their leases, checks announcements against each
// other and against the committed layouts, and lists the holders of each snapshot and shard. It does no I/O and reads
// no clock: the caller passes the time and carries out the effects.
package directory

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Limits of the directory.
const (
	// MaxIndexVersions limits the index versions of one target. The holders of every version are listed, so
	// an unbounded number would multiply the size of the view.
	MaxIndexVersions = 16
	// tombstoneRetention is how long the incarnation and sequence number of an expired lease are kept. It exceeds the
	// longest lease, so that an announcement that was delayed in transit cannot bring an expired target back.
	tombstoneRetention = 10 * time.Minute
	// reportedStateHold is how long a state that a reply carried takes precedence over announcements that accept work.
	// It exceeds the time for which an announcement that was sent before the reply can still be in transit.
	reportedStateHold = 2 * time.Second
)

// ReplicatedState is the part of the replicated state that announcements are checked against.
type ReplicatedState struct {
	// Configured reports whether this VM has a configuration. Without one every service is accepted.
	Configured bool
	// Site is the part of the configuration for this VM, or nil.
	Site *model.SiteConfig
	// Layouts holds the committed layouts.
	Layouts map[model.ServiceName]map[model.LayoutNumber]*model.Layout
}

func (r *ReplicatedState) layout(s model.ServiceName, n model.LayoutNumber) *model.Layout {
	return r.Layouts[s][n]
}

// ChangeKind classifies the effect of an event on a lease.
type ChangeKind string

// The kinds of changes.
const (
	// ChangeAdded means that the target had no live lease before.
	ChangeAdded ChangeKind = "added"
	// ChangeRestarted means that the target came back with a higher incarnation.
	ChangeRestarted ChangeKind = "restarted"
	// ChangeState means that the state of the target changed.
	ChangeState ChangeKind = "state"
	// ChangeHoldings means that its shards, layout, index versions, address or limits changed.
	ChangeHoldings ChangeKind = "holdings"
	// ChangeRenewed means that the lease was renewed, and only the lease and the reported load changed.
	ChangeRenewed ChangeKind = "renewed"
	// ChangeExpired means that the lease expired without renewal.
	ChangeExpired ChangeKind = "lapsed"
	// ChangeListedElsewhere means that the lease at this VM expired, but the target stays because other VMs list it.
	ChangeListedElsewhere ChangeKind = "unheard"
	// ChangeNone means that the announcement was applied before, or that the listing contains nothing new.
	ChangeNone ChangeKind = "none"
)

// Change is the effect of an event on the lease of one target.
type Change struct {
	Kind   ChangeKind
	Target *model.Target
	// Previous is the state before the change.
	Previous model.TargetState
}

// AffectsRouting reports whether requests are routed differently because of the change.
func (c Change) AffectsRouting() bool {
	return c.Kind != ChangeRenewed && c.Kind != ChangeNone && c.Kind != ChangeListedElsewhere
}

// Urgent reports whether the target stops accepting work with this change.
func (c Change) Urgent() bool {
	return c.AffectsRouting() && (c.Kind == ChangeExpired || !c.Target.State.AcceptsWork())
}

// lease makes one target a member. It is live while the target renews it at this VM or another VM lists the target.
type lease struct {
	target *model.Target
	// announced is the state of the newest announcement; target.State may be a later one from a reply.
	announced model.TargetState
	// expires is when the lease at this VM expires; zero if the target does not renew a lease here.
	expires time.Time
	// listedBy holds the VMs that list the target.
	listedBy []model.VMName
	// reportedState is the state that a reply carried, empty without one, and reportedAt when it was received.
	reportedState model.TargetState
	reportedAt    time.Time
	// heapIndex is the index of the lease in the heap of expiry times, negative if it is not in the heap.
	heapIndex int
	// checkAt is the time by which the heap orders the lease. Renewals do not change it, so that they need no heap
	// operation; Expire moves the lease once this time is reached.
	checkAt time.Time
}

// tombstone keeps the last state of a target after its lease expired, so that older announcements are refused.
type tombstone struct {
	last    *model.Target
	expires time.Time
}

// queuedTombstone is an entry of the queue of tombstones, which is in the order of their removal.
type queuedTombstone struct {
	key      model.TargetKey
	removeAt time.Time
}

// Directory holds the leases of targets. It is owned by one goroutine.
type Directory struct {
	maxTargets     int
	leases         map[model.TargetKey]*lease
	expiryQueue    expiryHeap
	addresses      map[string]model.TargetKey
	tombstones     map[model.TargetKey]tombstone
	tombstoneQueue []queuedTombstone
	proposals      map[LayoutKey]*Proposal
	index          index
}

// New returns an empty directory that holds at most maxTargets leases.
func New(maxTargets int) *Directory {
	return &Directory{
		maxTargets: maxTargets, leases: map[model.TargetKey]*lease{}, addresses: map[string]model.TargetKey{},
		tombstones: map[model.TargetKey]tombstone{}, proposals: map[LayoutKey]*Proposal{}, index: newIndex(),
	}
}

// Len returns the number of live leases.
func (d *Directory) Len() int { return len(d.leases) }

// Target returns the target with a live lease, or nil.
func (d *Directory) Target(k model.TargetKey) *model.Target {
	if l := d.leases[k]; l != nil {
		return l.target
	}
	return nil
}

// Apply applies an announcement that this VM received from the target itself. If it refuses the announcement, it
// returns a typed error and changes nothing.
func (d *Directory) Apply(now time.Time, a *model.Announcement, r ReplicatedState) (Change, error) {
	l := d.leases[a.Key()]
	if err := d.check(now, l, a, r); err != nil {
		return Change{}, err
	}
	if l == nil {
		l = d.add(now, a)
		d.setExpiry(l, now.Add(a.Lease))
		return Change{Kind: ChangeAdded, Target: l.target}, nil
	}
	if l.expires.IsZero() || newer(a, l.target) {
		// A repeated announcement does not extend the lease, because it may have been sent long ago.
		d.setExpiry(l, now.Add(a.Lease))
	}
	return d.update(now, l, a), nil
}

// ApplyListing applies the record that another VM lists for a target that announced itself there. Incarnations and
// sequence numbers are ordered across VMs, so an older listing never overrides a newer record.
func (d *Directory) ApplyListing(now time.Time, from model.VMName, a *model.Announcement) (Change, error) {
	l := d.leases[a.Key()]
	if l == nil {
		if err := d.checkListing(now, a); err != nil {
			return Change{}, err
		}
		if newest := d.newestTarget(now, nil, a.Key()); newest != nil && !newer(a, newest) {
			// The record of the other VM dates from the target's last change and lacks later renewals.
			a = withoutLayoutShards(a)
			a.Sequence = newest.Sequence
		}
		l = d.add(now, a)
		l.listedBy = append(l.listedBy, from)
		return Change{Kind: ChangeAdded, Target: l.target}, nil
	}
	if !slices.Contains(l.listedBy, from) {
		l.listedBy = append(l.listedBy, from)
	}
	return d.update(now, l, a), nil
}

// RemoveListing records that another VM no longer lists a target, and removes the target if nothing else keeps it.
func (d *Directory) RemoveListing(now time.Time, from model.VMName, k model.TargetKey) Change {
	l := d.leases[k]
	if l == nil {
		return Change{Kind: ChangeNone}
	}
	l.listedBy = slices.DeleteFunc(l.listedBy, func(vm model.VMName) bool { return vm == from })
	if len(l.listedBy) > 0 || !l.expires.IsZero() {
		return Change{Kind: ChangeNone, Target: l.target, Previous: l.target.State}
	}
	return d.remove(now, l)
}

func (d *Directory) add(now time.Time, a *model.Announcement) *lease {
	l := &lease{target: &model.Target{Announcement: *withoutLayoutShards(a)}, announced: a.State, heapIndex: -1}
	if a.State == model.TargetServing {
		l.target.ServingSince = now
	}
	d.leases[a.Key()] = l
	delete(d.tombstones, a.Key())
	d.registerAddress(a)
	d.index.add(l)
	return l
}

// setExpiry sets when the lease at this VM expires.
func (d *Directory) setExpiry(l *lease, expires time.Time) {
	l.expires = expires
	switch {
	case l.heapIndex < 0:
		l.checkAt = expires
		heap.Push(&d.expiryQueue, l)
	case expires.Before(l.checkAt):
		l.checkAt = expires
		heap.Fix(&d.expiryQueue, l.heapIndex)
	}
}

// newer reports whether an announcement is newer than the one that the target's state is from: it is from a later
// incarnation, or has a higher sequence number of the same one.
func newer(a *model.Announcement, t *model.Target) bool {
	if a.Incarnation != t.Incarnation {
		return a.Incarnation > t.Incarnation
	}
	return a.Sequence > t.Sequence
}

func (d *Directory) update(now time.Time, l *lease, a *model.Announcement) Change {
	old := l.target
	if !newer(a, old) {
		return Change{Kind: ChangeNone, Target: old, Previous: old.State}
	}
	restarted := a.Incarnation > old.Incarnation
	next := &model.Target{Announcement: *withoutLayoutShards(a), ServingSince: old.ServingSince}
	if restarted {
		l.reportedState = ""
		next.ServingSince = time.Time{}
	}
	if l.reportedState != "" {
		if a.State.AcceptsWork() && (l.reportedState == model.TargetLeaving || now.Sub(l.reportedAt) < reportedStateHold) {
			next.State = l.reportedState
		} else {
			l.reportedState = ""
		}
	}
	if next.State == model.TargetServing && next.ServingSince.IsZero() {
		next.ServingSince = now
	}
	l.target, l.announced = next, a.State
	c := Change{Kind: changeKind(old, next, restarted), Target: next, Previous: old.State}
	if !c.AffectsRouting() {
		return c
	}
	d.releaseAddress(old)
	d.registerAddress(a)
	d.index.markStale(a.Service)
	return c
}

func changeKind(old, next *model.Target, restarted bool) ChangeKind {
	switch {
	case restarted:
		return ChangeRestarted
	case old.State != next.State:
		return ChangeState
	case !sameHoldings(&old.Announcement, &next.Announcement):
		return ChangeHoldings
	}
	return ChangeRenewed
}

// sameHoldings reports whether two announcements agree in everything that routing depends on except the state.
func sameHoldings(a, b *model.Announcement) bool {
	return a.Addr == b.Addr && a.AvailabilityZone == b.AvailabilityZone && a.Layout == b.Layout &&
		a.Slots == b.Slots && a.ConnectionLimit == b.ConnectionLimit &&
		slices.Equal(a.Shards, b.Shards) && slices.Equal(a.IndexVersions, b.IndexVersions)
}

// withoutLayoutShards returns a copy of the announcement without the shards of its layout. These are stored once, as a
// proposed or committed layout, and not with each target: 3,000 targets with 1,100 shards each would take 50 MB.
func withoutLayoutShards(a *model.Announcement) *model.Announcement {
	out := *a
	out.LayoutShards = nil
	return &out
}

// ApplyReportedState applies a target state that a reply carried. It returns false when the state changes nothing.
func (d *Directory) ApplyReportedState(now time.Time, k model.TargetKey, incarnation uint64, state model.TargetState) (Change, bool) {
	l := d.leases[k]
	if l == nil || l.target.Incarnation != incarnation || (state != model.TargetDraining && state != model.TargetLeaving) {
		return Change{}, false
	}
	l.reportedAt = now
	if l.target.State == state || l.target.State == model.TargetLeaving {
		return Change{}, false
	}
	old := l.target
	next := *old
	next.State, l.reportedState, l.target = state, state, &next
	d.index.markStale(k.Service)
	return Change{Kind: ChangeState, Target: l.target, Previous: old.State}, true
}

// Expire ends the leases whose time is over and returns the changes in the order of expiry. A target that other VMs
// list stays a member; its change is ChangeListedElsewhere.
func (d *Directory) Expire(now time.Time) []Change {
	var out []Change
	for len(d.expiryQueue) > 0 && !d.expiryQueue[0].checkAt.After(now) {
		l := d.expiryQueue[0]
		if l.expires.After(now) {
			l.checkAt = l.expires
			heap.Fix(&d.expiryQueue, 0)
			continue
		}
		l.expires = time.Time{}
		heap.Pop(&d.expiryQueue)
		if len(l.listedBy) > 0 {
			out = append(out, Change{Kind: ChangeListedElsewhere, Target: l.target, Previous: l.target.State})
			continue
		}
		out = append(out, d.remove(now, l))
	}
	return out
}

func (d *Directory) remove(now time.Time, l *lease) Change {
	if l.heapIndex >= 0 {
		heap.Remove(&d.expiryQueue, l.heapIndex)
	}
	t := l.target
	delete(d.leases, t.Key())
	d.releaseAddress(t)
	d.index.remove(l)
	last := *t
	if l.reportedState == model.TargetDraining {
		// A target may stop draining and serve again, so later listings are compared with the state that it announced
		// itself.
		last.State = l.announced
	}
	d.addTombstone(now, &last)
	return Change{Kind: ChangeExpired, Target: t, Previous: t.State}
}

// addTombstone adds a tombstone for an expired target. It removes the tombstones whose retention is over, and the
// oldest ones beyond maxTargets.
func (d *Directory) addTombstone(now time.Time, t *model.Target) {
	d.tombstones[t.Key()] = tombstone{last: t, expires: now.Add(tombstoneRetention)}
	d.tombstoneQueue = append(d.tombstoneQueue, queuedTombstone{t.Key(), now.Add(tombstoneRetention)})
	for len(d.tombstoneQueue) > 0 && (!d.tombstoneQueue[0].removeAt.After(now) || len(d.tombstoneQueue) > d.maxTargets) {
		oldest := d.tombstoneQueue[0]
		d.tombstoneQueue = d.tombstoneQueue[1:]
		if ts, ok := d.tombstones[oldest.key]; ok && ts.expires.Equal(oldest.removeAt) {
			delete(d.tombstones, oldest.key)
		}
	}
}

// NextExpiry returns when Expire has to be called next. The time may be too early, but never too late.
func (d *Directory) NextExpiry() (time.Time, bool) {
	if len(d.expiryQueue) == 0 {
		return time.Time{}, false
	}
	return d.expiryQueue[0].checkAt, true
}

func (d *Directory) registerAddress(a *model.Announcement) { d.addresses[a.Addr] = a.Key() }

func (d *Directory) releaseAddress(t *model.Target) {
	if d.addresses[t.Addr] == t.Key() {
		delete(d.addresses, t.Addr)
	}
}

// expiryHeap orders leases by the time at which Expire has to check them.
type expiryHeap []*lease

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].checkAt.Before(h[j].checkAt) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	l := x.(*lease)
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.heapIndex = -1
	return l
}
