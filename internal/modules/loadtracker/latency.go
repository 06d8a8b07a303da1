package loadtracker

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const (
	// windowLength is how long a histogram collects samples before it is replaced. Quantiles come from the current and the
	// previous histogram.
	windowLength = 5 * time.Second
	// minSamples is how many latencies any quantile needs, and minBeyond how many have to lie beyond it. With two
	// of 45 latencies beyond the 0.95 quantile, one straggler more or less moves it from 40 to 200 ms.
	minSamples = 20
	minBeyond  = 10
	// maxLatency is the largest latency in microseconds that is recorded; greater ones count as this value. One
	// significant digit keeps the histogram of a shard at a few kilobytes, so that 1,100 shards fit; the histogram of a
	// service has two digits.
	maxLatency    = int64(time.Minute / time.Microsecond)
	shardDigits   = 1
	serviceDigits = 2
)

// serviceLatency holds the recent latencies of a service, by shard.
type serviceLatency struct {
	sheds  shedWindow
	mu     sync.RWMutex
	shards map[model.ShardID]*latencyWindow
	// all holds the latencies of all shards, for shards that have too few samples of their own.
	all      *latencyWindow
	queueing queueingWindow
}

// queueingWindow holds the longest queueing delay of a standing queue at any target of the service. Every query needs every
// shard, so the most loaded target determines the latency.
type queueingWindow struct {
	mu                sync.Mutex
	started           time.Time
	current, previous time.Duration
}

// queueingWindowLength is long enough for each busy target to report once.
const queueingWindowLength = 200 * time.Millisecond

func (s *serviceLatency) observeQueueingDelay(d time.Duration, now time.Time) {
	s.queueing.mu.Lock()
	defer s.queueing.mu.Unlock()
	s.queueing.rotate(now)
	s.queueing.current = max(s.queueing.current, d)
}

func (s *serviceLatency) queueingDelay(now time.Time) time.Duration {
	s.queueing.mu.Lock()
	defer s.queueing.mu.Unlock()
	s.queueing.rotate(now)
	return max(s.queueing.current, s.queueing.previous)
}

func (w *queueingWindow) rotate(now time.Time) {
	switch age := now.Sub(w.started); {
	case age < queueingWindowLength:
		return
	case age < 2*queueingWindowLength:
		w.previous = w.current
	default:
		w.previous = 0
	}
	w.current, w.started = 0, now
}

func newServiceLatency() *serviceLatency {
	return &serviceLatency{shards: map[model.ShardID]*latencyWindow{}, all: newLatencyWindow(serviceDigits)}
}

// shedWindow counts the replies and the shed attempts of a service.
type shedWindow struct {
	mu             sync.Mutex
	started        time.Time
	replies, sheds int
	shedding       bool
}

const (
	shedWindowLength = 500 * time.Millisecond
	// A service counts as shedding load while at least shedCount attempts, and more than the share shedShare of all, are shed.
	// The concurrency limit of a target occasionally grows until the target sheds, so single shed attempts are no evidence.
	shedShare = 0.02
	shedCount = 3
)

func (w *shedWindow) observe(shed bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	w.replies++
	if shed {
		w.sheds++
	}
	w.shedding = w.shedding || w.tooMany()
}

func (w *shedWindow) tooMany() bool {
	return w.sheds >= shedCount && float64(w.sheds) > shedShare*float64(w.replies)
}

func (w *shedWindow) rotate(now time.Time) {
	if age := now.Sub(w.started); age >= shedWindowLength {
		w.shedding = age < 2*shedWindowLength && w.tooMany()
		w.started, w.replies, w.sheds = now, 0, 0
	}
}

func (w *shedWindow) isShedding(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	return w.shedding
}

// observe records the result of an attempt. An attempt that was cancelled after it had taken longer than the last quantile
// counts with the time until then: it is a straggler that was slower than its hedge, and without such attempts the quantile
// would fall until most hedges are spent on ordinary attempts.
func (s *serviceLatency) observe(r model.Reply, latency time.Duration, now time.Time) {
	s.sheds.observe(r.Status == model.ReplyShed, now)
	w := s.shardWindow(r.Shard)
	if r.Status == model.ReplyOK || r.Cancelled && (w.exceeds(latency) || s.all.exceeds(latency)) {
		w.observe(latency, now)
		s.all.observe(latency, now)
	}
}

func (s *serviceLatency) shardWindow(id model.ShardID) *latencyWindow {
	s.mu.RLock()
	w := s.shards[id]
	s.mu.RUnlock()
	if w != nil {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards[id] == nil {
		s.shards[id] = newLatencyWindow(shardDigits)
	}
	return s.shards[id]
}

// quantile returns a quantile of the shard's latencies, or of the latencies of the whole service while the shard has
// too few.
func (s *serviceLatency) quantile(id model.ShardID, q float64, now time.Time) time.Duration {
	if d := s.shardWindow(id).quantile(q, int(minBeyond/(1-q)), now); d > 0 {
		return d
	}
	return s.all.quantile(q, minSamples, now)
}

// latencyWindow holds the latencies of the current and the previous window, each of which is windowLength long.
type latencyWindow struct {
	mu       sync.Mutex
	digits   int
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	started  time.Time
	// cached is the last computed quantile. It is reused for cacheTime, since merging histograms for each attempt is costly.
	cached         time.Duration
	cachedQuantile float64
	cachedAt       time.Time
}

// cacheTime is how long a computed quantile is used.
const cacheTime = 100 * time.Millisecond

func newLatencyWindow(digits int) *latencyWindow {
	return &latencyWindow{digits: digits, current: newHistogram(digits), previous: newHistogram(digits)}
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, digits)
}

func (w *latencyWindow) observe(d time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	_ = w.current.RecordValue(min(max(d.Microseconds(), 1), maxLatency)) // The value is within the range.
}

func (w *latencyWindow) rotate(now time.Time) {
	switch age := now.Sub(w.started); {
	case age < windowLength:
		return
	case age < 2*windowLength:
		w.previous, w.current = w.current, w.previous
	default:
		w.previous.Reset()
	}
	w.current.Reset()
	w.started = now
}

// exceeds reports whether a latency is above the last quantile that was requested.
func (w *latencyWindow) exceeds(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cached > 0 && d > w.cached
}

// quantile returns a quantile of the latencies, or 0 when there are too few of them.
func (w *latencyWindow) quantile(q float64, minCount int, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cachedQuantile == q && now.Sub(w.cachedAt) < cacheTime {
		return w.cached
	}
	w.rotate(now)
	w.cached, w.cachedQuantile, w.cachedAt = w.compute(q, minCount), q, now
	return w.cached
}

func (w *latencyWindow) compute(q float64, minCount int) time.Duration {
	if w.current.TotalCount()+w.previous.TotalCount() < int64(max(minCount, minSamples)) {
		return 0
	}
	merged := newHistogram(w.digits)
	merged.Merge(w.current)
	merged.Merge(w.previous)
	return time.Duration(merged.ValueAtQuantile(q*100)) * time.Microsecond
}
