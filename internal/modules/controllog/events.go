package controllog

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Events of the control goroutine.
type (
	tickEvent struct{}
	// flushEvent processes the output of all events queued before it together, so that proposals share messages
	// and syncs.
	flushEvent   struct{}
	messageEvent struct {
		from    model.VMName
		group   string
		message consensus.Message
	}
	contactEvent       struct{}
	retryReserveEvent  struct{}
	retrySnapshotEvent struct{}
)

// HandleEvent implements kernel.Controller.
func (m *Module) HandleEvent(now time.Time, ev kernel.Event) {
	switch x := ev.(type) {
	case tickEvent:
		m.tick(now)
	case flushEvent:
		m.flushQueued = false
		m.flush()
	case messageEvent:
		m.step(x)
	case proposeEvent:
		m.propose(now, x)
	case readEvent:
		m.read(x)
	case joinEvent:
		m.join(now, x)
	case formRequestEvent:
		x.answer <- m.formAnswer()
	case formResultEvent:
		m.formResult(x)
	case joinResultEvent:
		m.joinResult(x)
	case leaveEvent:
		m.leave(x)
	case contactEvent:
		m.contactControlVMs()
	default:
		m.handleDisk(ev)
	}
}

func (m *Module) handleDisk(ev kernel.Event) {
	switch x := ev.(type) {
	case persistedEvent:
		if m.node != nil {
			m.node.Persisted(x.id)
			m.flushLater()
		}
	case snapshotEvent:
		m.snapshotDone(x)
	case diskFullEvent:
		m.handleDiskFull(x)
	case diskFailedEvent:
		// Heartbeats of a leader that cannot store entries would keep the others from electing a working one.
		m.node = nil
		m.updateStatus()
	case retryReserveEvent:
		if m.isDiskFull {
			m.disk.enqueue(reserveTask{})
			m.control.After(m.options.retry, retryReserveEvent{})
		}
	case retrySnapshotEvent:
		m.savingSnapshot, m.isSnapshotDue = false, true
		m.flushLater()
	case groupStoredEvent:
		m.groupStored(x)
	}
}

func (m *Module) tick(now time.Time) {
	if m.runCtx.Err() != nil {
		return
	}
	m.control.After(m.options.tick, tickEvent{})
	if m.node == nil {
		return
	}
	m.node.Tick(now)
	m.flushLater()
	if m.node.Status().Leader == "" {
		m.ticksWithoutLeader++
	} else {
		m.ticksWithoutLeader = 0
	}
	if m.needsRejoin() && !m.contacting {
		m.contacting = true
		m.control.After(m.options.retry, contactEvent{})
	}
}

// rejoinTimeouts is the time without a leader after which a voter asks to join again, in minimum election timeouts. An election
// usually ends before it.
const rejoinTimeouts = 4

// needsRejoin reports whether the replica has no leader and may not be a member. The change that added a learner may have been
// rolled back; a voter may have been replaced, which it is not informed of, and the members ignore its elections. The leader
// changes nothing for a replica that is a member.
func (m *Module) needsRejoin() bool {
	s := m.node.Status()
	return s.Leader == "" && (!isVoter(s) || m.ticksWithoutLeader >= rejoinTimeouts*m.options.electionTicks)
}

// isVoter reports whether the replica of a status is a voter. It is false for a replica that is not in the member list.
func isVoter(s consensus.Status) bool {
	for _, member := range s.Members {
		if member.Replica == s.Replica {
			return !member.Learner
		}
	}
	return false
}

// handleMessage decodes a message on the goroutine of the transport. The message is dropped if the event queue is
// full; the protocol sends it again.
func (m *Module) handleMessage(_ context.Context, from model.VMName, payload []byte) ([]byte, error) {
	group, message, err := logcodec.DecodeMessage(payload)
	if err != nil {
		return nil, err
	}
	m.control.Post(messageEvent{from, group, message})
	return nil, nil
}

func (m *Module) step(ev messageEvent) {
	if m.node == nil {
		return
	}
	if ev.group != m.identity.Group {
		if !m.loggedForeignVMs[ev.from] {
			m.loggedForeignVMs[ev.from] = true
			_ = level.Error(m.logger).Log("msg", "refusing messages of another control group; move the control folder of the VM in the wrong group away", "from", ev.from, "group", ev.group, "own", m.identity.Group)
		}
		return
	}
	m.senderVMs[ev.message.From] = ev.from
	m.node.Step(ev.message)
	m.flushLater()
}

// flushLater processes the output of the node after the events that are already queued.
func (m *Module) flushLater() {
	if m.flushQueued {
		return
	}
	if m.control.Post(flushEvent{}) {
		m.flushQueued = true
		return
	}
	m.flush()
}

// flush processes the output of the node.
func (m *Module) flush() {
	for m.node != nil && m.node.HasReady() {
		rd := m.node.Ready()
		if rd.Write != nil {
			m.disk.enqueue(rd.Write)
		}
		m.send(rd.Messages)
		if rd.Restore != nil {
			m.restore(rd.Restore)
		}
		m.apply(rd.Committed)
		m.answerReads(rd.Reads)
		m.node.Advance(rd)
		m.report(rd.Notices)
	}
	if m.node == nil {
		return
	}
	m.maybeSnapshot()
	m.updateStatus() // Whoever waits for the end of a transfer reads the status next.
	m.endLeaderRequests()
	m.finishLeaving()
}

func (m *Module) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	vms := m.memberVMs()
	for _, message := range messages {
		vm, ok := vms[message.To]
		if !ok {
			vm, ok = m.senderVMs[message.To]
		}
		if ok {
			m.peers.Send(vm, kernel.PeerMessage{Kind: kindConsensus, Payload: logcodec.EncodeMessage(m.identity.Group, message)})
		}
	}
}

func (m *Module) memberVMs() map[consensus.ReplicaID]model.VMName {
	vms := map[consensus.ReplicaID]model.VMName{}
	for _, member := range m.node.Status().Members {
		vms[member.Replica] = member.VM
	}
	return vms
}

func (m *Module) restore(s *consensus.Snapshot) {
	if err := m.machine.Restore(s.Data); err != nil {
		m.ctx.Fatal(errs.Wrap(err, errs.KindCorrupt, rejoinRemedy, "the state snapshot at entry %d cannot be restored", s.Index))
	}
	m.lastSnapshotIndex, m.bytesSinceSnapshot = s.Index, 0
	m.skipProposals(s.Index)
}

func (m *Module) apply(entries []consensus.Entry) {
	for i := range entries {
		e := &entries[i]
		var result []byte
		if e.Kind == consensus.EntryData {
			result = m.machine.Apply(e.Index, time.Unix(0, e.At), e.Data)
		}
		m.bytesSinceSnapshot += e.Size()
		m.finishProposal(e, result)
	}
}

// maybeSnapshot stores a state snapshot once enough entries have been applied, by their number or by their size. Only a
// snapshot lets segments of the log be removed, so the size bounds the space that the log takes on the disk.
func (m *Module) maybeSnapshot() {
	applied := m.node.Status().Applied
	isDue := m.isSnapshotDue || applied >= m.lastSnapshotIndex+m.options.snapshotEntries || m.bytesSinceSnapshot >= m.options.snapshotBytes
	if m.savingSnapshot || !isDue || m.node.Restoring() {
		return
	}
	m.lastSnapshotIndex, m.bytesSinceSnapshot, m.isSnapshotDue = applied, 0, false
	data, err := m.machine.Snapshot()
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "state snapshot not stored because the state cannot be encoded; the control log grows until the next attempt", "err", err)
		return
	}
	m.savingSnapshot = true
	m.disk.enqueue(snapshotTask{m.node.NewSnapshot(data)})
}

func (m *Module) snapshotDone(ev snapshotEvent) {
	if !ev.saved {
		if !m.snapshotDelayed {
			_ = level.Error(m.logger).Log("msg", "state snapshot not stored because the disk is full; it is tried again until there is space", "index", ev.snapshot.Index)
		}
		m.snapshotDelayed = true
		m.control.After(m.options.retry, retrySnapshotEvent{}) // A full log takes no further entries that would lead to the next snapshot.
		return
	}
	m.savingSnapshot, m.snapshotDelayed = false, false
	if m.node == nil {
		return
	}
	m.node.SnapshotSaved(ev.snapshot)
	_ = level.Info(m.logger).Log("msg", "state snapshot stored", "index", ev.snapshot.Index, "bytes", len(ev.snapshot.Data))
}

func (m *Module) handleDiskFull(ev diskFullEvent) {
	if ev.err != nil {
		_ = level.Error(m.logger).Log("msg", "control log refuses new entries because the disk is full", "err", ev.err)
		m.control.After(m.options.retry, retryReserveEvent{})
	} else {
		_ = level.Info(m.logger).Log("msg", "control log accepts new entries again; the disk has free space")
	}
	m.isDiskFull = ev.err != nil
	m.metrics.diskFull.Update(gaugeValue(m.isDiskFull))
	if m.node != nil {
		m.node.SetDiskFull(m.isDiskFull)
	}
}

// endLeaderRequests ends the reads of a leadership that has ended, and the wait for a leadership transfer that has
// succeeded.
func (m *Module) endLeaderRequests() {
	s := m.node.Status()
	leading := s.Role == consensus.Leader
	m.dropReads(s.Term, leading)
	if m.transferDone != nil && !leading && s.Leader != "" {
		close(m.transferDone)
		m.transferDone = nil
	}
}

// report logs the notices of the node, counts elections, and ends the wait for a leadership transfer that was aborted.
func (m *Module) report(notices []consensus.Notice) {
	for _, notice := range notices {
		logger := level.Info(m.logger)
		switch notice.Kind {
		case consensus.NoticeQuorumLost, consensus.NoticeHigherTerm, consensus.NoticeTransferAborted:
			logger = level.Warn(m.logger)
		case consensus.NoticeElected:
			m.metrics.elections.Inc(1)
		}
		if notice.Kind == consensus.NoticeTransferAborted && m.transferDone != nil {
			close(m.transferDone)
			m.transferDone = nil
		}
		fields := []any{"msg", string(notice.Kind), "term", notice.Term}
		if notice.Index > 0 {
			fields = append(fields, "index", notice.Index)
		}
		if notice.Change != nil {
			fields = append(fields, "change", notice.Change.Kind, "replica", notice.Change.Member.Replica, "replica_vm", notice.Change.Member.VM)
		} else if notice.Replica != "" {
			fields = append(fields, "replica", notice.Replica, "replica_vm", m.vmOf(notice.Replica))
		}
		_ = log.With(logger, fields...).Log()
	}
}

func (m *Module) vmOf(id consensus.ReplicaID) model.VMName {
	if vm, ok := m.memberVMs()[id]; ok {
		return vm
	}
	return m.senderVMs[id]
}
