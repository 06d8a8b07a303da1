package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// minLayoutsKept is how many of a service's newest layouts are never dropped.
	minLayoutsKept = 4
	// maxLayoutsPerService limits a service's layouts, those in use included.
	maxLayoutsPerService = 16
	// maxServicesWithLayouts limits the services that targets may announce layouts for.
	maxServicesWithLayouts = 4096
	// maxShardsPerLayout limits one layout, so that it fits into one log entry. maxShards limits all layouts together,
	// which take 16 bytes for each shard on every VM.
	maxShardsPerLayout = 65_536
	maxShards          = 1_000_000
	// unusedLayoutRetention is how long a layout is kept without a report of its use before it may be dropped.
	unusedLayoutRetention = 24 * time.Hour
	// LayoutUseInterval is how often the use of a layout is reported. Several reports may be lost before a layout
	// counts as unused.
	LayoutUseInterval = time.Hour
)

// LayoutKey identifies a layout across services.
type LayoutKey struct {
	Service model.ServiceName
	Number  model.LayoutNumber
}

func compareLayoutKeys(a, b LayoutKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
}

// layoutUse records when each layout was last in use, and the highest number that was dropped for each service.
// Numbers at or below the latter are never committed again, since another layout could have had them.
type layoutUse struct {
	used    map[LayoutKey]time.Time
	dropped map[model.ServiceName]model.LayoutNumber
	shards  int
}

func newLayoutUse() layoutUse {
	return layoutUse{used: map[LayoutKey]time.Time{}, dropped: map[model.ServiceName]model.LayoutNumber{}}
}

func (s *State) commitLayout(next *DisseminatedState, c CommitLayout) CommitLayoutResult {
	l := c.Layout
	if reason := invalidLayoutReason(&l); reason != "" {
		return CommitLayoutResult{Outcome: LayoutInvalid, Reason: reason}
	}
	key := LayoutKey{l.Service, l.Number}
	if committed, ok := next.Layouts[key]; ok && !committed.Dropped {
		s.layouts.used[key] = s.at
		r := CommitLayoutResult{Outcome: LayoutExists, Committed: model.LayoutRef{Number: l.Number, Digest: committed.Digest}}
		if committed.Digest != l.Digest() {
			r.Outcome = LayoutConflict
			r.Reason = fmt.Sprintf("layout %d of service %s is committed with other shards or shares", l.Number, l.Service)
		}
		return r
	}
	if floor := s.layouts.dropped[l.Service]; l.Number <= floor {
		return CommitLayoutResult{Outcome: LayoutTooOld, Reason: fmt.Sprintf("layouts up to %d of service %s were dropped", floor, l.Service)}
	}
	if reason := s.makeSpace(next, &l); reason != "" {
		return CommitLayoutResult{Outcome: LayoutsFull, Reason: reason}
	}
	next.addLayout(&l)
	s.layouts.used[key] = s.at
	s.layouts.shards += len(l.Shards)
	return CommitLayoutResult{Outcome: LayoutCommitted, Committed: l.Ref()}
}

func invalidLayoutReason(l *model.Layout) string {
	if l.Service == "" || len(l.Service) > maxTextBytes || l.Number == 0 {
		return "a layout needs a service and a number above 0"
	}
	if len(l.Shards) > maxShardsPerLayout {
		return fmt.Sprintf("a layout has at most %d shards", maxShardsPerLayout)
	}
	if err := l.Validate(); err != nil {
		return err.Error()
	}
	return ""
}

// makeSpace drops unused layouts of the service and returns a reason when the new one still does not fit.
func (s *State) makeSpace(next *DisseminatedState, l *model.Layout) string {
	numbers := s.layouts.numbers(l.Service)
	numbers = s.dropUnused(next, l.Service, numbers)
	if len(numbers) >= maxLayoutsPerService {
		return fmt.Sprintf("service %s has %d layouts in use", l.Service, len(numbers))
	}
	if s.layouts.shards+len(l.Shards) > maxShards {
		return fmt.Sprintf("all layouts together have more than %d shards", maxShards)
	}
	if len(numbers) == 0 && s.layouts.services() >= maxServicesWithLayouts {
		return fmt.Sprintf("more than %d services have layouts", maxServicesWithLayouts)
	}
	return ""
}

// dropUnused drops the oldest layouts while they are unused, except for the minLayoutsKept newest ones. It stops at
// the first layout in use, so that the numbers below the highest dropped one are all dropped.
func (s *State) dropUnused(next *DisseminatedState, service model.ServiceName, numbers []model.LayoutNumber) []model.LayoutNumber {
	for len(numbers) > minLayoutsKept {
		key := LayoutKey{service, numbers[0]}
		if s.at.Sub(s.layouts.used[key]) < unusedLayoutRetention {
			break
		}
		s.layouts.shards -= len(next.Layouts[key].Layout.Shards)
		next.dropLayout(key)
		delete(s.layouts.used, key)
		s.layouts.dropped[service] = numbers[0]
		numbers = numbers[1:]
	}
	return numbers
}

func (s *State) reportLayoutUse(next *DisseminatedState, c ReportLayoutUse) LayoutUseResult {
	var r LayoutUseResult
	for _, key := range c.Layouts {
		if committed, ok := next.Layouts[key]; ok && !committed.Dropped {
			s.layouts.used[key] = s.at
			continue
		}
		r.Unknown = append(r.Unknown, key)
	}
	return r
}

// numbers returns the numbers of the committed layouts of a service, oldest first.
func (u *layoutUse) numbers(service model.ServiceName) []model.LayoutNumber {
	var out []model.LayoutNumber
	for key := range u.used {
		if key.Service == service {
			out = append(out, key.Number)
		}
	}
	slices.Sort(out)
	return out
}

func (u *layoutUse) services() int {
	seen := map[model.ServiceName]bool{}
	for key := range u.used {
		seen[key.Service] = true
	}
	return len(seen)
}
