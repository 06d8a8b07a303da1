package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkSend measures one attempt over an open loopback connection, including the work of the test server.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reply(w, r, "0123456789abcdef", nil)
	}))
	defer server.Close()
	m := newModule()
	defer func() { _ = m.Stop(context.Background()) }()
	t := targetAt(server.Listener.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		if r := m.Send(context.Background(), t, request); r.Body == nil {
			b.Fatal(r.Reason)
		}
	}
}
