package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// applyEvacuations puts evacuations of a higher revision into force. Within one process the revision never decreases.
func (m *Module) applyEvacuations(from model.VMName, e routes.Evacuations) {
	if e.Revision <= m.evacuations.Revision {
		return
	}
	before := m.evacuations
	m.evacuations = e
	m.metrics.evacuatedZones.Update(float64(len(e.Zones)))
	_ = level.Info(m.logger).Log("msg", "evacuations in force", "revision", e.Revision, "before", before.Revision, "from", from, "zones", fmt.Sprint(e.Zones))
	m.control.MarkDirty()
	m.notifyWatchers()
}

// applyState applies what the control log has put into force on this control VM. Evacuations come first, so that no VM gets a table
// without the evacuations that the log put into force before it.
func (m *Module) applyState() {
	m.applyEvacuations(m.self, m.state.Evacuations())
	m.applyRoutes(m.self, m.state.Table())
}

// LeafZones implements kernel.LeafZoneLister.
func (m *Module) LeafZones(ctx context.Context) (map[model.AvailabilityZone]bool, error) {
	zones := map[model.AvailabilityZone]bool{}
	err := m.control.Do(ctx, func(time.Time) {
		list, _ := m.table.ChangesSince(0)
		for i := range list {
			zones[list[i].AvailabilityZone] = true
		}
	})
	return zones, err
}
