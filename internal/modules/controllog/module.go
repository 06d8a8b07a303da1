// Package controllog is the module control.log: the replicated log on a control VM. The consensus state is
// stepped on the control goroutine, and one disk goroutine does all writes and returns their completions as
// events. Encoding is in internal/logcodec, decisions are in internal/consensus.
package controllog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "control.log",
		New:      func() kernel.Module { return &Module{} },
		Needs:    []kernel.Capability{kernel.CapStateMachine, kernel.CapPeerTransport},
		Wants:    []kernel.Capability{kernel.CapLog, kernel.CapMetrics},
		Provides: []kernel.Capability{kernel.CapControlLog},
		Settings: keys,
		Enabled:  kernel.ForAnyTraffic(settings.RoleControl),
	})
}

// The kinds of peer messages.
const (
	kindConsensus = "consensus"
	kindJoin      = "control.join"
	kindForm      = "control.form"
)

// Module is the replicated log of one control VM.
type Module struct {
	ctx      *kernel.Context
	control  *kernel.Control
	machine  kernel.StateMachine
	peers    kernel.PeerTransport
	logger   log.Logger
	metrics  metrics
	options  options
	status   atomic.Pointer[kernel.ControlStatus]
	lock     func()
	disk     *disk
	run      context.Context
	cancel   context.CancelFunc
	stopping chan struct{}
	stop     sync.Once

	// The following fields belong to the control goroutine.
	identity    identity
	node        *consensus.Node
	flushQueued bool
	starting    bool
	full        bool
	contacting  bool
	// waitingFor is the reason for waiting that was logged last.
	waitingFor string
	vmOf       map[consensus.ReplicaID]model.VMName
	proposals  map[uint64]proposal
	reads      map[uint64]pendingRead
	lastRead   uint64
	// snapshotAt is the index of the last snapshot, or of the last attempt.
	snapshotAt uint64
	saving     bool
	handover   chan struct{}
	strangers  map[model.VMName]bool
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.ctx, m.control = ctx, ctx.Control
	m.logger = ctx.Logger("control_log")
	m.metrics = newMetrics(ctx.Scope("control_log"))
	m.options = readOptions(ctx.Settings)
	m.run, m.cancel = context.WithCancel(context.Background())
	m.stopping = make(chan struct{})
	m.vmOf, m.strangers = map[consensus.ReplicaID]model.VMName{}, map[model.VMName]bool{}
	m.proposals, m.reads = map[uint64]proposal{}, map[uint64]pendingRead{}
	m.status.Store(&kernel.ControlStatus{VM: ctx.VM.VM, Role: roleJoining})
	var err error
	if m.machine, err = kernel.Lookup[kernel.StateMachine](ctx); err != nil {
		return err
	}
	if m.peers, err = kernel.Lookup[kernel.PeerTransport](ctx); err != nil {
		return err
	}
	m.peers.Handle(kindConsensus, m.receive)
	m.peers.Handle(kindJoin, m.receiveJoin)
	m.peers.Handle(kindForm, m.receiveForm)
	return nil
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error { return m.options.check() }

// Start implements kernel.Starter. It reads the data folder; damage there refuses the start.
func (m *Module) Start(ctx context.Context) error {
	folder := controlFolder(m.ctx.Settings)
	unlock, err := fsys.LockFolder(folder)
	if err != nil {
		return errs.Wrap(err, errs.KindConflict, "end the other process, or correct [data] folder", "%s is in use by another process", folder)
	}
	m.lock = unlock
	st, err := openStorage(fsys.OS{}, m.ctx.Settings, m.options.segmentBytes)
	if errs.KindOf(err) == errs.KindCorrupt && m.options.rejoinOnDamage {
		_ = level.Error(m.logger).Log("msg", "control folder set aside because it is damaged; this VM joins the control group as a new replica", "err", err)
		if err = setAside(folder); err == nil {
			st, err = openStorage(fsys.OS{}, m.ctx.Settings, m.options.segmentBytes)
		}
	}
	if err != nil {
		return err
	}
	m.disk = startDisk(st, m.post, m.ctx.Fatal, m.metrics.syncLatency.RecordDuration)
	m.disk.enqueue(reserveTask{})
	return m.control.Do(ctx, func(now time.Time) { m.begin(now, st) })
}

// post delivers an event of the disk goroutine, which may wait. After the control goroutine has stopped the event
// is of no use.
func (m *Module) post(ev kernel.Event) { _ = m.control.PostWait(context.Background(), ev) }

// begin takes over what was read from the disk.
func (m *Module) begin(now time.Time, st *storage) {
	m.identity = st.identity
	if st.cutBytes > 0 {
		_ = level.Warn(m.logger).Log("msg", "cut off the end of the log, which was never synced", "bytes", st.cutBytes)
	}
	for _, path := range st.damaged {
		_ = level.Error(m.logger).Log("msg", "removed a damaged snapshot; an older one and the log replace it", "path", path)
	}
	_ = level.Info(m.logger).Log("msg", "data folder opened", "replica", m.identity.Replica, "group", m.identity.Group, "new", st.created,
		"term", st.stored.State.Term, "entries", len(st.stored.Entries))
	switch {
	case m.identity.LogCreated:
		m.startNode(st.stored)
	case m.identity.Group != "":
		// The process ended before the first records were durable; nothing was promised yet.
		m.beginGroup(m.identity)
	default:
		m.contact()
	}
	m.updateStatus()
	m.control.After(m.options.tick, tickEvent{})
}

// random returns the source of election timeouts. The replica ID goes in, since VMs that share a seed in their
// settings would draw the same timeouts and split the votes over and over.
func (m *Module) random() *rand.Rand {
	return rand.New(rand.NewPCG(m.ctx.Random().Uint64(), xxhash.Sum64String(string(m.identity.Replica))))
}

func (m *Module) startNode(stored consensus.Stored) {
	node, err := consensus.New(consensus.Config{
		Replica:           m.identity.Replica,
		ElectionTicks:     m.options.electionTicks,
		HeartbeatTicks:    m.options.heartbeatTicks,
		MaxMessageBytes:   m.options.maxMessage,
		MaxInflight:       m.options.maxInflight,
		MaxUnappliedBytes: m.options.maxUnapplied,
		MaxVoters:         m.options.maxVoters,
		ReplaceAfterTicks: int(m.options.replaceAfter / m.options.tick),
		ChunkBytes:        m.options.maxMessage,
		RetainEntries:     m.options.retainEntries,
		Random:            m.random(),
		Retired:           m.retired,
	}, stored)
	if err != nil {
		m.ctx.Fatal(err)
		return
	}
	node.SetDiskFull(m.full)
	m.node = node
	m.flush()
}

// retired reports that the settings no longer name a VM as a control VM.
func (m *Module) retired(vm model.VMName) bool {
	return !m.ctx.Settings.Discovers && vm != m.identity.VM && !slices.Contains(m.controlVMs(), vm)
}

// controlVMs returns the other control VMs that are known.
func (m *Module) controlVMs() []model.VMName {
	var out []model.VMName
	for _, p := range m.peers.Peers() {
		if p.Control {
			out = append(out, p.VM)
		}
	}
	return out
}

// Drain implements kernel.Drainer. A leader hands leadership over, so that the group does not wait for an
// election timeout.
func (m *Module) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := m.control.Do(ctx, func(time.Time) { m.startHandover(done) }); err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		_ = level.Warn(m.logger).Log("msg", "the process ends without a confirmed hand-over", "err", ctx.Err())
	}
	return nil
}

func (m *Module) startHandover(done chan struct{}) {
	if m.node == nil || m.node.Status().Role != consensus.Leader {
		close(done)
		return
	}
	if err := m.node.TransferLeadership(); err != nil {
		_ = level.Warn(m.logger).Log("msg", "leadership cannot be handed over", "err", err)
		close(done)
		return
	}
	m.handover = done
	m.flush()
}

// Stop implements kernel.Stopper. Everything that is queued for the disk is finished.
func (m *Module) Stop(ctx context.Context) error {
	m.cancel()
	m.stop.Do(func() { close(m.stopping) })
	err := m.control.Do(ctx, func(time.Time) { m.node = nil })
	if m.disk != nil {
		m.disk.close()
	}
	if m.lock != nil {
		m.lock()
	}
	return err
}
