package allowances

import (
	"context"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// maxBorrowing limits the requests to other zones that are under way.
const maxBorrowing = 64

// batch holds the answers to asks that arrived together.
type batch struct {
	answers []allowance.Answer
	left    int
	done    chan struct{}
}

// slot is the place of an ask in its batch.
type slot struct {
	batch *batch
	index int
}

func (m *Module) handleAsk(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	asks, returns, err := decodeAsks(payload)
	if err != nil {
		return nil, err
	}
	if len(returns) > 0 {
		m.mu.Lock()
		for _, r := range returns {
			m.owner.Return(m.now(), r.Key, r.N)
		}
		m.mu.Unlock()
	}
	if len(asks) > 0 && m.runCtx.Err() != nil {
		return nil, errStopping
	}
	return encodeAnswers(m.decide(ctx, asks))
}

// errStopping makes other VMs ask the next owner. This one can no longer borrow units, and would deny asks below the limit.
var errStopping = errs.New(errs.KindShutdown, "no action is needed; the next owner is asked", "this VM is stopping and no longer keeps allowances")

// decide answers asks as the owner. It waits for units of other zones for allowance.BorrowWait at most.
func (m *Module) decide(ctx context.Context, asks []allowance.Ask) []allowance.Answer {
	b := &batch{answers: make([]allowance.Answer, len(asks)), left: len(asks), done: make(chan struct{})}
	if len(asks) == 0 {
		return nil
	}
	now := m.now()
	m.mu.Lock()
	first := m.nextID
	m.nextID += uint64(len(asks))
	var out allowance.Effects
	for i, a := range asks {
		a.ID = first + uint64(i)
		m.slots[a.ID] = slot{b, i}
		m.owner.Ask(now, a, m.standsIn(a.Key), &out)
	}
	m.apply(now, &out)
	m.mu.Unlock()
	timer := time.NewTimer(allowance.BorrowWait)
	defer timer.Stop()
	select {
	case <-b.done:
		return b.answers
	case <-timer.C:
	case <-ctx.Done():
		// The caller has disconnected.
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out = allowance.Effects{}
	m.owner.Tick(m.now(), &out)
	m.apply(m.now(), &out)
	for i, a := range asks {
		if id := first + uint64(i); m.slots[id].batch != nil { // What is still open counts as denied.
			m.owner.Withdraw(a.Key, id)
			delete(m.slots, id)
		}
	}
	return b.answers
}

// standsIn reports whether an earlier owner of the key in this zone is connected, or this VM is not an owner at all: VMs that still have an
// older list ask it then, and others already ask the new owner. It is called with the lock held.
func (m *Module) standsIn(key allowance.Key) bool {
	for _, vm := range allowance.Order(key, m.owners[m.zone]) {
		if vm == m.self {
			return false
		}
		if m.connected[vm] {
			return true
		}
	}
	return true
}

// apply delivers answers and sends the requests to other zones. It is called with the lock held.
func (m *Module) apply(now time.Time, out *allowance.Effects) {
	messages := map[model.VMName][]allowance.Borrow{}
	for i := 0; i < len(out.Borrows); i++ {
		b := out.Borrows[i]
		switch lender := m.lender(b); {
		case lender == "":
			m.logSometimes(now, "no owner of another zone is connected to borrow from", "zone", b.Zone)
			m.owner.Lent(now, b, 0, false, out)
		case m.borrowing+len(messages) >= maxBorrowing || len(messages[lender]) >= maxAsks:
			m.owner.Lent(now, b, 0, true, out)
		default:
			messages[lender] = append(messages[lender], b)
		}
	}
	for lender, list := range messages {
		m.borrowing++
		go m.borrow(lender, list)
	}
	for _, r := range out.Replies {
		s, ok := m.slots[r.ID]
		if !ok {
			continue
		}
		delete(m.slots, r.ID)
		s.batch.answers[s.index] = r.Answer
		if s.batch.left--; s.batch.left == 0 {
			close(s.batch.done)
		}
	}
}

// lender returns the first connected owner of a key in another zone, or an earlier owner in this one.
func (m *Module) lender(b allowance.Borrow) model.VMName {
	for _, vm := range allowance.Order(b.Key, m.owners[b.Zone]) {
		if vm == m.self {
			return ""
		}
		if m.connected[vm] {
			return vm
		}
	}
	return ""
}

// borrow requests units from an owner of another zone. Units in an answer that arrives too late are lost.
func (m *Module) borrow(lender model.VMName, list []allowance.Borrow) {
	units, err := m.callLender(lender, list)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.borrowing--
	now := m.now()
	if err != nil {
		m.logSometimes(now, "owner of another zone does not lend units; it is not asked for a while", "zone", list[0].Zone, "owner", lender, "err", err)
		units = make([]float64, len(list))
	}
	var out allowance.Effects
	for i, b := range list {
		m.owner.Lent(now, b, units[i], err == nil, &out)
	}
	m.apply(now, &out)
}

func (m *Module) callLender(lender model.VMName, list []allowance.Borrow) ([]float64, error) {
	data, err := encodeBorrows(list)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(m.runCtx, allowance.BorrowWait)
	defer cancel()
	if data, err = m.peers.Call(ctx, lender, kernel.PeerMessage{Kind: kindBorrow, Payload: data}); err != nil {
		return nil, err
	}
	return decodeUnits(data, len(list))
}

func (m *Module) handleBorrow(_ context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	list, err := decodeBorrows(payload)
	if err != nil {
		return nil, err
	}
	if m.runCtx.Err() != nil {
		return nil, errStopping
	}
	now := m.now()
	units := make([]float64, 0, len(list))
	m.mu.Lock()
	for _, b := range list {
		units = append(units, m.owner.Lend(now, b.Key, b.Limit, b.Units, m.standsIn(b.Key)))
	}
	m.mu.Unlock()
	return encodeUnits(units)
}
