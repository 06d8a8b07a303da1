package controllog

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys/fsystest"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// follower returns a voter that does not lead.
func (g *group) follower() model.VMName {
	var found model.VMName
	g.until("there is a follower", func() bool {
		for _, vm := range g.vms {
			if g.kernels[vm] != nil && g.log(vm).Status().Role == roleFollower && g.log(vm).Status().Leader != "" {
				found = vm
				return true
			}
		}
		return false
	})
	return found
}

// Guards against a control VM that was replaced as a voter while it was silent, and never becomes a member again because it has
// not learned that it was removed. Each such case left the group with one VM less to replace the next one.
func TestReplacedVoterComesBack(t *testing.T) {
	g := newGroup(t, 4, fastKeys+"max_voters = 3\nreplace_after = 400ms\n")
	g.form()
	g.propose("x")
	for range 2 {
		silent := g.follower()
		networkOf(g.cluster).setDisconnected(silent, true)
		g.until("the silent VM is replaced", func() bool { return len(g.log(g.leader()).Status().Members) == 3 })
		g.propose("y")
		networkOf(g.cluster).setDisconnected(silent, false)
		g.until("it is a member again", func() bool { return len(g.log(g.leader()).Status().Members) == 4 })
		g.until("it catches up", func() bool { return g.state(silent) == g.state(g.leader()) })
		require.Equal(t, roleLearner, g.log(silent).Status().Role)
	}
}

// Guards against a replica that waits for good with a received snapshot because its own log takes the space.
func TestReceivedSnapshotFreesSpace(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	const entries = 200 // More than three segments.
	for id := consensus.WriteID(1); id <= entries; id++ {
		d.enqueue(write(id))
		require.Equal(t, persistedEvent{id}, <-events)
	}
	d.enqueue(snapshotTask{&consensus.Snapshot{Index: entries / 2, Term: 1}})
	require.True(t, (<-events).(snapshotEvent).saved)
	d.enqueue(write(entries + 1))
	require.Equal(t, persistedEvent{entries + 1}, <-events)
	fs.SetCapacity(fs.Used())
	d.enqueue(&consensus.Write{ID: entries + 2, Snapshot: &consensus.Snapshot{Index: 2 * entries, Term: 1, Data: make([]byte, testSegmentBytes/2)}})
	for {
		select {
		case ev := <-events:
			if ev == (persistedEvent{entries + 2}) {
				require.Empty(t, failures)
				return
			}
		case <-time.After(waitLimit):
			t.Fatal("the received snapshot is not stored")
		}
	}
}

// Guards against a snapshot that is taken while a received one waits for space. It has the index of the state before and the members
// after the received one, and its file stayed on the disk.
func TestNoSnapshotWhileOneIsReceived(t *testing.T) {
	g := newGroup(t, 3, steadyKeys+"snapshot_entries = 10\nretain_entries = 2\n")
	disk := fsystest.NewMemory()
	g.files = map[model.VMName]fsys.FS{"vm-2": disk}
	s := g.settings("vm-2")
	require.NoError(t, saveIdentity(disk, controlFolder(s), identity{Cluster: s.Cluster, VM: s.VM, Replica: newReplicaID(), Initial: loadOptions(s).initial}))
	for _, vm := range g.vms {
		if vm != "vm-2" {
			require.NoError(t, Init(g.settings(vm)))
		}
		g.start(vm)
	}
	g.until("vm-2 does not lead", func() bool {
		leader := g.leader()
		if leader == "vm-2" {
			require.NoError(t, g.kernels[leader].Drain(context.Background()))
		}
		return leader != "vm-2"
	})
	disk.Refuse(fsystest.OpRename, syscall.ENOSPC)
	for range 15 {
		g.propose("x")
		// It has to lag by less than retain_entries, or it is sent a snapshot that it cannot store yet.
		g.until("vm-2 follows", func() bool { return g.state("vm-2") == g.state(g.leader()) })
	}
	networkOf(g.cluster).setDisconnected("vm-2", true)
	for range 50 {
		g.propose("x")
	}
	networkOf(g.cluster).setDisconnected("vm-2", false)
	commit := g.log(g.leader()).Status().Commit
	g.until("the snapshot is received", func() bool { return g.log("vm-2").Status().Commit >= commit-10 })
	time.Sleep(100 * time.Millisecond) // Several intervals of [control] retry.
	disk.Refuse(fsystest.OpRename, nil)
	g.until("vm-2 catches up", func() bool { return g.state("vm-2") == g.state(g.leader()) })
	for range 50 {
		g.propose("x")
	}
	g.until("two snapshots are left", func() bool {
		names, err := disk.List(filepath.Join(g.folder, "vm-2", "control", "snap"))
		return err == nil && len(names) == 2
	})
}

// Guards against a control VM that ends because its disk is full at the moment when it joins a group.
func TestFullDiskDelaysTheFirstRecords(t *testing.T) {
	for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT} {
		d, fs, events, failures := testDisk(t)
		fs.Refuse(fsystest.OpCreate, full)
		d.enqueue(storeGroupTask{d.storage.identity, consensus.Stored{}})
		require.ErrorIs(t, (<-events).(diskFullEvent).err, full)
		fs.Refuse(fsystest.OpCreate, nil)
		select {
		case ev := <-events:
			require.True(t, ev.(groupStoredEvent).identity.LogCreated)
		case <-time.After(waitLimit):
			t.Fatal("the group is not stored")
		}
		require.Empty(t, failures)
	}
}

var (
	diskSeeds = flag.Int("disk-seeds", 5, "seeds of TestDisksFullInTurn")
	diskSeed  = flag.Uint64("disk-seed", 1, "first seed of TestDisksFullInTurn")
)

// ackLimit is the time within which a change has to be acknowledged while a quorum runs.
const ackLimit = 5 * time.Second

// diskKeys set small segments and frequent snapshots, so that a disk that is full for a moment refuses both.
const diskKeys = "election_ticks = 20\ntick = 5ms\nheartbeat_ticks = 2\nretry = 20ms\ncall_timeout = 1s\nsegment_bytes = 131072\n" +
	"max_proposal_bytes = 16384\nmax_unapplied_bytes = 65536\nmax_message_bytes = 4096\n" +
	"snapshot_entries = 20\nretain_entries = 5\nmax_voters = 3\nreplace_after = 300ms\n"

// snapshotEntries is snapshot_entries in diskKeys.
const snapshotEntries = 20

// diskOperations are the operations that a full disk refuses alone or together.
var diskOperations = []fsystest.Operation{fsystest.OpCreate, fsystest.OpWrite, fsystest.OpRename, fsystest.OpRemove, fsystest.OpSyncFolder}

// disksRun is a group whose disks are full one after another. Its kernels are started and stopped under the lock mu.
type disksRun struct {
	*group
	random  *rand.Rand
	history *history
	mu      sync.RWMutex
	disks   map[model.VMName]*fsystest.Memory
	steps   []string
}

func (r *disksRun) note(format string, args ...any) {
	r.steps = append(r.steps, fmt.Sprintf(format, args...))
}

// Guards against a group that refuses changes, or leaves them unanswered, for good after the disks of its members were full one
// after another, and against the loss of acknowledged entries when all machines lose power and one its disk.
func TestDisksFullInTurn(t *testing.T) {
	for i := range *diskSeeds {
		seed := *diskSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := &disksRun{
				group: newGroup(t, 4, diskKeys), random: rand.New(rand.NewPCG(seed, 1)), history: &history{chains: map[uint64]uint64{}},
				disks: map[model.VMName]*fsystest.Memory{},
			}
			r.first, r.files = 3, map[model.VMName]fsys.FS{}
			histories.Store(r.cluster, r.history)
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("steps:\n%s\nstate: %s", strings.Join(r.steps, "\n"), r.describe())
				}
			})
			r.run()
		})
	}
}

func (r *disksRun) describe() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := ""
	for vm := range r.kernels {
		out += fmt.Sprintf("\n%s %+v", vm, r.log(vm).Status())
	}
	return out
}

func (r *disksRun) run() {
	r.t.Cleanup(func() { histories.Delete(r.cluster) })
	for i, vm := range r.vms {
		r.disks[vm] = fsystest.NewMemory()
		if i < r.first {
			s := r.settings(vm)
			require.NoError(r.t, saveIdentity(r.disks[vm], controlFolder(s), identity{Cluster: s.Cluster, VM: vm, Replica: newReplicaID(), Initial: loadOptions(s).initial}))
		}
		r.startUntilDone(vm)
	}
	r.until("the group is complete", r.complete)
	done := make(chan struct{})
	var writers sync.WaitGroup
	for range 2 {
		writers.Go(func() { r.write(done) })
	}
	previous := model.VMName("")
	for range 4 {
		previous = r.turn(previous)
	}
	r.endFull(previous)
	r.check("room on all disks")
	close(done)
	writers.Wait()
	r.checkFiles()
	r.losePower()
	r.check("power loss")
	r.checkFiles()
}

// until is like that of group, but evaluates the condition on the goroutine of the test.
func (r *disksRun) until(description string, cond func() bool) {
	for end := time.Now().Add(waitLimit); !cond(); time.Sleep(time.Millisecond) {
		require.True(r.t, time.Now().Before(end), description)
	}
}

// complete reports whether all VMs are members and as many of them voters as max_voters in diskKeys allows.
func (r *disksRun) complete() bool {
	leader := r.leader()
	voters := 0
	members := r.log(leader).Status().Members
	for _, member := range members {
		if !member.Learner {
			voters++
		}
	}
	return len(members) == len(r.vms) && voters == r.first
}

// offer proposes a change at each VM until one acknowledges it or the context ends.
func (r *disksRun) offer(ctx context.Context, data []byte) error {
	var err error
	for ctx.Err() == nil {
		for _, vm := range r.vms {
			r.mu.RLock()
			var l kernel.ControlLog
			if r.kernels[vm] != nil {
				l = r.log(vm)
			}
			r.mu.RUnlock()
			if l == nil || l.Status().Role != roleLeader {
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, time.Second)
			_, err = l.Propose(attempt, data)
			cancel()
			if err == nil {
				return nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("%w; last refusal: %v", ctx.Err(), err)
}

// write proposes changes until done is closed.
func (r *disksRun) write(done chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(3 * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = r.offer(ctx, make([]byte, 500+i*977%8000)) // Refusals are expected while disks are full.
		cancel()
	}
}

// turn makes the disk of one VM full for a while, after that of the previous one has room again.
func (r *disksRun) turn(previous model.VMName) model.VMName {
	vm := r.vms[r.random.IntN(len(r.vms))]
	if r.random.IntN(2) == 0 {
		vm = r.leader()
	}
	behind := r.random.IntN(3) == 0
	if behind {
		r.note("%s disconnected", vm)
		networkOf(r.cluster).setDisconnected(vm, true)
		r.pause(50, 500)
	}
	r.endFull(previous)
	if r.random.IntN(2) == 0 {
		r.pause(0, 300)
	}
	r.startFull(vm)
	r.pause(0, 300)
	if behind {
		r.note("%s connected", vm)
		networkOf(r.cluster).setDisconnected(vm, false)
	}
	r.pause(100, 700)
	if r.random.IntN(3) == 0 {
		r.restart(r.vms[r.random.IntN(len(r.vms))], vm)
	}
	r.pause(0, 300)
	return vm
}

func (r *disksRun) pause(from, to int) {
	time.Sleep(time.Duration(from+r.random.IntN(to-from)) * time.Millisecond)
}

func (r *disksRun) startFull(vm model.VMName) {
	full := error(syscall.ENOSPC)
	if r.random.IntN(3) == 0 {
		full = syscall.EDQUOT
	}
	disk := r.disks[vm]
	ops := diskOperations
	if kind := r.random.IntN(len(ops) + 3); kind == len(ops)+2 {
		r.note("%s refuses syncs: %v", vm, full)
		disk.FailSyncs(full)
	} else if kind < len(ops) {
		r.note("%s refuses %s: %v", vm, ops[kind], full)
		disk.Refuse(ops[kind], full)
	} else if kind == len(ops) {
		r.note("%s refuses everything", vm)
		for _, op := range ops {
			disk.Refuse(op, full)
		}
	} else {
		r.note("%s has no space", vm)
		disk.SetCapacity(disk.Used())
	}
}

func (r *disksRun) endFull(vm model.VMName) {
	if vm == "" {
		return
	}
	r.note("%s has room again", vm)
	for _, op := range diskOperations {
		r.disks[vm].Refuse(op, nil)
	}
	r.disks[vm].SetCapacity(0)
	r.disks[vm].FailSyncs(nil)
	r.restartFailed()
}

// restartFailed starts the processes again that ended because a sync failed, like their supervisor does.
func (r *disksRun) restartFailed() {
	for _, vm := range r.vms {
		if r.stopFailed(vm) {
			r.startUntilDone(vm)
		}
	}
}

// stopFailed stops a process that has failed, and reports whether it has. Only a full disk may make it fail.
func (r *disksRun) stopFailed(vm model.VMName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kernels[vm]
	if k == nil {
		return false
	}
	select {
	case err := <-k.Failed():
		require.Equal(r.t, errs.KindDiskFull, errs.KindOf(err), "%s ended: %v", vm, err)
		r.note("%s ended: %v", vm, err)
		r.disks[vm] = r.crashed(vm)
		r.stop(vm)
		return true
	default:
		return false
	}
}

// end stops or kills a process.
func (r *disksRun) end(vm model.VMName, kill bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kill {
		r.disks[vm] = r.crashed(vm)
	}
	r.stop(vm)
}

// restart stops or kills a process and starts it again, also while its disk is full.
func (r *disksRun) restart(vm, full model.VMName) {
	kill := r.random.IntN(2) == 0
	r.note("restart of %s, killed %v, full is %s", vm, kill, full)
	r.end(vm, kill)
	if vm == full {
		if kill {
			r.startFull(vm)
		}
		r.startOnce(vm)
		r.pause(100, 300)
		r.endFull(vm)
	}
	r.startUntilDone(vm)
}

// crashed returns the disk that a process finds after the loss of everything that is not synced.
func (r *disksRun) crashed(vm model.VMName) *fsystest.Memory {
	r.disks[vm].FailSyncs(syscall.EIO)
	r.disks[vm].Refuse(fsystest.OpSyncFolder, syscall.EIO)
	return r.disks[vm].Crash(r.random)
}

// startOnce starts a process like its supervisor does. Only a full disk may keep it from starting.
func (r *disksRun) startOnce(vm model.VMName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kernels[vm] != nil {
		return true
	}
	k, err := kernel.New(r.settings(vm))
	require.NoError(r.t, err)
	m, err := kernel.Lookup[*Module](k.Context())
	require.NoError(r.t, err)
	m.files = r.disks[vm]
	if err := k.Start(context.Background()); err != nil {
		r.note("%s does not start: %v", vm, err)
		_ = k.Stop(context.Background()) // The start has failed.
		require.Equal(r.t, errs.KindDiskFull, errs.KindOf(err), "%v", err)
		return false
	}
	r.kernels[vm] = k
	return true
}

func (r *disksRun) startUntilDone(vm model.VMName) {
	r.until("the process starts", func() bool { return r.startOnce(vm) })
}

// losePower ends all processes at once, with what was not synced. The disk of one VM is lost in half of the runs.
func (r *disksRun) losePower() {
	for _, disk := range r.disks {
		disk.FailSyncs(syscall.EIO)
		disk.Refuse(fsystest.OpSyncFolder, syscall.EIO)
	}
	for _, vm := range r.vms {
		r.disks[vm] = r.crashed(vm)
	}
	for _, vm := range r.vms {
		r.stop(vm)
	}
	if r.random.IntN(2) == 0 {
		vm := r.vms[r.random.IntN(len(r.vms))]
		r.note("power loss, and %s loses its disk", vm)
		r.disks[vm] = fsystest.NewMemory()
	} else {
		r.note("power loss")
	}
	for _, vm := range r.vms {
		r.startUntilDone(vm)
	}
}

// check requires that a change is acknowledged in time, that a read returns the newest state, and that all replicas catch up.
func (r *disksRun) check(after string) {
	r.note("check after %s", after)
	before, _ := r.history.newest()
	ctx, cancel := context.WithTimeout(context.Background(), ackLimit)
	defer cancel()
	require.NoError(r.t, r.offer(ctx, []byte("x")), "no change is acknowledged after %s", after)
	r.until("a read returns the newest state after "+after, func() bool {
		out, err := r.read(r.leader())
		if err != nil {
			return false
		}
		require.Greater(r.t, binary.BigEndian.Uint64(out), before, "an acknowledged entry is missing after %s", after)
		return true
	})
	r.until("the group is complete after "+after, r.complete)
	newest, diverged := r.history.newest()
	require.False(r.t, diverged, "replicas differ after %s", after)
	for _, vm := range r.vms {
		r.until(string(vm)+" catches up after "+after, func() bool { return binary.BigEndian.Uint64([]byte(r.state(vm))) >= newest })
	}
}

// checkFiles requires that no file of a refused write is left after the next snapshots.
func (r *disksRun) checkFiles() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for range 3 * snapshotEntries {
		require.NoError(r.t, r.offer(ctx, []byte("x")))
	}
	for _, vm := range r.vms {
		var names []string
		r.t.Cleanup(func() { r.note("files of %s: %v", vm, names) })
		r.until("the folders of "+string(vm)+" are clean", func() bool {
			snaps, err := r.disks[vm].List(filepath.Join(r.folder, string(vm), "control", "snap"))
			require.NoError(r.t, err)
			segments, err := r.disks[vm].List(filepath.Join(r.folder, string(vm), "control", "wal"))
			require.NoError(r.t, err)
			names = slices.Concat(snaps, segments)
			clean := len(snaps) <= 2 && !strings.Contains(strings.Join(snaps, " "), fsys.TemporarySuffix)
			for _, name := range segments {
				clean = clean && (name == "spare"+fsys.TemporarySuffix || !strings.HasSuffix(name, fsys.TemporarySuffix))
			}
			return clean
		})
	}
}
