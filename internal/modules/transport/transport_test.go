package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/targetapi"
)

// share is the connection limit of the target.
const share = 3

var request = model.SubRequest{
	Attempt: "a1", Service: "s", Shard: 3, Snapshot: model.Snapshot{Layout: 1, Index: 2}, Body: []byte("q"),
	Deadline: time.Now().Add(time.Hour),
}

func newModule() *Module {
	control := kernel.NewTestControl()
	// With one seat the share is the connection limit of the target.
	control.SetTestView(&kernel.View{Seat: model.Seat{Seats: 1, PreviousSeats: 1}})
	m := &Module{
		control: control, now: time.Now, logger: log.NewNopLogger(), scope: tally.NoopScope,
		dialTimeout: time.Second, idleTimeout: time.Minute, maxReplyBytes: 1 << 20, pools: map[poolKey]*pool{},
	}
	return m
}

func targetAt(addr string) *model.Target {
	return &model.Target{Announcement: model.Announcement{Service: "s", ID: "t", Addr: addr, Incarnation: 1, ConnectionLimit: share, State: model.TargetServing}}
}

// reply writes a correct reply after change, if given, has edited its headers.
func reply(w http.ResponseWriter, r *http.Request, body string, change func(http.Header)) {
	h := w.Header()
	for _, name := range []string{targetapi.HeaderAttempt, targetapi.HeaderShard, targetapi.HeaderSnapshot} {
		h.Set(name, r.Header.Get(name))
	}
	h.Set(targetapi.HeaderChecksum, targetapi.Checksum([]byte(body)))
	if change != nil {
		change(h)
	}
	_, _ = io.WriteString(w, body)
}

// Guards against replies for other attempts, shards or snapshots and damaged bodies that are accepted as replies, and
// against refusals that are counted as runs.
func TestRepliesAreClassified(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    model.ReplyStatus
	}{
		"complete": {func(w http.ResponseWriter, r *http.Request) { reply(w, r, "x", nil) }, model.ReplyOK},
		"other attempt": {func(w http.ResponseWriter, r *http.Request) {
			reply(w, r, "x", func(h http.Header) { h.Set(targetapi.HeaderAttempt, "other") })
		}, model.ReplyMismatch},
		"other snapshot": {func(w http.ResponseWriter, r *http.Request) {
			reply(w, r, "x", func(h http.Header) { h.Set(targetapi.HeaderSnapshot, "1.3") })
		}, model.ReplyMismatch},
		"other shard": {func(w http.ResponseWriter, r *http.Request) {
			reply(w, r, "x", func(h http.Header) { h.Set(targetapi.HeaderShard, "4") })
		}, model.ReplyMismatch},
		"wrong checksum": {func(w http.ResponseWriter, r *http.Request) {
			reply(w, r, "x", func(h http.Header) { h.Set(targetapi.HeaderChecksum, "0") })
		}, model.ReplyTruncated},
		"body shorter than Content-Length": {func(w http.ResponseWriter, r *http.Request) {
			reply(w, r, "x", func(h http.Header) { h.Set("Content-Length", "9") })
		}, model.ReplyTruncated},
		"shed": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(targetapi.HeaderAttempt, r.Header.Get(targetapi.HeaderAttempt))
			w.Header().Set(targetapi.HeaderNotRun, targetapi.NotRunShed)
			w.WriteHeader(http.StatusTooManyRequests)
		}, model.ReplyShed},
		"refusal without attempt": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(targetapi.HeaderNotRun, targetapi.NotRunShed)
			w.WriteHeader(http.StatusTooManyRequests)
		}, model.ReplyMismatch},
		"connection broken": {func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }, model.ReplyFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.handler)
			defer s.Close()
			m := newModule()
			defer func() { _ = m.Stop(context.Background()) }()
			r := m.Send(context.Background(), targetAt(s.Listener.Addr().String()), request)
			require.Equal(t, c.want, r.Status, r.Reason)
		})
	}
}

// Guards against malformed replies that are taken for a success or for the promise that the attempt has not run.
func TestMalformedStatusLinesAreNoReply(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 799 X", "HTTP/1.1 600 X", "HTTP/1.1 099 X", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 799 X", "HTTP/1.0 100\n\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1  200 OK",
	} {
		for _, statement := range []string{"X-Other: 1", targetapi.HeaderNotRun + ": " + targetapi.NotRunShed} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = c.Close() }()
				lines := []string{
					line, "Content-Length: 1", targetapi.HeaderAttempt + ": a1", targetapi.HeaderShard + ": 3", statement,
					targetapi.HeaderSnapshot + ": 1.2", targetapi.HeaderChecksum + ": " + targetapi.Checksum([]byte("x")), "", "x",
				}
				_, _ = io.WriteString(c, strings.Join(lines, "\r\n")) // The other side detects a failure.
			}))
			m := newModule()
			r := m.Send(context.Background(), targetAt(s.Listener.Addr().String()), request)
			require.Equal(t, model.ReplyFailed, r.Status, "%s %s: %s", line, statement, r.Reason)
			require.NoError(t, m.Stop(context.Background()))
			s.Close()
		}
	}
}

// Guards against a valid reply that is refused because of the interim replies before it, however the bytes are divided.
func TestStatusLinesAfterInterimReplies(t *testing.T) {
	const reply = "HTTP/1.1 103 Early Hints\r\nA: HTTP/1.1 799\r\n\r\nHTTP/1.0 100\n\nHTTP/1.1 200 OK\r\n\r\nHTTP/1.1 799 in the body"
	for size := 1; size <= len(reply); size++ {
		var c replyCheck
		for rest := reply; rest != ""; rest = rest[min(size, len(rest)):] {
			require.NoError(t, c.observe([]byte(rest[:min(size, len(rest))])), size)
		}
		c.expect()
		require.Error(t, c.observe([]byte("HTTP/1.1 799")), "the reply to the next request")
	}
}

// Guards against counting an attempt as sent although nothing listens on the address of the target.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	m := newModule()
	defer func() { _ = m.Stop(context.Background()) }()
	require.Equal(t, model.ReplyNotSent, m.Send(context.Background(), targetAt(addr), request).Status)
}

// Guards against net/http resending a request on its own when a kept-alive connection breaks after the target has read
// the request. The server replies once on each connection and breaks it on the second request.
func TestBrokenKeptAliveConnectionIsNotRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveOnceThenBreak(c, &requests)
		}
	}()
	m := newModule()
	defer func() { _ = m.Stop(context.Background()) }()
	order := request
	order.OrderKey = "key"
	target := targetAt(l.Addr().String())
	require.Equal(t, model.ReplyOK, m.Send(context.Background(), target, order).Status)
	require.Equal(t, model.ReplyFailed, m.Send(context.Background(), target, order).Status)
	require.EqualValues(t, 2, requests.Load(), "the second order reached the target once")
}

func serveOnceThenBreak(c net.Conn, requests *atomic.Int32) {
	defer func() { _ = c.Close() }()
	buf := make([]byte, 4096)
	for i := 0; ; i++ {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		head := buf[:n]
		for !bytes.Contains(head, []byte("\r\n\r\nq")) {
			if n, err = c.Read(buf[len(head):]); err != nil {
				return
			}
			head = buf[:len(head)+n]
		}
		requests.Add(1)
		if i > 0 {
			return
		}
		lines := []string{
			"HTTP/1.1 200 OK", "Content-Length: 1", targetapi.HeaderAttempt + ": a1", targetapi.HeaderShard + ": 3",
			targetapi.HeaderSnapshot + ": 1.2", targetapi.HeaderChecksum + ": " + targetapi.Checksum([]byte("x")), "", "x",
		}
		_, _ = io.WriteString(c, strings.Join(lines, "\r\n"))
	}
}

// Guards against more connections to a target than the share allows, also while attempts are cancelled and their
// connections are replaced.
func TestConnectionsStayWithinShare(t *testing.T) {
	var open, highest atomic.Int32
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		reply(w, r, "x", nil)
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			n := open.Add(1)
			for m := highest.Load(); n > m && !highest.CompareAndSwap(m, n); m = highest.Load() {
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	m := newModule()
	defer func() { _ = m.Stop(context.Background()) }()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+i)*time.Millisecond)
			defer cancel()
			m.Send(ctx, targetAt(s.Listener.Addr().String()), request)
		})
	}
	wg.Wait()
	close(release)
	require.LessOrEqual(t, highest.Load(), int32(share))
	require.Positive(t, highest.Load())
}

// Guards against a target that continues to work after the caller has stopped waiting: each attempt carries the
// remaining time. Also guards against an order key in a header that makes net/http resend requests.
func TestAttemptCarriesDeadlineAndOrderKey(t *testing.T) {
	headers := make(chan http.Header, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header.Clone()
		reply(w, r, "x", nil)
	}))
	defer s.Close()
	m := newModule()
	defer func() { _ = m.Stop(context.Background()) }()
	order := request
	order.Deadline, order.OrderKey = time.Now().Add(10*time.Second), "key"
	require.Equal(t, model.ReplyOK, m.Send(context.Background(), targetAt(s.Listener.Addr().String()), order).Status)
	h := <-headers
	left, err := strconv.Atoi(h.Get(targetapi.HeaderTimeoutMS))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 10000)
	require.Positive(t, left)
	require.Equal(t, "key", h.Get(targetapi.HeaderOrderKey))
	require.Empty(t, h.Get("Idempotency-Key"))
}

// Guards against sending an attempt on a spare connection that the target has closed: it would fail after its bytes have
// been sent, and an order would end with an unknown outcome.
func TestClosedSpareIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { reply(w, r, "x", nil) })}
	defer func() { _ = server.Close() }()
	m := newModule()
	defer func() { _ = m.Stop(context.Background()) }()
	target := targetAt(l.Addr().String())
	p := m.pool(target)
	p.setShare(share, 1)
	refused, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, refused.Close())
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.open == 0 && len(p.spares) == 0
	}, 5*time.Second, time.Millisecond)
	go func() { _ = server.Serve(l) }()
	p.setShare(share, 1)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.spares) == 1
	}, 5*time.Second, time.Millisecond)
	for range 3 {
		r := m.Send(context.Background(), target, request)
		require.Equal(t, model.ReplyOK, r.Status, r.Reason)
	}
}

// Guards against replacing a connection before a busy target has noticed that it was closed. The target would refuse the
// new connection, or exceed its limit.
func TestConnectionCountsUntilTargetClosesIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var open, highest atomic.Int64
	seen, release := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			highest.Store(max(highest.Load(), open.Add(1)))
			go func() {
				_, _ = io.Copy(io.Discard, c) // Waits for the end of the connection.
				seen <- struct{}{}
				<-release
				open.Add(-1)
				_ = c.Close()
			}()
		}
	}()
	p := newPool(newModule(), l.Addr().String(), 1)
	defer p.close()
	dial := func() net.Conn {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c, err := p.dial(ctx, "", "")
		assert.NoError(t, err)
		return c
	}
	c := dial()
	for range 3 {
		require.NoError(t, c.Close())
		<-seen
		next := make(chan net.Conn, 1)
		go func() { next <- dial() }()
		require.Never(t, func() bool { return len(next) > 0 }, 100*time.Millisecond, 5*time.Millisecond)
		release <- struct{}{}
		c = <-next
		require.NotNil(t, c)
	}
	require.NoError(t, c.Close())
	<-seen
	release <- struct{}{}
	require.EqualValues(t, 1, highest.Load())
}
