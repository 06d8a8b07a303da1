package leaves

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newEvidence(id string, attempts, bad float64) Evidence {
	return Evidence{Leaf: Incarnation{ID: id, BornMS: 1}, Attempts: attempts, Bad: bad}
}

func (t Outliers) of(id string) float64 { return t[newEvidence(id, 0, 0).Leaf] }

// Guards against an outlier that each of many VMs has to detect on its own, and against a leaf that is avoided long
// after its fault has ended because no VM reports about it any more.
func TestReportsAddUpAndDecay(t *testing.T) {
	b := NewOutlierBoard()
	for range 10 {
		b.Record(start, []Evidence{newEvidence("slow", 2, 2), newEvidence("healthy", 2, 0), newEvidence("paused", 20, 1)})
	}
	require.InDelta(t, 0.9, b.Outliers(start).of("slow"), 0.05)
	require.Len(t, b.Outliers(start), 1, "pauses do not make a leaf an outlier")
	later := start.Add(4 * time.Second)
	require.Less(t, b.Outliers(later).of("slow"), 0.4)
	require.Empty(t, b.LocalEvidence(start.Add(20*time.Second)))
	require.Empty(t, b.evidence, "decayed evidence is removed")
}

// Guards against a leaf with little traffic that all VMs avoid after a single failure.
func TestFewBadAttemptsMakeNoOutlier(t *testing.T) {
	b := NewOutlierBoard()
	b.Record(start, []Evidence{newEvidence("i", 3, 1)})
	require.Empty(t, b.Outliers(start))
	b.Record(start, []Evidence{newEvidence("i", 3, 3)})
	require.NotEmpty(t, b.Outliers(start))
}

// Guards against an outlier that only the VMs of one availability zone avoid, and against the bad network of one zone that
// makes outliers of leaves which serve all other zones well.
func TestControlVMsPoolTheirEvidence(t *testing.T) {
	a, b := NewOutlierBoard(), NewOutlierBoard()
	a.Record(start, []Evidence{newEvidence("slow", 40, 38), newEvidence("far", 8, 6)})
	b.Record(start, []Evidence{newEvidence("far", 80, 0)})
	require.InDelta(t, a.Outliers(start).of("slow"), b.Outliers(start, a.LocalEvidence(start)).of("slow"), 0.1)
	require.Zero(t, b.Outliers(start, a.LocalEvidence(start)).of("far"))
	require.Empty(t, b.Outliers(start))
}

// Guards against an update for every report although nothing has changed for its receivers.
func TestSmallChangesCauseNoUpdate(t *testing.T) {
	b := NewOutlierBoard()
	b.Record(start, []Evidence{newEvidence("i", 50, 46)})
	first := b.LocalEvidence(start)
	b.Record(start, []Evidence{newEvidence("i", 2, 2)})
	require.Equal(t, first, b.LocalEvidence(start))
}
