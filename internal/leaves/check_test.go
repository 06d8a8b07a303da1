package leaves

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Guards against a record with one impossible value that takes the place of a leaf's own, crashes a VM or reaches a header.
func TestImpossibleRecordsAreRefused(t *testing.T) {
	valid := heartbeat("i", "10.0.0.1:80", 5, 3, Ready)
	require.NoError(t, valid.Check())
	for name, change := range map[string]func(*Leaf){
		"no ID":             func(l *Leaf) { l.ID = "" },
		"header in the ID":  func(l *Leaf) { l.ID = "i\r\nX: y" },
		"long ID":           func(l *Leaf) { l.ID = string(make([]byte, 10_000)) },
		"no service":        func(l *Leaf) { l.Service = "" },
		"space in service":  func(l *Leaf) { l.Service = "a b" },
		"port 0":            func(l *Leaf) { l.Address = "10.0.0.1:0" },
		"port over 65535":   func(l *Leaf) { l.Address = "10.0.0.1:65536" },
		"any address":       func(l *Leaf) { l.Address = "0.0.0.0:80" },
		"multicast":         func(l *Leaf) { l.Address = "224.0.0.1:80" },
		"host name":         func(l *Leaf) { l.Address = "leaf:80" },
		"negative start":    func(l *Leaf) { l.BornMS = -1 },
		"latest start":      func(l *Leaf) { l.BornMS = math.MaxInt64 },
		"highest sequence":  func(l *Leaf) { l.Sequence = math.MaxUint64 },
		"most slots":        func(l *Leaf) { l.Slots = math.MaxInt64 },
		"negative slots":    func(l *Leaf) { l.Slots = -1 },
		"unknown state":     func(l *Leaf) { l.State = 9 },
		"no state":          func(l *Leaf) { l.State = 0 },
		"ended, bad port":   func(l *Leaf) { l.State, l.Address = Expired, "10.0.0.1:0" },
		"ended, latest":     func(l *Leaf) { l.State, l.Address, l.BornMS = Deregistered, "", math.MaxInt64 },
		"ended, no address": func(l *Leaf) { l.State, l.Address, l.Sequence = Expired, "", math.MaxUint64 },
	} {
		l := valid
		change(&l)
		require.Equal(t, errs.KindInvalid, errs.KindOf(l.Check()), name)
	}
	for _, warmUp := range []time.Duration{-1, math.MaxInt64} {
		l := valid
		l.WarmUpLeft = warmUp
		require.NoError(t, l.Check())
		require.GreaterOrEqual(t, l.WarmUpLeft, time.Duration(0))
		require.LessOrEqual(t, l.WarmUpLeft, maxWarmUp)
	}
}

// Guards against one heartbeat or deregistration of another program that shuts out a leaf until the retention has passed, since
// it claims to be later than all heartbeats of the leaf.
func TestLeafIsNotShutOutByALaterClaim(t *testing.T) {
	now := at(0)
	born := now.UnixMilli()
	x := NewTable("a", testConfig)
	require.NoError(t, x.ApplyHeartbeat(now, heartbeat("i", "h:1", born, 3, Ready)))
	for name, l := range map[string]Leaf{
		"start in a year":      heartbeat("i", "h:1", born+365*24*3600*1000, 1, Ready),
		"last valid start":     heartbeat("i", "h:1", maxSequence, 1, Ready),
		"last valid sequence":  heartbeat("i", "h:1", born, maxSequence, Draining),
		"another one, address": heartbeat("j", "h:1", born+365*24*3600*1000, 1, Ready),
	} {
		require.Equal(t, errs.KindInvalid, errs.KindOf(x.ApplyHeartbeat(now, l)), name)
		require.NoError(t, x.ApplyHeartbeat(now, heartbeat("i", "h:1", born, 4, Ready)), name)
	}
	require.Equal(t, errs.KindInvalid, errs.KindOf(x.Deregister(now, "i", maxSequence)))
	require.Equal(t, errs.KindInvalid, errs.KindOf(x.Deregister(now, "unknown", math.MaxInt64)))
	require.NoError(t, x.ApplyHeartbeat(now, heartbeat("i", "h:1", born, 5, Ready)))
	require.NoError(t, x.ApplyHeartbeat(now, heartbeat("k", "h:2", born+1500, 6, Ready)), "clocks differ by seconds")
}

// Guards against a leaf that loses its address to a single heartbeat with another ID, and is shut out although that ID sends no
// other heartbeat.
func TestLeafKeepsItsAddress(t *testing.T) {
	a, b := NewTable("a", testConfig), NewTable("b", testConfig)
	require.NoError(t, a.ApplyHeartbeat(at(0), heartbeat("i", "h:1", 5, 1, Ready)))
	require.NoError(t, a.ApplyHeartbeat(at(0.5), heartbeat("odd", "h:1", 9, 1, Ready)))
	accepted := math.Inf(1)
	for s := 1.0; s < 20; s++ {
		if a.ApplyHeartbeat(at(s), heartbeat("i", "h:1", 5, 1+uint64(s), Ready)) == nil {
			accepted = min(accepted, s)
		}
		a.Scan(at(s), time.Second, neverContacted)
		sync(at(s), a, b)
	}
	require.InDelta(t, testConfig.ExpireAfter.Seconds()+1, accepted, 1, "once the other one has expired")
	for _, x := range []*Table{a, b} {
		l, _ := x.Get("i")
		require.Equal(t, Ready, l.State)
		l, _ = x.Get("odd")
		require.NotEqual(t, Ready, l.State)
	}
}

// Guards against a leaf that has deregistered itself and returns with a late heartbeat, because a leaf that was started at its
// address later has crashed.
func TestDeregisteredLeafStaysOutAfterItsSuccessorHasCrashed(t *testing.T) {
	x := NewTable("a", testConfig)
	require.NoError(t, x.ApplyHeartbeat(at(0), heartbeat("i", "h:1", 5, 1, Ready)))
	require.NoError(t, x.Deregister(at(1), "i", 5))
	require.NoError(t, x.ApplyHeartbeat(at(2), heartbeat("next", "h:1", 9, 1, Ready)))
	for s := 2.0; s < 20; s++ {
		x.Scan(at(s), time.Second, neverContacted)
	}
	l, _ := x.Get("next")
	require.Equal(t, Expired, l.State)
	require.Equal(t, errs.KindConflict, errs.KindOf(x.ApplyHeartbeat(at(20), heartbeat("i", "h:1", 5, 2, Ready))))
}

// Guards against a leaf that is listed again after it has replied that it is leaving: by an older table of another control VM, by
// a later heartbeat, or in the index of another route table.
func TestLeavingIncarnationIsNotListed(t *testing.T) {
	marked := map[Key]bool{{Incarnation{"i", 5}, "h:1"}: true}
	leaving := func(k Key) bool { return marked[k] }
	var a, b RemoteTable
	a.Apply([]Leaf{heartbeat("i", "h:1", 5, 10, Ready), heartbeat("j", "h:2", 5, 10, Ready)}, true)
	b.Apply([]Leaf{heartbeat("i", "h:1", 5, 9, Ready)}, true)
	index := BuildIndex(start, Newest([]*RemoteTable{&a, &b}, nil), noneLeaving, nil)
	require.Len(t, index.Services["s"], 2)
	ids := func(tables ...*RemoteTable) (out []string) {
		index = BuildIndex(start, Newest(tables, nil), leaving, index)
		for _, m := range index.Services["s"] {
			out = append(out, m.ID)
		}
		return out
	}
	require.Equal(t, []string{"j"}, ids(&a, &b))
	a.Apply([]Leaf{heartbeat("i", "h:1", 5, 11, Ready)}, false)
	require.Equal(t, []string{"j"}, ids(&a, &b), "a later heartbeat")
	require.Empty(t, ids(&b), "an older table")
	require.Equal(t, []string{"j"}, ids(&a, &b))
	a.Apply([]Leaf{heartbeat("i", "h:1", 6, 1, Ready)}, false)
	require.Equal(t, []string{"i", "j"}, ids(&a, &b), "the next incarnation")
}

// Guards against a leaf that has left and is used again because the control VMs were restarted with an older record of it.
func TestLeafThatLeftDoesNotReturnWithAnOlderRecord(t *testing.T) {
	table := func(l Leaf) []*RemoteTable {
		var x RemoteTable
		x.Apply([]Leaf{l}, true)
		return []*RemoteTable{&x}
	}
	for _, left := range []State{Draining, Deregistered} {
		before := Newest(table(heartbeat("i", "h:1", 5, 10, left)), nil)
		for _, old := range []Leaf{heartbeat("i", "h:1", 5, 10, Ready), heartbeat("i", "h:1", 5, 9, Ready), heartbeat("i", "h:1", 4, 50, Expired)} {
			require.Equal(t, left, Newest(table(old), before)["i"].State)
		}
		require.Equal(t, Ready, Newest(table(heartbeat("i", "h:1", 6, 1, Ready)), before)["i"].State, "the next incarnation")
		require.Empty(t, Newest(nil, before), "it is no longer listed")
	}
}
