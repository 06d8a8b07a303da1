package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

// kindExtra is the kind of peer messages that request extra attempts.
const kindExtra = "membership.extra"

// maxExtraServices limits the services of one request. A scatter-gather request has one for each shard.
const maxExtraServices = 4096

// RequestExtras implements kernel.ExtraGranter. It asks the control VM that this VM reports to, which is one of its own zone if that
// responds.
func (m *Module) RequestExtras(ctx context.Context, services []model.ServiceName) ([]bool, error) {
	to := m.primaryControlVM()
	if to == "" {
		return nil, errs.New(errs.KindUnavailable, "wait until a control VM responds", "no control VM is known yet")
	}
	req := &membershippb.ExtraRequest{}
	for _, s := range services {
		req.Services = append(req.Services, string(s))
	}
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	data, err = m.peers.Call(ctx, to, kernel.PeerMessage{Kind: kindExtra, Payload: data})
	if err != nil {
		return nil, err
	}
	var reply membershippb.ExtraReply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return nil, errs.Wrap(err, errs.KindInvalid, "run the same release on all VMs", "answer to a request for extra attempts cannot be decoded")
	}
	if len(reply.GetGranted()) != len(services) {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "%d of %d extra attempts are answered", len(reply.GetGranted()), len(services))
	}
	return reply.GetGranted(), nil
}

func (m *Module) handleExtra(ctx context.Context, _ model.VMName, payload []byte) ([]byte, error) {
	var req membershippb.ExtraRequest
	if err := proto.Unmarshal(payload, &req); err != nil || len(req.GetServices()) > maxExtraServices {
		return nil, errs.New(errs.KindInvalid, "run the same release on all VMs", "request for extra attempts cannot be decoded")
	}
	reply := &membershippb.ExtraReply{}
	if err := m.control.Do(ctx, func(now time.Time) { reply.Granted = m.grantExtras(now, req.GetServices()) }); err != nil {
		return nil, err
	}
	return proto.Marshal(reply)
}

// grantExtras grants one extra attempt at each of the services as far as the pool of this control VM allows.
func (m *Module) grantExtras(now time.Time, services []string) []bool {
	controlVMs := m.controlVMCount()
	granted := make([]bool, len(services))
	for i, s := range services {
		granted[i] = m.extraPool.Grant(now, model.ServiceName(s), controlVMs)
		if granted[i] {
			m.metrics.extrasGranted.Inc(1)
		} else {
			m.metrics.extrasDenied.Inc(1)
		}
	}
	return granted
}

// controlVMCount returns the number of control VMs that this control VM knows, itself included. Those that were replaced stay known,
// so that the parts of the pool never add up to more than the whole.
func (m *Module) controlVMCount() int {
	n := 1
	for _, p := range m.peers.Peers() {
		if p.Control {
			n++
		}
	}
	return n
}
