package controllog

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// A group is formed once, when all VMs of initial_members are initialized and reachable: each VM requests the replica
// IDs of the others, so that all of them have the same member list. If a group exists already, the VM joins it
// instead, so a VM that is initialized again after a lost disk does not form a second group.

type (
	// formRequestEvent requests this VM's FormAnswer from the control goroutine.
	formRequestEvent struct{ answer chan logcodec.FormAnswer }
	// formResultEvent carries the answers of the other first members. The answer of a VM that did not reply or is not
	// initialized is empty.
	formResultEvent struct {
		answers map[model.VMName]logcodec.FormAnswer
	}
	// joinEvent requests that the leader add a replica.
	joinEvent struct {
		request logcodec.JoinRequest
		waiter  *waiter
	}
	// joinResultEvent carries the outcome of requestJoin: the group that this VM has joined, or the last error.
	joinResultEvent struct {
		group string
		err   error
	}
)

// contactControlVMs starts an attempt to form a group with the other first members, or to join an existing group. The
// requests run on another goroutine, which posts the results as a formResultEvent or joinResultEvent.
func (m *Module) contactControlVMs() {
	if m.runCtx.Err() != nil || m.storingGroup {
		return
	}
	m.contacting = true
	if m.node == nil && len(m.identity.Initial) > 0 {
		go m.requestForm(m.otherVMs(m.identity.Initial))
		return
	}
	if m.node != nil && !m.needsRejoin() {
		m.contacting = false
		return
	}
	go m.requestJoin(logcodec.JoinRequest{Cluster: m.identity.Cluster, VM: m.identity.VM, Replica: m.identity.Replica})
}

func (m *Module) otherVMs(vms []model.VMName) []model.VMName {
	return slices.DeleteFunc(slices.Clone(vms), func(vm model.VMName) bool { return vm == m.identity.VM })
}

func (m *Module) call(to model.VMName, kind string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(m.runCtx, m.options.callTimeout)
	defer cancel()
	return m.peers.Call(ctx, to, kernel.PeerMessage{Kind: kind, Payload: payload})
}

// logWaiting logs the reason for waiting when it changes, not on each attempt.
func (m *Module) logWaiting(msg string, err error) {
	if err.Error() != m.loggedWaitReason {
		m.loggedWaitReason = err.Error()
		_ = level.Info(m.logger).Log("msg", msg, "err", err)
	}
}

func (m *Module) contactAfterRetry() { m.control.After(m.options.retry, contactEvent{}) }

// requestForm requests the answers of all other first members in parallel.
func (m *Module) requestForm(vms []model.VMName) {
	result := formResultEvent{map[model.VMName]logcodec.FormAnswer{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			var answer logcodec.FormAnswer
			if data, err := m.call(vm, kindForm, logcodec.EncodeFormRequest(m.ctx.Settings.Cluster)); err == nil {
				answer, _ = logcodec.DecodeFormAnswer(data) // A malformed answer counts as an empty one.
			}
			mu.Lock()
			defer mu.Unlock()
			result.answers[vm] = answer
		})
	}
	wg.Wait()
	m.post(result)
}

// handleFormRequest answers the request of a VM to form the group. The answer is made on the control goroutine.
func (m *Module) handleFormRequest(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	cluster, err := logcodec.DecodeFormRequest(payload)
	if err != nil {
		return nil, err
	}
	if cluster != m.ctx.Settings.Cluster {
		return nil, m.wrongCluster(cluster)
	}
	ev := formRequestEvent{make(chan logcodec.FormAnswer, 1)}
	if err := m.control.PostWait(ctx, ev); err != nil {
		return nil, err
	}
	select {
	case a := <-ev.answer:
		return logcodec.EncodeFormAnswer(a), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.runCtx.Done():
		return nil, m.runCtx.Err()
	}
}

func (m *Module) wrongCluster(cluster string) error {
	return errs.New(errs.KindInvalid, "correct [vm] cluster or the addresses of the peers", "this VM belongs to cluster %q, not to cluster %q", m.ctx.Settings.Cluster, cluster)
}

// formAnswer describes this VM to another first member: the group that it belongs to, or else its replica ID.
func (m *Module) formAnswer() logcodec.FormAnswer {
	if m.identity.Group != "" {
		return logcodec.FormAnswer{Group: m.identity.Group, Members: m.identity.Members}
	}
	if len(m.identity.Initial) > 0 {
		return logcodec.FormAnswer{Replica: m.identity.Replica}
	}
	return logcodec.FormAnswer{} // This VM is not initialized and joins an existing group.
}

// formResult forms the group if all first members have answered with their replica IDs, or joins an existing group.
func (m *Module) formResult(ev formResultEvent) {
	if m.node != nil || m.storingGroup {
		return
	}
	members := []consensus.Member{{VM: m.identity.VM, Replica: m.identity.Replica}}
	var missing []string
	if m.joinExisting(ev.answers) {
		return
	}
	for vm, answer := range ev.answers {
		if answer.Replica == "" {
			missing = append(missing, string(vm))
			continue
		}
		members = append(members, consensus.Member{VM: vm, Replica: answer.Replica})
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		m.logWaiting("waiting to form the control group", errs.New(errs.KindUnavailable, "run `chestnuttiller control init` and start the process on each of them",
			"%s of initial_members did not answer or are not initialized", strings.Join(missing, ", ")))
		m.contactAfterRetry()
		return
	}
	slices.SortFunc(members, func(a, b consensus.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	id := m.identity
	id.Members, id.Group = members, groupName(id.Cluster, members)
	_ = level.Info(m.logger).Log("msg", "forming the control group", "group", id.Group, "members", len(members))
	m.storeGroup(id)
}

// joinExisting joins an existing group: as a first member if this replica is one of its first members, and as a
// learner otherwise. It reports whether there is an existing group.
func (m *Module) joinExisting(answers map[model.VMName]logcodec.FormAnswer) bool {
	found := ""
	for _, answer := range answers {
		if answer.Group == "" {
			continue
		}
		found = answer.Group
		if slices.ContainsFunc(answer.Members, func(member consensus.Member) bool { return member.Replica == m.identity.Replica }) {
			id := m.identity
			id.Group, id.Members = answer.Group, answer.Members
			_ = level.Info(m.logger).Log("msg", "joining the control group that the other first members have formed", "group", id.Group)
			m.storeGroup(id)
			return true
		}
	}
	if found == "" {
		return false
	}
	_ = level.Info(m.logger).Log("msg", "a control group exists already; joining it as a learner", "group", found)
	m.identity.Initial = nil // contactControlVMs then requests to join.
	m.contactControlVMs()
	return true
}

// storeGroup makes the membership durable before the node starts.
func (m *Module) storeGroup(id identity) {
	m.storingGroup = true
	stored := consensus.Stored{}
	if len(id.Members) > 0 {
		// All first members start from the same committed entry.
		stored.State = consensus.HardState{Term: 1, Commit: 1}
		stored.Entries = []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.EntryMembers, Members: id.Members}}
	}
	m.disk.enqueue(storeGroupTask{id, stored})
}

func (m *Module) groupStored(ev groupStoredEvent) {
	if m.runCtx.Err() != nil {
		return
	}
	m.storingGroup, m.contacting = false, false
	m.identity = ev.identity
	m.startNode(ev.stored)
	m.updateStatus()
}

// requestJoin sends the join request to the control VMs one after the other until one accepts it, since only the leader
// can add a member.
func (m *Module) requestJoin(request logcodec.JoinRequest) {
	result := joinResultEvent{err: errs.New(errs.KindUnavailable, "list the control VMs as peers", "the settings list no other control VM")}
	for _, vm := range m.controlVMs() {
		data, err := m.call(vm, kindJoin, logcodec.EncodeJoinRequest(request))
		if err == nil {
			result.group, err = logcodec.DecodeJoinAnswer(data)
		}
		result.err = err
		if err == nil {
			break
		}
	}
	m.post(result)
}

func (m *Module) joinResult(ev joinResultEvent) {
	m.contacting = false
	if m.runCtx.Err() != nil || m.storingGroup {
		return
	}
	if ev.err != nil && m.node != nil {
		m.logWaiting("no leader of the control group is known; asking to be added again in case this replica was removed", ev.err)
		return
	}
	if ev.err != nil {
		m.logWaiting("waiting to be added to the control group", ev.err)
		m.contactAfterRetry()
		return
	}
	if m.node != nil {
		return
	}
	_ = level.Info(m.logger).Log("msg", "this VM was added to the control group as a learner", "group", ev.group)
	id := m.identity
	id.Group = ev.group
	m.storeGroup(id)
}

// handleJoinRequest answers the request of a VM to add its replica, which only the leader can do.
func (m *Module) handleJoinRequest(ctx context.Context, from model.VMName, payload []byte) ([]byte, error) {
	request, err := logcodec.DecodeJoinRequest(payload)
	if err != nil {
		return nil, err
	}
	switch {
	case request.Cluster != m.ctx.Settings.Cluster:
		return nil, m.wrongCluster(request.Cluster)
	case request.VM != from:
		return nil, errs.New(errs.KindInvalid, "correct [vm] name", "VM %s sent a join request as VM %s", from, request.VM)
	case !m.ctx.Settings.DiscoversPeers && !slices.Contains(m.controlVMs(), from):
		return nil, errs.New(errs.KindInvalid, "add the role control to [peer "+string(from)+"]", "the settings do not list %s as a control VM", from)
	}
	w := newWaiter()
	if err := m.control.PostWait(ctx, joinEvent{request, w}); err != nil {
		return nil, err
	}
	return m.wait(ctx, w, unknownOutcome)
}

// join adds a learner. A replica that is already a member gets the same answer, so a request whose answer was lost can
// be sent again.
func (m *Module) join(now time.Time, ev joinEvent) {
	if !ev.waiter.accept() {
		return
	}
	if m.node == nil || m.node.Status().Role != consensus.Leader {
		ev.waiter.finish(nil, m.notLeader())
		return
	}
	answer := logcodec.EncodeJoinAnswer(m.identity.Group)
	if _, ok := m.memberVMs()[ev.request.Replica]; ok {
		ev.waiter.finish(answer, nil)
		return
	}
	member := consensus.Member{Replica: ev.request.Replica, VM: ev.request.VM}
	id, err := m.node.ProposeChange(now, consensus.Change{Kind: consensus.AddLearner, Member: member})
	if err != nil {
		ev.waiter.finish(nil, m.withLeader(err))
		return
	}
	m.proposals[id.Index] = proposal{term: id.Term, waiter: ev.waiter, answer: answer}
	m.flushLater()
}
