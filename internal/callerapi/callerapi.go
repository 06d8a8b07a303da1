// Package callerapi defines the HTTP protocol between callers and entry VMs.
package callerapi

import (
	"net/http"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// The paths of the protocol.
const (
	PathQuery  = "/v1/query/:service"
	PathOrder  = "/v1/orders/:service/:key"
	PathReady  = "/ready"
	PathHealth = "/health"
)

// The headers of requests.
const (
	HeaderTimeoutMS       = "Chestnuttiller-Timeout-Ms"
	HeaderMinimumCoverage = "Chestnuttiller-Minimum-Coverage"
	HeaderPriority        = "Chestnuttiller-Priority"
	HeaderCaller          = "Chestnuttiller-Caller"
	HeaderOrderKey        = "Chestnuttiller-Order-Key"
	HeaderRequestID       = "Chestnuttiller-Request-Id"
)

// The headers of answers, in addition to HeaderRequestID.
const (
	HeaderOutcome  = "Chestnuttiller-Outcome"
	HeaderCoverage = "Chestnuttiller-Coverage"
	HeaderSnapshot = "Chestnuttiller-Snapshot"
)

// Answer is the JSON body of every answer.
type Answer struct {
	RequestID  string   `json:"request_id"`
	Outcome    string   `json:"outcome"`
	Coverage   float64  `json:"coverage"`
	Snapshot   string   `json:"snapshot,omitempty"`
	Missing    []uint32 `json:"missing,omitempty"`
	Parts      []Part   `json:"parts,omitempty"`
	Reason     string   `json:"reason,omitempty"`
	Remedy     string   `json:"remedy,omitempty"`
	RetryAfter int64    `json:"retry_after_ms,omitempty"`
	Stats      Stats    `json:"stats"`
}

// Part is the answer of one shard. Its body is base64 in JSON.
type Part struct {
	Shard    uint32  `json:"shard"`
	Coverage float64 `json:"coverage"`
	Body     []byte  `json:"body"`
}

// Stats counts the attempts behind an answer.
type Stats struct {
	First   int `json:"first"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
	Dropped int `json:"dropped"`
}

// Encode returns the JSON form of an answer.
func Encode(a *model.Answer) Answer {
	out := Answer{
		RequestID: a.RequestID, Outcome: string(a.Outcome), Coverage: a.Coverage, Reason: a.Reason, Remedy: a.Remedy,
		RetryAfter: a.RetryAfter.Milliseconds(), Stats: Stats(a.Stats),
	}
	if a.Snapshot != (model.Snapshot{}) {
		out.Snapshot = a.Snapshot.String()
	}
	for _, s := range a.Missing {
		out.Missing = append(out.Missing, uint32(s))
	}
	for _, p := range a.Parts {
		out.Parts = append(out.Parts, Part{Shard: uint32(p.Shard), Coverage: p.Coverage, Body: p.Body})
	}
	return out
}

// Decode converts the JSON form to an answer.
func Decode(in Answer) (model.Answer, error) {
	a := model.Answer{
		RequestID: in.RequestID, Outcome: model.Outcome(in.Outcome), Coverage: in.Coverage, Reason: in.Reason, Remedy: in.Remedy,
		RetryAfter: time.Duration(in.RetryAfter) * time.Millisecond, Stats: model.AnswerStats(in.Stats),
	}
	if in.Snapshot != "" {
		s, err := model.ParseSnapshot(in.Snapshot)
		if err != nil {
			return a, err
		}
		a.Snapshot = s
	}
	for _, s := range in.Missing {
		a.Missing = append(a.Missing, model.ShardID(s))
	}
	for _, p := range in.Parts {
		a.Parts = append(a.Parts, model.Part{Shard: model.ShardID(p.Shard), Coverage: p.Coverage, Body: p.Body})
	}
	return a, nil
}

// StatusOf returns the HTTP status of an outcome. A partial answer is 200 and not 206, which means byte ranges.
func StatusOf(o model.Outcome) int {
	switch o {
	case model.OutcomeComplete, model.OutcomePartial:
		return http.StatusOK
	case model.OutcomeRefused:
		return http.StatusTooManyRequests
	case model.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case model.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
