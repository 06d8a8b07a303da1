package controlclient

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/controlclient/forwardpb"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
)

// replyVersion is the version of the replies to forwarded calls.
const replyVersion = 1

// handle returns a handler of calls that other VMs forward. It never forwards them again, so that there are no
// forwarding loops. Errors are encoded in the reply, so an error of the transport always means that the transport
// failed.
func (m *Module) handle(local func(context.Context, []byte) ([]byte, error)) kernel.PeerHandler {
	return func(ctx context.Context, _ model.VMName, data []byte) ([]byte, error) {
		payload, err := local(ctx, data)
		return encodeReply(payload, m.log.Status().Leader, err)
	}
}

// proposeLocal proposes a command to the local log. It validates the command first, so that no malformed entry reaches
// the log.
func (m *Module) proposeLocal(ctx context.Context, data []byte) ([]byte, error) {
	command, err := statecodec.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	if c, ok := command.(state.ApplyConfig); ok {
		if err := checkConfig(c); err != nil {
			return nil, err
		}
	}
	payload, err := m.log.Propose(ctx, data)
	return payload, proposeError(err)
}

func (m *Module) proposeEncodedLocal(ctx context.Context, data []byte) ([]byte, error) {
	payload, err := m.log.Propose(ctx, data)
	return payload, proposeError(err)
}

func (m *Module) readEncodedLocal(ctx context.Context, data []byte) ([]byte, error) {
	return m.log.Read(ctx, data)
}

func (m *Module) readLocal(ctx context.Context, data []byte) ([]byte, error) {
	if _, err := statecodec.DecodeQuery(data); err != nil {
		return nil, err
	}
	return m.log.Read(ctx, data)
}

// proposeError keeps errors of the kinds by which the control log reports that an entry was not applied, and converts
// every other error to one of kind outcome_unknown.
func proposeError(err error) error {
	if err == nil || errs.KindOf(err) == errs.KindUnavailable || classify(err) == outcomeUnknown {
		return errs.Wrap(err, errs.KindUnknownOutcome, "read the state before the command is sent again", "the command may have been applied")
	}
	return err
}

// checkConfig returns an error for a configuration that this release does not accept, and for values of the command
// that differ from those in its files.
func checkConfig(c state.ApplyConfig) error {
	parsed, err := config.Parse(c.Files)
	if err != nil {
		return err
	}
	if parsed.Seats != c.Seats || parsed.SeatLease != c.SeatLease || parsed.ClaimRetention != c.ClaimRetention {
		return errs.New(errs.KindInvalid, "run the same release on all VMs", "the seats, the seat lease or the claim retention of the command differ from those in its configuration files")
	}
	return nil
}

func encodeReply(payload []byte, leader model.VMName, err error) ([]byte, error) {
	r := &forwardpb.Reply{Version: replyVersion, Payload: payload, Leader: string(leader)}
	if err != nil {
		r.Payload, r.ErrorKind, r.ErrorMessage, r.ErrorRemedy = nil, string(errs.KindOf(err)), errs.MessageOf(err), errs.RemedyOf(err)
	}
	return proto.Marshal(r)
}

// decodeReply returns the payload or the error of a reply. A reply that cannot be decoded does not show whether the
// call was executed, so its error has the kind outcome_unknown.
func decodeReply(data []byte) (payload []byte, leader model.VMName, err error) {
	r := &forwardpb.Reply{}
	if err := proto.Unmarshal(data, r); err != nil || r.GetVersion() != replyVersion {
		return nil, "", errs.New(errs.KindUnknownOutcome, "run the same release on all VMs", "the reply of a control VM cannot be decoded")
	}
	if r.GetErrorKind() == "" {
		return r.GetPayload(), model.VMName(r.GetLeader()), nil
	}
	return nil, model.VMName(r.GetLeader()), errs.New(errs.Kind(r.GetErrorKind()), r.GetErrorRemedy(), "%s", r.GetErrorMessage())
}
