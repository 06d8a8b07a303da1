// Package peertest is an in-memory peer transport, for tests and measurements with many VMs in one process. It
// registers the module peer.memory; a VM joins the network that its settings name under [peer_memory].
package peertest

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "peer_memory"

// inboxLength limits the messages that wait for one VM.
const inboxLength = 8192

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "peer.memory",
		New:      func() kernel.Module { return &Transport{} },
		Provides: []kernel.Capability{kernel.CapPeerTransport},
		Enabled:  func(s *settings.Settings) bool { return s.String(section, "network") != "" },
		Settings: []settings.Key{{Section: section, Name: "network", Help: "name of a network of this process"}},
	})
}

// Link is the state of the connection from one VM to another.
type Link int

// The states of a link.
const (
	// LinkUp delivers messages.
	LinkUp Link = iota
	// LinkUnresponsive drops all messages, but reports the other VM to the sender as connected.
	LinkUnresponsive
	// LinkDown reports the other VM to the sender as not connected.
	LinkDown
)

// Network connects the VMs of one test.
type Network struct {
	name    string
	mu      sync.Mutex
	vms     map[model.VMName]*Transport
	links   func(from, to model.VMName) Link
	dropped func(from, to model.VMName, m kernel.PeerMessage) bool
}

var networks sync.Map

// NewNetwork returns an empty network. Close removes it.
func NewNetwork(name string) *Network {
	n := &Network{name: name, vms: map[model.VMName]*Transport{}}
	networks.Store(name, n)
	return n
}

// Close removes the network.
func (n *Network) Close() { networks.Delete(n.name) }

// SetLinks replaces the state of all links and reports the changes to the VMs. Nil means that all are up.
func (n *Network) SetLinks(links func(from, to model.VMName) Link) {
	n.mu.Lock()
	n.links = links
	n.mu.Unlock()
	n.notify()
}

// DropMessages sets a function that reports whether a one-way message is dropped. Nil means that none is.
func (n *Network) DropMessages(dropped func(from, to model.VMName, m kernel.PeerMessage) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = dropped
}

// Traffic counts the messages and bytes that one VM sent and received.
type Traffic struct{ MessagesOut, BytesOut, MessagesIn, BytesIn int64 }

// Traffic returns the traffic of a VM since it started.
func (n *Network) Traffic(vm model.VMName) Traffic {
	n.mu.Lock()
	t := n.vms[vm]
	n.mu.Unlock()
	if t == nil {
		return Traffic{}
	}
	return Traffic{t.messagesOut.Load(), t.bytesOut.Load(), t.messagesIn.Load(), t.bytesIn.Load()}
}

// link returns the transport of the receiver and the state of the link to it. The transport is nil, and the link down, if
// the network lacks one of the VMs.
func (n *Network) link(from, to model.VMName) (*Transport, Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.vms[to]
	if t == nil || n.vms[from] == nil {
		return nil, LinkDown
	}
	if n.links != nil {
		return t, n.links(from, to)
	}
	return t, LinkUp
}

func (n *Network) drops(from, to model.VMName, m kernel.PeerMessage) bool {
	n.mu.Lock()
	dropped := n.dropped
	n.mu.Unlock()
	return dropped != nil && dropped(from, to, m)
}

func (n *Network) notify() {
	n.mu.Lock()
	vms := make([]*Transport, 0, len(n.vms))
	for _, t := range n.vms {
		vms = append(vms, t)
	}
	n.mu.Unlock()
	for _, t := range vms {
		t.notify()
	}
}

type delivery struct {
	from    model.VMName
	message kernel.PeerMessage
}

// Transport implements kernel.PeerTransport for one VM.
type Transport struct {
	network     *Network
	self        model.Holder
	announceURL string
	peers       []settings.Peer
	handlers    map[string]kernel.PeerHandler
	mu          sync.Mutex
	peersLock   sync.Mutex
	listeners   []func(kernel.PeerStatus)
	lastStatus  map[model.VMName]kernel.PeerStatus
	inbox       chan delivery
	cancel      context.CancelFunc
	done        chan struct{}

	messagesOut, bytesOut, messagesIn, bytesIn atomic.Int64
}

// Provision implements kernel.Provisioner.
func (t *Transport) Provision(ctx *kernel.Context) error {
	n, ok := networks.Load(ctx.Settings.String(section, "network"))
	if !ok {
		return errs.New(errs.KindInvalid, "call NewNetwork first", "the network of the settings does not exist")
	}
	t.network, t.self, t.peers = n.(*Network), ctx.VM, ctx.Settings.Peers
	t.handlers, t.lastStatus = map[string]kernel.PeerHandler{}, map[model.VMName]kernel.PeerStatus{}
	t.inbox, t.done = make(chan delivery, inboxLength), make(chan struct{})
	return nil
}

// Start implements kernel.Starter.
func (t *Transport) Start(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	go t.receive(runCtx)
	t.network.mu.Lock()
	t.network.vms[t.self.VM] = t
	t.network.mu.Unlock()
	t.network.notify()
	return nil
}

// Stop implements kernel.Stopper.
func (t *Transport) Stop(context.Context) error {
	if t.cancel == nil {
		return nil
	}
	t.network.mu.Lock()
	if t.network.vms[t.self.VM] == t {
		delete(t.network.vms, t.self.VM)
	}
	t.network.mu.Unlock()
	t.network.notify()
	t.cancel()
	<-t.done
	return nil
}

func (t *Transport) receive(runCtx context.Context) {
	defer close(t.done)
	for {
		select {
		case <-runCtx.Done():
			return
		case d := <-t.inbox:
			if h := t.handlers[d.message.Kind]; h != nil {
				_, _ = h(runCtx, d.from, d.message.Payload) // A one-way message has no reply.
			}
		}
	}
}

// SetAnnounceURL sets the announcement URL that other VMs see, like the method of the module peer.yamux.
func (t *Transport) SetAnnounceURL(announceURL string) { t.announceURL = announceURL }

// Handle implements kernel.PeerTransport.
func (t *Transport) Handle(kind string, h kernel.PeerHandler) { t.handlers[kind] = h }

// Call implements kernel.PeerTransport. The handler runs on the caller's goroutine.
func (t *Transport) Call(ctx context.Context, to model.VMName, m kernel.PeerMessage) ([]byte, error) {
	other, link := t.network.link(t.self.VM, to)
	switch link {
	case LinkDown:
		return nil, errs.New(errs.KindUnavailable, "try again once the VM is reachable", "VM %q is not connected", to)
	case LinkUnresponsive:
		<-ctx.Done()
		return nil, errs.Wrap(ctx.Err(), errs.KindUnknownOutcome, "query whether the message took effect", "no reply from VM %q", to)
	}
	h := other.handlers[m.Kind]
	if h == nil {
		return nil, errs.New(errs.KindUnavailable, "enable the module on that VM", "VM %q does not handle %q", to, m.Kind)
	}
	t.count(other, m)
	reply, err := h(ctx, t.self.VM, m.Payload)
	other.count(t, kernel.PeerMessage{Kind: m.Kind, Payload: reply})
	return reply, err
}

func (t *Transport) count(to *Transport, m kernel.PeerMessage) {
	size := int64(len(m.Payload) + len(m.Kind))
	t.messagesOut.Add(1)
	t.bytesOut.Add(size)
	to.messagesIn.Add(1)
	to.bytesIn.Add(size)
}

// Send implements kernel.PeerTransport.
func (t *Transport) Send(to model.VMName, m kernel.PeerMessage) bool {
	other, link := t.network.link(t.self.VM, to)
	if link == LinkDown {
		return false
	}
	if link == LinkUnresponsive || t.network.drops(t.self.VM, to, m) {
		return true
	}
	select {
	case other.inbox <- delivery{t.self.VM, m}:
		t.count(other, m)
		return true
	default:
		return false
	}
}

// Peers implements kernel.PeerTransport.
func (t *Transport) Peers() []kernel.PeerStatus {
	var out []kernel.PeerStatus
	t.peersLock.Lock()
	peers := slices.Clone(t.peers)
	t.peersLock.Unlock()
	for _, p := range peers {
		s := kernel.PeerStatus{VM: p.Name, AvailabilityZone: p.AvailabilityZone, Control: p.HasRole(settings.RoleControl)}
		if other, link := t.network.link(t.self.VM, p.Name); link != LinkDown {
			s.Connected, s.Incarnation, s.AnnounceURL = true, other.self.Incarnation, other.announceURL
		}
		out = append(out, s)
	}
	return out
}

// AddPeer implements kernel.PeerTransport.
func (t *Transport) AddPeer(p settings.Peer) {
	t.peersLock.Lock()
	defer t.peersLock.Unlock()
	if p.Name != t.self.VM && !slices.ContainsFunc(t.peers, func(other settings.Peer) bool { return other.Name == p.Name }) {
		t.peers = append(t.peers, p)
	}
}

// OnChange implements kernel.PeerTransport.
func (t *Transport) OnChange(fn func(kernel.PeerStatus)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, fn)
}

// notify passes each changed status of a peer to the listeners, on a new goroutine for each call.
func (t *Transport) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.Peers() {
		if t.lastStatus[s.VM] == s {
			continue
		}
		t.lastStatus[s.VM] = s
		for _, fn := range t.listeners {
			go fn(s)
		}
	}
}
