// Package routestate holds the modules state.routes, the replicated state of a system that serves routes, and routes.publisher and
// evacuations.orders, through which front ends for operators change and read it.
package routestate

import (
	"bytes"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "state.routes",
		New:      func() kernel.Module { return &Machine{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Provides: []kernel.Capability{kernel.CapStateMachine},
		Enabled:  kernel.ForRoutes(settings.RoleControl),
	})
}

// Machine is the replicated state: the published table with the highest version, and the evacuated availability zones. Its methods
// run on the control goroutine.
type Machine struct {
	newest routes.Publication
	// encoded is the newest publication as encoded in the log. It is empty before the first one.
	encoded     []byte
	evacuations routes.Evacuations
	logger      log.Logger
	post        func(kernel.Event) bool
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.logger, m.post = ctx.Logger("state"), ctx.Control.Post
	return nil
}

// Apply implements kernel.StateMachine.
func (m *Machine) Apply(index uint64, _ time.Time, data []byte) []byte {
	p, order, err := routescodec.DecodeEntry(data)
	if order != nil {
		return m.applyOrder(index, *order)
	}
	return m.applyPublication(index, p, data, err)
}

// applyPublication applies a publication, or an entry that could not be decoded. A table whose version is not above the one in force
// changes nothing.
func (m *Machine) applyPublication(index uint64, p routes.Publication, data []byte, err error) []byte {
	outcome := "in_force"
	switch {
	case err != nil:
		// Every release that supports this format rejects the entry in the same way.
		outcome = "malformed"
	case m.newest.Table != nil && p.Table.Version <= m.newest.Table.Version:
		outcome = "not_newer"
	default:
		m.adopt(p, data)
	}
	var inForce, published routes.Version
	if m.newest.Table != nil {
		inForce = m.newest.Table.Version
	}
	if p.Table != nil {
		published = p.Table.Version
	}
	_ = level.Info(m.logger).Log("msg", "published route table evaluated", "index", index, "version", published, "outcome", outcome, "in_force", inForce, "err", err)
	return m.encoding(routescodec.EncodeResult(inForce, err))
}

// applyOrder applies an evacuation order.
func (m *Machine) applyOrder(index uint64, order routes.EvacuationOrder) []byte {
	next, outcome := m.evacuations.Apply(order)
	if outcome == routes.OrderApplied {
		m.adoptEvacuations(next)
	}
	_ = level.Info(m.logger).Log("msg", "evacuation order evaluated", "index", index, "zone", order.Zone, "end", order.End, "based_on", order.BasedOn, "outcome", outcome, "revision", next.Revision)
	return m.encoding(routescodec.EncodeOrderResult(next.Revision, outcome == routes.OrderConflict))
}

// encoding returns an encoded result. Whoever proposed the entry takes an empty one as an unknown outcome.
func (m *Machine) encoding(out []byte, err error) []byte {
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "cannot encode the result of an entry; its sender gets an unknown outcome", "err", err)
	}
	return out
}

func (m *Machine) adopt(p routes.Publication, data []byte) {
	m.newest, m.encoded = p, data
	if !m.post(kernel.RoutesChanged{Table: p.Table}) {
		_ = level.Warn(m.logger).Log("msg", "control queue is full; the route table is applied with the next scan", "version", p.Table.Version)
	}
}

func (m *Machine) adoptEvacuations(e routes.Evacuations) {
	m.evacuations = e
	if !m.post(kernel.EvacuationsChanged{Evacuations: e}) {
		_ = level.Warn(m.logger).Log("msg", "control queue is full; the evacuations are applied with the next scan", "revision", e.Revision)
	}
}

// Query implements kernel.StateMachine. The evacuations can be queried alone, since a document may be large.
func (m *Machine) Query(query []byte) []byte {
	publication := m.encoded
	if bytes.Equal(query, evacuationsQuery) {
		publication = nil
	}
	return m.encoding(routescodec.EncodeState(publication, m.evacuations))
}

// Table implements kernel.RouteState.
func (m *Machine) Table() *routes.Table { return m.newest.Table }

// Evacuations implements kernel.RouteState.
func (m *Machine) Evacuations() routes.Evacuations { return m.evacuations }

// Snapshot implements kernel.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	return routescodec.EncodeState(m.encoded, m.evacuations)
}

// Restore implements kernel.StateMachine. Evacuations are in force before a table that arrives with them.
func (m *Machine) Restore(data []byte) error {
	s, err := routescodec.DecodeState(data)
	if err != nil {
		return errs.Wrap(err, errs.KindCorrupt, "run the same release on all VMs", "the state snapshot cannot be decoded")
	}
	if s.Evacuations.Revision > 0 {
		m.adoptEvacuations(s.Evacuations)
	}
	if s.Publication.Table != nil {
		m.adopt(s.Publication, s.Encoded)
	}
	return nil
}
