package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/peer/peerpb"
)

const (
	// smallFrameBytes is the size up to which frames are limited only by the number of streams of their connection.
	smallFrameBytes = 64 << 10
	// concurrentMaxFrames is the number of frames of the largest size that are read and handled at the same time, from
	// all VMs together.
	concurrentMaxFrames = 2
)

// incoming holds the connections that other VMs opened.
type incoming struct {
	// slots limits the number of connections.
	slots chan struct{}
	// largeFrames limits the bytes of all frames above smallFrameBytes that are read and handled at the same time.
	largeFrames *semaphore.Weighted
	mu          *sync.Mutex
	// latest holds for each VM the connection of its highest incarnation.
	latest map[model.VMName]acceptedConnection
}

type acceptedConnection struct {
	session     *yamux.Session
	incarnation uint64
}

func newIncoming(limit, maxFrame int) incoming {
	return incoming{
		slots: make(chan struct{}, limit), largeFrames: semaphore.NewWeighted(concurrentMaxFrames * int64(maxFrame)),
		mu: &sync.Mutex{}, latest: map[model.VMName]acceptedConnection{},
	}
}

func (in *incoming) remove(s *yamux.Session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for vm, a := range in.latest {
		if a.session == s {
			delete(in.latest, vm)
		}
	}
}

// register makes s the current connection of a VM. It closes an earlier connection of a lower incarnation, and also
// one of the same incarnation, because a VM keeps only one connection. While a higher incarnation is connected, a lower
// one is refused: it is a second process under the same name.
func (in *incoming) register(s *yamux.Session, h *peerpb.Hello) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	vm := model.VMName(h.GetVm())
	old, ok := in.latest[vm]
	if ok && old.incarnation > h.GetIncarnation() {
		return errs.New(errs.KindConflict, "end one of the two processes, or give it another name", "a process of VM %q that started later is connected", vm)
	}
	if ok {
		go old.session.Close()
	}
	in.latest[vm] = acceptedConnection{session: s, incarnation: h.GetIncarnation()}
	return nil
}

// accept accepts connections until the listener is closed.
func (m *Module) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if m.runCtx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			_ = level.Error(m.logger).Log("msg", "listener could not accept a connection", "err", err)
			// Without a pause the loop would spin while no file descriptor is free.
			select {
			case <-time.After(m.opts.reconnectMin):
			case <-m.runCtx.Done():
			}
			continue
		}
		select {
		case m.incoming.slots <- struct{}{}:
			m.spawn(func() {
				defer func() { <-m.incoming.slots }()
				m.serveIncoming(conn)
			})
		default:
			_ = level.Warn(m.logger).Log("msg", "incoming connection refused because too many are open; raise [peer_transport] max_connections", "from", conn.RemoteAddr())
			_ = conn.Close() // The connection is discarded, so a failed close does not matter.
		}
	}
}

func (m *Module) serveIncoming(accepted net.Conn) {
	logger := log.With(m.logger, "from", accepted.RemoteAddr())
	conn := newSessionConn(accepted)
	session, err := yamux.Server(conn, m.yamuxConfig())
	if err != nil {
		_ = conn.Close() // The connection is discarded, so a failed close does not matter.
		return
	}
	defer session.Close()
	defer context.AfterFunc(m.runCtx, func() { _ = session.Close() })() // The session may be closed already.
	defer m.incoming.remove(session)
	hello, err := m.receiveHello(session, conn)
	if err != nil {
		_ = level.Warn(logger).Log("msg", "incoming connection refused", "err", err)
		return
	}
	logger = log.With(logger, "peer", hello.GetVm())
	_ = level.Info(logger).Log("msg", "incoming connection accepted", "incarnation", hello.GetIncarnation(), "availability_zone", hello.GetAvailabilityZone())
	m.serveStreams(session, conn, model.VMName(hello.GetVm()), logger)
}

// receiveHello reads the hello of a new connection and replies to it.
func (m *Module) receiveHello(session *yamux.Session, conn *sessionConn) (*peerpb.Hello, error) {
	ctx, cancel := context.WithTimeout(m.runCtx, m.opts.helloTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	defer conn.track(stream)()
	defer interruptOn(ctx, stream)()
	var hello peerpb.Hello
	if err := readMessage(stream, &hello, maxHelloBytes); err != nil {
		return nil, err
	}
	refusal := checkHello(m.ownHello, &hello)
	if refusal == nil {
		refusal = m.incoming.register(session, &hello)
	}
	if refusal == nil {
		return &hello, writeMessage(stream, &peerpb.HelloReply{Hello: m.ownHello}, maxHelloBytes)
	}
	if err := writeMessage(stream, &peerpb.HelloReply{Refusal: errorToProto(refusal)}, maxHelloBytes); err == nil {
		// Keeps the connection open until the other side has read the refusal and closed its stream, or until the timeout.
		_, _ = stream.Read(make([]byte, 1))
	}
	return nil, refusal
}

// serveStreams serves the streams of one connection until it ends.
func (m *Module) serveStreams(session *yamux.Session, conn *sessionConn, from model.VMName, logger log.Logger) {
	ctx, cancel := context.WithCancel(m.runCtx)
	// Cancels the contexts of the handlers as soon as the connection ends, so that they free their slots.
	go func() {
		<-session.CloseChan()
		cancel()
	}()
	slots := make(chan struct{}, streamsPerConnection)
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		slots <- struct{}{}
		stream, err := session.AcceptStream()
		if err != nil {
			_ = level.Info(logger).Log("msg", "incoming connection ended", "err", err)
			return
		}
		streams.Add(1)
		go func() {
			defer streams.Done()
			defer func() { <-slots }()
			defer stream.Close()
			defer conn.track(stream)()
			if err := m.serveStream(ctx, stream, from, logger); err != nil && isProtocolError(err) {
				_ = level.Error(logger).Log("msg", "connection closed because of a malformed frame", "err", err)
				_ = session.Close() // The connection is discarded, so a failed close does not matter.
			}
		}()
	}
}

// serveStream handles one call, or all one-way messages of a stream in order.
func (m *Module) serveStream(ctx context.Context, stream *yamux.Stream, from model.VMName, logger log.Logger) error {
	r := bufio.NewReader(stream)
	for {
		more, err := m.serveFrame(ctx, r, stream, from, logger)
		if err != nil || !more {
			return err
		}
	}
}

// serveFrame handles one frame and reports whether another one may follow on the stream.
func (m *Module) serveFrame(ctx context.Context, r io.Reader, stream *yamux.Stream, from model.VMName, logger log.Logger) (more bool, err error) {
	size, err := readSize(r, m.opts.maxFrame)
	if err != nil {
		return false, err
	}
	if size > smallFrameBytes {
		if err := m.incoming.largeFrames.Acquire(ctx, size); err != nil {
			return false, err
		}
		defer m.incoming.largeFrames.Release(size)
	}
	var f peerpb.Frame
	if err := readBody(r, size, &f); err != nil {
		return false, err
	}
	m.received.Inc(1)
	payload, err := m.dispatch(ctx, from, &f)
	if !f.GetOneWay() {
		return false, m.reply(stream, payload, err)
	}
	if err != nil {
		_ = level.Debug(logger).Log("msg", "one-way message could not be handled", "kind", f.GetKind(), "err", err)
	}
	return true, nil
}

func (m *Module) dispatch(ctx context.Context, from model.VMName, f *peerpb.Frame) ([]byte, error) {
	h := m.handlers[f.GetKind()]
	if h == nil {
		return nil, errs.New(errs.KindUnavailable, "enable the module on that VM, or upgrade it", "VM %q does not handle messages of kind %q", m.ownHello.GetVm(), f.GetKind())
	}
	if ms := f.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(min(ms, uint64(time.Hour/time.Millisecond)))*time.Millisecond)
		defer cancel()
	}
	return h(ctx, from, f.GetPayload())
}

func (m *Module) reply(stream *yamux.Stream, payload []byte, err error) error {
	reply := &peerpb.Reply{Payload: payload}
	if err != nil {
		reply = &peerpb.Reply{Error: errorToProto(err)}
	}
	if err := writeMessage(stream, reply, m.opts.maxFrame); err != nil && errs.KindOf(err) == errs.KindTooLarge {
		// The handler has run, so the error must not mean that the message was not handled.
		failed := errs.Wrap(err, errs.KindUnknownOutcome, errs.RemedyOf(err), "the reply is too large")
		_ = writeMessage(stream, &peerpb.Reply{Error: errorToProto(failed)}, m.opts.maxFrame) // A caller that has disconnected treats the outcome as unknown as well.
	}
	return nil
}
