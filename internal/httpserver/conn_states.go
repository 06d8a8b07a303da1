package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTime is how long after its start a connection may have its first request. A drain waits for it, since
// http.Server.Shutdown drops requests whose header it reads later without an answer.
const firstRequestTime = time.Second

// connStates tracks the states of the connections of an http.Server.
type connStates struct {
	mu     *sync.Mutex
	states map[net.Conn]connState
	// changed gets a value after a change.
	changed chan struct{}
}

type connState struct {
	state http.ConnState
	since time.Time
}

func newConnStates() connStates {
	return connStates{mu: &sync.Mutex{}, states: map[net.Conn]connState{}, changed: make(chan struct{}, 1)}
}

func (s *connStates) set(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.states, c)
	} else {
		s.states[c] = connState{state, time.Now()}
	}
	select {
	case s.changed <- struct{}{}:
	default: // A value is already pending.
	}
}

// busyFor returns for how long the connections have to be waited for if none of them changes, or 0 if none has a request or may
// have one soon. connections is the number of connections that were accepted, some of which may have no state yet.
func (s *connStates) busyFor(now time.Time, connections int) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if connections > len(s.states) {
		wait = firstRequestTime
	}
	for _, c := range s.states {
		switch c.state {
		case http.StateActive:
			return time.Hour // It ends with a change.
		case http.StateNew:
			wait = max(wait, firstRequestTime-now.Sub(c.since))
		}
	}
	return wait
}

// waitForRequests returns once no connection has a request or may have its first one soon, or with the end of the context.
func (g *generation) waitForRequests(ctx context.Context) {
	for {
		wait := g.requests.busyFor(time.Now(), int(g.connections.Load()))
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-g.requests.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
