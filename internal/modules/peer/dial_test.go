package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against VMs that start together after a power loss and wait the whole time limit for a packet that was lost, and against a
// VM with a long round trip that is never reached because the time limit stays short.
func TestFirstDialsAreShort(t *testing.T) {
	o := options{firstDialTimeout: 75 * time.Millisecond, dialTimeout: 250 * time.Millisecond}
	second := o.nextDialTimeout(o.firstDialTimeout)
	require.Equal(t, 150*time.Millisecond, second)
	third := o.nextDialTimeout(second)
	require.Equal(t, o.dialTimeout, third)
	require.Equal(t, o.dialTimeout, o.nextDialTimeout(third))
}
