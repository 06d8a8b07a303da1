package dissemination

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/dissemination"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// The kinds of messages between VMs.
const (
	kindPush        = "state.push"
	kindConfirm     = "state.confirm"
	kindSubscribe   = "state.subscribe"
	kindUnsubscribe = "state.unsubscribe"
	kindProbe       = "state.probe"
)

// callTimeout limits a call to another VM. It is long enough for a full state of the largest size.
const callTimeout = 3 * time.Second

type (
	tickEvent  struct{}
	peersEvent struct{}
	pushEvent  struct {
		from model.VMName
		push dissemination.Push
	}
	confirmEvent struct {
		from         model.VMName
		confirmation dissemination.Confirmation
	}
	unsubscribeEvent struct{ from model.VMName }
	answerEvent      struct {
		call   dissemination.SubscribeCall
		answer dissemination.SubscribeAnswer
		err    error
	}
	probeEvent struct {
		from         model.VMName
		confirmation dissemination.Confirmation
		err          error
	}
)

// exchange connects the dissemination node with the transport.
type exchange struct {
	module    *Module
	transport kernel.PeerTransport
	peers     map[model.VMName]settings.Peer
	// fetching holds the VMs with a pending request for their state without a subscription, so that a slow VM does not
	// get the same request twice.
	fetching map[model.VMName]bool
}

func newExchange(m *Module, ctx *kernel.Context) *exchange {
	x := &exchange{module: m, peers: map[model.VMName]settings.Peer{}, fetching: map[model.VMName]bool{}}
	for _, p := range ctx.Settings.Peers {
		x.peers[p.Name] = p
	}
	t, err := kernel.Lookup[kernel.PeerTransport](ctx)
	if err != nil {
		return x
	}
	x.transport = t
	t.Handle(kindPush, x.onPush)
	t.Handle(kindConfirm, x.onConfirm)
	t.Handle(kindSubscribe, x.onSubscribe)
	t.Handle(kindUnsubscribe, x.onUnsubscribe)
	t.Handle(kindProbe, x.onProbe)
	t.OnChange(func(kernel.PeerStatus) { _ = m.control.PostWait(context.Background(), peersEvent{}) }) // It fails only when the process ends.
	return x
}

func (x *exchange) onPush(ctx context.Context, from model.VMName, data []byte) ([]byte, error) {
	p, err := decodePush(data)
	if err != nil {
		_ = level.Error(x.module.logger).Log("msg", "update of the replicated state could not be decoded", "from", from, "err", err)
		return nil, err
	}
	return nil, x.module.control.PostWait(ctx, pushEvent{from, p})
}

func (x *exchange) onConfirm(ctx context.Context, from model.VMName, data []byte) ([]byte, error) {
	c, err := decodeConfirmation(data)
	if err != nil {
		return nil, err
	}
	return nil, x.module.control.PostWait(ctx, confirmEvent{from, c})
}

func (x *exchange) onUnsubscribe(ctx context.Context, from model.VMName, _ []byte) ([]byte, error) {
	return nil, x.module.control.PostWait(ctx, unsubscribeEvent{from})
}

func (x *exchange) onSubscribe(ctx context.Context, from model.VMName, data []byte) ([]byte, error) {
	s, err := decodeSubscribe(data)
	if err != nil {
		return nil, err
	}
	var a dissemination.SubscribeAnswer
	if doErr := x.module.control.Do(ctx, func(now time.Time) { a, err = x.module.node.HandleSubscribe(now, from, s) }); doErr != nil {
		return nil, doErr
	}
	if err != nil {
		return nil, err
	}
	return encodeAnswer(a)
}

func (x *exchange) onProbe(ctx context.Context, _ model.VMName, _ []byte) ([]byte, error) {
	var c dissemination.Confirmation
	if err := x.module.control.Do(ctx, func(now time.Time) { c = x.module.node.Confirmation(now) }); err != nil {
		return nil, err
	}
	return encodeConfirmation(c)
}

// handleEvent handles the events of the exchange, and reports whether the event was one of them.
func (x *exchange) handleEvent(now time.Time, ev kernel.Event) bool {
	node := x.module.node
	switch ev := ev.(type) {
	case peersEvent:
		x.refreshPeers(now)
	case pushEvent:
		node.HandlePush(now, ev.from, ev.push)
	case confirmEvent:
		node.HandleConfirmation(now, ev.from, ev.confirmation)
	case unsubscribeEvent:
		node.HandleUnsubscribe(ev.from)
	case answerEvent:
		if ev.call.Subscribe.Once {
			delete(x.fetching, ev.call.To)
		}
		if ev.err != nil {
			_ = level.Info(x.module.logger).Log("msg", "subscription to another VM failed", "to", ev.call.To, "err", ev.err)
		}
		node.HandleSubscribeAnswer(now, ev.call, ev.answer, ev.err)
	case probeEvent:
		node.HandleProbeAnswer(now, ev.from, ev.confirmation, ev.err)
	default:
		return false
	}
	return true
}

func (x *exchange) refreshPeers(now time.Time) {
	if x.transport == nil {
		return
	}
	var peers []dissemination.Peer
	for _, p := range x.transport.Peers() {
		if s, ok := x.peers[p.VM]; ok && p.Connected {
			peers = append(peers, dissemination.Peer{VM: p.VM, Zone: p.AvailabilityZone, Entry: s.HasRole(settings.RoleEntry), Control: s.HasRole(settings.RoleControl)})
		}
	}
	x.module.node.SetPeers(now, peers)
}

func (x *exchange) applyEffects(now time.Time, e dissemination.Effects) {
	if x.transport == nil {
		return
	}
	if e.Push != nil && len(e.PushTo) > 0 {
		data, err := encodePush(*e.Push)
		if err != nil {
			_ = level.Error(x.module.logger).Log("msg", "update of the replicated state could not be encoded and is not pushed", "err", err)
		} else {
			x.sendAll(e.PushTo, kindPush, data)
		}
	}
	if len(e.ConfirmTo) > 0 {
		if data, err := encodeConfirmation(x.module.node.Confirmation(now)); err == nil {
			x.sendAll(e.ConfirmTo, kindConfirm, data)
		}
	}
	x.sendAll(e.Unsubscribes, kindUnsubscribe, nil)
	for _, c := range e.Subscribes {
		x.subscribe(c)
	}
	for _, vm := range e.Probes {
		x.probe(vm)
	}
}

func (x *exchange) sendAll(to []model.VMName, kind string, data []byte) {
	for _, vm := range to {
		if x.transport.Send(vm, kernel.PeerMessage{Kind: kind, Payload: data}) {
			x.module.scope.Counter("messages_sent").Inc(1)
			x.module.scope.Counter("bytes_sent").Inc(int64(len(data)))
		}
	}
}

func (x *exchange) subscribe(c dissemination.SubscribeCall) {
	if c.Subscribe.Once {
		if x.fetching[c.To] {
			return
		}
		x.fetching[c.To] = true
	}
	_ = level.Debug(x.module.logger).Log("msg", "subscribing to another VM", "to", c.To, "revision", c.Subscribe.Revision, "primary", c.Subscribe.Primary)
	runCtx := x.module.runCtx
	go func() {
		ev := answerEvent{call: c}
		var data []byte
		if data, ev.err = encodeSubscribe(c.Subscribe); ev.err == nil {
			data, ev.err = x.call(runCtx, c.To, kindSubscribe, data)
		}
		if ev.err == nil {
			ev.answer, ev.err = decodeAnswer(data)
		}
		_ = x.module.control.PostWait(runCtx, ev) // It fails only when the process ends.
	}()
}

func (x *exchange) probe(vm model.VMName) {
	runCtx := x.module.runCtx
	go func() {
		ev := probeEvent{from: vm}
		var data []byte
		if data, ev.err = x.call(runCtx, vm, kindProbe, nil); ev.err == nil {
			ev.confirmation, ev.err = decodeConfirmation(data)
		}
		_ = x.module.control.PostWait(runCtx, ev) // It fails only when the process ends.
	}()
}

func (x *exchange) call(runCtx context.Context, to model.VMName, kind string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(runCtx, callTimeout)
	defer cancel()
	return x.transport.Call(ctx, to, kernel.PeerMessage{Kind: kind, Payload: data})
}
