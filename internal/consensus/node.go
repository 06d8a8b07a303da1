package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Node is one replica of the log. It has no locks, so its methods must not be called concurrently.
type Node struct {
	cfg    Config
	role   Role
	term   uint64
	vote   ReplicaID
	leader ReplicaID

	log         entryLog
	memberships []membership
	snapshot    *Snapshot
	commit      uint64
	applied     uint64
	// stable is the last index that is synced. Entries are applied only up to it, so that a snapshot never covers
	// entries that the local log does not hold.
	stable uint64

	// written is the last index that Ready returned in a write, writtenState the state of the last write; pending
	// are the writes that Persisted has not reported yet.
	written       uint64
	writtenState  HardState
	persistedTerm uint64
	pending       []pendingWrite
	lastWrite     WriteID
	// unsavedSnapshot was received and is not part of a write yet; restoring blocks applying until it is synced.
	unsavedSnapshot *Snapshot
	restoring       bool
	diskFull        bool
	// pendingWriteTicks counts the ticks during which a write was pending, since the last one was reported.
	pendingWriteTicks int
	// writeAtTick is the last write at the last tick, and writeBefore that at the tick before.
	writeAtTick, writeBefore WriteID

	electionElapsed int
	electionTimeout int
	// lastLeader is the last leader that this replica has followed, and leaderSilence the number of ticks since its last message.
	lastLeader    ReplicaID
	leaderSilence int
	now           int64
	votes         map[ReplicaID]bool
	incoming      *incomingSnapshot

	// The following fields are used by a leader only.
	progress         map[ReplicaID]*progress
	heartbeatElapsed int
	// unappliedBytes is the size of the entries of the leader's own term that are not applied yet.
	unappliedBytes int
	transferTarget ReplicaID
	transferTicks  int
	lastChange     *Change
	round          uint64
	confirmedRound uint64
	readsWaiting   []uint64
	readsInRound   []ReadState

	outgoing []Message
	deferred []Message
	restore  *Snapshot
	reads    []ReadState
	notices  []Notice
}

// pendingWrite is a write that Persisted has not reported yet, with the messages to send after it.
type pendingWrite struct {
	id       WriteID
	last     uint64
	term     uint64
	snapshot *Snapshot
	messages []Message
}

// New returns a node that continues from the stored state.
func New(cfg Config, stored Stored) (*Node, error) {
	n := &Node{cfg: cfg, term: stored.State.Term, vote: stored.State.Vote, memberships: []membership{{}}}
	if s := stored.Snapshot; s != nil {
		n.installSnapshot(s)
		n.restore = s
		n.applied = s.Index
	}
	for i := range stored.Entries {
		if want := n.log.last() + 1; stored.Entries[i].Index != want {
			return nil, errs.New(errs.KindCorrupt, "move the control folder away and start the process again, so that the VM joins the control group as a new replica",
				"the stored log continues with entry %d after entry %d", stored.Entries[i].Index, want-1)
		}
		n.log.append(stored.Entries[i])
	}
	n.recordMemberships(stored.Entries)
	n.stable, n.written = n.log.last(), n.log.last()
	n.commit = max(n.commit, min(stored.State.Commit, n.stable))
	n.writtenState = stored.State
	n.persistedTerm = stored.State.Term
	n.resetTimeout()
	return n, nil
}

// Tick advances the node's time by one tick.
func (n *Node) Tick(now time.Time) {
	n.now = unixNano(now)
	n.electionElapsed++
	n.leaderSilence++
	if len(n.pending) > 0 {
		n.pendingWriteTicks++
	}
	n.writeBefore, n.writeAtTick = n.writeAtTick, n.lastWrite
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout {
		n.resetTimeout()
		// A replica with a full disk waits for one more timeout, in which the others may be elected.
		if n.electable() && (!n.diskFull || n.leader == "") {
			n.campaign(MsgPreVote)
			return
		}
		n.leader = "" // A replica that may not start an election has lost contact with its leader.
	}
}

// Propose appends data to the log of the leader. An error means that the data was not appended and will not be
// applied.
func (n *Node) Propose(now time.Time, data []byte) (EntryID, error) {
	if err := n.checkLeader(); err != nil {
		return EntryID{}, err
	}
	e := Entry{Kind: EntryData, Data: data}
	if n.unappliedBytes > 0 && n.unappliedBytes+e.Size() > n.cfg.MaxUnappliedBytes {
		return EntryID{}, errs.New(errs.KindNotAccepted, "resend after a pause", "the control log has %d bytes of entries that are not applied yet", n.unappliedBytes)
	}
	n.now = unixNano(now)
	id := n.appendOwn(e)
	n.broadcastAppend()
	return id, nil
}

func (n *Node) checkLeader() error {
	switch {
	case n.role != Leader:
		return errs.New(errs.KindNotLeader, "send the request to the leader", "this replica is not the leader of the control group")
	case n.transferTarget != "":
		return errs.New(errs.KindNotLeader, "resend after a pause", "leadership of the control group is being transferred")
	case n.diskFull:
		return errs.New(errs.KindDiskFull, "free space in the data folder", "the disk of the control log has no space for new entries")
	}
	return nil
}

// appendOwn appends an entry of the leader's own term.
func (n *Node) appendOwn(e Entry) EntryID {
	e.Index, e.Term = n.log.last()+1, n.term
	e.At = max(n.now, n.log.lastAt())
	n.log.append(e)
	n.recordMemberships([]Entry{e})
	n.unappliedBytes += e.Size()
	return EntryID{Term: e.Term, Index: e.Index}
}

// stallFactor is the time that a write may take, as a multiple of the minimum election timeout, before the disk
// counts as stalled. A single slow sync must not move leadership.
const stallFactor = 4

// diskStalled reports whether the disk has stopped completing writes. A leader with a stalled disk could keep
// sending heartbeats while it completes no request.
func (n *Node) diskStalled() bool { return n.pendingWriteTicks >= stallFactor*n.cfg.ElectionTicks }

// SetDiskFull sets whether the disk refuses new entries. A leader with a full disk refuses proposals and transfers
// leadership; a follower with a full disk drops entries with data and starts an election later than the others.
func (n *Node) SetDiskFull(full bool) { n.diskFull = full }

// Persisted marks a write and all writes before it as durable, and releases the messages that depend on them.
func (n *Node) Persisted(id WriteID) {
	for len(n.pending) > 0 && n.pending[0].id <= id {
		w := n.pending[0]
		n.pending = n.pending[1:]
		n.pendingWriteTicks = 0
		n.persistedTerm = w.term
		if w.snapshot != nil {
			n.finishRestore(w.snapshot)
		}
		n.stable = max(n.stable, w.last)
		for _, m := range w.messages {
			n.release(m)
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// release sends a message whose write is durable. A message of an earlier term is dropped, since the replica may
// have voted or acknowledged entries in a later term since.
func (n *Node) release(m Message) {
	if m.Term != n.term {
		return
	}
	if m.To == n.cfg.Replica {
		n.Step(m)
		return
	}
	n.outgoing = append(n.outgoing, m)
}

// send queues a message that depends on no write.
func (n *Node) send(m Message) {
	m.From, m.DiskFull = n.cfg.Replica, n.diskFull
	if m.Term == 0 {
		m.Term = n.term
	}
	n.outgoing = append(n.outgoing, m)
}

// sendAfterSync queues a message that may be sent only after everything written up to now is durable.
func (n *Node) sendAfterSync(m Message) {
	m.From, m.Term, m.DiskFull = n.cfg.Replica, n.term, n.diskFull
	n.deferred = append(n.deferred, m)
}

func (n *Node) addNotice(notice Notice) {
	notice.Term = n.term
	n.notices = append(n.notices, notice)
}

func (n *Node) hardState() HardState { return HardState{Term: n.term, Vote: n.vote, Commit: n.commit} }

// hasUnsaved reports whether there is state that no write contains yet.
func (n *Node) hasUnsaved() bool {
	s := n.hardState()
	return n.unsavedSnapshot != nil || n.written < n.log.last() || s.Term != n.writtenState.Term || s.Vote != n.writtenState.Vote || n.commitDue()
}

// commitDue reports whether the commit index is to be written although nothing else is. That is not so after several writes within two
// ticks, since the next one is expected soon and stores it as well. On a full disk the space is left to elections.
func (n *Node) commitDue() bool {
	return n.commit > n.writtenState.Commit && len(n.pending) == 0 && !n.diskFull && n.lastWrite-n.writeBefore <= 1
}

// applicableIndex returns the index up to which entries may be applied.
func (n *Node) applicableIndex() uint64 {
	if n.restoring {
		return n.applied
	}
	return max(n.applied, min(n.commit, n.stable))
}

// HasReady reports whether Ready would return anything.
func (n *Node) HasReady() bool {
	return len(n.outgoing) > 0 || len(n.deferred) > 0 || n.hasUnsaved() || n.restore != nil ||
		n.applicableIndex() > n.applied || len(n.releasableReads()) > 0 || len(n.notices) > 0
}

// Ready returns the output since the last Advance. The caller passes the write to the disk, sends the messages,
// applies the committed entries and calls Advance before it calls any other method.
func (n *Node) Ready() Ready {
	write := n.nextWrite()
	n.attachDeferred()
	return Ready{
		Messages: n.outgoing, Write: write, Restore: n.restore, Committed: n.log.slice(n.applied+1, n.applicableIndex()),
		Reads: n.releasableReads(), Notices: n.notices,
	}
}

// nextWrite returns a write of the state that no earlier write contains, or nil if there is none. The write is pending
// until Persisted reports it.
func (n *Node) nextWrite() *Write {
	if !n.hasUnsaved() {
		return nil
	}
	n.lastWrite++
	state := n.hardState()
	w := &Write{ID: n.lastWrite, State: &state, Snapshot: n.unsavedSnapshot}
	w.Entries = n.log.slice(n.written+1, n.log.last())
	p := pendingWrite{id: w.ID, term: n.term, snapshot: w.Snapshot}
	if len(w.Entries) > 0 {
		p.last = n.log.last()
	}
	n.pending = append(n.pending, p)
	n.written, n.writtenState, n.unsavedSnapshot = n.log.last(), state, nil
	return w
}

// attachDeferred attaches the deferred messages to the newest write that is not durable yet.
func (n *Node) attachDeferred() {
	queued := n.deferred
	n.deferred = nil
	if len(n.pending) > 0 {
		p := &n.pending[len(n.pending)-1]
		p.messages = append(p.messages, queued...)
		return
	}
	for _, m := range queued {
		n.release(m)
	}
}

// Advance marks the output of Ready as processed. rd is the last value that Ready returned.
func (n *Node) Advance(rd Ready) {
	n.outgoing, n.restore, n.notices = nil, nil, nil
	n.reads = n.reads[len(rd.Reads):]
	for i := range rd.Committed {
		e := &rd.Committed[i]
		n.applied = e.Index
		if n.role == Leader && e.Term == n.term {
			n.unappliedBytes -= e.Size()
		}
	}
}

// Status returns the state of the node. The caller may keep it: its member list is a copy.
func (n *Node) Status() Status {
	return Status{
		Replica: n.cfg.Replica, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		Stable: n.stable, Last: n.log.last(), Members: slices.Clone(n.members()), ChangePending: n.changePending(),
	}
}

// truncateFrom removes the conflicting entries from an index on, including those in pending writes.
func (n *Node) truncateFrom(index uint64) {
	if index <= n.commit {
		panic(fmt.Sprintf("consensus: entry %d conflicts below the commit index %d", index, n.commit))
	}
	n.log.truncateFrom(index)
	n.truncateMemberships(index)
	n.stable = min(n.stable, index-1)
	n.written = min(n.written, index-1)
	for i := range n.pending {
		n.pending[i].last = min(n.pending[i].last, index-1)
	}
}
