package linelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one line for each message of a faulty process, such as a leaf that sends stray bytes after each reply, and against
// lines that are left out uncounted.
func TestLinesAreBounded(t *testing.T) {
	var l Limit
	now, lines, counted := time.Unix(1000, 0), 0, 0
	for range 3000 { // 3 s with 1,000 replies each.
		now = now.Add(time.Millisecond)
		if ok, leftOut := l.Allow(now); ok {
			lines++
			counted += 1 + leftOut
		}
	}
	require.Equal(t, 3, lines)
	require.Equal(t, 2001, counted, "the rest is counted with the next line")
}
