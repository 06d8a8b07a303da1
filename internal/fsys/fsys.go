// Package fsys is the part of a file system that durable state needs. Tests replace it by a file system that loses
// unsynced data, fails or is full.
package fsys

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync makes the contents and the size durable.
	Sync() error
	// SyncData makes the contents durable, but only if they overwrite allocated space.
	SyncData() error
	Size() (int64, error)
}

// FS is a file system. A created, renamed or removed name is durable only after SyncFolder of its folder.
type FS interface {
	MakeFolder(path string) error
	// Create creates an empty file, or truncates an existing one.
	Create(path string) (File, error)
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// List returns the names in a folder in ascending order.
	List(folder string) ([]string, error)
	SyncFolder(path string) error
}

// OS is the file system of the operating system.
type OS struct{}

const (
	filePermission   = 0o640
	folderPermission = 0o750
)

// MakeFolder implements FS.
func (OS) MakeFolder(path string) error { return os.MkdirAll(path, folderPermission) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermission)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open implements FS.
func (OS) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, filePermission)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// ReadAll returns the contents of a file.
func ReadAll(fs FS, path string) ([]byte, error) {
	f, err := fs.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // The file was only read.
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := f.ReadAt(data, 0); err != nil && err != io.EOF {
		return nil, err
	}
	return data, nil
}

// WriteDurably replaces a file: it writes and syncs a temporary file, renames it and syncs the folder. A crash
// leaves either the old file or the new one.
func WriteDurably(fs FS, path string, data []byte) error {
	temporary := path + TemporarySuffix
	err := writeSynced(fs, temporary, data)
	if err == nil {
		err = fs.Rename(temporary, path)
	}
	if err != nil {
		_ = fs.Remove(temporary) // This frees space on a full disk; a later write replaces a file that is left over.
		return err
	}
	return fs.SyncFolder(filepath.Dir(path))
}

// TemporarySuffix is the suffix of files that are not complete. They are removed at startup.
const TemporarySuffix = ".tmp"

func writeSynced(fs FS, path string, data []byte) error {
	f, err := fs.Create(path)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		_ = f.Close() // The first error is returned.
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close() // The first error is returned.
		return err
	}
	return f.Close()
}
