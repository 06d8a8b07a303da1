package kernel

import "time"

// NewTestControl returns a Control whose goroutine is not running, for tests of modules that only read the view and
// post events.
func NewTestControl() *Control { return newControl(time.Now) }

// SetTestView replaces the view of a Control whose goroutine is not running.
func (c *Control) SetTestView(v *View) { c.view.Store(v) }
