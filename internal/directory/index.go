package directory

import (
	"cmp"
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Service is the immutable set of targets of one service.
type Service struct {
	// Targets lists all targets in the order of their IDs, including those that accept no work.
	Targets []*model.Target
	// Holders lists, for each snapshot and shard, the targets that accept work for it.
	Holders map[model.Snapshot]map[model.ShardID][]*model.Target
}

// index caches the published form of each service, so that a change of one service rebuilds only that service.
type index struct {
	// members holds the leases of each service in the order of their IDs.
	members   map[model.ServiceName][]*lease
	stale     map[model.ServiceName]bool
	built     map[model.ServiceName]*Service
	committed map[model.ServiceName]map[model.LayoutNumber]*model.Layout
}

func newIndex() index {
	return index{members: map[model.ServiceName][]*lease{}, stale: map[model.ServiceName]bool{}, built: map[model.ServiceName]*Service{}}
}

func (ix *index) markStale(s model.ServiceName) { ix.stale[s] = true }

func (ix *index) add(l *lease) {
	service := l.target.Service
	members := ix.members[service]
	at, _ := slices.BinarySearchFunc(members, l.target.ID, compareID)
	ix.members[service] = slices.Insert(members, at, l)
	ix.markStale(service)
}

func (ix *index) remove(l *lease) {
	service := l.target.Service
	members := ix.members[service]
	if at, found := slices.BinarySearchFunc(members, l.target.ID, compareID); found {
		members = slices.Delete(members, at, at+1)
	}
	ix.members[service] = members
	if len(members) == 0 {
		delete(ix.members, service)
	}
	ix.markStale(service)
}

func compareID(l *lease, id model.TargetID) int { return cmp.Compare(l.target.ID, id) }

// View returns the immutable set of services for the committed layouts. It rebuilds only the services that changed,
// and returns the same map as before when none did.
func (d *Directory) View(committed map[model.ServiceName]map[model.LayoutNumber]*model.Layout) map[model.ServiceName]*Service {
	d.markChangedLayouts(committed)
	if len(d.index.stale) == 0 {
		return d.index.built
	}
	next := make(map[model.ServiceName]*Service, len(d.index.built)+1)
	for name, s := range d.index.built {
		if !d.index.stale[name] {
			next[name] = s
		}
	}
	for name := range d.index.stale {
		if members := d.index.members[name]; len(members) > 0 {
			next[name] = buildService(targetsOf(members), committed[name])
		}
	}
	d.index.built = next
	d.index.stale = map[model.ServiceName]bool{}
	return next
}

// markChangedLayouts marks the services whose committed layouts differ from those of the last view.
func (d *Directory) markChangedLayouts(committed map[model.ServiceName]map[model.LayoutNumber]*model.Layout) {
	for name, layouts := range committed {
		if !sameLayouts(layouts, d.index.committed[name]) {
			d.index.markStale(name)
		}
	}
	for name := range d.index.committed {
		if _, ok := committed[name]; !ok {
			d.index.markStale(name)
		}
	}
	d.index.committed = committed
}

func sameLayouts(a, b map[model.LayoutNumber]*model.Layout) bool {
	if len(a) != len(b) {
		return false
	}
	for n, l := range a {
		if b[n] != l {
			return false
		}
	}
	return true
}

func targetsOf(members []*lease) []*model.Target {
	out := make([]*model.Target, len(members))
	for i, l := range members {
		out[i] = l.target
	}
	return out
}

// buildService lists holders only for committed layouts, because coverage is calculated against committed layouts only.
func buildService(targets []*model.Target, committed map[model.LayoutNumber]*model.Layout) *Service {
	out := &Service{Targets: targets, Holders: map[model.Snapshot]map[model.ShardID][]*model.Target{}}
	digests := make(map[model.LayoutNumber]uint64, len(committed))
	for n, l := range committed {
		digests[n] = l.Digest()
	}
	for _, t := range targets {
		digest, ok := digests[t.Layout.Number]
		if !ok || digest != t.Layout.Digest || !t.State.AcceptsWork() {
			continue
		}
		for _, v := range t.IndexVersions {
			addHolder(out.Holders, model.Snapshot{Layout: t.Layout.Number, Index: v}, t)
		}
	}
	return out
}

func addHolder(holders map[model.Snapshot]map[model.ShardID][]*model.Target, s model.Snapshot, t *model.Target) {
	shards := holders[s]
	if shards == nil {
		shards = map[model.ShardID][]*model.Target{}
		holders[s] = shards
	}
	for _, id := range t.Shards {
		if targets := shards[id]; len(targets) == 0 || targets[len(targets)-1] != t {
			shards[id] = append(targets, t)
		}
	}
}
