package announce_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// Guards against a connection without a request, or with empty lines only, that holds the end of the process.
func TestStopDoesNotWaitForAConnectionWithoutARequest(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			k, url := startVM(t, "")
			ctx, cancel := context.WithTimeout(context.Background(), 2*wait)
			defer cancel()
			require.NoError(t, k.Drain(ctx))
			conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(url, "http://"), targetapi.PathAnnounce))
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte(sent))
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			started := time.Now()
			require.NoError(t, k.Stop(ctx))
			require.Less(t, time.Since(started), 2*time.Second)
		})
	}
}

// Guards against an announcement that is cut off by a stop while its body is on its way.
func TestStopAnswersAnAnnouncement(t *testing.T) {
	k, url := startVM(t, "")
	body, err := json.Marshal(announcement())
	require.NoError(t, err)
	conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(url, "http://"), targetapi.PathAnnounce))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", targetapi.PathAnnounce, len(body), body[:10])
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(ctx) }()
	time.Sleep(200 * time.Millisecond)
	_, err = conn.Write(body[10:])
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.NoError(t, <-stopped)
}

// Guards against an announcement whose connection has arrived but was not accepted yet when the listener is closed.
func TestStopAnswersAnnouncementsThatHaveArrived(t *testing.T) {
	k, url := startVM(t, "")
	body, err := json.Marshal(announcement())
	require.NoError(t, err)
	var conns []net.Conn
	for range 100 {
		conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(url, "http://"), targetapi.PathAnnounce))
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", targetapi.PathAnnounce, len(body), body)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(ctx) }()
	for i, conn := range conns {
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, i)
		require.NoError(t, res.Body.Close())
	}
	require.NoError(t, <-stopped)
}
