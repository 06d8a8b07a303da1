package controllog

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// leaveTimeout limits the wait of a voter that is about to end for a learner to vote in its place: an election of the next leader,
	// two changes of members (memberChangeTime) and some pauses.
	leaveTimeout = 1500 * time.Millisecond
	// leavePause is the pause before the next request to the leader, after one that failed or while no leader is known.
	leavePause = 50 * time.Millisecond
)

// leaveEvent requests that the leader replace a voter that is about to end.
type leaveEvent struct {
	replica consensus.ReplicaID
	waiter  *waiter
}

// passVote lets a learner vote in place of this replica, if there is one and this replica does not lead.
func (m *Module) passVote(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	began := time.Now()
	for {
		leader, request, canPass := m.voteToPass(ctx)
		if !canPass {
			return
		}
		err := m.requestLeave(ctx, leader, request)
		if err == nil {
			_ = level.Info(m.logger).Log("msg", "this VM ends without a vote in the control group", "leader", leader, "took_ms", time.Since(began).Milliseconds())
			return
		}
		if errs.KindOf(err) != errs.KindNotFound {
			select {
			case <-time.After(leavePause):
				continue
			case <-ctx.Done():
			}
		}
		_ = level.Warn(m.logger).Log("msg", "this VM ends as a voter of the control group", "leader", leader, "took_ms", time.Since(began).Milliseconds(), "err", err)
		return
	}
}

// voteToPass returns the leader, or "" if none is known, and the request to it. It reports whether this replica does not lead and the group
// has a learner. Whether this replica is a voter is for the leader to say, which may have promoted it just now.
func (m *Module) voteToPass(ctx context.Context) (leader model.VMName, request logcodec.JoinRequest, canPass bool) {
	_ = m.control.Do(ctx, func(time.Time) { // After an error nothing is passed on.
		if m.node == nil {
			return
		}
		s := m.node.Status()
		leader = m.vmOf(s.Leader)
		// A request to leave has the content of one to join.
		request = logcodec.JoinRequest{Cluster: m.identity.Cluster, VM: m.identity.VM, Replica: m.identity.Replica}
		hasLearner := slices.ContainsFunc(s.Members, func(member consensus.Member) bool { return member.Learner })
		canPass = hasLearner && s.Role != consensus.Leader
	})
	return leader, request, canPass
}

// requestLeave asks the leader to replace this replica.
func (m *Module) requestLeave(ctx context.Context, leader model.VMName, request logcodec.JoinRequest) error {
	if leader == "" {
		return errs.New(errs.KindNotLeader, "no action is needed", "no leader of the control group is known")
	}
	_, err := m.peers.Call(ctx, leader, kernel.PeerMessage{Kind: kindLeave, Payload: logcodec.EncodeJoinRequest(request)})
	return err
}

// handleLeaveRequest answers the request of a voter that is about to end, once a learner votes in its place.
func (m *Module) handleLeaveRequest(ctx context.Context, from model.VMName, payload []byte) ([]byte, error) {
	request, err := logcodec.DecodeJoinRequest(payload)
	if err != nil {
		return nil, err
	}
	if request.Cluster != m.ctx.Settings.Cluster {
		return nil, m.wrongCluster(request.Cluster)
	}
	if request.VM != from {
		return nil, errs.New(errs.KindInvalid, "correct [vm] name", "VM %s sent a leave request as VM %s", from, request.VM)
	}
	w := newWaiter()
	if err := m.control.PostWait(ctx, leaveEvent{request.Replica, w}); err != nil {
		return nil, err
	}
	return m.wait(ctx, w, unknownOutcome)
}

func (m *Module) leave(ev leaveEvent) {
	if !ev.waiter.accept() {
		return
	}
	if m.node == nil {
		ev.waiter.finish(nil, m.notLeader())
		return
	}
	if err := m.node.ReplaceVoter(ev.replica); err != nil {
		ev.waiter.finish(nil, m.withLeader(err))
		return
	}
	if earlier := m.leaving[ev.replica]; earlier != nil {
		earlier.finish(nil, errs.New(errs.KindConflict, "no action is needed", "replica %s has sent a later leave request", ev.replica))
	}
	m.leaving[ev.replica] = ev.waiter
	m.flushLater()
}

// finishLeaving answers the requests of voters that have been replaced, or that are not being replaced any more.
func (m *Module) finishLeaving() {
	if len(m.leaving) == 0 {
		return
	}
	s := m.node.Status()
	for id, w := range m.leaving {
		votes := slices.ContainsFunc(s.Members, func(member consensus.Member) bool { return member.Replica == id && !member.Learner })
		var err error
		switch {
		case s.Role != consensus.Leader:
			err = m.notLeader()
		case !votes && !s.ChangePending:
		case m.node.IsLeaving(id):
			continue
		default:
			err = errs.New(errs.KindUnavailable, "no action is needed", "no learner could be made a voter in place of replica %s in time", id)
		}
		delete(m.leaving, id)
		w.finish(nil, err)
	}
}
