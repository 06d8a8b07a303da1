package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// settingsInterval is how often the settings file is compared with what was read. A platform may change it without a
// signal; seeds in it matter once a VM has lost touch with all others, which takes longer.
const settingsInterval = time.Second

// stableContent tells when the content of a file has changed and stays the same. A file that is written in place is empty or cut
// off for a moment, and what is left of it may be valid settings.
type stableContent struct {
	// taken is the content that was used last, and last the one of the last look.
	taken, last []byte
}

// look takes the content of the file, and reports whether it is new and the same as in the look before.
func (c *stableContent) look(now []byte) bool {
	stable := bytes.Equal(now, c.last)
	c.last = now
	if !stable || bytes.Equal(now, c.taken) {
		return false
	}
	c.taken = now
	return true
}

// watchFile delivers a value when the content of a file has changed and is the same in two looks, until the context ends. While
// the file cannot be read, nothing is delivered. Changes that are not taken are merged into one.
func watchFile(ctx context.Context, path string, interval time.Duration, logger log.Logger) <-chan struct{} {
	changed := make(chan struct{}, 1)
	before, err := os.ReadFile(path)
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		content := stableContent{taken: before, last: before}
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
			if !content.look(now) {
				continue
			}
			select {
			case changed <- struct{}{}:
			default: // A change is waiting already.
			}
		}
	}()
	return changed
}
