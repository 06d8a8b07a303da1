package standin

import (
	"context"
	"sync/atomic"
)

// slots limits the sub-requests that run concurrently and those that wait for a
// slot.
type slots struct {
	used       chan struct{}
	queueLimit int64
	waiting    atomic.Int64
	inUse      atomic.Int64
}

type slotResult int

const (
	slotAcquired slotResult = iota
	slotQueueFull
	slotTimeout
)

func newSlots(n, queueLimit int) *slots {
	return &slots{used: make(chan struct{}, n), queueLimit: int64(max(queueLimit, 0))}
}

// acquire takes a free slot, or waits for one in the queue unless the queue is full.
func (s *slots) acquire(ctx context.Context) slotResult {
	select {
	case s.used <- struct{}{}:
		s.inUse.Add(1)
		return slotAcquired
	default:
	}
	if s.waiting.Add(1) > s.queueLimit {
		s.waiting.Add(-1)
		return slotQueueFull
	}
	defer s.waiting.Add(-1)
	select {
	case s.used <- struct{}{}:
		s.inUse.Add(1)
		return slotAcquired
	case <-ctx.Done():
		return slotTimeout
	}
}

func (s *slots) release() {
	s.inUse.Add(-1)
	<-s.used
}
