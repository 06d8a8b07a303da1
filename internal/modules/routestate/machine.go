// Package routestate holds the modules state.routes, the replicated state of a system that serves routes, and
// routes.publisher, through which front ends for operators change and read it.
package routestate

import (
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

// Machine is the replicated state: the published table with the highest version. Its methods run on the control
// goroutine.
type Machine struct {
	newest routes.Publication
	// encoded is the newest publication as encoded in the log. It is empty before the first one.
	encoded []byte
	logger  log.Logger
	post    func(kernel.Event) bool
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.logger, m.post = ctx.Logger("state"), ctx.Control.Post
	return nil
}

// Apply implements kernel.StateMachine. A table whose version is not above the one in force changes nothing.
func (m *Machine) Apply(index uint64, _ time.Time, data []byte) []byte {
	p, err := routescodec.Decode(data)
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
	return m.result(inForce, err)
}

func (m *Machine) result(inForce routes.Version, failure error) []byte {
	out, err := routescodec.EncodeResult(inForce, failure)
	if err != nil {
		// An empty result is reported to the publisher as an unknown outcome.
		_ = level.Error(m.logger).Log("msg", "cannot encode the result of a published route table; its publisher gets an unknown outcome", "err", err)
	}
	return out
}

func (m *Machine) adopt(p routes.Publication, data []byte) {
	m.newest, m.encoded = p, data
	if !m.post(kernel.RoutesChanged{Table: p.Table}) {
		_ = level.Warn(m.logger).Log("msg", "control queue is full; the route table is applied with the next scan", "version", p.Table.Version)
	}
}

// Query implements kernel.StateMachine. Only the newest publication can be queried.
func (m *Machine) Query([]byte) []byte { return m.encoded }

// Table implements kernel.RouteState.
func (m *Machine) Table() *routes.Table { return m.newest.Table }

// Evacuations implements kernel.RouteState.
func (m *Machine) Evacuations() routes.Evacuations { return routes.Evacuations{} }

// Snapshot implements kernel.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) { return m.encoded, nil }

// Restore implements kernel.StateMachine.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		return nil // The state snapshot was taken before the first publication.
	}
	p, err := routescodec.Decode(data)
	if err != nil {
		return errs.Wrap(err, errs.KindCorrupt, "run the same release on all VMs", "the route table of a state snapshot cannot be decoded")
	}
	m.adopt(p, data)
	return nil
}
