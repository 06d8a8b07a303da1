//go:build !unix

package fsys

import "os"

// LockFolder creates the folder without locking it: this platform has no lock that is released when the process ends.
func LockFolder(folder string) (unlock func(), err error) {
	return func() {}, os.MkdirAll(folder, folderPermission)
}
