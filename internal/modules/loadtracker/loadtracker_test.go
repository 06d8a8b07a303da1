package loadtracker

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/limits"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// fakeClock is the clock of the module under test. Tests advance it.
type fakeClock struct{ now time.Time }

func newModule(clock *fakeClock) *Module {
	control := kernel.NewTestControl()
	control.SetTestView(&kernel.View{Seat: model.Seat{Seats: 1, PreviousSeats: 1}})
	return &Module{
		control: control, now: func() time.Time { return clock.now }, logger: log.NewNopLogger(), scope: tally.NoopScope,
		zone: "a", queueCapacity: 4, unresponsiveAfter: 200 * time.Millisecond,
		targets: map[model.TargetKey]*tracker{}, zones: map[model.AvailabilityZone]*zoneHealth{}, services: map[model.ServiceName]*serviceLatency{},
	}
}

func target(id, zone string) *model.Target {
	return &model.Target{Announcement: model.Announcement{
		Service: "s", ID: model.TargetID(id), AvailabilityZone: model.AvailabilityZone(zone), Incarnation: 1,
		Slots: 1, ConnectionLimit: 2, State: model.TargetServing,
	}}
}

func acquire(t *testing.T, m *Module, x *model.Target) kernel.Permit {
	p, err := m.Acquire(context.Background(), x, model.PriorityNormal)
	require.NoError(t, err)
	return p
}

// Guards against attempts above the limit, capacity that is lost when a waiting attempt is cancelled, and less urgent
// attempts that are sent first.
func TestAcquireWaitsInOrderOfPriority(t *testing.T) {
	defer goleak.VerifyNone(t)
	m := newModule(&fakeClock{now: time.Now()})
	x := target("t", "a")
	first := acquire(t, m, x)
	got := make(chan model.Priority, 2)
	wait := func(p model.Priority) {
		permit, err := m.Acquire(context.Background(), x, p)
		if err == nil {
			got <- p
			permit.Done(model.Reply{Status: model.ReplyTimeout, Cancelled: true})
		}
	}
	queued := func(n int) func() bool {
		return func() bool { return m.Candidates(nil, m.now(), []*model.Target{x})[0].Queued == n }
	}
	go wait(model.PriorityBulk)
	require.Eventually(t, queued(1), time.Second, time.Millisecond)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := m.Acquire(cancelled, x, model.PriorityUrgent)
	require.Equal(t, errs.KindDeadline, errs.KindOf(err))
	go wait(model.PriorityUrgent)
	require.Eventually(t, queued(2), time.Second, time.Millisecond)
	first.Done(model.Reply{Status: model.ReplyTimeout, Cancelled: true})
	require.Equal(t, model.PriorityUrgent, <-got)
	require.Equal(t, model.PriorityBulk, <-got)
	require.Eventually(t, func() bool { return m.tracker(x).idle() }, time.Second, time.Millisecond)
}

// Guards against a VM without a connection share that sends attempts to a target.
func TestNoShareSendsNothing(t *testing.T) {
	m := newModule(&fakeClock{now: time.Now()})
	m.control.SetTestView(&kernel.View{Seat: model.NoSeat})
	_, err := m.Acquire(context.Background(), target("t", "a"), model.PriorityNormal)
	require.Equal(t, errs.KindOverload, errs.KindOf(err))
}

// Guards against a failing target that still gets attempts while other replicas work, and against counting attempts as failures
// that the query itself cancelled early.
func TestFailuresEject(t *testing.T) {
	clock := &fakeClock{now: time.Now()}
	m := newModule(clock)
	bad, good := target("bad", "a"), target("good", "a")
	for range 10 {
		acquire(t, m, good).Done(model.Reply{Status: model.ReplyTimeout, Cancelled: true, Elapsed: time.Millisecond})
	}
	for range limits.FailuresToEject {
		acquire(t, m, bad).Done(model.Reply{Status: model.ReplyFailed})
	}
	c := m.Candidates(nil, clock.now, []*model.Target{bad, good})
	require.True(t, c[0].Ejected)
	require.False(t, c[1].Ejected)
	alone := m.Candidates(nil, clock.now, []*model.Target{bad})
	require.False(t, alone[0].Ejected, "the last replica of a shard is never ejected")
}

// Guards against an unreachable availability zone of which each target has to be detected by its own timeouts, and against one
// bad target that makes its whole zone count as unreachable.
func TestUnreachableZoneIsEjected(t *testing.T) {
	clock := &fakeClock{now: time.Now()}
	m := newModule(clock)
	notSent := model.Reply{Status: model.ReplyNotSent, Cancelled: true, Elapsed: time.Second}
	fresh := target("fresh", "b")
	ejected := func() bool { return m.Candidates(nil, clock.now, []*model.Target{fresh})[0].Ejected }
	for range 10 {
		acquire(t, m, target("only", "b")).Done(notSent)
	}
	require.False(t, ejected(), "one target is no evidence about its zone")
	for _, id := range []string{"x", "y", "z"} {
		acquire(t, m, target(id, "b")).Done(notSent)
	}
	require.True(t, ejected())
	acquire(t, m, target("x", "b")).Done(model.Reply{Status: model.ReplyOK, Elapsed: time.Millisecond})
	require.False(t, ejected(), "one reply shows that the zone is reachable")
}

// Guards against hedge delays from too few or outdated samples.
func TestQuantileLatency(t *testing.T) {
	clock := &fakeClock{now: time.Now()}
	m := newModule(clock)
	x := target("t", "a")
	for i := range 100 {
		acquire(t, m, x).Done(model.Reply{Status: model.ReplyOK, Shard: 1, Elapsed: time.Duration(i+1) * time.Millisecond})
	}
	require.InDelta(t, float64(90*time.Millisecond), float64(m.QuantileLatency("s", 1, 0.9)), float64(10*time.Millisecond))
	require.Zero(t, m.QuantileLatency("other", 1, 0.9))
	clock.now = clock.now.Add(3 * windowLength)
	require.Zero(t, m.QuantileLatency("s", 1, 0.9))
}

// Guards against a quantile that does not include the stragglers that were slower than their hedges.
func TestCancelledStragglersAreIncluded(t *testing.T) {
	clock := &fakeClock{now: time.Now()}
	m := newModule(clock)
	x := target("t", "a")
	for i := range 1000 {
		clock.now = clock.now.Add(2 * time.Millisecond)
		r := model.Reply{Status: model.ReplyOK, Shard: 1, Elapsed: time.Duration(10+i%5) * time.Millisecond}
		if i%10 == 9 {
			r = model.Reply{Status: model.ReplyTimeout, Cancelled: true, Shard: 1, Elapsed: 50 * time.Millisecond}
		}
		acquire(t, m, x).Done(r)
		m.QuantileLatency("s", 1, 0.8)
	}
	require.Greater(t, m.QuantileLatency("s", 1, 0.95), 40*time.Millisecond, "one attempt in ten took at least 50 ms")
}

// Guards against hedges that stop because of a single shed attempt, and against hedges while a service sheds load.
func TestSheddingRequiresAShareOfReplies(t *testing.T) {
	clock := &fakeClock{now: time.Now()}
	m := newModule(clock)
	x := target("t", "a")
	reply := func(s model.ReplyStatus) { acquire(t, m, x).Done(model.Reply{Status: s, Elapsed: time.Millisecond}) }
	for range 100 {
		reply(model.ReplyOK)
	}
	reply(model.ReplyShed)
	require.False(t, m.Shedding("s"))
	for range 5 {
		reply(model.ReplyShed)
	}
	require.True(t, m.Shedding("s"))
	clock.now = clock.now.Add(2 * time.Second)
	require.False(t, m.Shedding("s"))
}
