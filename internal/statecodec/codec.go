// Package statecodec encodes the commands, results, queries, answers, updates and snapshots of package state with
// protobuf. Every message has the version of its format and a size limit; bad input gives a typed error.
package statecodec

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

// version is the format version that this release writes. It reads this version and lower ones.
const version = 1

const (
	// MaxCommandBytes limits one log entry: a configuration of the largest size and the other fields of its command.
	// It is the default of [control] max_proposal_bytes.
	MaxCommandBytes = 1 << 20
	// MaxAnswerBytes limits results, answers and updates. The largest is a full state with a million shards.
	MaxAnswerBytes = 64 << 20
	// MaxSnapshotBytes limits a state snapshot: all claims with their results, the recorded changes and the full state.
	MaxSnapshotBytes = 512 << 20
)

// versioned is a message with the version of its format.
type versioned interface {
	proto.Message
	GetVersion() uint32
}

func encode(m proto.Message, limit int, messageName string) ([]byte, error) {
	// Encoding is deterministic, so that equal states have equal snapshots.
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "send text in UTF-8", "cannot encode a %s", messageName)
	}
	return data, checkSize(data, limit, messageName)
}

func checkSize(data []byte, limit int, messageName string) error {
	if len(data) > limit {
		return errs.New(errs.KindTooLarge, fmt.Sprintf("keep it within %d bytes", limit), "a %s has %d bytes", messageName, len(data))
	}
	return nil
}

func decode(data []byte, into versioned, limit int, messageName string) error {
	if err := checkSize(data, limit, messageName); err != nil {
		return err
	}
	if err := proto.Unmarshal(data, into); err != nil {
		return errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "a %s is malformed", messageName)
	}
	switch v := into.GetVersion(); {
	case v > version:
		return errs.Wrap(errNewerFormat, errs.KindInvalid, "upgrade this VM", "a %s has format version %d, but this release reads versions up to %d", messageName, v, version)
	case v == 0:
		return malformed(messageName, "it has no format version")
	}
	return nil
}

func malformed(messageName, reason string) error {
	return errs.New(errs.KindInvalid, "run the same release on all VMs", "a %s is malformed: %s", messageName, reason)
}

// EncodeCommand encodes a command of package state.
func EncodeCommand(command any) ([]byte, error) {
	m, err := commandToProto(command)
	if err != nil {
		return nil, err
	}
	return encode(m, MaxCommandBytes, "command")
}

// DecodeCommand decodes a command of package state.
func DecodeCommand(data []byte) (any, error) {
	m := &statepb.Command{}
	if err := decode(data, m, MaxCommandBytes, "command"); err != nil {
		return nil, err
	}
	return commandFromProto(m)
}

// EncodeResult encodes the result of a command.
func EncodeResult(result any) ([]byte, error) {
	m, err := resultToProto(result)
	if err != nil {
		return nil, err
	}
	return encode(m, MaxAnswerBytes, "result")
}

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (any, error) {
	m := &statepb.Result{}
	if err := decode(data, m, MaxAnswerBytes, "result"); err != nil {
		return nil, err
	}
	return resultFromProto(m)
}

// EncodeQuery encodes a query of package state.
func EncodeQuery(query any) ([]byte, error) {
	m, err := queryToProto(query)
	if err != nil {
		return nil, err
	}
	return encode(m, MaxCommandBytes, "query")
}

// DecodeQuery decodes a query of package state.
func DecodeQuery(data []byte) (any, error) {
	m := &statepb.Query{}
	if err := decode(data, m, MaxCommandBytes, "query"); err != nil {
		return nil, err
	}
	return queryFromProto(m)
}

// EncodeAnswer encodes the answer to a query.
func EncodeAnswer(answer any) ([]byte, error) {
	m, err := answerToProto(answer)
	if err != nil {
		return nil, err
	}
	return encode(m, MaxAnswerBytes, "answer")
}

// DecodeAnswer decodes the answer to a query.
func DecodeAnswer(data []byte) (any, error) {
	m := &statepb.Answer{}
	if err := decode(data, m, MaxAnswerBytes, "answer"); err != nil {
		return nil, err
	}
	return answerFromProto(m)
}

// EncodeUpdate encodes an update of the disseminated state.
func EncodeUpdate(u state.Update) ([]byte, error) {
	return encode(updateToProto(u), MaxAnswerBytes, "state update")
}

// DecodeUpdate decodes an update of the disseminated state.
func DecodeUpdate(data []byte) (state.Update, error) {
	m := &statepb.Update{}
	if err := decode(data, m, MaxAnswerBytes, "state update"); err != nil {
		return state.Update{}, err
	}
	return updateFromProto(m)
}

// EncodeSnapshot encodes a state snapshot.
func EncodeSnapshot(s state.Snapshot) ([]byte, error) {
	return encode(snapshotToProto(s), MaxSnapshotBytes, "state snapshot")
}

// DecodeSnapshot decodes a state snapshot.
func DecodeSnapshot(data []byte) (state.Snapshot, error) {
	m := &statepb.Snapshot{}
	if err := decode(data, m, MaxSnapshotBytes, "state snapshot"); err != nil {
		return state.Snapshot{}, err
	}
	return snapshotFromProto(m)
}
