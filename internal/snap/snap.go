// Package snap stores the newest state snapshots of the replicated log in files. A snapshot file is written under a
// temporary name, synced and renamed, and its folder is synced, so that a file with a final name is always complete.
package snap

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
	"github.com/chestnuttiller/chestnuttiller/internal/wal"
)

const (
	suffix = ".snap"
	// keptSnapshots is the number of snapshots that are kept. The older one, with the log after it, replaces a newer
	// one that is damaged.
	keptSnapshots = 2
	headerBytes   = 20
)

var (
	magic      = []byte("CTSNAP01")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Store is a folder of snapshot files. It is not safe for concurrent use; the disk goroutine owns it.
type Store struct {
	fs      fsys.FS
	folder  string
	indexes []uint64
	// refused are the indexes of snapshots that the disk refused and whose files may be left.
	refused []uint64
}

// Open opens the folder, which is created when it is missing, and removes incomplete files. Those that a full disk keeps are
// removed by the next Save.
func Open(files fsys.FS, folder string) (*Store, error) {
	s := &Store{fs: files, folder: folder}
	if err := files.MakeFolder(folder); err != nil {
		return nil, s.fail(err)
	}
	names, err := files.List(folder)
	if err != nil {
		return nil, s.fail(err)
	}
	for _, name := range names {
		complete, isTemporary := strings.CutSuffix(name, fsys.TemporarySuffix)
		index, err := strconv.ParseUint(strings.TrimSuffix(complete, suffix), 16, 64)
		isSnapshot := err == nil && complete == fileName(index)
		if isTemporary {
			err := files.Remove(filepath.Join(folder, name))
			if err != nil && wal.KindOf(err) != errs.KindDiskFull {
				return nil, s.fail(err)
			}
			if err != nil && isSnapshot {
				s.refused = append(s.refused, index)
			}
			continue
		}
		if !isSnapshot {
			return nil, errs.New(errs.KindCorrupt, "move the file away", "%s is not a snapshot file", filepath.Join(folder, name))
		}
		s.indexes = append(s.indexes, index)
	}
	// An earlier process may have ended between renaming a snapshot and syncing the folder.
	return s, s.fail(files.SyncFolder(folder))
}

func fileName(index uint64) string { return fmt.Sprintf("%016x%s", index, suffix) }

func (s *Store) path(index uint64) string { return filepath.Join(s.folder, fileName(index)) }

func (s *Store) fail(err error) error {
	return errs.Wrap(err, wal.KindOf(err), "replace the disk or free space, then start the process again", "the snapshots in %s cannot be read or written", s.folder)
}

// Save writes the snapshot of a log index durably and removes all but the newest ones. A removal that a full disk refuses is
// left to the next Save. After an error of kind disk_full the earlier snapshots are as before and Save may be called again; any
// other error is final.
func (s *Store) Save(index uint64, data []byte) error {
	s.removeRefused()
	if err := fsys.WriteDurably(s.fs, s.path(index), encode(data)); err != nil {
		s.refused = append(s.refused, index)
		s.removeRefused()
		return s.fail(err)
	}
	if k := len(s.indexes); k == 0 || s.indexes[k-1] < index {
		s.indexes = append(s.indexes, index)
	}
	s.removeRefused() // There may be room for removals only now.
	if err := s.prune(); errs.KindOf(err) != errs.KindDiskFull {
		return err
	}
	return nil
}

// removeRefused removes the files of snapshots that were refused: the temporary one, and the complete one if its name is not
// durable. Those that a full disk keeps are removed the next time.
func (s *Store) removeRefused() {
	s.refused = slices.DeleteFunc(s.refused, func(index uint64) bool {
		isGone := func(path string) bool {
			err := s.fs.Remove(path)
			return err == nil || errors.Is(err, fs.ErrNotExist)
		}
		temporaryGone := isGone(s.path(index) + fsys.TemporarySuffix)
		return (slices.Contains(s.indexes, index) || isGone(s.path(index))) && temporaryGone
	})
}

func (s *Store) prune() error {
	for len(s.indexes) > keptSnapshots {
		if err := s.removeOldest(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) removeOldest() error {
	if err := s.fs.Remove(s.path(s.indexes[0])); err != nil {
		return s.fail(err)
	}
	s.indexes = s.indexes[1:]
	return nil
}

// Oldest returns the index of the older of the two kept snapshots, or 0 while there are fewer than two. The log has
// to keep the entries after it.
func (s *Store) Oldest() uint64 {
	if len(s.indexes) < keptSnapshots {
		return 0
	}
	return s.indexes[0]
}

// KeepNewest removes all but the newest snapshot, which frees space, and returns its index, or 0 without a snapshot.
func (s *Store) KeepNewest() (uint64, error) {
	for len(s.indexes) > 1 {
		if err := s.removeOldest(); err != nil {
			return 0, err
		}
	}
	if len(s.indexes) == 0 {
		return 0, nil
	}
	return s.indexes[0], nil
}

// Load returns the newest undamaged snapshot, or index 0 if there is none, and the paths of newer damaged files. The
// damaged files no longer count as kept.
func (s *Store) Load() (index uint64, data []byte, damaged []string, err error) {
	for len(s.indexes) > 0 {
		index = s.indexes[len(s.indexes)-1]
		raw, err := fsys.ReadAll(s.fs, s.path(index))
		if err != nil {
			return 0, nil, damaged, s.fail(err)
		}
		if data, ok := decode(raw); ok {
			return index, data, damaged, nil
		}
		damaged = append(damaged, s.path(index))
		s.indexes = s.indexes[:len(s.indexes)-1]
	}
	return 0, nil, damaged, nil
}

// RemoveDamaged removes a file that Load reported as damaged. The caller has checked before that an older snapshot and
// the log replace it.
func (s *Store) RemoveDamaged(path string) error { return s.fail(s.fs.Remove(path)) }

func encode(data []byte) []byte {
	out := make([]byte, 0, headerBytes+len(data))
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(data, castagnoli))
	out = binary.LittleEndian.AppendUint64(out, uint64(len(data)))
	return append(out, data...)
}

func decode(raw []byte) ([]byte, bool) {
	if len(raw) < headerBytes || !bytes.Equal(raw[:len(magic)], magic) {
		return nil, false
	}
	sum := binary.LittleEndian.Uint32(raw[len(magic):])
	length := binary.LittleEndian.Uint64(raw[len(magic)+4:])
	data := raw[headerBytes:]
	return data, uint64(len(data)) == length && crc32.Checksum(data, castagnoli) == sum
}
