package forwarder

import (
	"bytes"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// Guards against VMs that are all restarted at the same time and use the slack of the shared budget twice within one
// window.
func TestRestartedVMHasNoSlackAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &Module{
		control: kernel.NewTestControl(), budgets: map[model.ServiceName]*forward.Budget{}, started: now, now: func() time.Time { return now },
		limits: forward.BudgetLimits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}, random: rand.New(rand.NewPCG(1, 2)),
	}
	m.control.SetTestView(&kernel.View{EntryVMs: 4})
	tryExtra := func() bool {
		b, l := m.budget("s")
		return b.TryExtra(now, l, false)
	}
	require.False(t, tryExtra())
	b, l := m.budget("s")
	for range 5 {
		b.CountFirst(now, l)
	}
	require.True(t, tryExtra(), "extra attempts for its own requests are allowed at once")
	require.False(t, tryExtra())
	now = now.Add(11 * time.Second)
	for range 16 {
		require.True(t, tryExtra())
	}
	require.False(t, tryExtra(), "a quarter of the slack")
}

// Guards against a request with a better rank that waits behind others, and against a wake-up that is lost because its request
// was woken already.
func TestWaitersAreWokenByRank(t *testing.T) {
	w := waiters{}
	runnerOf := func(rank int) *runner {
		return &runner{req: &forward.Request{}, route: &routes.Route{Rank: rank}, wakes: make(chan struct{}, 1)}
	}
	late, early, urgent := runnerOf(2), runnerOf(2), runnerOf(0)
	services := []model.ServiceName{"s"}
	w.add(services, early)
	w.add(services, late)
	w.add(services, urgent)
	for _, want := range []*runner{urgent, early, late} {
		w.wake(time.Unix(1000, 0), "s")
		require.Len(t, want.wakes, 1)
	}
	w.remove(services, urgent)
	w.remove(services, early)
	w.remove(services, late)
	require.Empty(t, w)
	w.wake(time.Unix(1000, 0), "s")
}

// Guards against log lines about failed requests whose number grows with the load, and against lines that are left out without
// being counted.
func TestFailureLinesAreLimited(t *testing.T) {
	var s sampler
	now := time.Unix(1000, 0)
	written := 0
	for range 10 * failureLines {
		if ok, _ := s.allow(now, true); ok {
			written++
		}
	}
	require.Equal(t, failureLines, written)
	ok, leftOut := s.allow(now.Add(time.Second), true)
	require.True(t, ok)
	require.Equal(t, 9*failureLines, leftOut)
}

// Guards against partial answers that reach the caller after the objective because the VM has a fifth of a core, and the time to
// write them was calculated for a whole one.
func TestAnswersAreSentEarlierOnSmallVMs(t *testing.T) {
	parse := func(share string) *settings.Settings {
		s, err := settings.Parse("test.ini", []byte("[vm]\ncluster = c\nname = 10.0.0.1\navailability_zone = z\ntraffic = routes\ncpu_share = "+share+"\n"), kernel.SettingsKeys())
		require.NoError(t, err)
		return s
	}
	require.Equal(t, 12*time.Millisecond+1500*time.Microsecond, callerDelay(parse("1")))
	require.Equal(t, 12*time.Millisecond+7500*time.Microsecond, callerDelay(parse("0.2")))
}

// Guards against a route that allows very many attempts and ends the process with its first request, which allocated memory for all
// of them.
func TestManyAttemptsNeedNoMemory(t *testing.T) {
	for _, attempts := range []int{math.MaxInt32, math.MaxInt} {
		m, _ := newPartitionModule(t)
		m.control.View().Routes.Routes[0].MaxAttempts = attempts
		require.Equal(t, forward.KindMerged, m.forwardRequest(time.Second).Kind)
	}
}

// Guards against a request that is passed on although the VM ends at once, and against one that is not answered then.
func TestRequestsAreRefusedOnceTheVMEnds(t *testing.T) {
	m, _ := newPartitionModule(t)
	ctx, end := context.WithCancelCause(context.Background())
	end(errs.New(errs.KindShutdown, "send the request to another VM", "the process is shutting down"))
	now := time.Now()
	r := m.Forward(ctx, &forward.Request{ID: "x", Host: "h", Path: "/", Received: now, Deadline: now.Add(time.Second)})
	require.Equal(t, forward.KindRefused, r.Kind)
	require.True(t, r.TryAnotherVM)
}

// Guards against a request without an answer that is missing in the log because refusals have used up the lines of the second, and
// against one whose line names the caller although something else has ended it.
func TestUnansweredRequestsHaveTheirOwnLogLines(t *testing.T) {
	m, x := newPartitionModule(t)
	var lines bytes.Buffer
	m.logger = log.NewLogfmtLogger(log.NewSyncWriter(&lines))
	now := time.Now()
	m.now = func() time.Time { return now }
	for range 2 * failureLines {
		m.Forward(context.Background(), &forward.Request{ID: "refused", Host: "other", Path: "/", Received: now, Deadline: now.Add(time.Second)})
	}
	x.partitioned.Store(true) // The attempts stay unanswered.
	for id, cause := range map[string]error{"gone": nil, "ended": errors.New("the connection was taken over")} {
		ctx, end := context.WithCancelCause(context.Background())
		end(cause)
		r := m.Forward(ctx, &forward.Request{ID: id, Host: "h", Path: "/", Received: now, Deadline: now.Add(time.Second)})
		require.Equal(t, forward.KindCallerGone, r.Kind)
	}
	require.Contains(t, lines.String(), `msg="request ended without an answer" request=gone outcome=caller_gone reason="the caller has disconnected"`)
	require.Contains(t, lines.String(), `msg="request ended without an answer" request=ended outcome=caller_gone reason="the request was ended: the connection was taken over"`)
}

// shutdownTransport ends the context of the request and hands over the reply of a leaf before the request can notice either.
type shutdownTransport struct {
	partitionTransport
	end context.CancelCauseFunc
}

func (x *shutdownTransport) Send(l *leaves.Member, _ *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	x.end(errs.New(errs.KindShutdown, "send the request to another VM", "the process is shutting down"))
	done(forward.AttemptResult{Reply: &forward.LeafReply{Status: 200, Signature: l.ID}, Sent: true, Latency: time.Millisecond})
	return sentAttempt(func() {})
}

// Guards against an answer that is ready and is dropped, since the VM ends the request at the same moment.
func TestReadyAnswerIsGivenWhenTheVMEnds(t *testing.T) {
	m, _ := newPartitionModule(t)
	for range 50 {
		ctx, end := context.WithCancelCause(context.Background())
		m.transport = &shutdownTransport{end: end}
		now := time.Now()
		r := m.Forward(ctx, &forward.Request{ID: "x", Host: "h", Path: "/", Received: now, Deadline: now.Add(time.Second)})
		require.Equal(t, forward.KindMerged, r.Kind, r.Reason)
		require.Zero(t, r.Missing)
	}
}

// lateTransport has no available connection when it is first asked. One becomes available right after that, before the request has
// entered the queue of those that wait.
type lateTransport struct {
	partitionTransport
	m     *Module
	asked map[model.ServiceName]bool
}

func (x *lateTransport) AvailableConnections(l *leaves.Member) int {
	if !x.asked[l.Service] {
		x.asked[l.Service] = true
		x.m.waiters.wake(time.Now(), l.Service) // The tracker asks while the module's lock is held.
		return 0
	}
	return 1
}

// Guards against a request that waits for a connection until it is refused or times out, because one became available just before
// it entered the queue.
func TestConnectionThatBecomesAvailableBeforeTheQueueIsUsed(t *testing.T) {
	m, _ := newPartitionModule(t)
	m.transport = &lateTransport{m: m, asked: map[model.ServiceName]bool{}}
	route := m.control.View().Routes.Match("h", "/")
	route.Timeout, route.Objective = time.Minute, 40*time.Second
	done := make(chan *forward.Response, 1)
	go func() {
		// The request is old enough not to be woken to check for unresponsive zones.
		done <- m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: time.Now().Add(-zoneCheckEnd), Deadline: time.Now().Add(time.Minute)})
	}()
	select {
	case r := <-done:
		require.Equal(t, forward.KindMerged, r.Kind)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the request still waits")
	}
}

// fullTransport has no available connection to the leaf of a service.
type fullTransport struct {
	partitionTransport
	full string
}

func (x *fullTransport) AvailableConnections(l *leaves.Member) int {
	if l.ID == x.full {
		return 0
	}
	return 1
}

// Guards against a request that waits for the busy leaves of a service until it is refused or times out, although another leaf has
// been listed meanwhile.
func TestWaitingRequestNoticesANewLeaf(t *testing.T) {
	m, _ := newPartitionModule(t)
	m.transport = &fullTransport{full: "b"}
	before := m.control.View()
	m.applyView(before)
	route := before.Routes.Match("h", "/")
	route.Timeout, route.Objective, route.MinCoverage = time.Minute, 40*time.Second, 1
	done := make(chan *forward.Response, 1)
	go func() {
		// The request is old enough not to be woken to check for unresponsive zones.
		done <- m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: time.Now().Add(-zoneCheckEnd), Deadline: time.Now().Add(time.Minute)})
	}()
	waits := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		list := m.waiters["b"]
		return len(list) == 1 && len(list[0].wakes) == 0
	}
	require.Eventually(t, waits, 3*time.Second, time.Millisecond)
	index := &leaves.Index{Services: map[model.ServiceName][]*leaves.Member{}}
	for s, list := range before.Leaves.Services {
		index.Services[s] = list
	}
	other := *index.Services["b"][0]
	other.ID = "b-2"
	index.Services["b"] = append([]*leaves.Member{&other}, index.Services["b"]...)
	m.control.SetTestView(&kernel.View{Routes: before.Routes, Leaves: index})
	m.applyView(m.control.View())
	select {
	case r := <-done:
		require.Equal(t, forward.KindMerged, r.Kind)
		require.Zero(t, r.Missing)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the request still waits")
	}
}

// dialTransport opens connections for ever, except to the leaves of one service, which have the request and do not reply. It ends the
// VM once the attempts are under way.
type dialTransport struct {
	partitionTransport
	sent model.ServiceName
	end  context.CancelCauseFunc
}

// unsentAttempt is an attempt whose connection is still being opened.
type unsentAttempt struct{ sentAttempt }

func (unsentAttempt) Withdraw() bool { return true }

func (x *dialTransport) Send(l *leaves.Member, _ *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	x.end(errs.New(errs.KindShutdown, "send the request to another VM", "the process is shutting down"))
	sent := l.Service == x.sent
	a := sentAttempt(func() { done(forward.AttemptResult{Err: errors.New("cancelled"), Sent: sent}) })
	if sent {
		return a
	}
	return unsentAttempt{a}
}

// Guards against 504 for a request whose connections to leaves are still being opened when the VM ends, and against 503 for one that
// a leaf may have run.
func TestUnsentRequestIsRefusedWhenTheVMEnds(t *testing.T) {
	for sent, kind := range map[model.ServiceName]forward.Kind{"": forward.KindRefused, "b": forward.KindTimeout} {
		m, _ := newPartitionModule(t)
		ctx, end := context.WithCancelCause(context.Background())
		m.transport = &dialTransport{sent: sent, end: end}
		now := time.Now()
		r := m.Forward(ctx, &forward.Request{ID: "x", Host: "h", Path: "/", Received: now, Deadline: now.Add(time.Second)})
		require.Equal(t, kind, r.Kind, r.Reason)
		if kind == forward.KindRefused {
			require.True(t, r.TryAnotherVM)
			require.Positive(t, r.RetryAfter)
		}
	}
}
