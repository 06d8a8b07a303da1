package controlclient

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// call is one command or read to send to the leader.
type call struct {
	kind string
	data []byte
	// idempotent reports whether the call may be sent again although it may already have been executed.
	idempotent bool
	// local executes the call on this VM.
	local func(ctx context.Context, data []byte) ([]byte, error)
}

// outcome is the meaning of an error for the call.
type outcome int

const (
	// outcomeNotHandled means that the call was certainly not executed and may be sent to another control VM.
	outcomeNotHandled outcome = iota
	// outcomeRefused means that the call was certainly not applied, and that sending it again is useless.
	outcomeRefused
	// outcomeUnknown means that the call may have been applied.
	outcomeUnknown
)

// classify returns the outcome for an error of a control VM, or of the transport to it.
func classify(err error) outcome {
	switch errs.KindOf(err) {
	case errs.KindNotLeader, errs.KindUnavailable:
		return outcomeNotHandled
	case errs.KindNotAccepted, errs.KindInvalid, errs.KindTooLarge, errs.KindOverload, errs.KindDiskFull:
		return outcomeRefused
	}
	return outcomeUnknown
}

// send sends a call to control VMs until one answers as the leader. The kind of the error shows whether the call may
// have been applied.
func (m *Module) send(ctx context.Context, c call) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	var last error
	wait := minRoundWait
	for range maxRounds {
		payload, err := m.callRound(ctx, c)
		if err == nil {
			return payload, nil
		}
		if o := classify(err); o == outcomeRefused || o == outcomeUnknown && !c.idempotent {
			return nil, callError(err, o)
		}
		last = err
		if m.wait(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, maxRoundWait)
	}
	m.scope.Counter("not_reached").Inc(1)
	kind := errs.KindNotAccepted
	if c.idempotent {
		kind = errs.KindUnavailable
	}
	return nil, errs.Wrap(last, kind, "try again once a majority of the control VMs can reach each other",
		"no leader of the control group was reached")
}

// callError converts the error of a control VM to the error of the whole call.
func callError(err error, o outcome) error {
	if o == outcomeUnknown {
		if errs.KindOf(err) == errs.KindUnknownOutcome {
			return err
		}
		return errs.Wrap(err, errs.KindUnknownOutcome, "read the state before the command is sent again", "the command may have been applied")
	}
	switch errs.KindOf(err) {
	case errs.KindOverload, errs.KindDiskFull:
		return errs.Wrap(err, errs.KindNotAccepted, errs.RemedyOf(err), "the control group did not accept the command")
	}
	return err
}

// callRound sends a call to each control VM at most once, and first to those that others name as the leader.
func (m *Module) callRound(ctx context.Context, c call) ([]byte, error) {
	tried := map[model.VMName]bool{}
	next := m.expectedLeader()
	var last error
	controlVMs := m.controlVMs()
	for range controlVMs {
		vm, ok := m.nextVM(controlVMs, next, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[vm] = true
		payload, leader, err := m.callVM(ctx, vm, c)
		if err == nil {
			m.setLeader(vm)
			return payload, nil
		}
		if classify(err) == outcomeRefused || classify(err) == outcomeUnknown && !c.idempotent {
			return nil, err
		}
		last, next = err, leader
	}
	if len(controlVMs) == 0 {
		last = errs.New(errs.KindUnavailable, "check the seeds or peers in the settings", "no control VM is known yet")
	}
	if last == nil {
		last = errs.Wrap(context.Cause(ctx), errs.KindUnavailable, "use a longer timeout", "the call ended before a control VM was called")
	}
	// No VM answered as the leader in this round, so the previous leader is not called first in the next one.
	m.leader.Store(nil)
	return nil, last
}

// expectedLeader returns the VM that is probably the leader, or an empty name.
func (m *Module) expectedLeader() model.VMName {
	if m.log != nil {
		return m.log.Status().Leader
	}
	if p := m.leader.Load(); p != nil {
		return *p
	}
	return ""
}

// nextVM returns the preferred control VM, or otherwise the next one in order that was not called yet. The order starts
// at this VM's own name, so that the calls of VMs without an expected leader are spread over the control VMs.
func (m *Module) nextVM(controlVMs []model.VMName, preferred model.VMName, tried map[model.VMName]bool) (model.VMName, bool) {
	start := 0
	for i, vm := range controlVMs {
		if vm == preferred && !tried[vm] {
			return vm, true
		}
		if vm <= m.self {
			start = i
		}
	}
	for i := range controlVMs {
		if vm := controlVMs[(start+i)%len(controlVMs)]; !tried[vm] {
			return vm, true
		}
	}
	return "", false
}

// callVM sends a call to one control VM. On an error of kind not_leader it returns the leader if that VM has one.
func (m *Module) callVM(ctx context.Context, vm model.VMName, c call) (payload []byte, leader model.VMName, err error) {
	if vm == m.self {
		payload, err = c.local(ctx, c.data)
		return payload, m.log.Status().Leader, err
	}
	data, err := m.peers.Call(ctx, vm, kernel.PeerMessage{Kind: c.kind, Payload: c.data})
	if err != nil {
		return nil, "", err
	}
	return decodeReply(data)
}

func (m *Module) setLeader(vm model.VMName) {
	if old := m.leader.Swap(&vm); old == nil || *old != vm {
		_ = level.Debug(m.logger).Log("msg", "leader of the control group found", "leader", vm)
	}
}
