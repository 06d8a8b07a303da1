package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/cli"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/all"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"chestnuttiller": func() { os.Exit(cli.Main(os.Args[1:])) },
	})
}

// Guards against exit codes, messages and output formats that differ from the documented ones.
func TestScripts(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serve))
	t.Cleanup(server.Close) // The scripts run in parallel and end after this function returns.
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("SERVER", server.URL)
			env.Setenv("EXAMPLES", examples)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits is the script command that runs a program and compares its exit code: exits CODE COMMAND ARGS...
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS...")
	}
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = err.Error()[len("exit status "):]
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, not %s", got, args[0])
	}
}

// serve simulates a VM. The author of a change and the name of a service select the answer.
func serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == operatorapi.PathExplain {
		serveExplanation(w, r)
		return
	}
	if r.URL.Path != operatorapi.PathConfig {
		answer := callerapi.Answer{Outcome: filepath.Base(r.URL.Path), Coverage: 0.5, Snapshot: "1.2", Parts: []callerapi.Part{{Shard: 3, Coverage: 1, Body: []byte("found")}}}
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	var req operatorapi.ApplyRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	switch req.Author {
	case "conflict":
		e := operatorapi.Error{Kind: errs.KindConflict, Message: "another change was accepted first: revision 7 is in force", Remedy: "repeat the edit"}
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(e)
	case "drop":
		panic(http.ErrAbortHandler)
	default:
		_ = json.NewEncoder(w).Encode(operatorapi.ApplyResponse{Outcome: "accepted", Revision: *req.BasedOn + 1, ChangeID: req.ChangeID})
	}
}

// serveExplanation simulates an entry VM. A key in the URL is answered with a failure.
func serveExplanation(w http.ResponseWriter, r *http.Request) {
	var req operatorapi.ExplainRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	switch {
	case req.Host == "drop":
		panic(http.ErrAbortHandler)
	case req.Path[0] != '/' || r.URL.RawQuery != "":
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(operatorapi.Error{Kind: errs.KindInvalid, Message: "the request has no path", Remedy: "name it"})
		return
	}
	until := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	out := operatorapi.ExplainResponse{Services: []operatorapi.ExplainedService{{
		Service: "s", Refusal: &operatorapi.ExplainedRefusal{Kind: "refused", Reason: "no leaf", RetryAfterMS: 1000},
		Extras:     operatorapi.ExplainedExtras{RetryAllowed: true, RetriesUpTo: 1, HedgesUpTo: 0.9},
		Candidates: []operatorapi.Candidate{{Leaf: "l1", AvailabilityZone: "z", Standing: "paused", Until: &until, Cost: 1.5, MaxCost: 1.65, OtherZone: true}},
	}}}
	if req.Key != nil && *req.Key == "secret-1" {
		out.Customer = &operatorapi.ExplainedCustomer{Name: "one", RatePerS: 5, Burst: 2, Credit: "unknown", Owner: "e2"}
	}
	_ = json.NewEncoder(w).Encode(out)
}
