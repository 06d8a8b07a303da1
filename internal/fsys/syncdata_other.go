//go:build !linux

package fsys

// SyncData implements File.
func (f osFile) SyncData() error { return f.Sync() }
