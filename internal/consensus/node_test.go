package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

var threeMembers = []Member{{Replica: "r1", VM: "vm-1"}, {Replica: "r2", VM: "vm-2"}, {Replica: "r3", VM: "vm-3"}}

// newNode returns replica r1 of threeMembers, with the first entry committed and further entries of the given
// terms.
func newNode(t *testing.T, terms ...uint64) *Node {
	stored := Stored{State: HardState{Term: 1, Commit: 1}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Members: threeMembers}}}
	for i, term := range terms {
		stored.Entries = append(stored.Entries, Entry{Index: uint64(i + 2), Term: term, Kind: EntryData})
		stored.State.Term = term
	}
	n, err := New(Config{
		Replica: "r1", ElectionTicks: 10, HeartbeatTicks: 2, MaxMessageBytes: 1000, MaxInflight: 4, MaxUnappliedBytes: 1000,
		ChunkBytes: 100, Random: rand.New(rand.NewPCG(1, 1)),
	}, stored)
	require.NoError(t, err)
	return n
}

// drain returns the output of a node and advances it.
func drain(n *Node) Ready {
	rd := n.Ready()
	n.Advance(rd)
	return rd
}

// elect makes the node the leader with the votes of r2.
func elect(t *testing.T, n *Node) {
	for n.role != PreCandidate {
		n.Tick(time.Unix(0, 0))
	}
	n.Step(Message{Kind: MsgPreVoteResp, From: "r2", To: "r1", Term: n.term + 1})
	n.Persisted(drain(n).Write.ID)
	n.Step(Message{Kind: MsgVoteResp, From: "r2", To: "r1", Term: n.term})
	require.Equal(t, Leader, n.role)
	n.Persisted(drain(n).Write.ID)
}

// Guards against a leader that commits an entry of an earlier term by
// counting its copies: another leader could still replace the entry.
func TestEntriesOfEarlierTermAreNotCommittedAlone(t *testing.T) {
	n := newNode(t, 2)
	elect(t, n)
	n.Step(Message{Kind: MsgAppendResp, From: "r2", To: "r1", Term: n.term, Index: 2})
	require.Equal(t, uint64(1), n.commit)
	_, err := n.ProposeChange(time.Unix(0, 0), Change{Kind: AddLearner, Member: Member{Replica: "r4", VM: "vm-4"}})
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err), "a change before the first commit of the term")
	n.Step(Message{Kind: MsgAppendResp, From: "r2", To: "r1", Term: n.term, Index: 3})
	require.Equal(t, uint64(3), n.commit)
}

// Guards against a vote for a candidate that lacks committed entries.
func TestStaleCandidateIsRejected(t *testing.T) {
	for _, c := range []struct {
		index, term uint64
		reject      bool
	}{{2, 2, true}, {9, 1, true}, {3, 2, false}, {2, 3, false}} {
		n := newNode(t, 2, 2)
		n.Step(Message{Kind: MsgVote, From: "r2", To: "r1", Term: 5, Index: c.index, LogTerm: c.term})
		n.Persisted(drain(n).Write.ID)
		require.Equal(t, c.reject, drain(n).Messages[0].Reject, "%+v", c)
	}
}

// Guards against a reconnecting replica that disturbs a working group.
func TestVoteRequestsAreIgnoredUnderALeader(t *testing.T) {
	n := newNode(t)
	n.Step(Message{Kind: MsgHeartbeat, From: "r2", To: "r1", Term: 1})
	drain(n)
	n.Step(Message{Kind: MsgPreVote, From: "r3", To: "r1", Term: 9, Index: 9, LogTerm: 8})
	n.Step(Message{Kind: MsgVote, From: "r3", To: "r1", Term: 9, Index: 9, LogTerm: 8})
	require.Equal(t, uint64(1), n.term)
	require.False(t, n.HasReady())
	n.Step(Message{Kind: MsgVote, From: "r3", To: "r1", Term: 9, Index: 9, LogTerm: 8, Force: true})
	require.Equal(t, uint64(9), n.term, "the vote request of a leadership transfer is processed")
}

// Guards against an acknowledgement for entries that were replaced while their write
// was pending.
func TestReplacedEntriesAreNotStable(t *testing.T) {
	n := newNode(t)
	n.Step(Message{Kind: MsgAppend, From: "r2", To: "r1", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}})
	first := drain(n).Write.ID
	n.Step(Message{Kind: MsgAppend, From: "r3", To: "r1", Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
	second := drain(n).Write.ID
	n.Persisted(first)
	require.Equal(t, uint64(1), n.stable)
	require.Empty(t, drain(n).Messages, "the acknowledgement to the earlier leader is dropped")
	n.Persisted(second)
	require.Equal(t, uint64(2), n.stable)
	n.Step(Message{Kind: MsgAppend, From: "r1", To: "r1", Term: 4, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 4}}})
	require.Equal(t, uint64(1), n.stable)
}

func snapshotChunk(index, term uint64) Message {
	return Message{Kind: MsgSnapshotChunk, From: "r2", To: "r1", Term: 3, Chunk: &Chunk{Index: index, Term: term, Members: threeMembers, Total: 1, Data: []byte("x")}}
}

// Guards against a received snapshot that removes entries that are already
// acknowledged.
func TestSnapshotKeepsMatchingEntries(t *testing.T) {
	n := newNode(t, 2, 2, 2)
	n.Step(snapshotChunk(3, 2))
	require.Equal(t, uint64(4), n.log.last())
	require.Equal(t, uint64(3), n.commit)
}

// Guards against applying a snapshot, and entries after it, that a crash would
// undo.
func TestSnapshotIsRestoredAfterItsSync(t *testing.T) {
	n := newNode(t, 2, 2)
	drain(n)
	n.Step(snapshotChunk(9, 3))
	n.Step(Message{Kind: MsgAppend, From: "r2", To: "r1", Term: 3, Index: 9, LogTerm: 3, Commit: 10, Entries: []Entry{{Index: 10, Term: 3}}})
	rd := drain(n)
	require.Nil(t, rd.Restore)
	require.Empty(t, rd.Committed)
	require.Empty(t, rd.Messages)
	n.Persisted(rd.Write.ID)
	rd = drain(n)
	require.Equal(t, uint64(9), rd.Restore.Index)
	require.Equal(t, uint64(10), rd.Committed[0].Index)
}

// Guards against a new voter that has not synced all committed entries.
func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	s := healthy(t, 3)
	r := s.newReplica("vm-9")
	s.start(r)
	s.stalled = r
	s.until("the learner is added", func() bool { return len(s.leader().node.members()) == 4 })
	for range 100 {
		s.round()
	}
	require.False(t, s.leader().node.isVoter(r.id))
	s.stalled = nil
	s.until("the learner is promoted", func() bool { return s.leader() != nil && s.leader().node.isVoter(r.id) })
}

// Guards against a replica that keeps many large entries in memory after a snapshot.
func TestRetainedEntriesAreLimitedBySize(t *testing.T) {
	n := newNode(t, 1, 1, 1, 1, 1)
	for i := range n.log.entries {
		n.log.entries[i].Data = make([]byte, 100)
	}
	elect(t, n)
	n.Step(Message{Kind: MsgAppendResp, From: "r2", To: "r1", Term: n.term, Index: n.log.last()})
	drain(n)
	n.cfg.RetainEntries, n.cfg.RetainBytes = 5, 300
	n.SnapshotSaved(n.NewSnapshot(nil))
	require.Equal(t, n.applied-3, n.log.offset)
}

// Guards against a restart of all replicas that applies the last committed entry only once a leader is elected; and against a further
// write for each of many entries, or on a full disk.
func TestCommitIndexIsStoredWhileWritesAreFew(t *testing.T) {
	leader, follower := newNode(t), newNode(t)
	elect(t, leader)
	_, err := leader.Propose(time.Unix(0, 0), []byte("x"))
	require.NoError(t, err)
	leader.Persisted(drain(leader).Write.ID)
	leader.Step(Message{Kind: MsgAppendResp, From: "r2", To: "r1", Term: leader.term, Index: 3})
	rd := drain(leader)
	require.NotEmpty(t, rd.Committed)
	require.Nil(t, rd.Write, "after the writes of the election")
	appendTo := func(index, commit uint64) Ready {
		follower.Step(Message{Kind: MsgAppend, From: "r2", To: "r1", Term: 1, Index: index - 1, LogTerm: 1, Commit: commit, Entries: []Entry{{Index: index, Term: 1}}})
		follower.Persisted(drain(follower).Write.ID)
		follower.Step(Message{Kind: MsgHeartbeat, From: "r2", To: "r1", Term: 1, Commit: index})
		return drain(follower)
	}
	follower.Tick(time.Unix(0, 0))
	require.EqualValues(t, 2, appendTo(2, 1).Write.State.Commit, "at once")
	follower.Persisted(follower.lastWrite)
	require.Nil(t, appendTo(3, 2).Write, "another entry is expected")
	for _, n := range []*Node{leader, follower} {
		var writes []*Write
		for range 5 {
			n.Tick(time.Unix(0, 0))
			if w := drain(n).Write; w != nil {
				writes = append(writes, w)
				n.Persisted(w.ID)
			}
		}
		require.Len(t, writes, 1)
		require.Empty(t, writes[0].Entries)
		restarted, err := New(n.cfg, Stored{State: *writes[0].State, Entries: n.log.slice(1, n.log.last())})
		require.NoError(t, err)
		committed := drain(restarted).Committed
		require.EqualValues(t, 3, committed[len(committed)-1].Index)
	}
	follower.SetDiskFull(true)
	for range 3 {
		follower.Tick(time.Unix(0, 0))
	}
	require.Nil(t, appendTo(4, 3).Write, "the space is left to elections")
	require.EqualValues(t, 4, follower.commit)
}
