// Package logcodec encodes the values of internal/consensus for the disk and for other control VMs. It validates
// decoded values, so that the consensus code receives only well-formed ones.
package logcodec

//go:generate ./generate.sh

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec/logpb"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const sameReleaseRemedy = "run the same release on all control VMs"

func encode(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		// Only strings that are not UTF-8 can fail, and names are validated when they are read.
		panic(fmt.Sprintf("logcodec: %v", err))
	}
	return out
}

func decode(data []byte, m proto.Message) error {
	return errs.Wrap(proto.Unmarshal(data, m), errs.KindInvalid, sameReleaseRemedy, "a control log message cannot be decoded")
}

func invalid(format string, args ...any) error {
	return errs.New(errs.KindInvalid, sameReleaseRemedy, format, args...)
}

// EncodeEntry encodes an entry of the log.
func EncodeEntry(e consensus.Entry) []byte { return encode(entryToProto(&e)) }

// DecodeEntry decodes the output of EncodeEntry.
func DecodeEntry(data []byte) (consensus.Entry, error) {
	var p logpb.Entry
	if err := decode(data, &p); err != nil {
		return consensus.Entry{}, err
	}
	return entryFromProto(&p)
}

// EncodeState encodes a hard state.
func EncodeState(s consensus.HardState) []byte {
	return encode(&logpb.HardState{Term: s.Term, Vote: string(s.Vote), Commit: s.Commit})
}

// DecodeState decodes the output of EncodeState.
func DecodeState(data []byte) (consensus.HardState, error) {
	var p logpb.HardState
	if err := decode(data, &p); err != nil {
		return consensus.HardState{}, err
	}
	return consensus.HardState{Term: p.Term, Vote: consensus.ReplicaID(p.Vote), Commit: p.Commit}, nil
}

// EncodeSnapshot encodes a log snapshot.
func EncodeSnapshot(s *consensus.Snapshot) []byte {
	return encode(&logpb.Snapshot{Index: s.Index, Term: s.Term, At: s.At, Members: membersToProto(s.Members), Data: s.Data})
}

// DecodeSnapshot decodes the output of EncodeSnapshot.
func DecodeSnapshot(data []byte) (*consensus.Snapshot, error) {
	var p logpb.Snapshot
	if err := decode(data, &p); err != nil {
		return nil, err
	}
	if p.Index == 0 {
		return nil, invalid("a snapshot has no index")
	}
	return &consensus.Snapshot{Index: p.Index, Term: p.Term, At: p.At, Members: membersFromProto(p.Members), Data: p.Data}, nil
}

// EncodeMessage encodes a message between replicas of a group.
func EncodeMessage(group string, m consensus.Message) []byte {
	p := &logpb.Message{
		Group: group, Kind: uint32(m.Kind), From: string(m.From), To: string(m.To), Term: m.Term, Index: m.Index,
		LogTerm: m.LogTerm, Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Round: m.Round, Force: m.Force, DiskFull: m.DiskFull,
	}
	for i := range m.Entries {
		p.Entries = append(p.Entries, entryToProto(&m.Entries[i]))
	}
	if c := m.Chunk; c != nil {
		p.Chunk = &logpb.Chunk{
			Index: c.Index, Term: c.Term, At: c.At, Members: membersToProto(c.Members), Offset: c.Offset, Total: c.Total, Data: c.Data,
		}
	}
	return encode(p)
}

// DecodeMessage decodes the output of EncodeMessage. It refuses malformed messages, which no replica sends.
func DecodeMessage(data []byte) (group string, m consensus.Message, err error) {
	var p logpb.Message
	if err := decode(data, &p); err != nil {
		return "", m, err
	}
	if p.Kind < uint32(consensus.MsgPreVote) || p.Kind > uint32(consensus.MsgTimeoutNow) || p.From == "" || p.To == "" || p.Term == 0 {
		return "", m, invalid("a control log message of kind %d from %q to %q in term %d is malformed", p.Kind, p.From, p.To, p.Term)
	}
	m = consensus.Message{
		Kind: consensus.MessageKind(p.Kind), From: consensus.ReplicaID(p.From), To: consensus.ReplicaID(p.To), Term: p.Term, Index: p.Index,
		LogTerm: p.LogTerm, Commit: p.Commit, Reject: p.Reject, Hint: p.Hint, Round: p.Round, Force: p.Force, DiskFull: p.DiskFull,
	}
	for i, pe := range p.Entries {
		e, err := entryFromProto(pe)
		if err != nil {
			return "", m, err
		}
		if e.Index != p.Index+uint64(i)+1 || e.Term > p.Term {
			return "", m, invalid("entry %d of term %d does not follow entry %d in a message of term %d", e.Index, e.Term, p.Index, p.Term)
		}
		m.Entries = append(m.Entries, e)
	}
	m.Chunk, err = chunkFromProto(p.Chunk, m.Kind)
	return p.Group, m, err
}

func chunkFromProto(p *logpb.Chunk, kind consensus.MessageKind) (*consensus.Chunk, error) {
	if (p != nil) != (kind == consensus.MsgSnapshotChunk) {
		return nil, invalid("a snapshot chunk is missing or in a message of another kind")
	}
	if p == nil {
		return nil, nil
	}
	if len(p.Members) == 0 {
		return nil, invalid("a snapshot chunk lists no members")
	}
	if p.Index == 0 || p.Offset > p.Total || uint64(len(p.Data)) > p.Total-p.Offset {
		return nil, invalid("a snapshot chunk at offset %d exceeds the snapshot size of %d bytes", p.Offset, p.Total)
	}
	return &consensus.Chunk{
		Index: p.Index, Term: p.Term, At: p.At, Members: membersFromProto(p.Members), Offset: p.Offset, Total: p.Total, Data: p.Data,
	}, nil
}

func entryToProto(e *consensus.Entry) *logpb.Entry {
	return &logpb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), At: e.At, Data: e.Data, Members: membersToProto(e.Members)}
}

func entryFromProto(p *logpb.Entry) (consensus.Entry, error) {
	if p.Kind > uint32(consensus.EntryMembers) || p.Index == 0 || p.Term == 0 {
		return consensus.Entry{}, invalid("an entry of kind %d at index %d and term %d is malformed", p.Kind, p.Index, p.Term)
	}
	if p.Kind == uint32(consensus.EntryMembers) && len(p.Members) == 0 {
		return consensus.Entry{}, invalid("entry %d lists no members", p.Index)
	}
	return consensus.Entry{
		Index: p.Index, Term: p.Term, Kind: consensus.EntryKind(p.Kind), At: p.At, Data: p.Data, Members: membersFromProto(p.Members),
	}, nil
}

func membersToProto(members []consensus.Member) []*logpb.Member {
	var out []*logpb.Member
	for _, m := range members {
		out = append(out, &logpb.Member{Replica: string(m.Replica), Vm: string(m.VM), Learner: m.Learner})
	}
	return out
}

func membersFromProto(members []*logpb.Member) []consensus.Member {
	var out []consensus.Member
	for _, m := range members {
		out = append(out, consensus.Member{Replica: consensus.ReplicaID(m.Replica), VM: model.VMName(m.Vm), Learner: m.Learner})
	}
	return out
}

// JoinRequest is a request to the leader to add a replica as a learner.
type JoinRequest struct {
	Cluster string
	VM      model.VMName
	Replica consensus.ReplicaID
}

// EncodeJoinRequest encodes a JoinRequest.
func EncodeJoinRequest(r JoinRequest) []byte {
	return encode(&logpb.JoinRequest{Cluster: r.Cluster, Vm: string(r.VM), Replica: string(r.Replica)})
}

// DecodeJoinRequest decodes the output of EncodeJoinRequest.
func DecodeJoinRequest(data []byte) (JoinRequest, error) {
	var p logpb.JoinRequest
	if err := decode(data, &p); err != nil {
		return JoinRequest{}, err
	}
	if p.Vm == "" || p.Replica == "" {
		return JoinRequest{}, invalid("a join request names no VM or replica")
	}
	return JoinRequest{Cluster: p.Cluster, VM: model.VMName(p.Vm), Replica: consensus.ReplicaID(p.Replica)}, nil
}

// EncodeJoinAnswer encodes the answer to a join request, the name of the group that was joined.
func EncodeJoinAnswer(group string) []byte { return encode(&logpb.JoinAnswer{Group: group}) }

// DecodeJoinAnswer decodes the output of EncodeJoinAnswer.
func DecodeJoinAnswer(data []byte) (string, error) {
	var p logpb.JoinAnswer
	if err := decode(data, &p); err != nil {
		return "", err
	}
	if p.Group == "" {
		return "", invalid("the answer to a join request names no group")
	}
	return p.Group, nil
}

// EncodeFormRequest encodes a request for the replica ID of another VM, to form a group with it.
func EncodeFormRequest(cluster string) []byte { return encode(&logpb.FormRequest{Cluster: cluster}) }

// DecodeFormRequest decodes the output of EncodeFormRequest and returns the cluster.
func DecodeFormRequest(data []byte) (string, error) {
	var p logpb.FormRequest
	err := decode(data, &p)
	return p.Cluster, err
}

// FormAnswer is the answer of a VM to the request of another one to form the group.
type FormAnswer struct {
	// Replica is set by a VM that was initialized and belongs to no group yet.
	Replica consensus.ReplicaID
	// Group is the group that the VM belongs to, and Members are its first members when the VM is one of them.
	Group   string
	Members []consensus.Member
}

// EncodeFormAnswer encodes a FormAnswer.
func EncodeFormAnswer(a FormAnswer) []byte {
	return encode(&logpb.FormAnswer{Replica: string(a.Replica), Group: a.Group, Members: membersToProto(a.Members)})
}

// DecodeFormAnswer decodes the output of EncodeFormAnswer.
func DecodeFormAnswer(data []byte) (FormAnswer, error) {
	var p logpb.FormAnswer
	if err := decode(data, &p); err != nil {
		return FormAnswer{}, err
	}
	return FormAnswer{Replica: consensus.ReplicaID(p.Replica), Group: p.Group, Members: membersFromProto(p.Members)}, nil
}
