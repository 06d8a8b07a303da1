package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// knownAllowances reports a denial, and fails the test if units are taken or returned.
type knownAllowances struct{ t *testing.T }

func (x knownAllowances) Known(key allowance.Key, _ allowance.Limit) allowance.Known {
	require.Equal(x.t, allowance.Key{Kind: allowance.KindCustomer, Name: "one"}, key)
	return allowance.Known{Credit: allowance.CreditDenied, RetryAfter: time.Second}
}

// newExplainedModule returns a module with customers, a split route, a cold leaf with a limit, an ejected leaf, and attempts that count
// against budgets.
func newExplainedModule(t *testing.T) *Module {
	m, _ := newPartitionModule(t)
	now := time.Unix(1000, 0)
	m.now = func() time.Time { return now }
	m.limits, m.choice = forward.BudgetLimits{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}, forward.ChoiceWork
	m.tracker = forward.NewTracker(forward.TrackerOptions{Zone: "own", HedgeQuantile: 0.9, Choice: m.choice}, rand.New(rand.NewPCG(1, 2)))
	m.cold.allowances, m.cold.book, m.grants = &unitAllowances{}, forward.NewColdBook(), forward.NewGrantBook()
	rank := 1
	c := customer("one", routes.Quota{Rate: 5, Burst: 2}, "key-1")
	c.Rank, c.Regions = &rank, []string{"north"}
	table, err := routes.Build(&routes.Table{
		Version: 7, Customers: []routes.Customer{c}, Services: []routes.Service{{Name: "a", WarmUpRate: 10}, {Name: "b"}},
		Routes: []routes.Route{{Name: "s", Host: "h", Prefix: "/", Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Split: []routes.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}},
	})
	require.NoError(t, err)
	member := func(id, service, zone string) *leaves.Member {
		return &leaves.Member{Leaf: leaves.Leaf{ID: id, Service: model.ServiceName(service), AvailabilityZone: model.AvailabilityZone(zone), Slots: 4}}
	}
	cold, ejected := member("cold", "a", "own"), member("ejected", "a", "own")
	cold.WarmAt = now.Add(time.Minute)
	index := &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{
		"a": {cold, ejected, member("warm", "a", "other"), member("far", "a", "foreign"), member("gone", "a", "evacuated")}, "b": {member("only", "b", "evacuated")},
	}}
	m.zoneRegions = map[model.AvailabilityZone]string{"own": "north", "other": "north", "evacuated": "north", "foreign": "south"}
	m.control.SetTestView(&kernel.View{Routes: table, Leaves: index, EntryVMs: 2, Evacuations: routes.Evacuations{Revision: 3, Zones: []model.AvailabilityZone{"evacuated"}}})
	m.tracker.AttemptStarted(now, "s", ejected)
	m.tracker.AttemptEnded(now, "s", ejected, now, &forward.AttemptResult{Refused: true}, false)
	b, l := m.budget("a")
	b.CountFirst(now, l)
	return m
}

// Guards against an explanation that takes a unit, an extra attempt, credit or a place, or that changes the next choice; and against a
// leaf whose standing is shown wrong.
func TestExplanationTakesNothing(t *testing.T) {
	m, untouched := newExplainedModule(t), newExplainedModule(t)
	m.quotas.allowances = struct {
		kernel.Allowances // Take and Return panic.
		knownAllowances
	}{nil, knownAllowances{t}}
	req := &forward.Request{Host: "h", Path: "/x", Keys: []string{"key-1"}, Received: m.now()}
	x := m.Explain(req)
	require.Equal(t, x, m.Explain(req))
	require.Equal(t, untouched.tracker, m.tracker)
	require.Equal(t, untouched.budgets, m.budgets)
	require.Equal(t, untouched.random, m.random)
	require.Equal(t, untouched.use, m.use)
	require.Equal(t, untouched.cold.book, m.cold.book)
	require.Equal(t, untouched.grants, m.grants)
	require.Empty(t, m.waiters)

	require.Equal(t, routes.Version(7), x.Version)
	require.Equal(t, "one", x.Customer.Name)
	require.Equal(t, 1, x.Rank)
	require.Equal(t, forward.KindOverQuota, x.Refusal.Kind)
	require.Len(t, x.Services, 2)
	a, b := x.Services[0], x.Services[1]
	require.InDelta(t, 0.75, a.Share, 1e-9)
	require.Nil(t, a.Refusal)
	require.Equal(t, forward.KindRefused, b.Refusal.Kind)
	require.Contains(t, b.Refusal.Reason, "no leaf of service b is allowed")
	standings := map[string]forward.Standing{}
	for _, c := range a.Candidates {
		standings[c.Leaf.ID] = c.Standing
	}
	require.Equal(t, map[string]forward.Standing{
		"warm": forward.StandingEligible, "cold": forward.StandingNoColdUnit, "ejected": forward.StandingEjected,
		"far": forward.StandingOtherRegion, "gone": forward.StandingEvacuated,
	}, standings)
	require.True(t, a.Candidates[0].Likely)
	require.Equal(t, "warm", a.Candidates[0].Leaf.ID)
	require.Equal(t, 1.0, a.Retries.First)

	req.Keys = []string{"key-2"}
	x = m.Explain(req)
	require.Equal(t, forward.KindUnauthorized, x.Refusal.Kind)
	require.Empty(t, x.Services)
}

// Guards against an early refusal that is shown other than it is given.
func TestExplainedRefusalIsTheRealOne(t *testing.T) {
	for _, full := range [][]model.ServiceName{nil, {"b", "c"}} {
		m, _ := newPartitionModule(t)
		now := time.Now()
		m.now = func() time.Time { return now }
		for _, s := range full {
			l := m.control.View().Leaves.Services[s][0]
			load := &forward.Load{Running: 4, Waiting: 4000, Slots: 4}
			for _, result := range []forward.AttemptResult{
				{Reply: &forward.LeafReply{Status: 200, Signature: "s", Load: load}, Sent: true, Latency: 50 * time.Second},
				{Reply: &forward.LeafReply{Status: 503, NotRun: true, Load: load}, Sent: true},
			} {
				m.tracker.AttemptStarted(now, "other", l)
				m.tracker.AttemptEnded(now, "other", l, now, &result, false)
			}
		}
		x := m.Explain(&forward.Request{Host: "h", Path: "/", Received: now})
		r := m.Forward(t.Context(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: now})
		if full == nil {
			require.Equal(t, forward.KindMerged, r.Kind)
			require.Nil(t, x.Services[0].Refusal)
			continue
		}
		require.Equal(t, forward.KindRefused, r.Kind)
		r.Undelivered = nil // Forward adds it.
		require.Equal(t, r, x.Services[0].Refusal)
	}
}
