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

// peer is another VM, with the outgoing connection to it.
type peer struct {
	module *Module
	config settings.Peer
	random *rand.Rand
	logger log.Logger
	// ctx ends when the module stops or the VM is no longer a peer. stop ends it. Both are set once the module runs.
	ctx  context.Context
	stop context.CancelFunc
	// connection is the current one, or nil while the VM is not connected.
	connection atomic.Pointer[connection]
}

// connection is an outgoing connection whose hello was accepted.
type connection struct {
	session *yamux.Session
	conn    *sessionConn
	hello   *peerpb.Hello
	// queue holds the messages of Send. While it is full, further ones are dropped.
	queue chan kernel.PeerMessage
	// calls limits the calls that run at the same time.
	calls chan struct{}
}

func newPeer(m *Module, p settings.Peer, random *rand.Rand) *peer {
	return &peer{module: m, config: p, random: random, logger: log.With(m.logger, "peer", string(p.Name))}
}

func (p *peer) status() kernel.PeerStatus {
	s := kernel.PeerStatus{VM: p.config.Name, AvailabilityZone: p.config.AvailabilityZone, Control: p.config.HasRole(settings.RoleControl)}
	if c := p.connection.Load(); c != nil {
		if s.AvailabilityZone == "" { // The settings do not name the availability zone of a discovered VM; its hello does.
			s.AvailabilityZone = model.AvailabilityZone(c.hello.GetAvailabilityZone())
		}
		s.Connected, s.Incarnation, s.AnnounceURL = true, c.hello.GetIncarnation(), c.hello.GetAnnounceUrl()
	}
	return s
}

// keepConnected keeps one connection open, and reconnects when it ends, until the module stops.
func (p *peer) keepConnected() {
	backoff, dialTimeout := p.module.opts.reconnectMin, p.module.opts.firstDialTimeout
	for {
		c, err := p.connect(dialTimeout)
		if err == nil {
			dialTimeout = p.module.opts.firstDialTimeout
			connected := time.Now()
			p.serve(c)
			// A connection that was lost again shortly after it was accepted does not reset the backoff.
			if time.Since(connected) > p.module.opts.reconnectMax {
				backoff = p.module.opts.reconnectMin
			}
		} else if p.ctx.Err() == nil {
			_ = level.Info(p.logger).Log("msg", "cannot connect to the VM", "address", p.config.Addr, "retry_within", backoff, "err", err)
		}
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(jitter(p.random, backoff)):
		}
		backoff = min(2*backoff, p.module.opts.reconnectMax)
		if err != nil {
			dialTimeout = p.module.opts.nextDialTimeout(dialTimeout)
		}
	}
}

// nextDialTimeout returns the time limit of the attempt to connect that follows a failed one.
func (o *options) nextDialTimeout(failed time.Duration) time.Duration {
	return min(2*failed, o.dialTimeout)
}

// connect dials the peer and exchanges hellos.
func (p *peer) connect(dialTimeout time.Duration) (*connection, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.module.opts.helloTimeout)
	defer cancel()
	d := net.Dialer{Timeout: dialTimeout}
	dialed, err := d.DialContext(ctx, "tcp", p.config.Addr)
	if err != nil {
		return nil, err
	}
	conn := newSessionConn(dialed)
	session, err := yamux.Client(conn, p.module.yamuxConfig())
	if err != nil {
		_ = conn.Close() // The returned error matters more than a failed close.
		return nil, err
	}
	hello, err := p.sendHello(ctx, session, conn)
	if err != nil {
		_ = session.Close() // The returned error matters more than a failed close.
		return nil, err
	}
	return &connection{
		session: session, conn: conn, hello: hello,
		queue: make(chan kernel.PeerMessage, p.module.opts.sendQueue),
		calls: make(chan struct{}, p.module.opts.callsPerPeer),
	}, nil
}

func (p *peer) sendHello(ctx context.Context, session *yamux.Session, conn *sessionConn) (*peerpb.Hello, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	defer conn.track(stream)()
	defer interruptOn(ctx, stream)()
	if err := writeMessage(stream, p.module.ownHello, maxHelloBytes); err != nil {
		return nil, err
	}
	var reply peerpb.HelloReply
	if err := readMessage(stream, &reply, maxHelloBytes); err != nil {
		return nil, err
	}
	if reply.GetRefusal() != nil {
		return nil, errorFromProto(reply.GetRefusal())
	}
	return reply.GetHello(), checkPeer(p.module.ownHello, reply.GetHello(), p.config.Name)
}

// interruptOn makes reads and writes of the stream fail once ctx is done.
func interruptOn(ctx context.Context, stream *yamux.Stream) (release func() bool) {
	return context.AfterFunc(ctx, func() { _ = stream.SetDeadline(longPast) }) // A closed stream needs no deadline.
}

// serve makes the connection available to callers and sends its queue until the connection ends.
func (p *peer) serve(c *connection) {
	p.connection.Store(c)
	_ = level.Info(p.logger).Log("msg", "VM connected", "address", p.config.Addr, "incarnation", c.hello.GetIncarnation())
	p.module.changes.enqueue(p)
	sent := make(chan error, 1)
	go func() { sent <- p.sendQueued(c) }()
	var err error
	select {
	case err = <-sent:
		_ = c.session.Close() // The connection is discarded, so a failed close does not matter.
	case <-c.session.CloseChan():
		err = <-sent
	case <-p.ctx.Done():
		_ = c.session.Close() // The connection is discarded, so a failed close does not matter.
		err = <-sent
	}
	p.connection.Store(nil)
	p.module.dropped.Inc(int64(len(c.queue)))
	p.module.changes.enqueue(p)
	_ = level.Warn(p.logger).Log("msg", "VM disconnected", "messages_dropped", len(c.queue), "err", err)
}

// sendQueued writes the messages of Send to one stream, which keeps their order.
func (p *peer) sendQueued(c *connection) error {
	stream, err := c.session.OpenStream()
	if err != nil {
		return err
	}
	defer stream.Close()
	w := bufio.NewWriter(stream)
	for {
		select {
		case <-c.session.CloseChan():
			return errs.New(errs.KindUnavailable, "check the network path to the VM", "the connection was lost")
		case msg := <-c.queue:
			if err := p.writeBatch(c, w, msg); err != nil {
				return err
			}
		}
	}
}

// writeBatch writes a message and all messages queued behind it, so that a burst takes few packets.
func (p *peer) writeBatch(c *connection, w *bufio.Writer, msg kernel.PeerMessage) error {
	for {
		frame := &peerpb.Frame{Kind: msg.Kind, Payload: msg.Payload, OneWay: true}
		if err := writeMessage(w, frame, p.module.opts.maxFrame); err != nil && !p.dropTooLarge(msg, err) {
			return err
		}
		select {
		case msg = <-c.queue:
		default:
			return w.Flush()
		}
	}
}

// dropTooLarge reports whether err means that the message is over the size limit, and counts and logs it as dropped.
// Nothing of it was written, so the stream stays intact.
func (p *peer) dropTooLarge(msg kernel.PeerMessage, err error) bool {
	if errs.KindOf(err) != errs.KindTooLarge {
		return false
	}
	p.module.dropped.Inc(1)
	_ = level.Error(p.logger).Log("msg", "one-way message dropped because it is too large", "kind", msg.Kind, "err", err)
	return true
}

func (p *peer) send(msg kernel.PeerMessage) bool {
	c := p.connection.Load()
	if c == nil {
		return false
	}
	select {
	case c.queue <- msg:
		return true
	default:
		return false
	}
}

// call sends a message on its own stream and waits for the reply.
func (p *peer) call(ctx context.Context, msg kernel.PeerMessage) ([]byte, error) {
	const remedy = "try again once the VM is reachable"
	c := p.connection.Load()
	if c == nil {
		return nil, errs.New(errs.KindUnavailable, remedy, "VM %q is not connected", p.config.Name)
	}
	select {
	case c.calls <- struct{}{}:
		defer func() { <-c.calls }()
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.KindUnavailable, remedy, "message %s to VM %q was not sent", msg.Kind, p.config.Name)
	}
	if ctx.Err() != nil {
		return nil, errs.Wrap(ctx.Err(), errs.KindUnavailable, remedy, "message %s to VM %q was not sent", msg.Kind, p.config.Name)
	}
	stream, err := c.session.OpenStream()
	if err != nil {
		return nil, errs.Wrap(err, errs.KindUnavailable, remedy, "message %s to VM %q was not sent", msg.Kind, p.config.Name)
	}
	defer stream.Close()
	defer c.conn.track(stream)()
	defer interruptOn(ctx, stream)()
	return p.exchange(ctx, c, stream, msg)
}

func (p *peer) exchange(ctx context.Context, c *connection, stream *yamux.Stream, msg kernel.PeerMessage) ([]byte, error) {
	frame := &peerpb.Frame{Kind: msg.Kind, Payload: msg.Payload, TimeoutMs: timeoutMS(ctx)}
	err := writeMessage(stream, frame, p.module.opts.maxFrame)
	if err != nil && errs.KindOf(err) == errs.KindTooLarge {
		return nil, err
	}
	// yamux may still send data whose write it reported as failed, so from here on the outcome of a failed call is unknown.
	var reply peerpb.Reply
	if err == nil {
		err = readMessage(stream, &reply, p.module.opts.maxFrame)
	}
	if err == nil {
		return reply.GetPayload(), errorFromProto(reply.GetError())
	}
	if isProtocolError(err) {
		_ = level.Error(p.logger).Log("msg", "connection closed because of a malformed frame", "kind", msg.Kind, "err", err)
		_ = c.session.Close() // The connection is discarded, so a failed close does not matter.
	}
	return nil, errs.Wrap(err, errs.KindUnknownOutcome, "query whether the message took effect before sending it again", "no reply from VM %q to message %s", p.config.Name, msg.Kind)
}

// timeoutMS returns how long the caller still waits, in milliseconds, or 0 without a deadline.
func timeoutMS(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(time.Until(deadline).Milliseconds(), 1))
}
