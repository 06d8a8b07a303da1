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
	// settleTime is how long after its start a VM keeps a connection to one leaf of each service only, where leaves accept
	// fewer connections than there are VMs. Leaves go on counting the connections of VMs that have lost power for about
	// 7 s.
	settleTime = 10 * time.Second
)

// choosePreferred determines to which leaves this VM keeps connections. Before the number of entry VMs is known, none are
// opened in advance, since all VMs together would open more than the leaves accept.
func (m *Module) choosePreferred(v *kernel.View) {
	if v.Leaves == nil || v.EntryVMs == 0 {
		return
	}
	now := m.now()
	settled := now.Sub(m.started) >= settleTime
	set := make(map[leaves.Key]*leaves.Member, v.Leaves.Count)
	m.mu.Lock()
	for service, list := range v.Leaves.Services {
		wanted := float64(len(list))
		if share := m.share(v, service); usedShare*share < 1 {
			if wanted *= scarceShare * share; !settled {
				wanted = 1
			}
		}
		for _, l := range leaves.Preferred(m.vm, m.zone, list, wanted, func(l *leaves.Member) bool { return m.full(now, l) }) {
			set[l.Key()] = l
		}
	}
	m.mu.Unlock()
	m.preferred.Store(&set)
	m.wantConnections()
}

// full reports whether a leaf has just refused a connection, or closed one that was not used. The lock is held.
func (m *Module) full(now time.Time, l *leaves.Member) bool {
	p := m.pools[l.Key()]
	return p != nil && p.open == 0 && now.Before(p.unreachableUntil)
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

// preconnect keeps a connection to each preferred leaf, so that a request does not wait for one. Others take the place of
// those that accept none.
func (m *Module) preconnect(ctx context.Context) {
	settle := time.After(settleTime)
	for {
		m.mu.Lock()
		refused := m.refused
		m.refused = false
		m.mu.Unlock()
		if refused {
			m.choosePreferred(m.control.View())
		}
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
		case <-settle:
			m.choosePreferred(m.control.View())
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
