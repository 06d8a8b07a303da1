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

// The histograms cover 1 microsecond to 10 minutes with 3 significant digits.
const (
	histogramMinMicros = 1
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// maxViolations limits the violations whose text is kept.
const maxViolations = 20

// Stream is one kind of request in a load.
type Stream struct {
	Name            string
	Service         model.ServiceName
	Weight          float64
	Priority        string
	MinimumCoverage float64
	TimeoutMS       int64
	BodyBytes       int
}

// Load is an open-loop load: the send times of requests do not depend on the answers.
type Load struct {
	Caller *Caller
	// Pick returns the base URL of the entry VM for the next request.
	Pick func() string
	// Rate is the number of requests per second over all streams.
	Rate     float64
	Duration time.Duration
	Streams  []Stream
	Seed     uint64
	// MaxInFlight limits the requests in flight. A request beyond it is not sent and counts as unsent.
	MaxInFlight int
	// Grace is the time to wait for answers after the last request.
	Grace time.Duration
}

// Report is the result of a load.
type Report struct {
	Streams map[string]*StreamReport
	// Violations holds the text of the first violations, ViolationCount counts all of them.
	Violations     []string
	ViolationCount int
	Elapsed        time.Duration
	// NotRun holds the body checksums of the requests whose outcome was not run or refused.
	NotRun []string
}

// StreamReport counts the requests of one stream.
type StreamReport struct {
	Sent     int
	Outcomes map[model.Outcome]int
	// CutOff counts requests without a complete, readable answer. Unsent counts requests whose dial failed or that
	// were beyond MaxInFlight.
	CutOff, Unsent int
	// Errors counts the requests without a complete or partial answer, by error or by the reason that the answer states.
	Errors map[string]int
	// Answers counts complete and partial answers. CoverageSum is the sum of their coverage, LeastCoverage the lowest.
	CoverageSum   float64
	LeastCoverage float64
	Answers       int
	// FirstAttempts, Hedges, Retries and Dropped are the sums of the numbers that the answers state.
	FirstAttempts int
	Hedges        int
	Retries       int
	Dropped       int
	// Latency is in microseconds from the intended send time. AnsweredLatency holds complete and partial answers only.
	Latency         *hdrhistogram.Histogram
	AnsweredLatency *hdrhistogram.Histogram
}

func newStreamReport() *StreamReport {
	return &StreamReport{
		Outcomes: map[model.Outcome]int{}, Errors: map[string]int{}, LeastCoverage: 1,
		Latency:         hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
		AnsweredLatency: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
	}
}

// Good counts complete and partial answers.
func (s *StreamReport) Good() int {
	return s.Outcomes[model.OutcomeComplete] + s.Outcomes[model.OutcomePartial]
}

// RunningLoad is a load in progress.
type RunningLoad struct {
	load          *Load
	mu            sync.Mutex
	report        *Report
	inFlight      sync.WaitGroup
	inFlightSlots chan struct{}
	random        *rand.Rand
	totalWeight   float64
	requestCount  int
	idPrefix      string
	cancel        context.CancelFunc
	done          chan struct{}
}

// Progress counts the requests of a load so far.
type Progress struct {
	// Sent counts the requests that have ended, with or without an answer.
	Sent int
	// Good counts complete and partial answers.
	Good int
}

// Run sends the load until its duration has passed or ctx is done, waits for the answers, and returns the report.
func (l *Load) Run(ctx context.Context) *Report {
	r := l.Start(ctx)
	<-r.done
	return r.report
}

// Start starts the load on its own goroutines.
func (l *Load) Start(ctx context.Context) *RunningLoad {
	r := &RunningLoad{load: l, report: &Report{Streams: map[string]*StreamReport{}}, random: rand.New(rand.NewPCG(l.Seed, 1)), done: make(chan struct{})}
	r.idPrefix = fmt.Sprintf("load-%d-%d", l.Seed, time.Now().UnixNano())
	r.inFlightSlots = make(chan struct{}, max(1, l.MaxInFlight))
	for _, s := range l.Streams {
		r.totalWeight += s.Weight
		r.report.Streams[s.Name] = newStreamReport()
	}
	ctx, r.cancel = context.WithCancel(ctx)
	go r.run(ctx)
	return r
}

// Stop ends the load, waits for the answers, and returns the report.
func (r *RunningLoad) Stop() *Report {
	r.cancel()
	<-r.done
	return r.report
}

// Progress returns the current progress of the load.
func (r *RunningLoad) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var p Progress
	for _, s := range r.report.Streams {
		p.Sent += s.Sent
		p.Good += s.Good()
	}
	return p
}

func (r *RunningLoad) run(ctx context.Context) {
	defer close(r.done)
	// Answers that arrive after the load was stopped still count.
	answerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	start := time.Now()
	r.sendRequests(ctx, answerCtx, start)
	grace := time.AfterFunc(r.load.Grace, cancel)
	defer grace.Stop()
	r.inFlight.Wait()
	r.report.Elapsed = time.Since(start)
}

// sendRequests starts requests at the times of a Poisson process.
func (r *RunningLoad) sendRequests(ctx, answerCtx context.Context, start time.Time) {
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
		r.startRequest(answerCtx, r.chooseStream(), intended)
	}
}

func (r *RunningLoad) chooseStream() *Stream {
	remainingWeight := r.random.Float64() * r.totalWeight
	for i := range r.load.Streams {
		s := &r.load.Streams[i]
		if remainingWeight -= s.Weight; remainingWeight < 0 {
			return s
		}
	}
	return &r.load.Streams[len(r.load.Streams)-1]
}

// startRequest sends one request on its own goroutine.
func (r *RunningLoad) startRequest(ctx context.Context, s *Stream, intended time.Time) {
	r.requestCount++
	id := fmt.Sprintf("%s-%d", r.idPrefix, r.requestCount)
	body := make([]byte, 0, max(len(id), s.BodyBytes))
	body = append(body, id...)
	for len(body) < s.BodyBytes {
		body = append(body, '.')
	}
	req := &Request{
		ID: id, Service: s.Service, Body: body, Priority: s.Priority, MinimumCoverage: s.MinimumCoverage,
		TimeoutMS: s.TimeoutMS, Caller: fmt.Sprintf("caller-%d", r.requestCount%16),
	}
	select {
	case r.inFlightSlots <- struct{}{}:
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
		<-r.inFlightSlots
		r.record(s, func(out *StreamReport) { r.recordResult(out, req, &result, latency) })
	}()
}

// record calls fn with the report of a stream while it holds the lock.
func (r *RunningLoad) record(s *Stream, fn func(out *StreamReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.report.Streams[s.Name])
}

// recordResult adds one result to the report. The caller holds the lock.
func (r *RunningLoad) recordResult(out *StreamReport, req *Request, result *Result, latency time.Duration) {
	out.Sent++
	_ = out.Latency.RecordValue(latency.Microseconds()) // Deadlines keep latencies within the range.
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
	out.FirstAttempts += a.Stats.First
	out.Hedges += a.Stats.Hedges
	out.Retries += a.Stats.Retries
	out.Dropped += a.Stats.Dropped
	switch outcome {
	case model.OutcomeComplete, model.OutcomePartial:
		_ = out.AnsweredLatency.RecordValue(latency.Microseconds()) // Deadlines keep latencies within the range.
		out.Answers++
		out.CoverageSum += a.Coverage
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

// Total returns the sum of all streams.
func (r *Report) Total() *StreamReport {
	return r.Sum(func(string) bool { return true })
}

// Sum returns the sum of the streams whose name matches want.
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
		out.CoverageSum += s.CoverageSum
		out.FirstAttempts += s.FirstAttempts
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
		out.AnsweredLatency.Merge(s.AnsweredLatency)
	}
	return out
}
