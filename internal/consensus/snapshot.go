package consensus

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	chunk Chunk
	data  []byte
}

// Restoring reports whether a received snapshot is not durable yet. The state machine has a state then that is older than the log,
// and no snapshot of it may be taken.
func (n *Node) Restoring() bool { return n.restoring }

// NewSnapshot returns a snapshot at the applied index. Its data is the encoded state of the state machine. It must not be called
// while Restoring.
func (n *Node) NewSnapshot(data []byte) *Snapshot {
	term, _ := n.log.term(n.applied)
	at := n.log.offsetAt
	if n.applied > n.log.offset {
		at = n.log.slice(n.applied, n.applied)[0].At
	}
	return &Snapshot{Index: n.applied, Term: term, At: at, Members: n.membersAt(n.applied), Data: data}
}

// SnapshotSaved marks a snapshot from NewSnapshot as durable, and compacts the log before it.
func (n *Node) SnapshotSaved(s *Snapshot) {
	if n.snapshot != nil && s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	if to := min(n.retainAfter(s.Index), n.stable); to > n.log.offset {
		n.log.compact(to)
		n.compactMemberships(to)
	}
}

// retainAfter returns the index after which the entries up to a snapshot stay in the log.
func (n *Node) retainAfter(snapshotIndex uint64) uint64 {
	to, bytes := snapshotIndex, 0
	for ; to > n.log.offset && snapshotIndex-to < n.cfg.RetainEntries; to-- {
		bytes += n.log.entries[to-n.log.offset-1].Size()
		if n.cfg.RetainBytes > 0 && bytes > n.cfg.RetainBytes {
			break
		}
	}
	return to
}

// installSnapshot replaces the log by a snapshot, and raises the commit index to it.
func (n *Node) installSnapshot(s *Snapshot) {
	n.snapshot = s
	n.log.reset(s)
	n.memberships = []membership{{s.Index, s.Members}}
	n.commit = max(n.commit, s.Index)
}

func (n *Node) startSnapshot(p *progress) {
	p.startProbing()
	p.state, p.snapshot, p.offset = sendingSnapshot, n.snapshot, 0
	n.addNotice(Notice{Kind: NoticeSnapshotSent, Replica: p.id, Index: n.snapshot.Index})
	n.sendChunk(p)
}

// sendChunk sends the next chunk of the snapshot. One chunk is in flight at a time.
func (n *Node) sendChunk(p *progress) {
	s := p.snapshot
	total := uint64(len(s.Data))
	end := min(p.offset+uint64(n.cfg.ChunkBytes), total)
	c := &Chunk{Index: s.Index, Term: s.Term, At: s.At, Members: s.Members, Offset: p.offset, Total: total, Data: s.Data[p.offset:end]}
	n.send(Message{Kind: MsgSnapshotChunk, To: p.id, Chunk: c})
}

func (n *Node) handleSnapshotResp(p *progress, m Message) {
	if p.state != sendingSnapshot || m.Index != p.snapshot.Index || m.Hint > uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset = m.Hint
	if p.offset < uint64(len(p.snapshot.Data)) {
		n.sendChunk(p)
	}
}

// handleChunk stores a chunk of a snapshot and installs the snapshot when it is complete.
func (n *Node) handleChunk(m Message) {
	c := m.Chunk
	if c == nil || n.diskFull {
		return
	}
	if c.Index <= n.commit {
		n.sendAfterSync(Message{Kind: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	if n.log.matches(c.Index, c.Term) {
		// Later entries in the log may be acknowledged already, so the snapshot must not replace them.
		n.commitTo(c.Index)
		n.sendAfterSync(Message{Kind: MsgAppendResp, To: m.From, Index: c.Index})
		return
	}
	if n.incoming == nil || n.incoming.chunk.Index != c.Index || n.incoming.chunk.Term != c.Term {
		n.incoming = &incomingSnapshot{chunk: *c}
	}
	in := n.incoming
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	if uint64(len(in.data)) < c.Total {
		n.send(Message{Kind: MsgSnapshotResp, To: m.From, Index: c.Index, Hint: uint64(len(in.data))})
		return
	}
	n.incoming = nil
	n.acceptSnapshot(&Snapshot{Index: c.Index, Term: c.Term, At: c.At, Members: c.Members, Data: in.data})
	n.sendAfterSync(Message{Kind: MsgAppendResp, To: m.From, Index: c.Index})
}

// acceptSnapshot replaces the log by a received snapshot. The state machine is restored once the snapshot is durable.
func (n *Node) acceptSnapshot(s *Snapshot) {
	n.installSnapshot(s)
	n.unsavedSnapshot = s
	n.restoring = true
	n.stable, n.written = 0, s.Index
	for i := range n.pending {
		n.pending[i].last = 0
	}
	n.addNotice(Notice{Kind: NoticeSnapshot, Index: s.Index})
}

func (n *Node) finishRestore(s *Snapshot) {
	if s != n.snapshot {
		return // A newer snapshot replaced this one before it was durable.
	}
	n.restoring = false
	n.restore = s
	n.applied = s.Index
	n.stable = max(n.stable, s.Index)
}
