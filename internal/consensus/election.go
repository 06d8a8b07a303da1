package consensus

func (n *Node) resetTimeout() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Random.IntN(n.cfg.ElectionTicks)
}

// electable reports whether the replica may start an election. One with a full disk may, since an election needs only a few
// bytes of a segment that is allocated: a group in which all disks are full still needs a leader that commits what is
// acknowledged and answers reads.
func (n *Node) electable() bool {
	return n.isVoter(n.cfg.Replica) && !n.restoring && !n.diskStalled()
}

// inLease reports whether the replica leads or has recent contact with a leader. During that time the replica
// ignores vote requests, so that a replica that was partitioned does not disturb the group when it reconnects.
func (n *Node) inLease() bool {
	return n.role == Leader || n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if n.role == Leader && term > n.term && n.transferTarget == "" {
		n.addNotice(Notice{Kind: NoticeHigherTerm})
	}
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role = Follower
	n.progress, n.votes = nil, nil
	n.transferTarget, n.lastChange = "", nil
	n.readsWaiting, n.readsInRound = nil, nil
	n.incoming = nil
	n.setLeader(leader)
	n.resetTimeout()
}

func (n *Node) setLeader(leader ReplicaID) {
	if leader != n.leader && leader != "" {
		n.addNotice(Notice{Kind: NoticeFollowing, Replica: leader})
	}
	n.leader = leader
}

// campaign requests pre-votes, which change no state of the voters, or votes.
func (n *Node) campaign(kind MessageKind) {
	n.startCampaign(kind, false)
}

func (n *Node) startCampaign(kind MessageKind, force bool) {
	n.leader = ""
	n.votes = map[ReplicaID]bool{}
	term := n.term + 1
	if kind == MsgPreVote {
		n.role = PreCandidate
	} else {
		n.role, n.term, n.vote = Candidate, term, n.cfg.Replica
		n.addNotice(Notice{Kind: NoticeCampaign})
	}
	n.resetTimeout()
	for _, id := range n.voters() {
		if id != n.cfg.Replica {
			n.requestVote(kind, id, term, force)
		}
	}
	if kind == MsgPreVote {
		n.recordVote(n.cfg.Replica, true)
		return
	}
	// The replica's own vote counts once it is durable, like any other vote.
	n.sendAfterSync(Message{Kind: MsgVoteResp, To: n.cfg.Replica})
}

func (n *Node) requestVote(kind MessageKind, to ReplicaID, term uint64, force bool) {
	m := Message{Kind: kind, To: to, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force}
	if kind == MsgPreVote {
		n.send(m)
		return
	}
	n.sendAfterSync(m)
}

// handleVote answers a request for a vote or a pre-vote.
func (n *Node) handleVote(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last()
	if m.Kind == MsgPreVote {
		grant := upToDate && m.Term > n.term && !n.winsTie(m)
		term := n.term
		if grant {
			term = m.Term
		}
		n.send(Message{Kind: MsgPreVoteResp, To: m.From, Term: term, Reject: !grant})
		return
	}
	canVote := n.vote == m.From || n.vote == "" && n.leader == ""
	grant := upToDate && canVote
	if grant {
		n.vote = m.From
		n.resetTimeout()
	}
	n.sendAfterSync(Message{Kind: MsgVoteResp, To: m.From, Reject: !grant})
}

// tieTicks is how long after its own request for pre-votes a replica refuses one to an equal candidate: longer than a request is on its way.
const tieTicks = 2

// winsTie reports whether this replica and a candidate, whose logs are equal, have requested pre-votes at the same time, and this replica
// is the one that goes on. Both would otherwise become candidates of the same term, split the votes and wait for another timeout.
func (n *Node) winsTie(m Message) bool {
	equal := m.LogTerm == n.log.lastTerm() && m.Index == n.log.last()
	return n.role == PreCandidate && n.electionElapsed < tieTicks && equal && n.cfg.Replica < m.From
}

func (n *Node) handleVoteResp(m Message) {
	switch {
	case m.Kind == MsgPreVoteResp && n.role == PreCandidate && (m.Reject || m.Term == n.term+1):
		n.recordVote(m.From, !m.Reject)
	case m.Kind == MsgVoteResp && n.role == Candidate:
		n.recordVote(m.From, !m.Reject)
	}
}

// recordVote records a vote and starts the next step of the election once a quorum has granted its votes.
func (n *Node) recordVote(from ReplicaID, granted bool) {
	if _, ok := n.votes[from]; !ok {
		n.votes[from] = granted
	}
	grants := 0
	for _, id := range n.voters() {
		if n.votes[id] {
			grants++
		}
	}
	if grants < n.quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(MsgVote)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	voted := n.votes
	n.role, n.leader, n.votes = Leader, n.cfg.Replica, nil
	n.electionElapsed, n.heartbeatElapsed, n.unappliedBytes = 0, 0, 0
	n.round, n.confirmedRound = 0, 0
	n.progress = map[ReplicaID]*progress{}
	n.addNotice(Notice{Kind: NoticeElected, Index: n.log.last()})
	n.syncProgress()
	for _, p := range n.progress {
		p.ticksSinceContact = 0 // Members have one election timeout to answer before the quorum counts as lost.
	}
	// The silence of a lost leader counts from its last message: its replacement would otherwise begin only after the election, and the
	// next loss could come before its end. It has the time of some heartbeats to answer in any case.
	if p := n.progress[n.lastLeader]; p != nil && !hasVoted(voted, p.id) {
		p.ticksSinceContact = min(n.leaderSilence, max(n.cfg.ReplaceAfterTicks-answerHeartbeats*n.cfg.HeartbeatTicks, 0))
	}
	n.lastLeader = "" // What it has sent before says nothing once this replica has led.
	n.appendOwn(Entry{Kind: EntryEmpty})
	n.broadcastAppend()
}

// answerHeartbeats is how many heartbeats a leader sends before it replaces the leader before it as a voter.
const answerHeartbeats = 3

func hasVoted(votes map[ReplicaID]bool, id ReplicaID) bool {
	_, ok := votes[id]
	return ok
}

// tickLeader sends heartbeats, and steps down when a quorum has not been responsive for an election timeout.
func (n *Node) tickLeader() {
	n.tickTransfer()
	for _, p := range n.progress {
		p.ticksSinceContact++
		p.leavingTicks = max(p.leavingTicks-1, 0)
	}
	if n.responsiveVoters("") < n.quorum() {
		n.addNotice(Notice{Kind: NoticeQuorumLost})
		n.becomeFollower(n.term, "")
		return
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
	n.maintainMembers()
}
