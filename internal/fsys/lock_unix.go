//go:build unix

package fsys

import (
	"os"
	"path/filepath"
	"syscall"
)

// LockFolder keeps a second process out of a folder, which is created when it is missing. The lock ends with
// unlock or with the process.
func LockFolder(folder string) (unlock func(), err error) {
	if err := os.MkdirAll(folder, folderPermission); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_RDWR|os.O_CREATE, filePermission)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // The first error counts.
		return nil, err
	}
	return func() { _ = f.Close() }, nil // The lock ends with the process at the latest.
}
