package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// ReplicaID names one replica. It is drawn when a data folder is created, so a VM that lost its disk returns
// under another ID and cannot vote with state that it has forgotten.
type ReplicaID string

// Role is the part that a replica plays.
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

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is appended by a new leader, which may commit entries of earlier terms only through one of
	// its own.
	EntryEmpty EntryKind = iota
	// EntryData holds a command of the state machine.
	EntryData
	// EntryMembers holds the members after a change.
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// At is the proposal time of the leader in Unix nanoseconds. It never runs backwards along the log.
	At      int64
	Data    []byte
	Members []Member
}

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

func (e *Entry) size() int { return len(e.Data) + entryOverheadBytes + 64*len(e.Members) }

// Member is one member of the group. Members are listed in the order in which they were added.
type Member struct {
	Replica ReplicaID
	VM      model.VMName
	// Learner members receive the log and neither vote nor count for a quorum.
	Learner bool
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// String returns the name used in log lines.
func (k ChangeKind) String() string { return [...]string{"add_learner", "promote", "remove"}[k] }

// Change is one membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// HardState has to be on disk before a message that depends on it is sent. Commit is a hint that lets a
// restarted replica apply entries before it hears from a leader; a change of Commit alone causes no write.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot is the state machine at one position of the log.
type Snapshot struct {
	Index   uint64
	Term    uint64
	At      int64
	Members []Member
	Data    []byte
}

// Stored is what a replica finds on its disk at the start.
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
	// Index and LogTerm are the position before Entries, the candidate's last position, or the position that
	// is acknowledged.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is where the leader should probe next after a rejection.
	Hint uint64
	// Round numbers the heartbeat rounds that confirm reads.
	Round uint64
	// Force marks a vote request of a hand-over, which voters grant although they hear from a leader.
	Force bool
	// DiskFull says that the sender cannot store entries.
	DiskFull bool
	Chunk    *Chunk
}

// Chunk is a part of a snapshot in transfer.
type Chunk struct {
	Index   uint64
	Term    uint64
	At      int64
	Members []Member
	Offset  uint64
	Total   uint64
	Data    []byte
}

// WriteID numbers writes. Writes are done in the order of their IDs.
type WriteID uint64

// Write has to be made durable, in the order snapshot, entries, state, and then reported with Persisted.
// Several writes may be synced together; reporting the last one reports all of them.
type Write struct {
	ID       WriteID
	State    *HardState
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState releases a read. It may be answered after the committed entries of the same Ready are applied; Index
// is applied then.
type ReadState struct {
	ID    uint64
	Index uint64
}

// NoticeKind is the kind of a decision worth a log line.
type NoticeKind string

// The decisions that are reported.
const (
	NoticeCampaign     NoticeKind = "campaign started"
	NoticeElected      NoticeKind = "became leader"
	NoticeFollowing    NoticeKind = "following a leader"
	NoticeQuorumLost   NoticeKind = "leadership given up: no contact with a quorum"
	NoticeHigherTerm   NoticeKind = "leadership given up: higher term seen"
	NoticeHandover     NoticeKind = "leadership is handed over"
	NoticeDiskStalled  NoticeKind = "leadership is handed over: the disk does not answer"
	NoticeHandoverFail NoticeKind = "hand-over abandoned"
	NoticeMembers      NoticeKind = "membership change appended"
	NoticeCommitted    NoticeKind = "membership change committed"
	NoticeSnapshot     NoticeKind = "snapshot received from the leader"
	NoticeSnapshotSent NoticeKind = "snapshot transfer to a member started"
)

// Notice reports one decision.
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
	// Restore replaces the state machine. It goes before Committed.
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadState
	Notices   []Notice
}

// Config sets up a node.
type Config struct {
	Replica ReplicaID
	// ElectionTicks is the least number of ticks without a leader before a replica campaigns; the actual
	// number is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks  int
	HeartbeatTicks int
	// MaxMessageBytes bounds the entries of one message, MaxInflight the unacknowledged messages to one member.
	MaxMessageBytes int
	MaxInflight     int
	// MaxUnappliedBytes bounds what a leader accepts before it is committed and synced locally.
	MaxUnappliedBytes int
	ChunkBytes        int
	// RetainEntries stay in the log after a snapshot, so that a member that lags slightly needs no snapshot.
	RetainEntries uint64
	Random        *rand.Rand
	// MaxVoters bounds the voters. Further members stay learners until a voter is removed. 0 means no bound.
	MaxVoters int
	// ReplaceTicks is the silence of a voter after which a learner that has caught up takes its place, so that the
	// group can bear the next loss. 0 means never.
	ReplaceTicks int
	// Retired reports that a VM is no longer meant to be a control VM. A leader removes its replica once that is
	// silent. Nil means that no VM is.
	Retired func(model.VMName) bool
}

// Position is where a proposal was appended.
type Position struct {
	Term  uint64
	Index uint64
}

// Status describes a node.
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
}

func unixNano(t time.Time) int64 { return t.UnixNano() }
