package consensus

// Step processes a message from another replica. A message that is addressed to a different replica is ignored.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.Replica {
		return
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return
	}
	if m.Term < n.term {
		n.answerOldTerm(m)
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.handleVoteResp(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk, MsgTimeoutNow:
		n.handleFromLeader(m)
	case MsgAppendResp, MsgHeartbeatResp, MsgSnapshotResp:
		n.handleFromMember(m)
	}
}

// adoptTerm handles a message with a higher term and reports whether the message is to be processed further.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return !n.inLease()
	case MsgPreVoteResp:
		if !m.Reject {
			return true // Granted for the next term of the pre-candidate, which no replica has adopted yet.
		}
	case MsgVote:
		if n.inLease() && !m.Force {
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, "")
	return true
}

// answerOldTerm sends the current term to a leader or pre-candidate of an earlier term. Without this answer, a
// single replica with a higher term could never rejoin the group.
func (n *Node) answerOldTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		if m.Kind == MsgHeartbeat && n.leader == "" {
			n.sendContact(m) // A leader that is known to be replaced has to lose its quorum.
		}
		n.sendAfterSync(Message{Kind: MsgHeartbeatResp, To: m.From})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteResp, To: m.From, Reject: true})
	}
}

// handleFromLeader processes a message from the leader of the current term.
func (n *Node) handleFromLeader(m Message) {
	if n.role == Leader {
		return // A term has only one leader, so the message is forged or corrupted.
	}
	n.lastLeader, n.leaderSilence = m.From, 0
	if m.Kind == MsgTimeoutNow {
		if n.electable() {
			n.startCampaign(MsgVote, true)
		}
		return
	}
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.setLeader(m.From)
	n.electionElapsed = 0
	switch m.Kind {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshotChunk:
		n.handleChunk(m)
	}
}

// handleFromMember processes a member's response to the leader.
func (n *Node) handleFromMember(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	p.hasAnswered, p.diskFull = true, m.DiskFull
	switch m.Kind {
	case MsgAppendResp:
		n.handleAppendResp(p, m)
	case MsgHeartbeatResp:
		n.handleHeartbeatResp(p, m)
	case MsgSnapshotResp:
		n.handleSnapshotResp(p, m)
	}
}
