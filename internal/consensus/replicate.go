package consensus

import "slices"

// progressState is the mode in which the leader sends entries to a member.
type progressState uint8

const (
	// probing sends one message at a time until the last common entry of both logs is found.
	probing progressState = iota
	// replicating sends messages without waiting for acknowledgements.
	replicating
	// sendingSnapshot sends the chunks of a snapshot, one at a time, and no entries.
	sendingSnapshot
)

// progress is the replication state of a member on the leader.
type progress struct {
	id    ReplicaID
	state progressState
	// match is the last index that the member has synced, next the next one to send.
	match uint64
	next  uint64
	// inflight holds the last index of each unacknowledged message.
	inflight []uint64
	// probeInFlight reports whether a probe is unanswered. No further probe is sent until then.
	probeInFlight bool
	// ticksSinceContact counts the ticks since the member last answered.
	ticksSinceContact int
	// leavingTicks is for how many more ticks the VM counts as about to end: a voter is replaced meanwhile, and a learner is not promoted.
	leavingTicks int
	// hasAnswered reports whether the member has answered this leader, diskFull what its last answer says.
	hasAnswered, diskFull bool
	round                 uint64
	// matchAtHeartbeat is the value of match at the last heartbeat response, to detect lost messages.
	matchAtHeartbeat uint64
	snapshot         *Snapshot
	offset           uint64
}

func (p *progress) startProbing() {
	p.state, p.next, p.inflight, p.probeInFlight, p.snapshot = probing, p.match+1, nil, false, nil
}

func (p *progress) acknowledge(index uint64) {
	k := 0
	for k < len(p.inflight) && p.inflight[k] <= index {
		k++
	}
	p.inflight = p.inflight[k:]
}

// syncProgress adds and removes progress entries to match the member list.
func (n *Node) syncProgress() {
	members := n.members()
	for _, m := range members {
		if m.Replica != n.cfg.Replica && n.progress[m.Replica] == nil {
			n.progress[m.Replica] = &progress{id: m.Replica, next: n.log.last() + 1, ticksSinceContact: n.cfg.ElectionTicks}
		}
	}
	for id := range n.progress {
		if _, ok := findMember(members, id); !ok {
			delete(n.progress, id)
		}
	}
}

// eachProgress visits members in the order of the member list, so that a run is reproducible.
func (n *Node) eachProgress(visit func(*progress)) {
	for _, m := range n.members() {
		if p := n.progress[m.Replica]; p != nil {
			visit(p)
		}
	}
}

func (n *Node) broadcastAppend() {
	n.eachProgress(func(p *progress) { n.sendEntries(p) })
	n.advanceCommit()
}

// sendEntries sends the entries that the member's flow control allows.
func (n *Node) sendEntries(p *progress) {
	for p.next <= n.log.last() {
		full := p.state == replicating && len(p.inflight) >= n.cfg.MaxInflight
		if p.state == sendingSnapshot || p.state == probing && p.probeInFlight || full {
			return
		}
		if !n.sendAppend(p) {
			return
		}
	}
}

// sendAppend sends one append message, which may be empty to send only the commit index. It reports whether more
// messages may follow. It starts a snapshot transfer and returns false when the entries are compacted.
func (n *Node) sendAppend(p *progress) bool {
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(p)
		return false
	}
	entries := n.log.sliceWithin(p.next, n.cfg.MaxMessageBytes)
	n.send(Message{Kind: MsgAppend, To: p.id, Index: p.next - 1, LogTerm: prevTerm, Entries: entries, Commit: n.commit})
	if p.state == probing {
		p.probeInFlight = true
		return false
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (n *Node) handleAppend(m Message) {
	if n.diskFull && n.needsSpace(m.Entries) {
		return
	}
	if m.Index < n.commit {
		n.sendAfterSync(Message{Kind: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.sendAfterSync(Message{Kind: MsgAppendResp, To: m.From, Index: m.Index, Reject: true, Hint: n.rejectHint(m.Index)})
		return
	}
	n.appendReceived(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.sendAfterSync(Message{Kind: MsgAppendResp, To: m.From, Index: last})
}

// needsSpace reports whether entries that are not in the log yet hold data. Others fit into the segment that is allocated, and
// a new leader needs one to be stored by a quorum.
func (n *Node) needsSpace(entries []Entry) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return len(e.Data) > 0 && !n.log.matches(e.Index, e.Term) })
}

// rejectHint returns the index that the leader should probe next: the last one of a log that ends before the given
// index, and otherwise the one before the whole conflicting term, so that the leader needs one probe per term
// only.
func (n *Node) rejectHint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	return max(n.log.firstOfTerm(index), n.commit+1) - 1
}

func (n *Node) appendReceived(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncateFrom(e.Index)
		}
		n.log.append(entries[i:]...)
		n.recordMemberships(entries[i:])
		return
	}
}

func (n *Node) handleAppendResp(p *progress, m Message) {
	if m.Reject {
		n.handleRejection(p, m)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	p.acknowledge(m.Index)
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	if p.state == sendingSnapshot && p.match < p.snapshot.Index {
		return
	}
	if p.state != replicating {
		p.state, p.probeInFlight, p.snapshot = replicating, false, nil
		p.next = p.match + 1
	}
	n.advanceCommit()
	n.sendEntries(p)
	n.continueTransfer(p)
	n.maintainMembers()
}

func (n *Node) handleRejection(p *progress, m Message) {
	if p.state == sendingSnapshot || m.Index <= p.match {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	p.startProbing()
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	n.sendAppend(p)
}

func (n *Node) broadcastHeartbeat() {
	n.eachProgress(func(p *progress) {
		n.send(Message{Kind: MsgHeartbeat, To: p.id, Commit: min(p.match, n.commit), Round: n.round})
	})
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(min(m.Commit, n.log.last()))
	r := Message{Kind: MsgHeartbeatResp, To: m.From, Round: m.Round}
	if n.persistedTerm == n.term {
		// The response does not wait for the disk: a slow sync must not make the member look unresponsive.
		n.send(r)
		return
	}
	n.sendContact(m)
	n.sendAfterSync(r)
}

// sendContact informs a leader that this replica runs, although its full disk cannot store the term. The answer confirms no
// round, since the term may be lost in a crash. It has the leader's term, so that it does not end its leadership.
func (n *Node) sendContact(m Message) {
	if n.diskFull && n.persistedTerm != n.term {
		n.send(Message{Kind: MsgHeartbeatResp, To: m.From, Term: m.Term})
	}
}

func (n *Node) handleHeartbeatResp(p *progress, m Message) {
	p.round = max(p.round, m.Round)
	n.confirmReads()
	// Without progress since the last response, the messages in flight are treated as lost.
	stalled := p.match < n.log.last() && p.match == p.matchAtHeartbeat || p.state == probing
	p.matchAtHeartbeat = p.match
	if !stalled {
		return
	}
	if p.state == sendingSnapshot {
		n.sendChunk(p)
		return
	}
	next := p.next
	wasProbing := p.state == probing
	p.startProbing()
	if wasProbing {
		p.next = next
	}
	n.sendAppend(p)
}

// commitTo advances the commit index of a follower. It never lowers it.
func (n *Node) commitTo(index uint64) {
	if index > n.commit {
		n.setCommit(index)
	}
}

func (n *Node) setCommit(index uint64) {
	old := n.commit
	n.commit = index
	if at := n.memberships[len(n.memberships)-1].index; at > old && at <= index {
		n.addNotice(Notice{Kind: NoticeCommitted, Index: at, Change: n.lastChange})
		if n.lastChange != nil {
			n.shortenLeave(n.lastChange)
		}
		n.lastChange = nil
	}
}

// committedInTerm reports whether the leader has committed an entry of its own term.
func (n *Node) committedInTerm() bool { return n.log.matches(n.commit, n.term) }

// advanceCommit commits the entries that a quorum has synced. Only entries of the leader's own term are counted;
// earlier ones are committed with them.
func (n *Node) advanceCommit() {
	synced := make([]uint64, 0, 8)
	for _, id := range n.voters() {
		if id == n.cfg.Replica {
			synced = append(synced, n.stable)
			continue
		}
		synced = append(synced, n.progress[id].match)
	}
	slices.Sort(synced)
	index := synced[len(synced)-n.quorum()]
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	n.setCommit(index)
	n.startReads()
	n.eachProgress(func(p *progress) {
		if p.state == replicating && p.next > n.log.last() {
			n.sendAppend(p)
		}
	})
}
