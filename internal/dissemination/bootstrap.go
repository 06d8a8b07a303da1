package dissemination

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/rendezvous"
)

// bootstrap is the phase before a VM has a state that it may serve with. The first state that the VM receives may be
// older than the one that it served with before a restart. So it requests the revisions of other VMs and is ready only
// once it has the highest of them.
type bootstrap struct {
	done     bool
	deadline time.Time
	// unanswered holds the VMs that have not answered a probe; the value reports whether one was sent.
	unanswered map[model.VMName]bool
	highest    uint64
	from       model.VMName
}

func newBootstrap(now time.Time, c Config) bootstrap {
	b := bootstrap{done: !c.Entry, deadline: now.Add(c.BootstrapGrace), unanswered: map[model.VMName]bool{}}
	var neighbours, control []model.VMName
	for _, p := range c.BootstrapPeers {
		switch {
		case p.Control:
			control = append(control, p.VM)
		case p.Zone == c.Zone:
			neighbours = append(neighbours, p.VM)
		}
	}
	relays := rendezvous.Top("state "+string(c.Zone), neighbours, RelaysPerZone)
	for _, vm := range slices.Concat(relays, rendezvous.Top(string(c.Self), neighbours, maxProbes), control) {
		b.unanswered[vm] = false
	}
	return b
}

// sendProbes probes the bootstrap peers that are reachable and were not probed yet.
func (n *Node) sendProbes() {
	if n.bootstrap.done {
		return
	}
	for _, p := range n.peers {
		if probed, ok := n.bootstrap.unanswered[p.VM]; ok && !probed {
			n.bootstrap.unanswered[p.VM] = true
			n.effects.Probes = append(n.effects.Probes, p.VM)
		}
	}
}

// HandleProbeAnswer handles the answer to a probe, or its failure.
func (n *Node) HandleProbeAnswer(now time.Time, from model.VMName, c Confirmation, err error) {
	b := &n.bootstrap
	if err != nil {
		if _, ok := b.unanswered[from]; ok {
			b.unanswered[from] = false // It is probed again when it is reachable.
		}
		return
	}
	delete(b.unanswered, from)
	if c.Revision > b.highest {
		b.highest, b.from = c.Revision, from
	}
	n.recordControlContact(now, c.Age)
	n.tickBootstrap(now)
}

// tickBootstrap fetches the state of the highest revision among the answers. It ends the bootstrap once this VM has
// that state and all probes are answered or the grace has passed.
func (n *Node) tickBootstrap(now time.Time) {
	b := &n.bootstrap
	if b.done {
		return
	}
	n.sendProbes()
	if n.disseminated.Revision < b.highest {
		n.effects.Subscribes = append(n.effects.Subscribes, SubscribeCall{
			To: b.from, Subscribe: Subscribe{Revision: n.disseminated.Revision, Digest: n.disseminated.Digest(), Once: true},
		})
		if !n.reachable(b.from) {
			// That VM cannot deliver its state any more; the others may still be ahead of this VM.
			b.highest = n.disseminated.Revision
		}
		return
	}
	if n.disseminated.Revision > 0 && (len(b.unanswered) == 0 || !now.Before(b.deadline)) {
		b.done = true
	}
}

// Ready reports whether the bootstrap is done and this VM has a state that it may serve with.
func (n *Node) Ready() bool { return n.bootstrap.done && n.disseminated.Revision > 0 }
