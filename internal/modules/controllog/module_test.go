package controllog

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

// Guards against a process that restarts with fewer or other entries than it accepted. It
// covers a normal stop and a copy of the data folder of a running process, which is what a killed process leaves, with
// and without snapshots.
func TestRestartAfter500Entries(t *testing.T) {
	for _, snapshots := range []string{"snapshot_entries = 100000\n", "snapshot_entries = 60\nretain_entries = 5\n"} {
		g := newGroup(t, 1, fastKeys+snapshots)
		g.form()
		var last []byte
		for i := range 500 {
			last = g.propose(fmt.Sprintf("change %d", i))
		}
		killed := t.TempDir()
		require.NoError(t, os.CopyFS(filepath.Join(killed, "vm-0"), os.DirFS(filepath.Join(g.folder, "vm-0"))))
		g.stop("vm-0")
		for _, folder := range []string{g.folder, killed} {
			g.folder = folder
			g.start("vm-0")
			require.Equal(t, "vm-0", string(g.leader()))
			require.Equal(t, string(last), g.state("vm-0"))
			g.stop("vm-0")
		}
	}
}

// Guards against the loss of the state when the newest snapshot is damaged, although the snapshot
// before it and the log still hold the state.
func TestDamagedSnapshot(t *testing.T) {
	g := newGroup(t, 1, fastKeys+"snapshot_entries = 20\nretain_entries = 5\n")
	g.form()
	var last []byte
	for range 100 {
		last = g.propose(strings.Repeat("x", 50000)) // Several segments, so that the older ones are removed.
	}
	g.stop("vm-0")
	files, err := filepath.Glob(filepath.Join(g.folder, "vm-0", "control", "snap", "*.snap"))
	require.NoError(t, err)
	require.Len(t, files, 2)
	require.NoError(t, os.WriteFile(files[1], []byte("damaged"), 0o600))
	for range 2 { // The start after the repair has to load the same state.
		g.start("vm-0")
		require.Equal(t, string(last), g.state(g.leader()))
		require.NoFileExists(t, files[1])
		g.stop("vm-0")
	}
}

// folderBytes returns the size of the files of a control VM.
func (g *group) folderBytes(vm model.VMName) (total int64) {
	require.NoError(g.t, filepath.WalkDir(filepath.Join(g.folder, string(vm)), func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil // The disk goroutine has removed the file.
		}
		total += info.Size()
		return err
	}))
	return total
}

// Guards against a control log that fills the disk with large entries because only their number leads to a snapshot. The
// next change was refused for good then, and an older configuration was in force after a restart.
func TestLargeEntriesDoNotFillTheDisk(t *testing.T) {
	const snapshotBytes, segmentBytes = 262144, 524288
	g := newGroup(t, 1, fastKeys+"snapshot_entries = 10000\nsnapshot_bytes = 262144\n")
	g.form()
	var last []byte
	for range 200 {
		last = g.propose(strings.Repeat("x", 50000))
	}
	g.until("the log is within its limit", func() bool { return g.folderBytes("vm-0") < 2*snapshotBytes+4*segmentBytes })
	g.stop("vm-0")
	g.start("vm-0")
	require.Equal(t, string(last), g.state(g.leader()))
}

// Guards against a VM that restarts with an empty disk and never becomes a voter again, and
// against entries that are lost when the next VM fails right after the repair.
func TestLostDisksAreRepaired(t *testing.T) {
	g := newGroup(t, 3, fastKeys+"snapshot_entries = 50\nretain_entries = 5\n")
	g.form()
	for i := range 200 {
		g.propose(fmt.Sprintf("change %d", i))
	}
	want := g.state(g.leader())
	for _, vm := range g.vms {
		g.loseDisk(vm)
		g.start(vm)
		g.until("the group has three voters again", func() bool { return g.isComplete(g.leader()) })
	}
	for _, vm := range g.vms {
		g.until("the state is restored on "+string(vm), func() bool { return g.state(vm) == want })
	}
	for _, vm := range g.vms {
		g.stop(vm)
	}
	for _, vm := range g.vms {
		g.start(vm)
	}
	require.Equal(t, want, g.state(g.leader()), "after a restart of all VMs")
}

// Guards against a VM with a lost disk that forms a second group on its own, also when an operator initializes it
// again.
func TestEmptyFolderFormsNoGroup(t *testing.T) {
	g := newGroup(t, 3, fastKeys)
	g.form()
	g.propose("x")
	g.loseDisk("vm-1")
	require.NoError(t, Init(g.settings("vm-1")))
	require.Equal(t, errs.KindConflict, errs.KindOf(Init(g.settings("vm-1"))))
	g.start("vm-1")
	g.until("the VM joins the existing group", func() bool { return g.isComplete(g.leader()) })

	alone := newGroup(t, 1, fastKeys)
	alone.cluster += "-alone"
	alone.start("vm-0")
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := alone.log("vm-0").Propose(ctx, []byte("x"))
	require.Equal(t, errs.KindNotLeader, errs.KindOf(err))
	require.Equal(t, roleJoining, alone.log("vm-0").Status().Role)
}

// Guards against a leader that answers reads or confirms proposals without a quorum, and against
// a wrong outcome of a proposal.
func TestDisconnectedLeader(t *testing.T) {
	g := newGroup(t, 3, fastKeys)
	g.form()
	g.propose("before")
	old := g.leader()
	net := networkOf(g.cluster)
	net.setDisconnected(old, true)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	results := make(chan error, 1)
	go func() {
		_, err := g.log(old).Propose(ctx, []byte("lost"))
		results <- err
	}()
	_, err := g.read(old)
	require.Contains(t, []errs.Kind{errs.KindNotLeader, errs.KindUnavailable}, errs.KindOf(err))
	g.until("the leader steps down", func() bool { return g.log(old).Status().Role != roleLeader })
	require.NotEqual(t, old, g.leader())
	g.propose("after")
	net.setDisconnected(old, false)
	require.Contains(t, []errs.Kind{errs.KindNotAccepted, errs.KindNotLeader}, errs.KindOf(<-results), "another entry has the index of the proposal")
	g.until("the VM catches up", func() bool { return g.state(old) == g.state(g.leader()) })
}

// Guards against an error of kind not_accepted for an entry that is applied later.
func TestGivenUpProposalHasUnknownOutcome(t *testing.T) {
	g := newGroup(t, 3, steadyKeys)
	g.form()
	leader := g.leader()
	for _, vm := range g.vms {
		networkOf(g.cluster).setDisconnected(vm, vm != leader)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := g.log(leader).Propose(ctx, []byte("x"))
	require.Equal(t, errs.KindUnknownOutcome, errs.KindOf(err))
}

// Guards against a shutdown that leaves the group without a leader for an election
// timeout.
func TestDrainTransfersLeadership(t *testing.T) {
	g := newGroup(t, 3, steadyKeys)
	g.form()
	g.propose("x")
	old := g.leader()
	term := g.log(old).Status().Term
	require.NoError(t, g.kernels[old].Drain(context.Background()))
	s := g.log(old).Status()
	require.NotEqual(t, roleLeader, s.Role)
	require.NotEmpty(t, s.Leader)
	require.Equal(t, term+1, s.Term, "the transfer target needed no second election")
	g.stop(old)
	g.propose("y")
}

// Guards against results that are returned to another caller.
func TestConcurrentProposals(t *testing.T) {
	g := newGroup(t, 3, steadyKeys)
	g.form()
	leader := g.log(g.leader())
	seen := sync.Map{}
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			out, err := leader.Propose(ctx, fmt.Appendf(nil, "%d", i))
			if err != nil {
				t.Errorf("proposal %d: %v", i, err)
				return
			}
			if _, loaded := seen.LoadOrStore(string(out), i); loaded {
				t.Errorf("proposal %d got the result of another one", i)
			}
		})
	}
	wg.Wait()
}

// Guards against VMs that draw the same election timeouts because their settings
// have the same seed.
func TestSharedSeedGivesDifferentTimeouts(t *testing.T) {
	drawn := map[uint64]bool{}
	for _, replica := range []consensus.ReplicaID{"a", "b", "c"} {
		k, err := kernel.New(newGroup(t, 1, fastKeys).settings("vm-0"))
		require.NoError(t, err)
		m := &Module{ctx: k.Context(), identity: identity{Replica: replica}}
		drawn[m.random().Uint64()] = true
	}
	require.Len(t, drawn, 3)
}

// Guards against two processes that write one data folder.
func TestSecondProcessIsRefused(t *testing.T) {
	g := newGroup(t, 1, fastKeys)
	g.form()
	k, err := kernel.New(g.settings("vm-0"))
	require.NoError(t, err)
	require.Equal(t, errs.KindConflict, errs.KindOf(k.Start(context.Background())))
	require.NoError(t, k.Stop(context.Background()))
}

// Guards against an error that names another process as the cause when the disk refuses the folder or its lock file.
func TestFolderThatCannotBeCreatedIsNoConflict(t *testing.T) {
	g := newGroup(t, 1, fastKeys)
	require.NoError(t, os.WriteFile(filepath.Join(g.folder, "vm-0"), nil, 0o600))
	k, err := kernel.New(g.settings("vm-0"))
	require.NoError(t, err)
	err = k.Start(context.Background())
	require.ErrorIs(t, err, syscall.ENOTDIR)
	require.Equal(t, errs.KindInternal, errs.KindOf(err))
	require.NoError(t, k.Stop(context.Background()))
}

// Guards against a replica that starts, and votes, after it lost a part of its state.
func TestDamagedFoldersAreRefused(t *testing.T) {
	for name, damage := range map[string]func(folder string) error{
		"lost log":      func(f string) error { return os.RemoveAll(filepath.Join(f, "wal")) },
		"lost identity": func(f string) error { return os.Remove(filepath.Join(f, identityName)) },
		"damaged log": func(f string) error {
			file, err := os.OpenFile(filepath.Join(f, "wal", "0000000000000001.wal"), os.O_RDWR, 0)
			if err != nil {
				return err
			}
			_, err = file.WriteAt([]byte{0xff}, 100)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 1, fastKeys)
			g.form()
			for range 5 {
				g.propose("x")
			}
			g.stop("vm-0")
			require.NoError(t, damage(filepath.Join(g.folder, "vm-0", "control")))
			k, err := kernel.New(g.settings("vm-0"))
			require.NoError(t, err)
			err = k.Start(context.Background())
			require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
			require.Contains(t, errs.RemedyOf(err), "joins the control group as a new replica")
			require.NoError(t, k.Stop(context.Background()))
		})
	}
}

// testSegmentBytes is the size of the log segments of testDisk.
const testSegmentBytes = 65536

// testDisk starts a disk goroutine on a file system in memory.
func testDisk(t *testing.T) (*disk, *fsystest.Memory, chan kernel.Event, chan error) {
	g := newGroup(t, 1, fastKeys)
	fs := fsystest.NewMemory()
	st, err := openStorage(fs, g.settings("vm-0"), testSegmentBytes)
	require.NoError(t, err)
	events, failures := make(chan kernel.Event, 16), make(chan error, 16)
	d := startDisk(st, func(ev kernel.Event) { events <- ev }, func(err error) { failures <- err }, func(time.Duration) {})
	t.Cleanup(d.close)
	return d, fs, events, failures
}

func write(id consensus.WriteID) *consensus.Write {
	return &consensus.Write{ID: id, Entries: []consensus.Entry{{Index: uint64(id), Term: 1, Data: make([]byte, 1000)}}}
}

// Guards against a write that is reported as durable although its sync failed.
func TestFailedSyncEndsTheProcess(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	d.enqueue(write(1))
	require.Equal(t, persistedEvent{1}, <-events)
	fs.FailSyncs(syscall.EIO)
	d.enqueue(write(2))
	require.ErrorIs(t, <-failures, syscall.EIO)
	fs.FailSyncs(nil)
	d.enqueue(write(3))
	d.close()
	require.Equal(t, diskFailedEvent{}, <-events)
	require.Empty(t, events)
	require.Empty(t, failures)
}

// Guards against a process that ends, or a write that is lost, because a full disk refuses
// even writes over allocated space.
func TestRefusedWritesAreRetried(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	fs.RefuseWrites(true)
	d.enqueue(write(1))
	ev := (<-events).(diskFullEvent)
	require.Equal(t, errs.KindDiskFull, errs.KindOf(ev.err))
	fs.RefuseWrites(false)
	require.Equal(t, persistedEvent{1}, <-events)
	require.Equal(t, diskFullEvent{}, <-events)
	require.Empty(t, failures)
	fs.RefuseWrites(true)
	d.enqueue(write(2))
	<-events
	d.close() // close does not wait for space.
}

// Guards against a full disk that ends the process, and against freed space that is not
// detected.
func TestFullDiskIsReported(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	fs.SetCapacity(fs.Used() + 100)
	d.enqueue(reserveTask{})
	ev := (<-events).(diskFullEvent)
	require.Equal(t, errs.KindDiskFull, errs.KindOf(ev.err))
	d.enqueue(write(1))
	require.Equal(t, persistedEvent{1}, <-events, "the space of accepted entries is already allocated")
	d.enqueue(snapshotTask{&consensus.Snapshot{Index: 1, Data: make([]byte, 1000)}})
	require.False(t, (<-events).(snapshotEvent).saved)
	fs.SetCapacity(0)
	d.enqueue(reserveTask{})
	require.Equal(t, diskFullEvent{}, <-events)
	require.Empty(t, failures)
}

// Guards against a control log that grows without limit on a replica that lags again and again, and gets a snapshot each
// time before it takes one itself.
func TestReceivedSnapshotsPruneTheLog(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	start := fs.Used()
	var index uint64
	for id := consensus.WriteID(1); id <= 100; id++ {
		w := &consensus.Write{ID: id, State: &consensus.HardState{Term: 1}, Snapshot: &consensus.Snapshot{Index: index + 10, Term: 1}}
		index += 12
		for _, i := range []uint64{index - 1, index} {
			w.Entries = append(w.Entries, consensus.Entry{Index: i, Term: 1, Kind: consensus.EntryData, Data: make([]byte, 10000)})
		}
		d.enqueue(w)
		require.Equal(t, persistedEvent{id}, <-events)
	}
	d.close()
	require.Empty(t, failures)
	require.Less(t, fs.Used(), start+4*testSegmentBytes)
}

// Guards against a control log that has filled the disk by itself and keeps it full, although a snapshot replaces most of it.
func TestFullLogIsPruned(t *testing.T) {
	d, fs, events, failures := testDisk(t)
	fs.SetCapacity(fs.Used() + 4*testSegmentBytes)
	var id consensus.WriteID
	for full := false; !full; {
		id++
		d.enqueue(write(id))
		for persisted := false; !persisted; {
			switch ev := (<-events).(type) {
			case persistedEvent:
				require.Equal(t, persistedEvent{id}, ev)
				persisted = true
			case diskFullEvent:
				require.Error(t, ev.err)
				full = true
			default:
				t.Fatalf("unexpected event %#v", ev)
			}
		}
		if id == 10 {
			d.enqueue(snapshotTask{&consensus.Snapshot{Index: 10, Term: 1}})
			require.True(t, (<-events).(snapshotEvent).saved)
		}
		select {
		case ev := <-events:
			require.Error(t, ev.(diskFullEvent).err)
			full = true
		case <-time.After(time.Millisecond):
		}
	}
	d.enqueue(snapshotTask{&consensus.Snapshot{Index: uint64(id), Term: 1, Data: make([]byte, 2*testSegmentBytes)}})
	require.False(t, (<-events).(snapshotEvent).saved, "the disk has no space for it")
	d.enqueue(snapshotTask{&consensus.Snapshot{Index: uint64(id), Term: 1, Data: make([]byte, 1000)}})
	require.True(t, (<-events).(snapshotEvent).saved)
	d.enqueue(reserveTask{})
	select {
	case ev := <-events:
		require.Equal(t, diskFullEvent{}, ev)
	case <-time.After(waitLimit):
		t.Fatal("the disk stays full")
	}
	require.Empty(t, failures)
}

// Guards against a VM whose control log does not notice that its disk has space again, or that takes no snapshot after the disk
// had no space for one.
func TestFreedSpaceIsUsed(t *testing.T) {
	g := newGroup(t, 1, fastKeys+"snapshot_entries = 10\n")
	fs := fsystest.NewMemory()
	g.files = map[model.VMName]fsys.FS{"vm-0": fs}
	s := g.settings("vm-0")
	require.NoError(t, saveIdentity(fs, controlFolder(s), identity{Cluster: s.Cluster, VM: s.VM, Replica: newReplicaID(), Initial: loadOptions(s).initial}))
	g.start("vm-0")
	g.leader()
	fs.SetCapacity(fs.Used())
	var err error
	g.until("the disk is full", func() bool {
		_, err = g.log("vm-0").Propose(context.Background(), make([]byte, 60000))
		return err != nil
	})
	require.Equal(t, errs.KindDiskFull, errs.KindOf(err))
	time.Sleep(100 * time.Millisecond) // Several intervals of [control] retry.
	fs.SetCapacity(0)
	g.until("the space is used", func() bool {
		_, err = g.log("vm-0").Propose(context.Background(), []byte("x"))
		return err == nil
	})
	g.until("a snapshot is stored", func() bool {
		names, err := fs.List(filepath.Join(g.folder, "vm-0", "control", "snap"))
		require.NoError(t, err)
		return len(names) > 0
	})
}

// Guards against entries that conflict with a received snapshot and are kept because
// the process ended before it appended the reset record.
func TestReplayAfterInterruptedSnapshot(t *testing.T) {
	entries := []consensus.Entry{{Index: 4, Term: 2}, {Index: 5, Term: 2}, {Index: 6, Term: 2}}
	stored, contiguous, err := replay(entryRecords(entries), &consensus.Snapshot{Index: 5, Term: 3})
	require.NoError(t, err)
	require.False(t, contiguous)
	require.Empty(t, stored.Entries)
	stored, contiguous, err = replay(entryRecords(entries), &consensus.Snapshot{Index: 5, Term: 2})
	require.NoError(t, err)
	require.True(t, contiguous)
	require.Equal(t, entries[2:], stored.Entries)
	_, contiguous, err = replay(entryRecords(entries[2:]), &consensus.Snapshot{Index: 5, Term: 2})
	require.NoError(t, err)
	require.True(t, contiguous, "a reset record would remove the entries")
	_, _, err = replay(entryRecords(entries), &consensus.Snapshot{Index: 2, Term: 1})
	require.Equal(t, errs.KindCorrupt, errs.KindOf(err))
}

// BenchmarkPropose measures proposals per second through a whole group of three VMs on one disk, with the default
// settings.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			g := newGroup(b, 3, "")
			g.form()
			l := g.log(g.leader())
			data := make([]byte, 200)
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var wg sync.WaitGroup
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						if _, err := l.Propose(context.Background(), data); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
