package query

import (
	"sync"
	"sync/atomic"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// The states of an attempt before and after it is sent. An attempt leaves attemptQueued exactly once, so that a
// withdrawn attempt is never sent.
const (
	attemptQueued int32 = iota
	attemptSent
	attemptWithdrawn
)

// attempt is one attempt in flight. Its own goroutine sets the reply and then adds its number to the inbox.
type attempt struct {
	number  int
	target  *model.Target
	request model.SubRequest
	ctx     *attemptContext
	state   atomic.Int32
	reply   model.Reply
	run     func()
}

// reset clears the fields that belong to one request.
func (a *attempt) reset() {
	a.target, a.request, a.ctx, a.reply = nil, model.SubRequest{}, nil, model.Reply{}
	a.state.Store(attemptQueued)
}

func (a *attempt) cancel() { a.ctx.cancel() }

// withdraw stops an attempt that waits to be sent, and reports whether it has not been sent and never will be.
func (a *attempt) withdraw() bool {
	if !a.state.CompareAndSwap(attemptQueued, attemptWithdrawn) && a.state.Load() != attemptWithdrawn {
		return false
	}
	a.cancel()
	return true
}

// notSent is the result of an attempt that this VM did not send. It is no evidence about the target.
func (a *attempt) notSent(reason string) model.Reply {
	return model.Reply{Attempt: a.request.Attempt, Shard: a.request.Shard, Status: model.ReplyNotSent, Reason: reason, Cancelled: true}
}

// perform acquires a permit, sends the attempt, and sets the reply.
func (e *Executor) perform(a *attempt) {
	permit, err := e.tracker.Acquire(a.ctx, a.target, a.request.Priority)
	if err != nil {
		a.reply = a.notSent(string(errs.KindOf(err)))
		return
	}
	switch {
	case !e.now().Before(a.request.Deadline):
		// The claim on an order ends with the deadline, so nothing may be sent after it.
		a.reply = a.notSent(string(errs.KindDeadline))
	case !a.state.CompareAndSwap(attemptQueued, attemptSent):
		a.reply = a.notSent("withdrawn")
	default:
		a.reply = e.transport.Send(a.ctx, a.target, a.request)
	}
	permit.Done(a.reply)
}

// inbox passes the numbers of ended attempts to the goroutine of the query. Attempts that end together wake it only
// once.
type inbox struct {
	mu     sync.Mutex
	ended  []int
	signal chan struct{}
}

func newInbox() inbox { return inbox{signal: make(chan struct{}, 1)} }

// add adds an ended attempt. It never blocks.
func (b *inbox) add(n int) {
	b.mu.Lock()
	b.ended = append(b.ended, n)
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default: // The query is already signalled and will take this attempt with the earlier ones.
	}
}

// take returns the ended attempts. The inbox reuses the memory of spare for the next ones.
func (b *inbox) take(spare []int) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.ended
	b.ended = spare[:0]
	return out
}
