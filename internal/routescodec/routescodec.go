// Package routescodec is the protobuf encoding of route tables in the control log and between VMs.
package routescodec

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec/routespb"
)

// Encode encodes a publication.
func Encode(p routes.Publication) ([]byte, error) {
	message := &routespb.Publication{Table: TableToProto(p.Table), Document: p.Document}
	if err := compressLong(message); err != nil {
		return nil, err
	}
	return proto.Marshal(message)
}

// Decode decodes a publication and validates its table.
func Decode(data []byte) (routes.Publication, error) {
	var publication routespb.Publication
	if err := proto.Unmarshal(data, &publication); err != nil {
		return routes.Publication{}, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "a published route table cannot be decoded")
	}
	return publicationFrom(&publication)
}

// EncodeResult encodes the version in force after a publication was applied, or the reason why it was not.
func EncodeResult(inForce routes.Version, failure error) ([]byte, error) {
	r := &routespb.Result{Version: uint64(inForce)}
	if failure != nil {
		r.Error = failure.Error()
	}
	return proto.Marshal(r)
}

// DecodeResult decodes the output of EncodeResult. The reason of a refused publication is returned as an
// error.
func DecodeResult(data []byte) (routes.Version, error) {
	var r routespb.Result
	if err := proto.Unmarshal(data, &r); err != nil || len(data) == 0 {
		return 0, errs.New(errs.KindUnknownOutcome, "publish the same version again", "the result of publishing a route table cannot be decoded")
	}
	if r.GetError() != "" {
		return 0, errs.New(errs.KindInvalid, "run the same release on all VMs", "the control group refused the published route table: %s", r.GetError())
	}
	return routes.Version(r.GetVersion()), nil
}

// TableToProto returns the message of a table, or nil for none.
func TableToProto(t *routes.Table) *routespb.Table {
	if t == nil {
		return nil
	}
	out := &routespb.Table{Version: uint64(t.Version), Limits: &routespb.Limits{
		MaxHeaderBytes: t.Limits.MaxHeaderBytes, MaxBodyBytes: t.Limits.MaxBodyBytes,
		HeaderTimeoutMs: t.Limits.HeaderTimeout.Milliseconds(), IdleTimeoutMs: t.Limits.IdleTimeout.Milliseconds(),
	}}
	for i := range t.Routes {
		out.Routes = append(out.Routes, routeToProto(&t.Routes[i]))
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, &routespb.Service{Name: string(s.Name), HealthPath: s.HealthPath, MaxConnections: limitInt32(s.MaxConnections),
			WarmUpMs: s.WarmUp.Milliseconds(), WarmUpRate: s.WarmUpRate})
	}
	for i := range t.Customers {
		out.Customers = append(out.Customers, customerToProto(&t.Customers[i]))
	}
	return out
}

// limitInt32 returns the nearest number of 32 bits. A conversion would change the sign or the size of a greater one.
func limitInt32(n int) int32 { return int32(max(min(n, math.MaxInt32), math.MinInt32)) }

func routeToProto(r *routes.Route) *routespb.Route {
	out := &routespb.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Repeatable: r.Repeatable,
		TimeoutMs: r.Timeout.Milliseconds(), ObjectiveMs: r.Objective.Milliseconds(), Rank: limitInt32(r.Rank),
		MaxAttempts: limitInt32(r.MaxAttempts), TopRecords: limitInt32(r.TopRecords), MinCoverage: r.MinCoverage,
		Public: r.Public, Regions: r.Regions,
	}
	for _, s := range r.Split {
		out.Split = append(out.Split, &routespb.Share{Service: string(s.Service), Weight: s.Weight})
	}
	for _, s := range r.Shards {
		out.Shards = append(out.Shards, string(s))
	}
	return out
}

// TableFromProto returns the validated table of a message.
func TableFromProto(message *routespb.Table) (*routes.Table, error) {
	if message == nil {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "a publication contains no route table")
	}
	l := message.GetLimits()
	t := &routes.Table{Version: routes.Version(message.GetVersion()), Limits: routes.Limits{
		MaxHeaderBytes: l.GetMaxHeaderBytes(), MaxBodyBytes: l.GetMaxBodyBytes(),
		HeaderTimeout: millis(l.GetHeaderTimeoutMs()), IdleTimeout: millis(l.GetIdleTimeoutMs()),
	}}
	for _, r := range message.GetRoutes() {
		t.Routes = append(t.Routes, routeFromProto(r))
	}
	for _, s := range message.GetServices() {
		t.Services = append(t.Services, routes.Service{Name: model.ServiceName(s.GetName()), HealthPath: s.GetHealthPath(), MaxConnections: int(s.GetMaxConnections()),
			WarmUp: millis(s.GetWarmUpMs()), WarmUpRate: s.GetWarmUpRate()})
	}
	for _, c := range message.GetCustomers() {
		customer, err := customerFromProto(c)
		if err != nil {
			return nil, err
		}
		t.Customers = append(t.Customers, customer)
	}
	return routes.Build(t)
}

func routeFromProto(r *routespb.Route) routes.Route {
	out := routes.Route{
		Name: r.GetName(), Host: r.GetHost(), Prefix: r.GetPrefix(), Repeatable: r.GetRepeatable(),
		Timeout: millis(r.GetTimeoutMs()), Objective: millis(r.GetObjectiveMs()), Rank: int(r.GetRank()),
		MaxAttempts: int(r.GetMaxAttempts()), TopRecords: int(r.GetTopRecords()), MinCoverage: r.GetMinCoverage(),
		Public: r.GetPublic(), Regions: r.GetRegions(),
	}
	for _, s := range r.GetSplit() {
		out.Split = append(out.Split, routes.Share{Service: model.ServiceName(s.GetService()), Weight: s.GetWeight()})
	}
	for _, s := range r.GetShards() {
		out.Shards = append(out.Shards, model.ServiceName(s))
	}
	return out
}

func customerToProto(c *routes.Customer) *routespb.Customer {
	out := &routespb.Customer{Name: c.Name, Rate: c.Quota.Rate, Burst: c.Quota.Burst, Regions: c.Regions}
	for _, k := range c.Keys {
		out.KeyDigests = append(out.KeyDigests, k[:])
	}
	if c.Rank != nil {
		rank := limitInt32(*c.Rank)
		out.Rank = &rank
	}
	return out
}

func customerFromProto(in *routespb.Customer) (routes.Customer, error) {
	out := routes.Customer{Name: in.GetName(), Quota: routes.Quota{Rate: in.GetRate(), Burst: in.GetBurst()}, Regions: in.GetRegions()}
	for _, k := range in.GetKeyDigests() {
		if len(k) != len(routes.KeyDigest{}) {
			return routes.Customer{}, errs.New(errs.KindInvalid, "run the same release on all VMs", "a key digest of customer %q has %d bytes", in.GetName(), len(k))
		}
		out.Keys = append(out.Keys, routes.KeyDigest(k))
	}
	if in.Rank != nil {
		rank := int(in.GetRank())
		out.Rank = &rank
	}
	return out, nil
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
