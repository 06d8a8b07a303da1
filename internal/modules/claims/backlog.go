package claims

import (
	"context"
	"sync"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// maxBacklogBytes limits the queued results.
const maxBacklogBytes = 32 << 20

// backlog counts the queued records, those of each order and their bytes.
type backlog struct {
	mu      sync.Mutex
	records int
	bytes   int
	orders  map[model.OrderID]*orderBacklog
	// empty is closed once no record is queued. It is nil while no goroutine waits.
	empty chan struct{}
}

// orderBacklog counts the queued records of one order. The channel drained is closed once there are none.
type orderBacklog struct {
	records int
	drained chan struct{}
}

// add counts a record. It returns false, and counts nothing, when the record exceeds maxBacklogBytes.
func (b *backlog) add(order model.OrderID, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes+bytes > maxBacklogBytes {
		return false
	}
	b.records++
	b.bytes += bytes
	if b.orders == nil {
		b.orders = map[model.OrderID]*orderBacklog{}
	}
	o := b.orders[order]
	if o == nil {
		o = &orderBacklog{drained: make(chan struct{})}
		b.orders[order] = o
	}
	o.records++
	return true
}

func (b *backlog) remove(order model.OrderID, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records--
	b.bytes -= bytes
	o := b.orders[order]
	if o.records--; o.records == 0 {
		close(o.drained)
		delete(b.orders, order)
	}
	if b.records == 0 && b.empty != nil {
		close(b.empty)
		b.empty = nil
	}
}

// waitForOrder returns once no record of an order is queued, or with the error of the context.
func (b *backlog) waitForOrder(ctx context.Context, order model.OrderID) error {
	b.mu.Lock()
	o := b.orders[order]
	b.mu.Unlock()
	if o == nil {
		return nil
	}
	return await(ctx, o.drained)
}

// waitForAll returns once no record is queued, or with the error of the context.
func (b *backlog) waitForAll(ctx context.Context) error {
	b.mu.Lock()
	if b.records == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.empty == nil {
		b.empty = make(chan struct{})
	}
	empty := b.empty
	b.mu.Unlock()
	return await(ctx, empty)
}

func await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
