package consensus

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// membership is a member list and the log index from which on it is in force.
type membership struct {
	index   uint64
	members []Member
}

// members returns the member list in force, which is the newest one in the log even if it is not committed.
func (n *Node) members() []Member { return n.memberships[len(n.memberships)-1].members }

// membersAt returns the member list in force at an index, or the oldest list that is kept if the index is before it.
func (n *Node) membersAt(index uint64) []Member {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i].members
		}
	}
	return n.memberships[0].members
}

func (n *Node) truncateMemberships(from uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= from {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships removes the member lists that are older than the one in force at the index.
func (n *Node) compactMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

func (n *Node) recordMemberships(entries []Entry) {
	for i := range entries {
		if entries[i].Kind == EntryMembers {
			n.memberships = append(n.memberships, membership{entries[i].Index, entries[i].Members})
		}
	}
}

func findMember(members []Member, id ReplicaID) (Member, bool) {
	for _, m := range members {
		if m.Replica == id {
			return m, true
		}
	}
	return Member{}, false
}

func (n *Node) isVoter(id ReplicaID) bool {
	m, ok := findMember(n.members(), id)
	return ok && !m.Learner
}

func (n *Node) voters() []ReplicaID {
	var out []ReplicaID
	for _, m := range n.members() {
		if !m.Learner {
			out = append(out, m.Replica)
		}
	}
	return out
}

func (n *Node) quorum() int { return len(n.voters())/2 + 1 }

// changePending reports whether the newest member list is not committed yet.
func (n *Node) changePending() bool { return n.memberships[len(n.memberships)-1].index > n.commit }

// ProposeChange appends one membership change. It is refused while another change is not committed, and before the
// leader has committed an entry of its own term: an uncommitted change of an earlier leader could otherwise lead to
// two quorums that do not intersect.
func (n *Node) ProposeChange(now time.Time, c Change) (EntryID, error) {
	if err := n.checkLeader(); err != nil {
		return EntryID{}, err
	}
	if n.changePending() || !n.committedInTerm() {
		return EntryID{}, errs.New(errs.KindUnavailable, "resend after a pause", "another membership change is not committed yet")
	}
	next, err := changedMembers(n.members(), c)
	if err != nil {
		return EntryID{}, err
	}
	if (c.Kind == Remove || c.Kind == Demote) && c.Member.Replica == n.cfg.Replica {
		return EntryID{}, errs.New(errs.KindConflict, "transfer leadership first", "the leader cannot remove or demote itself")
	}
	n.now = unixNano(now)
	id := n.appendOwn(Entry{Kind: EntryMembers, Members: next})
	n.lastChange = &c
	n.syncProgress()
	n.addNotice(Notice{Kind: NoticeMembers, Index: id.Index, Replica: c.Member.Replica, Change: &c})
	n.broadcastAppend()
	return id, nil
}

// changedMembers returns the member list after a change. A change adds or removes at most one voter.
func changedMembers(members []Member, c Change) ([]Member, error) {
	old, isMember := findMember(members, c.Member.Replica)
	switch {
	case c.Kind == AddLearner && isMember:
		return nil, errs.New(errs.KindConflict, "no action is needed", "replica %s is already a member", c.Member.Replica)
	case c.Kind != AddLearner && !isMember:
		return nil, errs.New(errs.KindNotFound, "check the list of members", "replica %s is not a member", c.Member.Replica)
	case c.Kind == Promote && !old.Learner:
		return nil, errs.New(errs.KindConflict, "no action is needed", "replica %s is already a voter", c.Member.Replica)
	case c.Kind == Demote && old.Learner:
		return nil, errs.New(errs.KindConflict, "no action is needed", "replica %s is already a learner", c.Member.Replica)
	}
	next := slices.Clone(members)
	switch c.Kind {
	case AddLearner:
		// Learners do not count for quorums, so an earlier learner of the same VM can be removed in the same step.
		next = slices.DeleteFunc(next, func(m Member) bool { return m.Learner && m.VM == c.Member.VM })
		return append(next, Member{Replica: c.Member.Replica, VM: c.Member.VM, Learner: true}), nil
	case Promote, Demote:
		for i := range next {
			if next[i].Replica == c.Member.Replica {
				next[i].Learner = c.Kind == Demote
			}
		}
		return next, nil
	}
	return slices.DeleteFunc(next, func(m Member) bool { return m.Replica == c.Member.Replica }), nil
}

// maintainMembers makes the leader promote a learner that has caught up, demote a voter above the limit of voters that is about to end
// or is responsive, or remove one of these replicas: the old replica of a VM whose new replica is a voter, an unresponsive voter
// above the limit of voters, an unresponsive replica of a retired VM, or a learner that has been silent for long.
func (n *Node) maintainMembers() {
	if n.role != Leader || n.changePending() || !n.committedInTerm() || n.transferTarget != "" || n.diskFull {
		return
	}
	if c, ok := n.nextChange(); ok {
		_, _ = n.ProposeChange(time.Unix(0, n.now), c) // A change that is refused now is proposed again later.
	}
}

func (n *Node) nextChange() (Change, bool) {
	members := n.members()
	newest := map[model.VMName]ReplicaID{}
	for _, m := range members {
		if !m.Learner {
			newest[m.VM] = m.Replica
		}
	}
	for _, m := range members {
		if n.leavingVoter(m) && len(n.voters()) > n.cfg.MaxVoters && n.hasQuorumWithout(m) {
			return Change{Kind: Demote, Member: m}, true
		}
	}
	for _, m := range members {
		superseded := !m.Learner && newest[m.VM] != m.Replica
		surplus := n.replaceable(m) && n.cfg.MaxVoters > 0 && len(n.voters()) > n.cfg.MaxVoters
		if m.Replica != n.cfg.Replica && (superseded || surplus || n.retired(m) || n.expired(m)) && n.hasQuorumWithout(m) {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	if m, ok := n.surplusVoter(); ok {
		return Change{Kind: Demote, Member: m}, true
	}
	for _, m := range members {
		_, supersedes := newest[m.VM]
		hasRoom := supersedes || n.cfg.MaxVoters == 0 || len(n.voters()) < n.cfg.MaxVoters || slices.ContainsFunc(members, n.replaceable) ||
			len(n.voters()) == n.cfg.MaxVoters && slices.ContainsFunc(members, n.leavingVoter)
		if hasRoom && n.promotable(m) && n.hasQuorumWith(m.Replica) {
			return Change{Kind: Promote, Member: m}, true
		}
	}
	return Change{}, false
}

// surplusVoter returns the voter to demote while there are more voters than the limit: preferably one with a full disk,
// then the one that has synced the least. No voter is demoted before all of them have answered this leader, since an
// unresponsive one is the one to remove.
func (n *Node) surplusVoter() (Member, bool) {
	if n.cfg.MaxVoters == 0 || len(n.voters()) <= n.cfg.MaxVoters {
		return Member{}, false
	}
	var surplus Member
	var least *progress
	for _, m := range n.members() {
		p := n.progress[m.Replica]
		if m.Learner || m.Replica == n.cfg.Replica {
			continue
		}
		if !p.hasAnswered || !n.responsive(p) {
			return Member{}, false
		}
		if least == nil || p.diskFull && !least.diskFull || p.diskFull == least.diskFull && p.match <= least.match {
			surplus, least = m, p
		}
	}
	return surplus, least != nil
}

// caughtUp reports whether a responsive member has synced all committed entries.
func (n *Node) caughtUp(id ReplicaID) bool {
	p := n.progress[id]
	return p != nil && n.responsive(p) && p.match >= n.commit
}

// hasQuorumWith and hasQuorumWithout report whether the group would have a quorum of responsive voters after adding
// or removing a voter. Otherwise the change is not made.
func (n *Node) hasQuorumWith(added ReplicaID) bool {
	return n.responsiveVoters(added)+1 >= (len(n.voters())+1)/2+1
}

func (n *Node) hasQuorumWithout(removed Member) bool {
	if removed.Learner {
		return true
	}
	return n.responsiveVoters(removed.Replica) >= (len(n.voters())-1)/2+1
}

// replaceable reports whether a voter has been unresponsive for so long that a learner replaces it.
func (n *Node) replaceable(m Member) bool {
	return !m.Learner && m.Replica != n.cfg.Replica && n.cfg.ReplaceAfterTicks > 0 && n.progress[m.Replica].ticksSinceContact >= n.cfg.ReplaceAfterTicks
}

// retired reports whether a member is an unresponsive replica of a retired VM.
func (n *Node) retired(m Member) bool {
	return n.cfg.Retired != nil && n.cfg.Retired(m.VM) && !n.responsive(n.progress[m.Replica])
}

// responsive reports whether a member answered within the last election timeout.
func (n *Node) responsive(p *progress) bool { return p.ticksSinceContact < n.cfg.ElectionTicks }

// responsiveVoters returns the number of responsive voters other than except, the leader included.
func (n *Node) responsiveVoters(except ReplicaID) int {
	responsive := 0
	for _, id := range n.voters() {
		if id != except && (id == n.cfg.Replica || n.responsive(n.progress[id])) {
			responsive++
		}
	}
	return responsive
}
