package controllog

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/consensus"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys/fsystest"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/logcodec"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

// TestMain fixes the seed of the property tests, so that CI has the same result on every run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// folderModel is the expected contents of a data folder: steps holds one description for each state that a crash may
// leave, and synced is the index of the last state that is reported as durable.
type folderModel struct {
	steps  []string
	synced int
	stored consensus.Stored
}

func (f *folderModel) recordStep() { f.steps = append(f.steps, describe(f.stored)) }

// describe returns a comparable text of a stored state. It omits the commit index, which is a hint.
func describe(s consensus.Stored) string {
	out := fmt.Sprintf("term %d vote %s;", s.State.Term, s.State.Vote)
	if s.Snapshot != nil {
		out += fmt.Sprintf(" snapshot %d/%d;", s.Snapshot.Index, s.Snapshot.Term)
	}
	for _, e := range s.Entries {
		out += fmt.Sprintf(" %d/%d", e.Index, e.Term)
	}
	return out
}

func (f *folderModel) last() uint64 {
	if k := len(f.stored.Entries); k > 0 {
		return f.stored.Entries[k-1].Index
	}
	if f.stored.Snapshot != nil {
		return f.stored.Snapshot.Index
	}
	return 0
}

func (f *folderModel) first() uint64 { return f.last() - uint64(len(f.stored.Entries)) + 1 }

// apply applies a write step by step.
func (f *folderModel) apply(w *consensus.Write) {
	if w.Snapshot != nil {
		f.stored.Snapshot, f.stored.Entries = w.Snapshot, nil
		f.recordStep()
	}
	for _, e := range w.Entries {
		f.stored.Entries = append([]consensus.Entry{}, f.stored.Entries[:e.Index-f.first()]...)
		f.stored.Entries = append(f.stored.Entries, e)
		f.recordStep()
	}
	f.stored.State = *w.State
	f.recordStep()
}

// randomWrite appends, replaces the end of the log, or installs a snapshot.
func (f *folderModel) randomWrite(random *rand.Rand, id consensus.WriteID) *consensus.Write {
	term := max(1, f.stored.State.Term+uint64(random.IntN(2)))
	w := &consensus.Write{ID: id, State: &consensus.HardState{Term: term, Vote: "r1"}}
	from := f.last() + 1
	switch k := len(f.stored.Entries); {
	case random.IntN(12) == 0:
		w.Snapshot = &consensus.Snapshot{Index: f.last() + uint64(random.IntN(5)) + 1, Term: term, Data: make([]byte, random.IntN(2000))}
		from = w.Snapshot.Index + 1
	case random.IntN(6) == 0 && k > 1:
		term++
		w.State.Term = term
		from -= uint64(random.IntN(k-1) + 1)
	}
	for i := range uint64(random.IntN(4)) {
		w.Entries = append(w.Entries, consensus.Entry{Index: from + i, Term: term, Kind: consensus.EntryData, Data: make([]byte, random.IntN(3000))})
	}
	return w
}

// localSnapshot returns a snapshot at a random entry of the log, or nil if the log is empty.
func (f *folderModel) localSnapshot(random *rand.Rand) *consensus.Snapshot {
	if len(f.stored.Entries) == 0 {
		return nil
	}
	e := f.stored.Entries[random.IntN(len(f.stored.Entries))]
	return &consensus.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("x")}
}

// Guards against a data folder that, after a crash between any two of its writes, loads
// less than was reported as durable, loads a mixture of states, or does not load at all.
func TestFolderRecoversAfterCrash(t *testing.T) {
	s, err := settings.Parse("test.ini", []byte("[vm]\ncluster = c\nname = vm-0\navailability_zone = az-1\nroles = control\n[data]\nfolder = d\n"), kernel.SettingsKeys())
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), uint64(rapid.Byte().Draw(t, "more seed"))))
		fs := fsystest.NewMemory()
		f := &folderModel{}
		f.recordStep()
		for range 4 {
			st, err := openStorage(fs, s, 65536)
			require.NoError(t, err)
			require.Contains(t, f.steps[f.synced:], describe(st.stored))
			f.stored, f.steps, f.synced = st.stored, nil, 0
			f.recordStep()
			f.run(t, random, st)
			fs = fs.Crash(random)
		}
	})
}

// Guards against a process that does not start because its full disk refuses to remove the files of writes that were not completed,
// such as the spare segment, which is left by every stop. The files are removed or replaced once there is room.
func TestFullDiskKeepsIncompleteFilesAtStart(t *testing.T) {
	for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT} {
		s := newGroup(t, 1, fastKeys).settings("vm-0")
		fs := fsystest.NewMemory()
		st, err := openStorage(fs, s, testSegmentBytes)
		require.NoError(t, err)
		require.NoError(t, st.log.Append(entryRecords([]consensus.Entry{{Index: 1, Term: 1}})))
		require.NoError(t, st.log.Sync())
		require.NoError(t, st.log.Reserve())
		fs.Refuse(fsystest.OpRename, full)
		fs.Refuse(fsystest.OpRemove, full)
		require.Error(t, st.snaps.Save(1, logcodec.EncodeSnapshot(&consensus.Snapshot{Index: 1, Term: 1})))
		st, err = openStorage(fs, s, testSegmentBytes)
		require.NoError(t, err)
		require.Equal(t, "term 0 vote ; 1/1", describe(st.stored))
		require.Error(t, st.snaps.Save(1, logcodec.EncodeSnapshot(&consensus.Snapshot{Index: 1, Term: 1})))
		fs.Refuse(fsystest.OpRename, nil)
		fs.Refuse(fsystest.OpRemove, nil)
		require.NoError(t, st.log.Reserve())
		require.NoError(t, st.snaps.Save(2, logcodec.EncodeSnapshot(&consensus.Snapshot{Index: 2, Term: 1})))
		names, err := fs.List(filepath.Join(controlFolder(s), "snap"))
		require.NoError(t, err)
		require.Len(t, names, 1, "%v", names)
		_, err = openStorage(fs.Crash(rand.New(rand.NewPCG(1, 1))), s, testSegmentBytes)
		require.NoError(t, err)
	}
}

// Guards against a replica that votes under an identity which is lost in a crash, because an earlier process ended between
// renaming its file and syncing the folder.
func TestIdentityOfAnEndedProcessIsDurable(t *testing.T) {
	s := newGroup(t, 1, fastKeys).settings("vm-0")
	fs := fsystest.NewMemory()
	id := identity{Cluster: s.Cluster, VM: s.VM, Replica: newReplicaID()}
	fs.Refuse(fsystest.OpSyncFolder, syscall.EIO)
	require.Error(t, fsys.WriteDurably(fs, filepath.Join(controlFolder(s), identityName), encodeIdentity(id)))
	fs.Refuse(fsystest.OpSyncFolder, nil)
	st, err := openStorage(fs, s, testSegmentBytes)
	require.NoError(t, err)
	require.Equal(t, id.Replica, st.identity.Replica)
	after, found, err := loadIdentity(fs.Crash(rand.New(rand.NewPCG(1, 1))), controlFolder(s))
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, id.Replica, after.Replica)
}

// Guards against the loss of entries that are acknowledged after a crash between
// storing a received snapshot and appending its reset record, and against a log that does not open at the next start.
func TestEntriesAfterInterruptedSnapshot(t *testing.T) {
	for _, old := range []uint64{5, 9} { // The old log ends before the snapshot, or conflicts with it.
		s := newGroup(t, 1, fastKeys).settings("vm-0")
		fs := fsystest.NewMemory()
		reopen := func() *storage {
			st, err := openStorage(fs, s, 65536)
			require.NoError(t, err)
			return st
		}
		add := func(st *storage, term, from, to uint64) {
			for i := from; i <= to; i++ {
				require.NoError(t, st.log.Append(entryRecords([]consensus.Entry{{Index: i, Term: term}})))
			}
			require.NoError(t, st.log.Sync())
		}
		st := reopen()
		add(st, 1, 1, old)
		require.NoError(t, st.snaps.Save(8, logcodec.EncodeSnapshot(&consensus.Snapshot{Index: 8, Term: 2})))
		add(reopen(), 2, 9, 11)
		require.Equal(t, "term 0 vote ; snapshot 8/2; 9/2 10/2 11/2", describe(reopen().stored))
	}
}

// run makes random writes with the code of the disk goroutine, but without the goroutine.
func (f *folderModel) run(t *rapid.T, random *rand.Rand, st *storage) {
	d := &disk{storage: st, post: func(kernel.Event) {}, observeSync: func(time.Duration) {}}
	for id := consensus.WriteID(1); id < 60; id++ {
		w := f.randomWrite(random, id)
		f.apply(w)
		require.NoError(t, d.runTask(w))
		if random.IntN(3) == 0 {
			require.NoError(t, d.flush())
			require.NoError(t, d.reserve())
			f.synced = len(f.steps) - 1
		}
		local := f.localSnapshot(random)
		if local == nil || random.IntN(8) > 0 {
			continue
		}
		require.NoError(t, d.runTask(snapshotTask{local}))
		f.stored.Entries = afterSnapshot(f.stored.Entries, local)
		f.stored.Snapshot = local
		f.recordStep()
		f.synced = len(f.steps) - 1
	}
}
