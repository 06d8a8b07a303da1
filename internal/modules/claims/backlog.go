package claims

import (
	"context"
	"sync"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// maxBacklogBytes bounds the results that wait for control.
const maxBacklogBytes = 32 << 20

// backlog counts the queued records and their bytes.
type backlog struct {
	mu      sync.Mutex
	records int
	bytes   int
	orders  map[model.OrderID]*unrecorded
	// idle is closed once nothing is queued. It is nil while nobody waits.
	idle chan struct{}
}

// unrecorded is an order with queued records. Recorded is closed once there are none.
type unrecorded struct {
	records  int
	recorded chan struct{}
}

// add counts a record, unless the bytes do not fit.
func (b *backlog) add(order model.OrderID, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes+bytes > maxBacklogBytes {
		return false
	}
	b.records++
	b.bytes += bytes
	if b.orders == nil {
		b.orders = map[model.OrderID]*unrecorded{}
	}
	u := b.orders[order]
	if u == nil {
		u = &unrecorded{recorded: make(chan struct{})}
		b.orders[order] = u
	}
	u.records++
	return true
}

func (b *backlog) remove(order model.OrderID, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records--
	b.bytes -= bytes
	u := b.orders[order]
	if u.records--; u.records == 0 {
		close(u.recorded)
		delete(b.orders, order)
	}
	if b.records == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// waitFor returns once nothing is queued for an order, or with the error of the context.
func (b *backlog) waitFor(ctx context.Context, order model.OrderID) error {
	b.mu.Lock()
	u := b.orders[order]
	b.mu.Unlock()
	if u == nil {
		return nil
	}
	return await(ctx, u.recorded)
}

// wait returns once nothing is queued, or with the error of the context.
func (b *backlog) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.records == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	return await(ctx, idle)
}

func await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
