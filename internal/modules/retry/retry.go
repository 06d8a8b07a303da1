// Package retry contains the modules retry.none and retry.budget, the policies that decide whether a failed attempt
// is followed by another one. The executor keeps the budget itself, one for each service.
package retry

import (
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

const (
	// maxRetries is the limit on the retries of one shard, so that a shard that always fails ends before the
	// deadline.
	maxRetries = 4
	// sameTargetDelay is the delay before a target that has just failed is tried again, doubled with each retry.
	// Without it a target that sheds load would get the load back immediately.
	sameTargetDelay = 5 * time.Millisecond
	// minRemaining is the least remaining time in which a reply can be expected at all.
	minRemaining = time.Millisecond
)

func init() {
	register("retry.none", func() kernel.Module { return none{} })
	register("retry.budget", func() kernel.Module { return budget{} })
}

func register(id kernel.ModuleID, create func() kernel.Module) {
	kernel.Register(kernel.ModuleInfo{
		ID:       id,
		New:      create,
		Provides: []kernel.Capability{kernel.CapRetryPolicy},
		Enabled:  kernel.ForQueries(settings.RoleEntry),
	})
}

// none never retries.
type none struct{}

// Retry implements kernel.RetryPolicy.
func (none) Retry(kernel.RetryInput) (time.Duration, bool) { return 0, false }

// budget retries an attempt that may be sent again if a reply can still arrive in time.
type budget struct{}

// Retry implements kernel.RetryPolicy.
func (budget) Retry(in kernel.RetryInput) (time.Duration, bool) {
	if in.Retries >= maxRetries || !retryable(in) {
		return 0, false
	}
	var delay time.Duration
	if in.Candidates == 0 {
		if in.Status == model.ReplyNotRun || in.Status == model.ReplyNoSnapshot {
			// The only target is leaving or has dropped the snapshot, and would reply the same again.
			return 0, false
		}
		delay = sameTargetDelay << in.Retries
	}
	return delay, in.Remaining-delay >= max(in.ExpectedLatency, minRemaining)
}

// retryable reports whether the status allows the request to be sent again. A timeout is retried only while time is
// left, which is so for an attempt that is still unanswered after half of its time.
func retryable(in kernel.RetryInput) bool {
	if in.Status.DidNotRun() {
		return true
	}
	switch in.Status {
	case model.ReplyMismatch, model.ReplyTruncated, model.ReplyFailed, model.ReplyTimeout:
		return in.Service.Idempotent
	}
	return false
}
