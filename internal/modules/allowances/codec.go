package allowances

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/allowances/allowancespb"
)

// maxAsks limits the asks, returns and loans of one message. A request to all shards has one ask for each service.
const maxAsks = 256

func malformed(what string) error {
	return errs.New(errs.KindInvalid, "run the same release on all VMs", "%s cannot be decoded", what)
}

// encodable returns an allowance that owners accept. A message with one that they do not accept would fail for all asks in it.
func encodable(k allowance.Key, l allowance.Limit) (allowance.Key, allowance.Limit) {
	return allowance.NewKey(k.Kind, k.Name), l.Bounded()
}

func allowanceToProto(k allowance.Key, l allowance.Limit) *allowancespb.Allowance {
	return &allowancespb.Allowance{Kind: uint32(k.Kind), Name: k.Name, Rate: l.Rate, Burst: l.Burst, Slack: l.Slack, Version: l.Version}
}

func allowanceFromProto(in *allowancespb.Allowance) (allowance.Key, allowance.Limit, bool) {
	l := allowance.Limit{Rate: in.GetRate(), Burst: in.GetBurst(), Slack: in.GetSlack(), Version: in.GetVersion()}
	ok := in.GetKind() <= math.MaxUint8 && len(in.GetName()) <= allowance.MaxNameBytes
	for _, v := range []float64{l.Rate, l.Burst, l.Slack} {
		ok = ok && v >= 0 && v <= allowance.MaxUnits // False for what is not a number.
	}
	return allowance.Key{Kind: allowance.Kind(in.GetKind()), Name: in.GetName()}, l, ok
}

func encodeAsks(asks []allowance.Ask, returns []allowance.Refund) ([]byte, error) {
	req := &allowancespb.AskRequest{}
	for _, a := range asks {
		req.Asks = append(req.Asks, &allowancespb.Ask{Allowance: allowanceToProto(a.Key, a.Limit), Units: uint32(a.N)})
	}
	for _, r := range returns {
		req.Returns = append(req.Returns, &allowancespb.Ask{Allowance: allowanceToProto(r.Key, allowance.Limit{}), Units: uint32(r.N)})
	}
	return proto.Marshal(req)
}

func asksFromProto(list []*allowancespb.Ask) ([]allowance.Ask, error) {
	out := make([]allowance.Ask, 0, len(list))
	for _, a := range list {
		key, limit, ok := allowanceFromProto(a.GetAllowance())
		if !ok || a.GetUnits() == 0 || a.GetUnits() > allowance.MaxUnits {
			return nil, malformed("request for allowances")
		}
		out = append(out, allowance.Ask{Key: key, Limit: limit, N: int(a.GetUnits())})
	}
	return out, nil
}

func decodeAsks(data []byte) (asks, returns []allowance.Ask, err error) {
	var req allowancespb.AskRequest
	if err := proto.Unmarshal(data, &req); err != nil || len(req.GetAsks()) > maxAsks || len(req.GetReturns()) > maxAsks {
		return nil, nil, malformed("request for allowances")
	}
	if asks, err = asksFromProto(req.GetAsks()); err != nil {
		return nil, nil, err
	}
	returns, err = asksFromProto(req.GetReturns())
	return asks, returns, err
}

func encodeAnswers(answers []allowance.Answer) ([]byte, error) {
	reply := &allowancespb.AskReply{}
	for _, a := range answers {
		reply.Decisions = append(reply.Decisions, &allowancespb.Decision{Granted: a.Granted, RetryAfterMs: uint32((a.RetryAfter + time.Millisecond - 1).Milliseconds())})
	}
	return proto.Marshal(reply)
}

func decodeAnswers(data []byte, n int) ([]allowance.Answer, error) {
	var reply allowancespb.AskReply
	if err := proto.Unmarshal(data, &reply); err != nil || len(reply.GetDecisions()) != n {
		return nil, malformed("answer to a request for allowances")
	}
	out := make([]allowance.Answer, 0, n)
	for _, d := range reply.GetDecisions() {
		out = append(out, allowance.Answer{Granted: d.GetGranted(), RetryAfter: time.Duration(d.GetRetryAfterMs()) * time.Millisecond})
	}
	return out, nil
}

func encodeBorrows(list []allowance.Borrow) ([]byte, error) {
	req := &allowancespb.BorrowRequest{}
	for _, b := range list {
		req.Loans = append(req.Loans, &allowancespb.Loan{Allowance: allowanceToProto(b.Key, b.Limit), Units: b.Units})
	}
	return proto.Marshal(req)
}

func decodeBorrows(data []byte) ([]allowance.Borrow, error) {
	var req allowancespb.BorrowRequest
	if err := proto.Unmarshal(data, &req); err != nil || len(req.GetLoans()) > maxAsks {
		return nil, malformed("request for units of an allowance")
	}
	out := make([]allowance.Borrow, 0, len(req.GetLoans()))
	for _, l := range req.GetLoans() {
		key, limit, ok := allowanceFromProto(l.GetAllowance())
		if !ok {
			return nil, malformed("request for units of an allowance")
		}
		out = append(out, allowance.Borrow{Key: key, Limit: limit, Units: l.GetUnits()})
	}
	return out, nil
}

func encodeUnits(units []float64) ([]byte, error) {
	return proto.Marshal(&allowancespb.BorrowReply{Units: units})
}

func decodeUnits(data []byte, n int) ([]float64, error) {
	var reply allowancespb.BorrowReply
	if err := proto.Unmarshal(data, &reply); err != nil || len(reply.GetUnits()) != n {
		return nil, malformed("answer to a request for units of an allowance")
	}
	return reply.GetUnits(), nil
}
