// Package statemachine is the module state.machine. It connects the replicated state and its encoding to the control
// log, and provides the disseminated part of the state to the dissemination.
package statemachine

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "state.machine",
		New:      func() kernel.Module { return New() },
		Needs:    []kernel.Capability{kernel.CapLog},
		Provides: []kernel.Capability{kernel.CapStateMachine},
		Enabled:  kernel.ForQueries(settings.RoleControl),
	})
}

// Module holds the replicated state of a control VM. Its methods run on the control goroutine, except for
// DisseminatedState.
type Module struct {
	state        *state.State
	disseminated atomic.Pointer[state.DisseminatedState]
	logger       log.Logger
	post         func(kernel.Event) bool
	fatal        func(error)
	// failed is set once an entry cannot be applied. From then on the state would differ from the state of the other
	// control VMs, so it is neither changed nor saved any more.
	failed error
}

// New returns a module with the empty state before the first entry.
func New() *Module {
	m := &Module{
		state: state.New(), logger: log.NewNopLogger(),
		post: func(kernel.Event) bool { return true }, fatal: func(error) {},
	}
	m.disseminated.Store(m.state.Disseminated())
	return m
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.logger = ctx.Logger("state")
	m.post, m.fatal = ctx.Control.Post, ctx.Fatal
	return nil
}

// DisseminatedState implements kernel.StateSource.
func (m *Module) DisseminatedState() *state.DisseminatedState { return m.disseminated.Load() }

// Apply implements kernel.StateMachine.
func (m *Module) Apply(index uint64, at time.Time, data []byte) []byte {
	if m.failed != nil {
		// Other control VMs may apply the entry, so this VM returns no result. The control client reports an empty
		// result as an unknown outcome.
		return nil
	}
	command, err := statecodec.DecodeCommand(data)
	if statecodec.IsNewerFormat(err) {
		m.fail(errs.Wrap(err, errs.KindInternal, "upgrade this VM to the release of the leader", "entry %d of the control log cannot be applied", index))
		return nil
	}
	if err != nil {
		// Every release that supports this format rejects the entry in the same way.
		_ = level.Error(m.logger).Log("msg", "rejected a malformed entry of the control log", "index", index, "err", err)
		return m.encodeResult(state.Rejected{Reason: "the command is malformed"})
	}
	result := m.state.Apply(index, at, command)
	m.logResult(index, command, result)
	m.publish()
	return m.encodeResult(result)
}

// Query implements kernel.StateMachine.
func (m *Module) Query(data []byte) []byte {
	query, err := statecodec.DecodeQuery(data)
	if err != nil {
		return m.encodeAnswer(state.Rejected{Reason: err.Error()})
	}
	return m.encodeAnswer(m.state.Query(query))
}

// Snapshot implements kernel.StateMachine.
func (m *Module) Snapshot() ([]byte, error) {
	if m.failed != nil {
		return nil, m.failed
	}
	return statecodec.EncodeSnapshot(m.state.Snapshot())
}

// Restore implements kernel.StateMachine. When it fails, the state is unchanged.
func (m *Module) Restore(data []byte) error {
	in, err := statecodec.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	restored, err := state.Restore(in)
	if err != nil {
		return err
	}
	m.state = restored
	m.publish()
	return nil
}

// publish makes the disseminated part of the state available, and posts an event if it has changed.
func (m *Module) publish() {
	disseminated := m.state.Disseminated()
	if m.disseminated.Swap(disseminated) != disseminated {
		m.post(kernel.StateChanged{Revision: disseminated.Revision})
	}
}

// fail stops the state machine and ends the process.
func (m *Module) fail(err error) {
	m.failed = err
	m.fatal(err)
}

func (m *Module) encodeResult(result any) []byte {
	data, err := statecodec.EncodeResult(result)
	if err != nil {
		m.fail(errs.Wrap(err, errs.KindInternal, "report this fault", "the result of a command cannot be encoded"))
	}
	return data
}

func (m *Module) encodeAnswer(answer any) []byte {
	data, err := statecodec.EncodeAnswer(answer)
	if err != nil {
		// A rejection holds only a text, so its encoding cannot fail.
		data, _ = statecodec.EncodeAnswer(state.Rejected{Reason: err.Error()})
	}
	return data
}

func (m *Module) logResult(index uint64, command, result any) {
	switch r := result.(type) {
	case state.ChangeResult:
		c := command.(state.ApplyConfig)
		_ = level.Info(m.logger).Log("msg", "configuration change processed", "index", index, "change_id", c.ChangeID,
			"author", c.Author, "outcome", r.Outcome, "revision", r.Revision, "repeated", r.Repeated)
	case state.CommitLayoutResult:
		c := command.(state.CommitLayout)
		if r.Outcome != state.LayoutExists {
			_ = level.Info(m.logger).Log("msg", "proposed layout processed", "index", index, "service", c.Layout.Service,
				"layout", c.Layout.Number, "outcome", r.Outcome, "reason", r.Reason)
		}
	case state.SeatResult:
		if c, ok := command.(state.AcquireSeat); ok {
			_ = level.Info(m.logger).Log("msg", "seat request processed", "index", index, "holder", c.Holder.VM,
				"incarnation", c.Holder.Incarnation, "outcome", r.Outcome, "seat", r.Seat.Index)
		}
	case model.ClaimResult:
		_ = level.Debug(m.logger).Log("msg", "claim request processed", "index", index, "service", r.Claim.Order.Service,
			"key", r.Claim.Order.Key, "decision", r.Decision)
	}
}
