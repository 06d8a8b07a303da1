package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

const (
	// minUnresponsiveLeaves is the least number of unresponsive leaves that makes their availability zone unresponsive: leaves
	// that crash one by one are no fault of the zone.
	minUnresponsiveLeaves = 3
	// zoneReplyTimeout is the least time without a reply from a zone that makes it unresponsive. Ordinary pauses of leaves end
	// before it.
	zoneReplyTimeout = 300 * time.Millisecond
	// zoneConfirmTime is how long the evidence has to last before a zone counts as unresponsive. It lets this VM, after a pause
	// of its own process, read the replies that arrived during the pause.
	zoneConfirmTime = 100 * time.Millisecond
	// zoneScanInterval is the least time between two evaluations of the zones, which happen only while there are requests.
	zoneScanInterval = 50 * time.Millisecond
	// unreachableRetryAfter is the delay after which a caller may retry whose request needs shards that this VM cannot reach. The
	// caller has to use another VM.
	unreachableRetryAfter = 250 * time.Millisecond
)

// zoneStats holds the observations of this VM about an availability zone.
type zoneStats struct {
	// lastReply is when a leaf of the zone last replied.
	lastReply time.Time
	// suspectSince is since when there is evidence that the zone is unresponsive, or zero.
	suspectSince time.Time
	unresponsive bool
}

func (t *Tracker) zoneOf(z model.AvailabilityZone) *zoneStats {
	s := t.zones[z]
	if s == nil {
		s = &zoneStats{}
		t.zones[z] = s
	}
	return s
}

// scanZones evaluates which availability zones are unresponsive: several leaves of the zone have not replied to
// attempts that were sent since the last reply from the zone, and that reply is at least zoneReplyTimeout old.
func (t *Tracker) scanZones(now time.Time) {
	if now.Sub(t.zonesScannedAt) < zoneScanInterval {
		return
	}
	t.zonesScannedAt = now
	unanswered := map[model.AvailabilityZone]int{}
	for _, s := range t.leaves {
		if s.unansweredSince(now, t.zoneOf(s.zone).lastReply) {
			unanswered[s.zone]++
		}
	}
	for name, z := range t.zones {
		switch {
		case unanswered[name] < minUnresponsiveLeaves || now.Sub(z.lastReply) < zoneReplyTimeout:
			z.suspectSince, z.unresponsive = time.Time{}, false
		case z.suspectSince.IsZero():
			z.suspectSince = now
		default:
			z.unresponsive = z.unresponsive || now.Sub(z.suspectSince) >= zoneConfirmTime
		}
	}
}

// unansweredSince reports whether an attempt that was started after t got no reply, or has waited for it too long.
func (s *leafStats) unansweredSince(now, t time.Time) bool {
	return s.unansweredAt.After(t) || slices.ContainsFunc(s.inFlight, func(a inFlightAttempt) bool {
		return a.startedAt.After(t) && now.Sub(a.startedAt) >= a.unresponsiveAfter
	})
}

// UnresponsiveZones lists the availability zones from which no leaf replies, in the order of their names.
func (t *Tracker) UnresponsiveZones(now time.Time) (out []model.AvailabilityZone) {
	t.scanZones(now)
	return t.KnownUnresponsiveZones()
}

// KnownUnresponsiveZones lists the same availability zones as of the last evaluation.
func (t *Tracker) KnownUnresponsiveZones() (out []model.AvailabilityZone) {
	for name, z := range t.zones {
		if z.unresponsive {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LastReply returns when a leaf of an availability zone last replied. It is zero when none has.
func (t *Tracker) LastReply(zone model.AvailabilityZone) time.Time { return t.zoneOf(zone).lastReply }

// MarkReachable records that a connection to a leaf of an availability zone could be opened, so that the zone no longer counts
// as unresponsive although no request has been answered.
func (t *Tracker) MarkReachable(now time.Time, zone model.AvailabilityZone) {
	*t.zoneOf(zone) = zoneStats{lastReply: now}
}

// RefuseUnreachable returns the refusal of a request whose route needs more shards than have an allowed leaf outside the unresponsive
// availability zones, or nil if enough shards are reachable. No attempt of a refused request is sent. It is nil too where too few shards
// have an allowed leaf at any VM, which RefuseNotAllowed decides.
func RefuseUnreachable(route *routes.Route, index *leaves.Index, unresponsive []model.AvailabilityZone, f LeafFilter) *Response {
	if len(unresponsive) == 0 || !route.IsScatterGather() || index == nil || !meetsCoverage(route, f.shardsLeft(route, index)) {
		return nil
	}
	reachable := 0
	for _, service := range route.Shards {
		if slices.ContainsFunc(index.Services[service], func(m *leaves.Member) bool {
			return f.Allows(m) && !slices.Contains(unresponsive, m.AvailabilityZone)
		}) {
			reachable++
		}
	}
	if meetsCoverage(route, reachable) {
		return nil
	}
	return &Response{
		Kind: KindRefused, RetryAfter: unreachableRetryAfter, TryAnotherVM: true, Missing: len(route.Shards),
		Reason: fmt.Sprintf("%d of %d shards are reachable, no leaf replies from %v", reachable, len(route.Shards), unresponsive),
	}
}

// meetsCoverage reports whether a number of shards is enough for an answer of the route.
func meetsCoverage(route *routes.Route, shards int) bool {
	return float64(shards) >= route.MinCoverage*float64(len(route.Shards))-coverageTolerance
}
