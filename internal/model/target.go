// Package model holds the plain values that all parts of chestnuttiller share. It is independent of encodings,
// sockets and clocks.
package model

import "time"

// Names, IDs and numbers. Distinct types prevent a service name from being passed as a target ID.
type (
	// VMName names a VM of the system.
	VMName string
	// AvailabilityZone names an availability zone of the platform.
	AvailabilityZone string
	// ServiceName names a service.
	ServiceName string
	// SiteName names a site.
	SiteName string
	// TargetID names one target within its service.
	TargetID string
	// CallerID identifies a caller, for limits per caller.
	CallerID string
	// ShardID is the number of a shard within a layout.
	ShardID uint32
)

// TargetState is the state that a target announces.
type TargetState string

// The states of a target.
const (
	TargetCold     TargetState = "cold"
	TargetServing  TargetState = "serving"
	TargetDraining TargetState = "draining"
	TargetLeaving  TargetState = "leaving"
)

// AcceptsWork reports whether new work may be sent to a target in this state.
func (s TargetState) AcceptsWork() bool { return s == TargetCold || s == TargetServing }

// Load is a target's own report of its load. It is a hint only: it may be outdated or wrong.
type Load struct {
	InFlight int
	Queued   int
}

// Announcement is a target's description of itself. It is a lease, which expires unless it is renewed.
type Announcement struct {
	Service          ServiceName
	ID               TargetID
	AvailabilityZone AvailabilityZone
	Addr             string
	// Incarnation grows with each start of the target, Sequence with each announcement of one incarnation.
	Incarnation uint64
	Sequence    uint64
	State       TargetState
	Layout      LayoutRef
	// LayoutShards lists all shards of the layout. Renewals may omit it and give only the digest.
	LayoutShards    []Shard
	Shards          []ShardID
	IndexVersions   []IndexVersion
	Slots           int
	ConnectionLimit int
	Load            Load
	Lease           time.Duration
}

// Key identifies the announcing target across services.
func (a *Announcement) Key() TargetKey { return TargetKey{Service: a.Service, ID: a.ID} }

// TargetKey identifies a target across services.
type TargetKey struct {
	Service ServiceName
	ID      TargetID
}

// String returns "service/target" for log lines.
func (k TargetKey) String() string { return string(k.Service) + "/" + string(k.ID) }

// Target is the immutable view of one target with a live lease.
type Target struct {
	Announcement
	// ServingSince is when this VM first recorded the current incarnation as serving. Slow start begins then.
	ServingSince time.Time
}

// Holds reports whether the target holds the index version that the snapshot names, in the layout it names.
func (t *Target) Holds(s Snapshot) bool {
	if t.Layout.Number != s.Layout {
		return false
	}
	for _, v := range t.IndexVersions {
		if v == s.Index {
			return true
		}
	}
	return false
}
