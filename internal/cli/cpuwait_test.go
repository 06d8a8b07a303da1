package cli

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late end of a process that cannot be distinguished from one that got no CPU.
func TestLongestWaitForACPUIsRead(t *testing.T) {
	folder := t.TempDir()
	write := func(thread, text string) {
		require.NoError(t, os.MkdirAll(filepath.Join(folder, thread), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(folder, thread, "schedstat"), []byte(text), 0o600))
	}
	write("10", "5000000 7000000 3\n")
	write("11", "1000000 900000000 3\n")
	write("12", "not a number")
	before := readCPUWaits(folder)
	write("10", "6000000 57000000 4\n")
	write("13", "1000000 20000000 1\n")
	require.Equal(t, 50*time.Millisecond, readCPUWaits(folder).longestSince(before))
	require.Zero(t, readCPUWaits(filepath.Join(folder, "missing")).longestSince(nil))
}
