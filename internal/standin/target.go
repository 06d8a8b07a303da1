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

// holds reports whether the target has a shard of a snapshot.
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
	cfg         Config
	recorder    *recorder
	gate        *gate
	slots       *slots
	view        atomic.Pointer[view]
	commands    chan func(*controlState)
	server      *http.Server
	control     *http.Server
	client      *http.Client
	addr        string
	controlAddr string
	done        chan struct{}
	stopOnce    sync.Once
	controlLoop sync.WaitGroup

	randomLock sync.Mutex
	random     *rand.Rand
	// previous is the last reply that was not crossed. A crossed reply sends it again.
	previous atomic.Pointer[reply]
}

// Start starts a target. It runs until Stop, or until the shutdown after Leave has ended.
func Start(cfg Config) (*Target, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	t := &Target{
		cfg: cfg, recorder: newRecorder(), gate: newGate(), slots: newSlots(cfg.Slots, cfg.Queue),
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
		t.postAfter(cfg.ColdFor, func(s *controlState) { t.endColdState(s) })
	}
	t.publish(state)
	t.controlLoop.Add(1)
	go t.run(state)
	return t, nil
}

// listen opens the listeners for sub-requests and for the control endpoint.
func (t *Target) listen() error {
	l := t.cfg.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", t.cfg.Listen); err != nil {
			return errs.Wrap(err, errs.KindInvalid, "name a free address", "stand-in target %s cannot listen for sub-requests", t.cfg.ID)
		}
	}
	t.addr = l.Addr().String()
	// Announcements are sent from the target's own address, so that a proxy can identify the sender.
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: l.Addr().(*net.TCPAddr).IP}}
	t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: dialer.DialContext}}
	t.server = &http.Server{Handler: t.shardHandler()}
	limited := &limitListener{Listener: l, limit: t.cfg.ConnectionLimit, connectTime: t.cfg.ConnectTime, recorder: t.recorder, gate: t.gate, networkPath: t.cfg.NetworkPath}
	go func() { _ = t.server.Serve(limited) }() // Serve returns when the target stops.
	if t.cfg.Control == "" {
		return nil
	}
	c, err := net.Listen("tcp", t.cfg.Control)
	if err != nil {
		_ = t.server.Close() // The start has failed in any case.
		return errs.Wrap(err, errs.KindInvalid, "name a free address", "stand-in target %s cannot listen for control requests", t.cfg.ID)
	}
	t.controlAddr = c.Addr().String()
	t.control = &http.Server{Handler: t.controlHandler()}
	go func() { _ = t.control.Serve(c) }() // Serve returns when the target is closed.
	return nil
}

// Addr returns the address of the sub-request listener.
func (t *Target) Addr() string { return t.addr }

// ControlAddr returns the address of the control endpoint, or an empty string when there is none.
func (t *Target) ControlAddr() string { return t.controlAddr }

// Key returns the service and the ID of the target.
func (t *Target) Key() model.TargetKey { return model.TargetKey{Service: t.cfg.Service, ID: t.cfg.ID} }

// Counts returns a copy of the target's counters.
func (t *Target) Counts() Counts { return t.recorder.currentCounts() }

// Executions returns the number of executions of an attempt.
func (t *Target) Executions(a model.AttemptID) int { return t.recorder.attemptExecutions(a) }

// OrderExecutions returns the number of executions of an order.
func (t *Target) OrderExecutions(key string) int { return t.recorder.orderExecutions(key) }

// RequestExecutions returns the number of executed attempts whose request body has the given checksum.
func (t *Target) RequestExecutions(checksum string) int {
	return t.recorder.requestExecutions(checksum)
}

// run is the control goroutine. It renews the lease and runs commands until the target stops.
func (t *Target) run(s *controlState) {
	defer t.controlLoop.Done()
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

// runCommand runs a command on the control goroutine and waits until its effect is published.
func (t *Target) runCommand(fn func(s *controlState)) {
	done := make(chan struct{})
	select {
	case t.commands <- func(s *controlState) { fn(s); t.publish(s); close(done) }:
		<-done
	case <-t.done:
	}
}

// postCommand sends a command to the control goroutine. It blocks until the control goroutine receives the command.
func (t *Target) postCommand(fn func(s *controlState)) {
	select {
	case t.commands <- fn:
	case <-t.done:
	}
}

// postAfter sends a command to the control goroutine after a delay. It does not block.
func (t *Target) postAfter(d time.Duration, fn func(s *controlState)) {
	time.AfterFunc(d, func() { t.postCommand(fn) })
}

// publish replaces the view that traffic goroutines read.
func (t *Target) publish(s *controlState) {
	t.view.Store(&view{state: s.state, layout: s.layout, shards: s.shards, versions: s.versions, faults: s.faults})
}

// endColdState makes a cold target serve at full speed and announces the change.
func (t *Target) endColdState(s *controlState) {
	if s.state == model.TargetCold {
		s.state = model.TargetServing
		t.announce(s)
	}
}

// SetFaults replaces the faults that the target injects.
func (t *Target) SetFaults(specs []FaultSpec) error {
	if err := checkFaults(specs); err != nil {
		return err
	}
	t.runCommand(func(s *controlState) { s.faults = specs })
	return nil
}

// SetIndexVersions replaces the index versions that the target holds, and announces the change.
func (t *Target) SetIndexVersions(versions []model.IndexVersion) {
	t.runCommand(func(s *controlState) {
		s.versions = versions
		t.announce(s)
	})
}

// SetLayout replaces the partition layout and the shards that the target holds, and announces the change.
func (t *Target) SetLayout(number model.LayoutNumber, shards []model.Shard, held []model.ShardID) error {
	layout := model.Layout{Service: t.cfg.Service, Number: number, Shards: shards}
	if err := layout.Validate(); err != nil {
		return errs.Wrap(err, errs.KindInvalid, "give ascending shards with shares that sum to 1", "new partition layout is invalid")
	}
	t.runCommand(func(s *controlState) {
		s.layout, s.layoutShards, s.shards = number, shards, held
		t.announce(s)
	})
	return nil
}

// SetLoadReport sets the delay of the reported load and the factor that it is multiplied by.
func (t *Target) SetLoadReport(lag time.Duration, factor float64) {
	t.runCommand(func(s *controlState) { s.loadLag, s.loadFactor = lag, factor })
}

// Leave announces that the target is draining, announces after the drain time that it is leaving, and stops the target
// after the same time again. A draining target still runs new sub-requests, a leaving one refuses them.
func (t *Target) Leave(drain time.Duration) {
	t.runCommand(func(s *controlState) {
		t.recorder.recordLeave(time.Now())
		s.state = model.TargetDraining
		t.announce(s)
	})
	t.postAfter(drain, func(s *controlState) {
		s.state = model.TargetLeaving
		t.announce(s)
	})
	time.AfterFunc(2*drain, t.shutdown)
}

// Freeze blocks all traffic and announcements without closing a connection, like a process that has been stopped.
func (t *Target) Freeze() { t.gate.setOpen(false) }

// Done returns a channel that is closed when the target has stopped.
func (t *Target) Done() <-chan struct{} { return t.done }

// Thaw ends the effect of Freeze.
func (t *Target) Thaw() { t.gate.setOpen(true) }

// Stop stops the target immediately and closes its connections. The control endpoint still serves the counters until
// Close.
func (t *Target) Stop() {
	t.stopOnce.Do(func() {
		close(t.done)
		t.gate.setOpen(true)
		_ = t.server.Close() // The target stops in any case.
		t.client.CloseIdleConnections()
	})
	t.controlLoop.Wait()
}

// shutdown waits for the work in flight and stops the target.
func (t *Target) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	_ = t.server.Shutdown(ctx) // Stop closes the connections that are still open.
	t.Stop()
}

// shutdownLimit limits the wait for work in flight when a target leaves.
const shutdownLimit = 10 * time.Second

// Close stops the target and its control endpoint.
func (t *Target) Close() {
	t.Stop()
	if t.control != nil {
		_ = t.control.Close() // The endpoint is discarded in any case.
	}
}
