package routes

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against orders of several operators, copies and delays that together evacuate a zone that nobody wants evacuated, lose a
// zone, reuse a revision, or change evacuations that another goroutine reads.
func TestConcurrentOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []model.AvailabilityZone{"a", "b", "c"}
		history := []Evacuations{{}}
		var sent []EvacuationOrder
		applied := map[EvacuationOrder]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := history[len(history)-1]
			var o EvacuationOrder
			if len(sent) > 0 && rapid.Bool().Draw(t, "copy") {
				o = rapid.SampledFrom(sent).Draw(t, "which")
			} else {
				// An operator bases its order on any revision that was in force, and not only on the latest.
				base := rapid.SampledFrom(history).Draw(t, "read")
				o = EvacuationOrder{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), End: rapid.Bool().Draw(t, "end"), BasedOn: base.Revision}
				sent = append(sent, o)
			}
			kept := slices.Clone(now.Zones)
			next, outcome := now.Apply(o)
			require.Equal(t, kept, slices.Clone(now.Zones))
			require.True(t, slices.IsSorted(next.Zones))
			if outcome == OrderApplied {
				applied[o]++
				require.Equal(t, 1, applied[o], "a copy has come into force")
				require.Equal(t, now.Revision+1, next.Revision)
				require.Equal(t, o.BasedOn, now.Revision)
				history = append(history, next)
			} else {
				require.Equal(t, now, next)
			}
			if outcome != OrderConflict {
				require.Equal(t, !o.End, next.Has(o.Zone))
			}
		}
	})
}

// Guards against an order that is taken for unaffected by others although its zone was evacuated and taken back meanwhile.
func TestReversalsAreNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Evacuations{}
		changed := false
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			zone := rapid.SampledFrom([]model.AvailabilityZone{"a", "b", "c"}).Draw(t, "zone")
			changed = changed || zone == "a"
			e, _ = e.Apply(EvacuationOrder{Zone: zone, End: e.Has(zone), BasedOn: e.Revision})
		}
		if changed {
			require.True(t, e.MayHaveChanged(Evacuations{}, "a"))
		}
	})
	e, _ := Evacuations{}.Apply(EvacuationOrder{Zone: "b"})
	require.False(t, e.MayHaveChanged(Evacuations{}, "a"))
}
