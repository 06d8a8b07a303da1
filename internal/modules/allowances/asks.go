package allowances

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// maxMessages is the number of messages to one owner that may be unanswered. Further asks wait and share the next message.
	maxMessages = 8
	// maxOutgoing limits the asks that wait for one owner. Further ones are decided locally.
	maxOutgoing = 1024
	// maxOwners is how many owners a VM asks before it decides by itself.
	maxOwners = 2
)

// pendingAsk is an ask of this VM that no owner has answered yet.
type pendingAsk struct {
	ask    allowance.Ask
	owner  model.VMName
	result chan askResult
	// abandoned reports that nobody waits for the result. It is guarded by the lock of the module.
	abandoned bool
}

type askResult struct {
	answer   allowance.Answer
	answered bool
}

// outgoing holds the asks for one owner.
type outgoing struct {
	queue    []*pendingAsk
	messages int
}

// Take implements kernel.Allowances.
func (m *Module) Take(ctx context.Context, key allowance.Key, limit allowance.Limit, n int) allowance.Answer {
	return m.TakeAll(ctx, []allowance.Ask{{Key: key, Limit: limit, N: n}})[0]
}

// TakeAll implements kernel.AllowanceBatches. Asks for the same owner share a message.
func (m *Module) TakeAll(ctx context.Context, asks []allowance.Ask) []allowance.Answer {
	asks, answers := slices.Clone(asks), make([]allowance.Answer, len(asks))
	for i, a := range asks {
		asks[i].Key, asks[i].Limit = encodable(a.Key, a.Limit)
	}
	pending, decidedHere := make([]*pendingAsk, len(asks)), make([]bool, len(asks))
	now := m.now()
	m.mu.Lock()
	for i, a := range asks {
		var decided bool
		if answers[i], decided = m.asker.Take(now, a.Key, a.Limit, a.N); !decided {
			pending[i] = m.enqueue(now, a)
		} else {
			decidedHere[i] = true
		}
	}
	m.mu.Unlock()
	ownerCtx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	var waits sync.WaitGroup
	for i := range asks {
		switch {
		case decidedHere[i]:
		case len(asks) == 1:
			answers[i] = m.awaitAnswer(ctx, ownerCtx, asks[i], pending[i])
		default: // Asks that fail at the same time are sent to another owner at the same time.
			waits.Go(func() { answers[i] = m.awaitAnswer(ctx, ownerCtx, asks[i], pending[i]) })
		}
	}
	waits.Wait()
	for _, a := range answers {
		m.count(a)
	}
	return answers
}

// awaitAnswer waits for the answer to an ask, which p holds if it has been passed to an owner.
func (m *Module) awaitAnswer(ctx, ownerCtx context.Context, a allowance.Ask, p *pendingAsk) allowance.Answer {
	if p == nil {
		p = m.awaitOwner(ctx, ownerCtx, a)
	}
	if p == nil {
		return m.localAnswer(a)
	}
	return m.await(ctx, a, p)
}

func (m *Module) count(a allowance.Answer) {
	if a.Granted {
		m.metrics.granted.Inc(1)
	} else {
		m.metrics.denied.Inc(1)
	}
	if a.Local {
		m.metrics.local.Inc(1)
	}
}

const (
	// ownerWait is how long asks wait for a connection to an owner, which takes some round trips after a start of this VM.
	// It is shorter than requests wait for their quota, so that time is left for the answer.
	ownerWait = 40 * time.Millisecond
	// ownerWaitPause is how long asks do not wait after no owner was connected in time.
	ownerWaitPause = time.Second
)

// awaitOwner passes an ask to its owner as soon as one is connected. It returns nil if none is before ownerCtx ends, which is a part of ctx.
func (m *Module) awaitOwner(ctx, ownerCtx context.Context, a allowance.Ask) *pendingAsk {
	for {
		m.mu.Lock()
		now, changed := m.now(), m.ownersChanged
		p := m.enqueue(now, a)
		ended := ownerCtx.Err() != nil
		if p == nil && ended && ctx.Err() == nil { // A request that has ended before says nothing about the owners.
			m.noOwnerUntil = now.Add(ownerWaitPause)
		}
		waits := p == nil && !ended && !now.Before(m.noOwnerUntil)
		m.mu.Unlock()
		if !waits {
			return p
		}
		select {
		case <-changed:
		case <-ownerCtx.Done():
		}
	}
}

func (m *Module) localAnswer(a allowance.Ask) allowance.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.local(m.now(), a)
}

// local decides without an owner. It is called with the lock held.
func (m *Module) local(now time.Time, a allowance.Ask) allowance.Answer {
	m.logSometimes(now, "no owner of an allowance answers; this VM uses its own part", "zone", m.zone, "owners", len(m.owners[m.zone]))
	return m.asker.Local(now, a.Key, a.Limit, a.N, max(m.entryVMs, 1))
}

// enqueue passes an ask to its owner, and returns nil if there is none. It is called with the lock held.
func (m *Module) enqueue(now time.Time, a allowance.Ask) *pendingAsk {
	owner, ok := m.asker.OwnerOf(now, a.Key, m.owners[m.zone], func(vm model.VMName) bool { return vm == m.self || m.connected[vm] })
	if !ok {
		return nil
	}
	p := &pendingAsk{ask: a, owner: owner, result: make(chan askResult, 1)}
	if owner == m.self {
		go func() {
			answers := m.decide(m.runCtx, []allowance.Ask{a})
			m.deliver(p, askResult{answers[0], true})
		}()
		return p
	}
	o := m.outgoing[owner]
	if o == nil {
		o = &outgoing{}
		m.outgoing[owner] = o
	}
	if len(o.queue) >= maxOutgoing {
		m.logSometimes(now, "too many asks wait for an owner", "owner", owner, "asks", len(o.queue))
		return nil
	}
	if o.queue = append(o.queue, p); o.messages < maxMessages {
		o.messages++
		go m.send(owner, o)
	}
	return p
}

// send sends the queued asks of an owner until none is left. It leaves out those that nobody waits for any more, so that an owner that is
// slow is not asked for units that are not used.
func (m *Module) send(owner model.VMName, o *outgoing) {
	for {
		m.mu.Lock()
		n := min(len(o.queue), maxAsks)
		batch := o.queue[:n:n]
		if o.queue = o.queue[n:]; n == 0 {
			o.queue, o.messages = nil, o.messages-1
			if o.messages == 0 {
				delete(m.outgoing, owner)
			}
			m.mu.Unlock()
			return
		}
		batch = slices.DeleteFunc(batch, func(p *pendingAsk) bool { return p.abandoned })
		m.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		answers, err := m.call(owner, batch)
		if err != nil {
			m.ownerFailed(owner, err)
		}
		for i, p := range batch {
			if err != nil {
				m.deliver(p, askResult{})
			} else {
				m.deliver(p, askResult{answers[i], true})
			}
		}
	}
}

func (m *Module) call(owner model.VMName, batch []*pendingAsk) ([]allowance.Answer, error) {
	asks := make([]allowance.Ask, 0, len(batch))
	for _, p := range batch {
		asks = append(asks, p.ask)
	}
	data, err := encodeAsks(asks, nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(m.runCtx, allowance.AskTimeout)
	defer cancel()
	if data, err = m.peers.Call(ctx, owner, kernel.PeerMessage{Kind: kindAsk, Payload: data}); err != nil {
		return nil, err
	}
	return decodeAnswers(data, len(batch))
}

func (m *Module) ownerFailed(owner model.VMName, err error) {
	m.metrics.timeouts.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asker.TimedOut(m.now(), owner)
	m.logSometimes(m.now(), "owner of allowances does not answer; others are asked for a while", "owner", owner, "err", err)
}

// deliver passes on the result of an ask. Units for which nobody waits any more are kept for the next request.
func (m *Module) deliver(p *pendingAsk, r askResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if r.answered {
		r.answer.Owner = p.owner
		m.asker.Answered(now, p.ask.Key, p.ask.Limit, r.answer)
		if p.abandoned && r.answer.Granted {
			m.asker.Return(now, p.ask.Key, p.ask.N)
		}
	}
	p.result <- r
}

// await waits for the answer of an owner, then asks another one, and then decides locally.
func (m *Module) await(ctx context.Context, a allowance.Ask, p *pendingAsk) allowance.Answer {
	timer := time.NewTimer(allowance.AskTimeout + allowance.BorrowWait)
	defer timer.Stop()
	for asked := 1; ; asked++ {
		done := false
		select {
		case r := <-p.result:
			if r.answered {
				return r.answer
			}
		case <-timer.C:
		case <-ctx.Done():
			done = true
		}
		now := m.now()
		m.mu.Lock()
		select {
		case r := <-p.result:
			if r.answered { // The answer arrived at the same time.
				m.mu.Unlock()
				return r.answer
			}
		default:
			p.abandoned = true
		}
		if done || asked == maxOwners {
			answer := m.local(now, a)
			m.mu.Unlock()
			return answer
		}
		if p = m.enqueue(now, a); p == nil {
			answer := m.local(now, a)
			m.mu.Unlock()
			return answer
		}
		m.mu.Unlock()
		timer.Reset(allowance.AskTimeout + allowance.BorrowWait)
	}
}

// Known implements kernel.AllowanceObserver.
func (m *Module) Known(key allowance.Key, limit allowance.Limit) allowance.Known {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	known := m.asker.Known(now, key, limit)
	known.Owner, _ = m.asker.OwnerOf(now, key, m.owners[m.zone], func(vm model.VMName) bool { return vm == m.self || m.connected[vm] })
	if known.Credit != allowance.CreditUnknown || known.Owner != m.self {
		return known
	}
	// With less than a unit left, this VM would try to borrow from the owners of other zones.
	if tokens, ok := m.owner.Tokens(now, key); ok && tokens >= 1 {
		known.Credit, known.Units = allowance.CreditAvailable, tokens
	}
	return known
}

// Return implements kernel.Allowances.
func (m *Module) Return(key allowance.Key, n int) {
	key, _ = encodable(key, allowance.Limit{})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asker.Return(m.now(), key, n)
}

// refund finds the owner that units go back to. Units without one are lost. It is called with the lock held.
func (m *Module) refund(now time.Time, r allowance.Refund, to map[model.VMName][]allowance.Refund) {
	owner, ok := m.asker.OwnerOf(now, r.Key, m.owners[m.zone], func(vm model.VMName) bool { return vm == m.self || m.connected[vm] })
	switch {
	case !ok:
	case owner == m.self:
		m.owner.Return(now, r.Key, r.N)
	case len(to[owner]) < maxAsks:
		to[owner] = append(to[owner], r)
	}
}

func (m *Module) sendRefunds(owner model.VMName, list []allowance.Refund) {
	if data, err := encodeAsks(nil, list); err == nil {
		m.peers.Send(owner, kernel.PeerMessage{Kind: kindAsk, Payload: data}) // Units of a message that is dropped are lost.
	}
}
