package cli

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against a settings file that changes without a signal and is noticed only at the next start, and against a reload
// of a file that has not changed.
func TestChangedFileIsNoticed(t *testing.T) {
	const interval = 5 * time.Millisecond
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := watchFile(ctx, path, interval, log.NewNopLogger())
	notice := func() bool {
		select {
		case <-changed:
			return true
		case <-time.After(20 * interval):
			return false
		}
	}
	require.False(t, notice())
	write("b")
	require.True(t, notice(), "of the same size")
	write("b")
	require.False(t, notice(), "written again without a change")
	require.NoError(t, os.Remove(path))
	require.False(t, notice(), "a file that is missing for a moment")
	write("c")
	require.True(t, notice())
}
