// Package query decides how one request is run: which snapshot it uses, which attempts it sends, hedges and retries,
// and which answer the replies give. It is pure: time is an argument, and nothing is sent, waited for or encoded
// here.
package query

import (
	"fmt"
	"slices"
	"sort"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// maxCountedReplicas is the highest replica count that a plan distinguishes.
const maxCountedReplicas = 32

// Plan describes what a service can answer at one moment: its candidate snapshots, newest first. It is immutable and
// shared by the queries of that moment.
type Plan struct {
	Snapshots     []*SnapshotPlan
	acceptingWork map[model.TargetID]struct{}
}

// SnapshotPlan describes one candidate snapshot.
type SnapshotPlan struct {
	Snapshot model.Snapshot
	Layout   *model.Layout
	// Holders lists the targets that accept work for each shard, in the order of Layout.Shards.
	Holders [][]*model.Target
	// Available is the share of the data with a holder, and Usable the share with one that is not ejected.
	Available float64
	Usable    float64
	// complete and usableComplete report whether Available and Usable cover the whole layout, without rounding
	// errors.
	complete       bool
	usableComplete bool
	// shareByReplicas holds the share of the data by the number of its usable holders.
	shareByReplicas [maxCountedReplicas + 1]float64
}

// NewPlan describes the snapshots that have a committed layout. A snapshot without one has no denominator for its
// coverage and is left out. usable counts the holders of a shard that this VM can use for now; if it is nil, all
// holders count.
func NewPlan(layouts map[model.LayoutNumber]*model.Layout, holders map[model.Snapshot]map[model.ShardID][]*model.Target,
	targets []*model.Target, usable func(holders []*model.Target) int) *Plan {
	p := &Plan{acceptingWork: make(map[model.TargetID]struct{}, len(targets))}
	for _, t := range targets {
		if t.State.AcceptsWork() {
			p.acceptingWork[t.ID] = struct{}{}
		}
	}
	if usable == nil {
		usable = func(holders []*model.Target) int { return len(holders) }
	}
	for snapshot, byShard := range holders {
		layout := layouts[snapshot.Layout]
		if layout == nil || len(layout.Shards) == 0 {
			continue
		}
		if s := newSnapshotPlan(snapshot, layout, byShard, usable); s.Available > 0 {
			p.Snapshots = append(p.Snapshots, s)
		}
	}
	sort.Slice(p.Snapshots, func(i, j int) bool { return p.Snapshots[i].Snapshot.Newer(p.Snapshots[j].Snapshot) })
	return p
}

func newSnapshotPlan(snapshot model.Snapshot, layout *model.Layout, byShard map[model.ShardID][]*model.Target,
	usable func(holders []*model.Target) int) *SnapshotPlan {
	s := &SnapshotPlan{Snapshot: snapshot, Layout: layout, Holders: make([][]*model.Target, len(layout.Shards)), complete: true, usableComplete: true}
	for i, shard := range layout.Shards {
		s.Holders[i] = byShard[shard.ID]
		n := 0
		if len(s.Holders[i]) > 0 {
			n = usable(s.Holders[i])
		}
		if len(s.Holders[i]) > 0 {
			s.Available += shard.Share
		} else {
			s.complete = false
		}
		if n > 0 {
			s.Usable += shard.Share
		} else {
			s.usableComplete = false
		}
		s.shareByReplicas[min(n, maxCountedReplicas)] += shard.Share
	}
	s.Available = coverageOfSum(s.Available, s.complete)
	s.Usable = coverageOfSum(s.Usable, s.usableComplete)
	return s
}

// shortageReason explains why no snapshot has the required coverage.
func (p *Plan) shortageReason(required float64) string {
	if len(p.Snapshots) == 0 {
		return "no target holds a snapshot with a committed layout"
	}
	best := 0.0
	for _, s := range p.Snapshots {
		best = max(best, s.Available)
	}
	return fmt.Sprintf("the best available coverage is %.4f, but %.4f is required", best, required)
}

// find returns the plan of a snapshot, or nil.
func (p *Plan) find(snapshot model.Snapshot) *SnapshotPlan {
	for _, s := range p.Snapshots {
		if s.Snapshot == snapshot {
			return s
		}
	}
	return nil
}

// AcceptsWork reports whether a target accepts work. It is false for a target that the plan lacks.
func (p *Plan) AcceptsWork(id model.TargetID) bool {
	_, ok := p.acceptingWork[id]
	return ok
}

const (
	// coverageTolerance is how far a snapshot's coverage may be below the best available one. It allows for
	// rounding only: a newer snapshot that lacks one shard of 1,100 (0.0009) must not cost coverage while an
	// older one has it.
	coverageTolerance = 1e-6
	// underReplicatedTolerance is how much more of the data than in the best snapshot may have few replicas.
	underReplicatedTolerance = 0.05
	// underReplicatedRatio is the share of the usual number of replicas below which a shard has few of them. During a
	// rollout a snapshot that one of three replicas holds has full coverage, yet would send the load of three targets
	// to one. At two of three it may be used.
	underReplicatedRatio = 0.5
)

// Choose returns the newest eligible snapshot for the required coverage, or nil if there is none. skip lists the
// snapshots that the query has abandoned.
func (p *Plan) Choose(required float64, skip ...model.Snapshot) *SnapshotPlan {
	if s := p.choose(required, skip, func(s *SnapshotPlan) float64 { return s.Usable }); s != nil {
		return s
	}
	// Without ejected targets no snapshot has the required coverage, so they are counted as a last resort.
	return p.choose(required, skip, func(s *SnapshotPlan) float64 { return s.Available })
}

func (p *Plan) choose(required float64, skip []model.Snapshot, coverage func(*SnapshotPlan) float64) *SnapshotPlan {
	best := 0.0
	for _, s := range p.Snapshots {
		if !slices.Contains(skip, s.Snapshot) {
			best = max(best, coverage(s))
		}
	}
	if best <= 0 || !reaches(best, required) {
		return nil
	}
	eligible := func(s *SnapshotPlan) bool {
		c := coverage(s)
		return !slices.Contains(skip, s.Snapshot) && c >= best-coverageTolerance && reaches(c, required)
	}
	usualReplicas := 0.0
	for _, s := range p.Snapshots {
		if eligible(s) {
			usualReplicas = max(usualReplicas, s.meanReplicas())
		}
	}
	smallestShare := 1.0
	for _, s := range p.Snapshots {
		if eligible(s) {
			smallestShare = min(smallestShare, s.underReplicatedShare(usualReplicas))
		}
	}
	for _, s := range p.Snapshots {
		if eligible(s) && s.underReplicatedShare(usualReplicas) <= smallestShare+underReplicatedTolerance {
			return s
		}
	}
	return nil
}

func (s *SnapshotPlan) meanReplicas() float64 {
	mean := 0.0
	for n, share := range s.shareByReplicas {
		mean += float64(n) * share
	}
	return mean
}

// underReplicatedShare returns the share of the data that has few replicas, compared with the usual number. Shards
// without any replica are missing and count in the coverage instead.
func (s *SnapshotPlan) underReplicatedShare(usualReplicas float64) float64 {
	share := 0.0
	for n := 1; n < len(s.shareByReplicas) && float64(n) < usualReplicas*underReplicatedRatio; n++ {
		share += s.shareByReplicas[n]
	}
	return share
}
