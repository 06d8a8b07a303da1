package consensus

import (
	"slices"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

const (
	// leaveTimeouts is how long the leader tries to replace a voter that is about to end, in minimum election timeouts. The VM may be back
	// later, and is then to keep its vote.
	leaveTimeouts = 2
	// learnerExpiryFactor times ReplaceAfterTicks is the silence after which a learner is removed. One that is back asks to join again.
	learnerExpiryFactor = 30
)

// ReplaceVoter makes a learner vote in place of a voter that is about to end, which becomes a learner. The changes have been made once
// IsLeaving is false and the replica is no voter. The errors have the kind not_leader on any other replica, conflict for the leader
// itself, and not_found if no learner is responsive.
func (n *Node) ReplaceVoter(id ReplicaID) error {
	if err := n.checkLeader(); err != nil {
		return err
	}
	switch {
	case !n.isVoter(id):
		return nil
	case id == n.cfg.Replica:
		return errs.New(errs.KindConflict, "transfer leadership first", "the leader cannot replace itself")
	case n.cfg.MaxVoters == 0 || !slices.ContainsFunc(n.members(), n.responsiveLearner):
		return errs.New(errs.KindNotFound, "start another control VM", "no learner is responsive that could vote in place of replica %s", id)
	}
	n.progress[id].leavingTicks = leaveTimeouts * n.cfg.ElectionTicks
	n.maintainMembers()
	return nil
}

// IsLeaving reports whether this leader is replacing a voter that is about to end.
func (n *Node) IsLeaving(id ReplicaID) bool {
	p := n.progress[id]
	return p != nil && p.leavingTicks > 0 && (n.isVoter(id) || n.changePending())
}

// leavingVoter reports whether a member is a voter that is about to end.
func (n *Node) leavingVoter(m Member) bool {
	return !m.Learner && m.Replica != n.cfg.Replica && n.progress[m.Replica].leavingTicks > 0
}

// responsiveLearner reports whether a member is a responsive learner. It may not have caught up yet, or not have answered a leader that was
// just elected.
func (n *Node) responsiveLearner(m Member) bool {
	return m.Learner && n.responsive(n.progress[m.Replica])
}

// promotable reports whether a member is a learner that may vote now.
func (n *Node) promotable(m Member) bool {
	return m.Learner && n.caughtUp(m.Replica) && n.progress[m.Replica].leavingTicks == 0
}

// shortenLeave lets a voter that was demoted because it is about to end be promoted again after an election timeout. Its process has
// ended by then, and may be back.
func (n *Node) shortenLeave(c *Change) {
	if p := n.progress[c.Member.Replica]; p != nil && c.Kind == Demote {
		p.leavingTicks = min(p.leavingTicks, n.cfg.ElectionTicks)
	}
}

// expired reports whether a member is a learner that has been silent for so long that its VM counts as removed.
func (n *Node) expired(m Member) bool {
	return m.Learner && n.cfg.ReplaceAfterTicks > 0 && n.progress[m.Replica].ticksSinceContact >= learnerExpiryFactor*n.cfg.ReplaceAfterTicks
}
