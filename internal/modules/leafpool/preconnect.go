package leafpool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

const (
	// preconnectPause is the pause between connections that are opened before they are needed. A VM reaches the 120 leaves of a
	// new index that it prefers within 3 s, and a leaf that takes 6 ms for each is not kept busy by the VMs together.
	preconnectPause = 25 * time.Millisecond
	// preconnectRetry is the pause before a leaf is tried again that refused a connection, did not answer, or closed a
	// connection that no request had used.
	preconnectRetry = 2 * time.Second
)

// choosePreferred determines to which leaves this VM keeps connections. Before the number of entry VMs is known, none are
// opened in advance, since all VMs together would open more than the leaves accept.
func (m *Module) choosePreferred(v *kernel.View) {
	if v.Leaves == nil || v.EntryVMs == 0 {
		return
	}
	set := make(map[leaves.Key]*leaves.Member, v.Leaves.Count)
	for service, list := range v.Leaves.Services {
		for _, l := range leaves.Preferred(m.vm, m.zone, list, m.share(v, service)) {
			set[l.Key()] = l
		}
	}
	m.preferred.Store(&set)
	m.wantConnections()
}

// Prefers implements kernel.LeafTransport.
func (m *Module) Prefers(l *leaves.Member) bool {
	set := m.preferred.Load()
	return set == nil || (*set)[l.Key()] != nil
}

// wantConnections lets the goroutine that opens connections look for leaves without one.
func (m *Module) wantConnections() {
	select {
	case m.wanted <- struct{}{}:
	default: // It is told already.
	}
}

// preconnect keeps a connection to each preferred leaf, so that a request does not wait for one.
func (m *Module) preconnect(ctx context.Context) {
	for {
		missing, postponed := m.missing()
		for _, l := range missing {
			go m.open(l)
			if kernel.Wait(ctx, preconnectPause) != nil {
				return
			}
		}
		var retry <-chan time.Time
		if postponed {
			retry = time.After(preconnectRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wanted:
		case <-retry:
		}
	}
}

// missing lists the preferred leaves to which there is no connection, in random order, and reports whether others have to wait
// because they could not be reached a moment ago. Leaves that no route names yet are among them: those of a new index start
// seconds before the table that names them.
func (m *Module) missing() (list []*leaves.Member, postponed bool) {
	set := m.preferred.Load()
	if set == nil {
		return nil, false
	}
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, l := range *set {
		switch p := m.pools[k]; {
		case p == nil:
			list = append(list, l)
		case p.open > 0:
		case now.Before(p.unreachableUntil):
			postponed = true
		default:
			list = append(list, l)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list, postponed
}

// open opens an idle connection to a leaf.
func (m *Module) open(l *leaves.Member) {
	m.mu.Lock()
	p := m.poolOf(l)
	if p.open > 0 {
		m.mu.Unlock()
		return
	}
	p.open++
	p.preconnecting++
	m.mu.Unlock()
	c, err := p.connect(m.run)
	m.mu.Lock()
	p.preconnecting--
	m.mu.Unlock()
	if err != nil {
		p.closed(nil)
		return
	}
	if !p.put(c) {
		_ = c.net.Close() // Requests have opened as many as there may be.
		p.closed(c)
		return
	}
	c.read()
}
