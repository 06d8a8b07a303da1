package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// notAllowedRetryAfter is the delay after which a caller may retry whose request no leaf may get. All VMs refuse it until an operator
// ends an evacuation or changes the regions, which takes effect within seconds.
const notAllowedRetryAfter = time.Second

// LeafFilter decides to which leaves a request may be sent: those outside the evacuated availability zones, and in a region that both the
// route and the customer allow. The zero value allows all.
type LeafFilter struct {
	evacuated []model.AvailabilityZone
	// zoneRegions maps availability zones to regions. Where regions are restricted, a zone without a region is not allowed.
	zoneRegions map[model.AvailabilityZone]string
	// routeRegions and customerRegions list the allowed regions; an empty list allows all.
	routeRegions, customerRegions []string
}

// NewLeafFilter returns the filter for the requests of a customer on a route. customer is nil where the request has none.
func NewLeafFilter(evacuations routes.Evacuations, zoneRegions map[model.AvailabilityZone]string, route *routes.Route, customer *routes.Customer) LeafFilter {
	f := LeafFilter{evacuated: evacuations.Zones, zoneRegions: zoneRegions, routeRegions: route.Regions}
	if customer != nil {
		f.customerRegions = customer.Regions
	}
	return f
}

// allowsAll reports whether the filter allows all leaves.
func (f *LeafFilter) allowsAll() bool {
	return len(f.evacuated) == 0 && len(f.routeRegions) == 0 && len(f.customerRegions) == 0
}

// Allows reports whether a request may be sent to a leaf.
func (f *LeafFilter) Allows(m *leaves.Member) bool { return f.Standing(m) == StandingEligible }

// Standing returns why a request may not be sent to a leaf, or StandingEligible.
func (f *LeafFilter) Standing(m *leaves.Member) Standing {
	switch {
	case slices.Contains(f.evacuated, m.AvailabilityZone):
		return StandingEvacuated
	case !f.isIn(m.AvailabilityZone, f.routeRegions) || !f.isIn(m.AvailabilityZone, f.customerRegions):
		return StandingOtherRegion
	}
	return StandingEligible
}

// isIn reports whether an availability zone is in one of the regions, or there are none.
func (f *LeafFilter) isIn(zone model.AvailabilityZone, regions []string) bool {
	if len(regions) == 0 {
		return true
	}
	region, known := f.zoneRegions[zone]
	return known && slices.Contains(regions, region)
}

// Allowed returns the allowed leaves of a list, which is the list itself if the filter allows all.
func (f *LeafFilter) Allowed(list []*leaves.Member) []*leaves.Member {
	if f.allowsAll() {
		return list
	}
	out := make([]*leaves.Member, 0, len(list))
	for _, m := range list {
		if f.Allows(m) {
			out = append(out, m)
		}
	}
	return out
}

// forbids reports whether a service has leaves of which none is allowed. A service without leaves may get one that is.
func (f *LeafFilter) forbids(list []*leaves.Member) bool {
	return len(list) > 0 && !slices.ContainsFunc(list, f.Allows)
}

// shardsLeft returns how many shards of a scatter-gather route have an allowed leaf, or none at all yet.
func (f *LeafFilter) shardsLeft(route *routes.Route, index *leaves.Index) (n int) {
	for _, service := range route.Shards {
		if !f.forbids(index.Services[service]) {
			n++
		}
	}
	return n
}

// RefuseNotAllowed returns the refusal of a request that may be sent to no leaf of its service or, on a scatter-gather route, to leaves
// of too few shards; otherwise it returns nil.
func RefuseNotAllowed(route *routes.Route, service model.ServiceName, index *leaves.Index, f LeafFilter) *Response {
	if f.allowsAll() || index == nil {
		return nil
	}
	if !route.IsScatterGather() {
		if !f.forbids(index.Services[service]) {
			return nil
		}
		return f.refusal(0, fmt.Sprintf("no leaf of service %s is allowed", service))
	}
	left := f.shardsLeft(route, index)
	if meetsCoverage(route, left) && left > 0 {
		return nil
	}
	return f.refusal(len(route.Shards), fmt.Sprintf("%d of %d shards have an allowed leaf", left, len(route.Shards)))
}

func (f *LeafFilter) refusal(missing int, reason string) *Response {
	return &Response{
		Kind: KindRefused, RetryAfter: notAllowedRetryAfter, Missing: missing,
		Reason: fmt.Sprintf("%s: evacuated zones %v, regions of the route %v and of the customer %v", reason, f.evacuated, f.routeRegions, f.customerRegions),
	}
}
