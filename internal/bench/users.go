package bench

import (
	"fmt"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// replicas is how many leaves hold each shard. The design page gives the number of leaves only.
const replicas = 3

const (
	// utilisation is the share of the targets' capacity that the load takes at load factor 1, so that factor 2 is
	// beyond the capacity.
	utilisation = 0.6
	// urgentShare is the share of urgent requests, such as cold-chain checks, in the load of each service.
	urgentShare = 0.1
)

const (
	urgent = "urgent"
	// bodyBytes is the size of a request.
	bodyBytes = 256
)

// ServiceGroup is a row of the sizes on the design page: services of one kind.
type ServiceGroup struct {
	Name        string
	Services    int
	Leaves      int
	Slots       int
	Connections int
	ConnectTime time.Duration
	Priority    string
	// Loaded is how many of the services get load. All of them announce themselves.
	Loaded int
}

// User is a user's system as the design page describes it.
type User struct {
	Name     string
	Zones    []model.AvailabilityZone
	EntryVMs int
	// ZoneDelay is the time between availability zones, there and back.
	ZoneDelay time.Duration
	Groups    []ServiceGroup
	// ServiceTime is the service time of a sub-request, Straggle the additional time of stragglers.
	ServiceTime standin.Distribution
	Straggle    standin.Distribution
	Deadline    time.Duration
	Finish      model.FinishMode
	FinishAfter time.Duration
	// MinimumCoverage is what the services accept.
	MinimumCoverage float64
}

// UserNamed returns the sizes of a user.
func UserNamed(name string) (*User, error) {
	for _, u := range users() {
		if u.Name == name {
			return &u, nil
		}
	}
	return nil, errs.New(errs.KindInvalid, "use sfax or hanbit", "user %q is not known", name)
}

func users() []User {
	work := standin.Distribution{Kind: "lognormal", Value: 12 * time.Millisecond, Sigma: 0.35}
	straggle := standin.Distribution{Kind: "uniform", Value: 100 * time.Millisecond, Max: 250 * time.Millisecond}
	return []User{
		{
			Name: "sfax", Zones: []model.AvailabilityZone{"a", "b", "c"}, EntryVMs: 9, ZoneDelay: time.Millisecond,
			ServiceTime: work, Straggle: straggle, Deadline: time.Second, Finish: model.FinishWait, MinimumCoverage: 0.5,
			Groups: []ServiceGroup{
				{Name: "depot-desk", Services: 10, Leaves: 3, Slots: 3, Connections: 30, ConnectTime: 6 * time.Millisecond, Priority: "normal", Loaded: 2},
				{Name: "billing", Services: 15, Leaves: 3, Slots: 3, Connections: 30, ConnectTime: 6 * time.Millisecond, Priority: "bulk", Loaded: 2},
				{Name: "buyer-portal", Services: 1, Leaves: 15, Slots: 4, Connections: 110, ConnectTime: time.Millisecond, Priority: "normal", Loaded: 1},
				{Name: "route-plan", Services: 1, Leaves: 7, Slots: 4, Connections: 110, ConnectTime: time.Millisecond, Priority: "normal", Loaded: 1},
			},
		},
		{
			Name: "hanbit", Zones: []model.AvailabilityZone{"a", "b", "c", "d"}, EntryVMs: 8, ZoneDelay: 500 * time.Microsecond,
			ServiceTime: work, Straggle: straggle, Deadline: 500 * time.Millisecond, Finish: model.FinishEarly, FinishAfter: 80 * time.Millisecond, MinimumCoverage: 0.9,
			Groups: []ServiceGroup{
				{Name: "dealer-front", Services: 10, Leaves: 3, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, Priority: "normal", Loaded: 2},
				{Name: "quote-desk", Services: 15, Leaves: 3, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, Priority: "bulk", Loaded: 2},
				{Name: "order-track", Services: 1, Leaves: 16, Slots: 2, Connections: 35, ConnectTime: time.Millisecond, Priority: "normal", Loaded: 1},
				{Name: "stock-ledger", Services: 1, Leaves: 8, Slots: 2, Connections: 35, ConnectTime: time.Millisecond, Priority: "normal", Loaded: 1},
			},
		},
	}
}

// serviceName returns the name of a service of the group, counted from 0.
func (g *ServiceGroup) serviceName(n int) model.ServiceName {
	if g.Services == 1 {
		return model.ServiceName(g.Name)
	}
	return model.ServiceName(fmt.Sprintf("%s-%d", g.Name, n+1))
}

// shardsOf returns the shards that a leaf holds, of as many shards as the service has leaves. Neighbouring leaves are
// in different availability zones, so each shard has its replicas in different ones.
func (g *ServiceGroup) shardsOf(leaf int) []model.ShardID {
	var out []model.ShardID
	for i := range min(replicas, g.Leaves) {
		out = append(out, model.ShardID((leaf+i)%g.Leaves+1))
	}
	return out
}

// ratedQueries returns the queries per second of one service at load factor 1. Each query runs on every shard.
func (u *User) ratedQueries(g *ServiceGroup) float64 {
	capacity := float64(g.Leaves*g.Slots) / u.ServiceTime.Mean().Seconds()
	return utilisation * capacity / float64(g.Leaves)
}

// streams returns the load of the user at a load factor. A rate above 0 sets the sum over all streams at factor 1.
func (u *User) streams(factor, rate float64) (streams []Stream, total float64) {
	for i := range u.Groups {
		g := &u.Groups[i]
		for n := range g.Loaded {
			name := g.serviceName(n)
			q := u.ratedQueries(g)
			total += q
			streams = append(streams,
				Stream{Name: string(name), Service: name, Weight: (1 - urgentShare) * q, Priority: g.Priority, BodyBytes: bodyBytes},
				Stream{Name: string(name) + "/urgent", Service: name, Weight: urgentShare * q, Priority: urgent, BodyBytes: bodyBytes})
		}
	}
	if rate > 0 {
		total = rate
	}
	return streams, total * factor
}

// configuration returns the base file of the operators' configuration.
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
