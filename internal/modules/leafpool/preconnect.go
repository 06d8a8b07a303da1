package leafpool

import (
	"context"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// preconnectInterval is the time between connections that are opened in advance. A VM connects to the 120 preferred leaves of
	// a new index within 3 s, and a leaf that needs 6 ms for each connection is not overloaded by all VMs together.
	preconnectInterval = 25 * time.Millisecond
	// preconnectRetry is the delay before the next try after a leaf refused a connection, did not respond, or closed a
	// connection that no request had used.
	preconnectRetry = 2 * time.Second
	// warmTime is how long after a request for a service connections that its leaves close are opened again in advance. A VM
	// without requests for it would otherwise connect again each time that a leaf closes an idle connection.
	warmTime = 30 * time.Second
	// startupTime is how long after its start a VM keeps a connection to only one leaf of each service, where leaves accept fewer
	// connections than there are VMs. Leaves count the connections of VMs that lost power for about another 7 s.
	startupTime = 10 * time.Second
)

// choosePreferred determines to which leaves this VM keeps connections, and reports whether full leaves were skipped. While the
// number of entry VMs is unknown, no connections are opened in advance, since all VMs together would open more than the leaves
// accept.
func (m *Module) choosePreferred(v *kernel.View) (skipped bool) {
	if v.Leaves == nil || v.EntryVMs == 0 {
		return false
	}
	now := m.now()
	chosen := make(map[leaves.Key]*leaves.Member, v.Leaves.Count)
	m.mu.Lock()
	defer m.mu.Unlock()
	full := func(l *leaves.Member) bool {
		p := m.pools[l.Key()]
		refused := p != nil && (p.open == 0 && now.Before(p.unreachableUntil) || p.refuses(now))
		skipped = skipped || refused
		return refused
	}
	for service, list := range v.Leaves.Services {
		list = notEvacuated(v, list)
		for _, l := range leaves.Preferred(m.self, m.zone, list, m.preferredCount(now, v, service, len(list)), full) {
			chosen[l.Key()] = l
		}
	}
	m.preferred.Store(&chosen)
	return skipped
}

// notEvacuated returns the leaves outside the evacuated availability zones, so that the VM prefers others meanwhile.
func notEvacuated(v *kernel.View, list []*leaves.Member) []*leaves.Member {
	if len(v.Evacuations.Zones) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(l *leaves.Member) bool { return v.Evacuations.Has(l.AvailabilityZone) })
}

// preferredCount returns to how many of the n leaves of a service a VM keeps connections, on average over the VMs.
func (m *Module) preferredCount(now time.Time, v *kernel.View, service model.ServiceName, n int) float64 {
	share := m.connectionShare(v, service)
	switch {
	case usedShare*share >= 1:
		return float64(n)
	case now.Sub(m.started) < startupTime:
		return 1
	}
	return scarceShare * share * float64(n)
}

// Prefers implements kernel.LeafTransport.
func (m *Module) Prefers(l *leaves.Member) bool {
	set := m.preferred.Load()
	return set == nil || (*set)[l.Key()] != nil
}

// recheckPreferred lets the goroutine that opens connections choose the preferred leaves again.
func (m *Module) recheckPreferred() {
	select {
	case m.recheck <- struct{}{}:
	default: // A recheck is already pending.
	}
}

// preconnect keeps a connection to each preferred leaf, so that requests do not wait for one. Leaves that accept no connection
// are replaced by others.
func (m *Module) preconnect(ctx context.Context) {
	startupEnd := time.After(startupTime)
	for {
		postponed := m.choosePreferred(m.control.View())
		for {
			l, wait := m.missing()
			postponed = postponed || wait
			if l == nil {
				break
			}
			go m.preconnectTo(l)
			if kernel.Wait(ctx, preconnectInterval) != nil {
				return
			}
			if len(m.recheck) > 0 {
				break // The preferred leaves may have changed.
			}
		}
		var retry <-chan time.Time
		if postponed {
			retry = time.After(preconnectRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.recheck:
		case <-retry:
		case <-startupEnd:
		}
	}
}

// missing returns a preferred leaf without a connection, or nil, and reports whether other ones have to wait because
// they were unreachable shortly before or have asked for a pause. It includes leaves that no route names yet: those of a new index start seconds
// before the table that names them.
func (m *Module) missing() (l *leaves.Member, postponed bool) {
	set := m.preferred.Load()
	if set == nil {
		return nil, false
	}
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	// The order of a map is random, so that the VMs do not all open connections to one leaf.
	for k, x := range *set {
		switch p := m.pools[k]; {
		case p != nil && (p.open > 0 || p.retired):
		case p != nil && p.connected && now.Sub(m.requestedAt[x.Service]) > warmTime:
		case p != nil && (now.Before(p.unreachableUntil) || now.Before(p.pausedUntil)):
			postponed = true
		default:
			return x, postponed
		}
	}
	return nil, postponed
}

// preconnectTo opens an idle connection to a leaf, and reads from it until it ends.
func (m *Module) preconnectTo(l *leaves.Member) {
	limit := m.limit(l)
	m.mu.Lock()
	p := m.poolOf(l)
	if p.open > 0 || p.refuses(m.now()) {
		m.mu.Unlock()
		return
	}
	awaitClosed := p.mustAwaitClosed(limit)
	p.open++
	p.preconnecting++
	m.mu.Unlock()
	if awaitClosed {
		p.awaitClosed(m.runCtx)
	}
	n, err := m.connect(m.runCtx, l)
	if err != nil {
		m.mu.Lock()
		p.preconnecting--
		p.closedLocked(nil)
		m.mu.Unlock()
		return
	}
	c := newConn(p, n)
	c.inAdvance = true
	p.keepIdle(c) // Requests may have opened as many connections as the limit allows.
}
