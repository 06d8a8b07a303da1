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
	// silentLeaves is the least number of leaves of an availability zone that do not answer before the zone counts as silent:
	// leaves that crash one by one are a matter of each of them.
	silentLeaves = 3
	// zoneSilence is how long no leaf of a silent zone has answered. Usual pauses of leaves end before it.
	zoneSilence = 300 * time.Millisecond
	// zoneConfirm is how long a zone is found silent before it counts as such. Replies that wait while this VM does not run
	// are read within it.
	zoneConfirm = 100 * time.Millisecond
	// zoneScan is how often the zones are looked at while there are requests.
	zoneScan = 50 * time.Millisecond
	// unreachablePause is when a caller may come back whose request needs shards that this VM does not reach. It has to reach
	// another VM.
	unreachablePause = 250 * time.Millisecond
)

// zoneStats is what this VM observes of an availability zone.
type zoneStats struct {
	// replied is when a leaf there answered last.
	replied time.Time
	// silentSince is since when the zone is found silent, or zero.
	silentSince time.Time
	silent      bool
}

func (t *Tracker) zone(z model.AvailabilityZone) *zoneStats {
	s := t.zones[z]
	if s == nil {
		s = &zoneStats{}
		t.zones[z] = s
	}
	return s
}

// scanZones finds out which availability zones have fallen silent: several leaves there do not answer what was sent since
// the last reply from the zone, which was a while ago.
func (t *Tracker) scanZones(now time.Time) {
	if now.Sub(t.scanned) < zoneScan {
		return
	}
	t.scanned = now
	unanswered := map[model.AvailabilityZone]int{}
	for _, s := range t.leaves {
		if s.silentSince(now, t.zone(s.zone).replied) {
			unanswered[s.zone]++
		}
	}
	for name, z := range t.zones {
		switch {
		case unanswered[name] < silentLeaves || now.Sub(z.replied) < zoneSilence:
			z.silentSince, z.silent = time.Time{}, false
		case z.silentSince.IsZero():
			z.silentSince = now
		default:
			z.silent = z.silent || now.Sub(z.silentSince) >= zoneConfirm
		}
	}
}

// silentSince reports whether an attempt that began after a time has had no answer for long.
func (s *leafStats) silentSince(now, t time.Time) bool {
	return s.unansweredAt.After(t) || slices.ContainsFunc(s.started, func(a startedAttempt) bool {
		return a.at.After(t) && now.Sub(a.at) >= a.patience
	})
}

// SilentZones lists the availability zones from which no leaf answers, in the order of their names.
func (t *Tracker) SilentZones(now time.Time) (out []model.AvailabilityZone) {
	t.scanZones(now)
	for name, z := range t.zones {
		if z.silent {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LastReply returns when a leaf of an availability zone answered last. It is zero when none has.
func (t *Tracker) LastReply(zone model.AvailabilityZone) time.Time { return t.zone(zone).replied }

// Reached notes that a leaf of an availability zone can be reached again, although no request has been answered.
func (t *Tracker) Reached(now time.Time, zone model.AvailabilityZone) {
	*t.zone(zone) = zoneStats{replied: now}
}

// Unreachable returns the response to a request whose route needs more shards than have a leaf outside the silent availability
// zones, or nil. Nothing of the request is sent.
func Unreachable(route *routes.Route, index *leaves.Index, silent []model.AvailabilityZone) *Response {
	if len(silent) == 0 || !route.Gathers() || index == nil {
		return nil
	}
	n := 0
	for _, service := range route.Shards {
		if slices.ContainsFunc(index.Services[service], func(m *leaves.Member) bool { return !slices.Contains(silent, m.AvailabilityZone) }) {
			n++
		}
	}
	if covers(route, n) {
		return nil
	}
	return &Response{
		Kind: KindRefused, RetryAfter: unreachablePause, Elsewhere: true, Missing: len(route.Shards),
		Reason: fmt.Sprintf("%d of %d shards are reachable, no leaf answers from %v", n, len(route.Shards), silent),
	}
}

// covers reports whether a number of shards is enough for an answer of the route.
func covers(route *routes.Route, shards int) bool {
	return float64(shards) >= route.MinCoverage*float64(len(route.Shards))-coverageSlack
}
