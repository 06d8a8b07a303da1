package forward

import (
	"fmt"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Explanation is where a request would be sent now, and why.
type Explanation struct {
	At          time.Time
	Version     routes.Version
	Evacuations routes.Evacuations
	Choice      Choice
	// Refusal is the response if the request would be refused before it has a service, or nil.
	Refusal *Response
	// Route and Customer are nil where there is none. Rank is that of the request.
	Route    *routes.Route
	Customer *routes.Customer
	Rank     int
	// Credit is what this VM knows of the quota of the customer. It is nil where nothing limits the customer.
	Credit *allowance.Known
	// HedgeDelay is how long an attempt may be unanswered before it is hedged.
	HedgeDelay time.Duration
	// Services lists the shards, or the services of the split. It is empty if it is not known which leaves the request may get.
	Services []ServiceExplanation
}

// ServiceExplanation is what a request would meet at one service.
type ServiceExplanation struct {
	Service model.ServiceName
	// Share is the probability with which the split picks the service. It is 1 for a shard.
	Share float64
	// Refusal is the response if the request would be refused after the split has picked the service, before anything is sent. On a
	// scatter-gather route it is the same for all shards.
	Refusal *Response
	// Retries and Hedges are the uses of the budget of extra attempts. Pool is nil unless extra attempts are granted beyond it.
	Retries, Hedges BudgetUse
	Pool            *PoolUse
	Candidates      []Candidate
}

// Shares returns the services to which a request on a route may be sent, with the probability of each.
func Shares(route *routes.Route) []ServiceExplanation {
	var out []ServiceExplanation
	for _, s := range route.Shards {
		out = append(out, ServiceExplanation{Service: s, Share: 1})
	}
	// The sum of the weights themselves may be infinite.
	var greatest, total float64
	for _, s := range route.Split {
		greatest = max(greatest, s.Weight)
	}
	for _, s := range route.Split {
		total += s.Weight / greatest
	}
	for _, s := range route.Split {
		if s.Weight > 0 {
			out = append(out, ServiceExplanation{Service: s.Service, Share: s.Weight / greatest / total})
		}
	}
	return out
}

// RefuseKnownDenial returns the refusal of a request whose customer's quota is known to be used up, or nil.
func RefuseKnownDenial(k *allowance.Known) *Response {
	if k == nil || k.Credit != allowance.CreditDenied {
		return nil
	}
	return OverQuota(allowance.Answer{RetryAfter: k.RetryAfter})
}

// Why returns which leaf of the service would be chosen now, or nil, and the reason.
func (s *ServiceExplanation) Why() (*Candidate, string) {
	possible := 0
	var likely *Candidate
	for i := range s.Candidates {
		c := &s.Candidates[i]
		if c.Likely {
			likely = c
		}
		if c.Possible {
			possible++
		}
	}
	switch {
	case len(s.Candidates) == 0:
		return nil, "the service has no leaf"
	case likely == nil:
		return nil, "no leaf can be chosen; a request would wait for one or be refused"
	case likely.Standing != StandingEligible:
		return likely, "no leaf is eligible, and this one's ejection ends first"
	case possible > 1:
		return likely, fmt.Sprintf("least cost; by the random part of the costs, %d other leaves may be chosen", possible-1)
	}
	return likely, "least cost, whatever the random part of the costs"
}
