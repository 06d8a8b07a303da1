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

// fakeControl applies commands to a state. While err is set it fails, after applying when late is set. While held is set it
// takes no releases.
type fakeControl struct {
	mu      sync.Mutex
	state   *state.State
	index   uint64
	err     error
	late    bool
	held    bool
	applied chan any
}

func (f *fakeControl) Propose(ctx context.Context, command kernel.Command) (kernel.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, release := command.(state.ReleaseClaim)
	if release && f.held {
		return nil, unreachable
	}
	if f.err != nil && !f.late {
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

func (f *fakeControl) fail(err error, late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.late = err, late
}

func (f *fakeControl) hold(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
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

// Guards against an order that is claimed twice, and against a result that a resend does not get.
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

// Guards against a decision that grants nothing but is not an error, so that a caller would wait for an outcome.
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

// Guards against a claim that stays held by nobody after its answer was lost, which would leave the order with an
// unknown outcome although it has not run.
func TestUnconfirmedClaimIsGivenBack(t *testing.T) {
	m, f := start(t)
	f.fail(errs.New(errs.KindUnknownOutcome, "read", "answer lost"), true)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	f.fail(nil, false)
	require.NoError(t, m.Drain(t.Context()))
	req.Attempt = "a2"
	r, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, model.ClaimGranted, r.Decision)
}

// Guards against a resend that is told that the outcome is unknown, because the claim of a send that was not run is given back
// a moment later.
func TestResendWaitsUntilAnUnconfirmedClaimIsGivenBack(t *testing.T) {
	m, f := start(t)
	f.hold(true)
	f.fail(errs.New(errs.KindUnknownOutcome, "read", "answer lost"), true)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	f.fail(nil, false)
	req.Attempt = "a2"
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = m.Claim(short, req)
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err), "nothing is claimed before")
	time.AfterFunc(20*time.Millisecond, func() { f.hold(false) })
	r, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, model.ClaimGranted, r.Decision)
}

// Guards against a result that is lost because control could not be reached when the order ended.
func TestFinishGoesOnInTheBackground(t *testing.T) {
	m, f := start(t)
	req := request(t, "a1")
	_, err := m.Claim(t.Context(), req)
	require.NoError(t, err)
	f.fail(unreachable, false)
	require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", []byte("done"))))
	limited, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.Error(t, m.Drain(limited), "the record is not taken yet")
	f.fail(nil, false)
	require.NoError(t, m.Drain(t.Context()))
	c, err := m.Lookup(t.Context(), req.Order)
	require.NoError(t, err)
	require.Equal(t, []byte("done"), c.Result)
}

// Guards against records that pile up without bound while control cannot be reached.
func TestQueueIsBounded(t *testing.T) {
	f := &fakeControl{state: state.New(), err: unreachable}
	m := &Module{}
	m.init(f, log.NewNopLogger(), tally.NoopScope, time.Now)
	req := request(t, "a1")
	for range queueLength {
		require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Release(t.Context(), req.Order, "a1")))
	}
	require.Equal(t, errs.KindOverload, errs.KindOf(m.Release(t.Context(), req.Order, "a1")))

	m.init(f, log.NewNopLogger(), tally.NoopScope, time.Now)
	m.open = backlog{}
	for range maxBacklogBytes / state.MaxResultBytes {
		require.Equal(t, errs.KindUnavailable, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", make([]byte, state.MaxResultBytes))))
	}
	require.Equal(t, errs.KindOverload, errs.KindOf(m.Finish(t.Context(), req.Order, "a1", make([]byte, 1))))
}
