package model

import "time"

// Revision is the number of an accepted configuration. It only grows.
type Revision uint64

// FinishMode determines when a query is finished.
type FinishMode string

// The ways of finishing a query.
const (
	// FinishWait waits for all data until the deadline.
	FinishWait FinishMode = "wait"
	// FinishEarly answers once the minimum coverage is reached and FinishAfter has passed.
	FinishEarly FinishMode = "early"
)

// ServiceConfig is the operators' configuration of one service, as it applies at one site.
type ServiceConfig struct {
	Name            ServiceName
	Deadline        time.Duration
	MinimumCoverage float64
	// SnapshotTolerance is how far the coverage of a newer snapshot may be below the best available coverage for a
	// query to still prefer the newer snapshot.
	SnapshotTolerance float64
	Priority          Priority
	Idempotent        bool
	Finish            FinishMode
	FinishAfter       time.Duration
	Routing           string
	Hedge             string
	HedgeQuantile     float64
	HedgeBudget       float64
	Retry             string
	RetryBudget       float64
	MaxConcurrency    int
	CallerShare       float64
	MaxRequestBytes   int
	MaxResponseBytes  int
}

// SiteConfig is the configuration in force at one site: the base file with the site's overlay applied.
type SiteConfig struct {
	Name              SiteName
	AvailabilityZones []AvailabilityZone
	Services          map[ServiceName]*ServiceConfig
}

// Config is an accepted configuration with all sites resolved.
type Config struct {
	Revision Revision
	// Name is the name of the system.
	Name string
	// Seats is how many entry VMs share the connections of each target.
	Seats int
	// SeatLease is how long a VM keeps a seat that it does not renew.
	SeatLease      time.Duration
	ClaimRetention time.Duration
	Sites          map[SiteName]*SiteConfig
}

// SiteOf returns the site of an availability zone, or nil.
func (c *Config) SiteOf(az AvailabilityZone) *SiteConfig {
	for _, s := range c.Sites {
		for _, z := range s.AvailabilityZones {
			if z == az {
				return s
			}
		}
	}
	return nil
}

// ConfigFiles is a configuration as operators write it: a base file and one overlay for each site.
type ConfigFiles struct {
	Base     string
	Overlays map[SiteName]string
}
