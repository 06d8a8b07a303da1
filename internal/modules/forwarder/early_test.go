package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Guards against a request that is sent to the leaves of a burst although the queues of two of four shards are far longer than its
// deadline, and against a refusal because of the one shard that may be missing.
func TestRequestToFullServicesIsRefusedBeforeItIsSent(t *testing.T) {
	for _, full := range [][]model.ServiceName{{"b"}, {"b", "c"}} {
		m, _ := newPartitionModule(t)
		now := time.Now()
		for _, s := range full {
			l := m.control.View().Leaves.Services[s][0]
			load := &forward.Load{Running: 4, Waiting: 4000, Slots: 4}
			replied := forward.AttemptResult{Reply: &forward.LeafReply{Status: 200, Signature: "s", Load: load}, Sent: true, Latency: 5 * time.Second}
			rejected := forward.AttemptResult{Reply: &forward.LeafReply{Status: 503, NotRun: true, Load: load}, Sent: true}
			for _, result := range []forward.AttemptResult{replied, rejected} {
				m.tracker.AttemptStarted(now, "other", l)
				m.tracker.AttemptEnded(now, "other", l, now, &result, false)
			}
		}
		r := m.forwardRequest(time.Second)
		if len(full) == 1 {
			require.Equal(t, forward.KindMerged, r.Kind)
			continue
		}
		require.Equal(t, forward.KindRefused, r.Kind)
		require.Contains(t, r.Reason, "2 services are full")
		require.Positive(t, r.RetryAfter)
	}
}

// Guards against a request that counts those behind it as ahead of it.
func TestRequestsAheadAreThoseServedBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	use := forward.NewServiceUse()
	light, heavy := use.Account(now, "light", 1), use.Account(now, "heavy", 1)
	heavy.Add(now, time.Second)
	newRunner := func(rank int, a *forward.UseAccount) *runner {
		return &runner{req: &forward.Request{}, route: &routes.Route{Rank: rank}, use: a}
	}
	w := waiters{}
	for _, r := range []*runner{newRunner(0, heavy), newRunner(1, light), newRunner(1, heavy), newRunner(2, light)} {
		w.add([]model.ServiceName{"s"}, r)
	}
	require.Equal(t, 2, w.ahead(now, "s", newRunner(1, light)))
	require.Equal(t, 3, w.ahead(now, "s", newRunner(1, heavy)))
	require.Equal(t, 0, w.ahead(now, "s", newRunner(0, light)))
	require.Equal(t, 2, w.ahead(now, "s", newRunner(1, nil)))
}
