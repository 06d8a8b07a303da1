package controllog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// The states of a waiter.
const (
	waiting int32 = iota
	accepted
	cancelled
)

// waiter is a caller that waits for the control goroutine. If it stops waiting before the control goroutine accepts its
// request, the request is certainly not executed.
type waiter struct {
	state  atomic.Int32
	result chan waitResult
}

type waitResult struct {
	data []byte
	err  error
}

func newWaiter() *waiter { return &waiter{result: make(chan waitResult, 1)} }

// accept starts the request on the control goroutine. It returns false if the caller no longer waits.
func (w *waiter) accept() bool { return w.state.CompareAndSwap(waiting, accepted) }

func (w *waiter) finish(data []byte, err error) { w.result <- waitResult{data, err} }

type (
	proposeEvent struct {
		data   []byte
		waiter *waiter
	}
	readEvent struct {
		data   []byte
		waiter *waiter
	}
	proposal struct {
		term   uint64
		waiter *waiter
		// answer replaces the result of the state machine for a membership change.
		answer []byte
	}
	pendingRead struct {
		term   uint64
		data   []byte
		waiter *waiter
	}
)

// Propose implements kernel.ControlLog. Errors of the kinds not_leader, not_accepted, disk_full and too_large mean that
// the entry was not and will not be applied.
func (m *Module) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > m.options.maxProposal {
		return nil, errs.New(errs.KindTooLarge, "send less at once, or raise [control] max_proposal_bytes", "a proposal of %d bytes is above the limit of %d", len(data), m.options.maxProposal)
	}
	w := newWaiter()
	if err := m.control.PostWait(ctx, proposeEvent{data, w}); err != nil {
		return nil, errs.Wrap(err, errs.KindNotAccepted, "resend", "the proposal did not reach the control goroutine")
	}
	return m.wait(ctx, w, unknownOutcome)
}

func unknownOutcome(err error) error {
	return errs.Wrap(err, errs.KindUnknownOutcome, "query the result, or resend with the same id", "the proposal may still be applied")
}

// Read implements kernel.ControlLog.
func (m *Module) Read(ctx context.Context, data []byte) ([]byte, error) {
	w := newWaiter()
	if err := m.control.PostWait(ctx, readEvent{data, w}); err != nil {
		return nil, unconfirmedLeadership(err)
	}
	return m.wait(ctx, w, unconfirmedLeadership)
}

func unconfirmedLeadership(err error) error {
	return errs.Wrap(err, errs.KindUnavailable, "resend; if the error persists, check that a majority of the control VMs is connected", "leadership was not confirmed in time")
}

// wait waits until the control goroutine has finished a request. wrapGivenUp wraps the error of a wait that ends while
// the request is being executed.
func (m *Module) wait(ctx context.Context, w *waiter, wrapGivenUp func(error) error) ([]byte, error) {
	var cause error
	select {
	case r := <-w.result:
		return r.data, r.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-m.stopping:
		cause = context.Canceled
	}
	if w.state.CompareAndSwap(waiting, cancelled) {
		return nil, errs.Wrap(cause, errs.KindNotAccepted, "resend", "the control goroutine did not accept the request in time")
	}
	return nil, wrapGivenUp(cause)
}

func (m *Module) propose(now time.Time, ev proposeEvent) {
	if !ev.waiter.accept() {
		return
	}
	if m.node == nil {
		ev.waiter.finish(nil, m.notLeader())
		return
	}
	id, err := m.node.Propose(now, ev.data)
	if err != nil {
		ev.waiter.finish(nil, m.withLeader(err))
		return
	}
	m.metrics.proposals.Inc(1)
	m.proposals[id.Index] = proposal{term: id.Term, waiter: ev.waiter}
	m.flushLater()
}

func (m *Module) read(ev readEvent) {
	if !ev.waiter.accept() {
		return
	}
	if m.node == nil {
		ev.waiter.finish(nil, m.notLeader())
		return
	}
	m.lastRead++
	if err := m.node.Read(m.lastRead); err != nil {
		ev.waiter.finish(nil, m.withLeader(err))
		return
	}
	m.reads[m.lastRead] = pendingRead{m.node.Status().Term, ev.data, ev.waiter}
	m.flushLater()
}

// withLeader replaces an error of kind not_leader by one that names the leader, unless this VM transfers its leadership.
func (m *Module) withLeader(err error) error {
	if errs.KindOf(err) == errs.KindNotLeader && m.status.Load().Role != roleLeader {
		return m.notLeader()
	}
	return err
}

func (m *Module) notLeader() error {
	if s := m.status.Load(); s.Leader != "" && s.Leader != s.VM {
		return errs.New(errs.KindNotLeader, "send the request to "+string(s.Leader), "VM %s is not the leader of the control group", s.VM)
	}
	return errs.New(errs.KindNotLeader, "resend after a pause", "VM %s is not the leader of the control group and has no contact with a leader", m.identity.VM)
}

// finishProposal answers the caller whose proposal has the index of an applied entry. If the entry is the proposal
// of another leader, the caller's proposal can never be applied.
func (m *Module) finishProposal(e *consensus.Entry, result []byte) {
	p, ok := m.proposals[e.Index]
	if !ok {
		return
	}
	delete(m.proposals, e.Index)
	if p.term != e.Term {
		p.waiter.finish(nil, errs.New(errs.KindNotAccepted, "resend", "leadership changed before the proposal was committed"))
		return
	}
	if p.answer != nil {
		result = p.answer
	}
	p.waiter.finish(result, nil)
}

// skipProposals answers the callers whose proposals have an index that a snapshot skipped.
func (m *Module) skipProposals(index uint64) {
	for i, p := range m.proposals {
		if i <= index {
			delete(m.proposals, i)
			p.waiter.finish(nil, unknownOutcome(errs.New(errs.KindNotLeader, "send the request to the leader", "leadership changed and the log was replaced by a snapshot")))
		}
	}
}

func (m *Module) answerReads(reads []consensus.ReadState) {
	for _, read := range reads {
		if pending, ok := m.reads[read.ID]; ok {
			delete(m.reads, read.ID)
			pending.waiter.finish(m.machine.Query(pending.data), nil)
		}
	}
}

// dropReads fails the reads that were requested under a leadership that has ended.
func (m *Module) dropReads(term uint64, leading bool) {
	for id, r := range m.reads {
		if !leading || r.term != term {
			delete(m.reads, id)
			r.waiter.finish(nil, m.notLeader())
		}
	}
}
