// Package controllog is the module control.log: the replicated log on a control VM. The consensus node runs on the
// control goroutine; one disk goroutine makes all writes and posts their completions as events. Encoding is in
// internal/logcodec, decisions are in internal/consensus.
package controllog

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
	"github.com/chestnuttiller/chestnuttiller/internal/wal"
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
	kindLeave     = "control.leave"
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
	files    fsys.FS
	disk     *disk
	runCtx   context.Context
	cancel   context.CancelFunc
	stopping chan struct{}
	stopOnce sync.Once

	// The following fields are used on the control goroutine only.
	identity     identity
	node         *consensus.Node
	flushQueued  bool
	storingGroup bool
	isDiskFull   bool
	contacting   bool
	// ticksWithoutLeader counts the ticks since the replica last knew a leader.
	ticksWithoutLeader int
	// loggedWaitReason is the last logged reason why the VM has not joined a group yet.
	loggedWaitReason string
	// senderVMs is the VM from which each replica sent its last message. It is used for replicas that are not members.
	senderVMs map[consensus.ReplicaID]model.VMName
	proposals map[uint64]proposal
	reads     map[uint64]pendingRead
	lastRead  uint64
	// lastSnapshotIndex is the index of the last snapshot, or of the last attempt.
	lastSnapshotIndex uint64
	// bytesSinceSnapshot is the size of the entries that were applied after lastSnapshotIndex.
	bytesSinceSnapshot int
	savingSnapshot     bool
	// isSnapshotDue reports whether a snapshot is taken although few entries were applied since the last attempt, which the
	// full disk refused. snapshotDelayed is set from then until a snapshot is stored.
	isSnapshotDue   bool
	snapshotDelayed bool
	transferDone    chan struct{}
	// leaving are the requests of voters that are about to end and are being replaced.
	leaving map[consensus.ReplicaID]*waiter
	// loggedForeignVMs are the VMs whose messages of another control group were logged.
	loggedForeignVMs map[model.VMName]bool
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.ctx, m.control = ctx, ctx.Control
	m.logger = ctx.Logger("control_log")
	m.metrics = newMetrics(ctx.Scope("control_log"))
	m.options, m.files = loadOptions(ctx.Settings), fsys.OS{}
	m.runCtx, m.cancel = context.WithCancel(context.Background())
	m.stopping = make(chan struct{})
	m.senderVMs, m.loggedForeignVMs = map[consensus.ReplicaID]model.VMName{}, map[model.VMName]bool{}
	m.proposals, m.reads = map[uint64]proposal{}, map[uint64]pendingRead{}
	m.leaving = map[consensus.ReplicaID]*waiter{}
	m.status.Store(&kernel.ControlStatus{VM: ctx.VM.VM, Role: roleJoining})
	var err error
	if m.machine, err = kernel.Lookup[kernel.StateMachine](ctx); err != nil {
		return err
	}
	if m.peers, err = kernel.Lookup[kernel.PeerTransport](ctx); err != nil {
		return err
	}
	m.peers.Handle(kindConsensus, m.handleMessage)
	m.peers.Handle(kindJoin, m.handleJoinRequest)
	m.peers.Handle(kindForm, m.handleFormRequest)
	m.peers.Handle(kindLeave, m.handleLeaveRequest)
	return nil
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error { return m.options.check() }

// Start implements kernel.Starter. It reads the data folder, and fails if the folder is damaged.
func (m *Module) Start(ctx context.Context) error {
	folder := controlFolder(m.ctx.Settings)
	unlock, err := fsys.LockFolder(folder)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return errs.Wrap(err, errs.KindConflict, "stop the other process, or correct [data] folder", "%s is in use by another process", folder)
	}
	if err != nil {
		return errs.Wrap(err, wal.KindOf(err), "check the data folder and the free space of its disk", "%s cannot be created or locked", folder)
	}
	m.lock = unlock
	st, err := openStorage(m.files, m.ctx.Settings, m.options.segmentBytes)
	if errs.KindOf(err) == errs.KindCorrupt && m.options.rejoinOnDamage {
		_ = level.Error(m.logger).Log("msg", "control folder is damaged and was renamed; this VM joins the control group as a new replica", "err", err)
		if err = renameDamaged(folder); err == nil {
			st, err = openStorage(m.files, m.ctx.Settings, m.options.segmentBytes)
		}
	}
	if err != nil {
		return err
	}
	m.disk = startDisk(st, m.post, m.ctx.Fatal, m.metrics.syncLatency.RecordDuration)
	m.disk.enqueue(reserveTask{})
	return m.control.Do(ctx, func(now time.Time) { m.continueFrom(now, st) })
}

// post posts an event of another goroutine to the control goroutine, and waits for space in its queue. Events are
// dropped after the control goroutine has stopped.
func (m *Module) post(ev kernel.Event) { _ = m.control.PostWait(context.Background(), ev) }

// continueFrom starts the module with the state that was read from the disk.
func (m *Module) continueFrom(now time.Time, st *storage) {
	m.identity = st.identity
	if st.truncatedBytes > 0 {
		_ = level.Warn(m.logger).Log("msg", "removed the end of the control log, which was never synced", "bytes", st.truncatedBytes)
	}
	for _, path := range st.damagedSnapshots {
		_ = level.Error(m.logger).Log("msg", "removed a damaged state snapshot; an older one and the control log replace it", "path", path)
	}
	_ = level.Info(m.logger).Log("msg", "opened the data folder of the control log", "replica", m.identity.Replica, "group", m.identity.Group, "new", st.isNew,
		"term", st.stored.State.Term, "entries", len(st.stored.Entries))
	switch {
	case m.identity.LogCreated:
		m.startNode(st.stored)
	case m.identity.Group != "":
		// The process ended before the first records were durable, so this replica has not voted or acknowledged
		// anything yet.
		m.storeGroup(m.identity)
	default:
		m.contactControlVMs()
	}
	m.updateStatus()
	m.control.After(m.options.tick, tickEvent{})
}

// random returns the random source of the election timeouts. It is seeded with the replica ID as well, since VMs with
// the same seed in their settings would draw the same timeouts and split the votes again and again.
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
		RetainBytes:       m.options.snapshotBytes,
		Random:            m.random(),
		Retired:           m.retired,
	}, stored)
	if err != nil {
		m.ctx.Fatal(err)
		return
	}
	node.SetDiskFull(m.isDiskFull)
	m.node = node
	m.flush()
}

// retired reports whether the settings no longer list a VM as a control VM.
func (m *Module) retired(vm model.VMName) bool {
	return !m.ctx.Settings.DiscoversPeers && vm != m.identity.VM && !slices.Contains(m.controlVMs(), vm)
}

// controlVMs returns the other control VMs among the peers.
func (m *Module) controlVMs() []model.VMName {
	var out []model.VMName
	for _, p := range m.peers.Peers() {
		if p.Control {
			out = append(out, p.VM)
		}
	}
	return out
}

// Drain implements kernel.Drainer. A leader transfers leadership, so that the group does not wait for an election
// timeout, and a voter passes its vote to a learner, so that the group tolerates the next loss at once.
func (m *Module) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := m.control.Do(ctx, func(time.Time) { m.startTransfer(done) }); err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		_ = level.Warn(m.logger).Log("msg", "process ends before the leadership transfer is confirmed", "err", ctx.Err())
	}
	m.passVote(ctx)
	return nil
}

func (m *Module) startTransfer(done chan struct{}) {
	if m.node == nil || m.node.Status().Role != consensus.Leader {
		close(done)
		return
	}
	if err := m.node.TransferLeadership(); err != nil {
		_ = level.Warn(m.logger).Log("msg", "leadership of the control group cannot be transferred", "err", err)
		close(done)
		return
	}
	m.transferDone = done
	m.flush()
}

// Stop implements kernel.Stopper. It finishes all queued writes.
func (m *Module) Stop(ctx context.Context) error {
	m.cancel()
	m.stopOnce.Do(func() { close(m.stopping) })
	err := m.control.Do(ctx, func(time.Time) { m.node = nil })
	if m.disk != nil {
		m.disk.close()
	}
	if m.lock != nil {
		m.lock()
	}
	return err
}
