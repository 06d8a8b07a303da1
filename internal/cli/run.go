package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"github.com/chestnuttiller/chestnuttiller/internal/hangup"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func newRun() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a process of the system with the roles that its settings name",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path, kernel.SettingsKeys())
			if err != nil {
				return err
			}
			return runKernel(cmd.Context(), s, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "chestnuttiller.ini", "settings file of this process")
	return cmd
}

// runKernel runs a process until a signal or a failure ends it. SIGTERM and SIGINT drain it, also while it starts; a second
// signal is ignored, since a setting limits the time of the whole shutdown. SIGHUP and a change of the settings file make the
// process read the file again.
func runKernel(ctx context.Context, s *settings.Settings, path string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE) // A process serves although the reader of its log has ended; the write fails.
	if mb := s.Int("vm", "memory_limit_mb"); mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20)
	}
	startCtx, cancelStart := context.WithCancel(ctx)
	defer cancelStart()
	starting := make(chan startResult, 1)
	go func() { starting <- startKernel(startCtx, s) }()
	var started startResult
	select {
	case started = <-starting:
	case sig := <-signals:
		exitAtLimit(s.DrainLimit)
		limit := time.Now().Add(s.DrainLimit)
		cancelStart()
		started = <-starting // The process exits at its limit if the start does not end.
		if started.kernel == nil {
			return started.err
		}
		logger := started.kernel.Context().Logger("process")
		_ = level.Info(logger).Log("msg", "process is draining; the signal arrived while it started", "signal", sig, "limit", s.DrainLimit, "err", started.err)
		failure := started.err
		if errors.Is(failure, context.Canceled) {
			failure = nil // The signal has ended the start.
		}
		return shutDown(ctx, started.kernel, limit, logger, failure)
	}
	if started.kernel == nil {
		return started.err
	}
	k, logger := started.kernel, started.kernel.Context().Logger("process")
	if started.err != nil {
		exitAtLimit(s.DrainLimit)
		return shutDown(ctx, k, time.Now().Add(s.DrainLimit), logger, started.err)
	}
	_ = level.Info(logger).Log("msg", "process started", "availability_zone", s.AvailabilityZone)
	reloadCtx, stopReload := context.WithCancel(ctx)
	defer stopReload()
	reloads := make(chan struct{})
	go func() {
		defer close(reloads)
		runReloads(reloadCtx, k, path, logger)
	}()
	var failure error
	select {
	case sig := <-signals:
		_ = level.Info(logger).Log("msg", "process is draining", "signal", sig, "limit", s.DrainLimit)
	case failure = <-k.Failed():
		_ = level.Error(logger).Log("msg", "process ends because of a failure", "err", failure)
	}
	exitAtLimit(s.DrainLimit)
	limit := time.Now().Add(s.DrainLimit)
	stopReload()
	select {
	case <-reloads: // No module is given new settings while it drains and stops.
	case <-time.After(reloadWait):
		_ = level.Warn(logger).Log("msg", "settings file is still being read and is not waited for", "file", path)
	}
	return shutDown(ctx, k, limit, logger, failure)
}

// startResult is what a start has led to. The kernel is nil if its modules could not be provisioned.
type startResult struct {
	kernel *kernel.Kernel
	err    error
}

// startKernel provisions and starts the modules. It runs on its own goroutine, since a disk that does not respond must not delay
// the handling of SIGTERM.
func startKernel(ctx context.Context, s *settings.Settings) startResult {
	k, err := kernel.New(s)
	if err != nil {
		return startResult{err: err}
	}
	return startResult{k, k.Start(ctx)}
}

// shutDown drains the modules, unless the process ends because of a failure, and stops them.
func shutDown(ctx context.Context, k *kernel.Kernel, limit time.Time, logger log.Logger, failure error) error {
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	waits := readCPUWaits(taskFolder)
	if failure == nil {
		failure = k.Drain(ctx)
	}
	_ = level.Info(logger).Log("msg", "process ends", "cpu_wait_ms", readCPUWaits(taskFolder).longestSince(waits).Milliseconds(), "err", failure)
	return errors.CombineErrors(failure, k.Stop(ctx))
}

// runReloads reads the settings file again after each SIGHUP and change of the file, until the context ends. It runs on its own
// goroutine, since a disk that does not respond must not delay the handling of SIGTERM.
func runReloads(ctx context.Context, k *kernel.Kernel, path string, logger log.Logger) {
	changed := watchFile(ctx, path, settingsPollInterval, logger)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals:
			reload(ctx, k, path, "SIGHUP", logger)
		case <-changed:
			reload(ctx, k, path, "the file has changed", logger)
		}
	}
}

// reloadWait is how long the stop of the modules waits for a reload that has begun before.
const reloadWait = 20 * time.Millisecond

// lastLineTime is the time that the line of exitAtLimit has to be written before the exit.
const lastLineTime = 20 * time.Millisecond

// exitAtLimit ends the process after the limit, whatever still runs then, such as the output of an error that nobody reads. The
// line goes to standard error itself, since the log may be closed or blocked.
func exitAtLimit(limit time.Duration) {
	lineTime := min(lastLineTime, limit/2)
	time.AfterFunc(limit-lineTime, func() {
		go func() {
			logger := log.With(log.NewLogfmtLogger(os.Stderr), "ts", log.TimestampFormat(time.Now, time.RFC3339Nano), "part", "process")
			_ = level.Error(logger).Log("msg", "process exits at its limit, before its shutdown is complete", "limit", limit)
		}()
		time.Sleep(lineTime)
		os.Exit(ExitFailure)
	})
}

// reload loads the settings file again and passes it to the modules. If it cannot be loaded, or the context has ended when it is,
// nothing changes.
func reload(ctx context.Context, k *kernel.Kernel, path, cause string, logger log.Logger) {
	s, err := settings.Load(path, kernel.SettingsKeys())
	if ctx.Err() != nil {
		return // The process ends.
	}
	if err == nil {
		err = k.Reload(s)
	}
	if err != nil {
		_ = level.Error(logger).Log("msg", "settings not reloaded; the process keeps its current settings", "file", path, "cause", cause, "err", err)
		return
	}
	_ = level.Info(logger).Log("msg", "settings reloaded; new seeds apply now, all other changes need a restart", "file", path, "cause", cause)
}
