package standin

import "sync"

// gate blocks the goroutines that wait for it while it is closed. It freezes one target without stopping the process,
// which other targets share.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// opened returns a channel that is closed if the gate is open, or else when it next opens.
func (g *gate) opened() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// setOpen opens or closes the gate. Opening it releases the goroutines that wait.
func (g *gate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}
