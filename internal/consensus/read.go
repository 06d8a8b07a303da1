package consensus

import "github.com/chestnuttiller/chestnuttiller/internal/errs"

// Read requests a linearizable read. Ready.Reads returns its ID after a quorum has confirmed that this replica was
// still the leader when the read was requested. A leader that steps down drops its reads.
//
// Each read is confirmed by a quorum instead of a leader lease, since the clock of a VM that was paused cannot be
// trusted.
func (n *Node) Read(id uint64) error {
	if n.role != Leader {
		return errs.New(errs.KindNotLeader, "send the request to the leader", "this replica is not the leader of the control group")
	}
	n.readsWaiting = append(n.readsWaiting, id)
	n.startReads()
	return nil
}

// startReads starts one heartbeat round for all waiting reads. Reads that arrive during a round share the next one.
func (n *Node) startReads() {
	if len(n.readsWaiting) == 0 || len(n.readsInRound) > 0 || !n.committedInTerm() {
		return
	}
	n.round++
	for _, id := range n.readsWaiting {
		n.readsInRound = append(n.readsInRound, ReadState{ID: id, Index: n.commit})
	}
	n.readsWaiting = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// releasableReads returns the confirmed reads that can be answered once the committed entries of the next Ready are
// applied.
func (n *Node) releasableReads() []ReadState {
	k := 0
	for k < len(n.reads) && n.reads[k].Index <= n.applicableIndex() {
		k++
	}
	return n.reads[:k]
}

func (n *Node) confirmReads() {
	if len(n.readsInRound) == 0 {
		return
	}
	confirmed := 0
	for _, id := range n.voters() {
		if id == n.cfg.Replica || n.progress[id].round >= n.round {
			confirmed++
		}
	}
	if confirmed < n.quorum() {
		return
	}
	n.reads = append(n.reads, n.readsInRound...)
	n.readsInRound = nil
	n.startReads()
}
