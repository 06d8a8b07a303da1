package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// settingsPollInterval is how often the settings file is compared with its last content. A platform may change the file
// without a signal. One second is enough: a VM needs new seeds only once it has lost contact with all other VMs, which
// takes longer.
const settingsPollInterval = time.Second

// changeDetector detects that the content of a file has changed and is stable. A file that is written in place is empty
// or truncated for a moment, and the part that is there may be valid settings.
type changeDetector struct {
	// reported is the content that was reported last, and previous the content at the last call of observe.
	reported, previous []byte
}

// observe records the current content of the file. It reports whether the content differs from the one reported last
// and is the same as at the previous call.
func (c *changeDetector) observe(current []byte) bool {
	stable := bytes.Equal(current, c.previous)
	c.previous = current
	if !stable || bytes.Equal(current, c.reported) {
		return false
	}
	c.reported = current
	return true
}

// watchFile sends a value when the content of a file has changed and is the same in two reads, until the context ends.
// While the file cannot be read, nothing is sent. Changes that the receiver has not received yet are merged into one.
func watchFile(ctx context.Context, path string, interval time.Duration, logger log.Logger) <-chan struct{} {
	changed := make(chan struct{}, 1)
	initial, err := os.ReadFile(path)
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		detector := changeDetector{reported: initial, previous: initial}
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			unreadable := err != nil
			var current []byte
			if current, err = os.ReadFile(path); err != nil {
				if !unreadable {
					_ = level.Warn(logger).Log("msg", "settings file cannot be read; the process keeps its current settings", "file", path, "err", err)
				}
				continue
			}
			if !detector.observe(current) {
				continue
			}
			select {
			case changed <- struct{}{}:
			default: // A change is pending already.
			}
		}
	}()
	return changed
}
