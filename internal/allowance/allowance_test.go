package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

var (
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testZones = []model.AvailabilityZone{"az-1", "az-2", "az-3"}
	testKey   = Key{KindCustomer, "c"}
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// askOne asks for n units with all lenders counted as unreachable.
func askOne(o *Owner, now time.Time, l Limit, n int) bool {
	var out Effects
	o.Ask(now, Ask{1, testKey, l, n}, false, &out)
	for _, b := range out.Borrows {
		o.Lent(now, b, 0, false, &out)
	}
	return out.Replies[0].Answer.Granted
}

// tickTo calls Tick as often as the module does.
func tickTo(o *Owner, from, to time.Time) {
	var out Effects
	for t := from; t.Before(to); t = t.Add(MaxGap / 2) {
		o.Tick(t, &out)
	}
	o.Tick(to, &out)
}

// Guards against an owner that has just taken over and grants a burst that its predecessor has granted already.
func TestNewBucketBeginsWithItsPartOfTheSlackOnly(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 30, Burst: 300, Slack: 24, Version: 1}
	granted := 0
	for range 200 {
		if askOne(o, start, l, 1) {
			granted++
		}
	}
	require.Equal(t, 4, granted)
	tickTo(o, start, start.Add(time.Minute))
	granted = 0
	for range 300 {
		if askOne(o, start.Add(time.Minute), l, 1) {
			granted++
		}
	}
	require.Equal(t, 104, granted, "a third of the burst and of half of the slack")
}

// Guards against a limit so small that no zone's bucket ever holds a unit, such as that of a cold leaf.
func TestSmallLimitStillGrants(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 3, Slack: 0, Version: 1}
	require.False(t, askOne(o, start, l, 1))
	tickTo(o, start, start.Add(2*time.Second))
	require.True(t, askOne(o, start.Add(2*time.Second), l, 1))
	require.False(t, askOne(o, start.Add(2*time.Second), l, 1))
}

// Guards against a lowered limit that is paid back as a debt, one that does not bind at once, and an older table that undoes it.
func TestLoweredLimitCutsTheBucket(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	high := Limit{Rate: 300, Burst: 300, Slack: 6, Version: 1}
	low := Limit{Rate: 3, Burst: 6, Slack: 6, Version: 2}
	require.True(t, askOne(o, start, high, 1))
	now := start.Add(10 * time.Second)
	tickTo(o, start, now)
	granted := 0
	for i := range 50 {
		l := low
		if i%2 == 1 {
			l = high // Other VMs have the older table.
		}
		if askOne(o, now, l, 1) {
			granted++
		}
	}
	require.Equal(t, 3, granted)
	tickTo(o, now, now.Add(time.Second))
	require.True(t, askOne(o, now.Add(time.Second), low, 1), "no debt is left")
}

// Guards against units that are granted twice when they move between zones, and against a lender that gives all it has.
func TestUnitsAreMovedBetweenZones(t *testing.T) {
	l := Limit{Rate: 3, Slack: 24, Version: 1}
	borrower, lender := NewOwner(start, "az-1", testZones, random()), NewOwner(start, "az-2", testZones, random())
	granted, lent := 0, 0.0
	for range 40 {
		var out Effects
		borrower.Ask(start, Ask{1, testKey, l, 1}, false, &out)
		for i := 0; i < len(out.Borrows); i++ {
			b := out.Borrows[i]
			if b.Zone != "az-2" {
				borrower.Lent(start, b, 0, false, &out)
				continue
			}
			before := lender.Lend(start, testKey, l, 0, false)
			require.Zero(t, before)
			units := lender.Lend(start, testKey, l, b.Units, false)
			require.LessOrEqual(t, units, 2.0)
			lent += units
			borrower.Lent(start, b, units, true, &out)
		}
		for _, r := range out.Replies {
			if r.Answer.Granted {
				granted++
			}
		}
	}
	require.LessOrEqual(t, float64(granted), 4+lent)
	require.Greater(t, granted, 4)
	require.Less(t, lent, 4.0)
}

// Guards against asks that wait for a zone that does not answer, and against a zone that is asked again and again.
func TestUnreachableZoneDelaysAnAskOnce(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 0.3, Slack: 0, Version: 1}
	var out Effects
	o.Ask(start, Ask{1, testKey, l, 1}, false, &out)
	require.Len(t, out.Borrows, 2)
	require.Empty(t, out.Replies)
	borrows := out.Borrows
	out = Effects{}
	o.Tick(start.Add(BorrowWait), &out)
	require.Len(t, out.Replies, 1)
	require.False(t, out.Replies[0].Answer.Granted)
	for _, b := range borrows {
		o.Lent(start.Add(BorrowWait), b, 0, false, &out)
	}
	out = Effects{}
	o.Ask(start.Add(100*time.Millisecond), Ask{2, testKey, l, 1}, false, &out)
	require.Empty(t, out.Borrows)
	require.Len(t, out.Replies, 1, "denied at once")
	out = Effects{}
	o.Ask(start.Add(1100*time.Millisecond), Ask{3, testKey, l, 1}, false, &out)
	require.Len(t, out.Borrows, 2)
}

// Guards against a customer above its limit that makes owners exchange messages for each of its requests.
func TestZoneWithoutUnitsIsAskedLessAndLess(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 30, Version: 1}
	borrows := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		var out Effects
		o.Ask(now, Ask{uint64(i), testKey, l, 1}, false, &out)
		borrows += len(out.Borrows)
		for j := 0; j < len(out.Borrows); j++ {
			o.Lent(now, out.Borrows[j], 0, true, &out)
		}
	}
	require.Less(t, borrows, 60, "in 10 s from two zones")
}

// Guards against denied callers that all come back at the same time.
func TestRetryTimesAreSpread(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 30, Version: 1}
	seen := map[time.Duration]bool{}
	for range 300 {
		var out Effects
		o.Ask(start, Ask{1, testKey, l, 1}, false, &out)
		for _, b := range out.Borrows {
			o.Lent(start, b, 0, false, &out)
		}
		after := out.Replies[0].Answer.RetryAfter
		require.Positive(t, after)
		require.LessOrEqual(t, after, maxRetryAfter)
		seen[after] = true
	}
	require.Greater(t, len(seen), 290)
}

// Guards against an owner that was frozen and refills its buckets for the time in which another one granted the zone's units.
func TestFrozenOwnerIsNotRefilled(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 30, Burst: 3000, Slack: 6, Version: 1}
	require.True(t, askOne(o, start, l, 1))
	require.False(t, askOne(o, start.Add(time.Minute), l, 2))
}

// Guards against two owners of a zone that both refill their buckets, as while one of them is slow for some VMs.
func TestStandInIsNotRefilledButBorrows(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 300, Slack: 6, Version: 1}
	var out Effects
	o.Ask(start, Ask{1, testKey, l, 1}, true, &out)
	require.True(t, out.Replies[0].Answer.Granted)
	for _, b := range out.Borrows {
		o.Lent(start, b, 0, true, &out)
	}
	now := start.Add(time.Second)
	tickTo(o, start, now)
	out = Effects{}
	o.Ask(now, Ask{2, testKey, l, 1}, true, &out)
	require.Empty(t, out.Replies)
	require.Len(t, out.Borrows, 3)
	require.Equal(t, model.AvailabilityZone("az-1"), out.Borrows[0].Zone)
	o.Lent(now, out.Borrows[0], 1, true, &out)
	require.True(t, out.Replies[0].Answer.Granted)
}

// Guards against more keys than an owner has room for, and against room that is made by forgetting what was granted.
func TestKeysAreLimitedAndOnlyFullBucketsAreRemoved(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 3, Slack: 24, Version: 1}
	ask := func(now time.Time, name string) bool {
		var out Effects
		o.Ask(now, Ask{1, Key{KindCustomer, name}, l, 4}, false, &out)
		for _, b := range out.Borrows {
			o.Lent(now, b, 0, false, &out)
		}
		return out.Replies[0].Answer.Granted
	}
	for i := range MaxKeys {
		require.True(t, ask(start, string(rune(i+0x10000))))
	}
	require.False(t, ask(start, "one more"))
	require.Equal(t, MaxKeys, o.Keys())
	now := start.Add(10 * time.Second)
	tickTo(o, start, now)
	require.True(t, ask(now, "one more"))
	require.Equal(t, uint64(1), o.Counts().Full)
}

// Guards against a malformed or hostile number of units from another VM.
func TestMalformedUnitsAreIgnored(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 3, Slack: 24, Version: 1}
	var out Effects
	nan := 0.0
	nan /= nan
	for _, units := range []float64{-5, 1e9, nan} {
		o.Lent(start, Borrow{"az-2", testKey, l, 1}, units, true, &out)
		require.LessOrEqual(t, o.Lend(start, testKey, l, units, false), 4.0)
	}
	require.False(t, askOne(o, start, l, 5))
}

// Guards against a slow owner that is asked by each request, and a VM that asks no other one.
func TestSlowOwnerIsPassedOver(t *testing.T) {
	a := NewAsker(3, random())
	owners := []model.VMName{"a", "b", "c"}
	all := func(model.VMName) bool { return true }
	first, ok := a.OwnerOf(start, testKey, owners, all)
	require.True(t, ok)
	a.TimedOut(start, first)
	second, ok := a.OwnerOf(start, testKey, owners, all)
	require.True(t, ok)
	require.Equal(t, Order(testKey, owners)[1], second)
	again, _ := a.OwnerOf(start.Add(ownerPause), testKey, owners, all)
	require.Equal(t, first, again)
	_, ok = a.OwnerOf(start, testKey, owners, func(model.VMName) bool { return false })
	require.False(t, ok)
}

// Guards against a VM that asks the owner for each request of a customer above its limit, and one that denies for too long.
func TestDenialIsRemembered(t *testing.T) {
	a := NewAsker(3, random())
	l := Limit{Rate: 3, Version: 1}
	a.Answered(start, testKey, l, Answer{RetryAfter: time.Hour})
	first, decided := a.Take(start, testKey, l, 1)
	require.True(t, decided)
	second, _ := a.Take(start, testKey, l, 1)
	require.NotEqual(t, first.RetryAfter, second.RetryAfter)
	_, decided = a.Take(start.Add(maxDenialMemory), testKey, l, 1)
	require.False(t, decided)
	l.Version++
	_, decided = a.Take(start, testKey, l, 1)
	require.False(t, decided, "the limit has changed")
}

// Guards against VMs without an owner that use more than their part of the slack together.
func TestLocalSlicesKeepToTheirSum(t *testing.T) {
	const vms = 66
	l := Limit{Rate: 3, Slack: 24, Version: 1}
	r, granted := random(), 0
	for range vms {
		a := NewAsker(3, r)
		for i := range 50 {
			if a.Local(start.Add(time.Duration(i)*100*time.Millisecond), testKey, l, 1, vms).Granted {
				granted++
			}
		}
	}
	require.InDelta(t, localSlackPart*l.Slack, granted, 6)
}

// Guards against returned units that are lost or used twice.
func TestReturnedUnitsAreUsedOnceOrGoBack(t *testing.T) {
	a := NewAsker(3, random())
	l := Limit{Rate: 3, Version: 1}
	a.Take(start, testKey, l, 1)
	a.Return(start, testKey, 2)
	answer, decided := a.Take(start, testKey, l, 1)
	require.True(t, decided && answer.Granted)
	require.Equal(t, []Refund{{testKey, 1}}, a.Expired(start.Add(returnExpiry)))
	require.Empty(t, a.Expired(start.Add(returnExpiry)))
	_, decided = a.Take(start.Add(returnExpiry), testKey, l, 1)
	require.False(t, decided)
}

// Guards against units that are taken, or an allowance that is created, by showing what is known of it.
func TestKnownCreditTakesNothing(t *testing.T) {
	now, key, limit := time.Unix(1000, 0), Key{Kind: KindCustomer, Name: "c"}, Limit{Rate: 1, Burst: 4, Slack: 4, Version: 1}
	a, untouched := NewAsker(1, rand.New(rand.NewPCG(1, 1))), NewAsker(1, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, CreditUnknown, a.Known(now, key, limit).Credit)
	require.Equal(t, untouched, a)
	a.Answered(now, key, limit, Answer{RetryAfter: 300 * time.Millisecond})
	require.Equal(t, Known{Credit: CreditDenied, RetryAfter: 300 * time.Millisecond}, a.Known(now, key, limit))
	raised := limit
	raised.Version = 2
	require.Equal(t, CreditUnknown, a.Known(now, key, raised).Credit, "the denial was for an earlier limit")
	a.Return(now, key, 2)
	for range 3 {
		require.Equal(t, Known{Credit: CreditAvailable, Units: 2}, a.Known(now, key, limit))
	}

	o := NewOwner(now, "a", []model.AvailabilityZone{"a"}, rand.New(rand.NewPCG(1, 1)))
	_, ok := o.Tokens(now, key)
	require.False(t, ok)
	require.Zero(t, o.Keys())
	o.Ask(now, Ask{Key: key, Limit: limit, N: 1}, false, &Effects{})
	tokens, ok := o.Tokens(now.Add(time.Second), key)
	require.True(t, ok)
	require.InDelta(t, 2, tokens, 1e-9, "one of two is used, and one is added in a second")
	later, _ := o.Tokens(now.Add(2*time.Second), key)
	require.InDelta(t, 3, later, 1e-9)
}

// Guards against a customer whose burst is refused in the first seconds after its first request, although nobody has used its quota.
func TestUnusedKeyHasTheCreditSinceThisVMIsFirst(t *testing.T) {
	l := Limit{Rate: 30, Burst: 60, Slack: 24, Version: 1}
	granted := func(now time.Time, change func(o *Owner)) (n int) {
		o := NewOwner(start, "az-1", testZones, random())
		tickTo(o, start, start.Add(time.Second))
		change(o)
		tickTo(o, start.Add(time.Second), now)
		for askOne(o, now, l, 1) {
			n++
		}
		return n
	}
	nothing := func(*Owner) {}
	require.Equal(t, 14, granted(start.Add(time.Second), nothing), "4 units and those of 1 s")
	require.Equal(t, 24, granted(start.Add(time.Minute), nothing), "the depth")
	require.Equal(t, 4, granted(start.Add(time.Second), func(o *Owner) { o.OwnersChanged(start.Add(time.Second)) }), "it may have become the first one just now")
	o := NewOwner(start, "az-1", testZones, random())
	require.False(t, askOne(o, start.Add(time.Minute), l, 5), "frozen until now")
	var out Effects
	o = NewOwner(start, "az-1", testZones, random())
	tickTo(o, start, start.Add(time.Minute))
	o.Ask(start.Add(time.Minute), Ask{1, testKey, l, 5}, true, &out)
	require.Empty(t, out.Replies, "a stand-in has the first units only")
	cold := Key{KindColdLeaf, "l 1"}
	o.Ask(start.Add(time.Minute), Ask{2, cold, Limit{Rate: 30, Slack: 5}, 1}, false, &out)
	require.Empty(t, out.Replies, "a cold leaf's limit binds from the first request")
}

// Guards against the burst of a zone that is granted twice, and a rate that counts twice, when an owner that had taken over is asked again
// after the earlier owner has come back.
func TestOwnerThatIsNoLongerFirstKeepsOnlyFirstUnits(t *testing.T) {
	l := Limit{Rate: 30, Burst: 300, Slack: 24, Version: 1}
	o := NewOwner(start, "az-1", testZones, random())
	require.True(t, askOne(o, start, l, 1))
	back := start.Add(time.Minute)
	tickTo(o, start, back)
	o.OwnersChanged(back)
	later := back.Add(time.Minute)
	tickTo(o, back, later)
	var out Effects
	o.Ask(later, Ask{1, testKey, l, 5}, true, &out)
	require.Empty(t, out.Replies)
	for _, b := range out.Borrows {
		o.Lent(later, b, 0, true, &out)
	}
	require.False(t, out.Replies[0].Answer.Granted)
	o.OwnersChanged(later)
	last := later.Add(time.Second)
	tickTo(o, later, last)
	require.True(t, askOne(o, last, l, 14), "first again, and refilled for 1 s")
	require.False(t, askOne(o, last, l, 1))
}

// Guards against stand-ins whose buckets are never removed, until there is no room for another key.
func TestUnusedBucketsOfStandInsAreRemoved(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	var out Effects
	o.Ask(start, Ask{1, testKey, Limit{Rate: 30, Slack: 24, Version: 1}, 1}, true, &out)
	for _, b := range out.Borrows {
		o.Lent(start, b, 0, true, &out)
	}
	tickTo(o, start, start.Add(idleTime+idleTime/5))
	require.Zero(t, o.Keys())
}

// deny asks for n units that no zone lends, and returns after which time the caller is to retry.
func deny(t *testing.T, o *Owner, now time.Time, l Limit, n int) time.Duration {
	var out Effects
	o.Ask(now, Ask{1, testKey, l, n}, false, &out)
	for _, b := range out.Borrows {
		o.Lent(now, b, 0, true, &out)
	}
	require.False(t, out.Replies[0].Answer.Granted)
	return out.Replies[0].Answer.RetryAfter
}

// Guards against callers that are told to come back long after there is credit again: when the bucket lacks a part of a unit, when it has
// been refilled since the last denials, and when the limit has been raised.
func TestRetryTimeIsWhenCreditIsExpected(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 3, Burst: 30, Slack: 15, Version: 1} // A zone begins with 2.5 units and gets one a second.
	require.True(t, askOne(o, start, l, 2))
	require.InDelta(t, 0.5, deny(t, o, start, l, 1).Seconds(), 0.01)
	require.InDelta(t, 1.5, deny(t, o, start, l, 1).Seconds(), 0.01)
	for range 30 {
		deny(t, o, start, l, 1)
	}
	now := start.Add(4 * time.Second)
	tickTo(o, start, now)
	require.True(t, askOne(o, now, l, 1), "callers that were denied have not come back, and 3.5 units are left")
	require.True(t, askOne(o, now, l, 3))
	require.InDelta(t, 0.5, deny(t, o, now, l, 1).Seconds(), 0.01)
	for range 30 {
		deny(t, o, now, l, 1)
	}
	raised := Limit{Rate: 300, Burst: 30, Slack: 15, Version: 2}
	require.Less(t, deny(t, o, now, raised, 1), 10*time.Millisecond)
	var out Effects
	o.Ask(now, Ask{2, testKey, raised, 1}, false, &out)
	require.Empty(t, out.Borrows, "the other zones have just been asked")
}

// Guards against a raised limit that is not borrowed for, because the other zones had nothing to lend of the previous one.
func TestRaisedLimitIsBorrowedForAtOnce(t *testing.T) {
	o := NewOwner(start, "az-1", testZones, random())
	l := Limit{Rate: 0.3, Version: 1}
	deny(t, o, start, l, 5)
	for _, raised := range []Limit{l, {Rate: 300, Version: 2}} {
		var out Effects
		o.Ask(start.Add(time.Millisecond), Ask{2, testKey, raised, 5}, false, &out)
		require.Equal(t, raised.Version == 2, len(out.Borrows) == 2)
	}
}

// Guards against a VM that was held up for a moment, takes all owners for slow and refuses requests below the limit for a second.
func TestOwnerIsAskedWhenAllArePaused(t *testing.T) {
	a := NewAsker(3, random())
	order := Order(testKey, []model.VMName{"a", "b", "c"})
	for i, vm := range []model.VMName{order[1], order[0], order[2]} {
		a.TimedOut(start.Add(time.Duration(i)*AskTimeout), vm)
	}
	owner, ok := a.OwnerOf(start.Add(3*AskTimeout), testKey, order, func(model.VMName) bool { return true })
	require.True(t, ok)
	require.Equal(t, order[1], owner)
	owner, _ = a.OwnerOf(start.Add(3*AskTimeout), testKey, order, func(vm model.VMName) bool { return vm != order[1] })
	require.Equal(t, order[0], owner)
}
