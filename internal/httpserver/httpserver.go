// Package httpserver runs one HTTP listener of a module: it starts, drains and stops the listener as the shutdown of a
// process requires, and applies changed limits while the listener is open.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Options limit what callers may send and how long they may take.
type Options struct {
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	// BodyTimeout is the longest time from the end of the header to the end of the body of a request; 0 is no limit. A read of
	// the body fails after it.
	BodyTimeout time.Duration
	// WriteTimeout is the longest time from the end of the header to the end of the response; 0 is no limit.
	WriteTimeout time.Duration
	// MaxConnections is how many connections are accepted at the same time; 0 is no limit. SetOptions does not change it.
	MaxConnections int
}

const (
	// backlogTimeout is how long no further connection has to arrive before the listener is closed. Callers whose connections
	// the operating system has accepted already may have sent their requests.
	backlogTimeout = 20 * time.Millisecond
	// backlogLimit is how long the listener is kept open at most while callers go on connecting.
	backlogLimit = 200 * time.Millisecond
)

const (
	// answerTime is how long before the end of a drain the requests that are still held are ended, so that their answers are sent
	// before their connections are closed. A VM with a part of a core may hold hundreds.
	answerTime = 400 * time.Millisecond
	// answerShare limits answerTime to this part of a short drain.
	answerShare = 0.2
)

// errShutdown is the cause with which the contexts of requests end shortly before the end of a drain.
var errShutdown = errs.New(errs.KindShutdown, "send the request to another VM", "the process is shutting down")

// maxCutLines is how many connections that are cut off with a request get a log line of their own.
const maxCutLines = 20

// acceptPause is the pause after a connection could not be accepted, for example because no file descriptor is free.
const acceptPause = 50 * time.Millisecond

// Server serves HTTP on one listener.
type Server struct {
	address  string
	handler  http.Handler
	listener net.Listener
	logger   log.Logger
	draining atomic.Bool
	// closeBy is when the listener is closed at the latest, or nil while it is not to be closed. accepted is closed once the
	// connections that have arrived by then were accepted.
	closeBy  atomic.Pointer[time.Time]
	accepted chan struct{}
	// places is a semaphore for connections, or nil without a limit. closing is closed when the listener is about to be closed.
	places    chan struct{}
	closing   chan struct{}
	closeOnce sync.Once
	// requests is the parent of the contexts of all requests. endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// endBy is when the requests are ended, or nil while the server is not draining.
	endBy atomic.Pointer[time.Time]
	// answered counts the requests whose handlers have returned.
	answered atomic.Int64
	closes   closeCounts

	mu sync.Mutex
	// current serves new connections; older serve those that were accepted under earlier options.
	current *generation
	older   []*generation
	stopped bool
}

// New returns a server that does not listen yet.
func New(address string, handler http.Handler, logger log.Logger, o Options) *Server {
	s := &Server{address: address, handler: handler, logger: logger, accepted: make(chan struct{}), closing: make(chan struct{})}
	if o.MaxConnections > 0 {
		s.places = make(chan struct{}, o.MaxConnections)
	}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	s.current = s.newGeneration(o)
	return s
}

// Start listens and serves.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errs.Wrap(err, errs.KindInvalid, "give the listener a free address of this VM", "cannot listen on %s", s.address)
	}
	s.listener = l
	s.mu.Lock()
	s.current.serve()
	s.mu.Unlock()
	go s.accept()
	_ = level.Info(s.logger).Log("msg", "listening for HTTP requests", "address", l.Addr())
	return nil
}

// Addr returns the address that the server listens on, once it has started.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// accept passes new connections to the current generation until the listener is closed, or until none has arrived for
// backlogTimeout after stopAccepting.
func (s *Server) accept() {
	defer close(s.accepted)
	for s.acquirePlace() {
		c, err := s.listener.Accept()
		if err != nil {
			s.releasePlace()
		}
		switch {
		case err == nil:
			s.mu.Lock()
			g := s.current
			x := g.conns.add(c) // closeUnused keeps a generation that has a connection.
			s.mu.Unlock()
			g.serveConn(x)
			s.limitAccept()
		case errors.Is(err, net.ErrClosed), s.closeBy.Load() != nil && errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			_ = level.Error(s.logger).Log("msg", "listener could not accept a connection", "address", s.address, "err", err)
			time.Sleep(acceptPause)
		}
	}
}

// acquirePlace waits for a place for a connection. It returns false if there is none when the listener is closed.
func (s *Server) acquirePlace() bool {
	if s.places == nil {
		return true
	}
	select {
	case s.places <- struct{}{}:
		return true
	default:
	}
	select {
	case s.places <- struct{}{}:
		return true
	case <-s.closing:
		return false
	}
}

func (s *Server) releasePlace() {
	if s.places != nil {
		<-s.places
	}
}

// SetOptions applies other limits to new connections. Earlier connections keep theirs and are closed with the response to
// their next request, so that no request is aborted.
func (s *Server) SetOptions(o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.current.options == o {
		return
	}
	previous := s.current
	previous.replaced.Store(true)
	s.older = append(s.older, previous)
	s.current = s.newGeneration(o)
	if s.listener != nil {
		s.current.serve()
	}
	s.closeUnused()
	_ = level.Info(s.logger).Log("msg", "limits for callers changed", "address", s.address, "header_timeout", o.ReadHeaderTimeout, "header_timeout_before", previous.options.ReadHeaderTimeout,
		"idle_timeout", o.IdleTimeout, "idle_timeout_before", previous.options.IdleTimeout, "max_header_bytes", o.MaxHeaderBytes, "max_header_bytes_before", previous.options.MaxHeaderBytes)
}

// connections returns the number of open connections.
func (s *Server) connections() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range append([]*generation{s.current}, s.older...) {
		n += g.conns.len()
	}
	return n
}

// closeUnused closes and removes the older generations that have no connection left.
func (s *Server) closeUnused() {
	used := s.older[:0]
	for _, g := range s.older {
		if g.conns.len() > 0 {
			used = append(used, g)
		} else if err := g.server.Close(); err != nil {
			_ = level.Warn(s.logger).Log("msg", "HTTP server with earlier limits could not be closed", "address", s.address, "err", err)
		}
	}
	clear(s.older[len(used):])
	s.older = used
}

// Drain accepts new connections during the delay, because callers notice the drain late, and then closes each connection as soon as
// it has no request. Responses close their connections from the start of the drain, and the drain waits until the callers have
// closed them or lingerTime has passed since the last progress of an answer, but no longer than lingerShare of the time left; what
// is open then stays open until Stop. Shortly before the end of the context, the contexts of all requests end with a cause of kind
// shutdown, so that their handlers answer while there is time. Those of requests that begin during the drain have this time as their
// deadline.
func (s *Server) Drain(ctx context.Context, delay time.Duration) error {
	s.draining.Store(true)
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		endBy := end.Add(-min(answerTime, time.Duration(answerShare*float64(left))))
		s.endBy.Store(&endBy)
		defer time.AfterFunc(time.Until(endBy), func() {
			_ = level.Warn(s.logger).Log("msg", "requests in progress are ended, since the drain is about to end", "address", s.address, "connections", s.connections())
			s.endRequests(errShutdown)
		}).Stop()
	}
	_ = level.Info(s.logger).Log("msg", "HTTP listener is draining", "address", s.address, "delay", delay)
	began, answered, unused, unread := time.Now(), s.answered.Load(), s.closes.unused.Load(), s.closes.unread.Load()
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	delayed := time.Now()
	s.stopAccepting(ctx)
	closed := time.Now()
	err := s.closeAll(func(g *generation) error {
		g.conns.drain(ctx)
		return g.server.Shutdown(ctx)
	})
	drained := time.Now()
	waitCtx, cancel := ctx, func() {}
	if end, ok := ctx.Deadline(); ok {
		waitCtx, cancel = context.WithTimeout(ctx, time.Duration(lingerShare*float64(time.Until(end))))
	}
	defer cancel()
	_ = s.closeAll(func(g *generation) error { // The listener is closed, so no error can occur.
		g.conns.lingering.wait(waitCtx)
		return nil
	})
	_ = level.Info(s.logger).Log("msg", "HTTP listener has drained", "address", s.address, "answered", s.answered.Load()-answered,
		"closed_unused", s.closes.unused.Load()-unused, "closed_with_unread_input", s.closes.unread.Load()-unread, "in_progress", len(s.withRequest()),
		"not_closed_by_callers", s.lingering(),
		"delay_ms", delayed.Sub(began).Milliseconds(), "backlog_ms", closed.Sub(delayed).Milliseconds(),
		"drain_ms", drained.Sub(closed).Milliseconds(), "linger_ms", time.Since(drained).Milliseconds(), "err", err)
	return err
}

// lingering returns how many connections have sent their last answer and wait for their callers to close.
func (s *Server) lingering() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range append([]*generation{s.current}, s.older...) {
		n += g.conns.lingering.len()
	}
	return n
}

// withRequest returns the connections of all generations that have a request.
func (s *Server) withRequest() (used []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range append([]*generation{s.current}, s.older...) {
		used = append(used, g.conns.withRequest()...)
	}
	return used
}

// logCut logs the connections that are about to be cut off with a request.
func (s *Server) logCut() {
	used := s.withRequest()
	for i, c := range used {
		leftOut := 0
		if i == maxCutLines-1 {
			leftOut = len(used) - maxCutLines
		} else if i >= maxCutLines {
			return
		}
		state, age := c.request()
		_ = level.Warn(s.logger).Log("msg", "connection is cut off with a request in progress", "address", s.address, "caller", c.RemoteAddr(),
			"state", state, "age_ms", age.Milliseconds(), "lines_left_out", leftOut)
	}
}

// isClosing reports whether the delay of a drain has passed.
func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// stopAccepting accepts the connections that have already arrived and returns once no other one does.
func (s *Server) stopAccepting(ctx context.Context) {
	if s.listener == nil {
		return
	}
	closeBy := time.Now().Add(backlogLimit)
	s.closeBy.Store(&closeBy)
	s.closeOnce.Do(func() { close(s.closing) })
	s.limitAccept()
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
}

// limitAccept lets the listener wait for the next connection no longer than backlogTimeout once it is about to be closed.
func (s *Server) limitAccept() {
	l, ok := s.listener.(*net.TCPListener)
	closeBy := s.closeBy.Load()
	if !ok || closeBy == nil {
		return
	}
	deadline := time.Now().Add(backlogTimeout)
	if deadline.After(*closeBy) {
		deadline = *closeBy
	}
	_ = l.SetDeadline(deadline) // A listener that has been closed needs no deadline.
}

// Stop closes the listener and all connections.
func (s *Server) Stop() error {
	s.logCut()
	s.endRequests(errShutdown)
	return s.closeAll(func(g *generation) error {
		g.conns.lingering.stop()
		return g.server.Close()
	})
}

// closeAll closes the listener, and calls fn for all generations at the same time.
func (s *Server) closeAll(fn func(*generation) error) error {
	s.mu.Lock()
	s.stopped = true
	s.closeOnce.Do(func() { close(s.closing) })
	all := append([]*generation{s.current}, s.older...)
	s.mu.Unlock()
	if s.listener == nil {
		return nil
	}
	failures := make([]error, len(all)+1)
	if err := s.listener.Close(); !errors.Is(err, net.ErrClosed) {
		failures[len(all)] = err
	}
	var running sync.WaitGroup
	for i, g := range all {
		running.Add(1)
		go func() {
			defer running.Done()
			failures[i] = fn(g)
		}()
	}
	running.Wait()
	return errors.Join(failures...)
}
