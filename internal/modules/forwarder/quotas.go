package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// quotas takes and gives back the credit of customers' requests.
type quotas struct {
	options forward.QuotaOptions
	// allowances is nil where no module provides it. Quotas are not limited then.
	allowances kernel.Allowances
	logger     log.Logger
	// unlimited logs once that a customer with a quota is not limited.
	unlimited sync.Once
}

func (q *quotas) provision(ctx *kernel.Context, logger log.Logger) {
	s := ctx.Settings
	q.options = forward.QuotaOptions{Window: s.Duration(section, "quota_window"), Overage: s.Float(section, "quota_overage"), Slack: s.Float(section, "quota_slack")}
	q.logger = logger
	if found, err := kernel.Lookup[kernel.Allowances](ctx); err == nil {
		q.allowances = found
	}
}

// take takes the credit for one request of a customer whose quota is limited. It returns the refusal of the request if there is none.
func (q *quotas) take(ctx context.Context, now time.Time, req *forward.Request, route *routes.Route, version routes.Version) *forward.Response {
	if !isLimited(req) {
		return nil
	}
	if q.allowances == nil {
		q.unlimited.Do(func() {
			_ = level.Warn(q.logger).Log("msg", "quotas are not limited because no module provides allowances", "customer", req.Customer.Name, "version", version)
		})
		return nil
	}
	// The time left is measured with the module's clock, and the context ends by that of the system.
	ctx, cancel := context.WithTimeout(ctx, forward.QuotaDeadline(now, req, route).Sub(now))
	defer cancel()
	answer := q.allowances.Take(ctx, forward.QuotaKey(req.Customer), q.options.Limit(req.Customer.Quota, version), 1)
	if answer.Granted {
		return nil
	}
	return forward.OverQuota(answer)
}

// settle gives back the credit of a request that was taken and has not run.
func (q *quotas) settle(req *forward.Request, response *forward.Response) {
	if q.allowances != nil && isLimited(req) && forward.RefundsQuota(response) {
		q.allowances.Return(forward.QuotaKey(req.Customer), 1)
	}
}

func isLimited(req *forward.Request) bool {
	return req.Customer != nil && req.Customer.Quota.IsLimited()
}
