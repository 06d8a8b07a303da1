package leaves

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func evidence(id string, attempts, bad float64) Evidence {
	return Evidence{Leaf: Incarnation{ID: id, BornMS: 1}, Attempts: attempts, Bad: bad}
}

func (t Trouble) of(id string) float64 { return t[evidence(id, 0, 0).Leaf] }

// Guards against a leaf that each of many VMs has to find out by itself, and against one that stays avoided for long after its
// trouble, since nobody reports of it any more.
func TestReportsAddUpAndFade(t *testing.T) {
	b := NewTroubleBoard()
	for range 10 {
		b.Report(start, []Evidence{evidence("slow", 2, 2), evidence("sound", 2, 0), evidence("paused", 20, 1)})
	}
	require.InDelta(t, 0.9, b.Trouble(start).of("slow"), 0.05)
	require.Len(t, b.Trouble(start), 1, "pauses are no trouble")
	later := start.Add(4 * time.Second)
	require.Less(t, b.Trouble(later).of("slow"), 0.4)
	require.Empty(t, b.Gathered(start.Add(20*time.Second)))
	require.Empty(t, b.reported, "what has faded takes no memory")
}

// Guards against one failure of a leaf with little traffic that keeps all VMs away from it.
func TestFewBadAttemptsAreNoTrouble(t *testing.T) {
	b := NewTroubleBoard()
	b.Report(start, []Evidence{evidence("i", 3, 1)})
	require.Empty(t, b.Trouble(start))
	b.Report(start, []Evidence{evidence("i", 3, 3)})
	require.NotEmpty(t, b.Trouble(start))
}

// Guards against trouble that only the VMs of one availability zone avoid, and against the bad link of one zone that speaks
// against leaves which serve all others.
func TestControlVMsPoolTheirEvidence(t *testing.T) {
	a, b := NewTroubleBoard(), NewTroubleBoard()
	a.Report(start, []Evidence{evidence("slow", 40, 38), evidence("far", 8, 6)})
	b.Report(start, []Evidence{evidence("far", 80, 0)})
	require.InDelta(t, a.Trouble(start).of("slow"), b.Trouble(start, a.Gathered(start)).of("slow"), 0.1)
	require.Zero(t, b.Trouble(start, a.Gathered(start)).of("far"))
	require.Empty(t, b.Trouble(start))
}

// Guards against news at every report although nothing has changed for those who get them.
func TestSmallChangesAreNoNews(t *testing.T) {
	b := NewTroubleBoard()
	b.Report(start, []Evidence{evidence("i", 50, 46)})
	first := b.Gathered(start)
	b.Report(start, []Evidence{evidence("i", 2, 2)})
	require.Equal(t, first, b.Gathered(start))
}
