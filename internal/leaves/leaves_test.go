package leaves

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

var (
	start  = time.Unix(1000, 0)
	limits = Config{Lapse: 8 * time.Second, OrphanLapse: 15 * time.Second, Retain: time.Minute}
)

func beat(id, address string, born int64, seq uint64, s State) Leaf {
	return Leaf{ID: id, Service: "s", Address: address, State: s, BornMS: born, Sequence: seq}
}

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func noContact(model.VMName) time.Time { return time.Time{} }

// sync copies everything from one table to another, as a watch does.
func sync(now time.Time, from, to *Table) {
	list, _ := from.Since(0)
	for _, l := range list {
		to.Merge(now, from.self, l)
	}
}

// Guards against a late heartbeat that brings back a leaf that is draining or gone.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	x := NewTable("a", limits)
	require.NoError(t, x.Hear(at(0), beat("i", "h:1", 5, 3, Draining)))
	require.Equal(t, errs.KindConflict, errs.KindOf(x.Hear(at(1), beat("i", "h:1", 5, 2, Ready))))
	x.End(at(2), "i", 5)
	require.Equal(t, errs.KindConflict, errs.KindOf(x.Hear(at(3), beat("i", "h:1", 5, 4, Ready))))
	require.Equal(t, errs.KindConflict, errs.KindOf(x.Hear(at(3), beat("i", "h:1", 4, 9, Ready))))
	require.NoError(t, x.Hear(at(4), beat("i", "h:1", 6, 1, Ready)), "a new incarnation counts anew")
}

// Guards against requests to an address that now belongs to another service's leaf.
func TestAddressBelongsToTheLastStarted(t *testing.T) {
	x := NewTable("a", limits)
	require.NoError(t, x.Hear(at(0), beat("old", "h:1", 5, 1, Ready)))
	require.NoError(t, x.Hear(at(3), beat("new", "h:1", 7, 1, Ready)))
	l, _ := x.Get("old")
	require.Equal(t, Gone, l.State)
	require.Equal(t, errs.KindConflict, errs.KindOf(x.Hear(at(4), beat("old", "h:1", 5, 2, Ready))))
}

// Guards against leaves that never lapse, and against a lapse that is blamed on a pause of the control VM itself.
func TestLapse(t *testing.T) {
	x := NewTable("a", limits)
	for s := 0.0; s < 5; s++ {
		require.NoError(t, x.Hear(at(s), beat("i", "h:1", 5, uint64(s), Ready)))
		x.Scan(at(s), time.Second, noContact)
	}
	x.Scan(at(60), time.Second, noContact)
	l, _ := x.Get("i")
	require.Equal(t, Ready, l.State, "the process was paused")
	for s := 61.0; s < 75; s++ {
		x.Scan(at(s), time.Second, noContact)
	}
	l, _ = x.Get("i")
	require.Equal(t, Lapsed, l.State)
	require.NoError(t, x.Hear(at(76), beat("i", "h:1", 5, 9, Ready)))
	l, _ = x.Get("i")
	require.Equal(t, Ready, l.State)
}

// Guards against a leaf that lapses at one control VM although another one hears from it.
func TestMovedLeafDoesNotLapse(t *testing.T) {
	a, b := NewTable("a", limits), NewTable("b", limits)
	require.NoError(t, a.Hear(at(0), beat("i", "h:1", 5, 10, Ready)))
	sync(at(0), a, b)
	require.NoError(t, b.Hear(at(1), beat("i", "h:1", 5, 11, Ready)))
	sync(at(1), b, a)
	for s := 1.0; s < 30; s++ {
		require.NoError(t, b.Hear(at(s), beat("i", "h:1", 5, 11+uint64(s), Ready)))
		a.Scan(at(s), time.Second, func(model.VMName) time.Time { return at(s) })
		b.Scan(at(s), time.Second, noContact)
	}
	for _, x := range []*Table{a, b} {
		l, _ := x.Get("i")
		require.Equal(t, Ready, l.State)
		require.Equal(t, model.VMName("b"), l.Origin)
	}
}

// Guards against an index that lists a leaf which any control VM knows to be draining, and against losing leaves
// that only the control VMs of one side of a cut hear from.
func TestJoinTakesTheNewest(t *testing.T) {
	var a, b Copy
	a.Apply([]Leaf{beat("i", "h:1", 5, 10, Ready), beat("j", "h:2", 5, 10, Lapsed), beat("k", "h:3", 5, 1, Ready)}, true)
	b.Apply([]Leaf{beat("i", "h:1", 5, 11, Draining), beat("j", "h:2", 5, 10, Ready)}, true)
	x := Join(start, []*Copy{&a, &b}, nil)
	var ids []string
	for _, m := range x.Services["s"] {
		ids = append(ids, m.ID)
	}
	require.Equal(t, []string{"j", "k"}, ids)
	y := Join(start, []*Copy{&a, &b}, x)
	require.Same(t, x.Services["s"][0], y.Services["s"][0])
}

// Guards against control VMs that disagree for good: whatever order heartbeats arrive in, tables that have exchanged
// their news hold the newest heartbeat of each leaf.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable("a", limits), NewTable("b", limits), NewTable("c", limits)}
		newest := map[string]Leaf{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := at(float64(i) / 10)
			x := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			if rapid.Bool().Draw(t, "exchange") {
				sync(now, tables[rapid.IntRange(0, 2).Draw(t, "from")], x)
				continue
			}
			id := rapid.IntRange(0, 2).Draw(t, "leaf")
			l := beat(fmt.Sprint(id), fmt.Sprintf("h:%d", id), int64(rapid.IntRange(1, 3).Draw(t, "born")), uint64(i), Ready)
			if x.Hear(now, l) != nil {
				continue
			}
			if old, ok := newest[l.ID]; !ok || compare(&l, &old) > 0 {
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
