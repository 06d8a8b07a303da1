// Package peer is the module peer.yamux. It connects the processes of the system over TCP by IP address, with
// yamux and protobuf. Each VM keeps one outgoing connection to each of its peers, and sends its calls and messages
// over that connection.
package peer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/peer/peerpb"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "peer_transport"

const (
	// streamsPerConnection limits the concurrent calls of one connection and, together with the frame limit, the
	// memory that one peer can use.
	streamsPerConnection = 128
	// streamOpenTimeout closes a connection whose peer does not accept a new stream in time.
	streamOpenTimeout = 10 * time.Second
	// halfClosedTimeout frees a stream that the other side never closes.
	halfClosedTimeout = 30 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "peer.yamux",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapLog},
		Wants:    []kernel.Capability{kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapPeerTransport},
		Settings: []settings.Key{
			{Section: section, Name: "listen", Kind: settings.KindAddress, Help: "address for connections of other VMs, such as 10.0.0.1:7400; required with peers"},
			{Section: section, Name: "keepalive_interval", Kind: settings.KindDuration, Default: "1s", Min: 0.01, Max: 60, Help: "time between two probes of a connection"},
			{Section: section, Name: "keepalive_timeout", Kind: settings.KindDuration, Default: "2s", Min: 0.01, Max: 60, Help: "time without an answer after which a connection is closed"},
			{Section: section, Name: "dial_timeout", Kind: settings.KindDuration, Default: "3s", Min: 0.01, Max: 60, Help: "time limit for opening a connection; the first packet to a VM without power is lost, and is sent again only after 1s"},
			{Section: section, Name: "first_dial_timeout", Kind: settings.KindDuration, Default: "0s", Max: 60, Help: "time limit for the first attempt to open a connection, which doubles up to dial_timeout; 0 is dial_timeout. VMs that start together after a power loss lose the first packets to each other"},
			{Section: section, Name: "reconnect_min", Kind: settings.KindDuration, Default: "100ms", Min: 0.001, Max: 60, Help: "first wait before a new attempt to connect"},
			{Section: section, Name: "reconnect_max", Kind: settings.KindDuration, Default: "3s", Min: 0.001, Max: 600, Help: "longest wait before a new attempt to connect"},
			{Section: section, Name: "send_queue", Kind: settings.KindInt, Default: "1024", Min: 1, Max: 1 << 20, Help: "maximum number of messages that wait to be sent to each peer"},
			{Section: section, Name: "max_frame_bytes", Kind: settings.KindInt, Default: "75497472", Min: 4096, Max: 1 << 30, Help: "largest message; the default holds a full replicated state of the largest size"},
			{Section: section, Name: "max_connections", Kind: settings.KindInt, Default: "8192", Min: 1, Max: 1 << 20, Help: "maximum number of open connections from other VMs"},
		},
	})
}

// options are the settings of the transport and the limits derived from them.
type options struct {
	listen            string
	keepaliveInterval time.Duration
	keepaliveTimeout  time.Duration
	firstDialTimeout  time.Duration
	dialTimeout       time.Duration
	reconnectMin      time.Duration
	reconnectMax      time.Duration
	sendQueue         int
	maxFrame          int
	maxConnections    int
	helloTimeout      time.Duration
	callsPerPeer      int
}

// Module implements kernel.PeerTransport.
type Module struct {
	opts     options
	logger   log.Logger
	scope    tally.Scope
	ownHello *peerpb.Hello
	handlers map[string]kernel.PeerHandler
	settings *settings.Settings
	random   func() *rand.Rand
	// mu guards peers and peerList, which grow as VMs are discovered.
	mu       sync.RWMutex
	peers    map[model.VMName]*peer
	peerList []*peer
	changes  *notifier
	listener net.Listener
	runCtx   context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	incoming incoming
	dropped  tally.Counter
	received tally.Counter
	sent     tally.Counter
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s := ctx.Settings
	m.opts = options{
		listen:            s.String(section, "listen"),
		keepaliveInterval: s.Duration(section, "keepalive_interval"),
		keepaliveTimeout:  s.Duration(section, "keepalive_timeout"),
		dialTimeout:       s.Duration(section, "dial_timeout"),
		reconnectMin:      s.Duration(section, "reconnect_min"),
		reconnectMax:      s.Duration(section, "reconnect_max"),
		sendQueue:         s.Int(section, "send_queue"),
		maxFrame:          s.Int(section, "max_frame_bytes"),
		maxConnections:    s.Int(section, "max_connections"),
		callsPerPeer:      streamsPerConnection - 1, // One stream is reserved for the messages of Send.
	}
	m.opts.firstDialTimeout = min(s.Duration(section, "first_dial_timeout"), m.opts.dialTimeout)
	if m.opts.firstDialTimeout == 0 {
		m.opts.firstDialTimeout = m.opts.dialTimeout
	}
	m.opts.helloTimeout = m.opts.keepaliveInterval + m.opts.keepaliveTimeout
	m.logger, m.scope = ctx.Logger("peer"), ctx.Scope("peer")
	m.dropped, m.received, m.sent = m.scope.Counter("messages_dropped"), m.scope.Counter("messages_received"), m.scope.Counter("messages_sent")
	m.ownHello = &peerpb.Hello{
		Cluster: s.Cluster, Version: protocolVersion, OldestVersion: oldestProtocolVersion,
		Vm: string(s.VM), AvailabilityZone: string(s.AvailabilityZone), Incarnation: ctx.VM.Incarnation,
	}
	m.handlers = map[string]kernel.PeerHandler{}
	m.peers = map[model.VMName]*peer{}
	m.changes = newNotifier()
	m.incoming = newIncoming(m.opts.maxConnections, m.opts.maxFrame)
	m.settings, m.random = s, ctx.Random
	for _, p := range s.Peers {
		m.AddPeer(p)
	}
	return nil
}

// AddPeer implements kernel.PeerTransport.
func (m *Module) AddPeer(p settings.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[p.Name] != nil || p.Name == m.settings.VM {
		return
	}
	added := newPeer(m, p, m.random())
	m.peers[p.Name] = added
	m.peerList = append(m.peerList, added)
	if m.runCtx != nil && m.runCtx.Err() == nil {
		_ = level.Info(m.logger).Log("msg", "VM discovered", "peer", p.Name, "address", p.Addr)
		m.startPeer(added)
	}
}

// startPeer keeps a VM connected until it is removed or the module stops. The caller holds the lock.
func (m *Module) startPeer(p *peer) {
	p.ctx, p.stop = context.WithCancel(m.runCtx)
	m.spawn(p.keepConnected)
}

// RemovePeer implements kernel.PeerRemover.
func (m *Module) RemovePeer(vm model.VMName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[vm]
	if p == nil {
		return
	}
	delete(m.peers, vm)
	m.peerList = slices.DeleteFunc(slices.Clone(m.peerList), func(other *peer) bool { return other == p })
	if p.stop != nil {
		p.stop()
		_ = level.Info(m.logger).Log("msg", "VM is no longer a peer", "peer", vm)
	}
}

// Reload implements kernel.Reloader: VMs at new seeds become peers.
func (m *Module) Reload(s *settings.Settings) error {
	for _, p := range s.Peers {
		m.AddPeer(p)
	}
	return nil
}

func (m *Module) peer(vm model.VMName) *peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.peers[vm]
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error {
	if m.opts.listen == "" && len(m.peerList) > 0 {
		return errs.New(errs.KindInvalid, "add [peer_transport] listen", "the settings list %d peers but no address for their connections", len(m.peerList))
	}
	if m.opts.reconnectMin > m.opts.reconnectMax {
		return errs.New(errs.KindInvalid, "raise reconnect_max", "[%s] reconnect_min %s is above reconnect_max %s", section, m.opts.reconnectMin, m.opts.reconnectMax)
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	if m.opts.listen == "" {
		return nil
	}
	l, err := net.Listen("tcp", m.opts.listen)
	if err != nil {
		return errs.Wrap(err, errs.KindInvalid, "give [peer_transport] listen a free address of this VM", "cannot listen for other VMs")
	}
	m.listener = l
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runCtx, m.cancel = context.WithCancel(ctx)
	_ = level.Info(m.logger).Log("msg", "listening for other VMs", "address", l.Addr(), "peers", len(m.peerList))
	m.spawn(m.accept)
	m.spawn(func() { m.changes.run(m.runCtx) })
	for _, p := range m.peerList {
		m.startPeer(p)
	}
	return nil
}

func (m *Module) spawn(fn func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		fn()
	}()
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.mu.Lock() // No VM is added once the tasks are waited for.
	m.cancel()
	m.mu.Unlock()
	_ = m.listener.Close() // Nothing is accepted after this, even if closing fails.
	done := make(chan struct{})
	go func() {
		m.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.KindDeadline, "raise [shutdown] drain_limit", "handlers of messages from other VMs did not end")
	}
}

// SetAnnounceURL sets the URL that this VM sends to its peers as the one for announcements of targets. It must be called
// before Start.
func (m *Module) SetAnnounceURL(url string) { m.ownHello.AnnounceUrl = url }

// Handle implements kernel.PeerTransport.
func (m *Module) Handle(kind string, h kernel.PeerHandler) { m.handlers[kind] = h }

// Call implements kernel.PeerTransport.
func (m *Module) Call(ctx context.Context, to model.VMName, msg kernel.PeerMessage) ([]byte, error) {
	p := m.peer(to)
	if p == nil {
		return nil, errs.New(errs.KindUnavailable, "add [peer "+string(to)+"] to the settings", "VM %q is not a peer of this VM", to)
	}
	return p.call(ctx, msg)
}

// Send implements kernel.PeerTransport.
func (m *Module) Send(to model.VMName, msg kernel.PeerMessage) bool {
	p := m.peer(to)
	if p == nil || !p.send(msg) {
		m.dropped.Inc(1)
		return false
	}
	m.sent.Inc(1)
	return true
}

// Peers implements kernel.PeerTransport.
func (m *Module) Peers() []kernel.PeerStatus {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]kernel.PeerStatus, 0, len(m.peerList))
	for _, p := range m.peerList {
		out = append(out, p.status())
	}
	return out
}

// OnChange implements kernel.PeerTransport.
func (m *Module) OnChange(fn func(kernel.PeerStatus)) { m.changes.add(fn) }

// yamuxConfig returns the configuration of both sides of a connection.
func (m *Module) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamsPerConnection
	c.KeepAliveInterval = m.opts.keepaliveInterval
	c.ConnectionWriteTimeout = m.opts.keepaliveTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = halfClosedTimeout
	c.LogOutput = yamuxLog{m.logger}
	return c
}

// yamuxLog writes log lines of yamux at level debug, because this module logs its own line after each.
type yamuxLog struct{ logger log.Logger }

// Write implements io.Writer.
func (l yamuxLog) Write(line []byte) (int, error) {
	_ = level.Debug(l.logger).Log("msg", strings.TrimSpace(string(bytes.TrimSpace(line))))
	return len(line), nil
}

var _ io.Writer = yamuxLog{}

// jitter returns a random duration from half of d to d, so that VMs that lost their connection to a peer at the same
// time do not all reconnect at the same time.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
