package forwarder

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
)

// publishCustomers puts a table with the customers into force.
func publishCustomers(t *testing.T, m *Module, list ...routes.Customer) {
	v := m.control.View()
	built, err := routes.Build(&routes.Table{Version: v.Routes.Version + 1, Routes: v.Routes.Routes, Services: v.Routes.Services, Customers: list})
	require.NoError(t, err)
	m.control.SetTestView(&kernel.View{Routes: built, Leaves: v.Leaves})
}

func customer(name string, quota routes.Quota, keys ...string) routes.Customer {
	c := routes.Customer{Name: name, Quota: quota}
	for _, k := range keys {
		c.Keys = append(c.Keys, routes.DigestKey(k))
	}
	return c
}

func (m *Module) forwardWithKeys(ctx context.Context, keys ...string) (*forward.Request, *forward.Response) {
	now := time.Now()
	req := &forward.Request{ID: "x", Host: "h", Path: "/", Keys: keys, Received: now, Deadline: now.Add(time.Second)}
	return req, m.Forward(ctx, req)
}

// Guards against a key that is accepted after it was removed, or refused after it was added, and against a 401 of a VM that has no table yet.
func TestKeysOfTheTableInForceCount(t *testing.T) {
	m, _ := newPartitionModule(t)
	kind := func(keys ...string) forward.Kind {
		_, r := m.forwardWithKeys(context.Background(), keys...)
		return r.Kind
	}
	req, _ := m.forwardWithKeys(context.Background(), "key-1")
	require.False(t, req.HasCustomers)
	publishCustomers(t, m, customer("one", routes.Quota{}, "key-1", "key-2"))
	require.Equal(t, forward.KindMerged, kind("key-1"))
	require.Equal(t, forward.KindUnauthorized, kind("key-3"))
	require.Equal(t, forward.KindUnauthorized, kind())
	publishCustomers(t, m, customer("one", routes.Quota{}, "key-2"), customer("two", routes.Quota{}, "key-3"))
	require.Equal(t, forward.KindUnauthorized, kind("key-1"))
	require.Equal(t, forward.KindMerged, kind("key-2"))
	req, _ = m.forwardWithKeys(context.Background(), "key-3")
	require.True(t, req.HasCustomers)
	require.Equal(t, "two", req.Customer.Name)
	m.control.View().Routes.Routes[0].Public = true
	req, r := m.forwardWithKeys(context.Background(), "key-1")
	require.Equal(t, forward.KindMerged, r.Kind)
	require.True(t, req.HasCustomers, "the key must not reach a leaf")
	require.Nil(t, req.Customer)
	m.control.SetTestView(&kernel.View{})
	require.Equal(t, forward.KindNotReady, kind())
}

// fakeAllowances grants as many units as it has.
type fakeAllowances struct {
	mu       sync.Mutex
	units    int
	returned int
	key      allowance.Key
	limit    allowance.Limit
	wait     time.Duration
}

func (x *fakeAllowances) Take(ctx context.Context, key allowance.Key, limit allowance.Limit, n int) allowance.Answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.key, x.limit = key, limit
	if end, ok := ctx.Deadline(); ok {
		x.wait = time.Until(end)
	}
	if x.units < n {
		return allowance.Answer{RetryAfter: 700 * time.Millisecond}
	}
	x.units -= n
	return allowance.Answer{Granted: true}
}

func (x *fakeAllowances) Return(key allowance.Key, n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.key = key
	x.units += n
	x.returned += n
}

// Guards against a customer that exceeds its quota, one without a quota that is limited, and credit that is lost with a request that is
// refused before it has run, or given back for one that has run.
func TestQuotasAreTakenAndGivenBack(t *testing.T) {
	m, _ := newPartitionModule(t)
	x := &fakeAllowances{units: 2}
	m.quotas.allowances, m.quotas.options = x, forward.QuotaOptions{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	publishCustomers(t, m, customer("limited", routes.Quota{Rate: 40, Burst: 100}, "key-1"), customer("free", routes.Quota{Burst: 5}, "key-2"))
	send := func(ctx context.Context, key string) *forward.Response {
		_, r := m.forwardWithKeys(ctx, key)
		return r
	}
	require.Equal(t, forward.KindMerged, send(context.Background(), "key-1").Kind)
	require.Equal(t, allowance.Key{Kind: allowance.KindCustomer, Name: "limited"}, x.key)
	require.Equal(t, allowance.Limit{Rate: 40, Burst: 100, Slack: 50, Version: 2}, x.limit)
	require.InDelta(t, 0.05, x.wait.Seconds(), 0.05)
	require.Positive(t, x.wait)
	require.Zero(t, x.returned)

	ending, end := context.WithCancelCause(context.Background())
	end(errs.New(errs.KindShutdown, "send the request to another VM", "the process is shutting down"))
	require.Equal(t, forward.KindRefused, send(ending, "key-1").Kind)
	require.Equal(t, 1, x.returned)
	require.Equal(t, forward.KindMerged, send(context.Background(), "key-1").Kind)

	r := send(context.Background(), "key-1")
	require.Equal(t, forward.KindOverQuota, r.Kind)
	require.Equal(t, 700*time.Millisecond, r.RetryAfter)
	require.Equal(t, 1, x.returned, "nothing was taken")
	require.Equal(t, forward.KindMerged, send(context.Background(), "key-2").Kind)
	require.Equal(t, forward.KindUnauthorized, send(context.Background(), "key-3").Kind)
	require.Equal(t, "limited", x.key.Name)
}

// Guards against requests that are refused, or a log that is flooded, where no module provides allowances.
func TestQuotasWithoutAllowancesAreNotLimited(t *testing.T) {
	m, _ := newPartitionModule(t)
	var lines bytes.Buffer
	m.quotas.logger = log.NewLogfmtLogger(&lines)
	publishCustomers(t, m, customer("limited", routes.Quota{Rate: 0.001}, "key-1"))
	for range 3 {
		_, r := m.forwardWithKeys(context.Background(), "key-1")
		require.Equal(t, forward.KindMerged, r.Kind)
	}
	require.Equal(t, 1, strings.Count(lines.String(), "\n"))
	require.Contains(t, lines.String(), "quotas are not limited")
}

// Guards against keys in the log, against a line that does not name the customer, and against a failure that is missing in the log
// because requests beyond a quota or without a key have used up the lines of the second.
func TestLogLinesNameCustomersAndNoKeys(t *testing.T) {
	m, _ := newPartitionModule(t)
	var lines bytes.Buffer
	m.logger = log.NewLogfmtLogger(log.NewSyncWriter(&lines))
	m.quotas.allowances = &fakeAllowances{units: 1}
	now := time.Now()
	m.now = func() time.Time { return now }
	publishCustomers(t, m, customer("limited", routes.Quota{Rate: 1}, "secret-1"), customer("free", routes.Quota{}, "secret-2"))
	_, r := m.forwardWithKeys(context.Background(), "secret-1")
	require.Equal(t, forward.KindMerged, r.Kind)
	r.Undelivered(context.Canceled)
	for range 2 * failureLines {
		_, r = m.forwardWithKeys(context.Background(), "secret-1")
		require.Equal(t, forward.KindOverQuota, r.Kind)
		_, r = m.forwardWithKeys(context.Background(), "secret-3")
		require.Equal(t, forward.KindUnauthorized, r.Kind)
		_, r = m.forwardWithKeys(context.Background(), "secret-1", "secret-2")
		require.Equal(t, forward.KindUnauthorized, r.Kind)
	}
	m.Forward(context.Background(), &forward.Request{ID: "lost", Host: "elsewhere", Path: "/", Keys: []string{"secret-2"}, Received: now, Deadline: now.Add(time.Second)})
	text := lines.String()
	require.NotContains(t, text, "secret")
	require.Contains(t, text, "request=lost outcome=no_route")
	require.Contains(t, text, "outcome=merged")
	require.Contains(t, text, "customer=limited")
	require.Equal(t, failureLines, strings.Count(text, "outcome=over_quota"))
	require.Equal(t, failureLines, strings.Count(text, "outcome=unauthorized"))
}

// Guards against a 401 that does not tell a removed key from an unknown one, and a 429 that does not tell who decided.
func TestRefusalsNameWhoDecided(t *testing.T) {
	m, _ := newPartitionModule(t)
	var lines bytes.Buffer
	m.logger = log.NewLogfmtLogger(log.NewSyncWriter(&lines))
	answers := &fixedAnswer{answer: allowance.Answer{RetryAfter: 700 * time.Millisecond, Owner: "vm-9", Remembered: true}}
	m.quotas.allowances = answers
	publishCustomers(t, m, customer("limited", routes.Quota{Rate: 1}, "key-1"))
	v := *m.control.View()
	before := v.Routes
	publishCustomers(t, m, customer("limited", routes.Quota{Rate: 1}, "key-2"))
	v = *m.control.View()
	v.RemovedKeys = v.RemovedKeys.After(before, v.Routes)
	m.control.SetTestView(&v)
	m.forwardWithKeys(context.Background(), "key-1")
	require.Contains(t, lines.String(), `reason="the key of the request was removed by version 3"`)
	require.Contains(t, lines.String(), "version=3")
	lines.Reset()
	m.forwardWithKeys(context.Background(), "key-2")
	require.Contains(t, lines.String(), "retry_after_ms=700 owner=vm-9 denied_earlier=true")
	lines.Reset()
	answers.answer = allowance.Answer{RetryAfter: time.Second, Local: true}
	m.forwardWithKeys(context.Background(), "key-2")
	require.Contains(t, lines.String(), `reason="this VM's own part of the customer's quota is used up"`)
	require.NotContains(t, lines.String(), "owner=")
}

// fixedAnswer gives the same answer to all asks.
type fixedAnswer struct{ answer allowance.Answer }

func (x *fixedAnswer) Take(context.Context, allowance.Key, allowance.Limit, int) allowance.Answer {
	return x.answer
}
func (x *fixedAnswer) Return(allowance.Key, int) {}

// Guards against a VM that writes more lines the more requests it refuses, for example a customer far above its limit, an evacuation
// that leaves no leaf and a burst with early refusals at the same time, or answers that no caller waits for.
func TestRefusalsWriteABoundedNumberOfLines(t *testing.T) {
	m, _ := newPartitionModule(t)
	var lines bytes.Buffer
	m.logger = log.NewLogfmtLogger(&lines)
	now := time.Unix(1000, 0)
	m.now = func() time.Time { return now }
	const seconds = 3
	for range seconds {
		now = now.Add(time.Second)
		for range 2000 {
			for _, kind := range []forward.Kind{forward.KindOverQuota, forward.KindUnauthorized, forward.KindRefused, forward.KindFailed, forward.KindTimeout, forward.KindNotReady, forward.KindCallerGone} {
				r := m.finish(&forward.Request{ID: "x", Received: now}, nil, &forward.Response{Kind: kind, Reason: "r"})
				if r.Undelivered != nil {
					r.Undelivered(context.Canceled)
				}
			}
		}
	}
	const kindsOfLines = 4 // Quotas, keys, undelivered answers, and all others.
	require.Equal(t, seconds*kindsOfLines*failureLines, strings.Count(lines.String(), "\n"))
	require.Regexp(t, "outcome=refused .*lines_left_out=[1-9]", lines.String())
}
