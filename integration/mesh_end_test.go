package integration

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against links that tell a VM of the end of a connection before the target has ended it. A VM opens the next
// connection then, and a target that is behind still counts the old one and refuses it.
func TestLinksWaitForTheEndOfTheTarget(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	counted := make(chan struct{})
	go func() {
		c, err := target.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c) // It ends when the VM has closed its half.
		<-counted
		_ = c.Close()
	}()
	m := newMesh("127.0.0.1")
	address, err := m.gate("target", target.Addr().String())
	require.NoError(t, err)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the VM sees no end of the connection before the target has ended it")
	close(counted)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadAll(c)
	require.NoError(t, err)
}
