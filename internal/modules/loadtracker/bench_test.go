package loadtracker

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// BenchmarkAttempt measures the overhead of the tracker for one attempt: the choice among three targets, the permit and the
// update from the reply.
func BenchmarkAttempt(b *testing.B) {
	clock := &fakeClock{now: time.Now()}
	m := newModule(clock)
	var targets []*model.Target
	for i := range 3 {
		targets = append(targets, target(strconv.Itoa(i), "a"))
	}
	var candidates []kernel.Candidate
	b.ReportAllocs()
	for b.Loop() {
		candidates = m.Candidates(candidates[:0], clock.now, targets)
		p, err := m.Acquire(context.Background(), targets[0], model.PriorityNormal)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(model.Reply{Status: model.ReplyOK, Shard: 1, Elapsed: time.Millisecond})
	}
}
