package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

// maxExplainBytes limits the body of a request for an explanation, which has a host, a path and a key.
const maxExplainBytes = 64 << 10

// explain describes where a request of a caller would be sent now. Nothing is sent or taken.
func (m *Module) explain(c echo.Context) error {
	if m.explainer == nil {
		return errs.New(errs.KindUnavailable, "send the request to an entry VM with [vm] traffic = routes", "this VM forwards no requests by host and path")
	}
	r, err := readExplainRequest(c.Request().Body)
	if err != nil {
		return err
	}
	req := &forward.Request{Method: r.Method, Host: r.Host, Target: r.Path, Received: m.now()}
	req.Path, _, _ = strings.Cut(r.Path, "?")
	if r.Key != nil {
		req.Keys = []string{*r.Key}
	}
	out := encodeExplanation(m.explainer.Explain(req))
	out.VM, out.Host, out.Path, out.Method = string(m.holder.VM), req.Host, req.Path, req.Method
	return c.JSON(http.StatusOK, out)
}

// readExplainRequest decodes a request. Its errors do not quote the body, which may hold a key.
func readExplainRequest(body io.Reader) (*operatorapi.ExplainRequest, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxExplainBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "send the whole request", "the request cannot be read")
	}
	if len(data) > maxExplainBytes {
		return nil, errs.New(errs.KindTooLarge, "send the host, the path and one key only", "the request is too large")
	}
	r := &operatorapi.ExplainRequest{Method: http.MethodGet}
	if json.Unmarshal(data, r) != nil {
		return nil, errs.New(errs.KindInvalid, "send one JSON object as in docs/operator-protocol.md", "the request is not valid JSON")
	}
	if r.Host == "" || !strings.HasPrefix(r.Path, "/") {
		return nil, errs.New(errs.KindInvalid, "name the host, and a path that begins with a slash", "the request has no host or no path")
	}
	return r, nil
}

func encodeExplanation(x *forward.Explanation) *operatorapi.ExplainResponse {
	out := &operatorapi.ExplainResponse{
		At: x.At.UTC(), TableVersion: uint64(x.Version), EvacuationsRevision: x.Evacuations.Revision, EvacuatedZones: []string{}, Choice: string(x.Choice),
		Refusal: encodeRefusal(x.Refusal), Services: []operatorapi.ExplainedService{},
	}
	for _, z := range x.Evacuations.Zones {
		out.EvacuatedZones = append(out.EvacuatedZones, string(z))
	}
	if r := x.Route; r != nil {
		out.Route = &operatorapi.ExplainedRoute{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Rank: x.Rank, ScatterGather: r.IsScatterGather(), Repeatable: r.Repeatable, MaxAttempts: r.MaxAttempts,
			TimeoutMS: milliseconds(r.Timeout), ObjectiveMS: milliseconds(r.Objective), MinCoverage: r.MinCoverage, Regions: r.Regions,
		}
		if r.Repeatable {
			out.Route.HedgeAfterMS = milliseconds(x.HedgeDelay)
		}
	}
	if c := x.Customer; c != nil {
		out.Customer = &operatorapi.ExplainedCustomer{Name: c.Name, Rank: c.Rank, Regions: c.Regions, RatePerS: c.Quota.Rate, Burst: c.Quota.Burst}
		if k := x.Credit; k != nil {
			out.Customer.Credit, out.Customer.Units, out.Customer.Owner = string(k.Credit), k.Units, string(k.Owner)
			out.Customer.RetryAfterMS = milliseconds(k.RetryAfter)
		}
	}
	for i := range x.Services {
		out.Services = append(out.Services, encodeService(&x.Services[i], x.Route.Repeatable))
	}
	return out
}

func encodeRefusal(r *forward.Response) *operatorapi.ExplainedRefusal {
	if r == nil {
		return nil
	}
	return &operatorapi.ExplainedRefusal{Kind: string(r.Kind), Reason: r.Reason, RetryAfterMS: milliseconds(r.RetryAfter)}
}

func encodeService(s *forward.ServiceExplanation, repeatable bool) operatorapi.ExplainedService {
	out := operatorapi.ExplainedService{
		Service: string(s.Service), Share: s.Share, Refusal: encodeRefusal(s.Refusal), Candidates: []operatorapi.Candidate{},
		Extras: operatorapi.ExplainedExtras{
			RetryAllowed: s.Retries.AllowsOne(), HedgeAllowed: repeatable && s.Hedges.AllowsOne(), First: s.Retries.First, Used: s.Retries.Extra,
			RetriesUpTo: s.Retries.Allowed, HedgesUpTo: s.Hedges.Allowed,
		},
	}
	chosen, why := s.Why()
	if out.Why = why; chosen != nil {
		out.Chosen = chosen.Leaf.ID
	}
	if s.Pool != nil {
		out.Extras.Pooled, out.Extras.Granted, out.Extras.DeniedUntil = true, s.Pool.Granted, timeOrNil(s.Pool.DeniedUntil)
	}
	for i := range s.Candidates {
		out.Candidates = append(out.Candidates, encodeCandidate(&s.Candidates[i]))
	}
	return out
}

func encodeCandidate(c *forward.Candidate) operatorapi.Candidate {
	out := operatorapi.Candidate{
		Leaf: c.Leaf.ID, Address: c.Leaf.Address, AvailabilityZone: string(c.Leaf.AvailabilityZone), Standing: string(c.Standing), Until: timeOrNil(c.Until),
		Possible: c.Possible, Cost: c.Cost, MaxCost: c.MaxCost, Full: c.Full, Cold: c.Cold, Stalled: c.Stalled, OtherZone: c.OtherZone, Preferred: !c.NotPreferred,
		Connections: c.Connections, InFlight: c.InFlight, Requests: c.Requests, WorkLeftMS: milliseconds(c.WorkLeft), Slowness: c.Slowness,
		FinishMS: milliseconds(c.Finish), NetworkMS: milliseconds(c.Network), FailureRate: c.FailureRate, OutlierRate: c.OutlierRate,
	}
	if c.Cold {
		out.ColdUntil = timeOrNil(c.Leaf.WarmAt)
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.UTC()
	return &t
}
