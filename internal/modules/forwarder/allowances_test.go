package forwarder

import (
	"context"
	"sync/atomic"
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

// unitAllowances grants a number of single units.
type unitAllowances struct{ left, granted atomic.Int32 }

func (x *unitAllowances) Take(_ context.Context, key allowance.Key, l allowance.Limit, n int) allowance.Answer {
	if key.Kind != allowance.KindColdLeaf || l.Rate != 10 || x.left.Add(-int32(n)) < 0 {
		return allowance.Answer{RetryAfter: time.Millisecond}
	}
	x.granted.Add(int32(n))
	return allowance.Answer{Granted: true}
}

func (*unitAllowances) Return(allowance.Key, int) {}

func (x *unitAllowances) TakeAll(_ context.Context, asks []allowance.Ask) []allowance.Answer {
	answers := make([]allowance.Answer, len(asks))
	for i, a := range asks {
		answers[i].Granted = a.Key == allowance.Key{Kind: allowance.KindExtra, Name: "a"}
	}
	return answers
}

// countingTransport counts the requests to each leaf.
type countingTransport struct {
	partitionTransport
	sent map[string]int
}

func (x *countingTransport) Send(l *leaves.Member, _ *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	x.sent[l.ID]++
	done(forward.AttemptResult{Reply: &forward.LeafReply{Status: 200, Signature: l.ID}, Sent: true, Latency: time.Millisecond})
	return sentAttempt(func() {})
}

// Guards against a cold leaf that gets more requests than the owners of allowances grant, against requests that fail although another
// leaf is warm, and against a cold leaf that gets no requests at all.
func TestColdLeafGetsOnlyGrantedRequests(t *testing.T) {
	m, _ := newPartitionModule(t)
	table := &routes.Table{Version: 1, Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, MaxAttempts: 2, Split: []routes.Share{{Service: "a", Weight: 1}}}}, Services: []routes.Service{{Name: "a", WarmUpRate: 10}}}
	built, err := routes.Build(table)
	require.NoError(t, err)
	leaf := func(id, zone string, warmAt time.Time) *leaves.Member {
		return &leaves.Member{Leaf: leaves.Leaf{ID: id, Service: "a", AvailabilityZone: model.AvailabilityZone(zone)}, WarmAt: warmAt}
	}
	cold, warm := leaf("cold", "own", time.Now().Add(time.Hour)), leaf("warm", "other", time.Time{})
	m.control.SetTestView(&kernel.View{Routes: built, Leaves: &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"a": {cold, warm}}}})
	x := &countingTransport{sent: map[string]int{}}
	m.transport = x
	a := &unitAllowances{}
	a.left.Store(3)
	m.cold = coldLeaves{allowances: a, book: forward.NewColdBook(), slack: 5}
	for range 60 {
		require.Equal(t, forward.KindLeaf, m.forwardRequest(time.Second).Kind)
		time.Sleep(time.Millisecond) // The answer of the owner arrives meanwhile.
	}
	require.Positive(t, x.sent["cold"])
	require.LessOrEqual(t, x.sent["cold"], int(a.granted.Load()))
	require.Positive(t, x.sent["warm"])
	m.cold.allowances = nil
	before := x.sent["cold"]
	for range 5 {
		m.forwardRequest(time.Second)
	}
	require.Greater(t, x.sent["cold"], before, "without allowances nothing is limited")
}

// Guards against grants of the pool of zones that are taken for those of another service.
func TestZonePoolGrantsEachService(t *testing.T) {
	p := &zonePool{&unitAllowances{}, forward.ZonePoolLimit(100, 10*time.Second)}
	granted, err := p.RequestExtras(t.Context(), []model.ServiceName{"b", "a"})
	require.NoError(t, err)
	require.Equal(t, []bool{false, true}, granted)
	p.limit = forward.ZonePoolLimit(0, 10*time.Second)
	granted, err = p.RequestExtras(t.Context(), []model.ServiceName{"a"})
	require.NoError(t, err)
	require.Equal(t, []bool{false}, granted)
}
