package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against urgent work waiting behind other work, and against other work waiting forever.
func TestUrgentFirstWithoutStarvation(t *testing.T) {
	q := NewQueue[string](1000)
	push := func(v string, p model.Priority) {
		_, ok := q.Push(&Waiter[string]{Value: v, Priority: p})
		require.True(t, ok)
	}
	push("bulk", model.PriorityBulk)
	for range 100 {
		push("urgent", model.PriorityUrgent)
	}
	none := func(*Waiter[string]) { t.Fatal("work was reported as expired") }
	require.Equal(t, "urgent", q.Pop(time.Time{}, none).Value)
	for n := 1; ; n++ {
		require.LessOrEqual(t, n, starvationInterval, "bulk work did not get its turn")
		if q.Pop(time.Time{}, none).Value == "bulk" {
			return
		}
	}
}

// Guards against a full queue of less urgent work refusing urgent work.
func TestFullQueueEvictsLessUrgentWork(t *testing.T) {
	q := NewQueue[int](1)
	_, ok := q.Push(&Waiter[int]{Value: 1, Priority: model.PriorityBulk})
	require.True(t, ok)
	_, ok = q.Push(&Waiter[int]{Value: 2, Priority: model.PriorityBulk})
	require.False(t, ok)
	evicted, ok := q.Push(&Waiter[int]{Value: 3, Priority: model.PriorityUrgent})
	require.True(t, ok)
	require.Equal(t, 1, evicted.Value)
	require.Equal(t, 1, q.Len())
}

// Guards against work that is lost or returned twice, and against an unbounded queue.
func TestQueueAccountsForAllWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](rapid.IntRange(1, 8).Draw(t, "capacity"))
		waiting := map[int]*Waiter[int]{}
		now := time.Unix(1000, 0)
		expire := func(w *Waiter[int]) {
			require.False(t, now.Before(w.Deadline))
			delete(waiting, w.Value)
		}
		for i, step := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "steps") {
			switch step {
			case 0, 1:
				w := &Waiter[int]{Value: i, Priority: model.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Deadline: now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)}
				evicted, ok := q.Push(w)
				if ok {
					waiting[i] = w
				}
				if evicted != nil {
					require.Greater(t, evicted.Priority, w.Priority)
					delete(waiting, evicted.Value)
				}
			case 2:
				if w := q.Pop(now, expire); w != nil {
					require.Contains(t, waiting, w.Value)
					delete(waiting, w.Value)
				}
			case 3:
				now = now.Add(time.Second)
			}
			require.Equal(t, len(waiting), q.Len())
		}
	})
}

// Guards against one caller taking a whole service, and against a caller that does not get its share back.
func TestCallerShare(t *testing.T) {
	c := Callers{}
	for range 5 {
		require.True(t, c.HasCapacity("a", 0.5, 10))
		c.Increment("a")
	}
	require.False(t, c.HasCapacity("a", 0.5, 10))
	require.True(t, c.HasCapacity("b", 0.5, 10))
	c.Decrement("a")
	require.True(t, c.HasCapacity("a", 0.5, 10))
	require.True(t, c.HasCapacity("b", 0.01, 10), "a caller may always have one request")
}

// Guards against a limit that permits a standing queue at the targets, and against one that stays low without need.
func TestLimitFollowsQueueingDelay(t *testing.T) {
	l := NewServiceLimit(100)
	now := time.Unix(1, 0)
	adapt := func(queueingDelay time.Duration) {
		now = now.Add(adaptInterval)
		require.True(t, l.AdaptDue(now))
		l.Adapt(queueingDelay, now)
		require.False(t, l.AdaptDue(now))
	}
	for range 20 {
		for l.HasCapacity(model.PriorityNormal) {
			l.Start()
		}
		adapt(0)
	}
	require.Equal(t, 100, l.Limit())
	for range 30 {
		for l.Running() > l.Limit()/2 {
			l.Finish(time.Second, false)
		}
		adapt(toleratedQueueingDelay + 1)
	}
	require.Equal(t, minLimit, l.Limit())
}
