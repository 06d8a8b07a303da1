//go:build unix

package fsys

import (
	"os"
	"path/filepath"
	"syscall"
)

// LockFolder locks a folder against use by a second process. The folder is created when it is missing. The lock is
// released by unlock or when the process ends.
func LockFolder(folder string) (unlock func(), err error) {
	if err := os.MkdirAll(folder, folderPermission); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_RDWR|os.O_CREATE, filePermission)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // The first error is returned.
		return nil, err
	}
	return func() { _ = f.Close() }, nil // After a failed close, the end of the process releases the lock.
}
