package bench

import (
	"fmt"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// replicasPerShard is the number of targets that hold each shard. The design page gives only the number of targets.
const replicasPerShard = 3

const (
	// utilisation is the share of the targets' capacity that the load uses at load factor 1. Factor 2 is beyond the
	// capacity.
	utilisation = 0.6
	// urgentShare is the share of urgent requests, such as cold-chain checks, in the load of each service.
	urgentShare = 0.1
)

const (
	urgentPriority   = "urgent"
	requestBodyBytes = 256
)

// ServiceGroup describes services of the same size: one row of the table of sizes on the design page.
type ServiceGroup struct {
	Name           string
	Services       int
	Targets        int
	Slots          int
	MaxConnections int
	ConnectTime    time.Duration
	Priority       string
	// LoadedServices is the number of services that receive load. The targets of all services announce themselves.
	LoadedServices int
}

// User describes the system of one user, as on the design page.
type User struct {
	Name     string
	Zones    []model.AvailabilityZone
	EntryVMs int
	// ZoneRoundTrip is the network round-trip time between availability zones.
	ZoneRoundTrip time.Duration
	Groups        []ServiceGroup
	// ServiceTime is the service time of a sub-request, StragglerDelay the additional time of a straggler.
	ServiceTime    standin.Distribution
	StragglerDelay standin.Distribution
	Deadline       time.Duration
	Finish         model.FinishMode
	FinishAfter    time.Duration
	// MinimumCoverage is the minimum coverage of an answer that the services accept.
	MinimumCoverage float64
}

// UserByName returns the system of a user.
func UserByName(name string) (*User, error) {
	for _, u := range users() {
		if u.Name == name {
			return &u, nil
		}
	}
	return nil, errs.New(errs.KindInvalid, "use sfax or hanbit", "unknown user %q", name)
}

func users() []User {
	serviceTime := standin.Distribution{Kind: "lognormal", Value: 12 * time.Millisecond, Sigma: 0.35}
	stragglerDelay := standin.Distribution{Kind: "uniform", Value: 100 * time.Millisecond, Max: 250 * time.Millisecond}
	return []User{
		{
			Name: "sfax", Zones: []model.AvailabilityZone{"a", "b", "c"}, EntryVMs: 9, ZoneRoundTrip: time.Millisecond,
			ServiceTime: serviceTime, StragglerDelay: stragglerDelay, Deadline: time.Second, Finish: model.FinishWait, MinimumCoverage: 0.5,
			Groups: []ServiceGroup{
				{Name: "depot-desk", Services: 10, Targets: 3, Slots: 3, MaxConnections: 30, ConnectTime: 6 * time.Millisecond, Priority: "normal", LoadedServices: 2},
				{Name: "billing", Services: 15, Targets: 3, Slots: 3, MaxConnections: 30, ConnectTime: 6 * time.Millisecond, Priority: "bulk", LoadedServices: 2},
				{Name: "buyer-portal", Services: 1, Targets: 15, Slots: 4, MaxConnections: 110, ConnectTime: time.Millisecond, Priority: "normal", LoadedServices: 1},
				{Name: "route-plan", Services: 1, Targets: 7, Slots: 4, MaxConnections: 110, ConnectTime: time.Millisecond, Priority: "normal", LoadedServices: 1},
			},
		},
		{
			Name: "hanbit", Zones: []model.AvailabilityZone{"a", "b", "c", "d"}, EntryVMs: 8, ZoneRoundTrip: 500 * time.Microsecond,
			ServiceTime: serviceTime, StragglerDelay: stragglerDelay, Deadline: 500 * time.Millisecond, Finish: model.FinishEarly, FinishAfter: 80 * time.Millisecond, MinimumCoverage: 0.9,
			Groups: []ServiceGroup{
				{Name: "dealer-front", Services: 10, Targets: 3, Slots: 2, MaxConnections: 25, ConnectTime: 6 * time.Millisecond, Priority: "normal", LoadedServices: 2},
				{Name: "quote-desk", Services: 15, Targets: 3, Slots: 2, MaxConnections: 25, ConnectTime: 6 * time.Millisecond, Priority: "bulk", LoadedServices: 2},
				{Name: "order-track", Services: 1, Targets: 16, Slots: 2, MaxConnections: 35, ConnectTime: time.Millisecond, Priority: "normal", LoadedServices: 1},
				{Name: "stock-ledger", Services: 1, Targets: 8, Slots: 2, MaxConnections: 35, ConnectTime: time.Millisecond, Priority: "normal", LoadedServices: 1},
			},
		},
	}
}

// serviceName returns the name of service n of the group, counted from 0. The names are numbered from 1; the only service
// of a group has the name of the group.
func (g *ServiceGroup) serviceName(n int) model.ServiceName {
	if g.Services == 1 {
		return model.ServiceName(g.Name)
	}
	return model.ServiceName(fmt.Sprintf("%s-%d", g.Name, n+1))
}

// shardsOf returns the shards that a target holds. A service has as many shards as targets. Consecutive targets are in
// different availability zones, so the replicas of a shard are in different zones. Where the numbers wrap around, from the
// last target to the first, two replicas can share a zone.
func (g *ServiceGroup) shardsOf(target int) []model.ShardID {
	var out []model.ShardID
	for i := range min(replicasPerShard, g.Targets) {
		out = append(out, model.ShardID((target+i)%g.Targets+1))
	}
	return out
}

// baseQueryRate returns the queries per second of one service at load factor 1. Each query runs on every shard.
func (u *User) baseQueryRate(g *ServiceGroup) float64 {
	capacity := float64(g.Targets*g.Slots) / u.ServiceTime.Mean().Seconds()
	return utilisation * capacity / float64(g.Targets)
}

// streams returns the streams of the user and their total rate at a load factor. A rate above 0 replaces the total rate
// at factor 1.
func (u *User) streams(factor, rate float64) (streams []Stream, total float64) {
	for i := range u.Groups {
		g := &u.Groups[i]
		for n := range g.LoadedServices {
			name := g.serviceName(n)
			q := u.baseQueryRate(g)
			total += q
			streams = append(streams,
				Stream{Name: string(name), Service: name, Weight: (1 - urgentShare) * q, Priority: g.Priority, BodyBytes: requestBodyBytes},
				Stream{Name: string(name) + "/urgent", Service: name, Weight: urgentShare * q, Priority: urgentPriority, BodyBytes: requestBodyBytes})
		}
	}
	if rate > 0 {
		total = rate
	}
	return streams, total * factor
}

// configuration returns the base file of the operators' configuration for the user.
func (u *User) configuration(policies Policies) string {
	f := Sections{}
	f.Set("system", "name", u.Name)
	f.Set("system", "seats", fmt.Sprint(u.EntryVMs))
	f.Set("defaults", "deadline", u.Deadline.String())
	f.Set("defaults", "minimum_coverage", fmt.Sprint(u.MinimumCoverage))
	f.Set("defaults", "finish", string(u.Finish))
	f.Set("defaults", "finish_after", u.FinishAfter.String())
	f.Set("defaults", "routing", policies.Routing)
	f.Set("defaults", "hedge", policies.Hedge)
	f.Set("defaults", "hedge_quantile", fmt.Sprint(policies.HedgeQuantile))
	f.Set("defaults", "hedge_budget", fmt.Sprint(policies.HedgeBudget))
	f.Set("defaults", "retry", policies.Retry)
	f.Set("defaults", "max_concurrency", "4096")
	for _, zone := range u.Zones {
		f.Set("site "+string(zone), "availability_zones", string(zone))
		f.Set("site "+string(zone), "services", "*")
	}
	for i := range u.Groups {
		g := &u.Groups[i]
		for n := range g.Services {
			f.Set("service "+string(g.serviceName(n)), "priority", g.Priority)
		}
	}
	return f.Text()
}
