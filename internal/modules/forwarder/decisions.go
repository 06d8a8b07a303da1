package forwarder

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
)

const (
	// successSample is how many successful requests stand behind one log line.
	successSample = 200
	// failureLines bounds the lines about failed requests, and those about ejected leaves, in each second.
	failureLines = 50
)

// sampler bounds the log lines about requests.
type sampler struct {
	successes uint64
	second    int64
	lines     int
	leftOut   int
}

// allow reports whether a line is written, and how many lines were left out since the last one.
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

// end counts a response, and writes the line that says how the request was decided.
func (m *Module) end(req *forward.Request, r *runner, response *forward.Response) *forward.Response {
	now := m.now()
	took := now.Sub(req.Received)
	m.metrics.scope.Tagged(map[string]string{"outcome": string(response.Kind)}).Counter("requests").Inc(1)
	m.metrics.latency.RecordDuration(took)
	failed := response.Kind != forward.KindLeaf && response.Kind != forward.KindMerged || response.Missing > 0 ||
		response.Reply != nil && !response.Reply.Succeeded()
	m.mu.Lock()
	ok, leftOut := m.samples.allow(now, failed)
	m.mu.Unlock()
	if !ok {
		return response
	}
	fields := []any{
		"msg", "request answered", "request", req.ID, "outcome", response.Kind, "reason", response.Reason,
		"took_ms", took.Milliseconds(), "time_left_ms", req.Deadline.Sub(now).Milliseconds(), "host", req.Host, "path", req.Path,
	}
	if r != nil {
		in, parts := r.run.Answered()
		fields = append(fields, "route", r.route.Name, "version", r.version, "parts", parts, "answered", in, "attempts", r.run.Attempts(), "tried", r.describe(failed))
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

// describe lists the attempts of the parts that have no reply: leaf, age and end.
func (r *runner) describe(failed bool) string {
	if !failed {
		return ""
	}
	return r.run.Describe(r.module.now())
}

// logEjection tells that a leaf gets no requests for a while, and which attempt led to it.
func (m *Module) logEjection(r *runner, l *leaves.Member, end *forward.AttemptResult, d time.Duration) {
	m.mu.Lock()
	ok, leftOut := m.ejections.allow(m.now(), true)
	m.mu.Unlock()
	if !ok {
		return
	}
	_ = level.Warn(m.logger).Log("msg", "leaf ejected", "leaf", l.ID, "service", l.Service, "address", l.Address, "sequence", l.Sequence, "for_ms", d.Milliseconds(),
		"request", r.req.ID, "attempt_ms", end.Latency.Milliseconds(), "refused", end.Refused, "err", end.Err, "lines_left_out", leftOut)
}
