package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

var zoneRegions = map[model.AvailabilityZone]string{"n1": "north", "n2": "north", "s1": "south"}

func leafIn(zone model.AvailabilityZone) *leaves.Member {
	return &leaves.Member{Leaf: leaves.Leaf{ID: string(zone), AvailabilityZone: zone}}
}

func evacuated(zones ...model.AvailabilityZone) routes.Evacuations {
	return routes.Evacuations{Revision: 1, Zones: zones}
}

// Guards against a request that leaves the regions of its route or customer or goes to an evacuated zone, and against a filter that
// copies lists where nothing is restricted.
func TestLeafFilter(t *testing.T) {
	list := []*leaves.Member{leafIn("n1"), leafIn("n2"), leafIn("s1"), leafIn("unlisted")}
	for name, c := range map[string]struct {
		evacuated       []model.AvailabilityZone
		route, customer []string
		want            []*leaves.Member
	}{
		"evacuated":        {evacuated: []model.AvailabilityZone{"n1"}, want: list[1:]},
		"route":            {route: []string{"north"}, want: list[:2]},
		"customer":         {customer: []string{"south", "west"}, want: list[2:3]},
		"both":             {route: []string{"north"}, customer: []string{"south"}, want: list[:0]},
		"both agree":       {route: []string{"north", "south"}, customer: []string{"south"}, want: list[2:3]},
		"region evacuated": {evacuated: []model.AvailabilityZone{"n1", "n2"}, route: []string{"north"}, want: list[:0]},
		"unknown region":   {customer: []string{""}, want: list[:0]},
	} {
		f := NewLeafFilter(evacuated(c.evacuated...), zoneRegions, &routes.Route{Regions: c.route}, &routes.Customer{Regions: c.customer})
		require.Equal(t, c.want, f.Allowed(list), name)
	}
	f := NewLeafFilter(routes.Evacuations{Revision: 2}, zoneRegions, &routes.Route{}, nil)
	require.Zero(t, testing.AllocsPerRun(10, func() { _ = f.Allowed(list) }))
	require.Same(t, &list[0], &f.Allowed(list)[0])
}

// Guards against a request that waits although no leaf may get it, and against a route that is refused although enough shards are left
// or a service has no leaf yet.
func TestRequestsWithoutAllowedLeafAreRefused(t *testing.T) {
	index := &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{
		"a": {leafIn("n1")}, "b": {leafIn("n1"), leafIn("s1")}, "c": {leafIn("n1"), leafIn("s1")}, "d": {leafIn("s1")},
	}}
	filter := func(zones ...model.AvailabilityZone) LeafFilter {
		return NewLeafFilter(evacuated(zones...), zoneRegions, &routes.Route{}, nil)
	}
	single := &routes.Route{Split: []routes.Share{{Service: "a", Weight: 1}}}
	r := RefuseNotAllowed(single, "a", index, filter("n1"))
	require.Equal(t, KindRefused, r.Kind)
	require.Positive(t, r.RetryAfter)
	require.False(t, r.TryAnotherVM, "every VM refuses it")
	require.Nil(t, RefuseNotAllowed(single, "b", index, filter("n1")))
	require.Nil(t, RefuseNotAllowed(single, "unlisted", index, filter("n1")))
	require.Nil(t, RefuseNotAllowed(single, "a", nil, filter("n1")))
	all := &routes.Route{Shards: []model.ServiceName{"a", "b", "c", "d"}, MinCoverage: 0.75}
	require.Nil(t, RefuseNotAllowed(all, "", index, filter("n1")), "three of four shards are left")
	require.Equal(t, 4, RefuseNotAllowed(all, "", index, filter("n1", "s1")).Missing)
	all.MinCoverage = 0.9
	require.Contains(t, RefuseNotAllowed(all, "", index, filter("n1")).Reason, "3 of 4 shards")
}

// Guards against an evacuated zone that makes VMs refuse requests as if they were cut off, and against an unresponsive zone that goes
// unnoticed because the leaves of another one are evacuated.
func TestEvacuatedZonesAreNotUnreachable(t *testing.T) {
	index := &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"a": {leafIn("n1"), leafIn("s1")}, "b": {leafIn("n1")}}}
	route := &routes.Route{Shards: []model.ServiceName{"a", "b"}, MinCoverage: 0.5}
	f := NewLeafFilter(evacuated("n1"), zoneRegions, route, nil)
	require.Nil(t, RefuseUnreachable(route, index, []model.AvailabilityZone{"n2"}, f))
	require.True(t, RefuseUnreachable(route, index, []model.AvailabilityZone{"s1"}, f).TryAnotherVM, "shard a has no other leaf")
	route.MinCoverage = 1
	require.Nil(t, RefuseUnreachable(route, index, []model.AvailabilityZone{"s1"}, f), "it is refused at every VM because of the evacuation")
}
