package logcodec

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
)

var members = []consensus.Member{{Replica: "r1", VM: "vm-1"}, {Replica: "r2", VM: "vm-2", Learner: true}}

var messages = []consensus.Message{
	{
		Kind: consensus.MsgAppend, From: "r1", To: "r2", Term: 3, Index: 6, LogTerm: 2, Commit: 5,
		Entries: []consensus.Entry{
			{Index: 7, Term: 3, Kind: consensus.EntryData, At: 12, Data: []byte("x")},
			{Index: 8, Term: 3, Kind: consensus.EntryMembers, At: 13, Members: members},
		},
	},
	{Kind: consensus.MsgAppendResp, From: "r2", To: "r1", Term: 3, Index: 6, Reject: true, Hint: 4, DiskFull: true},
	{Kind: consensus.MsgHeartbeat, From: "r1", To: "r2", Term: 3, Round: 9},
	{Kind: consensus.MsgVote, From: "r1", To: "r2", Term: 3, Force: true},
	{
		Kind: consensus.MsgSnapshotChunk, From: "r1", To: "r2", Term: 3,
		Chunk: &consensus.Chunk{Index: 4, Term: 2, At: 11, Members: members, Offset: 2, Total: 9, Data: []byte("abc")},
	},
}

// Guards against a field that is lost in the encoding.
func TestRoundTrip(t *testing.T) {
	for _, m := range messages {
		group, got, err := DecodeMessage(EncodeMessage("g", m))
		require.NoError(t, err)
		require.Equal(t, "g", group)
		require.Equal(t, m, got)
	}
	snapshot := &consensus.Snapshot{Index: 4, Term: 2, At: 11, Members: members, Data: []byte("abc")}
	got, err := DecodeSnapshot(EncodeSnapshot(snapshot))
	require.NoError(t, err)
	require.Equal(t, snapshot, got)
	state := consensus.HardState{Term: 3, Vote: "r1", Commit: 7}
	gotState, err := DecodeState(EncodeState(state))
	require.NoError(t, err)
	require.Equal(t, state, gotState)
}

// Guards against a crash on malformed messages, and against decoded messages that crash the consensus
// code, which relies on well-formed messages.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range messages {
		f.Add(EncodeMessage("g", m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		group, m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		_, again, err := DecodeMessage(EncodeMessage(group, m))
		require.NoError(t, err)
		require.Equal(t, m, again)
		node, err := consensus.New(consensus.Config{Replica: m.To, ElectionTicks: 10, Random: rand.New(rand.NewPCG(1, 1))}, consensus.Stored{})
		require.NoError(t, err)
		node.Step(m)
		node.Step(m)
		node.Advance(node.Ready())
	})
}

// Guards against a crash on a malformed log record.
func FuzzDecodeEntry(f *testing.F) {
	for _, e := range messages[0].Entries {
		f.Add(EncodeEntry(e))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEntry(data)
		if err != nil {
			return
		}
		again, err := DecodeEntry(EncodeEntry(e))
		require.NoError(t, err)
		require.Equal(t, e, again)
	})
}
