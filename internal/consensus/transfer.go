package consensus

import "github.com/chestnuttiller/chestnuttiller/internal/errs"

// TransferLeadership transfers leadership to the responsive voter with the most synced entries. The leader refuses
// proposals during the transfer, which is aborted after an election timeout.
func (n *Node) TransferLeadership() error {
	return n.transferTo(func(p *progress) bool { return !p.diskFull && p.leavingTicks == 0 })
}

// transferTo transfers leadership to one of the voters that a filter accepts.
func (n *Node) transferTo(accepts func(*progress) bool) error {
	if n.role != Leader {
		return errs.New(errs.KindNotLeader, "send the request to the leader", "this replica is not the leader of the control group")
	}
	if n.transferTarget != "" {
		return nil
	}
	var best *progress
	n.eachProgress(func(p *progress) {
		if n.isVoter(p.id) && n.responsive(p) && accepts(p) && (best == nil || p.match > best.match) {
			best = p
		}
	})
	if best == nil {
		return errs.New(errs.KindUnavailable, "start another control VM", "no other voter is responsive")
	}
	n.transferTarget, n.transferTicks = best.id, 0
	n.addNotice(Notice{Kind: NoticeTransfer, Replica: best.id})
	n.sendEntries(best)
	n.continueTransfer(best)
	return nil
}

// continueTransfer lets the transfer target start an election once it has synced the whole log.
func (n *Node) continueTransfer(p *progress) {
	if n.role == Leader && n.transferTarget == p.id && p.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: p.id})
	}
}

func (n *Node) tickTransfer() {
	if n.transferTarget == "" {
		if n.diskStalled() {
			n.addNotice(Notice{Kind: NoticeDiskStalled})
		}
		if n.diskFull || n.diskStalled() {
			// A voter that has not answered yet may have a full disk as well, and leadership would move on at once. Without a
			// transfer target the leader keeps serving reads.
			_ = n.transferTo(func(p *progress) bool { return p.hasAnswered && !p.diskFull })
		}
		return
	}
	n.transferTicks++
	if n.transferTicks >= n.cfg.ElectionTicks {
		n.addNotice(Notice{Kind: NoticeTransferAborted, Replica: n.transferTarget})
		n.transferTarget = ""
	}
}
