package leafpool

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

func (m *Module) evacuate(zones ...model.AvailabilityZone) {
	v := *m.control.View()
	v.Evacuations = routes.Evacuations{Revision: v.Evacuations.Revision + 1, Zones: zones}
	m.control.SetTestView(&v)
	m.prune(&v)
	m.choosePreferred(&v)
}

// Guards against an attempt that reaches a leaf because its connection was being opened when the zone was evacuated, and against one on
// an idle connection.
func TestNothingIsSentToEvacuatedLeaves(t *testing.T) {
	l, _ := startLeaf(t, echo)
	l.AvailabilityZone = "z"
	m := newModule(t, l, 10)
	m.dialer.Control = func(string, string, syscall.RawConn) error {
		m.evacuate("z")
		return nil
	}
	done, _ := send(m, l, "a")
	e := <-done
	require.False(t, e.Sent || e.Refused, "it is no evidence against the leaf")
	m.dialer.Control = nil
	m.evacuate()
	done, _ = send(m, l, "b")
	require.NoError(t, (<-done).Err)
	m.evacuate("z")
	require.Empty(t, m.poolOf(l).idle)
	done, _ = send(m, l, "c")
	require.False(t, (<-done).Sent)
}

// Guards against connections that are opened in advance to leaves of evacuated zones, and against VMs that prefer no others instead.
func TestOthersArePreferredToEvacuatedLeaves(t *testing.T) {
	l, count := startLeaf(t, echo)
	other, otherCount := startLeaf(t, echo)
	l.AvailabilityZone, other.ID, other.AvailabilityZone = "z", "other", "y"
	m := newModule(t, l, 4)
	v := *m.control.View()
	v.Leaves = &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{"s": {l, other}}}
	v.EntryVMs = 8 // There are fewer connections than VMs, so that this VM prefers one leaf, of its own zone.
	m.zone = "z"
	m.control.SetTestView(&v)
	m.evacuate()
	require.True(t, m.Prefers(l))
	m.evacuate("z")
	require.False(t, m.Prefers(l))
	go m.preconnect(m.runCtx)
	require.Eventually(t, func() bool { return otherCount.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.Zero(t, count.Load())
}
