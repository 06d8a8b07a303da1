package snap

import (
	"bytes"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys/fsystest"
)

func state(index uint64) []byte { return bytes.Repeat([]byte{byte(index)}, 3000) }

func storeWith(t *testing.T, fs fsys.FS, indexes ...uint64) *Store {
	s, err := Open(fs, "snap")
	require.NoError(t, err)
	for _, i := range indexes {
		require.NoError(t, s.Save(i, state(i)))
	}
	return s
}

// Guards against a snapshot that a process uses after a start and that is lost in a crash, because an earlier process ended
// between renaming its file and syncing the folder.
func TestSnapshotOfAnEndedProcessIsDurable(t *testing.T) {
	fs := fsystest.NewMemory()
	s := storeWith(t, fs, 5)
	fs.Refuse(fsystest.OpSyncFolder, syscall.EIO)
	fs.Refuse(fsystest.OpRemove, syscall.EIO)
	require.Error(t, s.Save(10, state(10)))
	fs.Refuse(fsystest.OpSyncFolder, nil)
	fs.Refuse(fsystest.OpRemove, nil)
	newest := func(fs fsys.FS) uint64 {
		index, _, _, err := storeWith(t, fs).Load()
		require.NoError(t, err)
		return index
	}
	require.Equal(t, uint64(10), newest(fs))
	require.Equal(t, uint64(10), newest(fs.Crash(rand.New(rand.NewPCG(1, 1)))))
}

// Guards against a snapshot that is reported as saved and then lost in a crash.
func TestCrashKeepsSnapshots(t *testing.T) {
	for seed := range uint64(20) {
		fs := fsystest.NewMemory()
		require.Equal(t, uint64(10), storeWith(t, fs, 5, 10, 15).Oldest())
		s := storeWith(t, fs.Crash(rand.New(rand.NewPCG(seed, 1))))
		index, data, damaged, err := s.Load()
		require.NoError(t, err)
		require.Equal(t, uint64(15), index)
		require.Equal(t, state(15), data)
		require.Empty(t, damaged)
	}
}

// Guards against a state that is restored from a damaged file.
func TestDamagedSnapshot(t *testing.T) {
	for _, offset := range []int{0, 9, 13, headerBytes, headerBytes + 2999} {
		fs := fsystest.NewMemory()
		s := storeWith(t, fs, 10, 15)
		fs.Corrupt(s.path(15), offset)
		index, data, damaged, err := storeWith(t, fs).Load()
		require.NoError(t, err)
		require.Equal(t, uint64(10), index)
		require.Equal(t, state(10), data)
		require.Equal(t, []string{s.path(15)}, damaged)
	}
}

// Guards against a failed write that destroys earlier snapshots.
func TestFullDiskKeepsEarlierSnapshots(t *testing.T) {
	fs := fsystest.NewMemory()
	s := storeWith(t, fs, 10, 15)
	fs.SetCapacity(fs.Used() + 100)
	require.Equal(t, errs.KindDiskFull, errs.KindOf(s.Save(20, state(20))))
	index, _, _, err := storeWith(t, fs).Load()
	require.NoError(t, err)
	require.Equal(t, uint64(15), index)
	fs.SetCapacity(0)
	require.NoError(t, s.Save(20, state(20)))
	fs.FailSyncs(syscall.EIO)
	require.ErrorIs(t, s.Save(25, state(25)), syscall.EIO)
}

// Guards against files of refused snapshots that stay and keep the disk full: a disk that refuses a rename, a removal or the sync
// of the folder left one more file behind with each attempt.
func TestRefusedSnapshotsLeaveNoFiles(t *testing.T) {
	for _, ops := range [][]fsystest.Operation{
		{fsystest.OpCreate}, {fsystest.OpWrite}, {fsystest.OpRename}, {fsystest.OpRemove}, {fsystest.OpSyncFolder},
		{fsystest.OpWrite, fsystest.OpRemove}, {fsystest.OpRename, fsystest.OpRemove}, {fsystest.OpSyncFolder, fsystest.OpRemove},
	} {
		for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT} {
			fs := fsystest.NewMemory()
			s := storeWith(t, fs, 5, 10)
			for _, op := range ops {
				fs.Refuse(op, full)
			}
			for index := uint64(11); index < 15; index++ {
				if err := s.Save(index, state(index)); err != nil {
					require.Equal(t, errs.KindDiskFull, errs.KindOf(err), "%v: %v", ops, full)
				}
			}
			for _, op := range ops {
				fs.Refuse(op, nil)
			}
			require.NoError(t, s.Save(20, state(20)))
			names, err := fs.List("snap")
			require.NoError(t, err)
			require.Len(t, names, keptSnapshots, "%v: %v: %v", ops, full, names)
			index, _, _, err := storeWith(t, fs.Crash(rand.New(rand.NewPCG(1, 1)))).Load()
			require.NoError(t, err)
			require.Equal(t, uint64(20), index)
		}
	}
}
