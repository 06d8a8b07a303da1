package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

var _ kernel.ClaimStore = (*Module)(nil)

// fakeControl applies commands to a state. While err is set it returns that error, after applying the command when
// failAfterApply is set. While refuseReleases is set it refuses ReleaseClaim.
type fakeControl struct {
	mu             sync.Mutex
	state          *state.State
	index          uint64
	err            error
	failAfterApply bool
	refuseReleases bool
	applied        chan any
}

func (f *fakeControl) Propose(ctx context.Context, command kernel.Command) (kernel.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, release := command.(state.ReleaseClaim)
	if release && f.refuseReleases {
		return nil, unreachable
	}
	if f.err != nil && !f.failAfterApply {
		return nil, f.err
	}
	f.index++
	result := f.state.Apply(f.index, time.Now(), command)
	f.applied <- command
	return result, f.err
}

func (f *fakeControl) Read(_ context.Context, query kernel.StateQuery) (kernel.StateAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Query(query), nil
}

func (f *fakeControl) setError(err error, failAfterApply bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.failAfterApply = err, failAfterApply
}

func (f *fakeControl) setRefuseReleases(refuseReleases bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuseReleases = refuseReleases
}

func start(t *testing.T) (*Module, *fakeControl) {
	f := &fakeControl{state: state.New(), applied: make(chan any, 100)}
	m := &Module{}
	m.init(f, log.NewNopLogger(), tally.NoopScope, time.Now)
	m.wait = func(ctx context.Context, _ time.Duration) error { return kernel.Wait(ctx, time.Millisecond) }
	require.NoError(t, m.Start(context.Background()))
	t.Cleanup(func() {
		require.NoError(t, m.Stop(context.Background()))
		goleak.VerifyNone(t)
	})
	return m, f
}

func request(t *testing.T, attempt model.AttemptID) kernel.ClaimRequest {
	key, err := uuid.NewV7()
	require.NoError(t, err)
	return kernel.ClaimRequest{
		Order: model.OrderID{Service: "s", Key: key.String()}, Holder: model.Holder{VM: "v", Incarnation: 1},
		Attempt: attempt, Digest: 7, Deadline: time.Now().Add(time.Minute),
	}
}

var unreachable = errs.New(errs.KindNotAccepted, "wait", "no quorum")

// Guards against an order that is claimed twice, and against a resend that does not return the recorded result.
func TestClaimFinishAndResend(t *testing.T) {
	m, _ := start(t)
	req := request(t, "a1")
	r, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, model.ClaimGranted, r.Decision)
	require.NoError(t, m.Finish(t.Context(), req.Order, "a1", []byte("done")))
	require.Equal(t, errs.KindConflict, errs.KindOf(m.Release(t.Context(), req.Order, "a1")))
	again := req
	again.Attempt = "a2"
	r, err = m.Claim(t.Context(), again)
	require.NoError(t, err)
	require.Equal(t, model.ClaimExists, r.Decision)
	require.Equal(t, []byte("done"), r.Claim.Result)
	c, err := m.Lookup(t.Context(), req.Order)
	require.NoError(t, err)
	require.Equal(t, model.ClaimDone, c.State)
	_, err = m.Lookup(t.Context(), request(t, "x").Order)
	require.Equal(t, errs.KindNotFound, errs.KindOf(err))
}

// Guards against a refused claim that is not returned as an error, so that a caller would wait for an outcome.
func TestRefusalsAreErrors(t *testing.T) {
	m, _ := start(t)
	req := request(t, "a1")
	req.Order.Key = "7"
	_, err := m.Claim(t.Context(), req)
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	req = request(t, "a1")
	req.Deadline = time.Now().Add(-time.Hour)
	_, err = m.Claim(t.Context(), req)
	require.Equal(t, errs.KindDeadline, errs.KindOf(err))
	require.Equal(t, errs.KindTooLarge, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", make([]byte, state.MaxResultBytes+1))))
}

// Guards against a claim that stays held after its answer was lost, which would leave the order with an unknown
// outcome although it has not run.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	m, f := start(t)
	f.setError(errs.New(errs.KindUnknownOutcome, "read", "answer lost"), true)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	f.setError(nil, false)
	require.NoError(t, m.Drain(t.Context()))
	req.Attempt = "a2"
	r, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, model.ClaimGranted, r.Decision)
}

// Guards against a resend that returns an unknown outcome because the claim of an earlier send, which was not run, is
// released only a moment later.
func TestResendWaitsUntilUnconfirmedClaimIsReleased(t *testing.T) {
	m, f := start(t)
	f.setRefuseReleases(true)
	f.setError(errs.New(errs.KindUnknownOutcome, "read", "answer lost"), true)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	f.setError(nil, false)
	req.Attempt = "a2"
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = m.Claim(short, req)
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err), "no claim is sent before the earlier one is released")
	time.AfterFunc(20*time.Millisecond, func() { f.setRefuseReleases(false) })
	r, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, model.ClaimGranted, r.Decision)
}

// Guards against a result that is lost because the control group could not be reached when the order ended.
func TestFinishIsRetriedInTheBackground(t *testing.T) {
	m, f := start(t)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	f.setError(unreachable, false)
	require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", []byte("done"))))
	limited, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.Error(t, m.Drain(limited), "the result is still queued")
	f.setError(nil, false)
	require.NoError(t, m.Drain(t.Context()))
	c, err := m.Lookup(t.Context(), req.Order)
	require.NoError(t, err)
	require.Equal(t, []byte("done"), c.Result)
}

// Guards against records that accumulate without limit while the control group cannot be reached.
func TestQueueIsLimited(t *testing.T) {
	f := &fakeControl{state: state.New(), err: unreachable}
	m := &Module{}
	m.init(f, log.NewNopLogger(), tally.NoopScope, time.Now)
	req := request(t, "a1")
	for range queueLength {
		require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Release(t.Context(), req.Order, "a1")))
	}
	require.Equal(t, errs.KindOverload, errs.KindOf(m.Release(t.Context(), req.Order, "a1")))

	m.init(f, log.NewNopLogger(), tally.NoopScope, time.Now)
	m.queued = backlog{}
	for range maxBacklogBytes / state.MaxResultBytes {
		require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", make([]byte, state.MaxResultBytes))))
	}
	require.Equal(t, errs.KindOverload, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", make([]byte, 1))))
}

// Guards against a claim that stays held because its release was dropped, while the caller is advised to resend the order under
// the same key.
func TestDroppedReleaseIsReported(t *testing.T) {
	f := &fakeControl{state: state.New(), applied: make(chan any, 1), err: errs.New(errs.KindUnknownOutcome, "read", "answer lost"), failAfterApply: true}
	m := &Module{}
	m.init(f, log.NewNopLogger(), tally.NoopScope, time.Now)
	m.queue = make(chan record)
	_, err := m.Claim(t.Context(), request(t, "a1"))
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	require.Contains(t, errs.RemedyOf(err), "new key")
}

// Guards against a drain that reports success although the result of an order was dropped meanwhile.
func TestDrainReportsDroppedRecords(t *testing.T) {
	m, f := start(t)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	f.setError(unreachable, false)
	require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", []byte("done"))))
	time.AfterFunc(20*time.Millisecond, func() { f.setError(errs.New(errs.KindInvalid, "none", "refused"), false) })
	require.Error(t, m.Drain(t.Context()))
	require.NoError(t, m.Drain(t.Context()), "each loss is reported once")
}
