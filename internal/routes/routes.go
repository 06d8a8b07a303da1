// Package routes holds the route table: which services answer the requests of a host and path prefix, and within which
// limits. A table is one version of the operators' configuration and is immutable once it is built.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Version orders route tables. The highest published version is in force.
type Version uint64

// Share is the share of a route's requests that is sent to one service.
type Share struct {
	Service model.ServiceName
	Weight  float64
}

// Route defines how requests of one host and path prefix are handled. Exactly one of Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable reports whether a request may run more than once.
	Repeatable bool
	// Timeout limits the time until the caller gets a response. Objective is the target latency: the time within which an answer
	// is of full use to the caller.
	Timeout   time.Duration
	Objective time.Duration
	// Rank orders routes that compete for the same leaves; routes of rank 0 are served first.
	Rank int
	// MaxAttempts limits how many leaves may run one request, or one shard of it.
	MaxAttempts int
	Split       []Share
	Shards      []model.ServiceName
	// TopRecords is the maximum number of records in the merged answer.
	TopRecords int
	// MinCoverage is the least share of the shards that is enough for an answer.
	MinCoverage float64
	// Public routes need no key of a customer.
	Public bool
	// Regions lists the regions whose leaves may get requests of the route. Without any, all regions may.
	Regions []string
}

// IsScatterGather reports whether a request of the route is sent to all shards and their replies are merged.
func (r *Route) IsScatterGather() bool { return len(r.Shards) > 0 }

// Service is a group of interchangeable leaves.
type Service struct {
	Name       model.ServiceName
	HealthPath string
	// MaxConnections is the number of connections that each leaf accepts from all clients together.
	MaxConnections int
	// WarmUp is how long a leaf is cold after its start. A cold leaf gets at most WarmUpRate requests per second from all entry VMs
	// together; 0 means no limit.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Limits restricts the size of callers' requests and the time that they may take. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routes.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Customers may be empty: then requests need no keys.
	Customers []Customer

	byHost   map[string][]*Route
	services map[model.ServiceName]*Service
	byKey    map[KeyDigest]*Customer
}

// Publication is a table with the document in which the operator sent it.
type Publication struct {
	Table    *Table
	Document []byte
}

// Build validates a table and prepares it for lookups. The error describes what is invalid.
func Build(t *Table) (*Table, error) {
	t.services = make(map[model.ServiceName]*Service, len(t.Services))
	for i := range t.Services {
		s := &t.Services[i]
		if s.Name == "" {
			return nil, invalid("name every service", "service %d has no name", i)
		}
		if _, ok := t.services[s.Name]; ok {
			return nil, invalid("list each service once", "service %q is listed twice", s.Name)
		}
		if s.WarmUp < 0 || !isAmount(s.WarmUpRate) {
			return nil, invalid("use a warm-up and a rate of 0 or above", "service %q has a warm-up of %s at %v requests a second", s.Name, s.WarmUp, s.WarmUpRate)
		}
		t.services[s.Name] = s
	}
	if err := t.buildCustomers(); err != nil {
		return nil, err
	}
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		r.Host = strings.ToLower(r.Host)
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for host, hostRoutes := range t.byHost {
		// The longest prefix comes first, so that the first match is the most specific one.
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
		for i := 1; i < len(hostRoutes); i++ {
			if hostRoutes[i].Prefix == hostRoutes[i-1].Prefix {
				return nil, invalid("give one of them another prefix", "routes %q and %q share host %q and prefix %q", hostRoutes[i-1].Name, hostRoutes[i].Name, host, hostRoutes[i].Prefix)
			}
		}
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("give it a host, and a prefix that begins and ends with a slash", "route %q has host %q and prefix %q", r.Name, r.Host, r.Prefix)
	case r.Timeout <= 0:
		return invalid("give it a timeout above 0", "route %q has no timeout", r.Name)
	case r.MaxAttempts < 1:
		return invalid("allow at least one attempt", "route %q allows %d attempts", r.Name, r.MaxAttempts)
	case r.IsScatterGather() == (len(r.Split) > 0):
		return invalid("name either services or shards", "route %q names %d services and %d shards", r.Name, len(r.Split), len(r.Shards))
	case r.IsScatterGather() && !r.Repeatable:
		return invalid("make the route repeatable", "route %q sends requests to all shards and is not repeatable", r.Name)
	case r.IsScatterGather() && (r.TopRecords < 0 || r.MinCoverage < 0 || r.MinCoverage > 1):
		return invalid("set 0 records or more and a coverage from 0 to 1", "route %q has %d records and a coverage of %v", r.Name, r.TopRecords, r.MinCoverage)
	}
	var weights float64
	for _, s := range r.Split {
		if s.Weight < 0 {
			return invalid("use weights of 0 and above", "route %q gives %q a weight of %v", r.Name, s.Service, s.Weight)
		}
		weights += s.Weight
		if err := t.checkService(r, s.Service); err != nil {
			return err
		}
	}
	if len(r.Split) > 0 && weights <= 0 {
		return invalid("give a service a weight above 0", "the weights of route %q add up to 0", r.Name)
	}
	for i, s := range r.Shards {
		if err := t.checkService(r, s); err != nil {
			return err
		}
		if slices.Contains(r.Shards[:i], s) {
			return invalid("list each shard once", "route %q lists shard %q twice", r.Name, s)
		}
	}
	return nil
}

func (t *Table) checkService(r *Route, name model.ServiceName) error {
	if t.services[name] == nil {
		return invalid("add the service, or name another one", "route %q names the unknown service %q", r.Name, name)
	}
	return nil
}

func invalid(remedy, format string, args ...any) error {
	return errs.New(errs.KindInvalid, remedy, format, args...)
}

// Match returns the route with the longest matching prefix of the path, or nil. A port after the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service of the table, or nil.
func (t *Table) Service(name model.ServiceName) *Service { return t.services[name] }

// Pick returns the service of a split route that a number from 0 up to, but not including, 1 selects by the weights.
func (r *Route) Pick(number float64) model.ServiceName {
	// The sum of the weights themselves may be infinite.
	var greatest, total float64
	for _, s := range r.Split {
		greatest = max(greatest, s.Weight)
	}
	for _, s := range r.Split {
		total += s.Weight / greatest
	}
	number *= total
	last := r.Split[0].Service
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if number < s.Weight/greatest {
			return s.Service
		}
		number -= s.Weight / greatest
	}
	return last // Reached only through rounding errors.
}
