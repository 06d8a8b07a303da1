package controlclient

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/statemachine"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

var (
	_  kernel.ControlClient = (*Module)(nil)
	at                      = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

// group is a fake control group of three VMs that share one state.
type group struct {
	machine *statemachine.Module
	applied uint64
	leader  model.VMName
	vms     map[model.VMName]*vm
}

// vm is one control VM: its log, and the transport that reaches the others.
type vm struct {
	group  *group
	name   model.VMName
	client *Module
	// fault is the error of calls to this VM. It is returned instead of executing the call, or with lateFault after
	// executing it.
	fault     error
	lateFault bool
	calls     int
	handlers  map[string]kernel.PeerHandler
}

func newGroup(leader model.VMName) *group {
	g := &group{machine: statemachine.New(), leader: leader, vms: map[model.VMName]*vm{}}
	for _, name := range []model.VMName{"c1", "c2", "c3", "entry"} {
		v := &vm{group: g, name: name, handlers: map[string]kernel.PeerHandler{}}
		v.client = &Module{
			self: name, peers: v,
			logger: log.NewNopLogger(), scope: tally.NoopScope,
			wait: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		}
		if name != "entry" {
			v.client.log = v
			v.Handle(KindPropose, v.client.handle(v.client.proposeLocal))
			v.Handle(KindRead, v.client.handle(v.client.readLocal))
		}
		g.vms[name] = v
	}
	return g
}

func (v *vm) checkLeader() error {
	if v.group.leader == v.name {
		return nil
	}
	return errs.New(errs.KindNotLeader, "send the request to the leader", "%s is not the leader", v.name)
}

func (v *vm) Propose(_ context.Context, data []byte) ([]byte, error) {
	if err := v.checkLeader(); err != nil {
		return nil, err
	}
	if v.fault != nil && !v.lateFault {
		return nil, v.fault
	}
	v.group.applied++
	return v.group.machine.Apply(v.group.applied, at, data), v.fault
}

func (v *vm) Read(_ context.Context, data []byte) ([]byte, error) {
	if err := v.checkLeader(); err != nil {
		return nil, err
	}
	return v.group.machine.Query(data), v.fault
}

func (v *vm) Status() kernel.ControlStatus { return kernel.ControlStatus{Leader: v.group.leader} }

func (v *vm) Handle(kind string, h kernel.PeerHandler) { v.handlers[kind] = h }

func (v *vm) Call(ctx context.Context, to model.VMName, msg kernel.PeerMessage) ([]byte, error) {
	peer := v.group.vms[to]
	peer.calls++
	if errs.KindOf(peer.fault) == errs.KindUnavailable {
		return nil, peer.fault
	}
	return peer.handlers[msg.Kind](ctx, v.name, msg.Payload)
}

func (v *vm) Send(model.VMName, kernel.PeerMessage) bool { return false }
func (v *vm) AddPeer(settings.Peer)                      {}
func (v *vm) Peers() []kernel.PeerStatus {
	var out []kernel.PeerStatus
	for _, name := range []model.VMName{"c1", "c2", "c3"} {
		if name != v.name {
			out = append(out, kernel.PeerStatus{VM: name, Control: true})
		}
	}
	return out
}
func (v *vm) OnChange(func(kernel.PeerStatus)) {}

func change(t *testing.T, id string, basedOn model.Revision) state.ApplyConfig {
	base, err := os.ReadFile("../../../examples/sfax/base.ini")
	require.NoError(t, err)
	return state.ApplyConfig{
		ChangeID: id, BasedOn: basedOn, Files: model.ConfigFiles{Base: string(base)},
		Seats: 9, SeatLease: 24 * time.Hour, ClaimRetention: 24 * time.Hour,
	}
}

// Guards against a command that does not reach the leader from some VM, in particular after
// the leader has changed.
func TestCommandsReachTheLeader(t *testing.T) {
	g := newGroup("c2")
	revision := model.Revision(0)
	for _, leader := range []model.VMName{"c2", "c3", "c1"} {
		g.leader = leader
		for _, from := range []model.VMName{"entry", "c1", "c2", "c3"} {
			r, err := g.vms[from].client.Propose(t.Context(), change(t, string(leader+from), revision))
			require.NoError(t, err)
			revision++
			require.Equal(t, state.ChangeResult{Outcome: state.ChangeAccepted, Revision: revision}, r)
			a, err := g.vms[from].client.Read(t.Context(), state.GetStatus{})
			require.NoError(t, err)
			require.Equal(t, revision, a.(state.StatusAnswer).ConfigRevision)
		}
	}
	calls := g.vms["c1"].calls
	_, err := g.vms["entry"].client.Read(t.Context(), state.GetStatus{})
	require.NoError(t, err)
	require.Equal(t, calls+1, g.vms["c1"].calls, "the last leader is called first")
}

// Guards against a command that is sent again after it may have been
// applied, and against an error of kind not_accepted for a command that may have been applied.
func TestErrorKindShowsWhetherTheCommandWasApplied(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault error
		late  bool
		kind  errs.Kind
	}{
		{"refused by the log", errs.New(errs.KindNotAccepted, "wait", "no quorum"), false, errs.KindNotAccepted},
		{"disk full", errs.New(errs.KindDiskFull, "free space", "disk full"), false, errs.KindNotAccepted},
		{"unknown outcome", errs.New(errs.KindUnknownOutcome, "read", "leadership lost"), true, errs.KindUnknownOutcome},
		{"deadline after sending", context.DeadlineExceeded, true, errs.KindUnknownOutcome},
		{"fault without a kind", os.ErrClosed, true, errs.KindUnknownOutcome},
	} {
		for _, from := range []model.VMName{"entry", "c1", "c2"} {
			t.Run(tc.name+" from "+string(from), func(t *testing.T) {
				g := newGroup("c2")
				g.vms["c2"].fault, g.vms["c2"].lateFault = tc.fault, tc.late
				_, err := g.vms[from].client.Propose(t.Context(), change(t, "c", 0))
				require.Equal(t, tc.kind, errs.KindOf(err), "%v", err)
				require.NotEmpty(t, errs.RemedyOf(err))
				require.LessOrEqual(t, g.applied, uint64(1))
				require.Equal(t, tc.late, g.applied == 1)
			})
		}
	}
}

// Guards against a command that is refused because leadership is being transferred just then.
func TestCommandsWaitForTheNextLeader(t *testing.T) {
	for _, from := range []model.VMName{"entry", "c1", "c2"} {
		g := newGroup("")
		g.vms[from].client.wait = func(ctx context.Context, _ time.Duration) error {
			g.leader = "c2"
			return ctx.Err()
		}
		r, err := g.vms[from].client.Propose(t.Context(), change(t, "c", 0))
		require.NoError(t, err)
		require.Equal(t, state.ChangeResult{Outcome: state.ChangeAccepted, Revision: 1}, r)
		require.Equal(t, uint64(1), g.applied)
	}
}

// Guards against endless retries without a leader, and against an error of kind
// outcome_unknown when nothing can have been applied.
func TestNothingIsAcceptedWithoutALeader(t *testing.T) {
	g := newGroup("")
	g.vms["c3"].fault = errs.New(errs.KindUnavailable, "wait", "not connected")
	_, err := g.vms["entry"].client.Propose(t.Context(), change(t, "c", 0))
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	require.Equal(t, maxRounds, g.vms["c1"].calls)
	_, err = g.vms["entry"].client.Read(t.Context(), state.GetStatus{})
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err))

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = g.vms["entry"].client.Propose(ended, change(t, "c", 0))
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	require.Zero(t, g.applied)
}

// Guards against a read that fails although another control VM can answer it.
func TestReadsAreRetried(t *testing.T) {
	g := newGroup("c1")
	g.vms["c1"].fault = errs.New(errs.KindUnknownOutcome, "read", "leadership lost")
	wait := g.vms["entry"].client.wait
	g.vms["entry"].client.wait = func(ctx context.Context, d time.Duration) error {
		g.leader = "c2"
		return wait(ctx, d)
	}
	_, err := g.vms["entry"].client.Read(t.Context(), state.GetStatus{})
	require.NoError(t, err)
}

// Guards against a malformed entry in the log, and against an accepted
// configuration that VMs would refuse.
func TestMalformedCommandsNeverReachTheLog(t *testing.T) {
	g := newGroup("c1")
	for name, edit := range map[string]func(*state.ApplyConfig){
		"files":  func(c *state.ApplyConfig) { c.Files.Base = "[system]\n" },
		"seats":  func(c *state.ApplyConfig) { c.Seats++ },
		"format": func(c *state.ApplyConfig) { c.Comment = "\xff" },
	} {
		c := change(t, "c", 0)
		edit(&c)
		_, err := g.vms["entry"].client.Propose(t.Context(), c)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), name)
	}
	data, err := g.vms["c1"].handlers[KindPropose](t.Context(), "entry", []byte{0xff})
	require.NoError(t, err)
	_, _, err = decodeReply(data)
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	_, _, err = decodeReply([]byte{0xff})
	require.Equal(t, errs.KindUnknownOutcome, errs.KindOf(err))
	require.Zero(t, g.applied)
}

// Guards against a call that succeeds without a result because this VM has not discovered a control VM yet.
func TestCallWithoutControlVMsFails(t *testing.T) {
	m := &Module{self: "entry", peers: noPeers{}, logger: log.NewNopLogger(), scope: tally.NoopScope, wait: func(ctx context.Context, _ time.Duration) error { return ctx.Err() }}
	_, err := m.ReadEncoded(t.Context(), []byte("x"))
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err))
	_, err = m.ProposeEncoded(t.Context(), []byte("x"))
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
}

// noPeers is the transport of a VM that knows no other VM.
type noPeers struct{ kernel.PeerTransport }

func (noPeers) Peers() []kernel.PeerStatus { return nil }
