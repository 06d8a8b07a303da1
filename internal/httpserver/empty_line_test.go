package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func readBody(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The test checks the answer.
	replyNoContent(w, r)
}

func (c *caller) readNoContent() {
	res, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	require.NoError(c.t, res.Body.Close())
	require.Equal(c.t, http.StatusNoContent, res.StatusCode)
}

// Guards against a connection that holds a drain to its limit although nothing but empty lines, or bytes with which no request begins,
// followed the last request (RFC 9112, sections 2.2 and 3).
func TestDrainClosesAConnectionWithoutABeginOfARequest(t *testing.T) {
	const (
		post    = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
		chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		get     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		put     = "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
		keep10  = "POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 6\r\n\r\nbody\r\n"
	)
	for name, sent := range map[string]struct {
		// with is sent in one segment with the request, during is sent while it is handled, and each of after follows its answer.
		request, with, during string
		after                 []string
	}{
		"CRLF in the segment":               {post, "\r\n", "", nil},
		"CRLF while handled":                {post, "", "\r\n", nil},
		"CRLF in pieces":                    {post, "\r", "\n", nil},
		"CRLF after the answer":             {post, "", "", []string{"\r\n"}},
		"CRLF in pieces after the answer":   {post, "", "", []string{"\r", "\n"}},
		"LF in the segment":                 {post, "\n", "", nil},
		"LF while handled":                  {post, "", "\n", nil},
		"LF after the answer":               {post, "", "", []string{"\n"}},
		"three LF":                          {post, "\n\n", "\n", nil},
		"CR without LF":                     {post, "\r", "", nil},
		"two empty lines in the segment":    {post, "\r\n\r\n", "", nil},
		"two empty lines while handled":     {post, "", "\r\n\r\n", nil},
		"two empty lines in pieces":         {post, "\r\n", "\r", []string{"\n"}},
		"two empty lines after the answer":  {post, "", "", []string{"\r\n", "\r\n"}},
		"two empty lines and CR":            {post, "\r\n\r\n\r", "", nil},
		"many CR without LF":                {post, "\r\r\r\r\r\r\r\r", "\r\r", nil},
		"many CR after GET":                 {get, "\r\r\r\r\r\r\r\r", "", nil},
		"many empty lines in the segment":   {post, "\r\n\r\n\r\n\r\n\r\n\r\n\r\n", "", nil},
		"many empty lines while handled":    {post, "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n", nil},
		"many empty lines after the answer": {post, "", "", []string{"\r\n", "\r\n", "\r\n\r\n\r\n"}},
		"CRLF after chunks":                 {chunked, "\r\n", "", nil},
		"CRLF after GET":                    {get, "\r\n", "", nil},
		"CRLF after PUT":                    {put, "", "\r\n", nil},
		"two empty lines after PUT":         {put, "\r\n\r\n", "", nil},
		"CRLF after HTTP/1.0":               {keep10, "\r\n", "", nil},
		"two empty lines after HTTP/1.0":    {keep10, "\r\n\r\n", "", nil},
		"rest of a body":                    {post, "\"}", "", nil},
		"rest of a body while handled":      {post, "", "}", nil},
		"rest of a body and LF":             {post, "]\n", "", nil},
		"rest of a body after the answer":   {post, "", "", []string{"\"}]}", "\"a\":"}},
		"rest of a body after empty lines":  {post, "\r\n", "}", []string{"GET"}},
		"zeros":                             {post, "\x00\x00", "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entered, release := make(chan struct{}, 1), make(chan struct{})
			s := start(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // The test checks the answer.
				entered <- struct{}{}
				<-release
				replyNoContent(w, r)
			}, patient)
			c := dial(t, s)
			c.send("%s", sent.request+sent.with)
			<-entered
			c.send("%s", sent.during)
			time.Sleep(short)
			close(release)
			c.readNoContent()
			for _, piece := range sent.after {
				_, _ = io.WriteString(c, piece) // The server may have refused the bytes before and closed.
				time.Sleep(short)
			}
			time.Sleep(short)
			drained, started := drainWithin(s, long/4), time.Now()
			_, err := io.ReadAll(c.reader) // Bytes that are no request may have been refused with a status.
			require.NoError(t, err)
			require.Less(t, time.Since(started), long/8)
			require.NoError(t, <-drained)
		})
	}
}

// Guards against an empty line after a body that the caller sends once it is asked to continue, and that holds a drain.
func TestDrainClosesAConnectionWithAnEmptyLineAfterAContinuedBody(t *testing.T) {
	s := start(t, readBody, patient)
	c := dial(t, s)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	res, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, res.StatusCode)
	c.send("body\r\n")
	c.readNoContent()
	time.Sleep(short)
	drained := drainWithin(s, long/4)
	require.Less(t, c.waitForClose(), long/8)
	require.NoError(t, <-drained)
}

// Guards against empty lines on a new connection that hold a drain longer than a connection without a byte.
func TestDrainClosesANewConnectionWithoutABeginOfARequest(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "CR": "\r", "TLS": "\x16\x03\x01"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, replyNoContent, patient)
			c := dial(t, s)
			c.send("%s", sent)
			time.Sleep(short)
			drained := drainWithin(s, long/4)
			require.Less(t, c.waitForClose(), 2*firstRequestTime)
			require.NoError(t, <-drained)
		})
	}
}

// Guards against a request after an empty line that is lost in a drain because its connection counts as idle.
func TestDrainAnswersARequestAfterAnEmptyLine(t *testing.T) {
	const first, second = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, empty := range []string{"\r\n", "\n", "\n\n", "\r\n\r\n"} {
		for _, begin := range []int{1, 3, len(second) / 2, len("GET /second HTTP/1.1\r\n"), len(second) - 2} {
			for name, split := range map[string]int{"in the segment": len(empty) + begin, "while handled": 0, "empty line in the segment": len(empty), "in pieces": 1} {
				t.Run(fmt.Sprintf("%q and %d bytes %s", empty, begin, name), func(t *testing.T) {
					t.Parallel()
					entered, release := make(chan struct{}, 2), make(chan struct{})
					s := start(t, func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body) // The test checks the answer.
						entered <- struct{}{}
						<-release
						replyNoContent(w, r)
					}, patient)
					c := dial(t, s)
					sent := empty + second[:begin]
					c.send("%s", first+sent[:split])
					<-entered
					c.send("%s", sent[split:])
					time.Sleep(short)
					close(release)
					c.readNoContent()
					time.Sleep(short)
					drained := drainWithin(s, long/4)
					time.Sleep(short)
					c.send("%s", second[begin:])
					c.readNoContent()
					require.NoError(t, <-drained)
				})
			}
		}
	}
}

// Guards against a request that follows an empty line on an idle connection and is not answered.
func TestRequestAfterEmptyLinesOnAnIdleConnection(t *testing.T) {
	s := start(t, readBody, patient)
	c := dial(t, s)
	for range 3 {
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody\r\n")
		c.readNoContent()
		time.Sleep(short)
	}
}

// Guards against a stop whose log names connections as cut off with a request that have none, or leaves out those of which net/http
// holds a part of a request.
func TestConnectionsWithAPartOfARequestAreReading(t *testing.T) {
	for sent, reading := range map[string]bool{
		"": false, "\r\n": false, "\n": false, "\r\n\r\n": false, "\r\r\r\r\r\r": false, "}": false,
		"G": true, "\r\nG": true, "\r\n\r\nG": true, "GET / HTTP/1.1\r\n": true, "\nGET / HTTP/1.1\r\nHost: h\r\n": true,
	} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprintf("%q in the segment %t", sent, together), func(t *testing.T) {
				t.Parallel()
				s := start(t, readBody, patient)
				c := dial(t, s)
				const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
				if together {
					c.send("%s", post+sent)
					c.readNoContent()
				} else {
					c.send("%s", post)
					c.readNoContent()
					time.Sleep(short)
					c.send("%s", sent)
				}
				time.Sleep(short)
				used := s.withRequest()
				if !reading {
					require.Empty(t, used)
					return
				}
				require.Len(t, used, 1)
				state, age := used[0].request()
				require.Equal(t, requestReading, state)
				require.Less(t, age, 2*short)
			})
		}
	}
}

// Guards against a request of which only a part arrives and that holds a drain longer than the limit for its header, also after
// other limits are in force.
func TestDrainWaitsForAPartOfAHeaderAsLongAsItsLimit(t *testing.T) {
	const limit = time.Second
	for name, sent := range map[string]struct{ with, after string }{
		"a byte in the segment":          {"G", ""},
		"a byte after an empty line":     {"\r\nG", ""},
		"a byte after the answer":        {"", "G"},
		"three bytes after the answer":   {"", "GET"},
		"three bytes in the segment":     {"GET", ""},
		"half a header in the segment":   {"GET / HTTP/1.1\r\nHo", ""},
		"half a header after the answer": {"", "GET / HTTP/1.1\r\nHo"},
		"no request in the segment":      {"{\"a\":1}", ""},
	} {
		for _, change := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, changed limits %t", name, change), func(t *testing.T) {
				t.Parallel()
				s := start(t, readBody, Options{ReadHeaderTimeout: limit, IdleTimeout: long, MaxHeaderBytes: 1 << 16})
				c := dial(t, s)
				c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody%s", sent.with)
				c.readNoContent()
				c.send("%s", sent.after)
				time.Sleep(short)
				if change {
					s.SetOptions(patient)
				}
				drained, started := drainWithin(s, long/4), time.Now()
				_, err := io.ReadAll(c.reader) // A part of a request may be refused with a status.
				require.NoError(t, err)
				require.Less(t, time.Since(started), 2*limit)
				require.NoError(t, <-drained)
			})
		}
	}
}

// Guards against a header whose limit begins again while its first bytes arrive slowly.
func TestHeaderLimitCountsFromTheFirstByte(t *testing.T) {
	const limit = time.Second
	s := start(t, readBody, Options{ReadHeaderTimeout: limit, IdleTimeout: long, MaxHeaderBytes: 1 << 16})
	c := dial(t, s)
	require.Equal(t, http.StatusNoContent, c.request().StatusCode)
	started := time.Now()
	c.send("G")
	time.Sleep(limit * 9 / 10)
	c.send("ET / HTTP/1.1\r\n")
	_, err := io.ReadAll(c.reader) // A part of a request may be refused with a status.
	require.NoError(t, err)
	require.Less(t, time.Since(started), limit*3/2)
	c = dial(t, s)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n")
	time.Sleep(limit * 3 / 2)
	c.send("the body")
	c.readNoContent()
	c.send("P")
	time.Sleep(short)
	c.send("OST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n")
	time.Sleep(limit * 3 / 2)
	c.send("the body")
	c.readNoContent()
}
