package kernel

import (
	"context"
	"time"
)

// NewTestControl returns a Control whose goroutine is not running, for tests of modules that only read the view and
// post events.
func NewTestControl() *Control { return newControl(time.Now) }

// StartTestControl returns a Control whose goroutine runs until the context ends.
func StartTestControl(ctx context.Context) *Control {
	c := newControl(time.Now)
	go c.run(ctx)
	return c
}

// SetTestView replaces the view of a Control whose goroutine is not running.
func (c *Control) SetTestView(v *View) { c.view.Store(v) }
