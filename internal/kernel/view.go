package kernel

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// View is the control state that traffic goroutines read. A view is never changed after its publication; each
// controller fills its own part.
type View struct {
	Version     uint64
	PublishedAt time.Time
	// Config is the configuration in force, or nil while this VM has none.
	Config *model.Config
	// Site is the part of Config for this VM's availability zone. It is nil without a Config, or if Config has no site for
	// the zone.
	Site *model.SiteConfig
	// StateRevision is the revision of the replicated state that Config, Layouts and Seat come from.
	StateRevision uint64
	// ControlContact is when the control group last confirmed this state, or zero when it never did.
	ControlContact time.Time
	// Layouts holds the committed layouts by service and number.
	Layouts map[model.ServiceName]map[model.LayoutNumber]*model.Layout
	// Seat is this VM's right to a share of the connections to every target, or model.NoSeat.
	Seat model.Seat
	// Directory holds the targets with live leases.
	Directory *Directory
	// Routes is the route table in force, or nil while this VM has none.
	Routes *routes.Table
	// RemovedKeys holds the keys of customers that earlier tables had on this VM.
	RemovedKeys *routes.RemovedKeys
	// Leaves holds the leaves that requests may be sent to, or nil before any control VM has answered.
	Leaves *leaves.Index
	// LeafOutliers holds the leaves with a high rate of failed or slow attempts across all entry VMs.
	LeafOutliers leaves.Outliers
	// EntryVMs is how many entry VMs share the connections to leaves, this VM included. It is 0 while unknown.
	EntryVMs int
	// Evacuations holds the availability zones to whose leaves nothing is sent.
	Evacuations routes.Evacuations
	// AllowanceOwners lists the entry VMs that keep allowances, by availability zone.
	AllowanceOwners map[model.AvailabilityZone][]model.VMName
}

// Directory is the immutable set of targets with live leases.
type Directory struct {
	Services map[model.ServiceName]*ServiceDirectory
}

// ServiceDirectory holds the targets of one service.
type ServiceDirectory struct {
	// Targets lists the targets in the order of their IDs, those that accept no work included.
	Targets []*model.Target
	// Holders lists, for each snapshot and shard, the targets that accept work for it.
	Holders map[model.Snapshot]map[model.ShardID][]*model.Target
}

// Service returns the configuration of a service at this VM's site, or nil.
func (v *View) Service(name model.ServiceName) *model.ServiceConfig {
	if v.Site == nil {
		return nil
	}
	return v.Site.Services[name]
}

// Targets returns the directory of a service, or nil.
func (v *View) Targets(name model.ServiceName) *ServiceDirectory {
	if v.Directory == nil {
		return nil
	}
	return v.Directory.Services[name]
}

// assumedEntryVMs is used as the number of entry VMs while it is unknown, so that a VM that has just started uses a
// small part of what the entry VMs share.
const assumedEntryVMs = 16

// EffectiveEntryVMs returns the number of entry VMs among which connections and budgets are divided, or assumedEntryVMs
// while the number is unknown.
func (v *View) EffectiveEntryVMs() int {
	if v.EntryVMs == 0 {
		return assumedEntryVMs
	}
	return v.EntryVMs
}

// NeedsAllowances reports whether this VM needs the owners of allowances: for limits of the route table, or for the pool of extra
// attempts if the settings have it kept by the availability zones.
func (v *View) NeedsAllowances(s *settings.Settings) bool {
	return len(s.ZoneRegions) > 0 && (s.PoolsExtrasInZones() || v.Routes != nil && v.Routes.NeedsAllowances())
}

// EachTarget calls fn for every target with a live lease. The services come in no particular order.
func (v *View) EachTarget(fn func(*model.Target)) {
	if v.Directory == nil {
		return
	}
	for _, s := range v.Directory.Services {
		for _, t := range s.Targets {
			fn(t)
		}
	}
}
