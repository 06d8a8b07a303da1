package log

import (
	"bytes"
	"context"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a slow disk or pipe that blocks traffic, and against dropped lines that are not reported.
func TestFullBufferDropsAndCountsLines(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := newAsyncWriter(out, 2)
	for range 100 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	close(out.release)
	require.NoError(t, w.close(context.Background()))
	text := out.text.String()
	written, dropped := strings.Count(text, "line\n"), 0
	for _, m := range regexp.MustCompile(`count=(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		dropped += n
	}
	require.LessOrEqual(t, written, 3, "the buffer holds two lines, and the goroutine that writes may hold one more")
	require.Equal(t, 100, written+dropped)
}

// Guards against a process that never ends since nobody reads its log lines.
func TestCloseGivesUpALogThatIsNotRead(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := newAsyncWriter(out, 2)
	_, err := w.Write([]byte("line\n"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, w.close(ctx), context.DeadlineExceeded)
	close(out.release)
	<-w.done
}
