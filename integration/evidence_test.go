package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// Guards against a failed scenario whose logs are removed or cut, and against files of passing scenarios that remain.
func TestFailedScenarioKeepsItsEvidence(t *testing.T) {
	const head = "system zones=a entry=1 services=stock\nup\n"
	folders := t.TempDir()
	t.Setenv("TMPDIR", folders)

	r := runScript(t, head)
	require.False(t, r.failed, "%s", r.log)
	require.NotContains(t, r.log.String(), "the logs are in")
	left, err := filepath.Glob(filepath.Join(folders, "scenario*"))
	require.NoError(t, err)
	require.Empty(t, left)

	for name, c := range map[string]struct{ script, failure string }{
		"command of the scenario": {head + "expect nonsense\n", "command: name a condition"},
		"command of testscript":   {head + "exists missing\n", "command: <nil>"},
		"invariant":               {head + "crash\n", "invariants: .*VM a1 has ended unexpectedly"},
	} {
		t.Run(name, func(t *testing.T) {
			r := runScript(t, c.script)
			require.True(t, r.failed)
			found := regexp.MustCompile(`the logs are in (\S+), errors while they were kept: <nil>`).FindStringSubmatch(r.log.String())
			require.Len(t, found, 2, "%s", r.log.String())
			failure, err := os.ReadFile(filepath.Join(found[1], failureFile))
			require.NoError(t, err)
			require.Regexp(t, c.failure, string(failure))
			log, err := os.ReadFile(filepath.Join(found[1], "a1-log"))
			require.NoError(t, err)
			require.Contains(t, string(log), `msg="process started"`)
			require.FileExists(t, filepath.Join(found[1], "a1-settings.ini"))
		})
	}
}

// runScript runs a script as a test of its own, and returns its result.
func runScript(t *testing.T, script string) *scriptResult {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "script.txt"), []byte(script), 0o600))
	r := &scriptResult{}
	params := scenarioParams(dir)
	params.Cmds["crash"] = command(func(s *scenario, _ []string) error {
		if err := s.vms[0].process.Process.Kill(); err != nil {
			return err
		}
		return s.vms[0].wait()
	})
	testscript.RunT(r, params)
	return r
}

// scriptResult implements testscript.T.
type scriptResult struct {
	log    strings.Builder
	failed bool
}

func (r *scriptResult) Run(_ string, f func(testscript.T)) {
	done := make(chan struct{})
	go func() { // FailNow ends the goroutine.
		defer close(done)
		f(r)
	}()
	<-done
}

func (r *scriptResult) FailNow() {
	r.failed = true
	runtime.Goexit()
}

func (r *scriptResult) Fatal(args ...any) {
	r.Log(args...)
	r.FailNow()
}

func (r *scriptResult) Log(args ...any)  { fmt.Fprintln(&r.log, args...) }
func (r *scriptResult) Skip(args ...any) { r.Fatal(args...) }
func (r *scriptResult) Failed() bool     { return r.failed }
func (r *scriptResult) Verbose() bool    { return false }
func (r *scriptResult) Parallel()        {}
