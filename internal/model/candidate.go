package model

import "time"

// Candidate is a target that an attempt could be sent to, with this VM's measurements of it.
type Candidate struct {
	Target *Target
	// SameZone reports whether the target is in this VM's availability zone.
	SameZone bool
	// InFlight is the number of this VM's own attempts in flight at the target, and Queued the number of those that
	// wait to be sent.
	InFlight int
	Queued   int
	// Limit is the adaptive limit of InFlight. At 0 this VM may not connect to the target.
	Limit int
	// Latency is the recent latency of the target, or 0 while it is unknown.
	Latency time.Duration
	// Ejected reports whether the target is ejected as an outlier, or is in another availability zone that is unreachable.
	Ejected bool
	// Weight is 1 for a warm target, and smaller during slow start.
	Weight float64
	// Tried reports whether this query has already sent this shard to the target.
	Tried bool
}
