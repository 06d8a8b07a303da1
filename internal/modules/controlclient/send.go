package controlclient

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// call is one command or read on its way to the leader.
type call struct {
	kind string
	data []byte
	// repeatable says that the call may be sent again when it may already have been handled.
	repeatable bool
	// local handles the call on this VM.
	local func(ctx context.Context, data []byte) ([]byte, error)
}

// verdict says what an error means for the next step.
type verdict int

const (
	// verdictNext says that the call was certainly not handled and another control VM may be asked.
	verdictNext verdict = iota
	// verdictRefused says that the call was certainly not applied, and that asking again is of no use.
	verdictRefused
	// verdictUnknown says that the call may have been applied.
	verdictUnknown
)

// judge tells what an error of a control VM, or of the transport to it, means.
func judge(err error) verdict {
	switch errs.KindOf(err) {
	case errs.KindNotLeader, errs.KindUnavailable:
		return verdictNext
	case errs.KindNotAccepted, errs.KindInvalid, errs.KindTooLarge, errs.KindOverload, errs.KindDiskFull:
		return verdictRefused
	}
	return verdictUnknown
}

// send asks control VMs until one answers as the leader. The error tells whether the call may have been applied.
func (m *Module) send(ctx context.Context, c call) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	var last error
	wait := firstWait
	for range maxRounds {
		payload, err := m.round(ctx, c)
		if err == nil {
			return payload, nil
		}
		if v := judge(err); v == verdictRefused || v == verdictUnknown && !c.repeatable {
			return nil, final(err, v)
		}
		last = err
		if m.wait(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, maxWait)
	}
	m.scope.Counter("not_reached").Inc(1)
	kind := errs.KindNotAccepted
	if c.repeatable {
		kind = errs.KindUnavailable
	}
	return nil, errs.Wrap(last, kind, "try again once a majority of the control VMs can reach each other",
		"no leader of the control group was reached")
}

// final turns the error of a control VM into that of the whole call.
func final(err error, v verdict) error {
	if v == verdictUnknown {
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

// round asks each control VM at most once, those that others name as the leader first.
func (m *Module) round(ctx context.Context, c call) ([]byte, error) {
	tried := map[model.VMName]bool{}
	next := m.hint()
	var last error
	controls := m.controls()
	for range controls {
		vm, ok := m.choose(controls, next, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[vm] = true
		payload, leader, err := m.try(ctx, vm, c)
		if err == nil {
			m.setLeader(vm)
			return payload, nil
		}
		if judge(err) == verdictRefused || judge(err) == verdictUnknown && !c.repeatable {
			return nil, err
		}
		last, next = err, leader
	}
	if last == nil {
		last = errs.Wrap(context.Cause(ctx), errs.KindUnavailable, "allow more time", "the time for the call had passed")
	}
	// Nobody led in this round, so the VM that led before has no claim to be asked first.
	m.leader.Store(nil)
	return nil, last
}

// hint returns the VM that is believed to lead.
func (m *Module) hint() model.VMName {
	if m.log != nil {
		return m.log.Status().Leader
	}
	if p := m.leader.Load(); p != nil {
		return *p
	}
	return ""
}

// choose returns the preferred control VM, or else the next one in order that was not asked yet. The order
// starts at this VM's own name, so that VMs without a hint spread over the control VMs.
func (m *Module) choose(controls []model.VMName, preferred model.VMName, tried map[model.VMName]bool) (model.VMName, bool) {
	start := 0
	for i, vm := range controls {
		if vm == preferred && !tried[vm] {
			return vm, true
		}
		if vm <= m.self {
			start = i
		}
	}
	for i := range controls {
		if vm := controls[(start+i)%len(controls)]; !tried[vm] {
			return vm, true
		}
	}
	return "", false
}

// try asks one control VM. On not_leader it returns the VM that leads instead, if that is known.
func (m *Module) try(ctx context.Context, vm model.VMName, c call) (payload []byte, leader model.VMName, err error) {
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
		_ = level.Debug(m.logger).Log("msg", "leader found", "leader", vm)
	}
}
