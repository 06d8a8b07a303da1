package peer

import (
	"context"
	"sync"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
)

// notifier calls the functions registered with OnChange, on one goroutine. A peer whose status changes several times
// before they are called is reported once, with its latest status.
type notifier struct {
	mu        sync.Mutex
	callbacks []func(kernel.PeerStatus)
	pending   []*peer
	wake      chan struct{}
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

func (n *notifier) add(fn func(kernel.PeerStatus)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callbacks = append(n.callbacks, fn)
}

func (n *notifier) enqueue(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.pending {
		if other == p {
			return
		}
	}
	n.pending = append(n.pending, p)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		n.mu.Lock()
		pending, callbacks := n.pending, n.callbacks
		n.pending = nil
		n.mu.Unlock()
		for _, p := range pending {
			for _, fn := range callbacks {
				fn(p.status())
			}
		}
	}
}
