package query

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/query"
	"github.com/chestnuttiller/chestnuttiller/internal/routing"
)

// medianQuantile is the quantile of the latency that a retry is expected to take.
const medianQuantile = 0.5

// hedgeReserve is the number of tokens that the hedge budget keeps for shards that have been unanswered for longer
// than their quantile. With 5% stragglers and a budget of 5%, half of the budget went to attempts that had just
// passed the quantile and were answered shortly afterwards.
const hedgeReserve = 5

// urgentOverdraft is the number of tokens by which urgent requests may overdraw the retry budget of their service.
// Under overload targets shed attempts, and the retries of the many other requests would leave nothing for urgent
// ones.
const urgentOverdraft = 100

// chooser makes the decisions of query.Environment from the policies of a service and the observations of the load
// tracker. It is used by one request at a time.
type chooser struct {
	tracker  kernel.LoadTracker
	service  *service
	policies *policies
	priority model.Priority
	random   *rand.Rand
	scratch  []kernel.Candidate
	// planned counts the attempts that have been given a target and not been started. The load tracker does not count
	// them yet, and without them all shards of a query would go to the same target.
	planned map[*model.Target]int
}

func newChooser(e *Executor, s *service, p *policies, priority model.Priority, random *rand.Rand) *chooser {
	return &chooser{tracker: e.tracker, service: s, policies: p, priority: priority, random: random, planned: map[*model.Target]int{}}
}

// Choose implements query.Environment.
func (c *chooser) Choose(now time.Time, choice query.ChooseInput) *model.Target {
	candidates := c.candidates(now, choice.Holders, choice.Tried)
	if choice.Straggler != nil {
		candidates = routing.PreferOtherZone(candidates, choice.Straggler.AvailabilityZone)
	}
	i := c.policies.routing.Choose(candidates, c.random)
	if i < 0 || i >= len(candidates) {
		return nil
	}
	c.planned[candidates[i].Target]++
	return candidates[i].Target
}

// candidates describes the holders of a shard. The result is valid until the next call.
func (c *chooser) candidates(now time.Time, holders, tried []*model.Target) []kernel.Candidate {
	c.scratch = c.tracker.Candidates(c.scratch[:0], now, holders)
	for i := range c.scratch {
		c.scratch[i].Queued += c.planned[c.scratch[i].Target]
		for _, t := range tried {
			c.scratch[i].Tried = c.scratch[i].Tried || t.ID == c.scratch[i].Target.ID
		}
	}
	return c.scratch
}

// HedgeAfter implements query.Environment.
func (c *chooser) HedgeAfter(shard model.ShardID) (time.Duration, bool) {
	config := c.policies.config
	return c.policies.hedge.HedgeAfter(kernel.HedgeInput{
		Service:         config,
		QuantileLatency: c.tracker.QuantileLatency(config.Name, shard, config.HedgeQuantile),
		Shedding:        c.tracker.Shedding(config.Name),
	})
}

// Retry implements query.Environment.
func (c *chooser) Retry(q query.RetryInput) (time.Duration, bool) {
	config := c.policies.config
	return c.policies.retry.Retry(kernel.RetryInput{
		Service: config, Status: q.Status, Retries: q.Retries, Remaining: q.Remaining,
		ExpectedLatency: c.tracker.QuantileLatency(config.Name, q.Shard, medianQuantile),
		Candidates:      routing.CountUntried(c.candidates(q.Now, q.Holders, q.Tried)),
	})
}

// TakeHedge implements query.Environment.
func (c *chooser) TakeHedge(useReserve bool) bool {
	if useReserve {
		return c.service.hedges.Take(1)
	}
	return c.service.hedges.TakeAbove(1, hedgeReserve)
}

// TakeRetries implements query.Environment.
func (c *chooser) TakeRetries(n int) bool {
	if c.priority == model.PriorityUrgent {
		return c.service.retries.TakeAbove(n, -urgentOverdraft)
	}
	return c.service.retries.Take(n)
}
