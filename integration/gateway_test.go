package integration

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gateway that closes the connection of a VM before the target
// has closed its side. The VM would then open the next connection while a slow target still counts the old one, and the
// target would refuse the new one.
func TestGatewayDelaysCloseUntilTargetCloses(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	release := make(chan struct{})
	go func() {
		c, err := target.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c) // It returns when the VM has closed its side.
		<-release
		_ = c.Close()
	}()
	m := newMesh("127.0.0.1")
	address, err := m.gateway("target", target.Addr().String())
	require.NoError(t, err)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the VM sees the end of the connection before the target has closed its side")
	close(release)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadAll(c)
	require.NoError(t, err)
}
