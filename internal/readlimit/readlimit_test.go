package readlimit

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

func readerOf(b *Budget, n int) *Reader { return b.NewReader(bytes.NewReader(make([]byte, n))) }

// Guards against long messages of several senders that together use more memory than the budget, and against short
// messages that are refused meanwhile.
func TestBudgetIsShared(t *testing.T) {
	b := NewBudget(100, 10)
	first, second := readerOf(b, 90), readerOf(b, 60)
	_, err := io.ReadAll(first)
	require.NoError(t, err)
	_, err = io.ReadAll(second)
	require.Equal(t, errs.KindOverload, errs.KindOf(err))
	_, err = io.ReadAll(readerOf(b, 10))
	require.NoError(t, err, "a short message is not counted")
	first.Release()
	second.Release()
	_, err = io.ReadAll(readerOf(b, 110))
	require.NoError(t, err, "all bytes were returned")
}

// Guards against a connection whose messages add up until one of them is refused.
func TestReleaseBeginsAnotherMessage(t *testing.T) {
	r := readerOf(NewBudget(50, 10), 1000)
	for range 20 {
		_, err := io.ReadFull(r, make([]byte, 50))
		require.NoError(t, err)
		r.Release()
	}
}
