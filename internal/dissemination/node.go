// Package dissemination implements the protocol by which the replicated state reaches every VM. It does no I/O: its
// input is messages, answers and the time, its output is messages and calls.
//
// The state is pushed along subscriptions. Relays, a few entry VMs of each availability zone, subscribe to the
// control VMs, and the other VMs of the zone subscribe to their relays. A subscriber has one primary upstream,
// which pushes each change as a delta, and others, which push only a confirmation of their revision and digest.
// If a subscriber receives a confirmation with a higher revision or another digest, and its primary does not push the
// change, it subscribes again, and the answer contains the missing delta or the full state. All upstreams confirm at a
// fixed interval, so that a subscriber detects an unresponsive one.
package dissemination

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// RelaysPerZone is the number of VMs of a zone that subscribe to the control VMs.
	RelaysPerZone = 2
	// maxSubscribers limits the number of VMs to which one VM pushes each change. A zone of the target size has 750
	// VMs.
	maxSubscribers = 2048
	// maxProbes limits the neighbours that a VM without a state probes.
	maxProbes = 16
	// StaleAfter is the time without a confirmation by the control group after which a VM uses fallback upstreams.
	StaleAfter = 5 * time.Second
	// fallbackTime is how long fallback upstreams are kept. Without it the VM would unsubscribe from them as soon as
	// they deliver a confirmation.
	fallbackTime = time.Minute
	// infiniteAge is the age of the last confirmation when there was none.
	infiniteAge = time.Duration(1<<63 - 1)
)

// Peer is a VM and its roles.
type Peer struct {
	VM      model.VMName
	Zone    model.AvailabilityZone
	Entry   bool
	Control bool
}

// Confirmation identifies the state that a VM has, and how long ago the control group confirmed it.
type Confirmation struct {
	Revision uint64
	Digest   uint64
	// Age is the time since the control group last confirmed the state, or negative if it never did.
	Age time.Duration
}

// Push is a message with a change of the state.
type Push struct {
	Update state.Update
	Age    time.Duration
}

// Subscribe is a request for a subscription and for the changes that the subscriber lacks. Revision and Digest identify
// the subscriber's state.
type Subscribe struct {
	Revision uint64
	Digest   uint64
	// Primary requests changes in addition to confirmations.
	Primary bool
	// Once requests only the state, without a subscription.
	Once bool
}

// SubscribeAnswer contains the update from the subscriber's revision to the revision of the upstream. Update is nil if
// the subscriber already has that state.
type SubscribeAnswer struct {
	Update       *state.Update
	Confirmation Confirmation
}

// SubscribeCall is a Subscribe request to be sent to a VM.
type SubscribeCall struct {
	To        model.VMName
	Subscribe Subscribe
}

// Effects holds the actions that the owner of a Node has to carry out.
type Effects struct {
	// Push is sent to the VMs in PushTo, a Confirmation to those in ConfirmTo.
	Push       *Push
	PushTo     []model.VMName
	ConfirmTo  []model.VMName
	Subscribes []SubscribeCall
	// Unsubscribes lists the VMs that should stop pushing to this one.
	Unsubscribes []model.VMName
	// Probes lists the VMs to request a Confirmation from.
	Probes []model.VMName
	// Changed reports whether the state has changed.
	Changed bool
	// Refused is the reason why an update was not applied, or nil.
	Refused error
}

// Config identifies a VM and sets the intervals.
type Config struct {
	Self    model.VMName
	Zone    model.AvailabilityZone
	Entry   bool
	Control bool
	// Interval is the time between two confirmations. An upstream that sends nothing for three intervals is
	// unresponsive.
	Interval time.Duration
	// BootstrapGrace is how long a VM that starts waits for the answers of all its bootstrap peers.
	BootstrapGrace time.Duration
	// BootstrapPeers lists the VMs of the settings, reachable or not, among which a VM without a state chooses those
	// that it probes.
	BootstrapPeers []Peer
}

// Node is the state of one VM. It is owned by one goroutine.
type Node struct {
	config         Config
	disseminated   *state.DisseminatedState
	controlContact time.Time
	peers          []Peer
	upstreams      map[model.VMName]*upstream
	subscribers    map[model.VMName]bool
	bootstrap      bootstrap
	// fallbackUntil is the time until which this VM also subscribes to fallback upstreams.
	fallbackUntil time.Time
	effects       Effects
}

// NewNode returns the state of a VM that has received nothing.
func NewNode(now time.Time, c Config) *Node {
	n := &Node{config: c, disseminated: state.NewDisseminatedState(), upstreams: map[model.VMName]*upstream{}, subscribers: map[model.VMName]bool{}}
	n.bootstrap = newBootstrap(now, c)
	return n
}

// Disseminated returns the state. It is immutable.
func (n *Node) Disseminated() *state.DisseminatedState { return n.disseminated }

// ControlContact returns when the control group last confirmed the state, or zero.
func (n *Node) ControlContact() time.Time { return n.controlContact }

// TakeEffects returns the pending effects and clears them.
func (n *Node) TakeEffects() Effects {
	e := n.effects
	n.effects = Effects{}
	return e
}

// SetPeers replaces the reachable VMs and updates the subscriptions.
func (n *Node) SetPeers(now time.Time, peers []Peer) {
	n.peers = slices.Clone(peers)
	for vm := range n.subscribers {
		if !n.reachable(vm) {
			delete(n.subscribers, vm)
		}
	}
	n.chooseUpstreams(now)
	n.sendProbes()
}

func (n *Node) reachable(vm model.VMName) bool {
	return slices.ContainsFunc(n.peers, func(p Peer) bool { return p.VM == vm })
}

// SetLocalState sets the state of this control VM's own replica. confirmed reports whether the VM has a leader, so that
// its state is not the state of an isolated VM.
func (n *Node) SetLocalState(now time.Time, s *state.DisseminatedState, confirmed bool) {
	if confirmed {
		n.controlContact = now
	}
	if s.Revision > n.disseminated.Revision {
		n.install(now, s)
	}
}

// install replaces the state and pushes the change to the subscribers.
func (n *Node) install(now time.Time, next *state.DisseminatedState) {
	last := n.disseminated.Revision
	n.disseminated = next
	n.effects.Changed = true
	if len(n.subscribers) == 0 {
		return
	}
	n.effects.Push = &Push{Update: next.UpdateFrom(last), Age: n.age(now)}
	n.effects.PushTo, n.effects.ConfirmTo = nil, nil
	for vm, primary := range n.subscribers {
		if primary {
			n.effects.PushTo = append(n.effects.PushTo, vm)
		} else {
			n.effects.ConfirmTo = append(n.effects.ConfirmTo, vm)
		}
	}
}

// Confirmation returns the confirmation of this VM's state.
func (n *Node) Confirmation(now time.Time) Confirmation {
	return Confirmation{Revision: n.disseminated.Revision, Digest: n.disseminated.Digest(), Age: n.age(now)}
}

func (n *Node) age(now time.Time) time.Duration {
	if n.controlContact.IsZero() {
		return -1
	}
	return now.Sub(n.controlContact)
}

// controlContactAge returns the time since the control group last confirmed the state, or infiniteAge if it never did.
func (n *Node) controlContactAge(now time.Time) time.Duration {
	if n.controlContact.IsZero() {
		return infiniteAge
	}
	return now.Sub(n.controlContact)
}

// HandleSubscribe answers a Subscribe request of another VM.
func (n *Node) HandleSubscribe(now time.Time, from model.VMName, s Subscribe) (SubscribeAnswer, error) {
	if !s.Once {
		if _, subscribed := n.subscribers[from]; !subscribed && len(n.subscribers) >= maxSubscribers {
			return SubscribeAnswer{}, errs.New(errs.KindOverload, "subscribe to another VM", "this VM has reached its limit of %d subscribers", len(n.subscribers))
		}
		n.subscribers[from] = s.Primary
	}
	a := SubscribeAnswer{Confirmation: n.Confirmation(now)}
	current := n.disseminated
	switch {
	case s.Revision > current.Revision || s.Revision == current.Revision && s.Digest == current.Digest():
	case s.Revision == current.Revision:
		u := current.Full()
		a.Update = &u
	default:
		u := current.UpdateFrom(s.Revision)
		a.Update = &u
	}
	return a, nil
}

// HandleUnsubscribe removes a subscriber.
func (n *Node) HandleUnsubscribe(from model.VMName) { delete(n.subscribers, from) }

// HandleSubscribeAnswer handles the answer to a SubscribeCall. err is nil if the call succeeded.
func (n *Node) HandleSubscribeAnswer(now time.Time, c SubscribeCall, a SubscribeAnswer, err error) {
	u := n.upstreams[c.To]
	if u != nil && !c.Subscribe.Once {
		u.pending, u.subscribed = false, err == nil
	}
	if err != nil {
		return
	}
	if u != nil {
		u.lastContact, u.behindSince = now, time.Time{}
	}
	if a.Update != nil {
		n.apply(now, c.To, *a.Update, c.Subscribe.Revision > 0)
	}
	n.compareWithUpstream(now, c.To, a.Confirmation)
}

// HandlePush handles a change that an upstream pushed.
func (n *Node) HandlePush(now time.Time, from model.VMName, p Push) {
	n.recordContact(now, from)
	if p.Update.To > n.disseminated.Revision {
		n.apply(now, from, p.Update, true)
	}
	n.recordControlContact(now, p.Age)
}

// HandleConfirmation handles a confirmation that an upstream sent.
func (n *Node) HandleConfirmation(now time.Time, from model.VMName, c Confirmation) {
	n.recordContact(now, from)
	n.compareWithUpstream(now, from, c)
}

// recordContact records a message of an upstream. It unsubscribes from a VM that is not an upstream.
func (n *Node) recordContact(now time.Time, from model.VMName) {
	if u := n.upstreams[from]; u != nil {
		u.lastContact = now
		return
	}
	n.effects.Unsubscribes = append(n.effects.Unsubscribes, from)
}

// compareWithUpstream compares this VM's state with the confirmation of an upstream. If an upstream that is not the
// primary is ahead, the VM waits for about one interval before it subscribes again, since the primary may be about to
// push the same change.
func (n *Node) compareWithUpstream(now time.Time, from model.VMName, c Confirmation) {
	n.recordControlContact(now, c.Age)
	u := n.upstreams[from]
	if u == nil {
		return
	}
	behind := c.Revision > n.disseminated.Revision
	differs := c.Revision == n.disseminated.Revision && c.Digest != n.disseminated.Digest()
	switch {
	case differs:
		n.subscribe(from, u, n.disseminated.Revision, n.disseminated.Digest())
	case !behind:
		u.behindSince = time.Time{}
	case u.primary:
		// The primary pushes a change before it confirms it, so the pushed change was lost.
		n.subscribe(from, u, n.disseminated.Revision, n.disseminated.Digest())
	case u.behindSince.IsZero():
		u.behindSince = now
	}
}

func (n *Node) recordControlContact(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now.Add(-age); at.After(n.controlContact) {
		n.controlContact = at
	}
}

// apply applies an update. If it cannot be applied and resubscribe is set, it subscribes again to get the missing
// changes.
func (n *Node) apply(now time.Time, from model.VMName, u state.Update, resubscribe bool) {
	next, err := n.disseminated.Apply(u)
	if err == nil {
		n.install(now, next)
		return
	}
	if errs.KindOf(err) == errs.KindConflict {
		return // This VM's state is newer.
	}
	n.effects.Refused = err
	if up := n.upstreams[from]; up != nil && resubscribe {
		revision, digest := n.disseminated.Revision, n.disseminated.Digest()
		if u.From == n.disseminated.Revision || u.Full {
			revision, digest = 0, 0 // The update itself is faulty, so the same one would fail again; request the full state.
		}
		n.subscribe(from, up, revision, digest)
	}
}

// Tick renews subscriptions, replaces unresponsive upstreams and confirms this VM's state to its subscribers. It has to
// be called once per Config.Interval.
func (n *Node) Tick(now time.Time) {
	n.chooseUpstreams(now)
	for vm, u := range n.upstreams {
		unresponsive := now.Sub(u.lastContact) >= 3*n.config.Interval
		late := !u.behindSince.IsZero() && now.Sub(u.behindSince) >= n.config.Interval/2
		if !u.subscribed || unresponsive || late {
			n.subscribe(vm, u, n.disseminated.Revision, n.disseminated.Digest())
		}
	}
	n.effects.ConfirmTo = n.effects.ConfirmTo[:0]
	for vm := range n.subscribers {
		n.effects.ConfirmTo = append(n.effects.ConfirmTo, vm)
	}
	n.tickBootstrap(now)
}
