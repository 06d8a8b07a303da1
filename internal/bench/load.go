package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// histogram bounds: 1 microsecond to 10 minutes with 3 significant digits.
const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// maxViolations bounds how many violations are kept as text.
const maxViolations = 20

// Stream is a part of the load: requests of one kind.
type Stream struct {
	Name            string
	Service         model.ServiceName
	Weight          float64
	Priority        string
	MinimumCoverage float64
	TimeoutMS       int64
	BodyBytes       int
}

// Load is an open-loop load: requests are sent at times that do not depend on answers.
type Load struct {
	Caller *Caller
	// Pick returns the base URL of the entry VM for the next request.
	Pick func() string
	// Rate is requests per second over all streams.
	Rate     float64
	Duration time.Duration
	Streams  []Stream
	Seed     uint64
	// MaxInFlight bounds requests without an answer. Beyond it a request is counted as unsent.
	MaxInFlight int
	// Grace is how long answers are waited for after the last request.
	Grace time.Duration
}

// Report is the result of a load.
type Report struct {
	Streams map[string]*StreamReport
	// Violations holds the first violations, ViolationCount counts all.
	Violations     []string
	ViolationCount int
	Elapsed        time.Duration
	// NotRun holds the body checksums of requests that the caller was told were not run.
	NotRun []string
}

// StreamReport counts the requests of one stream.
type StreamReport struct {
	Sent     int
	Outcomes map[model.Outcome]int
	// CutOff counts requests that got no whole answer, and Unsent those that found no connection or were beyond
	// MaxInFlight.
	CutOff, Unsent int
	Errors         map[string]int
	// Coverage sums the coverage of answers; LeastCoverage is the least one.
	Coverage      float64
	LeastCoverage float64
	Answers       int
	First         int
	Hedges        int
	Retries       int
	Dropped       int
	// Latency is in microseconds from the intended send time. Answered holds complete and partial answers only.
	Latency  *hdrhistogram.Histogram
	Answered *hdrhistogram.Histogram
}

func newStreamReport() *StreamReport {
	return &StreamReport{
		Outcomes: map[model.Outcome]int{}, Errors: map[string]int{}, LeastCoverage: 1,
		Latency:  hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		Answered: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
	}
}

// Good counts complete and partial answers.
func (s *StreamReport) Good() int {
	return s.Outcomes[model.OutcomeComplete] + s.Outcomes[model.OutcomePartial]
}

// Running is a load in progress.
type Running struct {
	load     *Load
	mu       sync.Mutex
	report   *Report
	inFlight sync.WaitGroup
	slots    chan struct{}
	random   *rand.Rand
	weights  float64
	number   int
	prefix   string
	stop     context.CancelFunc
	done     chan struct{}
}

// Progress says how far a load has come.
type Progress struct {
	Sent int
	// Good counts complete and partial answers.
	Good int
}

// Run sends the load until its duration has passed or ctx ends, waits for the answers, and reports.
func (l *Load) Run(ctx context.Context) *Report {
	r := l.Start(ctx)
	<-r.done
	return r.report
}

// Start starts the load on goroutines of its own.
func (l *Load) Start(ctx context.Context) *Running {
	r := &Running{load: l, report: &Report{Streams: map[string]*StreamReport{}}, random: rand.New(rand.NewPCG(l.Seed, 1)), done: make(chan struct{})}
	r.prefix = fmt.Sprintf("load-%d-%d", l.Seed, time.Now().UnixNano())
	r.slots = make(chan struct{}, max(1, l.MaxInFlight))
	for _, s := range l.Streams {
		r.weights += s.Weight
		r.report.Streams[s.Name] = newStreamReport()
	}
	ctx, r.stop = context.WithCancel(ctx)
	go r.run(ctx)
	return r
}

// Stop ends the load, waits for the answers, and reports.
func (r *Running) Stop() *Report {
	r.stop()
	<-r.done
	return r.report
}

// Progress returns how far the load has come.
func (r *Running) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var p Progress
	for _, s := range r.report.Streams {
		p.Sent += s.Sent
		p.Good += s.Good()
	}
	return p
}

func (r *Running) run(ctx context.Context) {
	defer close(r.done)
	// Answers that come after the load was stopped still count.
	answers, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	start := time.Now()
	r.send(ctx, answers, start)
	grace := time.AfterFunc(r.load.Grace, cancel)
	defer grace.Stop()
	r.inFlight.Wait()
	r.report.Elapsed = time.Since(start)
}

// send starts requests at the times of a Poisson process.
func (r *Running) send(ctx, answers context.Context, start time.Time) {
	intended := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		intended = intended.Add(time.Duration(r.random.ExpFloat64() / r.load.Rate * float64(time.Second)))
		if intended.Sub(start) > r.load.Duration {
			return
		}
		if wait := time.Until(intended); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		r.start(answers, r.choose(), intended)
	}
}

func (r *Running) choose() *Stream {
	x := r.random.Float64() * r.weights
	for i := range r.load.Streams {
		s := &r.load.Streams[i]
		if x -= s.Weight; x < 0 {
			return s
		}
	}
	return &r.load.Streams[len(r.load.Streams)-1]
}

// start sends one request on its own goroutine.
func (r *Running) start(ctx context.Context, s *Stream, intended time.Time) {
	r.number++
	id := fmt.Sprintf("%s-%d", r.prefix, r.number)
	body := make([]byte, 0, max(len(id), s.BodyBytes))
	body = append(body, id...)
	for len(body) < s.BodyBytes {
		body = append(body, '.')
	}
	req := &Request{
		ID: id, Service: s.Service, Body: body, Priority: s.Priority, MinimumCoverage: s.MinimumCoverage,
		TimeoutMS: s.TimeoutMS, Caller: fmt.Sprintf("caller-%d", r.number%16),
	}
	select {
	case r.slots <- struct{}{}:
	default:
		r.record(s, func(out *StreamReport) { out.Sent++; out.Unsent++; out.Errors["too many requests in flight"]++ })
		return
	}
	base := r.load.Pick()
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		result := r.load.Caller.Do(ctx, base, req)
		latency := time.Since(intended)
		<-r.slots
		r.record(s, func(out *StreamReport) { r.count(out, req, &result, latency) })
	}()
}

func (r *Running) record(s *Stream, fn func(out *StreamReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.report.Streams[s.Name])
}

// count adds one result. The lock is held.
func (r *Running) count(out *StreamReport, req *Request, result *Result, latency time.Duration) {
	out.Sent++
	_ = out.Latency.RecordValue(latency.Microseconds()) // Latencies are bounded by the deadlines.
	if result.Err != nil {
		if result.Unsent {
			out.Unsent++
		} else {
			out.CutOff++
		}
		out.Errors[result.Err.Error()]++
		return
	}
	a := &result.Answer
	outcome := model.Outcome(a.Outcome)
	out.Outcomes[outcome]++
	out.First += a.Stats.First
	out.Hedges += a.Stats.Hedges
	out.Retries += a.Stats.Retries
	out.Dropped += a.Stats.Dropped
	switch outcome {
	case model.OutcomeComplete, model.OutcomePartial:
		_ = out.Answered.RecordValue(latency.Microseconds()) // Latencies are bounded by the deadlines.
		out.Answers++
		out.Coverage += a.Coverage
		out.LeastCoverage = min(out.LeastCoverage, a.Coverage)
	case model.OutcomeNotRun, model.OutcomeRefused:
		r.report.NotRun = append(r.report.NotRun, standin.RequestChecksum(req.Body))
		out.Errors[a.Reason]++
	default:
		out.Errors[a.Reason]++
	}
	for _, v := range result.Violations {
		r.report.ViolationCount++
		if len(r.report.Violations) < maxViolations {
			r.report.Violations = append(r.report.Violations, v)
		}
	}
}

// Total adds up the streams.
func (r *Report) Total() *StreamReport {
	return r.Sum(func(string) bool { return true })
}

// Sum adds up the streams whose names are wanted.
func (r *Report) Sum(want func(name string) bool) *StreamReport {
	out := newStreamReport()
	for name, s := range r.Streams {
		if !want(name) {
			continue
		}
		out.Sent += s.Sent
		out.CutOff += s.CutOff
		out.Unsent += s.Unsent
		out.Answers += s.Answers
		out.Coverage += s.Coverage
		out.First += s.First
		out.Hedges += s.Hedges
		out.Retries += s.Retries
		out.Dropped += s.Dropped
		out.LeastCoverage = min(out.LeastCoverage, s.LeastCoverage)
		for k, v := range s.Outcomes {
			out.Outcomes[k] += v
		}
		for k, v := range s.Errors {
			out.Errors[k] += v
		}
		out.Latency.Merge(s.Latency)
		out.Answered.Merge(s.Answered)
	}
	return out
}
