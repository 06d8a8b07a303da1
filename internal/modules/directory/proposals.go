package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/directory"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	proposeTimeout = 5 * time.Second
	// minProposeBackoff and maxProposeBackoff limit the wait between two proposals of one layout, before jitter.
	minProposeBackoff = 200 * time.Millisecond
	maxProposeBackoff = 30 * time.Second
	// layoutUseInterval is the longest time between two reports of the layouts in use.
	layoutUseInterval = state.LayoutUseInterval
)

type proposalKey struct {
	service model.ServiceName
	number  model.LayoutNumber
}

type proposalState struct {
	backoff time.Duration
}

type proposeEvent struct{ key proposalKey }

type layoutUseEvent struct{}

type proposeResultEvent struct {
	key proposalKey
	err error
}

// proposeNewLayout starts to propose a layout that is announced for the first time.
func (m *Module) proposeNewLayout(a *model.Announcement, r directory.ReplicatedState) {
	p := m.leases.Propose(a, r)
	if p == nil {
		return
	}
	k := proposalKey{a.Service, a.Layout.Number}
	_ = level.Info(m.logger).Log("msg", "target announced a new layout; proposing the layout to the control group", "service", k.service, "layout", k.number, "digest", p.Digest, "shards", len(p.Layout.Shards), "target", p.From)
	m.proposals[k] = &proposalState{backoff: minProposeBackoff}
	m.propose(k)
}

// propose proposes a layout to the control group on its own goroutine, unless the layout is committed or no target
// uses it.
func (m *Module) propose(k proposalKey) {
	p := m.leases.Proposal(k.service, k.number)
	if p == nil || m.proposals[k] == nil {
		return
	}
	if committed := m.replicated().Layouts[k.service][k.number]; committed != nil {
		m.dropProposal(k, "layout committed")
		return
	}
	if !m.leases.ProposalNeeded(p) {
		m.dropProposal(k, "layout proposal dropped because no target uses the layout any more")
		return
	}
	if m.proposer == nil {
		m.retryProposal(k)
		return
	}
	layout, runCtx := p.Layout, m.runCtx
	go func() {
		ctx, cancel := context.WithTimeout(runCtx, proposeTimeout)
		defer cancel()
		err := m.proposer.ProposeLayout(ctx, layout)
		_ = m.control.PostWait(runCtx, proposeResultEvent{key: k, err: err}) // It fails only when the process ends.
	}()
}

// handleProposeResult handles the result of a proposal. It proposes the layout again until the view contains it, since
// the state with an accepted layout may still be in transit to this VM.
func (m *Module) handleProposeResult(ev proposeResultEvent) {
	if m.proposals[ev.key] == nil {
		return
	}
	if ev.err != nil && errs.KindOf(ev.err) == errs.KindConflict {
		_ = level.Error(m.logger).Log("msg", "the control group refused the layout", "service", ev.key.service, "layout", ev.key.number, "err", ev.err)
		m.dropProposal(ev.key, "layout proposal dropped because the control group can never commit it")
		return
	}
	if ev.err != nil {
		_ = level.Warn(m.logger).Log("msg", "layout could not be proposed to the control group; trying again", "service", ev.key.service, "layout", ev.key.number, "err", ev.err)
	}
	m.retryProposal(ev.key)
}

func (m *Module) retryProposal(k proposalKey) {
	s := m.proposals[k]
	m.control.After(jitter(m.random, s.backoff), proposeEvent{k})
	s.backoff = min(2*s.backoff, maxProposeBackoff)
}

func (m *Module) dropProposal(k proposalKey, msg string) {
	m.leases.DropProposal(k.service, k.number)
	delete(m.proposals, k)
	_ = level.Info(m.logger).Log("msg", msg, "service", k.service, "layout", k.number)
}

// reportLayoutUse reports to the control group which layouts the targets still use. For each service, only one VM of
// each availability zone sends this report; otherwise the log would grow with the number of VMs.
func (m *Module) reportLayoutUse() {
	m.control.After(jitter(m.random, layoutUseInterval), layoutUseEvent{})
	if m.proposer == nil {
		return
	}
	committed := m.replicated().Layouts
	var keys []state.LayoutKey
	for _, ref := range m.leases.LayoutsInUse() {
		k := state.LayoutKey{Service: ref.Service, Number: ref.Number}
		if committed[k.Service][k.Number] != nil && m.exchange.isLayoutReporter(k.Service) {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	runCtx := m.runCtx
	go func() {
		ctx, cancel := context.WithTimeout(runCtx, proposeTimeout)
		defer cancel()
		if err := m.proposer.ReportLayoutUse(ctx, keys); err != nil {
			_ = level.Warn(m.logger).Log("msg", "layouts in use could not be reported to the control group", "layouts", len(keys), "err", err)
		}
	}()
}

// jitter returns a random duration from half of d to d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
