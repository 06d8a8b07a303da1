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

// fakeReporter stores the reports of a module.
type fakeReporter struct {
	mu      sync.Mutex
	list    [][]leaves.Evidence
	leaving []leaves.Key
}

// MarkLeaving implements kernel.LeafReporter.
func (x *fakeReporter) MarkLeaving(leaf leaves.Key) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = append(x.leaving, leaf)
}

// Report implements kernel.LeafReporter.
func (x *fakeReporter) Report(list []leaves.Evidence) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list = append(x.list, list)
}

func (x *fakeReporter) attempts() (n float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, list := range x.list {
		for _, e := range list {
			n += e.Attempts
		}
	}
	return n
}

func (m *Module) isReporting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reporting
}

// Guards against attempts that are never reported to other VMs, and against an idle VM that continues to report.
func TestAttemptsAreReported(t *testing.T) {
	m, _ := newPartitionModule(t)
	fake := m.reporter.(*fakeReporter)
	for i := range 2 {
		require.Equal(t, forward.KindMerged, m.forwardRequest(time.Second).Kind)
		want := float64(4 * (i + 1)) // One attempt at each of four leaves.
		require.Eventually(t, func() bool { return fake.attempts() == want }, 5*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return !m.isReporting() }, 5*time.Second, time.Millisecond)
	}
}

// Guards against a VM that sends its requests to an outlier because it has no evidence of its own.
func TestOutlierIsAvoided(t *testing.T) {
	m, _ := newPartitionModule(t)
	outlier := &leaves.Member{Leaf: leaves.Leaf{ID: "outlier", Service: "a", AvailabilityZone: "own"}}
	healthy := &leaves.Member{Leaf: leaves.Leaf{ID: "healthy", Service: "a", AvailabilityZone: "own"}}
	v := *m.control.View()
	v.Leaves = &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"a": {outlier, healthy}}}
	r := &runner{module: m, req: &forward.Request{}, route: &v.Routes.Routes[0]}
	chosen := func() int {
		n := 0
		for range 100 {
			if r.Choose(time.Now(), "a", nil) == outlier {
				n++
			}
		}
		return n
	}
	m.control.SetTestView(&v)
	require.Greater(t, chosen(), 20)
	withOutlier := v
	withOutlier.LeafOutliers = leaves.Outliers{outlier.Key().Incarnation: 0.5}
	m.control.SetTestView(&withOutlier)
	require.Zero(t, chosen())
	require.Equal(t, outlier, r.Choose(time.Now(), "a", []*leaves.Member{healthy}), "an outlier is used where there is no other leaf")
	m.control.SetTestView(&kernel.View{Routes: v.Routes, Leaves: v.Leaves})
	require.Greater(t, chosen(), 20)
}
