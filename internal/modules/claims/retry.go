package claims

import (
	"context"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// queueLength bounds the records that wait for control.
	queueLength = 4096
	// tryTimeout bounds one try of a queued record.
	tryTimeout = 5 * time.Second
	// firstPause and maxPause bound the wait after a failed try, which doubles each time.
	firstPause = 100 * time.Millisecond
	maxPause   = 5 * time.Second
	// giveUpAfter is how long a record is tried. Callers have given up on the order long before.
	giveUpAfter = time.Hour
)

// pending is a record that control has not taken yet. Both kinds of records may be sent twice without harm.
type pending struct {
	command kernel.Command
	order   model.OrderID
	since   time.Time
}

func (p pending) bytes() int {
	if c, ok := p.command.(state.FinishClaim); ok {
		return len(c.Result)
	}
	return 0
}

// record sends a record, and queues it when control cannot be reached.
func (m *Module) record(ctx context.Context, order model.OrderID, command kernel.Command) error {
	p := pending{command: command, order: order, since: m.now()}
	err := m.try(ctx, p)
	if err == nil || !repeatable(err) {
		return err
	}
	if !m.enqueue(p) {
		return errs.Wrap(err, errs.KindOverload, "ask the target what became of the order", "too many records wait for control")
	}
	return errs.Wrap(err, errs.KindUnavailable, "nothing; the record is sent again in the background", "the record of an order waits for control")
}

// try sends a record once.
func (m *Module) try(ctx context.Context, p pending) error {
	update, err := propose[state.ClaimUpdate](ctx, m.client, p.command)
	if err != nil {
		return err
	}
	if !update.Applied {
		return errs.New(errs.KindConflict, "ask for the order by its key", "the claim on order %s is not held by this attempt any more", p.order.Key)
	}
	return nil
}

// repeatable reports whether a later try may succeed.
func repeatable(err error) bool {
	switch errs.KindOf(err) {
	case errs.KindConflict, errs.KindInvalid, errs.KindTooLarge:
		return false
	}
	return true
}

func (m *Module) enqueue(p pending) bool {
	if m.open.add(p.order, p.bytes()) {
		select {
		case m.queue <- p:
			m.scope.Counter("queued").Inc(1)
			return true
		default:
			m.open.remove(p.order, p.bytes())
		}
	}
	m.scope.Counter("lost").Inc(1)
	m.warn("record of an order is lost because the queue is full", p, nil)
	return false
}

// work sends queued records one after the other. While control cannot be reached the first one is tried with
// growing pauses; the others would fail in the same way.
func (m *Module) work(ctx context.Context) {
	defer close(m.done)
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.queue:
			m.persist(ctx, p)
			m.open.remove(p.order, p.bytes())
		}
	}
}

func (m *Module) persist(ctx context.Context, p pending) {
	pause := firstPause
	for {
		limited, cancel := context.WithTimeout(ctx, tryTimeout)
		err := m.try(limited, p)
		cancel()
		if err == nil {
			return
		}
		if !repeatable(err) || m.now().Sub(p.since) > giveUpAfter {
			m.scope.Counter("lost").Inc(1)
			m.warn("record of an order is given up", p, err)
			return
		}
		if m.wait(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, maxPause)
	}
}
