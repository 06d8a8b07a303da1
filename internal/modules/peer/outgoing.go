package peer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/peer/peerpb"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// peer is another VM of the settings with the outgoing connection to it.
type peer struct {
	module *Module
	config settings.Peer
	random *rand.Rand
	log    log.Logger
	// link is the connection, or nil while there is none.
	link atomic.Pointer[link]
}

// link is one outgoing connection whose hello was accepted.
type link struct {
	session *yamux.Session
	hello   *peerpb.Hello
	queue   chan kernel.PeerMessage
	calls   chan struct{}
}

func newPeer(m *Module, p settings.Peer, random *rand.Rand) *peer {
	return &peer{module: m, config: p, random: random, log: log.With(m.log, "peer", string(p.Name))}
}

func (p *peer) status() kernel.PeerStatus {
	s := kernel.PeerStatus{VM: p.config.Name, AvailabilityZone: p.config.AvailabilityZone, Control: p.config.HasRole(settings.RoleControl)}
	if l := p.link.Load(); l != nil {
		if s.AvailabilityZone == "" { // A discovered VM tells its availability zone itself.
			s.AvailabilityZone = model.AvailabilityZone(l.hello.GetAvailabilityZone())
		}
		s.Connected, s.Incarnation, s.AnnounceURL = true, l.hello.GetIncarnation(), l.hello.GetAnnounceUrl()
	}
	return s
}

// keepConnected keeps one connection up until the module stops.
func (p *peer) keepConnected() {
	backoff := p.module.opts.reconnectMin
	for {
		l, err := p.connect()
		if err == nil {
			connected := time.Now()
			p.serve(l)
			// A connection that was accepted and lost at once must not reset the wait.
			if time.Since(connected) > p.module.opts.reconnectMax {
				backoff = p.module.opts.reconnectMin
			}
		} else if p.module.run.Err() == nil {
			_ = level.Info(p.log).Log("msg", "VM is not reachable", "address", p.config.Addr, "retry_within", backoff, "err", err)
		}
		select {
		case <-p.module.run.Done():
			return
		case <-time.After(jitter(p.random, backoff)):
		}
		backoff = min(2*backoff, p.module.opts.reconnectMax)
	}
}

// connect dials the peer and exchanges hellos.
func (p *peer) connect() (*link, error) {
	ctx, cancel := context.WithTimeout(p.module.run, p.module.opts.helloTimeout)
	defer cancel()
	d := net.Dialer{Timeout: p.module.opts.dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.config.Addr)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, p.module.yamuxConfig())
	if err != nil {
		_ = conn.Close() // The first error counts.
		return nil, err
	}
	hello, err := p.greet(ctx, session)
	if err != nil {
		_ = session.Close() // The first error counts.
		return nil, err
	}
	return &link{
		session: session, hello: hello,
		queue: make(chan kernel.PeerMessage, p.module.opts.sendQueue),
		calls: make(chan struct{}, p.module.opts.streamsPerPeerCall),
	}, nil
}

func (p *peer) greet(ctx context.Context, session *yamux.Session) (*peerpb.Hello, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	defer interruptOn(ctx, stream)()
	if err := writeMessage(stream, p.module.own, maxHelloBytes); err != nil {
		return nil, err
	}
	var reply peerpb.HelloReply
	if err := readMessage(stream, &reply, maxHelloBytes); err != nil {
		return nil, err
	}
	if reply.GetRefusal() != nil {
		return nil, decodeError(reply.GetRefusal())
	}
	return reply.GetHello(), checkPeer(p.module.own, reply.GetHello(), p.config.Name)
}

// interruptOn makes reads and writes of the stream fail once ctx is done.
func interruptOn(ctx context.Context, stream *yamux.Stream) (release func() bool) {
	return context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) }) // A stream that has ended needs none.
}

// serve publishes the connection and carries its queue until it ends.
func (p *peer) serve(l *link) {
	p.link.Store(l)
	_ = level.Info(p.log).Log("msg", "VM connected", "address", p.config.Addr, "incarnation", l.hello.GetIncarnation())
	p.module.changes.post(p)
	sent := make(chan error, 1)
	go func() { sent <- p.carryQueue(l) }()
	var err error
	select {
	case err = <-sent:
		_ = l.session.Close() // It is of no further use.
	case <-l.session.CloseChan():
		err = <-sent
	case <-p.module.run.Done():
		_ = l.session.Close() // It is of no further use.
		err = <-sent
	}
	p.link.Store(nil)
	p.module.dropped.Inc(int64(len(l.queue)))
	p.module.changes.post(p)
	_ = level.Warn(p.log).Log("msg", "VM disconnected", "messages_dropped", len(l.queue), "err", err)
}

// carryQueue writes the messages of Send to one stream, which keeps them in order.
func (p *peer) carryQueue(l *link) error {
	stream, err := l.session.OpenStream()
	if err != nil {
		return err
	}
	defer stream.Close()
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-l.session.CloseChan():
			return errs.New(errs.KindUnavailable, "check the network path to the VM", "the connection was lost")
		case msg := <-l.queue:
			if err := p.writeQueued(l, w, msg); err != nil {
				return err
			}
		}
	}
}

// writeQueued writes a message and all that wait behind it, so that a burst takes few packets.
func (p *peer) writeQueued(l *link, w *bufio.Writer, msg kernel.PeerMessage) error {
	for {
		frame := &peerpb.Frame{Kind: msg.Kind, Payload: msg.Payload, OneWay: true}
		if err := writeMessage(w, frame, p.module.opts.maxFrame); err != nil && !p.skipTooLarge(msg, err) {
			return err
		}
		select {
		case msg = <-l.queue:
		default:
			return w.Flush()
		}
	}
}

// skipTooLarge drops a message over the limit. Nothing of it was written, so the stream stays intact.
func (p *peer) skipTooLarge(msg kernel.PeerMessage, err error) bool {
	if errs.KindOf(err) != errs.KindTooLarge {
		return false
	}
	p.module.dropped.Inc(1)
	_ = level.Error(p.log).Log("msg", "message dropped", "kind", msg.Kind, "err", err)
	return true
}

func (p *peer) send(msg kernel.PeerMessage) bool {
	l := p.link.Load()
	if l == nil {
		return false
	}
	select {
	case l.queue <- msg:
		return true
	default:
		return false
	}
}

// call sends a message on a stream of its own and waits for the reply.
func (p *peer) call(ctx context.Context, msg kernel.PeerMessage) ([]byte, error) {
	const remedy = "try again once the VM is reachable"
	l := p.link.Load()
	if l == nil {
		return nil, errs.New(errs.KindUnavailable, remedy, "VM %q is not connected", p.config.Name)
	}
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.KindUnavailable, remedy, "message %s to VM %q was not sent", msg.Kind, p.config.Name)
	}
	if ctx.Err() != nil {
		return nil, errs.Wrap(ctx.Err(), errs.KindUnavailable, remedy, "message %s to VM %q was not sent", msg.Kind, p.config.Name)
	}
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, errs.Wrap(err, errs.KindUnavailable, remedy, "message %s to VM %q was not sent", msg.Kind, p.config.Name)
	}
	defer stream.Close()
	defer interruptOn(ctx, stream)()
	return p.exchange(ctx, l, stream, msg)
}

func (p *peer) exchange(ctx context.Context, l *link, stream *yamux.Stream, msg kernel.PeerMessage) ([]byte, error) {
	frame := &peerpb.Frame{Kind: msg.Kind, Payload: msg.Payload, TimeoutMs: timeoutMS(ctx)}
	err := writeMessage(stream, frame, p.module.opts.maxFrame)
	if err != nil && errs.KindOf(err) == errs.KindTooLarge {
		return nil, err
	}
	// yamux may still send what it reports as failed, so from here on the outcome of a failure is unknown.
	var reply peerpb.Reply
	if err == nil {
		err = readMessage(stream, &reply, p.module.opts.maxFrame)
	}
	if err == nil {
		return reply.GetPayload(), decodeError(reply.GetError())
	}
	if brokenProtocol(err) {
		_ = level.Error(p.log).Log("msg", "connection closed because of a bad frame", "kind", msg.Kind, "err", err)
		_ = l.session.Close() // It is of no further use.
	}
	return nil, errs.Wrap(err, errs.KindUnknownOutcome, "ask whether the message took effect before it is sent again", "no reply of VM %q to message %s", p.config.Name, msg.Kind)
}

// timeoutMS returns how long the caller waits, or 0 without a deadline.
func timeoutMS(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(time.Until(deadline).Milliseconds(), 1))
}
