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

// A group is formed once, when all VMs of initial_members were initialized and can be reached: each asks the
// others for their replica IDs, and the members are the same list on all of them. A VM that learns that a group
// exists joins it instead, so a VM that is initialized again after a lost disk does not form a second one.

type (
	// formQuestionEvent asks the control goroutine for this VM's part in forming a group.
	formQuestionEvent struct{ answer chan logcodec.FormAnswer }
	// formResultEvent brings the answers of the other first members. A VM that did not answer has an empty one.
	formResultEvent struct {
		answers map[model.VMName]logcodec.FormAnswer
	}
	// joinEvent asks the leader to add a replica.
	joinEvent struct {
		request logcodec.JoinRequest
		waiter  *waiter
	}
	joinResultEvent struct {
		group string
		err   error
	}
)

// contact asks other control VMs for a part in the group.
func (m *Module) contact() {
	if m.run.Err() != nil || m.starting {
		return
	}
	m.contacting = true
	if m.node == nil && len(m.identity.Initial) > 0 {
		go m.askToForm(m.others(m.identity.Initial))
		return
	}
	if m.node != nil && !m.cutOff() {
		m.contacting = false
		return
	}
	go m.askToJoin(logcodec.JoinRequest{Cluster: m.identity.Cluster, VM: m.identity.VM, Replica: m.identity.Replica})
}

func (m *Module) others(vms []model.VMName) []model.VMName {
	return slices.DeleteFunc(slices.Clone(vms), func(vm model.VMName) bool { return vm == m.identity.VM })
}

func (m *Module) call(to model.VMName, kind string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(m.run, m.options.callTimeout)
	defer cancel()
	return m.peers.Call(ctx, to, kernel.PeerMessage{Kind: kind, Payload: payload})
}

// logWaiting writes a line when the reason for waiting changes, not for each attempt.
func (m *Module) logWaiting(msg string, err error) {
	if err.Error() != m.waitingFor {
		m.waitingFor = err.Error()
		_ = level.Info(m.logger).Log("msg", msg, "err", err)
	}
}

func (m *Module) contactLater() { m.control.After(m.options.retry, contactEvent{}) }

// askToForm asks all other first members at once.
func (m *Module) askToForm(vms []model.VMName) {
	result := formResultEvent{map[model.VMName]logcodec.FormAnswer{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			var answer logcodec.FormAnswer
			if data, err := m.call(vm, kindForm, logcodec.EncodeFormRequest(m.ctx.Settings.Cluster)); err == nil {
				answer, _ = logcodec.DecodeFormAnswer(data) // A malformed answer counts as none.
			}
			mu.Lock()
			defer mu.Unlock()
			result.answers[vm] = answer
		})
	}
	wg.Wait()
	m.post(result)
}

// receiveForm answers a VM that wants to form the group.
func (m *Module) receiveForm(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	cluster, err := logcodec.DecodeFormRequest(payload)
	if err != nil {
		return nil, err
	}
	if cluster != m.ctx.Settings.Cluster {
		return nil, m.wrongCluster(cluster)
	}
	ev := formQuestionEvent{make(chan logcodec.FormAnswer, 1)}
	if err := m.control.PostWait(ctx, ev); err != nil {
		return nil, err
	}
	select {
	case a := <-ev.answer:
		return logcodec.EncodeFormAnswer(a), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.run.Done():
		return nil, m.run.Err()
	}
}

func (m *Module) wrongCluster(cluster string) error {
	return errs.New(errs.KindInvalid, "correct [vm] cluster or the addresses of the peers", "this VM belongs to %q, not to %q", m.ctx.Settings.Cluster, cluster)
}

func (m *Module) formAnswer() logcodec.FormAnswer {
	if m.identity.Group != "" {
		return logcodec.FormAnswer{Group: m.identity.Group, Members: m.identity.Members}
	}
	if len(m.identity.Initial) > 0 {
		return logcodec.FormAnswer{Replica: m.identity.Replica}
	}
	return logcodec.FormAnswer{} // This VM was not initialized; it joins.
}

// formResult forms the group if all first members are there, or joins one that exists.
func (m *Module) formResult(x formResultEvent) {
	if m.node != nil || m.starting {
		return
	}
	members := []consensus.Member{{VM: m.identity.VM, Replica: m.identity.Replica}}
	var missing []string
	if m.adopt(x.answers) {
		return
	}
	for vm, a := range x.answers {
		if a.Replica == "" {
			missing = append(missing, string(vm))
			continue
		}
		members = append(members, consensus.Member{VM: vm, Replica: a.Replica})
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		m.logWaiting("the control group is not formed yet", errs.New(errs.KindUnavailable, "run `chestnuttiller control init` and start the process on each of them",
			"waiting for %s of initial_members", strings.Join(missing, ", ")))
		m.contactLater()
		return
	}
	slices.SortFunc(members, func(a, b consensus.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	id := m.identity
	id.Members, id.Group = members, groupName(id.Cluster, members)
	_ = level.Info(m.logger).Log("msg", "forming the control group", "group", id.Group, "members", len(members))
	m.beginGroup(id)
}

// adopt takes part in a group that exists and reports whether there is one: as a first member if the group counts
// on this replica, and as a learner otherwise.
func (m *Module) adopt(answers map[model.VMName]logcodec.FormAnswer) bool {
	found := ""
	for _, a := range answers {
		if a.Group == "" {
			continue
		}
		found = a.Group
		if slices.ContainsFunc(a.Members, func(x consensus.Member) bool { return x.Replica == m.identity.Replica }) {
			id := m.identity
			id.Group, id.Members = a.Group, a.Members
			_ = level.Info(m.logger).Log("msg", "taking part in the control group that was formed", "group", id.Group)
			m.beginGroup(id)
			return true
		}
	}
	if found == "" {
		return false
	}
	_ = level.Info(m.logger).Log("msg", "a control group exists already; joining it", "group", found)
	m.identity.Initial = nil
	m.contact()
	return true
}

// beginGroup makes the membership durable before the node starts.
func (m *Module) beginGroup(id identity) {
	m.starting = true
	stored := consensus.Stored{}
	if len(id.Members) > 0 {
		// All first members start from the same committed entry.
		stored.State = consensus.HardState{Term: 1, Commit: 1}
		stored.Entries = []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.EntryMembers, Members: id.Members}}
	}
	m.disk.enqueue(beginTask{id, stored})
}

func (m *Module) begun(x begunEvent) {
	if m.run.Err() != nil {
		return
	}
	m.starting, m.contacting = false, false
	m.identity = x.identity
	m.startNode(x.stored)
	m.updateStatus()
}

// askToJoin asks the control VMs in turn, since only the leader can add a member.
func (m *Module) askToJoin(request logcodec.JoinRequest) {
	result := joinResultEvent{err: errs.New(errs.KindUnavailable, "name the control VMs as peers", "the settings name no other control VM")}
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

func (m *Module) joinResult(x joinResultEvent) {
	m.contacting = false
	if m.run.Err() != nil || m.starting {
		return
	}
	if x.err != nil {
		m.logWaiting("not yet added to the control group", x.err)
		if m.node == nil {
			m.contactLater()
		}
		return
	}
	if m.node != nil {
		return
	}
	_ = level.Info(m.logger).Log("msg", "added to the control group as a learner", "group", x.group)
	id := m.identity
	id.Group = x.group
	m.beginGroup(id)
}

// receiveJoin lets a leader add the replica of a VM.
func (m *Module) receiveJoin(ctx context.Context, from model.VMName, payload []byte) ([]byte, error) {
	request, err := logcodec.DecodeJoinRequest(payload)
	if err != nil {
		return nil, err
	}
	switch {
	case request.Cluster != m.ctx.Settings.Cluster:
		return nil, m.wrongCluster(request.Cluster)
	case request.VM != from:
		return nil, errs.New(errs.KindInvalid, "correct [vm] name", "VM %s asked to join as %s", from, request.VM)
	case !m.ctx.Settings.Discovers && !slices.Contains(m.controlVMs(), from):
		return nil, errs.New(errs.KindInvalid, "add the role control to [peer "+string(from)+"]", "the settings do not name %s as a control VM", from)
	}
	w := newWaiter()
	if err := m.control.PostWait(ctx, joinEvent{request, w}); err != nil {
		return nil, err
	}
	return m.wait(ctx, w, unknownProposal)
}

// join adds a learner. A replica that is a member already gets the same answer, so a lost answer can be asked for
// again.
func (m *Module) join(now time.Time, x joinEvent) {
	if !x.waiter.take() {
		return
	}
	if m.node == nil || m.node.Status().Role != consensus.Leader {
		x.waiter.finish(nil, m.notLeader())
		return
	}
	answer := logcodec.EncodeJoinAnswer(m.identity.Group)
	if _, ok := m.memberVMs()[x.request.Replica]; ok {
		x.waiter.finish(answer, nil)
		return
	}
	member := consensus.Member{Replica: x.request.Replica, VM: x.request.VM}
	pos, err := m.node.ProposeChange(now, consensus.Change{Kind: consensus.AddLearner, Member: member})
	if err != nil {
		x.waiter.finish(nil, m.explain(err))
		return
	}
	m.proposals[pos.Index] = proposal{term: pos.Term, waiter: x.waiter, answer: answer}
	m.flushLater()
}
