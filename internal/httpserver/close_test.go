package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against a stop whose log does not distinguish idle, answered and cut connections.
func TestLogDistinguishesEndsOfConnections(t *testing.T) {
	var out bytes.Buffer
	entered, release, silent := make(chan struct{}, 2), make(chan struct{}), make(chan struct{})
	s := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			entered <- struct{}{}
			<-release
		case "/silent":
			entered <- struct{}{}
			<-silent
		}
		replyNoContent(w, r)
	}), log.NewLogfmtLogger(log.NewSyncWriter(&out)), patient)
	require.NoError(t, s.Start())
	idle, busy, cut := dial(t, s), dial(t, s), dial(t, s)
	require.False(t, idle.request().Close)
	busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	cut.send("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	<-entered
	time.AfterFunc(short, func() { close(release) })
	ctx, cancel := context.WithTimeout(context.Background(), 4*short)
	defer cancel()
	require.ErrorIs(t, s.Drain(ctx, 0), context.DeadlineExceeded)
	require.NoError(t, s.Stop())
	close(silent)
	require.Regexp(t, `msg="HTTP listener has drained" address=\S+ answered=1 closed_unused=1 closed_with_unread_input=0 in_progress=1 not_closed_by_callers=\d+ delay_ms=\d+ backlog_ms=\d+ drain_ms=\d+ linger_ms=\d+`, out.String())
	require.Regexp(t, `level=warn msg="connection is cut off with a request in progress" address=\S+ caller=`+cut.LocalAddr().String()+` state=handling age_ms=\d+ lines_left_out=0`, out.String())
}

// answerSize is more than the send buffer of a new connection and the receive buffer of slowCaller hold.
const answerSize = 1 << 20

func replyLarge(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(answerSize))
	_, _ = w.Write(make([]byte, answerSize)) // The test checks what the caller gets.
}

// readSlowly reads an answer with a pause after each 16 KB, and returns its body.
func (c *caller) readSlowly(pause time.Duration) ([]byte, error) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var body []byte
	for {
		piece := make([]byte, 16<<10)
		n, err := io.ReadFull(res.Body, piece)
		body = append(body, piece[:n]...)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && len(body) == answerSize {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		time.Sleep(pause)
	}
}

// Guards against an answer whose rest is dropped because the connection is reset while the next request of the caller is unread.
func TestAnswerIsCompleteWhenTheNextRequestIsUnread(t *testing.T) {
	for name, change := range map[string]struct{ before, during func(*Server) }{
		"drain":        {func(*Server) {}, func(s *Server) { drainWithin(s, long) }},
		"other limits": {func(s *Server) { s.SetOptions(Options{IdleTimeout: long}) }, func(*Server) {}},
	} {
		t.Run(name, func(t *testing.T) {
			entered, release := make(chan struct{}), make(chan struct{})
			s := start(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/large" {
					replyNoContent(w, r)
					return
				}
				close(entered)
				<-release
				replyLarge(w, r)
			}, patient)
			c := dial(t, s)
			require.False(t, c.request().Close)
			change.before(s)
			c.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			<-entered
			change.during(s)
			require.Eventually(t, func() bool { return s.draining.Load() || len(s.older) > 0 }, long, time.Millisecond)
			c.send("GET / HTTP/1.1\r\nHost: h\r\nX: %04000d\r\n\r\n", 1)
			close(release)
			body, err := c.readSlowly(5 * time.Millisecond)
			require.NoError(t, err, "%d bytes", len(body))
			require.Len(t, body, answerSize)
		})
	}
}

// Guards against a large body that is refused while the caller reads nothing before it has sent all of it.
func TestLargeRefusedBodyCanBeSentWhole(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}, patient)
	c := dial(t, s)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 16<<20)
	for range 16 {
		c.send("%s", make([]byte, 1<<20))
	}
	res, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, res.StatusCode)
}

// Guards against a refused header whose caller gets a reset instead of the answer.
func TestRefusedHeaderIsAnsweredWithUnreadInput(t *testing.T) {
	s := start(t, replyNoContent, patient)
	for head, status := range map[string]int{
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n": http.StatusNotImplemented,
		"GET / HTTP/9.1\r\nHost: h\r\n\r\n":                           http.StatusHTTPVersionNotSupported,
		"no request\r\n\r\n":                                          http.StatusBadRequest,
	} {
		c := dial(t, s)
		c.send("%s", head)
		for range 4 {
			c.send("%s", make([]byte, 1<<16))
			time.Sleep(5 * time.Millisecond)
		}
		res, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		require.Equal(t, status, res.StatusCode)
	}
}

// Guards against callers that keep their side open, or send without end, and so hold a drain, a goroutine or memory.
func TestCallersThatDoNotCloseHoldADrainOnlyForALimitedTime(t *testing.T) {
	const callers = 200
	for name, endless := range map[string]bool{"silent": false, "endless": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				replyNoContent(w, r)
			}, patient)
			var before, during runtime.MemStats
			runtime.ReadMemStats(&before)
			goroutines := runtime.NumGoroutine()
			var sending sync.WaitGroup
			var kept []*caller
			for i := range callers {
				c := dial(t, s)
				kept = append(kept, c)
				c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				if endless && i < 4 {
					sending.Go(func() {
						for piece := make([]byte, 1<<16); ; {
							if _, err := c.Write(piece); err != nil {
								return // The server has closed the connection.
							}
						}
					})
				}
			}
			for _, c := range kept {
				res, err := http.ReadResponse(c.reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNoContent, res.StatusCode)
			}
			runtime.ReadMemStats(&during)
			require.Less(t, during.HeapAlloc, before.HeapAlloc+callers*(64<<10))
			started := time.Now()
			require.NoError(t, <-drainWithin(s, long))
			require.Less(t, time.Since(started), 2*time.Second)
			sending.Wait()
			require.Zero(t, s.lingering())
			require.Eventually(t, func() bool { return runtime.NumGoroutine() <= goroutines+2 }, long, time.Millisecond)
		})
	}
}

// Guards against a stop that leaves connections open which wait for their callers to close.
func TestStopClosesConnectionsThatWaitForTheirCallers(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		replyNoContent(w, r)
	}, patient)
	c := dial(t, s)
	require.True(t, c.request().Close)
	require.Eventually(t, func() bool { return s.lingering() == 1 }, long, time.Millisecond)
	require.NoError(t, s.Stop())
	require.Eventually(t, func() bool { return s.lingering() == 0 }, 500*time.Millisecond, time.Millisecond)
}

// Guards against an idle connection whose last answer is still being read and is cut because the next request crosses the close.
func TestAnswerIsCompleteWhenARequestCrossesTheCloseOfItsConnection(t *testing.T) {
	s := start(t, replyLarge, patient)
	c := dial(t, s)
	require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return s.answered.Load() == 1 }, long, time.Millisecond)
	drained := drainWithin(s, long)
	time.Sleep(short)
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) // The server may have closed the connection.
	body, err := c.readSlowly(time.Millisecond)
	require.NoError(t, err, "%d bytes", len(body))
	require.Len(t, body, answerSize)
	require.NoError(t, <-drained)
}

// Guards against a caller that reads its answer slowly and uses up the time in which the other modules of its VM drain.
func TestSlowReaderLeavesTimeAfterADrain(t *testing.T) {
	const limit = 4 * time.Second
	s := start(t, replyLarge, patient)
	c := dial(t, s)
	require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
	c.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.Eventually(t, func() bool { return s.answered.Load() == 1 }, long, time.Millisecond)
	go func() {
		for piece := make([]byte, 8<<10); ; time.Sleep(50 * time.Millisecond) {
			if _, err := c.Read(piece); err != nil {
				return // The test has ended.
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	require.NoError(t, s.Drain(ctx, 0))
	require.NoError(t, ctx.Err())
}
