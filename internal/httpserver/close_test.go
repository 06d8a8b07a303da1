package httpserver

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// Guards against a stop whose log doesn't tell idle, answered and cut connections apart.
func TestLogTellsWhatBecameOfConnections(t *testing.T) {
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
	require.Regexp(t, `msg="HTTP listener has drained" address=\S+ answered=1 closed_unused=1 closed_with_unread_input=0 in_progress=1 delay_ms=\d+ backlog_ms=\d+ drain_ms=\d+`, out.String())
	require.Regexp(t, `level=warn msg="connection is cut off with a request in progress" address=\S+ caller=`+cut.LocalAddr().String()+` state=handling age_ms=\d+ lines_left_out=0`, out.String())
}
