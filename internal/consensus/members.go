package consensus

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// membership is the member list from one log index on.
type membership struct {
	index   uint64
	members []Member
}

// members returns the list in force, which is the newest in the log even if it is not committed.
func (n *Node) members() []Member { return n.memberships[len(n.memberships)-1].members }

// membersAt returns the list in force at an index.
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

// compactMemberships keeps the list in force at the index as the oldest one.
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

// ProposeChange appends one membership change. It is refused while another one is not committed, and before
// the leader has committed an entry of its own term: an uncommitted change of an earlier leader could
// otherwise lead to two quorums that do not meet.
func (n *Node) ProposeChange(now time.Time, c Change) (Position, error) {
	if err := n.checkLeader(); err != nil {
		return Position{}, err
	}
	if n.changePending() || !n.committedInTerm() {
		return Position{}, errs.New(errs.KindUnavailable, "resend after a pause", "another membership change is not committed yet")
	}
	next, err := changedMembers(n.members(), c)
	if err != nil {
		return Position{}, err
	}
	if c.Kind == Remove && c.Member.Replica == n.cfg.Replica {
		return Position{}, errs.New(errs.KindConflict, "hand leadership over first", "the leader cannot remove itself")
	}
	n.now = unixNano(now)
	pos := n.appendOwn(Entry{Kind: EntryMembers, Members: next})
	n.lastChange = &c
	n.syncProgress()
	n.notice(Notice{Kind: NoticeMembers, Index: pos.Index, Replica: c.Member.Replica, Change: &c})
	n.broadcastAppend()
	return pos, nil
}

// changedMembers applies a change that adds or removes at most one voter.
func changedMembers(members []Member, c Change) ([]Member, error) {
	old, known := findMember(members, c.Member.Replica)
	switch {
	case c.Kind == AddLearner && known:
		return nil, errs.New(errs.KindConflict, "none is needed", "replica %s is a member already", c.Member.Replica)
	case c.Kind != AddLearner && !known:
		return nil, errs.New(errs.KindNotFound, "check the list of members", "replica %s is not a member", c.Member.Replica)
	case c.Kind == Promote && !old.Learner:
		return nil, errs.New(errs.KindConflict, "none is needed", "replica %s votes already", c.Member.Replica)
	}
	next := slices.Clone(members)
	switch c.Kind {
	case AddLearner:
		// Learners do not count for quorums, so an earlier learner of the same VM can go in the same step.
		next = slices.DeleteFunc(next, func(m Member) bool { return m.Learner && m.VM == c.Member.VM })
		return append(next, Member{Replica: c.Member.Replica, VM: c.Member.VM, Learner: true}), nil
	case Promote:
		for i := range next {
			if next[i].Replica == c.Member.Replica {
				next[i].Learner = false
			}
		}
		return next, nil
	}
	return slices.DeleteFunc(next, func(m Member) bool { return m.Replica == c.Member.Replica }), nil
}

// maintainMembers lets the leader promote a learner that has caught up, or remove the old replica of a VM whose
// new replica votes, or a silent replica of a VM that is no longer a control VM.
func (n *Node) maintainMembers() {
	if n.role != Leader || n.changePending() || !n.committedInTerm() || n.handover != "" || n.diskFull {
		return
	}
	if c, ok := n.nextChange(); ok {
		_, _ = n.ProposeChange(time.Unix(0, n.now), c) // A change that cannot be made now is tried again.
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
		replaced := !m.Learner && newest[m.VM] != m.Replica
		surplus := n.lost(m) && len(n.voters()) > n.cfg.MaxVoters
		if m.Replica != n.cfg.Replica && (replaced || surplus || n.retired(m)) && n.quorumHeardWithout(m) {
			return Change{Kind: Remove, Member: m}, true
		}
	}
	for _, m := range members {
		_, replaces := newest[m.VM]
		room := replaces || n.cfg.MaxVoters == 0 || len(n.voters()) < n.cfg.MaxVoters || slices.ContainsFunc(members, n.lost)
		if m.Learner && room && n.caughtUp(m.Replica) && n.quorumHeardWith(m.Replica) {
			return Change{Kind: Promote, Member: m}, true
		}
	}
	return Change{}, false
}

// caughtUp reports whether a member has synced everything that is committed.
func (n *Node) caughtUp(id ReplicaID) bool {
	p := n.progress[id]
	return p != nil && n.heard(p) && p.match >= n.commit
}

// quorumHeardWith and quorumHeardWithout keep a change from being made when the new group would have no quorum
// among the members that are heard from.
func (n *Node) quorumHeardWith(added ReplicaID) bool {
	return n.heardVoters(added)+1 >= (len(n.voters())+1)/2+1
}

func (n *Node) quorumHeardWithout(removed Member) bool {
	if removed.Learner {
		return true
	}
	return n.heardVoters(removed.Replica) >= (len(n.voters())-1)/2+1
}

// lost reports whether a voter has been silent for so long that a learner takes its place.
func (n *Node) lost(m Member) bool {
	return !m.Learner && m.Replica != n.cfg.Replica && n.cfg.ReplaceTicks > 0 && n.progress[m.Replica].silentTicks >= n.cfg.ReplaceTicks
}

func (n *Node) retired(m Member) bool {
	return n.cfg.Retired != nil && n.cfg.Retired(m.VM) && !n.heard(n.progress[m.Replica])
}

// heard reports whether a member answered within the last election timeout.
func (n *Node) heard(p *progress) bool { return p.silentTicks < n.cfg.ElectionTicks }

// heardVoters counts the voters that are heard from, the leader included.
func (n *Node) heardVoters(except ReplicaID) int {
	heard := 0
	for _, id := range n.voters() {
		if id != except && (id == n.cfg.Replica || n.heard(n.progress[id])) {
			heard++
		}
	}
	return heard
}
