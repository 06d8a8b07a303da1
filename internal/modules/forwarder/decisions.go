package forwarder

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

const (
	// successSample is the number of successful requests of which one is logged.
	successSample = 200
	// failureLines limits the log lines about failed requests in each second, and those about leaves that get no requests
	// for a while.
	failureLines = 50
)

// sampler limits the log lines about requests.
type sampler struct {
	successes uint64
	second    int64
	lines     int
	leftOut   int
}

// allow reports whether a line is to be written, and returns how many lines were left out since the last one.
func (s *sampler) allow(now time.Time, failed bool) (ok bool, leftOut int) {
	if !failed {
		s.successes++
		return s.successes%successSample == 1, 0
	}
	if second := now.Unix(); second != s.second {
		s.second, s.lines = second, 0
	}
	if s.lines++; s.lines > failureLines {
		s.leftOut++
		return false, 0
	}
	leftOut, s.leftOut = s.leftOut, 0
	return true, leftOut
}

// finish counts a response, and logs how the request was answered.
func (m *Module) finish(req *forward.Request, r *runner, response *forward.Response) *forward.Response {
	now := m.now()
	elapsed := now.Sub(req.Received)
	m.metrics.scope.Tagged(map[string]string{"outcome": string(response.Kind)}).Counter("requests").Inc(1)
	m.metrics.latency.RecordDuration(elapsed)
	failed := response.Kind != forward.KindLeaf && response.Kind != forward.KindMerged || response.Missing > 0 ||
		response.Reply != nil && !response.Reply.Succeeded()
	unanswered := response.Kind == forward.KindCallerGone
	if !unanswered {
		response.Undelivered = func(err error) { m.undelivered(req, response, err) }
	}
	m.mu.Lock()
	msg := "request answered"
	if unanswered {
		msg = "request ended without an answer"
	}
	ok, leftOut := m.linesOf(response.Kind).allow(now, failed)
	m.mu.Unlock()
	if !ok {
		return response
	}
	fields := []any{
		"msg", msg, "request", req.ID, "outcome", response.Kind, "reason", response.Reason,
		"took_ms", elapsed.Milliseconds(),
	}
	if !req.Deadline.IsZero() {
		fields = append(fields, "time_left_ms", req.Deadline.Sub(now).Milliseconds())
	}
	fields = append(fields, "host", req.Host, "path", req.Path)
	if req.Customer != nil {
		fields = append(fields, "customer", req.Customer.Name)
	}
	if r != nil {
		answered, parts := r.state.Answered()
		fields = append(fields, "route", r.route.Name, "version", r.version, "parts", parts, "answered", answered, "attempts", r.state.Attempts(), "tried", r.describe(failed))
		if failed && len(r.coldLeaves) > 0 {
			fields = append(fields, "cold_leaves_awaited", fmt.Sprint(r.coldLeaves))
		}
	}
	fields = append(fields, response.Details...)
	if !req.EndBy.IsZero() {
		fields = append(fields, "ends_in_ms", req.EndBy.Sub(now).Milliseconds())
	}
	if leftOut > 0 {
		fields = append(fields, "lines_left_out", leftOut)
	}
	logger := level.Info(m.logger)
	if failed {
		logger = level.Warn(m.logger)
	}
	_ = logger.Log(fields...)
	return response
}

// linesOf returns what limits the log lines about responses of a kind. The caller holds the lock.
func (m *Module) linesOf(kind forward.Kind) *sampler {
	switch kind {
	case forward.KindCallerGone:
		return &m.unansweredLines
	case forward.KindUnauthorized:
		return &m.unauthorizedLines
	case forward.KindOverQuota:
		return &m.overQuotaLines
	}
	return &m.answerLines
}

// undelivered counts and logs a response that could not be written to the caller in full.
func (m *Module) undelivered(req *forward.Request, response *forward.Response, err error) {
	now := m.now()
	m.metrics.undelivered.Inc(1)
	m.mu.Lock()
	ok, leftOut := m.unansweredLines.allow(now, true)
	m.mu.Unlock()
	if !ok {
		return
	}
	fields := []any{
		"msg", "answer not delivered", "request", req.ID, "outcome", response.Kind, "reason", response.Reason, "took_ms", now.Sub(req.Received).Milliseconds(),
		"host", req.Host, "path", req.Path, "err", err,
	}
	if !req.EndBy.IsZero() {
		fields = append(fields, "ends_in_ms", req.EndBy.Sub(now).Milliseconds())
	}
	if leftOut > 0 {
		fields = append(fields, "lines_left_out", leftOut)
	}
	_ = level.Warn(m.logger).Log(fields...)
}

// describe lists the attempts at the parts without a reply if the request failed, and is empty otherwise.
func (r *runner) describe(failed bool) string {
	if !failed {
		return ""
	}
	return r.state.Describe(r.module.now())
}

// logVerdict counts and logs that a leaf gets no requests for a while, why, and which attempt caused it.
func (m *Module) logVerdict(r *runner, leaf *leaves.Member, result *forward.AttemptResult, v forward.Verdict) {
	var msg string
	var duration time.Duration
	switch {
	case v.Leaving:
		m.metrics.leaving.Inc(1)
		msg = "leaf is leaving"
	case v.Paused > 0:
		m.metrics.pauses.Inc(1)
		msg, duration = "leaf asked for a pause", v.Paused
	case v.Ejected > 0:
		msg, duration = "leaf ejected", v.Ejected
	default:
		return
	}
	m.mu.Lock()
	ok, leftOut := m.ejectionLines.allow(m.now(), true)
	m.mu.Unlock()
	if !ok {
		return
	}
	_ = level.Warn(m.logger).Log("msg", msg, "leaf", leaf.ID, "service", leaf.Service, "address", leaf.Address, "sequence", leaf.Sequence, "for_ms", duration.Milliseconds(),
		"request", r.req.ID, "attempt_ms", result.Latency.Milliseconds(), "refused", result.Refused, "err", result.Err, "lines_left_out", leftOut)
}
