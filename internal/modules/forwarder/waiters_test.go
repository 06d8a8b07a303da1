package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// freedTransport has no available connection to the leaf b-2 until one is freed, and none to the leaf b after its first request, which
// fails. The leaf c never replies.
type freedTransport struct {
	partitionTransport
	mu        sync.Mutex
	used      bool
	available int
}

func (x *freedTransport) AvailableConnections(l *leaves.Member) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case l.ID == "b-2":
		return x.available
	case l.ID == "b" && x.used:
		return 0
	}
	return 1
}

func (x *freedTransport) Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	switch l.ID {
	case "b":
		x.mu.Lock()
		x.used = true
		x.mu.Unlock()
		done(forward.AttemptResult{Err: errors.New("broken connection"), Sent: true, Latency: time.Millisecond})
		return sentAttempt(func() {})
	case "b-2":
		x.mu.Lock()
		x.available--
		x.mu.Unlock()
	case "c":
		return sentAttempt(func() {})
	}
	return x.partitionTransport.Send(l, req, done)
}

// Guards against a request that waits although a connection is available, because the request that was woken for it gave up its part
// for lack of budget and goes on with the other parts.
func TestWakeUpIsPassedOnByARequestThatDoesNotUseIt(t *testing.T) {
	m, _ := newPartitionModule(t)
	x := freeConnection(t, m)
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !slices.ContainsFunc(m.waiters["b"], func(r *runner) bool { return r.req.ID == "first" })
	}, 3*time.Second, time.Millisecond, "the first request has given up its part")
	x.requireUsed(t)
}

// silentGranter never answers.
type silentGranter struct{}

func (silentGranter) RequestExtras(ctx context.Context, _ []model.ServiceName) ([]bool, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a request that waits although a connection is available, because the request that was woken for it waits for the
// grant of an extra attempt.
func TestWakeUpIsPassedOnByARequestThatWaitsForAGrant(t *testing.T) {
	m, _ := newPartitionModule(t)
	m.granter, m.grants = silentGranter{}, forward.NewGrantBook()
	freeConnection(t, m).requireUsed(t)
}

// freeConnection frees a connection for which two requests wait. The first of them needs an extra attempt.
func freeConnection(t *testing.T, m *Module) *freedTransport {
	x := &freedTransport{}
	m.transport = x
	view := m.control.View()
	second := *view.Leaves.Services["b"][0]
	second.ID = "b-2"
	view.Leaves.Services["b"] = append(view.Leaves.Services["b"], &second)
	route := view.Routes.Match("h", "/")
	route.Timeout, route.Objective = time.Minute, 40*time.Second
	send := func(id string) <-chan *forward.Response {
		done := make(chan *forward.Response, 1)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			// The request is old enough not to be woken to check for unresponsive zones.
			done <- m.Forward(ctx, &forward.Request{ID: id, Host: "h", Path: "/", Received: time.Now().Add(-zoneCheckEnd), Deadline: time.Now().Add(time.Minute)})
		}()
		return done
	}
	waiting := func(n int) func() bool {
		return func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			list := m.waiters["b"]
			for _, r := range list {
				if len(r.wakes) > 0 {
					return false
				}
			}
			return len(list) == n
		}
	}
	send("first")
	require.Eventually(t, waiting(1), 3*time.Second, time.Millisecond)
	send("second")
	require.Eventually(t, waiting(2), 3*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	x.mu.Lock()
	x.available = 1
	x.mu.Unlock()
	m.mu.Lock()
	m.waiters.wake(time.Now(), "b")
	m.mu.Unlock()
	return x
}

func (x *freedTransport) requireUsed(t *testing.T) {
	require.Eventually(t, func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.available == 0
	}, 3*time.Second, time.Millisecond, "the connection is not used")
}

// rejectingTransport has no available connection to the leaf b-2. The leaf b does not run its first request, and has no available
// connection after it until one is freed. The leaf c never replies.
type rejectingTransport struct {
	partitionTransport
	mu        sync.Mutex
	sent      []string
	available int
}

func (x *rejectingTransport) AvailableConnections(l *leaves.Member) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch l.ID {
	case "b":
		return x.available
	case "b-2":
		return 0
	}
	return 1
}

func (x *rejectingTransport) Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	switch l.ID {
	case "b":
		x.mu.Lock()
		x.available--
		x.sent = append(x.sent, req.ID)
		first := len(x.sent) == 1
		x.mu.Unlock()
		if first {
			done(forward.AttemptResult{Reply: &forward.LeafReply{Status: 503, NotRun: true}, Sent: true, Latency: time.Millisecond})
			return sentAttempt(func() {})
		}
	case "c":
		return sentAttempt(func() {})
	}
	return x.partitionTransport.Send(l, req, done)
}

// Guards against a request that waits although a connection is available, because the request that was woken for it was rejected by
// that leaf before and goes on waiting for another one.
func TestWakeUpIsPassedOnByARequestThatCannotUseIt(t *testing.T) {
	m, _ := newPartitionModule(t)
	x := &rejectingTransport{available: 1}
	m.transport = x
	view := m.control.View()
	second := *view.Leaves.Services["b"][0]
	second.ID = "b-2"
	view.Leaves.Services["b"] = append(view.Leaves.Services["b"], &second)
	route := view.Routes.Match("h", "/")
	route.Timeout, route.Objective = time.Minute, 40*time.Second
	waiting := func(n int) func() bool {
		return func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			list := m.waiters["b"]
			for _, r := range list {
				if len(r.wakes) > 0 {
					return false
				}
			}
			return len(list) == n
		}
	}
	for i, id := range []string{"rejected", "next"} {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		// The request is old enough not to be woken to check for unresponsive zones.
		go m.Forward(ctx, &forward.Request{ID: id, Host: "h", Path: "/", Received: time.Now().Add(-zoneCheckEnd), Deadline: time.Now().Add(time.Minute)})
		require.Eventually(t, waiting(i+1), 3*time.Second, time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	for _, l := range view.Leaves.Services["b"] {
		require.False(t, m.tracker.Refuses(time.Now(), l))
	}
	x.mu.Lock()
	x.available = 1
	x.mu.Unlock()
	m.mu.Lock()
	m.waiters.wake(time.Now(), "b")
	m.mu.Unlock()
	require.Eventually(t, func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.sent) == 2
	}, 3*time.Second, time.Millisecond, "the connection is not used")
	require.Equal(t, []string{"rejected", "next"}, x.sent)
}

// Guards against a request that waits for a busy leaf until it is refused or times out, although the pause that another leaf has asked
// for has ended meanwhile.
func TestWaitingRequestNoticesTheEndOfAPause(t *testing.T) {
	const pause = 200 * time.Millisecond
	m, _ := newPartitionModule(t)
	m.transport = &fullTransport{full: "b"}
	view := m.control.View()
	paused := *view.Leaves.Services["b"][0]
	paused.ID = "b-2"
	view.Leaves.Services["b"] = append(view.Leaves.Services["b"], &paused)
	route := view.Routes.Match("h", "/")
	route.Timeout, route.Objective, route.MinCoverage = time.Minute, 40*time.Second, 1
	now := time.Now()
	m.tracker.AttemptStarted(now, "r", &paused)
	reply := &forward.LeafReply{Status: 503, NotRun: true, RetryAfter: pause}
	require.Equal(t, pause, m.tracker.AttemptEnded(now, "r", &paused, now, &forward.AttemptResult{Reply: reply, Sent: true}, false).Paused)
	done := make(chan *forward.Response, 1)
	go func() {
		// The request is old enough not to be woken to check for unresponsive zones.
		done <- m.Forward(context.Background(), &forward.Request{ID: "x", Host: "h", Path: "/", Received: now.Add(-zoneCheckEnd), Deadline: now.Add(time.Minute)})
	}()
	select {
	case r := <-done:
		require.Equal(t, forward.KindMerged, r.Kind)
		require.Zero(t, r.Missing)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the request still waits")
	}
}

// pausingTransport has no available connection to the leaf b-2. The leaf b turns its first request away and asks for a pause, after
// which it accepts two more. No other attempt gets a reply.
type pausingTransport struct {
	partitionTransport
	mu    sync.Mutex
	sent  []string
	reply func(forward.AttemptResult)
}

func (x *pausingTransport) AvailableConnections(l *leaves.Member) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case l.ID == "b-2", l.ID == "b" && (x.reply != nil || len(x.sent) == 3):
		return 0
	}
	return 1
}

func (x *pausingTransport) Send(l *leaves.Member, req *forward.LeafRequest, done func(forward.AttemptResult)) kernel.LeafAttempt {
	if l.ID == "b" {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.sent = append(x.sent, req.ID); len(x.sent) == 1 {
			x.reply = done
		}
	}
	return sentAttempt(func() {})
}

// Guards against a request that waits until it is refused or times out although a leaf takes requests again, because the leaf asked
// for the pause while the request waited for a connection to it.
func TestWaitingRequestsNoticeTheEndOfAPauseThatBeginsMeanwhile(t *testing.T) {
	const pause = 200 * time.Millisecond
	m, _ := newPartitionModule(t)
	x := &pausingTransport{}
	m.transport = x
	view := m.control.View()
	second := *view.Leaves.Services["b"][0]
	second.ID = "b-2"
	view.Leaves.Services["b"] = append(view.Leaves.Services["b"], &second)
	route := view.Routes.Match("h", "/")
	route.Timeout, route.Objective = time.Minute, 40*time.Second
	for i, id := range []string{"turned away", "next", "last"} {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		// The request is old enough not to be woken to check for unresponsive zones.
		go m.Forward(ctx, &forward.Request{ID: id, Host: "h", Path: "/", Received: time.Now().Add(-zoneCheckEnd), Deadline: time.Now().Add(time.Minute)})
		require.Eventually(t, func() bool {
			m.mu.Lock() // The tracker asks for available connections while it is held.
			defer m.mu.Unlock()
			x.mu.Lock()
			defer x.mu.Unlock()
			return len(x.sent) == 1 && len(m.waiters["b"]) == i
		}, 3*time.Second, time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	x.mu.Lock()
	reply := x.reply
	x.reply = nil
	x.mu.Unlock()
	reply(forward.AttemptResult{Reply: &forward.LeafReply{Status: 503, NotRun: true, RetryAfter: pause}, Sent: true, Latency: time.Millisecond})
	require.Eventually(t, func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.sent) == 3
	}, 3*time.Second, time.Millisecond, "a request still waits")
	require.ElementsMatch(t, []string{"turned away", "next", "last"}, x.sent)
}
