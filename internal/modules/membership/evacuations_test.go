package membership

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// committedState is the state that the control log of a control VM has put into force.
type committedState struct{ evacuations routes.Evacuations }

func (*committedState) Table() *routes.Table              { return &routes.Table{Version: 3} }
func (s *committedState) Evacuations() routes.Evacuations { return s.evacuations }

// Guards against an entry VM that gets routes without the evacuations that its control VM has, also when the event of the evacuation
// was dropped; against one that gets evacuations only with its next full answer; and against one that takes older evacuations.
func TestRoutesAndEvacuationsTravelTogether(t *testing.T) {
	want := routes.Evacuations{Revision: 2, Zones: []model.AvailabilityZone{"z1"}}
	c := newModule()
	c.isControl, c.incarnation, c.state = true, 7, &committedState{want}
	held := c.changed
	c.HandleEvent(start, kernel.RoutesChanged{})
	<-held // Watch requests on hold are answered.
	for _, light := range []bool{false, true} {
		req := &membershippb.WatchRequest{Incarnation: 7, Light: light, RoutesVersion: 3, EvacuationsRevision: 1}
		require.NotNil(t, c.updateFor(start, req, false).GetEvacuations())
		req.EvacuationsRevision = 2
		require.Nil(t, c.updateFor(start, req, false))
	}
	data, err := proto.Marshal(c.updateFor(start, &membershippb.WatchRequest{}, false))
	require.NoError(t, err)
	u, err := decodeUpdate(data)
	require.NoError(t, err)
	e := newModule()
	e.readiness = kernel.NewReadiness()
	e.HandleEvent(start, updateEvent{"a", u})
	e.HandleEvent(start, updateEvent{"b", update{evacuations: routes.Evacuations{Revision: 1, Zones: []model.AvailabilityZone{"z2"}}}})
	view := &kernel.View{}
	e.ContributeView(start, view)
	require.Equal(t, want, view.Evacuations)
	require.EqualValues(t, 3, view.Routes.Version)
}

// Guards against a log that an evacuation floods in a system with many VMs: a control VM writes one line for each change, however many
// VMs watch it, and an entry VM one line, however many control VMs send it.
func TestEvacuationsWriteOneLine(t *testing.T) {
	const entryVMs, controlVMs = 80, 6
	var lines bytes.Buffer
	c := newModule()
	c.logger, c.isControl, c.incarnation = log.NewLogfmtLogger(&lines), true, 7
	e := newModule()
	e.logger, e.readiness = log.NewLogfmtLogger(&lines), kernel.NewReadiness()
	for revision := range uint64(3) {
		c.state = &committedState{routes.Evacuations{Revision: revision + 1, Zones: []model.AvailabilityZone{"z1"}}}
		for range 2 { // The event and the scan.
			c.HandleEvent(start, kernel.RoutesChanged{})
		}
		for range entryVMs {
			require.NotNil(t, c.updateFor(start, &membershippb.WatchRequest{Incarnation: 7, EvacuationsRevision: revision}, false))
		}
		for i := range controlVMs {
			e.HandleEvent(start, updateEvent{[]model.VMName{"a", "b"}[i%2], update{evacuations: c.state.Evacuations()}})
		}
	}
	require.Equal(t, 2*3, strings.Count(lines.String(), `msg="evacuations in force"`))
	require.LessOrEqual(t, strings.Count(lines.String(), "\n"), 2*3+1+controlVMs, "one route table, and each control VM answers once")
}
