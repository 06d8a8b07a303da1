// Package controlclient is the module control.client. It sends typed commands and reads of other modules on any VM to
// the leader of the control group. A command is sent to another control VM only when the previous one certainly did
// not and will not apply it, so that no command is applied twice.
package controlclient

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
)

// The kinds of peer messages between clients and control VMs.
const (
	KindPropose = "control.propose"
	KindRead    = "control.read"
	// The encoded kinds carry entries and reads that are encoded by the caller's own state machine.
	KindProposeEncoded = "control.propose_encoded"
	KindReadEncoded    = "control.read_encoded"
)

const (
	// defaultTimeout limits a call whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// maxRounds limits how often a call is sent to all control VMs. With the waits between rounds, the rounds last
	// longer than several elections.
	maxRounds = 12
	// minRoundWait and maxRoundWait are the shortest and the longest wait between two rounds. The wait doubles after
	// each round.
	minRoundWait = 50 * time.Millisecond
	maxRoundWait = time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "control.client",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog, kernel.CapPeerTransport},
		Wants:    []kernel.Capability{kernel.CapMetrics, kernel.CapControlLog},
		Provides: []kernel.Capability{kernel.CapControlClient},
		Enabled:  Enabled,
	})
}

// Enabled reports whether the settings list a control VM. Without one, the control client and the modules that depend
// on it are disabled.
func Enabled(s *settings.Settings) bool {
	return s.HasRole(settings.RoleControl) ||
		slices.ContainsFunc(s.Peers, func(p settings.Peer) bool { return p.HasRole(settings.RoleControl) })
}

// Module is the control client of one VM and, on control VMs, the handler of forwarded calls of other VMs.
type Module struct {
	self  model.VMName
	peers kernel.PeerTransport
	// log is the local replica. It is nil on VMs without the control role.
	log    kernel.ControlLog
	logger log.Logger
	scope  tally.Scope
	// leader is the VM that last answered a call as the leader.
	leader atomic.Pointer[model.VMName]
	wait   func(ctx context.Context, d time.Duration) error
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	peers, err := kernel.Lookup[kernel.PeerTransport](ctx)
	if err != nil {
		return err
	}
	m.self, m.peers, m.wait = ctx.VM.VM, peers, kernel.Wait
	m.logger, m.scope = ctx.Logger("control_client"), ctx.Scope("control_client")
	if ctx.Settings.HasRole(settings.RoleControl) {
		m.log, err = kernel.Lookup[kernel.ControlLog](ctx)
		if err != nil {
			return err
		}
		peers.Handle(KindPropose, m.handle(m.proposeLocal))
		peers.Handle(KindRead, m.handle(m.readLocal))
		peers.Handle(KindProposeEncoded, m.handle(m.proposeEncodedLocal))
		peers.Handle(KindReadEncoded, m.handle(m.readEncodedLocal))
	}
	return nil
}

// controlVMs returns the control VMs among the peers, and this VM if it is one, sorted by name.
func (m *Module) controlVMs() []model.VMName {
	var out []model.VMName
	for _, p := range m.peers.Peers() {
		if p.Control {
			out = append(out, p.VM)
		}
	}
	if m.log != nil {
		out = append(out, m.self)
	}
	slices.Sort(out)
	return out
}

// Propose implements kernel.ControlClient.
func (m *Module) Propose(ctx context.Context, command kernel.Command) (kernel.CommandResult, error) {
	data, err := statecodec.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	payload, err := m.send(ctx, call{kind: KindPropose, data: data, local: m.proposeLocal})
	if err != nil {
		return nil, err
	}
	result, err := statecodec.DecodeResult(payload)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindUnknownOutcome, "read the state before the command is sent again", "the result of an applied command cannot be decoded")
	}
	if r, ok := result.(state.Rejected); ok {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "the control group rejected the command: %s", r.Reason)
	}
	return result, nil
}

// ProposeEncoded implements kernel.EncodedControlClient. It returns the same errors as Propose.
func (m *Module) ProposeEncoded(ctx context.Context, data []byte) ([]byte, error) {
	return m.send(ctx, call{kind: KindProposeEncoded, data: data, local: m.proposeEncodedLocal})
}

// ReadEncoded implements kernel.EncodedControlClient. It returns the same errors as Read.
func (m *Module) ReadEncoded(ctx context.Context, data []byte) ([]byte, error) {
	return m.send(ctx, call{kind: KindReadEncoded, data: data, idempotent: true, local: m.readEncodedLocal})
}

// Read implements kernel.ControlClient.
func (m *Module) Read(ctx context.Context, query kernel.StateQuery) (kernel.StateAnswer, error) {
	data, err := statecodec.EncodeQuery(query)
	if err != nil {
		return nil, err
	}
	payload, err := m.send(ctx, call{kind: KindRead, data: data, idempotent: true, local: m.readLocal})
	if err != nil {
		return nil, err
	}
	answer, err := statecodec.DecodeAnswer(payload)
	if err != nil {
		return nil, err
	}
	if r, ok := answer.(state.Rejected); ok {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "the control group rejected the read: %s", r.Reason)
	}
	return answer, nil
}
