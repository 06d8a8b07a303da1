package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// view is the part of the control state that traffic goroutines read. It is immutable.
type view struct {
	state    model.TargetState
	layout   model.LayoutNumber
	shards   []model.ShardID
	versions []model.IndexVersion
	faults   []FaultSpec
}

// holds reports whether the target can answer for a shard of a snapshot.
func (v *view) holds(s model.Snapshot, shard model.ShardID) bool {
	return v.layout == s.Layout && slices.Contains(v.versions, s.Index) && slices.Contains(v.shards, shard)
}

// controlState is owned by the control goroutine.
type controlState struct {
	state        model.TargetState
	layout       model.LayoutNumber
	layoutShards []model.Shard
	shards       []model.ShardID
	versions     []model.IndexVersion
	faults       []FaultSpec
	loadLag      time.Duration
	loadFactor   float64
	announcer    announcer
}

// Target is a running stand-in target.
type Target struct {
	cfg      Config
	ledger   *ledger
	gate     *gate
	slots    *slots
	view     atomic.Pointer[view]
	commands chan func(*controlState)
	server   *http.Server
	control  *http.Server
	client   *http.Client
	addr     string
	ctrlAddr string
	done     chan struct{}
	stop     sync.Once
	loops    sync.WaitGroup

	randomLock sync.Mutex
	random     *rand.Rand
	// previous is the last whole reply, which a crossed reply repeats.
	previous atomic.Pointer[reply]
}

// Start starts a target. It runs until Stop, or until it has left after Leave.
func Start(cfg Config) (*Target, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	t := &Target{
		cfg: cfg, ledger: newLedger(), gate: newGate(), slots: newSlots(cfg.Slots, cfg.Queue),
		commands: make(chan func(*controlState)), done: make(chan struct{}),
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.ID)))),
	}
	if err := t.listen(); err != nil {
		return nil, err
	}
	state := &controlState{
		state: model.TargetServing, layout: cfg.Layout, layoutShards: cfg.LayoutShards, shards: cfg.Shards,
		versions: cfg.IndexVersions, loadLag: cfg.LoadLag, loadFactor: cfg.LoadFactor, announcer: newAnnouncer(cfg),
	}
	if cfg.ColdFor > 0 {
		state.state = model.TargetCold
		t.after(cfg.ColdFor, func(s *controlState) { t.warm(s) })
	}
	t.publish(state)
	t.loops.Add(1)
	go t.run(state)
	return t, nil
}

// listen opens the listeners of sub-requests and control.
func (t *Target) listen() error {
	l := t.cfg.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", t.cfg.Listen); err != nil {
			return errs.Wrap(err, errs.KindInvalid, "name a free address", "stand-in target %s cannot listen", t.cfg.ID)
		}
	}
	t.addr = l.Addr().String()
	// Announcements come from the target's own address, so that a proxy can tell who sends them.
	own := &net.Dialer{LocalAddr: &net.TCPAddr{IP: l.Addr().(*net.TCPAddr).IP}}
	t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: own.DialContext}}
	t.server = &http.Server{Handler: t.shardHandler()}
	limited := &limitListener{Listener: l, limit: t.cfg.ConnectionLimit, connectTime: t.cfg.ConnectTime, ledger: t.ledger, gate: t.gate, distance: t.cfg.Distance}
	go func() { _ = t.server.Serve(limited) }() // It returns when the target stops.
	if t.cfg.Control == "" {
		return nil
	}
	c, err := net.Listen("tcp", t.cfg.Control)
	if err != nil {
		_ = t.server.Close() // Its connections are cut in any case.
		return errs.Wrap(err, errs.KindInvalid, "name a free address", "stand-in target %s cannot listen for control", t.cfg.ID)
	}
	t.ctrlAddr = c.Addr().String()
	t.control = &http.Server{Handler: t.controlHandler()}
	go func() { _ = t.control.Serve(c) }() // It returns when the target is closed.
	return nil
}

// Addr returns the address of the sub-request listener.
func (t *Target) Addr() string { return t.addr }

// ControlAddr returns the address of the control endpoint, or nothing.
func (t *Target) ControlAddr() string { return t.ctrlAddr }

// Key identifies the target.
func (t *Target) Key() model.TargetKey { return model.TargetKey{Service: t.cfg.Service, ID: t.cfg.ID} }

// Counts returns what the target has counted so far.
func (t *Target) Counts() Counts { return t.ledger.snapshot() }

// Executions returns how often an attempt has been executed.
func (t *Target) Executions(a model.AttemptID) int { return t.ledger.attempt(a) }

// OrderExecutions returns how often an order has been executed.
func (t *Target) OrderExecutions(key string) int { return t.ledger.order(key) }

// RequestExecutions returns how many attempts have been executed for request bodies with a checksum.
func (t *Target) RequestExecutions(checksum string) int { return t.ledger.request(checksum) }

// run is the control goroutine.
func (t *Target) run(s *controlState) {
	defer t.loops.Done()
	t.announce(s)
	renew := time.NewTicker(t.cfg.Lease / 3)
	defer renew.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-renew.C:
			t.announce(s)
		case fn := <-t.commands:
			fn(s)
			t.publish(s)
		}
	}
}

// do runs a command on the control goroutine and waits until its effect is published.
func (t *Target) do(fn func(s *controlState)) {
	done := make(chan struct{})
	select {
	case t.commands <- func(s *controlState) { fn(s); t.publish(s); close(done) }:
		<-done
	case <-t.done:
	}
}

// post hands a command to the control goroutine from a goroutine that may wait.
func (t *Target) post(fn func(s *controlState)) {
	select {
	case t.commands <- fn:
	case <-t.done:
	}
}

func (t *Target) after(d time.Duration, fn func(s *controlState)) {
	time.AfterFunc(d, func() { t.post(fn) })
}

func (t *Target) publish(s *controlState) {
	t.view.Store(&view{state: s.state, layout: s.layout, shards: s.shards, versions: s.versions, faults: s.faults})
}

func (t *Target) warm(s *controlState) {
	if s.state == model.TargetCold {
		s.state = model.TargetServing
		t.announce(s)
	}
}

// SetFaults replaces the faults that the target makes.
func (t *Target) SetFaults(specs []FaultSpec) error {
	if err := checkFaults(specs); err != nil {
		return err
	}
	t.do(func(s *controlState) { s.faults = specs })
	return nil
}

// SetIndexVersions replaces the index versions that the target holds, and announces the change.
func (t *Target) SetIndexVersions(versions []model.IndexVersion) {
	t.do(func(s *controlState) {
		s.versions = versions
		t.announce(s)
	})
}

// SetLayout replaces the partition layout and the shards held, and announces the change.
func (t *Target) SetLayout(number model.LayoutNumber, shards []model.Shard, held []model.ShardID) error {
	layout := model.Layout{Service: t.cfg.Service, Number: number, Shards: shards}
	if err := layout.Check(); err != nil {
		return errs.Wrap(err, errs.KindInvalid, "give ascending shards with shares that sum to 1", "layout cannot be taken")
	}
	t.do(func(s *controlState) {
		s.layout, s.layoutShards, s.shards = number, shards, held
		t.announce(s)
	})
	return nil
}

// SetLoadReport changes how far reported load lags behind and what it is multiplied by.
func (t *Target) SetLoadReport(lag time.Duration, factor float64) {
	t.do(func(s *controlState) { s.loadLag, s.loadFactor = lag, factor })
}

// Leave announces that the target drains, after the drain time that it leaves, and ends after the same time again.
// It works on what it gets while it drains and refuses new work while it leaves.
func (t *Target) Leave(drain time.Duration) {
	t.do(func(s *controlState) {
		t.ledger.left(time.Now())
		s.state = model.TargetDraining
		t.announce(s)
	})
	t.after(drain, func(s *controlState) {
		s.state = model.TargetLeaving
		t.announce(s)
	})
	time.AfterFunc(2*drain, t.shutdown)
}

// Freeze stops all traffic and announcements without closing a connection, as a stopped process does.
func (t *Target) Freeze() { t.gate.set(false) }

// Done is closed when the target has ended.
func (t *Target) Done() <-chan struct{} { return t.done }

// Thaw ends a freeze.
func (t *Target) Thaw() { t.gate.set(true) }

// Stop ends the target at once and breaks its connections. Its control endpoint goes on answering with the counts
// until Close.
func (t *Target) Stop() {
	t.stop.Do(func() {
		close(t.done)
		t.gate.set(true)
		_ = t.server.Close() // Its connections are cut in any case.
		t.client.CloseIdleConnections()
	})
	t.loops.Wait()
}

// shutdown ends the target once its work is done.
func (t *Target) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	_ = t.server.Shutdown(ctx) // Stop cuts what is still open.
	t.Stop()
}

// shutdownLimit bounds the wait for work in flight when a target leaves.
const shutdownLimit = 10 * time.Second

// Close stops the target and its control endpoint.
func (t *Target) Close() {
	t.Stop()
	if t.control != nil {
		_ = t.control.Close() // It is of no further use.
	}
}
