// Package httpserver runs one HTTP listener of a module: it starts, drains and stops it in the way that the shutdown
// of a process needs.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

// Options bound what the other side may send.
type Options struct {
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
}

// Server is one listener.
type Server struct {
	address  string
	server   *http.Server
	listener net.Listener
	logger   log.Logger
	draining atomic.Bool
}

// New returns a server that is not listening yet.
func New(address string, handler http.Handler, logger log.Logger, o Options) *Server {
	s := &Server{address: address, logger: logger}
	s.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.draining.Load() {
				// The answer closes the connection, so that the next request goes to another VM.
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
	}
	return s
}

// Start listens.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errs.Wrap(err, errs.KindInvalid, "give the listener a free address of this VM", "cannot listen on %s", s.address)
	}
	s.listener = l
	go func() {
		if err := s.server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(s.logger).Log("msg", "listener has ended", "address", s.address, "err", err)
		}
	}()
	_ = level.Info(s.logger).Log("msg", "listening", "address", l.Addr())
	return nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drain goes on serving for a delay, with answers that close their connections, and then closes idle connections and
// waits for the requests in flight.
func (s *Server) Drain(ctx context.Context, delay time.Duration) error {
	s.draining.Store(true)
	_ = level.Info(s.logger).Log("msg", "draining", "address", s.address, "delay", delay)
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	_ = level.Info(s.logger).Log("msg", "drained", "address", s.address, "err", err)
	return err
}

// Stop closes the listener and all connections.
func (s *Server) Stop() error {
	if s.listener == nil {
		return nil
	}
	return s.server.Close()
}
