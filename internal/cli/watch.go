package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
)

// settingsInterval is how often the settings file is compared with what was read. A platform may change it without a
// signal; seeds in it matter once a VM has lost touch with all others, which takes longer.
const settingsInterval = time.Second

// settlePart of the interval is how long a changed file has to stay the same before it is read again. A file that is
// written in place is empty or cut off for a moment, and what is left of it may be valid settings.
const settlePart = 0.5

// watchFile delivers a value when the content of a file has changed and stays the same, until the context ends. While the file
// cannot be read, nothing is delivered. Changes that are not taken are merged into one.
func watchFile(ctx context.Context, path string, interval time.Duration, logger log.Logger) <-chan struct{} {
	changed := make(chan struct{}, 1)
	before, err := os.ReadFile(path)
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			unreadable := err != nil
			var now []byte
			if now, err = os.ReadFile(path); err != nil {
				if !unreadable {
					_ = level.Warn(logger).Log("msg", "settings file not readable; the process goes on with the settings that it has", "file", path, "err", err)
				}
				continue
			}
			if bytes.Equal(now, before) {
				continue
			}
			if kernel.Wait(ctx, time.Duration(settlePart*float64(interval))) != nil {
				return
			}
			// The next look tells of a file that cannot be read, or differs, because it is being written.
			if again, err := os.ReadFile(path); err != nil || !bytes.Equal(again, now) {
				continue
			}
			before = now
			select {
			case changed <- struct{}{}:
			default: // A change is waiting already.
			}
		}
	}()
	return changed
}
