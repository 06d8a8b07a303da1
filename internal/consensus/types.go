package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// ReplicaID identifies one replica. A random ID is generated when a data folder is created, so a VM that lost its
// disk rejoins under another ID and cannot vote without the state that it lost.
type ReplicaID string

// Role is the Raft role of a replica.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in log lines.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// EntryKind is the kind of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is appended by a new leader, which may commit entries of earlier terms only through an entry of
	// its own term.
	EntryEmpty EntryKind = iota
	// EntryData holds a command of the state machine.
	EntryData
	// EntryMembers holds the member list after a membership change.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// At is the time of the proposal on the leader in Unix nanoseconds. It never decreases along the log.
	At      int64
	Data    []byte
	Members []Member
}

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

// Size returns the approximate size of the encoded entry in bytes.
func (e *Entry) Size() int { return len(e.Data) + entryOverheadBytes + 64*len(e.Members) }

// Member is one member of the group. Members are listed in the order in which they were added.
type Member struct {
	Replica ReplicaID
	VM      model.VMName
	// Learner marks a member that receives the log but neither votes nor counts for a quorum.
	Learner bool
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
	// Demote turns a voter into a learner.
	Demote
)

// String returns the name used in log lines.
func (k ChangeKind) String() string {
	return [...]string{"add_learner", "promote", "remove", "demote"}[k]
}

// Change is one membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// HardState is the Raft state that has to be on disk before a message that depends on it is sent. Commit is a hint
// that lets a restarted replica apply entries before it has contact with a leader. A change of Commit alone is written
// while there are few other writes: a restart of all replicas would otherwise undo the last entry until a leader is elected.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot is a log snapshot: the state of the state machine after the entry at Index. Term and At are the term
// and the time of this entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	At      int64
	Members []Member
	Data    []byte
}

// Stored is the state that a replica loads from its disk at startup.
type Stored struct {
	State    HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshotChunk
	MsgSnapshotResp
	MsgTimeoutNow
)

// Message is exchanged between replicas.
type Message struct {
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64
	// Index and LogTerm identify the entry before Entries, the last entry of a candidate, or the entry that is
	// acknowledged.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is the index that the leader should probe next after a rejection. In MsgSnapshotResp it is the number of
	// received bytes of the snapshot.
	Hint uint64
	// Round is the number of the heartbeat round, which confirms reads.
	Round uint64
	// Force marks a vote request of a leadership transfer, which voters grant even while they have a leader.
	Force bool
	// DiskFull reports that the sender cannot store entries.
	DiskFull bool
	Chunk    *Chunk
}

// Chunk is one part of a snapshot that is being transferred.
type Chunk struct {
	Index   uint64
	Term    uint64
	At      int64
	Members []Member
	Offset  uint64
	Total   uint64
	Data    []byte
}

// WriteID is the sequence number of a write. Writes are made in the order of their IDs.
type WriteID uint64

// Write is data that the caller makes durable, in the order snapshot, entries, state, and then reports with
// Persisted. Several writes may be synced together; reporting the last one reports all of them.
type Write struct {
	ID       WriteID
	State    *HardState
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState is a confirmed read. The read may be answered once the committed entries of the same Ready are applied; the
// entry at Index is applied then.
type ReadState struct {
	ID    uint64
	Index uint64
}

// NoticeKind is the kind of a Notice. Its text is the message of the log line.
type NoticeKind string

// The kinds of notices.
const (
	NoticeCampaign        NoticeKind = "election started"
	NoticeElected         NoticeKind = "elected leader of the control group"
	NoticeFollowing       NoticeKind = "following a leader of the control group"
	NoticeQuorumLost      NoticeKind = "stepped down as leader: no contact with a quorum"
	NoticeHigherTerm      NoticeKind = "stepped down as leader: a message had a higher term"
	NoticeTransfer        NoticeKind = "leadership transfer started"
	NoticeDiskStalled     NoticeKind = "disk does not complete writes; transferring leadership"
	NoticeTransferAborted NoticeKind = "leadership transfer timed out; this replica stays leader"
	NoticeMembers         NoticeKind = "membership change appended"
	NoticeCommitted       NoticeKind = "membership change committed"
	NoticeSnapshot        NoticeKind = "state snapshot received from the leader"
	NoticeSnapshotSent    NoticeKind = "state snapshot transfer to a member started"
)

// Notice reports one event of a node that is worth a log line.
type Notice struct {
	Kind    NoticeKind
	Term    uint64
	Replica ReplicaID
	Index   uint64
	Change  *Change
}

// Ready is the output of a node since the last Advance.
type Ready struct {
	Messages []Message
	Write    *Write
	// Restore is a snapshot that replaces the state of the state machine before Committed is applied.
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadState
	Notices   []Notice
}

// Config configures a node.
type Config struct {
	Replica ReplicaID
	// ElectionTicks is the minimum number of ticks without a leader before a replica starts an election; the
	// actual number is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks  int
	HeartbeatTicks int
	// MaxMessageBytes limits the entries of one message, MaxInflight the unacknowledged messages to one member.
	MaxMessageBytes int
	MaxInflight     int
	// MaxUnappliedBytes limits the entries that a leader accepts before they are committed and synced locally.
	MaxUnappliedBytes int
	ChunkBytes        int
	// RetainEntries is the number of entries that stay in the log after a snapshot, so that a member that lags
	// slightly needs no snapshot.
	RetainEntries uint64
	// RetainBytes limits the size of these entries. 0 means no limit.
	RetainBytes int
	Random      *rand.Rand
	// MaxVoters limits the number of voters. Further members stay learners until a voter is removed. 0 means no
	// limit.
	MaxVoters int
	// ReplaceAfterTicks is the number of ticks without contact after which a voter is replaced by a learner that has
	// caught up, so that the group tolerates the next loss. 0 means never.
	ReplaceAfterTicks int
	// Retired reports whether a VM is no longer configured as a control VM. A leader removes the replica of a retired
	// VM once it is unresponsive. Nil means that no VM is retired.
	Retired func(model.VMName) bool
}

// EntryID identifies the log entry of a proposal.
type EntryID struct {
	Term  uint64
	Index uint64
}

// Status is the state of a node.
type Status struct {
	Replica ReplicaID
	Role    Role
	Term    uint64
	Leader  ReplicaID
	Commit  uint64
	Applied uint64
	Stable  uint64
	Last    uint64
	Members []Member
	// ChangePending reports whether Members is not committed yet.
	ChangePending bool
}

func unixNano(t time.Time) int64 { return t.UnixNano() }
