package httpserver

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that broke off and that a caller with HTTP/1.0 takes for a complete one, because the end of the connection is
// the end of its body.
func TestBrokenOffAnswerIsNotCompleteForHTTP10(t *testing.T) {
	for name, stop := range map[string]bool{"handler fails": false, "server stops": true} {
		t.Run(name, func(t *testing.T) {
			begun, stopped := make(chan struct{}), make(chan struct{})
			s := start(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 10000)) // The test checks what the caller gets.
				_ = http.NewResponseController(w).Flush()
				close(begun)
				if stop {
					<-stopped
				}
				panic(http.ErrAbortHandler)
			}, patient)
			c := dial(t, s)
			c.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			res, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			<-begun
			if stop {
				require.NoError(t, s.Stop())
			}
			close(stopped)
			body, err := io.ReadAll(res.Body)
			require.Error(t, err, "%d bytes", len(body))
		})
	}
}

// Guards against a complete answer to a caller with HTTP/1.0 that is cut because it counts as broken off.
func TestCompleteAnswerReachesACallerWithHTTP10(t *testing.T) {
	answer := bytes.Repeat([]byte("x"), answerSize)
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(answer) // As above.
	}, patient)
	c := dial(t, s)
	c.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	time.Sleep(short)
	drained := drainWithin(s, long)
	body, err := c.readSlowly(time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, answer, body)
	require.NoError(t, c.Close())
	require.NoError(t, <-drained)
}
