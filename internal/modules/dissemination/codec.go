package dissemination

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/dissemination"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/dissemination/disseminationpb"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
)

// maxAge limits the ages in messages, so that an invalid one cannot overflow a time.
const maxAge = 10 * 365 * 24 * time.Hour

func encodeAge(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func decodeAge(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(min(ms, maxAge.Milliseconds())) * time.Millisecond
}

func decode(data []byte, m proto.Message) error {
	return errs.Wrap(proto.Unmarshal(data, m), errs.KindInvalid, "run the same release on all VMs", "dissemination message cannot be decoded")
}

func confirmationToProto(c dissemination.Confirmation) *disseminationpb.Confirmation {
	return &disseminationpb.Confirmation{Revision: c.Revision, Digest: c.Digest, AgeMs: encodeAge(c.Age)}
}

func confirmationFromProto(c *disseminationpb.Confirmation) dissemination.Confirmation {
	return dissemination.Confirmation{Revision: c.GetRevision(), Digest: c.GetDigest(), Age: decodeAge(c.GetAgeMs())}
}

func encodeConfirmation(c dissemination.Confirmation) ([]byte, error) {
	return proto.Marshal(confirmationToProto(c))
}

func decodeConfirmation(data []byte) (dissemination.Confirmation, error) {
	var m disseminationpb.Confirmation
	err := decode(data, &m)
	return confirmationFromProto(&m), err
}

func encodePush(p dissemination.Push) ([]byte, error) {
	update, err := statecodec.EncodeUpdate(p.Update)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&disseminationpb.Push{Update: update, AgeMs: encodeAge(p.Age)})
}

func decodePush(data []byte) (dissemination.Push, error) {
	var m disseminationpb.Push
	if err := decode(data, &m); err != nil {
		return dissemination.Push{}, err
	}
	u, err := statecodec.DecodeUpdate(m.GetUpdate())
	return dissemination.Push{Update: u, Age: decodeAge(m.GetAgeMs())}, err
}

func encodeSubscribe(s dissemination.Subscribe) ([]byte, error) {
	return proto.Marshal(&disseminationpb.Subscribe{Revision: s.Revision, Digest: s.Digest, Primary: s.Primary, Once: s.Once})
}

func decodeSubscribe(data []byte) (dissemination.Subscribe, error) {
	var m disseminationpb.Subscribe
	err := decode(data, &m)
	return dissemination.Subscribe{Revision: m.GetRevision(), Digest: m.GetDigest(), Primary: m.GetPrimary(), Once: m.GetOnce()}, err
}

func encodeAnswer(a dissemination.SubscribeAnswer) ([]byte, error) {
	m := &disseminationpb.SubscribeAnswer{Confirmation: confirmationToProto(a.Confirmation)}
	if a.Update != nil {
		update, err := statecodec.EncodeUpdate(*a.Update)
		if err != nil {
			return nil, err
		}
		m.Update = update
	}
	return proto.Marshal(m)
}

func decodeAnswer(data []byte) (dissemination.SubscribeAnswer, error) {
	var m disseminationpb.SubscribeAnswer
	if err := decode(data, &m); err != nil {
		return dissemination.SubscribeAnswer{}, err
	}
	a := dissemination.SubscribeAnswer{Confirmation: confirmationFromProto(m.GetConfirmation())}
	if len(m.GetUpdate()) == 0 {
		return a, nil
	}
	u, err := statecodec.DecodeUpdate(m.GetUpdate())
	var update state.Update = u
	a.Update = &update
	return a, err
}
