package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

// Guards against a scenario that fails on an unknown outcome, which is an allowed answer once a connection is lost, and against one
// that takes another answer, a change that was made twice or one that was not made for a success.
func TestApplyResendsUnknownOutcomesOnly(t *testing.T) {
	const (
		unknown      = `504 {"kind":"outcome_unknown","message":"m","remedy":"r"}`
		disconnected = " vm=k1 level=warn part=peer msg=\"VM disconnected\"\n"
	)
	for name, c := range map[string]struct {
		answers []string
		resends int
		fails   bool
	}{
		"accepted":                       {answers: []string{`200 {"revision":8}`}},
		"unknown, then made":             {answers: []string{unknown, `200 {"revision":8}`}, resends: 1},
		"unknown, then repeated":         {answers: []string{unknown, unknown, `200 {"revision":8,"repeated":true}`}, resends: 2},
		"repeated at the first send":     {answers: []string{`200 {"revision":8,"repeated":true}`}, fails: true},
		"made twice":                     {answers: []string{unknown, `200 {"revision":9}`}, resends: 1, fails: true},
		"not accepted":                   {answers: []string{`503 {"kind":"not_accepted"}`}, fails: true},
		"not accepted at the resend":     {answers: []string{unknown, `503 {"kind":"not_accepted"}`}, resends: 1, fails: true},
		"conflict at the resend":         {answers: []string{unknown, `409 {"kind":"conflict"}`}, resends: 1, fails: true},
		"another answer with status 504": {answers: []string{`504 {"kind":"unavailable"}`}, fails: true},
		"unknown each time":              {answers: []string{unknown, unknown, unknown, unknown, unknown, unknown}, resends: maxResends, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := &vm{name: "k1", dir: t.TempDir()}
			s := &scenario{vms: []*vm{v}}
			var bodies []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil || len(bodies) == len(c.answers) {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				answer := c.answers[len(bodies)]
				bodies = append(bodies, string(body))
				line := "ts=" + time.Now().UTC().Format("2006-01-02T15:04:05.000Z") + disconnected
				if err := os.WriteFile(v.logFile(), []byte(line), 0o600); err != nil {
					panic(err)
				}
				w.WriteHeader(map[string]int{"200": 200, "409": 409, "503": 503, "504": 504}[answer[:3]])
				_, _ = io.WriteString(w, answer[4:]) // The caller reports a missing answer.
			}))
			defer server.Close()
			basedOn := uint64(7)
			request := operatorapi.ApplyRequest{BasedOn: &basedOn, ChangeID: "c"}
			_, resent, err := s.applyOnce(server.Client(), server.URL, request)
			require.Equal(t, c.fails, err != nil, "%v", err)
			require.Len(t, resent, c.resends)
			require.Len(t, bodies, len(c.answers))
			want, err := json.Marshal(request)
			require.NoError(t, err)
			for _, body := range bodies {
				require.Equal(t, string(want), body)
			}
		})
	}
}
