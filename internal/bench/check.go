// Package bench generates load, checks every answer from the caller's side, and measures latency and goodput. The demo
// and the integration tests use it.
package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/chestnuttiller/chestnuttiller/internal/callerapi"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/standin"
)

// coverageTolerance allows for the rounding of sums of shares.
const coverageTolerance = 1e-6

// LayoutSource returns the layout of a service by number, or nil. The layouts must not come from the system under test,
// so that the check is independent of it.
type LayoutSource func(s model.ServiceName, n model.LayoutNumber) *model.Layout

// Request is one request as the caller sent it.
type Request struct {
	ID              string
	Service         model.ServiceName
	Body            []byte
	MinimumCoverage float64
	Priority        string
	TimeoutMS       int64
	OrderKey        string
	// Caller is the name of the caller, to which caller limits apply.
	Caller string
}

// CheckAnswer returns the violations of an answer. It checks that the answer is complete and consistent, belongs to this
// request, is drawn from one snapshot and states its true coverage.
func CheckAnswer(req *Request, status int, h http.Header, a *callerapi.Answer, layouts LayoutSource) []string {
	c := answerChecker{req: req, answer: a}
	c.checkEnvelope(status, h)
	if a.Outcome == string(model.OutcomeComplete) || a.Outcome == string(model.OutcomePartial) {
		c.checkParts(layouts)
	} else if len(a.Parts) > 0 {
		c.addViolation("outcome %s carries %d parts", a.Outcome, len(a.Parts))
	}
	return c.violations
}

type answerChecker struct {
	req        *Request
	answer     *callerapi.Answer
	violations []string
}

func (c *answerChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("request %s: ", c.req.ID)+fmt.Sprintf(format, args...))
}

// checkEnvelope checks that status, headers and body are consistent.
func (c *answerChecker) checkEnvelope(status int, h http.Header) {
	a := c.answer
	if a.RequestID != c.req.ID {
		c.addViolation("the answer is for request %q", a.RequestID)
	}
	if got := h.Get(callerapi.HeaderOutcome); got != a.Outcome {
		c.addViolation("outcome is %q in the header and %q in the body", got, a.Outcome)
	}
	if !slices.Contains(allowedStatuses(model.Outcome(a.Outcome)), status) {
		c.addViolation("outcome %q has status %d", a.Outcome, status)
	}
	if a.Outcome != string(model.OutcomeComplete) && a.Reason == "" {
		c.addViolation("outcome %q has no reason", a.Outcome)
	}
	if a.Outcome == string(model.OutcomePartial) {
		got, err := strconv.ParseFloat(h.Get(callerapi.HeaderCoverage), 64)
		if err != nil || math.Abs(got-a.Coverage) > 1e-3 {
			c.addViolation("partial answer has coverage %q in its header and %v in its body", h.Get(callerapi.HeaderCoverage), a.Coverage)
		}
	}
}

// allowedStatuses returns the statuses that docs/caller-protocol.md allows for an outcome.
func allowedStatuses(o model.Outcome) []int {
	switch o {
	case model.OutcomeComplete, model.OutcomePartial:
		return []int{http.StatusOK}
	case model.OutcomeNotRun:
		return []int{http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge}
	case model.OutcomeRefused:
		return []int{http.StatusTooManyRequests}
	case model.OutcomeFailed:
		return []int{http.StatusBadGateway, http.StatusGatewayTimeout}
	case model.OutcomeUnknown:
		return []int{http.StatusGatewayTimeout}
	}
	return nil
}

// checkParts checks the parts against the request, the snapshot and the layout.
func (c *answerChecker) checkParts(layouts LayoutSource) {
	snapshot, err := model.ParseSnapshot(c.answer.Snapshot)
	if err != nil {
		c.addViolation("%v", err)
		return
	}
	layout := layouts(c.req.Service, snapshot.Layout)
	if layout == nil {
		c.addViolation("snapshot %s has an unknown layout", snapshot)
		return
	}
	parts := map[uint32]float64{}
	for _, p := range c.answer.Parts {
		if _, ok := parts[p.Shard]; ok {
			c.addViolation("shard %d has more than one part", p.Shard)
		}
		parts[p.Shard] = p.Coverage
		c.checkPart(p)
	}
	coverage := 0.0
	for _, s := range layout.Shards {
		partCoverage, ok := parts[uint32(s.ID)]
		coverage += s.Share * partCoverage
		if missing := slices.Contains(c.answer.Missing, uint32(s.ID)); missing == (ok && partCoverage == 1) {
			c.addViolation("shard %d: listed as missing: %v, coverage of its part: %v", s.ID, missing, partCoverage)
		}
		delete(parts, uint32(s.ID))
	}
	for s := range parts {
		c.addViolation("shard %d is not in layout %d", s, layout.Number)
	}
	c.checkCoverage(coverage)
}

// checkCoverage checks the stated coverage against the coverage computed from the parts.
func (c *answerChecker) checkCoverage(coverage float64) {
	a := c.answer
	if math.Abs(coverage-a.Coverage) > coverageTolerance {
		c.addViolation("stated coverage is %v, but the parts cover %v", a.Coverage, coverage)
	}
	complete := coverage > 1-coverageTolerance
	if complete != (a.Outcome == string(model.OutcomeComplete)) {
		c.addViolation("outcome %q has coverage %v", a.Outcome, coverage)
	}
	if coverage < c.req.MinimumCoverage-coverageTolerance {
		c.addViolation("coverage %v is below the minimum %v that the caller requested", coverage, c.req.MinimumCoverage)
	}
}

func (c *answerChecker) checkPart(p callerapi.Part) {
	var body standin.Payload
	if err := json.Unmarshal(p.Body, &body); err != nil {
		c.addViolation("part of shard %d cannot be decoded: %v", p.Shard, err)
		return
	}
	if uint32(body.Shard) != p.Shard || body.Service != c.req.Service || body.Order != c.req.OrderKey {
		c.addViolation("part of shard %d is from shard %d of %s for order %q", p.Shard, body.Shard, body.Service, body.Order)
	}
	if body.Snapshot != c.answer.Snapshot {
		c.addViolation("part of shard %d is from snapshot %s, the answer from %s", p.Shard, body.Snapshot, c.answer.Snapshot)
	}
	if body.Request != standin.RequestChecksum(c.req.Body) {
		c.addViolation("part of shard %d answers another request", p.Shard)
	}
}
