// Package log is the module log.logfmt. It writes log lines in logfmt through a bounded buffer, so that a slow
// disk or pipe never blocks traffic. While the buffer is full, new lines are dropped and counted.
package log

import (
	"bytes"
	"context"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const section = "log"

// The values of the setting stream.
const (
	streamStderr = "stderr"
	streamStdout = "stdout"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:       "log.logfmt",
		New:      func() kernel.Module { return &Module{} },
		Provides: []kernel.Capability{kernel.CapLog},
		Settings: []settings.Key{
			{Section: section, Name: "level", Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Help: "lowest level that is written"},
			{Section: section, Name: "buffer", Kind: settings.KindInt, Default: "4096", Min: 1, Max: 1 << 20, Help: "number of lines that may wait to be written"},
			{Section: section, Name: "stream", Default: streamStderr, Choices: []string{streamStderr, streamStdout}, Help: "standard stream to write to when there is no file"},
			{Section: section, Name: "file", Help: "file to append to; a standard stream when empty"},
		},
	})
}

// Module is the log sink.
type Module struct {
	logger  log.Logger
	writer  *asyncWriter
	file    *os.File
	stopped atomic.Bool
	debug   bool
}

// Provision implements kernel.Provisioner. It starts the writer already, since other modules log while they
// are provisioned.
func (m *Module) Provision(ctx *kernel.Context) error {
	var out io.Writer = os.Stderr
	if ctx.Settings.String(section, "stream") == streamStdout {
		out = os.Stdout
	}
	if path := ctx.Settings.String(section, "file"); path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		m.file, out = f, f
	}
	m.writer = newAsyncWriter(out, ctx.Settings.Int(section, "buffer"))
	base := log.NewLogfmtLogger(m.writer)
	base = log.With(base, "ts", log.TimestampFormat(time.Now, "2006-01-02T15:04:05.000Z07:00"), "vm", string(ctx.VM.VM))
	m.debug = ctx.Settings.String(section, "level") == "debug"
	m.logger = level.NewFilter(base, levelOption(ctx.Settings.String(section, "level")))
	return nil
}

// Logger implements kernel.LogSink.
func (m *Module) Logger() log.Logger { return m.logger }

// Debug implements kernel.LogSink.
func (m *Module) Debug() bool { return m.debug }

// Stop implements kernel.Stopper. It writes the buffered lines. If nobody reads them until the context ends, the rest of them
// is lost and reported as an error.
func (m *Module) Stop(ctx context.Context) error {
	if m.stopped.Swap(true) {
		return nil
	}
	if err := m.writer.close(ctx); err != nil {
		return err
	}
	if m.file != nil {
		return m.file.Close()
	}
	return nil
}

func levelOption(name string) level.Option {
	switch name {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return level.AllowInfo()
}

// asyncWriter queues lines for a goroutine that writes them.
type asyncWriter struct {
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	out     io.Writer
}

func newAsyncWriter(out io.Writer, buffer int) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, buffer), quit: make(chan struct{}), done: make(chan struct{}), out: out}
	go w.run()
	return w
}

// Write implements io.Writer. go-kit/log passes one complete line in each call.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			for n := len(w.lines); n > 0; n-- {
				w.write(<-w.lines)
			}
			w.reportDropped()
			return
		}
	}
}

func (w *asyncWriter) write(line []byte) {
	w.reportDropped()
	_, _ = w.out.Write(line) // There is nowhere else to report an error.
}

// reportDropped writes how many lines were dropped since its last report.
func (w *asyncWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(w.out, "level=warn part=log msg=\"log lines were dropped because the log buffer was full\" count="+strconv.FormatUint(n, 10)+"\n") // There is nowhere else to report an error.
	}
}

// close writes the buffered lines until the context ends.
func (w *asyncWriter) close(ctx context.Context) error {
	close(w.quit)
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.KindDeadline, "see why the log stream is not read", "up to %d log lines were not written", len(w.lines)+1)
	}
}
