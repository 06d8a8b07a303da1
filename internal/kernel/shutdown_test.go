package kernel

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// fakeLog keeps the lines that are written before it is stopped.
type fakeLog struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stopped bool
}

func (l *fakeLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.text.Write(line)
	}
	return len(line), nil
}

func (l *fakeLog) Logger() log.Logger { return log.NewLogfmtLogger(l) }

func (l *fakeLog) Debug() bool { return false }

func (l *fakeLog) Stop(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	return nil
}

func (l *fakeLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// fakeModule drains and stops as its functions do.
type fakeModule struct{ drain, stop func(context.Context) error }

func (m *fakeModule) Drain(ctx context.Context) error { return m.drain(ctx) }

func (m *fakeModule) Stop(ctx context.Context) error { return m.stop(ctx) }

func atOnce(context.Context) error { return nil }

// startFakeKernel starts a kernel with the modules in this order, and a control goroutine.
func startFakeKernel(t *testing.T, modules ...runningModule) *Kernel {
	k := &Kernel{modules: modules, failures: make(chan error, 1), seedSource: newSeedSource(1)}
	k.ctx = &Context{kernel: k, Control: newControl(time.Now), Readiness: NewReadiness(), Now: time.Now}
	for _, m := range modules {
		if c, ok := m.module.(Controller); ok {
			k.ctx.Control.AddController(c)
		}
	}
	require.NoError(t, k.Start(context.Background()))
	return k
}

func named(id ModuleID, m Module) runningModule { return runningModule{ModuleInfo{ID: id}, m} }

// Guards against a process that ends late and does not say which module took the time, also where the log is not the module
// that stops last by its dependencies.
func TestSlowStepsOfAShutdownAreLogged(t *testing.T) {
	out := &fakeLog{}
	slow := func(context.Context) error {
		time.Sleep(2 * slowStep)
		return errors.New("disk is slow")
	}
	k := startFakeKernel(t, named("first", &fakeModule{atOnce, slow}), named("log", out), named("last", &fakeModule{slow, atOnce}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.Error(t, k.Drain(ctx))
	require.Error(t, k.Stop(ctx))
	require.Regexp(t, `part=kernel msg="module drained" module=last took_ms=\d+ err="disk is slow" left_ms=\d+\n`, out.String())
	require.Regexp(t, `msg="modules drained" took_ms=\d+ err=".*disk is slow" left_ms=\d+\n`, out.String())
	require.Regexp(t, `msg="module stopped" module=first took_ms=\d+ err="disk is slow" left_ms=\d+\n`, out.String())
	require.Regexp(t, `msg="modules stopped; the log is closed next and the process exits" took_ms=\d+ err=".*disk is slow" left_ms=\d+\n$`, out.String())
	require.NotContains(t, out.String(), "module=first took_ms=0")
	require.NotRegexp(t, `msg="module (drained|stopped)" module=\S+( goroutine")? took_ms=[0-4] err=null`, out.String(), "a step that is not slow is logged")
}

// blockingController blocks the control goroutine with the first event, and closes blocked then.
type blockingController struct{ blocked, release chan struct{} }

func (c blockingController) HandleEvent(time.Time, Event) {
	close(c.blocked)
	<-c.release
}

// Guards against a process that is killed at the end of its grace since a module, the control goroutine or the log does not
// return from its drain or stop: the process ends by itself within the limit, all other modules are drained and stopped, and
// the log names the one.
func TestShutdownEndsWithinItsLimitBesideABlockedModule(t *testing.T) {
	const (
		limit     = 5500 * time.Millisecond // [shutdown] drain_limit in deploy/entry.ini
		killAfter = 6 * time.Second         // when the users' platform sends SIGKILL
	)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	block := func(context.Context) error {
		<-release
		return nil
	}
	for _, blocked := range []string{"drain", "stop", "control goroutine", "log"} {
		t.Run(blocked, func(t *testing.T) {
			t.Parallel()
			out := &fakeLog{}
			var mu sync.Mutex
			var steps []string
			step := func(name string, blocks bool) func(context.Context) error {
				return func(ctx context.Context) error {
					if blocks {
						return block(ctx)
					}
					mu.Lock()
					defer mu.Unlock()
					steps = append(steps, name)
					return nil
				}
			}
			sink := Module(out)
			if blocked == "log" {
				sink = struct {
					LogSink
					Stopper
				}{out, stopper(block)}
			}
			isBlocked := make(chan struct{})
			k := startFakeKernel(t, named("controller", blockingController{isBlocked, release}), named("log", sink), named("a", &fakeModule{step("drain a", false), step("stop a", false)}),
				named("b", &fakeModule{step("drain b", blocked == "drain"), step("stop b", blocked == "stop")}))
			if blocked == "control goroutine" {
				require.True(t, k.ctx.Control.Post("event"))
				<-isBlocked // A goroutine that is not blocked yet may end without the event.
			}
			ended := make(chan [2]error, 1)
			started := time.Now()
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				drainErr := k.Drain(ctx)
				ended <- [2]error{drainErr, k.Stop(ctx)}
			}()
			var failures [2]error
			select {
			case failures = <-ended:
			case <-time.After(10 * limit):
				t.Fatal("the shutdown does not end")
			}
			require.Less(t, time.Since(started), killAfter)
			require.Equal(t, blocked == "drain", failures[0] != nil, failures[0])
			require.Equal(t, blocked != "drain", failures[1] != nil, failures[1])
			mu.Lock()
			defer mu.Unlock()
			require.Subset(t, steps, []string{"drain a", "stop a"})
			if blocked == "drain" || blocked == "stop" {
				require.Regexp(t, `module=b took_ms=\d+ err="it did not end in time and was abandoned.*" left_ms=\d+\n`, out.String())
				require.Contains(t, out.String(), " abandoned=b left_ms=")
			}
			if blocked == "control goroutine" {
				require.Contains(t, out.String(), `module="control goroutine"`)
			}
		})
	}
}

type stopper func(context.Context) error

func (s stopper) Stop(ctx context.Context) error { return s(ctx) }

// Guards against a module that gets no chance to answer its callers and free its place in the group, since modules that were
// drained before it have used the whole limit.
func TestDrainReachesEachModuleAndLeavesTimeForTheStop(t *testing.T) {
	const limit = 2 * time.Second
	untilEnd := func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
	drained := false
	k := startFakeKernel(t, named("a", &fakeModule{func(context.Context) error {
		drained = true
		return nil
	}, atOnce}), named("b", &fakeModule{untilEnd, atOnce}))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	require.NoError(t, k.Drain(ctx))
	require.True(t, drained)
	require.NoError(t, ctx.Err(), "no time is left for the stop")
	require.NoError(t, k.Stop(ctx))
}

// starter is a module whose start calls a function.
type starter func()

func (s starter) Start(context.Context) error {
	s()
	return nil
}

// Guards against a process that opens its listeners after it has received a signal to end.
func TestNoModuleStartsAfterTheContextHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	late := false
	k := &Kernel{modules: []runningModule{named("a", starter(cancel)), named("b", starter(func() { late = true }))}}
	k.ctx = &Context{kernel: k, Control: newControl(time.Now), Readiness: NewReadiness(), Now: time.Now}
	require.ErrorIs(t, k.Start(ctx), context.Canceled)
	require.False(t, late)
	require.NoError(t, k.Stop(context.Background()))
}
