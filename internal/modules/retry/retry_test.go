package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// Guards against retries that could run an order twice, that cannot be answered in time, or that go to the
// only target again immediately.
func TestRetry(t *testing.T) {
	for name, c := range map[string]struct {
		status     model.ReplyStatus
		order      bool
		retries    int
		remaining  time.Duration
		candidates int
		ok         bool
		delay      time.Duration
	}{
		"shed":                       {status: model.ReplyShed, candidates: 1, ok: true},
		"order shed":                 {status: model.ReplyShed, order: true, candidates: 1, ok: true},
		"failed":                     {status: model.ReplyFailed, candidates: 1, ok: true},
		"order failed":               {status: model.ReplyFailed, order: true, candidates: 1},
		"order mismatch":             {status: model.ReplyMismatch, order: true, candidates: 1},
		"order truncated":            {status: model.ReplyTruncated, order: true, candidates: 1},
		"timeout with time left":     {status: model.ReplyTimeout, candidates: 1, ok: true},
		"timeout at the deadline":    {status: model.ReplyTimeout, candidates: 1, remaining: 10 * time.Millisecond},
		"order timeout":              {status: model.ReplyTimeout, order: true, candidates: 1},
		"too late":                   {status: model.ReplyShed, candidates: 1, remaining: 10 * time.Millisecond},
		"same target":                {status: model.ReplyFailed, ok: true, delay: 5 * time.Millisecond},
		"same target again":          {status: model.ReplyFailed, retries: 2, ok: true, delay: 20 * time.Millisecond},
		"only target is leaving":     {status: model.ReplyNotRun},
		"only target dropped it":     {status: model.ReplyNoSnapshot},
		"another target has it":      {status: model.ReplyNoSnapshot, candidates: 1, ok: true},
		"too many retries":           {status: model.ReplyShed, candidates: 1, retries: 4},
		"no time left for the delay": {status: model.ReplyFailed, remaining: 24 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			in := kernel.RetryInput{Service: &model.ServiceConfig{Idempotent: !c.order}, Status: c.status, Retries: c.retries,
				Remaining: time.Second, ExpectedLatency: 20 * time.Millisecond, Candidates: c.candidates}
			if c.remaining > 0 {
				in.Remaining = c.remaining
			}
			delay, ok := budget{}.Retry(in)
			require.Equal(t, c.ok, ok)
			if ok {
				require.Equal(t, c.delay, delay)
			}
			_, ok = none{}.Retry(in)
			require.False(t, ok)
		})
	}
}
