// Package admission decides which waiting work goes next and which is refused. It is pure.
package admission

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Waiter is one piece of waiting work.
type Waiter[T any] struct {
	Value    T
	Priority model.Priority
	Deadline time.Time
	removed  bool
}

// Queue is a bounded queue ordered by priority, and first in, first out within a priority. One in starvationInterval
// turns goes to the lowest priority that waits, so that urgent work cannot starve it.
type Queue[T any] struct {
	waiting  [model.PriorityCount][]*Waiter[T]
	length   int
	capacity int
	removals int
}

// starvationInterval is the number of turns of which one goes to the least urgent waiting work.
const starvationInterval = 16

// NewQueue returns a queue for at most capacity waiters.
func NewQueue[T any](capacity int) *Queue[T] { return &Queue[T]{capacity: capacity} }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.length }

// Push adds work. If the queue is full, it evicts the newest work of a lower priority and returns it; without such
// work it returns false.
func (q *Queue[T]) Push(w *Waiter[T]) (evicted *Waiter[T], ok bool) {
	if q.length >= q.capacity {
		if evicted = q.evictBelow(w.Priority); evicted == nil {
			return nil, false
		}
	}
	q.waiting[w.Priority] = append(q.waiting[w.Priority], w)
	q.length++
	return evicted, true
}

func (q *Queue[T]) evictBelow(priority model.Priority) *Waiter[T] {
	for p := model.PriorityCount - 1; p > priority; p-- {
		q.trim(p)
		if n := len(q.waiting[p]); n > 0 {
			w := q.waiting[p][n-1]
			q.Remove(w)
			return w
		}
	}
	return nil
}

// Remove removes work from the queue, for example because its caller has cancelled.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	if !w.removed {
		w.removed = true
		q.length--
		q.removals++
	}
}

// Pop removes and returns the work that goes next, or returns nil. Work whose deadline has passed is passed to
// expired instead.
func (q *Queue[T]) Pop(now time.Time, expired func(*Waiter[T])) *Waiter[T] {
	for q.length > 0 {
		w := q.Peek()
		q.Remove(w)
		if w.Deadline.IsZero() || now.Before(w.Deadline) {
			return w
		}
		expired(w)
	}
	return nil
}

// Peek returns the work that goes next without removing it, or nil. It is the first waiter of the most urgent
// priority, or on a starvation turn of the least urgent one.
func (q *Queue[T]) Peek() *Waiter[T] {
	first, last := -1, -1
	for p := range q.waiting {
		q.trim(model.Priority(p))
		if len(q.waiting[p]) == 0 {
			continue
		}
		if first < 0 {
			first = p
		}
		last = p
	}
	if first < 0 {
		return nil
	}
	if q.removals%starvationInterval == starvationInterval-1 {
		return q.waiting[last][0]
	}
	return q.waiting[first][0]
}

// trim drops removed waiters from both ends, so that the first and the last waiter are never removed ones.
func (q *Queue[T]) trim(p model.Priority) {
	ws := q.waiting[p]
	for len(ws) > 0 && ws[0].removed {
		ws[0] = nil
		ws = ws[1:]
	}
	for len(ws) > 0 && ws[len(ws)-1].removed {
		ws = ws[:len(ws)-1]
	}
	q.waiting[p] = ws
}
