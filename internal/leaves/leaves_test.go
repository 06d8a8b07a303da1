package leaves

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

var (
	start      = time.Unix(1000, 0)
	testConfig = Config{ExpireAfter: 8 * time.Second, OrphanExpireAfter: 15 * time.Second, Retention: time.Minute}
)

// TestMain fixes the seed of the property tests, so that CI has the same result on every run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func heartbeat(id, address string, born int64, seq uint64, s State) Leaf {
	return Leaf{ID: id, Service: "s", Address: address, State: s, BornMS: born, Sequence: seq}
}

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func noneLeaving(Key) bool { return false }

func neverContacted(model.VMName) time.Time { return time.Time{} }

// sync merges all records of one table into another, as a watch does.
func sync(now time.Time, from, to *Table) {
	list, _ := from.ChangesSince(0)
	for _, l := range list {
		to.Merge(now, from.self, l)
	}
}

// Guards against a late heartbeat that makes a draining or deregistered leaf ready again.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	x := NewTable("a", testConfig)
	require.NoError(t, x.ApplyHeartbeat(at(0), heartbeat("i", "h:1", 5, 3, Draining)))
	require.Equal(t, errs.KindConflict, errs.KindOf(x.ApplyHeartbeat(at(1), heartbeat("i", "h:1", 5, 2, Ready))))
	require.NoError(t, x.Deregister(at(2), "i", 5))
	require.Equal(t, errs.KindConflict, errs.KindOf(x.ApplyHeartbeat(at(3), heartbeat("i", "h:1", 5, 4, Ready))))
	require.Equal(t, errs.KindConflict, errs.KindOf(x.ApplyHeartbeat(at(3), heartbeat("i", "h:1", 4, 9, Ready))))
	require.NoError(t, x.ApplyHeartbeat(at(4), heartbeat("i", "h:1", 6, 1, Ready)), "a new incarnation starts its own sequence")
}

// Guards against requests for one service that are sent to an address where a leaf of another service has started.
func TestAddressBelongsToTheLastStartedLeaf(t *testing.T) {
	x := NewTable("a", testConfig)
	require.NoError(t, x.ApplyHeartbeat(at(0), heartbeat("old", "h:1", 5, 1, Ready)))
	require.NoError(t, x.ApplyHeartbeat(at(3), heartbeat("new", "h:1", 7, 1, Ready)))
	l, _ := x.Get("old")
	require.Equal(t, Deregistered, l.State)
	require.Equal(t, errs.KindConflict, errs.KindOf(x.ApplyHeartbeat(at(4), heartbeat("old", "h:1", 5, 2, Ready))))
}

// Guards against leaves that never expire, and against leaves that expire because the control VM itself was paused.
func TestLeavesExpireWithoutHeartbeats(t *testing.T) {
	x := NewTable("a", testConfig)
	for s := 0.0; s < 5; s++ {
		require.NoError(t, x.ApplyHeartbeat(at(s), heartbeat("i", "h:1", 5, uint64(s), Ready)))
		x.Scan(at(s), time.Second, neverContacted)
	}
	x.Scan(at(60), time.Second, neverContacted)
	l, _ := x.Get("i")
	require.Equal(t, Ready, l.State, "the process was paused")
	for s := 61.0; s < 75; s++ {
		x.Scan(at(s), time.Second, neverContacted)
	}
	l, _ = x.Get("i")
	require.Equal(t, Expired, l.State)
	require.NoError(t, x.ApplyHeartbeat(at(76), heartbeat("i", "h:1", 5, 9, Ready)))
	l, _ = x.Get("i")
	require.Equal(t, Ready, l.State)
}

// Guards against a leaf that expires at one control VM although another one receives its heartbeats.
func TestMovedLeafDoesNotExpire(t *testing.T) {
	a, b := NewTable("a", testConfig), NewTable("b", testConfig)
	require.NoError(t, a.ApplyHeartbeat(at(0), heartbeat("i", "h:1", 5, 10, Ready)))
	sync(at(0), a, b)
	require.NoError(t, b.ApplyHeartbeat(at(1), heartbeat("i", "h:1", 5, 11, Ready)))
	sync(at(1), b, a)
	for s := 1.0; s < 30; s++ {
		require.NoError(t, b.ApplyHeartbeat(at(s), heartbeat("i", "h:1", 5, 11+uint64(s), Ready)))
		a.Scan(at(s), time.Second, func(model.VMName) time.Time { return at(s) })
		b.Scan(at(s), time.Second, neverContacted)
	}
	for _, x := range []*Table{a, b} {
		l, _ := x.Get("i")
		require.Equal(t, Ready, l.State)
		require.Equal(t, model.VMName("b"), l.Origin)
	}
}

// Guards against an index that lists a leaf which any control VM reports as draining, and against missing leaves whose
// heartbeats reach only the control VMs on one side of a network partition.
func TestIndexTakesTheNewestRecord(t *testing.T) {
	var a, b RemoteTable
	a.Apply([]Leaf{heartbeat("i", "h:1", 5, 10, Ready), heartbeat("j", "h:2", 5, 10, Expired), heartbeat("k", "h:3", 5, 1, Ready)}, true)
	b.Apply([]Leaf{heartbeat("i", "h:1", 5, 11, Draining), heartbeat("j", "h:2", 5, 10, Ready)}, true)
	x := BuildIndex(start, Newest([]*RemoteTable{&a, &b}, nil), noneLeaving, nil)
	var ids []string
	for _, m := range x.Services["s"] {
		ids = append(ids, m.ID)
	}
	require.Equal(t, []string{"j", "k"}, ids)
	y := BuildIndex(start, Newest([]*RemoteTable{&a, &b}, nil), noneLeaving, x)
	require.Same(t, x.Services["s"][0], y.Services["s"][0])
}

// Guards against a departure that one control VM has acknowledged and that is undone by the record of another one, which
// received later heartbeats of the leaf.
func TestAcknowledgedDeparturesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable("a", testConfig), NewTable("b", testConfig), NewTable("c", testConfig)}
		table := func(label string) *Table { return tables[rapid.IntRange(0, 2).Draw(t, label)] }
		left := map[string]bool{}
		born := start.UnixMilli() - 5000
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(float64(i) / 10)
			id := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "leaf"))
			x := table("table")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				sync(now, table("from"), x)
			case 1:
				require.NoError(t, x.Deregister(now, id, rapid.SampledFrom([]int64{0, born}).Draw(t, "start")))
				left[id] = true
			default:
				_ = x.ApplyHeartbeat(now, heartbeat(id, "h:"+id, born, uint64(i+1), Ready)) // Late ones are refused.
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					sync(at(5), from, to)
				}
			}
		}
		var remote []*RemoteTable
		for _, x := range tables {
			list, complete := x.ChangesSince(0)
			r := &RemoteTable{}
			r.Apply(list, complete)
			remote = append(remote, r)
		}
		for id := range left {
			for _, x := range tables {
				l, _ := x.Get(id)
				require.Equal(t, Deregistered, l.State, "leaf %s at %s", id, x.self)
				require.Error(t, x.ApplyHeartbeat(at(6), heartbeat(id, "h:"+id, born, 1000, Ready)))
			}
			require.Equal(t, Deregistered, Newest(remote, nil)[id].State)
		}
	})
}

// Guards against a leaf that cannot register again under its ID after it has left.
func TestDepartedLeafStartsAnew(t *testing.T) {
	x := NewTable("a", testConfig)
	require.NoError(t, x.Deregister(at(0), "unknown", 0))
	require.NoError(t, x.ApplyHeartbeat(at(0), heartbeat("known", "h:1", start.UnixMilli(), 3, Ready)))
	require.NoError(t, x.Deregister(at(1), "known", 0))
	for i, id := range []string{"unknown", "known"} {
		require.NoError(t, x.ApplyHeartbeat(at(4), heartbeat(id, fmt.Sprintf("h:%d", i), at(3).UnixMilli(), 1, Ready)))
		l, _ := x.Get(id)
		require.Equal(t, Ready, l.State)
	}
}

// Guards against tables of control VMs that never converge: in whatever order heartbeats arrive, tables that have exchanged
// their records hold the newest heartbeat of each leaf.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable("a", testConfig), NewTable("b", testConfig), NewTable("c", testConfig)}
		newest := map[string]Leaf{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := at(float64(i) / 10)
			x := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			if rapid.Bool().Draw(t, "exchange") {
				sync(now, tables[rapid.IntRange(0, 2).Draw(t, "from")], x)
				continue
			}
			id := rapid.IntRange(0, 2).Draw(t, "leaf")
			l := heartbeat(fmt.Sprint(id), fmt.Sprintf("h:%d", id), int64(rapid.IntRange(1, 3).Draw(t, "born")), uint64(i), Ready)
			if x.ApplyHeartbeat(now, l) != nil {
				continue
			}
			if old, ok := newest[l.ID]; !ok || compareAge(&l, &old) > 0 {
				newest[l.ID] = l
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					sync(at(10), from, to)
				}
			}
		}
		for id, want := range newest {
			for _, x := range tables {
				got, _ := x.Get(id)
				require.Equal(t, [2]uint64{uint64(want.BornMS), want.Sequence}, [2]uint64{uint64(got.BornMS), got.Sequence})
			}
		}
	})
}

// Guards against a leaf that comes back into use cold and gets requests without limit, since only the warm-up of its first heartbeat
// counts, and against one that seems cold again because an old record is read once more or heartbeats take different times.
func TestLeafThatIsColdAgain(t *testing.T) {
	control, entry := NewTable("a", testConfig), RemoteTable{}
	var index *Index
	beat := func(s float64, seq uint64, left time.Duration) (changed bool) {
		l := heartbeat("i", "10.0.0.1:80", 5, seq, Ready)
		l.WarmUpLeft = left
		before := control.Version()
		require.NoError(t, control.ApplyHeartbeat(at(s), l))
		if changed = control.Version() != before; changed {
			list, _ := control.ChangesSince(0)
			entry.Apply(list, true)
		}
		index = BuildIndex(at(s), Newest([]*RemoteTable{&entry}, nil), noneLeaving, index)
		return changed
	}
	warmAt := func() time.Time { return index.Services["s"][0].WarmAt }
	require.True(t, beat(0, 1, 2500*time.Millisecond))
	first := index.Services["s"][0]
	require.False(t, beat(1, 2, 1500*time.Millisecond))
	require.False(t, beat(3, 3, 0))
	require.False(t, beat(4, 4, 0))
	require.Same(t, first, index.Services["s"][0])
	require.Equal(t, at(2.5), warmAt())
	require.True(t, beat(20, 5, 2500*time.Millisecond), "it is cold again")
	require.Equal(t, at(22.5), warmAt())
	again := index.Services["s"][0]
	require.False(t, beat(21, 6, 1500*time.Millisecond))
	require.False(t, beat(60, 7, 0), "the record with a warm-up is read once more")
	require.Same(t, again, index.Services["s"][0])
	require.Equal(t, at(22.5), warmAt())
}
