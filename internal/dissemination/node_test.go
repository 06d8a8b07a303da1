package dissemination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const interval = time.Second

var errNoReply = errs.New(errs.KindUnknownOutcome, "try again", "no reply")

// simulation runs the nodes of three zones and three control VMs. The control group is a single state, which all
// control VMs apply at the same time. Messages can be lost and links cut.
type simulation struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	control *state.State
	index   uint64
	nodes   map[model.VMName]*Node
	all     []Peer
	cut     func(a, b Peer) bool
	loss    float64
	corrupt func(to model.VMName, p *Push)
	// served holds the highest revision with which each VM was ready.
	served map[model.VMName]uint64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), control: state.New(),
		nodes: map[model.VMName]*Node{}, served: map[model.VMName]uint64{}, cut: func(_, _ Peer) bool { return false },
		corrupt: func(model.VMName, *Push) {},
	}
	for z := range 3 {
		zone := model.AvailabilityZone(fmt.Sprintf("az-%d", z))
		s.all = append(s.all, Peer{VM: model.VMName(fmt.Sprintf("control-%d", z)), Zone: zone, Control: true})
		for i := range 4 {
			s.all = append(s.all, Peer{VM: model.VMName(fmt.Sprintf("vm-%d-%d", z, i)), Zone: zone, Entry: true})
		}
	}
	for _, p := range s.all {
		s.start(p)
	}
	return s
}

func (s *simulation) start(p Peer) {
	s.nodes[p.VM] = NewNode(s.now, Config{
		Self: p.VM, Zone: p.Zone, Entry: p.Entry, Control: p.Control, Interval: interval, BootstrapGrace: 2 * interval,
		BootstrapPeers: slices.DeleteFunc(slices.Clone(s.all), func(other Peer) bool { return other.VM == p.VM }),
	})
}

// change commits a new configuration, and applies it at all control VMs.
func (s *simulation) change() {
	s.index++
	files := model.ConfigFiles{Base: fmt.Sprint("base ", s.index), Overlays: map[model.SiteName]string{"sfax": "same"}}
	r := s.control.Apply(s.index, time.Unix(int64(s.index), 0), state.ApplyConfig{
		ChangeID: fmt.Sprint(s.index), BasedOn: model.Revision(s.index - 1), Author: "x", Files: files, Seats: 9, SeatLease: time.Hour, ClaimRetention: time.Hour,
	})
	require.NoError(s.t, r.(state.ChangeResult).Err())
	for _, p := range s.all {
		if p.Control {
			s.nodes[p.VM].SetLocalState(s.now, s.control.Disseminated(), true)
			s.applyEffects(p)
		}
	}
}

func (s *simulation) peer(vm model.VMName) Peer {
	return s.all[slices.IndexFunc(s.all, func(p Peer) bool { return p.VM == vm })]
}

// tick calls Tick on all nodes in random order.
func (s *simulation) tick() {
	s.now = s.now.Add(interval)
	for _, i := range s.random.Perm(len(s.all)) {
		p := s.all[i]
		reachable := slices.DeleteFunc(slices.Clone(s.all), func(other Peer) bool { return other.VM == p.VM || s.cut(p, other) })
		s.nodes[p.VM].SetPeers(s.now, reachable)
		s.applyEffects(p)
		if p.Control {
			s.nodes[p.VM].SetLocalState(s.now, s.control.Disseminated(), true)
		}
		s.nodes[p.VM].Tick(s.now)
		s.applyEffects(p)
	}
}

func (s *simulation) isDropped(a, b Peer) bool { return s.cut(a, b) || s.random.Float64() < s.loss }

// applyEffects delivers the messages and calls of a node, and those that follow from them.
func (s *simulation) applyEffects(from Peer) {
	n := s.nodes[from.VM]
	if n.Ready() {
		require.GreaterOrEqual(s.t, n.Disseminated().Revision, s.served[from.VM], "%s reverted to an older state", from.VM)
		s.served[from.VM] = n.Disseminated().Revision
	}
	e := n.TakeEffects()
	for _, vm := range e.PushTo {
		if to := s.peer(vm); !s.isDropped(from, to) {
			p := *e.Push
			s.corrupt(vm, &p)
			s.nodes[vm].HandlePush(s.now, from.VM, p)
			s.applyEffects(to)
		}
	}
	c := n.Confirmation(s.now)
	for _, vm := range e.ConfirmTo {
		if to := s.peer(vm); !s.isDropped(from, to) {
			s.nodes[vm].HandleConfirmation(s.now, from.VM, c)
			s.applyEffects(to)
		}
	}
	for _, vm := range e.Unsubscribes {
		if !s.isDropped(from, s.peer(vm)) {
			s.nodes[vm].HandleUnsubscribe(from.VM)
		}
	}
	for _, call := range e.Subscribes {
		a, err := SubscribeAnswer{}, errNoReply
		if !s.isDropped(from, s.peer(call.To)) {
			a, err = s.nodes[call.To].HandleSubscribe(s.now, from.VM, call.Subscribe)
		}
		n.HandleSubscribeAnswer(s.now, call, a, err)
	}
	for _, vm := range e.Probes {
		if s.isDropped(from, s.peer(vm)) {
			n.HandleProbeAnswer(s.now, vm, Confirmation{}, errNoReply)
		} else {
			n.HandleProbeAnswer(s.now, vm, s.nodes[vm].Confirmation(s.now), nil)
		}
	}
	if len(e.Subscribes)+len(e.Probes) > 0 {
		s.applyEffects(from)
	}
}

func (s *simulation) requireCurrent() {
	s.t.Helper()
	for _, p := range s.all {
		require.Equal(s.t, s.control.Disseminated().Digest(), s.nodes[p.VM].Disseminated().Digest(), p.VM)
		require.True(s.t, !p.Entry || s.nodes[p.VM].Ready(), p.VM)
	}
}

func zoneCut(zone model.AvailabilityZone) func(a, b Peer) bool {
	return func(a, b Peer) bool { return (a.Zone == zone) != (b.Zone == zone) }
}

// Guards against a VM that keeps an outdated state, or reverts to an older one, after lost messages and partitions.
func TestStateReachesAllVMsAndNeverReverts(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(t, seed)
		for range 60 {
			p := s.all[s.random.IntN(len(s.all))]
			switch s.random.IntN(7) {
			case 0:
				s.loss = 0.3
			case 1:
				s.cut = zoneCut(p.Zone)
			case 2:
				s.cut = func(_, _ Peer) bool { return false }
			case 3:
				s.change()
			default:
				s.tick()
			}
		}
		s.loss, s.cut = 0, func(_, _ Peer) bool { return false }
		s.change()
		for range 6 {
			s.tick()
		}
		s.requireCurrent()
	}
}

// Guards against a change that arrives only after the next confirmation although no message was lost.
func TestChangeIsPushed(t *testing.T) {
	s := newSimulation(t, 1)
	s.change()
	for range 4 {
		s.tick()
	}
	s.requireCurrent()
	s.change()
	s.requireCurrent()
}

// Guards against a change that takes longer than 4 s when the primary upstream of a VM stops sending.
func TestUnresponsivePrimaryIsReplaced(t *testing.T) {
	for _, p := range newSimulation(t, 1).all {
		s := newSimulation(t, 1)
		s.change()
		for range 4 {
			s.tick()
		}
		s.cut = func(a, _ Peer) bool { return a.VM == p.VM } // Messages from p are lost; p itself still counts all VMs as reachable.
		s.change()
		for range 4 {
			s.tick()
		}
		for _, other := range s.all {
			require.True(t, other.VM == p.VM || s.nodes[other.VM].Disseminated().Revision == s.control.Disseminated().Revision, "%s missed a change while %s was unresponsive", other.VM, p.VM)
		}
	}
}

// Guards against a VM that restarts in a cut-off zone and is ready without a state, or with an older one than a
// neighbour has.
func TestRestartInCutOffZone(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSimulation(t, seed)
		s.change()
		for range 4 {
			s.tick()
		}
		// One VM of the zone misses the last change before the zone is cut off.
		s.cut = func(a, b Peer) bool { return a.VM == "vm-1-0" || b.VM == "vm-1-0" }
		s.change()
		s.tick()
		s.cut = zoneCut("az-1")
		control := s.peer("control-1")
		s.cut = func(a, b Peer) bool { return zoneCut("az-1")(a, b) || a.VM == control.VM || b.VM == control.VM }
		for i := 1; i < 3; i++ {
			vm := model.VMName(fmt.Sprintf("vm-1-%d", i))
			s.start(s.peer(vm))
			require.False(t, s.nodes[vm].Ready())
		}
		for range 6 {
			s.tick()
		}
		for i := range 4 {
			n := s.nodes[model.VMName(fmt.Sprintf("vm-1-%d", i))]
			require.True(t, n.Ready())
			require.Equal(t, s.control.Disseminated().Revision, n.Disseminated().Revision)
			require.Greater(t, s.now.Sub(n.ControlContact()), StaleAfter, "no control VM confirms the state in the cut-off zone")
		}
	}
}

// Guards against a delta that is applied although its digest does not match, and against a VM that then keeps the
// outdated state instead of requesting the full one.
func TestDigestMismatchLeadsToFullState(t *testing.T) {
	s := newSimulation(t, 3)
	s.change()
	for range 4 {
		s.tick()
	}
	corrupted := 0
	s.corrupt = func(_ model.VMName, p *Push) {
		corrupted++
		p.Update.Digest++
	}
	s.change()
	require.Positive(t, corrupted)
	s.requireCurrent()
}

// Guards against a seat that is used after its lease may have expired, a renewal that is not sent, and a change of the
// number of seats that is acknowledged before connections beyond the new share are closed.
func TestSeatKeeper(t *testing.T) {
	now := time.Unix(1000, 0)
	control, index := state.New(), uint64(0)
	apply := func(command any) any {
		index++
		return control.Apply(index, now, command)
	}
	configure := func(seats int) {
		r := apply(state.ApplyConfig{ChangeID: fmt.Sprint(index), BasedOn: control.Disseminated().ConfigRevision, Files: model.ConfigFiles{Base: fmt.Sprint(index)}, Seats: seats, SeatLease: time.Hour, ClaimRetention: time.Hour})
		require.NoError(t, r.(state.ChangeResult).Err())
	}
	holder := model.Holder{VM: "vm-1", Incarnation: 1}
	k := NewSeatKeeper(holder)
	run := func() any {
		command := k.Command(now, control.Disseminated())
		if command != nil {
			k.HandleResult(now, now, command, apply(command).(state.SeatResult), nil, 0)
		}
		return command
	}
	require.Nil(t, run(), "no seats are configured")
	configure(2)
	require.Equal(t, state.AcquireSeat{Holder: holder}, run())
	require.Equal(t, model.Seat{Index: 0, Seats: 2, PreviousSeats: 2}, k.Current(now, control.Disseminated()))

	configure(3)
	require.Equal(t, 2, k.Current(now, control.Disseminated()).PreviousSeats)
	require.Nil(t, run(), "connections beyond the smaller share may still be open")
	k.MarkChangeApplied(k.Change(control.Disseminated()))
	require.IsType(t, state.RenewSeat{}, run())
	require.Equal(t, model.Seat{Index: 0, Seats: 3, PreviousSeats: 3}, k.Current(now, control.Disseminated()))

	now = now.Add(20 * time.Minute)
	command := k.Command(now, control.Disseminated())
	require.IsType(t, state.RenewSeat{}, command)
	k.HandleResult(now, now, command, state.SeatResult{}, errNoReply, 0)
	now = now.Add(25*time.Minute - time.Second)
	require.Equal(t, 0, k.Current(now, control.Disseminated()).Index)
	now = now.Add(time.Second)
	require.Equal(t, model.NoSeat, k.Current(now, control.Disseminated()), "the control group may soon assign the seat to another VM")

	require.Equal(t, state.AcquireSeat{Holder: holder}, run(), "the VM tries to acquire the seat again")

	restarted := model.Holder{VM: holder.VM, Incarnation: 2}
	restartedKeeper := NewSeatKeeper(restarted)
	require.Equal(t, model.NoSeat, restartedKeeper.Current(now, control.Disseminated()), "the age of the state is unknown")
	restartedKeeper.SetControlContact(now)
	require.Equal(t, k.Current(now, control.Disseminated()), restartedKeeper.Current(now, control.Disseminated()), "a restart without control uses the seat of the earlier run")
	require.Equal(t, state.AcquireSeat{Holder: restarted}, restartedKeeper.Command(now, control.Disseminated()), "and tries to acquire it")
	require.Equal(t, model.NoSeat, restartedKeeper.Current(now.Add(15*time.Minute), control.Disseminated()), "but only for a part of the lease")
	require.Equal(t, model.NoSeat, NewSeatKeeper(model.Holder{VM: "vm-2", Incarnation: 2}).Current(now, control.Disseminated()))
	late := NewSeatKeeper(model.Holder{VM: holder.VM, Incarnation: 3})
	late.SetControlContact(now.Add(-50 * time.Minute))
	require.Equal(t, model.NoSeat, late.Current(now, control.Disseminated()), "after a restart long after the partition began, the seat must not be used beyond its lease")
	restartedKeeper.HandleResult(now, now, state.AcquireSeat{Holder: restarted}, state.SeatResult{Outcome: state.SeatNone, Seat: model.NoSeat}, nil, 0)
	require.Equal(t, model.NoSeat, restartedKeeper.Current(now, control.Disseminated()), "the control group has assigned the seat to another VM")

	require.Equal(t, state.ReleaseSeat{Holder: holder}, k.Release())
	require.Equal(t, model.NoSeat, k.Current(now, control.Disseminated()))
}
