// Package fsystest provides a file system in memory for tests. It can simulate a crash, which loses unsynced data and
// names; it can fail syncs; it has a limited capacity; and it can refuse single operations as a full disk does.
package fsystest

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/chestnuttiller/chestnuttiller/internal/fsys"
)

// sectorBytes is the unit in which a crash keeps or loses unsynced writes.
const sectorBytes = 512

// Memory is a file system in memory.
type Memory struct {
	mu           sync.Mutex
	files        map[string]*fileData
	durableFiles map[string]*fileData
	// capacity limits the sum of all file sizes; 0 means no limit.
	capacity     int
	refuseWrites bool
	syncErr      error
	syncs        int
	// refused holds the error of each operation that fails.
	refused map[Operation]error
}

// Operation is an operation that Refuse makes fail.
type Operation string

// The operations that a full disk may refuse on their own.
const (
	OpCreate     Operation = "create"
	OpWrite      Operation = "write"
	OpRename     Operation = "rename"
	OpRemove     Operation = "remove"
	OpSyncFolder Operation = "sync of a folder"
)

// Refuse makes an operation fail with err; nil makes it succeed again.
func (m *Memory) Refuse(op Operation, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refused == nil {
		m.refused = map[Operation]error{}
	}
	m.refused[op] = err
}

// fileData is the data of a file: as the process sees it, and as of the last sync.
type fileData struct{ current, synced []byte }

// NewMemory returns an empty file system.
func NewMemory() *Memory {
	return &Memory{files: map[string]*fileData{}, durableFiles: map[string]*fileData{}}
}

// SetCapacity limits the sum of all file sizes; 0 means no limit.
func (m *Memory) SetCapacity(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = bytes
}

// RefuseWrites makes every write fail as on a full disk, including writes over allocated space.
func (m *Memory) RefuseWrites(refuseWrites bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuseWrites = refuseWrites
}

// Used returns the sum of all file sizes.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

func (m *Memory) used() int {
	total := 0
	for _, f := range m.files {
		total += len(f.current)
	}
	return total
}

// FailSyncs makes every later sync of a file fail with err; nil makes them succeed again.
func (m *Memory) FailSyncs(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncErr = err
}

// Syncs returns the number of file syncs.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Corrupt changes one byte of a file on the disk.
func (m *Memory) Corrupt(path string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[path]
	f.current[offset] ^= 0xff
	f.synced = slices.Clone(f.current)
}

// Crash returns the file system that a restarted process finds: durable names and synced contents, with a random
// subset of the sectors that were written and not synced.
func (m *Memory) Crash(random *rand.Rand) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := NewMemory()
	after.capacity = m.capacity
	for _, name := range slices.Sorted(maps.Keys(m.durableFiles)) {
		f := m.durableFiles[name]
		data := make([]byte, len(f.synced))
		copy(data, f.synced)
		for at := 0; at < len(f.synced) && at < len(f.current); at += sectorBytes {
			if end := min(at+sectorBytes, len(f.synced), len(f.current)); random.IntN(2) == 0 {
				copy(data[at:end], f.current[at:end])
			}
		}
		n := &fileData{current: data, synced: slices.Clone(data)}
		after.files[name], after.durableFiles[name] = n, n
	}
	return after
}

// MakeFolder implements fsys.FS. Folders exist implicitly.
func (m *Memory) MakeFolder(string) error { return nil }

// Create implements fsys.FS.
func (m *Memory) Create(path string) (fsys.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refused[OpCreate]; err != nil {
		return nil, err
	}
	f := &fileData{}
	m.files[path] = f
	return &file{m, f}, nil
}

// Open implements fsys.FS.
func (m *Memory) Open(path string) (fsys.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[path]
	if !ok {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOENT}
	}
	return &file{m, f}, nil
}

// Rename implements fsys.FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refused[OpRename]; err != nil {
		return err
	}
	f, ok := m.files[from]
	if !ok {
		return &os.PathError{Op: "rename", Path: from, Err: syscall.ENOENT}
	}
	delete(m.files, from)
	m.files[to] = f
	return nil
}

// Remove implements fsys.FS.
func (m *Memory) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refused[OpRemove]; err != nil {
		return err
	}
	if _, ok := m.files[path]; !ok {
		return &os.PathError{Op: "remove", Path: path, Err: syscall.ENOENT}
	}
	delete(m.files, path)
	return nil
}

// List implements fsys.FS.
func (m *Memory) List(folder string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for path := range m.files {
		if filepath.Dir(path) == filepath.Clean(folder) {
			out = append(out, filepath.Base(path))
		}
	}
	slices.Sort(out)
	return out, nil
}

// SyncFolder implements fsys.FS.
func (m *Memory) SyncFolder(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refused[OpSyncFolder]; err != nil {
		return err
	}
	inFolder := func(name string, _ *fileData) bool { return filepath.Dir(name) == filepath.Clean(path) }
	maps.DeleteFunc(m.durableFiles, inFolder)
	for name, f := range m.files {
		if inFolder(name, f) {
			m.durableFiles[name] = f
		}
	}
	return nil
}

type file struct {
	fs   *Memory
	data *fileData
}

func (f *file) ReadAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if at >= int64(len(f.data.current)) {
		return 0, io.EOF
	}
	n := copy(p, f.data.current[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	grow := int(at) + len(p) - len(f.data.current)
	if err := f.fs.refused[OpWrite]; err != nil {
		return 0, err
	}
	if f.fs.refuseWrites {
		return 0, syscall.ENOSPC
	}
	if grow > 0 && f.fs.capacity > 0 && f.fs.used()+grow > f.fs.capacity {
		return 0, syscall.ENOSPC
	}
	if grow > 0 {
		f.data.current = append(f.data.current, make([]byte, grow)...)
	}
	return copy(f.data.current[at:], p), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.fs.syncs++
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	f.data.synced = slices.Clone(f.data.current)
	return nil
}

func (f *file) SyncData() error { return f.Sync() }

func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.data.current)), nil
}

func (f *file) Close() error { return nil }
