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
	// queueLength limits the queued records. Beyond it, sendOrQueue returns an error of kind overload.
	queueLength = 4096
	// sendTimeout limits one attempt to send a queued record.
	sendTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed attempt, which doubles each time.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxRecordAge is how long a record is retried. Callers have given up on the order long before.
	maxRecordAge = time.Hour
)

// record is the result of an order or the release of its claim, for the control group. Both may be sent twice without
// harm.
type record struct {
	command   kernel.Command
	order     model.OrderID
	createdAt time.Time
}

func (r record) bytes() int {
	if c, ok := r.command.(state.FinishClaim); ok {
		return len(c.Result)
	}
	return 0
}

// sendOrQueue sends a record, and queues it when the control group cannot be reached.
func (m *Module) sendOrQueue(ctx context.Context, order model.OrderID, command kernel.Command) error {
	r := record{command: command, order: order, createdAt: m.now()}
	err := m.send(ctx, r)
	if err == nil || !retryable(err) {
		return err
	}
	if !m.enqueue(r) {
		return errs.Wrap(err, errs.KindOverload, "query the target for the outcome of the order", "too many results and releases of orders are queued for the control group")
	}
	return errs.Wrap(err, errs.KindUnavailable, "no action is needed; it is sent again in the background", "the result or release of an order is queued until the control group can be reached")
}

// send sends a record once. An error of kind conflict means that the attempt does not hold the claim any more.
func (m *Module) send(ctx context.Context, r record) error {
	update, err := propose[state.ClaimUpdate](ctx, m.client, r.command)
	if err != nil {
		return err
	}
	if !update.Applied {
		return errs.New(errs.KindConflict, "look the order up by its key", "the claim on order %s is not held by this attempt any more", r.order.Key)
	}
	return nil
}

// retryable reports whether a later attempt may succeed.
func retryable(err error) bool {
	switch errs.KindOf(err) {
	case errs.KindConflict, errs.KindInvalid, errs.KindTooLarge:
		return false
	}
	return true
}

func (m *Module) enqueue(r record) bool {
	if m.queued.add(r.order, r.bytes()) {
		select {
		case m.queue <- r:
			m.scope.Counter("queued").Inc(1)
			return true
		default:
			m.queued.remove(r.order, r.bytes())
		}
	}
	m.drop("the result or release of an order was dropped because the queue to the control group is full", r, nil)
	return false
}

// drop counts and logs a record that is lost.
func (m *Module) drop(msg string, r record, err error) {
	if errs.KindOf(err) != errs.KindConflict { // After a conflict there is nothing left to record.
		m.lost.Add(1)
	}
	m.scope.Counter("lost").Inc(1)
	m.warn(msg, r, err)
}

// sendQueued sends queued records one after the other. While the control group cannot be reached, the first one is
// retried with increasing delays; the others would fail in the same way.
func (m *Module) sendQueued(ctx context.Context) {
	defer close(m.done)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-m.queue:
			m.sendWithRetries(ctx, r)
			m.queued.remove(r.order, r.bytes())
		}
	}
}

func (m *Module) sendWithRetries(ctx context.Context, r record) {
	delay := minRetryDelay
	for {
		limited, cancel := context.WithTimeout(ctx, sendTimeout)
		err := m.send(limited, r)
		cancel()
		if err == nil {
			return
		}
		if !retryable(err) || m.now().Sub(r.createdAt) > maxRecordAge {
			m.drop("the result or release of an order was dropped because it could not be recorded", r, err)
			return
		}
		if m.wait(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}
