package httpserver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second request that arrived in one segment with the first and is handled on a connection that a drain closes as
// unused.
func TestDrainAnswersTheSecondOfTwoRequestsInOneSegment(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(entered)
			<-release
		}
		replyNoContent(w, r)
	}, patient)
	c := dial(t, s)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	drained := drainWithin(s, long)
	time.Sleep(short)
	close(release)
	for range 2 {
		res, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, res.StatusCode)
	}
	require.NoError(t, <-drained)
}

// Guards against a request of which a part was read with the one before it, or while that was handled, and whose connection is closed
// as unused.
func TestDrainAnswersARequestThatBeganDuringTheOneBefore(t *testing.T) {
	const first, second = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, sent := range map[string]struct {
		with, during int
	}{
		"a byte while handled":         {0, 1},
		"a byte in the same segment":   {1, 0},
		"a byte in it and one later":   {1, 1},
		"3 bytes in the same segment":  {3, 0},
		"half a header in the segment": {len(second) / 2, 0},
		"half a header while handled":  {0, len(second) / 2},
		"no blank line in the segment": {len(second) - 2, 0},
		"no blank line while handled":  {0, len(second) - 2},
		"all but a byte in both":       {len(second) / 2, len(second)/2 - 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entered, release := make(chan struct{}, 2), make(chan struct{})
			s := start(t, func(w http.ResponseWriter, r *http.Request) {
				entered <- struct{}{}
				<-release
				replyNoContent(w, r)
			}, patient)
			c := dial(t, s)
			c.send("%s", first+second[:sent.with])
			<-entered
			c.send("%s", second[sent.with:sent.with+sent.during])
			time.Sleep(short)
			close(release)
			res, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			require.False(t, res.Close)
			time.Sleep(short)
			drained := drainWithin(s, long)
			time.Sleep(short)
			c.send("%s", second[sent.with+sent.during:])
			res, err = http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, res.StatusCode)
			require.NoError(t, <-drained)
		})
	}
}

// Guards against a connection that stays in service during a drain although it is idle, after bodies larger than a buffer and
// requests in one segment.
func TestDrainClosesAConnectionThatIsIdleAfterLargeBodies(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // The test checks the answer.
		replyNoContent(w, r)
	}, patient)
	c := dial(t, s)
	for range 2 {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n%0200000dGET / HTTP/1.1\r\nHost: h\r\n\r\n", 1)
		for range 2 {
			res, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, res.StatusCode)
		}
	}
	drained := drainWithin(s, long)
	require.Less(t, c.waitForClose(), long/8)
	require.NoError(t, <-drained)
}

// Guards against a request whose header was read whole with the one before it, and whose connection is closed as unused while the
// body is on its way.
func TestDrainAnswersARequestWhoseHeaderCameInOneSegmentWithTheOneBefore(t *testing.T) {
	for _, first := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody\r\n"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			s := start(t, readBody, patient)
			c := dial(t, s)
			c.send("%sPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", first)
			c.readNoContent()
			time.Sleep(short)
			drained := drainWithin(s, long/4)
			time.Sleep(short)
			c.send("body")
			c.readNoContent()
			require.NoError(t, <-drained)
		})
	}
}

// Guards against a request that was read in one segment with the one before it, and whose connection is closed without its answer
// because a stop or a change of the limits began while the first one was handled.
func TestRequestThatWasReadBeforeACloseIsAnswered(t *testing.T) {
	const (
		get      = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		post     = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
		chunked  = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		trailers = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0;c\r\nX-T: 1\r\nX-U: 2\r\n\r\n"
		// The data of these chunks contains what ends a body, and what begins and ends a header.
		data      = "x0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\ny"
		confusing = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n22\r\n" + data + "\r\n0\r\n\r\n"
	)
	require.Len(t, data, 0x22)
	large := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4000\r\n" + strings.Repeat("0\r\n\r\nGET\r\n\r\n....", 0x4000/16) + "\r\n0\r\n\r\n"
	for name, change := range map[string]func(*Server){
		"drain":        func(s *Server) { drainWithin(s, long) },
		"other limits": func(s *Server) { s.SetOptions(Options{IdleTimeout: long}) },
		"":             func(*Server) {},
	} {
		// A second piece is sent after the first answer.
		for form, pieces := range map[string][]string{
			"GET":                  {get + get + get},
			"POST":                 {post + post + post},
			"chunked":              {chunked + chunked + chunked},
			"mixed":                {chunked + get + post},
			"trailers":             {trailers + trailers + get},
			"chunks like requests": {confusing + confusing + confusing},
			"larger than a buffer": {large + get + get},
			"empty lines":          {post + "\r\n" + post + "\n\n" + get},
			"part of a request":    {get + get + get + get[:20]},
			"body later":           {get + post + post[:len(post)-4], "body"},
		} {
			for answer, reply := range map[string]http.HandlerFunc{
				"written": replyNoContent, "implicit": func(http.ResponseWriter, *http.Request) {},
				"closing": func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Connection", "close")
					replyNoContent(w, r)
				},
			} {
				if name == "" && answer != "closing" {
					continue
				}
				t.Run(name+"/"+form+"/"+answer, func(t *testing.T) {
					t.Parallel()
					entered, release := make(chan struct{}, 3), make(chan struct{})
					s := start(t, func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body) // The test checks the answers.
						entered <- struct{}{}
						<-release
						reply(w, r)
					}, patient)
					c := dial(t, s)
					c.send("%s", pieces[0])
					<-entered
					change(s)
					time.Sleep(short)
					close(release)
					for i := range 3 {
						if i == 1 && len(pieces) > 1 {
							c.send("%s", pieces[1])
						}
						res, err := http.ReadResponse(c.reader, nil)
						require.NoError(t, err, "answer %d", i+1)
						require.NoError(t, res.Body.Close())
						require.Less(t, res.StatusCode, http.StatusMultipleChoices)
						require.Equal(t, i == 2, res.Close, "the last answer announces the close")
					}
				})
			}
		}
	}
}

// Guards against a request that was sent before the answer to the one before it, and whose connection is closed without its answer by a
// stop or a change of the limits. At the end of a drain such a request is refused at once, so that none is sent behind it for long.
func TestRequestThatWasSentBeforeACloseIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*Server)
		isRefused bool
	}{
		{"begin of a drain", func(s *Server) {
			ctx, cancel := context.WithTimeout(context.Background(), long)
			time.AfterFunc(long, cancel)
			go func() { _ = s.Drain(ctx, long/2) }() // The test checks the answers.
		}, false},
		{"end of a drain", func(s *Server) { drainWithin(s, long) }, true},
		{"other limits", func(s *Server) { s.SetOptions(Options{IdleTimeout: long}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			entered, release := make(chan struct{}, 4), make(chan struct{}, 4)
			var refused atomic.Int32
			s := start(t, func(w http.ResponseWriter, r *http.Request) {
				entered <- struct{}{}
				select {
				case <-release:
				case <-r.Context().Done():
					refused.Add(1)
				}
				replyNoContent(w, r)
			}, patient)
			x := dial(t, s)
			x.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-entered
			x.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.change(s)
			time.Sleep(short)
			release <- struct{}{}
			x.readNoContent()
			<-entered
			if !c.isRefused {
				release <- struct{}{}
			}
			res, err := http.ReadResponse(x.reader, nil)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			require.True(t, res.Close)
			require.Equal(t, c.isRefused, refused.Load() == 1)
			x.waitForClose()
		})
	}
}

// Guards against connections that are not closed, or are closed with a request unanswered, because the data of an earlier chunked body was
// taken for requests.
func TestDataOfChunksIsNoRequest(t *testing.T) {
	const body = "33\r\nx0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nbehind the request\r\n0\r\n\r\n"
	s := start(t, readBody, patient)
	c := dial(t, s)
	for range 3 {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s", body)
		c.readNoContent()
		require.False(t, c.request().Close)
	}
	s.SetOptions(Options{IdleTimeout: long})
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s", body)
	res, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.True(t, res.Close)
	c.waitForClose()
}

// Guards against a body that ends elsewhere than net/http takes it to end, in whatever pieces it is read.
func TestEndOfChunksInPieces(t *testing.T) {
	for _, body := range []string{
		"0\r\n\r\n", "00\r\n\r\n", "0;a=b\r\n\r\n", "4\r\nbody\r\n0\r\nX: y\r\n\r\n", "a\r\n0123456789\r\nA\r\n0\r\n\r\n01234\r\n0\r\n\r\n", "4 ; x\r\nbody\r\n000\r\n\r\n",
	} {
		for size := 1; size <= len(body); size++ {
			var s chunkScan
			all, end := []byte(body+"GET"), -1
			at := 0
			for ; at < len(all) && end < 0; at += size {
				if n := s.end(all[at:min(at+size, len(all))]); n >= 0 {
					end = at + n
				}
			}
			require.Equal(t, len(body), end, "%q in pieces of %d", body, size)
		}
	}
}
