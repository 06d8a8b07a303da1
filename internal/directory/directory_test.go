package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

var start = time.Unix(1000, 0)

const leaseTime = 3 * time.Second

var halves = []model.Shard{{ID: 0, Share: 0.5}, {ID: 1, Share: 0.5}}

func announcement(id string, incarnation, sequence uint64, state model.TargetState) *model.Announcement {
	l := model.Layout{Shards: halves}
	return &model.Announcement{
		Service: "depot", ID: model.TargetID(id), AvailabilityZone: "az-1", Addr: "127.0.0.1:" + id, Incarnation: incarnation,
		Sequence: sequence, State: state, Layout: model.LayoutRef{Number: 1, Digest: l.Digest()}, LayoutShards: halves,
		Shards: []model.ShardID{0}, IndexVersions: []model.IndexVersion{7}, Slots: 2, ConnectionLimit: 25, Lease: leaseTime,
	}
}

func committed(shards []model.Shard) ReplicatedState {
	l := &model.Layout{Service: "depot", Number: 1, Shards: shards}
	return ReplicatedState{
		Configured: true, Site: &model.SiteConfig{Name: "sfax", Services: map[model.ServiceName]*model.ServiceConfig{"depot": {}}},
		Layouts: map[model.ServiceName]map[model.LayoutNumber]*model.Layout{"depot": {1: l}},
	}
}

func apply(t *testing.T, d *Directory, now time.Time, a *model.Announcement) Change {
	t.Helper()
	c, err := d.Apply(now, a, ReplicatedState{})
	require.NoError(t, err)
	return c
}

// Guards against a lease that does not expire in time, or expires although it was renewed.
func TestLeaseExpires(t *testing.T) {
	d := New(10)
	apply(t, d, start, announcement("1", 1, 1, model.TargetServing))
	apply(t, d, start.Add(time.Second), announcement("2", 1, 1, model.TargetServing))
	require.Equal(t, ChangeRenewed, apply(t, d, start.Add(2*time.Second), announcement("1", 1, 2, model.TargetServing)).Kind)
	// A repeated announcement may have been delayed, so it does not renew the lease.
	require.Equal(t, ChangeNone, apply(t, d, start.Add(3*time.Second), announcement("2", 1, 1, model.TargetServing)).Kind)

	require.Empty(t, d.Expire(start.Add(leaseTime)))
	expired := d.Expire(start.Add(time.Second + leaseTime))
	require.Len(t, expired, 1)
	require.Equal(t, model.TargetID("2"), expired[0].Target.ID)
	at, ok := d.NextExpiry()
	require.True(t, ok)
	require.Equal(t, start.Add(2*time.Second+leaseTime), at)
	require.Len(t, d.Expire(at), 1)
	require.Zero(t, d.Len())

	_, err := d.Apply(at, announcement("2", 1, 1, model.TargetServing), ReplicatedState{})
	require.Equal(t, errs.KindConflict, errs.KindOf(err), "a late announcement must not bring an expired target back")
}

// Guards against contradictory announcements that are applied, even in part, and refusals without a remedy.
func TestContradictionsAreRefused(t *testing.T) {
	change := func(f func(*model.Announcement)) *model.Announcement {
		a := announcement("1", 2, 5, model.TargetServing)
		f(a)
		return a
	}
	unevenShards := []model.Shard{{ID: 0, Share: 0.25}, {ID: 1, Share: 0.75}}
	for name, c := range map[string]struct {
		a    *model.Announcement
		r    ReplicatedState
		kind errs.Kind
	}{
		"older incarnation":          {change(func(a *model.Announcement) { a.Incarnation = 1; a.Sequence = 9 }), committed(halves), errs.KindConflict},
		"older sequence":             {change(func(a *model.Announcement) { a.Sequence = 3 }), committed(halves), errs.KindConflict},
		"same sequence, other slots": {change(func(a *model.Announcement) { a.Sequence = 4; a.Slots = 9 }), committed(halves), errs.KindConflict},
		"same sequence, other state": {change(func(a *model.Announcement) { a.Sequence = 4; a.State = model.TargetCold }), committed(halves), errs.KindConflict},
		"address of another target":  {change(func(a *model.Announcement) { a.ID = "2"; a.Addr = "127.0.0.1:1" }), committed(halves), errs.KindConflict},
		"committed layout":           {change(func(*model.Announcement) {}), committed(unevenShards), errs.KindConflict},
		"unknown service":            {change(func(a *model.Announcement) { a.Service = "x" }), committed(halves), errs.KindNotFound},
		"no site":                    {change(func(*model.Announcement) {}), ReplicatedState{Configured: true}, errs.KindNotFound},
		"too many versions":          {change(func(a *model.Announcement) { a.IndexVersions = make([]model.IndexVersion, MaxIndexVersions+1) }), committed(halves), errs.KindInvalid},
		"too many targets":           {change(func(a *model.Announcement) { a.ID, a.Addr = "2", "127.0.0.1:2" }), committed(halves), errs.KindOverload},
	} {
		d := New(1)
		apply(t, d, start, announcement("1", 2, 4, model.TargetServing))
		_, err := d.Apply(start, c.a, c.r)
		require.Error(t, err, name)
		require.Equal(t, c.kind, errs.KindOf(err), name)
		require.NotEmpty(t, errs.RemedyOf(err), name)
		require.Equal(t, uint64(4), d.Target(model.TargetKey{Service: "depot", ID: "1"}).Sequence, name)
	}
}

// Guards against two targets that propose different layouts under one number.
func TestProposedLayoutContradiction(t *testing.T) {
	d := New(10)
	a := announcement("1", 1, 1, model.TargetServing)
	apply(t, d, start, a)
	require.NotNil(t, d.Propose(a, ReplicatedState{}))
	require.Nil(t, d.Propose(a, ReplicatedState{}), "a layout is proposed once")
	b := announcement("2", 1, 1, model.TargetServing)
	b.Layout.Digest++
	_, err := d.Apply(start, b, ReplicatedState{})
	require.Equal(t, errs.KindConflict, errs.KindOf(err))
}

// Guards against routing work to targets that accept none, and against using a layout before it is committed.
func TestHolders(t *testing.T) {
	d := New(10)
	states := []model.TargetState{model.TargetCold, model.TargetServing, model.TargetDraining, model.TargetLeaving}
	for i, s := range states {
		apply(t, d, start, announcement(fmt.Sprint(i+1), 1, 1, s))
	}
	require.Empty(t, d.View(nil)["depot"].Holders)
	require.Empty(t, d.View(committed([]model.Shard{{ID: 0, Share: 1}}).Layouts)["depot"].Holders, "the digest differs from that of the committed layout")

	layouts := committed(halves).Layouts
	holders := func() int {
		return len(d.View(layouts)["depot"].Holders[model.Snapshot{Layout: 1, Index: 7}][0])
	}
	require.Equal(t, 2, holders())
	require.Len(t, d.View(layouts)["depot"].Targets, 4)

	key := model.TargetKey{Service: "depot", ID: "2"}
	_, ok := d.ApplyReportedState(start, key, 1, model.TargetDraining)
	require.True(t, ok)
	require.Equal(t, 1, holders(), "a state on a reply applies at once")
	apply(t, d, start.Add(time.Second), announcement("2", 1, 2, model.TargetServing))
	require.Equal(t, 1, holders(), "an announcement that was in transit does not override it")
	apply(t, d, start.Add(reportedStateHold), announcement("2", 1, 3, model.TargetServing))
	require.Equal(t, 2, holders())
}

// Guards against a listing of another VM that keeps a target for too long, or brings back one that has left.
func TestListings(t *testing.T) {
	d := New(10)
	key := model.TargetKey{Service: "depot", ID: "1"}
	apply(t, d, start, announcement("1", 1, 6, model.TargetServing))
	record := announcement("1", 1, 2, model.TargetServing)
	_, err := d.ApplyListing(start, "vm-2", record)
	require.NoError(t, err)
	require.Equal(t, ChangeListedElsewhere, d.Expire(start.Add(leaseTime))[0].Kind, "the other VM still lists it")
	require.Equal(t, ChangeExpired, d.RemoveListing(start.Add(leaseTime), "vm-2", key).Kind)

	_, err = d.ApplyListing(start.Add(leaseTime), "vm-2", record)
	require.NoError(t, err, "a VM that the target announces itself to brings it back, although its record is old")
	require.Equal(t, uint64(6), d.Target(key).Sequence)

	_, err = d.ApplyListing(start.Add(leaseTime), "vm-3", announcement("1", 1, 7, model.TargetLeaving))
	require.NoError(t, err)
	d.RemoveListing(start.Add(leaseTime), "vm-2", key)
	d.RemoveListing(start.Add(leaseTime), "vm-3", key)
	_, err = d.ApplyListing(start.Add(leaseTime), "vm-2", record)
	require.Equal(t, errs.KindConflict, errs.KindOf(err), "the target has left in the meantime")
}

// Guards against older incarnations or sequence numbers that override newer ones, regardless of the order in which
// announcements and listings arrive.
func TestNewestWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := New(10)
		var newest *model.Announcement
		for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			a := announcement("1", rapid.Uint64Range(1, 3).Draw(rt, "incarnation"), rapid.Uint64Range(1, 6).Draw(rt, "sequence"), model.TargetServing)
			a.Slots = int(a.Sequence) // Announcements with equal sequence numbers have equal values.
			if rapid.Bool().Draw(rt, "listed") {
				_, _ = d.ApplyListing(start, model.VMName(fmt.Sprint("vm-", i%3)), a)
			} else if _, err := d.Apply(start, a, ReplicatedState{}); err != nil && errs.KindOf(err) != errs.KindConflict {
				rt.Fatal(err)
			}
			if newest == nil || newer(a, &model.Target{Announcement: *newest}) {
				newest = a
			}
			got := d.Target(a.Key())
			if got.Incarnation != newest.Incarnation || got.Sequence != newest.Sequence || got.Slots != newest.Slots {
				rt.Fatalf("the target has incarnation %d and sequence %d, want %d and %d", got.Incarnation, got.Sequence, newest.Incarnation, newest.Sequence)
			}
		}
	})
}
