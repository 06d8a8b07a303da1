package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// generation serves the connections that were accepted under the same options. net/http reads its limits without a lock,
// so other limits need another http.Server.
type generation struct {
	parent  *Server
	options Options
	server  *http.Server
	source  *connListener
	conns   *connSet
	// replaced is set once other options are in force. Responses then close their connections.
	replaced atomic.Bool
}

func (s *Server) newGeneration(o Options) *generation {
	g := &generation{parent: s, options: o, source: &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}, conns: newConnSet(&s.closes, o.ReadHeaderTimeout, s.releasePlace)}
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: o.ReadHeaderTimeout, WriteTimeout: o.WriteTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ConnState:   func(c net.Conn, state http.ConnState) { g.conns.setState(c.(*conn), state) },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		BaseContext: func(net.Listener) context.Context { return s.requests },
	}
	return g
}

// ServeHTTP implements http.Handler.
func (g *generation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	c.beginRequest(!r.ProtoAtLeast(1, 1), r.ContentLength)
	response := &responseWriter{ResponseWriter: w, server: g.parent, conn: c, isReplaced: g.replaced.Load()}
	w = response
	bodyTimeout := g.options.BodyTimeout
	if endBy := g.parent.endBy.Load(); endBy != nil {
		deadline := *endBy
		if g.parent.isClosing() && c.wasKeptOpen() {
			deadline = time.Now() // The next request of this caller would have to wait behind this one, and then be dropped.
		}
		ctx, cancel := context.WithDeadlineCause(r.Context(), deadline, errShutdown)
		defer cancel()
		r = r.WithContext(ctx)
		if left := max(time.Until(*endBy), 0); bodyTimeout == 0 || left < bodyTimeout {
			bodyTimeout = left
		}
	}
	if r.ContentLength != 0 {
		b := newTimedBody(w, r.Body, bodyTimeout)
		defer b.end()
		defer context.AfterFunc(g.parent.requests, b.expire)()
		r.Body = b
	}
	g.parent.handler.ServeHTTP(w, r)
	response.begin() // net/http sends the header of a response without a body after the return.
	c.setRequestState(requestAnswered)
	g.parent.answered.Add(1)
}

// responseWriter makes a response close its connection if the server had other options when the request began, so that the next request
// is subject to them, or is draining when the response begins, so that the next request goes to another VM. Requests that the caller
// has sent already are answered before, also where the handler closes the connection.
type responseWriter struct {
	http.ResponseWriter
	server     *Server
	conn       *conn
	isReplaced bool
	hasBegun   bool
}

func (w *responseWriter) begin() {
	if w.hasBegun {
		return
	}
	w.hasBegun = true
	isDraining := w.server.draining.Load()
	if w.isReplaced || isDraining || strings.EqualFold(w.Header().Get("Connection"), "close") {
		w.Header().Set("Connection", "close")
		if w.conn.keep(isDraining && !w.server.isClosing()) {
			w.Header().Del("Connection")
		}
	}
	w.conn.setRequestState(requestAnswering)
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// timedBody is the body of a request that has to end before a deadline of its connection.
type timedBody struct {
	io.ReadCloser
	connection *http.ResponseController

	mu sync.Mutex
	// ended reports whether the body is not read any more.
	ended bool
}

// newTimedBody returns the body of a request that has to end within the timeout; 0 is no limit.
func newTimedBody(w http.ResponseWriter, body io.ReadCloser, timeout time.Duration) *timedBody {
	b := &timedBody{ReadCloser: body, connection: http.NewResponseController(w)}
	if timeout > 0 {
		_ = b.connection.SetReadDeadline(time.Now().Add(timeout)) // A connection that has been closed needs no deadline.
	}
	return b
}

// expire lets the read of an unfinished body fail now. A deadline after its end would look like a caller that has disconnected.
func (b *timedBody) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.connection.SetReadDeadline(time.Now()) // As in newTimedBody.
	}
}

func (b *timedBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
		// net/http goes on reading to notice when the caller disconnects.
		_ = b.connection.SetReadDeadline(time.Time{}) // As above.
	}
	return n, err
}

func (g *generation) serve() {
	g.source.addr = g.parent.listener.Addr()
	go func() {
		if err := g.server.Serve(g.source); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(g.parent.logger).Log("msg", "HTTP server stopped unexpectedly", "address", g.parent.address, "err", err)
		}
	}()
}

// serveConn serves a connection that is already in the set, or closes it if the server has been closed since.
func (g *generation) serveConn(c *conn) {
	select {
	case g.source.conns <- c:
	case <-g.source.closed:
		g.conns.setState(c, http.StateClosed)
		_ = c.Close() // No request was read from it, so the caller may safely use another VM.
	}
}

// connListener is the listener of a generation. It returns the connections that the Server has accepted.
type connListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }
