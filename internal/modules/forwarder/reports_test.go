package forwarder

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// keptReports keeps the reports of a module.
type keptReports struct {
	mu   sync.Mutex
	list [][]leaves.Evidence
}

// Report implements kernel.LeafReporter.
func (x *keptReports) Report(list []leaves.Evidence) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list = append(x.list, list)
}

// attempts returns how many attempts were reported.
func (x *keptReports) attempts() (n float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, list := range x.list {
		for _, e := range list {
			n += e.Attempts
		}
	}
	return n
}

func (m *Module) reports() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reporting
}

// Guards against attempts that other VMs never hear of, and against an idle VM that goes on reporting.
func TestAttemptsAreReported(t *testing.T) {
	m, _ := newCutModule(t)
	kept := m.reporter.(*keptReports)
	for i := range 2 {
		require.Equal(t, forward.KindMerged, m.ask(time.Second).Kind)
		want := float64(4 * (i + 1)) // One attempt at each of four leaves.
		require.Eventually(t, func() bool { return kept.attempts() == want }, 5*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return !m.reports() }, 5*time.Second, time.Millisecond)
	}
}

// Guards against a VM that sends its requests to a leaf in trouble because it has not met the trouble itself.
func TestLeafInTroubleIsAvoided(t *testing.T) {
	m, _ := newCutModule(t)
	sick := &leaves.Member{Leaf: leaves.Leaf{ID: "sick", Service: "a", AvailabilityZone: "own"}}
	well := &leaves.Member{Leaf: leaves.Leaf{ID: "well", Service: "a", AvailabilityZone: "own"}}
	v := *m.control.View()
	v.Leaves = &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"a": {sick, well}}}
	r := &runner{module: m, route: &v.Routes.Routes[0]}
	chosen := func() int {
		n := 0
		for range 100 {
			if r.Choose(time.Now(), "a", nil) == sick {
				n++
			}
		}
		return n
	}
	m.control.SetTestView(&v)
	require.Greater(t, chosen(), 20)
	told := v
	told.LeafTrouble = leaves.Outliers{sick.Key().Incarnation: 0.5}
	m.control.SetTestView(&told)
	require.Zero(t, chosen())
	require.Equal(t, sick, r.Choose(time.Now(), "a", []*leaves.Member{well}), "it serves where there is no other")
	m.control.SetTestView(&kernel.View{Routes: v.Routes, Leaves: v.Leaves})
	require.Greater(t, chosen(), 20)
}
