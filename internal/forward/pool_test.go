package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// extraFleet is a fleet of entry VMs that send extra attempts to one service. Each uses its own share of the slack first and then
// requests grants from the control VM of its zone, if there are pools. A request is answered at once.
type extraFleet struct {
	vms   []*Budget
	books []*GrantBook
	own   BudgetLimits
	pools []*ExtraPool
	// sent holds the times of all extra attempts.
	sent []time.Time
}

func newExtraFleet(vms, controlVMs, slack int, pooled bool) *extraFleet {
	random := testRandom()
	f := &extraFleet{own: BudgetLimits{Slack: BudgetSafety * float64(slack) / float64(vms), Window: 10 * time.Second}}
	for range vms {
		f.vms, f.books = append(f.vms, NewBudget(random.Float64())), append(f.books, NewGrantBook())
	}
	if pooled {
		f.own.Slack *= 1 - PooledShare
		for range controlVMs {
			f.pools = append(f.pools, NewExtraPool(start.Add(-time.Hour), slack, 10*time.Second))
		}
	}
	return f
}

func (f *extraFleet) tryExtra(now time.Time, vm int) bool {
	ok := f.vms[vm].TryExtra(now, f.own, false)
	if !ok && len(f.pools) > 0 {
		answer, request := f.books[vm].Take(now, "s")
		if request {
			f.books[vm].Answer(now, "s", now, f.pools[vm%len(f.pools)].Grant(now, "s", len(f.pools)))
			answer, _ = f.books[vm].Take(now, "s")
		}
		ok = answer == ExtraGranted
	}
	if ok {
		f.sent = append(f.sent, now)
	}
	return ok
}

// busiestWindow returns the greatest number of extra attempts within any window of 10 s.
func (f *extraFleet) busiestWindow() (most int) {
	first := 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= 10*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against hedges and retries that VMs in need are refused although the fleet uses a small part of its budget. The pattern is
// that of a large fleet with slow leaves: 195 VMs, of which in each second a few have clients that need several extra attempts.
func TestPooledSlackServesUnevenNeeds(t *testing.T) {
	served := func(pooled bool) (n int, f *extraFleet) {
		random := testRandom()
		f = newExtraFleet(195, 5, 430, pooled)
		for step := range 600 { // 60 s in steps of 100 ms.
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			for vm := range 195 {
				if (vm+step/50)%13 == 0 && random.Float64() < 0.3 {
					for range 2 {
						if f.tryExtra(now, vm) {
							n++
						}
					}
				}
			}
		}
		return n, f
	}
	equal, _ := served(false)
	pooled, f := served(true)
	require.Greater(t, float64(pooled), 1.3*float64(equal), "%d instead of %d", pooled, equal)
	require.LessOrEqual(t, f.busiestWindow(), 430)
}

// Guards against VMs that together send more extra attempts than allowed in some window, whatever they need and whichever control
// VMs restart.
func TestPooledSlackKeepsToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 100
		f := newExtraFleet(20, 4, slack, true)
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if i := rapid.IntRange(-40, 3).Draw(t, "restart"); i >= 0 {
				f.pools[i] = NewExtraPool(now, slack, 10*time.Second)
			}
			for range rapid.IntRange(0, 6).Draw(t, "extras") {
				f.tryExtra(now, rapid.IntRange(0, 19).Draw(t, "vm"))
			}
		}
		// The random rounding of 20 budgets adds up to less than 20.
		require.LessOrEqual(t, f.busiestWindow(), int(BudgetSafety*slack)+20)
	})
}

// Guards against a grant that is used after it has expired, as by a VM that was paused, and against requests without an answer that are
// repeated for each attempt.
func TestGrantsExpire(t *testing.T) {
	g := NewGrantBook()
	answer, request := g.Take(start, "s")
	require.Equal(t, ExtraPending, answer)
	require.True(t, request)
	answer, request = g.Take(at(1), "s")
	require.Equal(t, ExtraPending, answer)
	require.False(t, request, "one is under way")
	g.Answer(at(2), "s", start, true)
	answer, _ = g.Take(start.Add(GrantExpiry), "s")
	require.NotEqual(t, ExtraGranted, answer, "the process was paused")

	g = NewGrantBook()
	g.Take(start, "s")
	answer, _ = g.Take(start.Add(grantTimeout), "s")
	require.Equal(t, ExtraDenied, answer, "no control VM answers")
	answer, request = g.Take(start.Add(grantTimeout+denialTime/2), "s")
	require.Equal(t, ExtraDenied, answer)
	require.False(t, request)
	_, request = g.Take(start.Add(grantTimeout+denialTime), "s")
	require.True(t, request)
	g.Withdraw("s", start.Add(grantTimeout+denialTime))
	_, request = g.Take(start.Add(grantTimeout+denialTime), "s")
	require.True(t, request, "the earlier request was not sent")
}

// Guards against a pool that grants its part twice: after a restart of its control VM, or with more control VMs.
func TestPoolGrantsItsPartOnce(t *testing.T) {
	p := NewExtraPool(start, 100, 10*time.Second)
	require.False(t, p.Grant(start.Add(10*time.Second), "s", 1), "an earlier run may have granted its part")
	count := func(now time.Time, service model.ServiceName, controlVMs int) (n int) {
		for p.Grant(now, service, controlVMs) {
			n++
		}
		return n
	}
	now := start.Add(11 * time.Second)
	require.Equal(t, 8, count(now, "s", 5), "a fifth of the pool")
	require.Equal(t, 8, count(now, "other", 5), "each service has its own")
	require.Zero(t, count(now.Add(9*time.Second), "s", 5))
	require.Equal(t, 8, count(now.Add(12*time.Second), "s", 5))
	require.False(t, NewExtraPool(start, 0, time.Second).Grant(now, "s", 1), "no slack is configured")
}

// Guards against a part that fails, or is not hedged, while the control VM is asked for an extra attempt.
func TestPartWaitsForAPendingExtraAttempt(t *testing.T) {
	e := newEnv("a")
	r := newRun(singleRoute(true), e)
	r.Step(start)
	e.pending = 2
	sends, response, wake := r.Step(at(20))
	require.Empty(t, sends)
	require.Nil(t, response)
	require.Equal(t, at(20).Add(ExtraPollInterval), wake)
	sends, _, wake = r.Step(wake)
	require.Empty(t, sends)
	sends, _, _ = r.Step(wake)
	require.Equal(t, "a2", sends[0].Leaf.ID, "the hedge")

	r = newRun(singleRoute(false), e)
	r.Step(start)
	r.AttemptEnded(0, 0, replyWith(503, true))
	e.pending = 1
	sends, response, wake = r.Step(at(1))
	require.Empty(t, sends)
	require.Nil(t, response)
	sends, _, _ = r.Step(wake)
	require.Equal(t, "a2", sends[0].Leaf.ID, "the retry")

	r = newRun(singleRoute(true), e)
	r.Step(start)
	r.AttemptEnded(0, 0, replyWith(503, true))
	e.extraLeft = 0
	_, response, _ = r.Step(at(1))
	require.Equal(t, KindRefused, response.Kind, fmt.Sprint("denied: ", response))
}
