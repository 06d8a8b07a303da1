package query

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against derived contexts, such as those of net/http, that do not end with the attempt.
func TestAttemptContext(t *testing.T) {
	type key struct{}
	deadline := time.Now().Add(time.Hour)
	c := newAttemptContext(context.WithValue(context.Background(), key{}, "v"), deadline)
	require.Equal(t, "v", c.Value(key{}))
	child, cancelChild := context.WithCancel(c)
	defer cancelChild()
	other, cancelOther := context.WithTimeout(c, time.Minute)
	cancelOther()
	require.Error(t, other.Err())
	require.NoError(t, c.Err())
	c.cancel()
	c.cancel()
	<-c.Done()
	<-child.Done()
	require.ErrorIs(t, child.Err(), context.Canceled)
	late, cancelLate := context.WithCancel(c)
	defer cancelLate()
	<-late.Done()
}
