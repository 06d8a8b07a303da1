package query

import (
	"context"
	"sync"
	"time"
)

// attemptContext is the context of one attempt. context.WithCancel would register each of the 1,100 attempts of a
// query with their parent under one lock, and allocate three times. Instead, the goroutine of the request passes on
// the caller's cancellation and the deadline, so this context needs neither a parent nor a timer.
type attemptContext struct {
	// values is the caller's context, used for its values only.
	values   context.Context
	deadline time.Time

	mu    sync.Mutex
	done  chan struct{}
	ended bool
	// afterFuncs are called when the context ends, for example to cancel derived contexts.
	afterFuncs map[*func()]struct{}
}

func newAttemptContext(values context.Context, deadline time.Time) *attemptContext {
	return &attemptContext{values: values, deadline: deadline}
}

// Deadline implements context.Context.
func (c *attemptContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Value implements context.Context.
func (c *attemptContext) Value(key any) any { return c.values.Value(key) }

// Done implements context.Context. The channel is made on the first call.
func (c *attemptContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.ended {
			close(c.done)
		}
	}
	return c.done
}

// Err implements context.Context.
func (c *attemptContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return context.Canceled
	}
	return nil
}

// AfterFunc lets package context derive contexts without a goroutine for each. It runs f in its own goroutine once
// the context has ended; stop reports whether it prevented f from running.
func (c *attemptContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		go f()
		return func() bool { return false }
	}
	if c.afterFuncs == nil {
		c.afterFuncs = map[*func()]struct{}{}
	}
	key := &f
	c.afterFuncs[key] = struct{}{}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, waiting := c.afterFuncs[key]
		delete(c.afterFuncs, key)
		return waiting
	}
}

// cancel ends the context and starts the functions of AfterFunc. Further calls do nothing.
func (c *attemptContext) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	if c.done != nil {
		close(c.done)
	}
	for f := range c.afterFuncs {
		go (*f)()
	}
	c.afterFuncs = nil
}
