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
	// proposeBackoffFirst and proposeBackoffLast bound the jittered wait between two offers of one layout.
	proposeBackoffFirst = 200 * time.Millisecond
	proposeBackoffLast  = 30 * time.Second
	// layoutUseInterval is the longest wait between two reports of the layouts in use.
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

type proposedEvent struct {
	key proposalKey
	err error
}

// offerLayout starts to offer a layout that is announced for the first time.
func (m *Module) offerLayout(a *model.Announcement, r directory.Replicated) {
	p := m.leases.Propose(a, r)
	if p == nil {
		return
	}
	k := proposalKey{a.Service, a.Layout.Number}
	_ = level.Info(m.log).Log("msg", "layout announced", "service", k.service, "layout", k.number, "digest", p.Digest, "shards", len(p.Layout.Shards), "target", p.From)
	m.proposed[k] = &proposalState{backoff: proposeBackoffFirst}
	m.propose(k)
}

// propose offers a layout to control on its own goroutine, unless it is settled or no target refers to it.
func (m *Module) propose(k proposalKey) {
	p := m.leases.Proposal(k.service, k.number)
	if p == nil || m.proposed[k] == nil {
		return
	}
	if settled := m.replicated().Layouts[k.service][k.number]; settled != nil {
		m.dropProposal(k, "layout settled")
		return
	}
	if !m.leases.ProposalNeeded(p) {
		m.dropProposal(k, "layout dropped because no target has it")
		return
	}
	if m.proposer == nil {
		m.retryProposal(k)
		return
	}
	layout, run := p.Layout, m.run
	go func() {
		ctx, cancel := context.WithTimeout(run, proposeTimeout)
		defer cancel()
		err := m.proposer.ProposeLayout(ctx, layout)
		_ = m.control.PostWait(run, proposedEvent{key: k, err: err}) // It fails only once the process ends.
	}()
}

// proposeDone repeats an offer until the layout is in the view: an offer that was accepted may still be on its
// way back here.
func (m *Module) proposeDone(ev proposedEvent) {
	if m.proposed[ev.key] == nil {
		return
	}
	if ev.err != nil && errs.KindOf(ev.err) == errs.KindConflict {
		_ = level.Error(m.log).Log("msg", "layout refused by control", "service", ev.key.service, "layout", ev.key.number, "err", ev.err)
		m.dropProposal(ev.key, "layout dropped because another one is settled")
		return
	}
	if ev.err != nil {
		_ = level.Warn(m.log).Log("msg", "layout not offered", "service", ev.key.service, "layout", ev.key.number, "err", ev.err)
	}
	m.retryProposal(ev.key)
}

func (m *Module) retryProposal(k proposalKey) {
	s := m.proposed[k]
	m.control.After(jitter(m.random, s.backoff), proposeEvent{k})
	s.backoff = min(2*s.backoff, proposeBackoffLast)
}

func (m *Module) dropProposal(k proposalKey, msg string) {
	m.leases.DropProposal(k.service, k.number)
	delete(m.proposed, k)
	_ = level.Info(m.log).Log("msg", msg, "service", k.service, "layout", k.number)
}

// reportLayouts tells control which layouts targets still hold. One VM of each availability zone does so for each
// service, so that the log does not grow with the number of VMs.
func (m *Module) reportLayouts() {
	m.control.After(jitter(m.random, layoutUseInterval), layoutUseEvent{})
	if m.proposer == nil {
		return
	}
	settled := m.replicated().Layouts
	var keys []state.LayoutKey
	for _, ref := range m.leases.LayoutsInUse() {
		k := state.LayoutKey{Service: ref.Service, Number: ref.Number}
		if settled[k.Service][k.Number] != nil && m.exchange.reports(k.Service) {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	run := m.run
	go func() {
		ctx, cancel := context.WithTimeout(run, proposeTimeout)
		defer cancel()
		if err := m.proposer.UseLayouts(ctx, keys); err != nil {
			_ = level.Warn(m.log).Log("msg", "use of layouts not reported", "layouts", len(keys), "err", err)
		}
	}()
}

// jitter returns a random duration from half of d to d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
