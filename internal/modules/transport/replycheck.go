package transport

import (
	"sync"

	"github.com/chestnuttiller/chestnuttiller/internal/statusline"
)

// statusAt is the place of the status in a status line.
const statusAt = len("HTTP/1.1 ")

// replyCheck checks the status lines that arrive after each request on a connection: those of the interim replies (1xx), and that of
// the final one.
type replyCheck struct {
	mu sync.Mutex
	// start holds the first bytes of a status line until they have been checked.
	start   []byte
	checked bool
	// interim reports whether the rest of the head of an interim reply follows, and emptyLine whether its current line has no byte yet.
	interim, emptyLine bool
}

// expect starts the check of the reply to the next request.
func (c *replyCheck) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start, c.checked, c.interim = c.start[:0], false, false
}

// observe checks bytes that have arrived.
func (c *replyCheck) observe(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(b) > 0 && !c.checked {
		if c.interim {
			b = c.skipHead(b)
			continue
		}
		n := min(len(b), statusline.Len-len(c.start))
		c.start, b = append(c.start, b[:n]...), b[n:]
		enough, err := statusline.Check(c.start)
		if err != nil {
			return err
		}
		if enough {
			c.interim, c.emptyLine = c.start[statusAt] == '1', c.start[len(c.start)-1] == '\n'
			c.start, c.checked = c.start[:0], !c.interim
		}
	}
	return nil
}

// skipHead returns the bytes after the empty line that ends the head of an interim reply.
func (c *replyCheck) skipHead(b []byte) []byte {
	for i, x := range b {
		if x == '\n' && c.emptyLine {
			c.interim = false
			return b[i+1:]
		}
		c.emptyLine = x == '\n' || x == '\r' && c.emptyLine
	}
	return nil
}
