package bench

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
)

// probeInterval is the interval between two readiness probes of an entry VM.
const probeInterval = 100 * time.Millisecond

// Balancer replaces the platform's load balancer in the demo and the tests. It distributes requests over the entry VMs
// whose readiness probe passes.
type Balancer struct {
	vms    []*balancedVM
	next   atomic.Uint64
	cancel context.CancelFunc
	probes sync.WaitGroup
	client *http.Client
}

type balancedVM struct {
	base  string
	ready atomic.Bool
}

// NewBalancer starts to probe the entry VMs at the given base URLs. It returns after each has been probed once.
func NewBalancer(bases []string) *Balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{cancel: cancel, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}}
	var first sync.WaitGroup
	for _, base := range bases {
		vm := &balancedVM{base: base}
		b.vms = append(b.vms, vm)
		b.probes.Add(1)
		first.Add(1)
		go func() {
			defer b.probes.Done()
			b.probe(ctx, vm)
			first.Done()
			b.probeLoop(ctx, vm)
		}()
	}
	first.Wait()
	return b
}

func (b *Balancer) probeLoop(ctx context.Context, vm *balancedVM) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.probe(ctx, vm)
		}
	}
}

func (b *Balancer) probe(ctx context.Context, vm *balancedVM) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.base+callerapi.PathReady, nil)
	if err != nil {
		return
	}
	res, err := b.client.Do(req)
	if err != nil {
		vm.ready.Store(false)
		return
	}
	_ = res.Body.Close() // Only the status is used.
	vm.ready.Store(res.StatusCode == http.StatusOK)
}

// Pick returns the base URL of the next ready VM, or of the next VM when none is ready.
func (b *Balancer) Pick() string {
	n := b.next.Add(1)
	for i := range uint64(len(b.vms)) {
		if vm := b.vms[(n+i)%uint64(len(b.vms))]; vm.ready.Load() {
			return vm.base
		}
	}
	return b.vms[n%uint64(len(b.vms))].base
}

// Ready returns the number of VMs whose last probe passed.
func (b *Balancer) Ready() int {
	n := 0
	for _, vm := range b.vms {
		if vm.ready.Load() {
			n++
		}
	}
	return n
}

// Close stops the probes.
func (b *Balancer) Close() {
	b.cancel()
	b.probes.Wait()
	b.client.CloseIdleConnections()
}
