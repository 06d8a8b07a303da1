package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// stateOf is the state that the control log of a control VM has put into force.
type stateOf struct {
	table       *routes.Table
	evacuations routes.Evacuations
}

func (s *stateOf) Table() *routes.Table            { return s.table }
func (s *stateOf) Evacuations() routes.Evacuations { return s.evacuations }

func evacuated(revision uint64, zones ...model.AvailabilityZone) routes.Evacuations {
	return routes.Evacuations{Revision: revision, Zones: zones}
}

// Guards against an entry VM that gets routes without the evacuations that its control VM has, also when the event of the evacuation
// was dropped, and against one that gets evacuations only with its next full answer.
func TestRoutesAndEvacuationsTravelTogether(t *testing.T) {
	table, err := routes.Build(&routes.Table{Version: 3})
	require.NoError(t, err)
	c := newModule()
	c.isControl, c.incarnation, c.state = true, 7, &stateOf{table, evacuated(2, "z1")}
	held := c.changed
	c.HandleEvent(start, kernel.RoutesChanged{Table: table})
	require.Equal(t, evacuated(2, "z1"), c.evacuations)
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
	e.sources["a"].full.Store(true)
	e.HandleEvent(start, updateEvent{"a", u})
	view := &kernel.View{}
	e.ContributeView(start, view)
	require.Equal(t, evacuated(2, "z1"), view.Evacuations)
	require.EqualValues(t, 3, view.Routes.Version)
}

// Guards against a VM that takes the evacuations of a control VM that has fallen behind.
func TestEvacuationsNeverRevert(t *testing.T) {
	e := newModule()
	e.HandleEvent(start, updateEvent{"a", update{evacuations: evacuated(2)}})
	e.HandleEvent(start, updateEvent{"b", update{evacuations: evacuated(1, "z1")}})
	require.Equal(t, evacuated(2), e.evacuations)
	e.HandleEvent(start, updateEvent{"b", update{}})
	require.Equal(t, evacuated(2), e.evacuations)
}
