package transport

import (
	"sync"

	"github.com/chestnuttiller/chestnuttiller/internal/statusline"
)

// replyCheck checks the first status line that arrives after each request on a connection.
type replyCheck struct {
	mu sync.Mutex
	// start holds the first bytes of the reply until they have been checked.
	start   []byte
	checked bool
}

// expect starts the check of the reply to the next request.
func (c *replyCheck) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start, c.checked = c.start[:0], false
}

// observe checks bytes that have arrived.
func (c *replyCheck) observe(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checked {
		return nil
	}
	c.start = append(c.start, b[:min(len(b), statusline.Len-len(c.start))]...)
	enough, err := statusline.Check(c.start)
	c.checked = enough && err == nil
	return err
}
