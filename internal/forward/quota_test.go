package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// Guards against a limit whose slack exceeds what the platform allows in a window beyond the quota.
func TestQuotaSetsALimit(t *testing.T) {
	o := QuotaOptions{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	limit := o.Limit(routes.Quota{Rate: 40, Burst: 100}, 7)
	require.InDelta(t, 50, limit.Slack, 1e-9)
	limit.Slack = 0
	require.Equal(t, allowance.Limit{Rate: 40, Burst: 100, Version: 7}, limit)
}

// Guards against a request that waits for its quota until its caller has given up.
func TestQuotaIsAwaitedBriefly(t *testing.T) {
	now := time.Unix(1000, 0)
	wait := func(deadline time.Time, timeout time.Duration) time.Duration {
		return QuotaDeadline(now, &Request{Received: now.Add(-10 * time.Millisecond), Deadline: deadline}, &routes.Route{Timeout: timeout}).Sub(now)
	}
	require.Equal(t, maxQuotaWait, wait(time.Time{}, time.Second))
	require.Equal(t, maxQuotaWait, wait(now.Add(time.Second), time.Second))
	require.Equal(t, 20*time.Millisecond, wait(now.Add(20*time.Millisecond), time.Second))
	require.Equal(t, 30*time.Millisecond, wait(now.Add(time.Second), 40*time.Millisecond))
}

// Guards against a caller that may retry at once, and against credit that is given back for a request that may have run.
func TestQuotaRefusalsAndRefunds(t *testing.T) {
	require.Equal(t, 700*time.Millisecond, OverQuota(allowance.Answer{RetryAfter: 700 * time.Millisecond}).RetryAfter)
	require.Equal(t, refusalRetryAfter, OverQuota(allowance.Answer{}).RetryAfter)
	for _, kind := range []Kind{KindLeaf, KindMerged, KindFailed, KindTimeout, KindCallerGone} {
		require.False(t, RefundsQuota(&Response{Kind: kind}), kind)
	}
	require.True(t, RefundsQuota(&Response{Kind: KindRefused}))
}
