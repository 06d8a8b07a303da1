package httpserver

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

var patient = Options{ReadHeaderTimeout: long, IdleTimeout: long, MaxHeaderBytes: 1 << 16}

func drainWithin(s *Server, limit time.Duration) <-chan error {
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		drained <- s.Drain(ctx, 0)
	}()
	return drained
}

// Guards against idle connections that stay in service for as long as any other connection has a request, so that requests on them
// arrive until the process ends.
func TestDrainClosesIdleConnectionsBesideALongRequest(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(entered)
			<-release
		}
		replyNoContent(w, r)
	}, patient)
	idle, busy := dial(t, s), dial(t, s)
	require.False(t, idle.request().Close)
	busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	drained := drainWithin(s, long)
	require.Less(t, idle.waitForClose(), long/8)
	close(release)
	res, err := http.ReadResponse(busy.reader, nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.True(t, res.Close)
	require.NoError(t, <-drained)
}

// Guards against requests that are cut off without an answer at the end of a drain, also those that begin during it, with a body
// that does not end, or after a change of the limits.
func TestDrainEndsRequestsWhileTheyCanBeAnswered(t *testing.T) {
	const limit = 2 * time.Second
	entered := make(chan struct{}, 3)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-r.Context().Done()
		require.Equal(t, errs.KindShutdown, errs.KindOf(context.Cause(r.Context())))
		w.WriteHeader(http.StatusServiceUnavailable)
	}, patient)
	before, during := dial(t, s), dial(t, s)
	before.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	s.SetOptions(Options{ReadHeaderTimeout: long / 2, IdleTimeout: long})
	drained := drainWithin(s, limit)
	require.Eventually(t, func() bool { return s.endBy.Load() != nil }, long, time.Millisecond)
	during.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab")
	<-entered
	for _, c := range []*caller{before, during} {
		res, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	}
	require.NoError(t, <-drained)
}

// Guards against a request that is handled although its connection is being closed, so that its caller gets no answer to it.
func TestRequestsThatAreHandledDuringADrainAreAnswered(t *testing.T) {
	for range 20 {
		var mu sync.Mutex
		handled := map[string]bool{}
		s := start(t, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handled[r.URL.Path] = true
			mu.Unlock()
			replyNoContent(w, r)
		}, patient)
		var callers sync.WaitGroup
		for i := range 20 {
			c := dial(t, s)
			callers.Go(func() {
				defer c.Close()
				for n := 0; ; n++ {
					path := fmt.Sprintf("/%d/%d", i, n)
					// Writes fail once the server has closed the connection.
					_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
					res, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						mu.Lock()
						defer mu.Unlock()
						if handled[path] {
							t.Errorf("%s was handled and not answered: %v", path, err)
						}
						return
					}
					_ = res.Body.Close() // It has no body.
					if res.Close {
						return
					}
					time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		require.NoError(t, <-drainWithin(s, long))
		callers.Wait()
	}
}

// Guards against a connection with a part of a header that is closed while the rest of it is on its way.
func TestDrainWaitsForARequestOnAKeptConnection(t *testing.T) {
	s := start(t, replyNoContent, patient)
	c := dial(t, s)
	require.False(t, c.request().Close)
	c.send("GET / HTTP/1.1\r\nHo")
	time.Sleep(short)
	drained := drainWithin(s, long)
	time.Sleep(short)
	c.send("st: %s\r\n\r\n", strings.Repeat("h", 100))
	res, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusNoContent, res.StatusCode)
	require.NoError(t, <-drained)
}
