package peer

import (
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// slowConn is a connection whose Close waits for other goroutines, as it does while a write is under way.
type slowConn struct{ net.Conn }

func (c slowConn) Close() error {
	done := make(chan struct{})
	go func() {
		for range 3 {
			runtime.Gosched()
		}
		close(done)
	}()
	<-done
	return c.Conn.Close()
}

// Guards against reads that are repeated without a pause while a session is closed, and that keep the only processor from the
// goroutine which closes it.
func TestReadsDoNotSpinWhileASessionCloses(t *testing.T) {
	const sessions, streams = 20, 4
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var used time.Duration
	for range sessions {
		dialed, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		other, err := yamux.Server(accepted, config)
		require.NoError(t, err)
		conn := newSessionConn(slowConn{dialed})
		session, err := yamux.Client(conn, config)
		require.NoError(t, err)
		var reads sync.WaitGroup
		for range streams {
			s, err := session.OpenStream()
			require.NoError(t, err)
			untrack := conn.track(s)
			reads.Go(func() {
				defer untrack()
				_, err := s.Read(make([]byte, 1))
				require.Error(t, err)
			})
		}
		time.Sleep(5 * time.Millisecond) // The reads are blocked now.
		before := processorTime(t)
		require.NoError(t, session.Close())
		reads.Wait()
		used += processorTime(t) - before
		require.NoError(t, other.Close())
	}
	// Without a pause, each read uses the processor for 10 ms before another goroutine gets it.
	require.Less(t, used/sessions, 5*time.Millisecond)
}

// Guards against a stream that is opened while its session closes, and is read from without a deadline.
func TestStreamOfAClosedSessionIsNotReadFrom(t *testing.T) {
	a, b := net.Pipe()
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	conn := newSessionConn(a)
	session, err := yamux.Client(conn, config)
	require.NoError(t, err)
	other, err := yamux.Server(b, config)
	require.NoError(t, err)
	defer other.Close()
	s, err := session.OpenStream()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	conn.track(s)()
	_, err = s.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, session.Close())
}
