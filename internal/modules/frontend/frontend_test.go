package frontend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/httpserver"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// blockingHandler answers once it is released, and reports each request that it has begun.
type blockingHandler struct {
	begun   chan model.Request
	release chan struct{}
}

func (h *blockingHandler) HandleQuery(_ context.Context, req model.Request) model.Answer {
	h.begun <- req
	<-h.release
	return model.Answer{Outcome: model.OutcomePartial, Coverage: 0.5, Missing: []model.ShardID{1}, Snapshot: model.Snapshot{Layout: 1, Index: 1}}
}

func startModule(t *testing.T, drainDelay time.Duration) (*Module, *blockingHandler) {
	control := kernel.NewTestControl()
	service := &model.ServiceConfig{Name: "s", Deadline: time.Second, MaxRequestBytes: 8, Idempotent: true}
	orders := &model.ServiceConfig{Name: "orders", Deadline: time.Second, MaxRequestBytes: 8}
	control.SetTestView(&kernel.View{Config: &model.Config{}, Site: &model.SiteConfig{Services: map[model.ServiceName]*model.ServiceConfig{"s": service, "orders": orders}}})
	h := &blockingHandler{begun: make(chan model.Request, 16), release: make(chan struct{})}
	m := &Module{
		control: control, readiness: kernel.NewReadiness(), now: time.Now, logger: log.NewNopLogger(), scope: tally.NoopScope,
		handler: h, listen: "127.0.0.1:0", drainDelay: drainDelay, maxRequests: 10,
	}
	m.server = httpserver.New(m.listen, m.routes(), m.logger, httpserver.Options{})
	require.NoError(t, m.Start(context.Background()))
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, h
}

func post(t *testing.T, m *Module, service, body string, headers map[string]string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.Addr()+"/v1/query/"+service, strings.NewReader(body))
	require.NoError(t, err)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

// Guards against invalid input that is run, that is answered without a remedy, or that is not answered as not run.
func TestBadInputIsRefused(t *testing.T) {
	m, _ := startModule(t, 0)
	cases := []struct {
		service, body string
		headers       map[string]string
		status        int
	}{
		{"unknown", "", nil, http.StatusNotFound},
		{"s", "123456789", nil, http.StatusRequestEntityTooLarge},
		{"orders", "q", nil, http.StatusBadRequest},
		{"s", "", map[string]string{callerapi.HeaderTimeoutMS: "soon"}, http.StatusBadRequest},
		{"s", "", map[string]string{callerapi.HeaderMinimumCoverage: "NaN"}, http.StatusBadRequest},
		{"s", "", map[string]string{callerapi.HeaderPriority: "vip"}, http.StatusBadRequest},
	}
	for _, c := range cases {
		resp, body := post(t, m, c.service, c.body, c.headers)
		require.Equal(t, c.status, resp.StatusCode, body)
		require.Equal(t, string(model.OutcomeNotRun), resp.Header.Get(callerapi.HeaderOutcome))
		require.Contains(t, body, `"remedy":"`)
	}
}

// Guards against a partial answer that is not marked as partial in the header or the body.
func TestPartialAnswerIsMarked(t *testing.T) {
	m, h := startModule(t, 0)
	close(h.release)
	resp, body := post(t, m, "s", "q", map[string]string{callerapi.HeaderRequestID: "r1"})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "partial", resp.Header.Get(callerapi.HeaderOutcome))
	require.Equal(t, "0.5", resp.Header.Get(callerapi.HeaderCoverage))
	var answer callerapi.Answer
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	require.Equal(t, "partial", answer.Outcome)
	require.Equal(t, []uint32{1}, answer.Missing)
	require.Equal(t, "r1", answer.RequestID)
}

// Guards against a shutdown that cuts off requests that are in flight or arrive before the load balancer has noticed.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	m, h := startModule(t, 200*time.Millisecond)
	type result struct {
		resp *http.Response
		body string
	}
	results := make(chan result, 2)
	send := func() {
		resp, body := post(t, m, "s", "q", nil)
		results <- result{resp, body}
	}
	go send()
	<-h.begun
	drained := make(chan error, 1)
	go func() { drained <- m.Drain(context.Background()) }()
	require.Eventually(t, m.draining.Load, time.Second, time.Millisecond)
	go send()
	<-h.begun
	close(h.release)
	for range 2 {
		r := <-results
		require.Equal(t, http.StatusOK, r.resp.StatusCode, r.body)
	}
	require.NoError(t, <-drained)
}
