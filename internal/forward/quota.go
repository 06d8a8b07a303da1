package forward

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// maxQuotaWait is the longest time that a request waits for the VM that keeps the quota of its customer. A refusal has to be sent at
// once, and an answer from the own availability zone takes a few milliseconds.
const maxQuotaWait = 50 * time.Millisecond

// QuotaOptions states by how much the requests of a customer may exceed its quota: in each Window by the share Overage of what the
// quota allows in that time, and by Slack requests more.
type QuotaOptions struct {
	Window         time.Duration
	Overage, Slack float64
}

// Limit returns the limit over all VMs that a quota of the table with the given version sets.
func (o QuotaOptions) Limit(q routes.Quota, version routes.Version) allowance.Limit {
	l := allowance.Limit{
		Rate: q.Rate, Burst: q.Burst, Version: uint64(version),
		Slack: o.Overage*(o.Window.Seconds()*q.Rate+q.Burst) + o.Slack,
	}
	return l.Bounded()
}

// QuotaKey names the allowance that holds the quota of a customer.
func QuotaKey(c *routes.Customer) allowance.Key {
	return allowance.NewKey(allowance.KindCustomer, c.Name)
}

// QuotaDeadline returns until when a request waits for its customer's quota: for maxQuotaWait, and not beyond its deadline.
func QuotaDeadline(now time.Time, req *Request, route *routes.Route) time.Time {
	end := now.Add(maxQuotaWait)
	for _, limit := range []time.Time{req.Received.Add(route.Timeout), req.Deadline} {
		if !limit.IsZero() && limit.Before(end) {
			end = limit
		}
	}
	return end
}

// OverQuota returns the refusal of a request whose customer's quota is used up.
func OverQuota(a allowance.Answer) *Response {
	out := &Response{Kind: KindOverQuota, RetryAfter: max(a.RetryAfter, refusalRetryAfter), Reason: "the quota of the customer is used up"}
	out.Details = []any{"retry_after_ms", out.RetryAfter.Milliseconds()}
	if a.Local {
		out.Reason = "this VM's own part of the customer's quota is used up"
		return out
	}
	out.Details = append(out.Details, "owner", a.Owner, "denied_earlier", a.Remembered)
	return out
}

// RefundsQuota reports whether the credit of a request is given back because it has not run and never will.
func RefundsQuota(r *Response) bool { return r.Kind == KindRefused }
