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
	m.waiters.wake("b")
	m.mu.Unlock()
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !slices.ContainsFunc(m.waiters["b"], func(r *runner) bool { return r.req.ID == "first" })
	}, 3*time.Second, time.Millisecond, "the first request has given up its part")
	require.Eventually(t, func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.available == 0
	}, 3*time.Second, time.Millisecond, "the connection is not used")
}
