package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

func testLayouts(service model.ServiceName, n model.LayoutNumber) *model.Layout {
	if n != 1 {
		return nil
	}
	return &model.Layout{Service: service, Number: 1, Shards: []model.Shard{{ID: 1, Share: 0.25}, {ID: 2, Share: 0.75}}}
}

func newPart(t *testing.T, shard uint32, snapshot string, request []byte) callerapi.Part {
	t.Helper()
	body, err := json.Marshal(standin.Payload{Service: "stock", Shard: model.ShardID(shard), Snapshot: snapshot, Request: standin.RequestChecksum(request)})
	require.NoError(t, err)
	return callerapi.Part{Shard: shard, Coverage: 1, Body: body}
}

// Guards against a checker that accepts a wrong answer. All scenarios rely on it.
func TestCheckAnswerFindsViolations(t *testing.T) {
	req := &Request{ID: "r1", Service: "stock", Body: []byte("mine"), MinimumCoverage: 0.5}
	goodAnswer := func() *callerapi.Answer {
		return &callerapi.Answer{RequestID: "r1", Outcome: "complete", Coverage: 1, Snapshot: "1.1",
			Parts: []callerapi.Part{newPart(t, 1, "1.1", req.Body), newPart(t, 2, "1.1", req.Body)}}
	}
	check := func(a *callerapi.Answer, status int) []string {
		h := http.Header{}
		h.Set(callerapi.HeaderOutcome, a.Outcome)
		h.Set(callerapi.HeaderCoverage, "0.75")
		return CheckAnswer(req, status, h, a, testLayouts)
	}
	require.Empty(t, check(goodAnswer(), http.StatusOK))
	partial := goodAnswer()
	partial.Outcome, partial.Coverage, partial.Reason, partial.Missing, partial.Parts = "partial", 0.75, "shard lost", []uint32{1}, partial.Parts[1:]
	require.Empty(t, check(partial, http.StatusOK))
	for name, change := range map[string]func(a *callerapi.Answer){
		"another request's ID":                func(a *callerapi.Answer) { a.RequestID = "r2" },
		"another request's part":              func(a *callerapi.Answer) { a.Parts[0] = newPart(t, 1, "1.1", []byte("theirs")) },
		"mixed snapshots":                     func(a *callerapi.Answer) { a.Parts[0] = newPart(t, 1, "1.2", req.Body) },
		"body of another shard":               func(a *callerapi.Answer) { a.Parts[0].Body = a.Parts[1].Body },
		"a shard twice":                       func(a *callerapi.Answer) { a.Parts[0] = a.Parts[1] },
		"a truncated part":                    func(a *callerapi.Answer) { a.Parts[0].Body = a.Parts[0].Body[:10] },
		"coverage overstated":                 func(a *callerapi.Answer) { a.Parts = a.Parts[1:] },
		"partial parts, outcome complete":     func(a *callerapi.Answer) { a.Parts, a.Coverage = a.Parts[1:], 0.75 },
		"an unknown layout":                   func(a *callerapi.Answer) { a.Snapshot = "2.1" },
		"coverage below the minimum":          func(a *callerapi.Answer) { a.Parts, a.Coverage, a.Outcome = a.Parts[:1], 0.25, "partial" },
		"not_run with parts":                  func(a *callerapi.Answer) { a.Outcome = "not_run" },
		"an unknown outcome":                  func(a *callerapi.Answer) { a.Outcome = "fine" },
		"an answered shard listed as missing": func(a *callerapi.Answer) { a.Missing = []uint32{2} },
		"partial without a reason":            func(a *callerapi.Answer) { a.Outcome = "partial" },
	} {
		a := goodAnswer()
		change(a)
		require.NotEmpty(t, check(a, http.StatusOK), name)
	}
	require.NotEmpty(t, check(goodAnswer(), http.StatusAccepted), "a status that is not allowed for the outcome")
}

// Guards against coordinated omission: while the server stalls, requests are still sent,
// and their latency is measured from the intended send time.
func TestLoadMeasuresFromIntendedTime(t *testing.T) {
	var served atomic.Int32
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		<-release
		w.Header().Set(callerapi.HeaderOutcome, "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(callerapi.Answer{RequestID: r.Header.Get(callerapi.HeaderRequestID), Outcome: "not_run", Reason: "stalled"})
	}))
	defer server.Close()
	caller := NewCaller(testLayouts)
	defer caller.Close()
	load := &Load{Caller: caller, Pick: func() string { return server.URL }, Rate: 1000, Duration: 300 * time.Millisecond,
		Streams: []Stream{{Name: "s", Service: "stock", Weight: 1}}, Seed: 1, MaxInFlight: 1000, Grace: 10 * time.Second}
	time.AfterFunc(600*time.Millisecond, func() { close(release) })
	report := load.Run(context.Background())
	total := report.Total()
	require.Empty(t, report.Violations)
	require.Equal(t, int(served.Load()), total.Sent)
	require.Greater(t, total.Sent, 100)
	require.Len(t, report.NotRun, total.Sent)
	require.GreaterOrEqual(t, total.Latency.Min(), int64(250_000), "every request waited until the stall ended")
}

// Guards against user configurations that the system itself refuses.
func TestUsersConfigurationsAreValid(t *testing.T) {
	for _, u := range users() {
		parsed, err := config.Parse(model.ConfigFiles{Base: u.configuration(AllPolicies)})
		require.NoError(t, err, u.Name)
		require.Equal(t, u.EntryVMs, parsed.Seats)
		targets := 0
		for _, g := range u.Groups {
			targets += g.Services * g.Targets
			for target := range g.Targets {
				require.Len(t, g.shardsOf(target), min(replicasPerShard, g.Targets))
			}
		}
		require.Greater(t, targets, 90)
		require.True(t, strings.Contains(u.configuration(BaselinePolicies), "hedge = none"))
	}
}
