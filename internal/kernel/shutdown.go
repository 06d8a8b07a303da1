package kernel

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// slowStep is the least duration of a module's drain or stop that is logged without an error.
const slowStep = 5 * time.Millisecond

// Drain makes the process not ready and lets modules finish their work in the reverse of the dependency order, so that
// each is drained before the modules that it needs.
func (k *Kernel) Drain(ctx context.Context) error {
	k.ctx.Readiness.Set("drain", "the process is shutting down")
	logger := k.ctx.Logger("kernel")
	started := k.ctx.Now()
	var combined error
	for i := k.started - 1; i >= 0; i-- {
		if d, ok := k.modules[i].module.(Drainer); ok {
			combined = errors.CombineErrors(combined, k.runStep(ctx, logger, "module drained", string(k.modules[i].info.ID), d.Drain))
		}
	}
	k.logStage(ctx, logger, "modules drained", started, combined)
	return combined
}

// Stop stops the modules in reverse order, then the control goroutine and at last the log, so that it takes the lines of
// all others. It skips modules that Start has not reached.
func (k *Kernel) Stop(ctx context.Context) error {
	logger := k.ctx.Logger("kernel")
	started := k.ctx.Now()
	var combined error
	for i := k.started - 1; i >= 0; i-- {
		m := k.modules[i]
		if s, ok := m.module.(Stopper); ok && !isLog(m) {
			combined = errors.CombineErrors(combined, k.runStep(ctx, logger, "module stopped", string(m.info.ID), s.Stop))
		}
	}
	if k.cancel != nil {
		k.cancel()
		combined = errors.CombineErrors(combined, k.runStep(ctx, logger, "module stopped", "control goroutine", k.waitForControl))
	}
	k.logStage(ctx, logger, "modules stopped; the log is closed next and the process exits", started, combined)
	for _, m := range k.modules { // The log is written before Start reaches it.
		if s, ok := m.module.(Stopper); ok && isLog(m) {
			combined = errors.CombineErrors(combined, errors.Wrapf(s.Stop(ctx), "module %s", m.info.ID))
		}
	}
	return combined
}

func isLog(m runningModule) bool {
	_, ok := m.module.(LogSink)
	return ok
}

func (k *Kernel) waitForControl(context.Context) error {
	<-k.ctx.Control.stopped
	return nil
}

// runStep drains or stops one module, and logs it if it was slow or failed.
func (k *Kernel) runStep(ctx context.Context, logger log.Logger, msg, module string, step func(context.Context) error) error {
	started := k.ctx.Now()
	err := step(ctx)
	if took := k.ctx.Now().Sub(started); took >= slowStep || err != nil {
		_ = level.Info(logger).Log(append([]any{"msg", msg, "module", module, "took_ms", took.Milliseconds(), "err", err}, timeLeft(ctx)...)...)
	}
	return errors.Wrapf(err, "module %s", module)
}

// logStage logs the end of the drain or the stop of all modules.
func (k *Kernel) logStage(ctx context.Context, logger log.Logger, msg string, started time.Time, err error) {
	_ = level.Info(logger).Log(append([]any{"msg", msg, "took_ms", k.ctx.Now().Sub(started).Milliseconds(), "err", err}, timeLeft(ctx)...)...)
}

// timeLeft returns the key and value of a log line for the time until the deadline of the context, in milliseconds. Without a
// deadline it returns nothing.
func timeLeft(ctx context.Context) []any {
	end, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	return []any{"left_ms", time.Until(end).Milliseconds()}
}
