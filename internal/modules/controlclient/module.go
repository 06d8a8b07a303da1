// Package controlclient is the module control.client. It takes typed commands and reads from any part of any VM
// to the leader of the control group. A command is sent on to another control VM only when it is certain that the
// one before did not and will not apply it, so that no command is applied twice.
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
	// The encoded kinds carry entries and reads of a state machine that encodes them itself.
	KindProposeEncoded = "control.propose_encoded"
	KindReadEncoded    = "control.read_encoded"
)

const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// maxRounds bounds how often all control VMs are asked. With the waits between rounds this spans several
	// elections.
	maxRounds = 12
	// firstWait and maxWait bound the wait between two rounds, which doubles each time.
	firstWait = 50 * time.Millisecond
	maxWait   = time.Second
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

// Enabled says that the settings name a control VM. Without one there is nothing to reach, and the modules that
// stand on the control client stay off as well.
func Enabled(s *settings.Settings) bool {
	return s.HasRole(settings.RoleControl) ||
		slices.ContainsFunc(s.Peers, func(p settings.Peer) bool { return p.HasRole(settings.RoleControl) })
}

// Module is the control client of one VM and, on control VMs, the handler of what other VMs forward.
type Module struct {
	self  model.VMName
	peers kernel.PeerTransport
	// log is the local replica. It is nil on VMs without the control role.
	log    kernel.ControlLog
	logger log.Logger
	scope  tally.Scope
	// leader is the VM that answered last as the leader, or that others named.
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
		peers.Handle(KindPropose, m.handle(m.proposeHere))
		peers.Handle(KindRead, m.handle(m.readHere))
		peers.Handle(KindProposeEncoded, m.handle(m.proposeEncodedHere))
		peers.Handle(KindReadEncoded, m.handle(m.readEncodedHere))
	}
	return nil
}

// controls returns the control VMs that are known, this VM included, in the order of their names.
func (m *Module) controls() []model.VMName {
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
	payload, err := m.send(ctx, call{kind: KindPropose, data: data, local: m.proposeHere})
	if err != nil {
		return nil, err
	}
	result, err := statecodec.DecodeResult(payload)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindUnknownOutcome, "read the state before the command is sent again", "the result of an applied command cannot be read")
	}
	if r, ok := result.(state.Rejected); ok {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "the control group rejected the command: %s", r.Reason)
	}
	return result, nil
}

// ProposeEncoded implements kernel.EncodedControlClient. The errors are those of Propose.
func (m *Module) ProposeEncoded(ctx context.Context, data []byte) ([]byte, error) {
	return m.send(ctx, call{kind: KindProposeEncoded, data: data, local: m.proposeEncodedHere})
}

// ReadEncoded implements kernel.EncodedControlClient. The errors are those of Read.
func (m *Module) ReadEncoded(ctx context.Context, data []byte) ([]byte, error) {
	return m.send(ctx, call{kind: KindReadEncoded, data: data, repeatable: true, local: m.readEncodedHere})
}

// Read implements kernel.ControlClient.
func (m *Module) Read(ctx context.Context, query kernel.StateQuery) (kernel.StateAnswer, error) {
	data, err := statecodec.EncodeQuery(query)
	if err != nil {
		return nil, err
	}
	payload, err := m.send(ctx, call{kind: KindRead, data: data, repeatable: true, local: m.readHere})
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
