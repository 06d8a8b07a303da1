// Package dissemination decides how the replicated state reaches every VM. It is pure: messages, answers and the
// time go in, messages and calls come out.
//
// The state is pushed along subscriptions. Relays, a few entry VMs of each availability zone, subscribe to the
// control VMs, and the other VMs of the zone subscribe to their relays. A subscriber has one primary upstream,
// which pushes each change as a delta, and others, which push only a confirmation of their revision and digest.
// A subscriber that learns of a higher revision, or of another digest, and does not get the change from its
// primary subscribes again, and the answer brings the missing delta or the full state. All upstreams confirm at a
// fixed interval, so that a subscriber notices a silent one.
package dissemination

import (
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const (
	// RelaysPerZone is how many VMs of a zone subscribe to control.
	RelaysPerZone = 2
	// maxSubscribers bounds the pushes of one VM for each change. A zone of the target size has 750 VMs.
	maxSubscribers = 2048
	// maxProbes bounds the neighbours that a VM without a state asks.
	maxProbes = 16
	// StaleAfter is how long control may be silent before a VM looks for another way to it.
	StaleAfter = 5 * time.Second
	// detourTime is how long another way to control is kept. Without it the VM would leave that way as soon as it
	// works.
	detourTime = time.Minute
	// never is the age of a contact that there never was.
	never = time.Duration(1<<63 - 1)
)

// Peer is a VM that can be reached.
type Peer struct {
	VM      model.VMName
	Zone    model.AvailabilityZone
	Entry   bool
	Control bool
}

// Confirmation says what a VM has, and how long ago control confirmed it.
type Confirmation struct {
	Revision uint64
	Digest   uint64
	// Age is the time since control confirmed the state, or negative when it never did.
	Age time.Duration
}

// Push is a message with a change of the state.
type Push struct {
	Update state.Update
	Age    time.Duration
}

// Subscribe is a call for a subscription and for what the subscriber lacks.
type Subscribe struct {
	Revision uint64
	Digest   uint64
	// Primary asks for changes as well as confirmations.
	Primary bool
	// Once asks for the state only, without a subscription.
	Once bool
}

// SubscribeAnswer brings a subscriber to the revision of its upstream. Update is nil when it has it already.
type SubscribeAnswer struct {
	Update       *state.Update
	Confirmation Confirmation
}

// SubscribeCall is a call to be made.
type SubscribeCall struct {
	To        model.VMName
	Subscribe Subscribe
}

// Effects is what the owner of a Node has to carry out.
type Effects struct {
	// Push is sent to the VMs in PushTo, Confirm to those in ConfirmTo.
	Push       *Push
	PushTo     []model.VMName
	ConfirmTo  []model.VMName
	Subscribes []SubscribeCall
	// Unsubscribes lists VMs that push to this one and should no longer.
	Unsubscribes []model.VMName
	// Probes lists VMs to ask for their Confirmation.
	Probes []model.VMName
	// Changed says that the state is another one.
	Changed bool
	// Refused holds the reason why an update was not applied.
	Refused error
}

// Config names a VM and sets the times.
type Config struct {
	Self    model.VMName
	Zone    model.AvailabilityZone
	Entry   bool
	Control bool
	// Interval is the time between two confirmations. An upstream that is silent for three is left.
	Interval time.Duration
	// Grace is how long a VM without a state waits for all VMs around it to answer.
	Grace time.Duration
	// Around lists the VMs of the settings that a VM without a state asks, whether they can be reached or not.
	Around []Peer
}

// Node is the state of one VM. It is owned by one goroutine.
type Node struct {
	config      Config
	shared      *state.Shared
	contact     time.Time
	peers       []Peer
	upstreams   map[model.VMName]*upstream
	subscribers map[model.VMName]bool
	bootstrap   bootstrap
	// detourUntil is how long this VM looks for another way to control than its relays.
	detourUntil time.Time
	effects     Effects
}

// NewNode returns the state of a VM that has received nothing.
func NewNode(now time.Time, c Config) *Node {
	n := &Node{config: c, shared: state.NewShared(), upstreams: map[model.VMName]*upstream{}, subscribers: map[model.VMName]bool{}}
	n.bootstrap = newBootstrap(now, c)
	return n
}

// Shared returns the state. It is immutable.
func (n *Node) Shared() *state.Shared { return n.shared }

// Contact returns when control last confirmed the state, or zero.
func (n *Node) Contact() time.Time { return n.contact }

// TakeEffects returns what is to be carried out, and forgets it.
func (n *Node) TakeEffects() Effects {
	e := n.effects
	n.effects = Effects{}
	return e
}

// SetPeers replaces the VMs that can be reached, and renews the subscriptions.
func (n *Node) SetPeers(now time.Time, peers []Peer) {
	n.peers = slices.Clone(peers)
	for vm := range n.subscribers {
		if !n.reachable(vm) {
			delete(n.subscribers, vm)
		}
	}
	n.chooseUpstreams(now)
	n.probeAround()
}

func (n *Node) reachable(vm model.VMName) bool {
	return slices.ContainsFunc(n.peers, func(p Peer) bool { return p.VM == vm })
}

// LocalState hands over the state of this control VM. Confirmed says that the VM has a leader, so that its state
// is not that of an isolated VM.
func (n *Node) LocalState(now time.Time, s *state.Shared, confirmed bool) {
	if confirmed {
		n.contact = now
	}
	if s.Revision > n.shared.Revision {
		n.install(now, s)
	}
}

// install replaces the state and pushes the change on.
func (n *Node) install(now time.Time, next *state.Shared) {
	last := n.shared.Revision
	n.shared = next
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

// Confirmation returns what this VM has.
func (n *Node) Confirmation(now time.Time) Confirmation {
	return Confirmation{Revision: n.shared.Revision, Digest: n.shared.Digest(), Age: n.age(now)}
}

func (n *Node) age(now time.Time) time.Duration {
	if n.contact.IsZero() {
		return -1
	}
	return now.Sub(n.contact)
}

// contactAge is the time since the last contact, and very long when there never was one.
func (n *Node) contactAge(now time.Time) time.Duration {
	if n.contact.IsZero() {
		return never
	}
	return now.Sub(n.contact)
}

// Subscribed answers a call of another VM.
func (n *Node) Subscribed(now time.Time, from model.VMName, s Subscribe) (SubscribeAnswer, error) {
	if !s.Once {
		if _, known := n.subscribers[from]; !known && len(n.subscribers) >= maxSubscribers {
			return SubscribeAnswer{}, errs.New(errs.KindOverload, "subscribe to another VM", "%d VMs have subscribed here", len(n.subscribers))
		}
		n.subscribers[from] = s.Primary
	}
	a := SubscribeAnswer{Confirmation: n.Confirmation(now)}
	own := n.shared
	switch {
	case s.Revision > own.Revision || s.Revision == own.Revision && s.Digest == own.Digest():
	case s.Revision == own.Revision:
		u := own.Full()
		a.Update = &u
	default:
		u := own.UpdateFrom(s.Revision)
		a.Update = &u
	}
	return a, nil
}

// Unsubscribed forgets a subscriber.
func (n *Node) Unsubscribed(from model.VMName) { delete(n.subscribers, from) }

// Answered handles the answer to a SubscribeCall. Err is nil when the call succeeded.
func (n *Node) Answered(now time.Time, c SubscribeCall, a SubscribeAnswer, err error) {
	u := n.upstreams[c.To]
	if u != nil && !c.Subscribe.Once {
		u.pending, u.subscribed = false, err == nil
	}
	if err != nil {
		return
	}
	if u != nil {
		u.heardAt, u.behindSince = now, time.Time{}
	}
	if a.Update != nil {
		n.apply(now, c.To, *a.Update, c.Subscribe.Revision > 0)
	}
	n.heard(now, c.To, a.Confirmation)
}

// Pushed handles a change that an upstream pushed.
func (n *Node) Pushed(now time.Time, from model.VMName, p Push) {
	n.touch(now, from)
	if p.Update.To > n.shared.Revision {
		n.apply(now, from, p.Update, true)
	}
	n.noteContact(now, p.Age)
}

// Confirmed handles a confirmation that an upstream pushed.
func (n *Node) Confirmed(now time.Time, from model.VMName, c Confirmation) {
	n.touch(now, from)
	n.heard(now, from, c)
}

func (n *Node) touch(now time.Time, from model.VMName) {
	if u := n.upstreams[from]; u != nil {
		u.heardAt = now
		return
	}
	n.effects.Unsubscribes = append(n.effects.Unsubscribes, from)
}

// heard compares this VM's state with that of an upstream. An upstream that is ahead is given the time of one
// interval, since the primary may be about to push the same change.
func (n *Node) heard(now time.Time, from model.VMName, c Confirmation) {
	n.noteContact(now, c.Age)
	u := n.upstreams[from]
	if u == nil {
		return
	}
	behind := c.Revision > n.shared.Revision
	differs := c.Revision == n.shared.Revision && c.Digest != n.shared.Digest()
	switch {
	case differs:
		n.subscribe(from, u, n.shared.Revision, n.shared.Digest())
	case !behind:
		u.behindSince = time.Time{}
	case u.primary:
		// A primary sends the change itself, so that a confirmation ahead of it means that the change was lost.
		n.subscribe(from, u, n.shared.Revision, n.shared.Digest())
	case u.behindSince.IsZero():
		u.behindSince = now
	}
}

func (n *Node) noteContact(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now.Add(-age); at.After(n.contact) {
		n.contact = at
	}
}

// apply applies an update. When it does not fit, the whole state is asked for.
func (n *Node) apply(now time.Time, from model.VMName, u state.Update, again bool) {
	next, err := n.shared.Apply(u)
	if err == nil {
		n.install(now, next)
		return
	}
	if errs.KindOf(err) == errs.KindConflict {
		return // The state here is newer.
	}
	n.effects.Refused = err
	if x := n.upstreams[from]; x != nil && again {
		revision, digest := n.shared.Revision, n.shared.Digest()
		if u.From == n.shared.Revision || u.Full {
			revision, digest = 0, 0 // The delta itself is at fault, so that another one would be as well.
		}
		n.subscribe(from, x, revision, digest)
	}
}

// Tick renews subscriptions, leaves silent upstreams and confirms this VM's state to its subscribers. It is
// called once in each Config.Interval.
func (n *Node) Tick(now time.Time) {
	n.chooseUpstreams(now)
	for vm, u := range n.upstreams {
		silent := now.Sub(u.heardAt) >= 3*n.config.Interval
		late := !u.behindSince.IsZero() && now.Sub(u.behindSince) >= n.config.Interval/2
		if !u.subscribed || silent || late {
			n.subscribe(vm, u, n.shared.Revision, n.shared.Digest())
		}
	}
	n.effects.ConfirmTo = n.effects.ConfirmTo[:0]
	for vm := range n.subscribers {
		n.effects.ConfirmTo = append(n.effects.ConfirmTo, vm)
	}
	n.tickBootstrap(now)
}
