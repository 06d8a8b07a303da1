package kernel

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
)

const (
	// slowStep is the least duration of a module's drain or stop that is logged without an error.
	slowStep = 5 * time.Millisecond
	// stopTime is the part of a shutdown that the drain leaves to the stop. It is shorter than the time in which callers are
	// answered at the end of a drain, and at most stopShare of the shutdown.
	stopTime  = 200 * time.Millisecond
	stopShare = 0.1
	// returnShare is the part of the time for the stop that modules have to return once the context of their drain has ended.
	returnShare = 0.5
	// minReturnTime is the time that a module has to return from its drain if the time for all drains has passed before.
	minReturnTime = 5 * time.Millisecond
	// minStopTime is the time for the stop of all modules if the limit has passed before it begins.
	minStopTime = 50 * time.Millisecond
)

// shutdownStage is the drain or the stop of all modules.
type shutdownStage struct {
	logger  log.Logger
	now     func() time.Time
	started time.Time
	// limit is the end of the whole shutdown, if it is limited.
	limit   time.Time
	limited bool
	// abandoned names the modules that did not return in time. err combines the errors of all modules.
	abandoned []string
	err       error
}

func (k *Kernel) newStage(ctx context.Context) *shutdownStage {
	s := &shutdownStage{logger: k.ctx.Logger("kernel"), now: k.ctx.Now, started: k.ctx.Now()}
	s.limit, s.limited = ctx.Deadline()
	return s
}

// run drains or stops one module, and logs it if it was slow or failed. At returnBy, unless that is zero, it abandons the
// module.
func (s *shutdownStage) run(ctx context.Context, returnBy time.Time, msg, module string, step func(context.Context) error) {
	started := s.now()
	var overdue <-chan time.Time
	if !returnBy.IsZero() {
		t := time.NewTimer(returnBy.Sub(started))
		defer t.Stop()
		overdue = t.C
	}
	done := make(chan error, 1)
	go func() { done <- step(ctx) }()
	var err error
	select {
	case err = <-done:
	case <-overdue:
		err = errs.New(errs.KindDeadline, "look for the module in the log, and raise [shutdown] drain_limit if it needs more time", "it did not end in time and was abandoned")
		s.abandoned = append(s.abandoned, module)
	}
	if took := s.now().Sub(started); took >= slowStep || err != nil {
		s.log(msg, "module", module, "took_ms", took.Milliseconds(), "err", err)
	}
	s.err = errors.CombineErrors(s.err, errors.Wrapf(err, "module %s", module))
}

// log logs a line with the time left to the limit, in milliseconds, if there is one.
func (s *shutdownStage) log(msg string, keyvals ...any) {
	keyvals = append([]any{"msg", msg}, keyvals...)
	if s.limited {
		keyvals = append(keyvals, "left_ms", s.limit.Sub(s.now()).Milliseconds())
	}
	_ = level.Info(s.logger).Log(keyvals...)
}

// logEnd logs the end of the stage.
func (s *shutdownStage) logEnd(msg string) {
	keyvals := []any{"took_ms", s.now().Sub(s.started).Milliseconds(), "err", s.err}
	if len(s.abandoned) > 0 {
		keyvals = append(keyvals, "abandoned", strings.Join(s.abandoned, ", "))
	}
	s.log(msg, keyvals...)
}

// Drain makes the process not ready and lets modules finish their work in the reverse of the dependency order, so that
// each is drained before the modules that it needs. It leaves a part of the time until the deadline of the context to Stop.
// A module that does not return then is named in the error and abandoned, and the modules after it still drain.
func (k *Kernel) Drain(ctx context.Context) error {
	k.ctx.Readiness.Set("drain", "the process is shutting down")
	stage := k.newStage(ctx)
	var returnBy time.Time
	if stage.limited {
		reserve := min(stopTime, time.Duration(stopShare*float64(max(0, stage.limit.Sub(stage.started)))))
		returnBy = stage.limit.Add(-time.Duration((1 - returnShare) * float64(reserve)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, stage.limit.Add(-reserve))
		defer cancel()
	}
	for i := k.started - 1; i >= 0; i-- {
		if d, ok := k.modules[i].module.(Drainer); ok {
			if earliest := k.ctx.Now().Add(minReturnTime); stage.limited && returnBy.Before(earliest) {
				returnBy = earliest
			}
			stage.run(ctx, returnBy, "module drained", string(k.modules[i].info.ID), d.Drain)
		}
	}
	stage.logEnd("modules drained")
	return stage.err
}

// Stop stops the modules in reverse order, then the control goroutine and at last the log, so that it takes the lines of
// all others. It skips modules that Start has not reached.
//
// The context of each step ends after a quarter of the time that is left until the deadline of the context. A module that
// does not return within half of that time is named in the error and abandoned: the end of the process stops it. That is no
// worse than a crash, since all that has been acknowledged was synced before. Without a deadline, Stop waits for all modules.
func (k *Kernel) Stop(ctx context.Context) error {
	stage := k.newStage(ctx)
	end := stage.limit
	if earliest := stage.started.Add(minStopTime); end.Before(earliest) {
		end = earliest
	}
	stop := func(module string, stop func(context.Context) error) {
		if !stage.limited {
			stage.run(ctx, time.Time{}, "module stopped", module, stop)
			return
		}
		now := k.ctx.Now()
		left := end.Sub(now)
		stepCtx, cancel := context.WithDeadline(ctx, now.Add(left/4))
		defer cancel()
		stage.run(stepCtx, now.Add(left/2), "module stopped", module, stop)
	}
	for i := k.started - 1; i >= 0; i-- {
		m := k.modules[i]
		if s, ok := m.module.(Stopper); ok && !isLog(m) {
			stop(string(m.info.ID), s.Stop)
		}
	}
	if k.cancel != nil {
		k.cancel()
		stop("control goroutine", k.waitForControl)
	}
	stage.logEnd("modules stopped; the log is closed next and the process exits")
	for _, m := range k.modules { // The log is written before Start reaches it.
		if s, ok := m.module.(Stopper); ok && isLog(m) {
			stop(string(m.info.ID), s.Stop)
		}
	}
	return stage.err
}

func isLog(m runningModule) bool {
	_, ok := m.module.(LogSink)
	return ok
}

func (k *Kernel) waitForControl(ctx context.Context) error {
	select {
	case <-k.ctx.Control.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
