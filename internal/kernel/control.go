package kernel

import (
	"context"
	"sync/atomic"
	"time"
)

// Event is a typed message to the control goroutine. All controllers receive it; each ignores those of others.
type Event interface{}

// Controller owns a part of the control state. All its methods run on the control goroutine, so it needs no
// locks; they must not block. HandleEvent ignores the events of other controllers.
type Controller interface {
	HandleEvent(now time.Time, ev Event)
}

// ViewContributor is a Controller that fills its part of the view before each publication.
type ViewContributor interface {
	ContributeView(now time.Time, v *View)
}

// controlQueueLength limits the events that wait for the control goroutine. The queue has to hold the burst of a
// 1,100-shard query with one event for each failed sub-request.
const controlQueueLength = 8192

// Control runs the control goroutine, the only one that accesses control state. Traffic goroutines read the
// view and report with Post, which never blocks them.
type Control struct {
	queue       chan Event
	stopped     chan struct{}
	controllers []Controller
	view        atomic.Pointer[View]
	dirty       bool
	subscribers []chan struct{}
	dropped     atomic.Uint64
	now         func() time.Time
}

// doEvent runs a function on the control goroutine.
type doEvent struct {
	fn   func(now time.Time)
	done chan struct{}
}

func newControl(now func() time.Time) *Control {
	c := &Control{queue: make(chan Event, controlQueueLength), stopped: make(chan struct{}), now: now}
	c.view.Store(&View{})
	return c
}

// AddController adds an owner of control state. It may be called only while modules are provisioned.
func (c *Control) AddController(controller Controller) {
	c.controllers = append(c.controllers, controller)
}

// Changes returns a channel that receives a value after each publication of a view. While a value waits to be
// received, further publications add none. Changes may be called only while modules are provisioned.
func (c *Control) Changes() <-chan struct{} {
	ch := make(chan struct{}, 1)
	c.subscribers = append(c.subscribers, ch)
	return ch
}

// Follow calls fn with the latest view after publications, on its own goroutine, until the context ends. The channel
// is one that Changes returned.
func (c *Control) Follow(ctx context.Context, changes <-chan struct{}, fn func(*View)) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changes:
				fn(c.View())
			}
		}
	}()
}

// View returns the latest published view. It is immutable and never nil. It may be called from any goroutine and does not
// block.
func (c *Control) View() *View { return c.view.Load() }

// Post queues an event. It never blocks, and returns false when the queue is full: the event is dropped and
// counted. Only events whose loss a later event repairs may be posted this way.
func (c *Control) Post(ev Event) bool {
	select {
	case c.queue <- ev:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// PostWait queues an event and waits while the queue is full. It is for goroutines that may wait, such as
// readers of peer connections, and never for the control goroutine itself.
func (c *Control) PostWait(ctx context.Context, ev Event) error {
	select {
	case c.queue <- ev:
		return nil
	case <-c.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do runs fn on the control goroutine and waits for it. It must not be called from the control goroutine.
func (c *Control) Do(ctx context.Context, fn func(now time.Time)) error {
	ev := doEvent{fn: fn, done: make(chan struct{})}
	if err := c.PostWait(ctx, ev); err != nil {
		return err
	}
	select {
	case <-ev.done:
		return nil
	case <-c.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// After posts an event once the delay has passed. The returned function cancels it. If the queue is full, the timer
// waits on its own goroutine, so that a periodic event is never lost.
func (c *Control) After(delay time.Duration, ev Event) (cancel func()) {
	t := time.AfterFunc(delay, func() { _ = c.PostWait(context.Background(), ev) }) // It fails only when the process ends.
	return func() { t.Stop() }
}

// MarkDirty requests a new view after the current batch of events. It may be called only on the control
// goroutine.
func (c *Control) MarkDirty() { c.dirty = true }

// Dropped returns how many events were dropped because the queue was full.
func (c *Control) Dropped() uint64 { return c.dropped.Load() }

// run handles events until the context ends. Events that are already queued are handled as one batch, so
// that a burst costs one publication.
func (c *Control) run(ctx context.Context) {
	defer close(c.stopped)
	c.publish()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.queue:
			c.handle(ev)
			for n := len(c.queue); n > 0; n-- {
				c.handle(<-c.queue)
			}
		}
		if c.dirty {
			c.publish()
		}
	}
}

func (c *Control) handle(ev Event) {
	now := c.now()
	if d, ok := ev.(doEvent); ok {
		d.fn(now)
		// The view is published before Do returns, so that the caller reads its own change.
		if c.dirty {
			c.publish()
		}
		close(d.done)
		return
	}
	for _, controller := range c.controllers {
		controller.HandleEvent(now, ev)
	}
}

func (c *Control) publish() {
	c.dirty = false
	now := c.now()
	v := &View{Version: c.view.Load().Version + 1, PublishedAt: now}
	for _, controller := range c.controllers {
		if contributor, ok := controller.(ViewContributor); ok {
			contributor.ContributeView(now, v)
		}
	}
	c.view.Store(v)
	for _, ch := range c.subscribers {
		select {
		case ch <- struct{}{}:
		default: // The subscriber has not yet received the previous value, and will read the latest view.
		}
	}
}
