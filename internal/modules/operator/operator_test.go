package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/config"
	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/operatorapi"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
)

const testSettings = `[vm]
cluster = test
name = e1
availability_zone = a

[peer c1]
address = 127.0.0.1:1
availability_zone = b
roles = control

[peer e2]
address = 127.0.0.1:2
availability_zone = b
`

// fakeControl is a control group that applies commands to a state. Propose also returns err; Read fails with readErr
// while it is set.
type fakeControl struct {
	state   *state.State
	index   uint64
	err     error
	readErr error
}

func (f *fakeControl) Propose(_ context.Context, command kernel.Command) (kernel.CommandResult, error) {
	f.index++
	return f.state.Apply(f.index, time.Unix(int64(f.index), 0), command), f.err
}

func (f *fakeControl) Read(_ context.Context, query kernel.StateQuery) (kernel.StateAnswer, error) {
	if f.readErr != nil {
		return nil, f.readErr
	}
	return f.state.Query(query), nil
}

func (f *fakeControl) DisseminatedState() *state.DisseminatedState { return f.state.Disseminated() }

// fakePeers connects to the control VM c1, but not to e2.
type fakePeers struct {
	kernel.PeerTransport
	control *Module
}

func (f *fakePeers) Peers() []kernel.PeerStatus {
	return []kernel.PeerStatus{{VM: "c1", AvailabilityZone: "b"}, {VM: "e2", AvailabilityZone: "b"}}
}

func (f *fakePeers) Call(ctx context.Context, to model.VMName, msg kernel.PeerMessage) ([]byte, error) {
	if to != "c1" || msg.Kind != KindVMStatus {
		return nil, errs.New(errs.KindUnavailable, "wait", "%s is not connected", to)
	}
	return f.control.handleStatus(ctx, "e1", msg.Payload)
}

type fakeControlLog struct{ kernel.ControlLog }

func (fakeControlLog) Status() kernel.ControlStatus {
	return kernel.ControlStatus{Replica: "r1", Role: "leader", Term: 3, Leader: "c1", Members: []kernel.ControlMember{{VM: "c1", Replica: "r1"}}}
}

func newModule(t *testing.T, name string) *Module {
	s, err := settings.Parse("test.ini", []byte(testSettings), nil)
	require.NoError(t, err)
	return &Module{
		settings: s, holder: model.Holder{VM: model.VMName(name), Incarnation: 1}, control: kernel.NewTestControl(), readiness: kernel.NewReadiness(),
		now: func() time.Time { return time.Unix(100, 0) }, logger: log.NewNopLogger(),
	}
}

func start(t *testing.T) (*Module, *fakeControl, *httptest.Server) {
	m, f := newModule(t, "e1"), &fakeControl{state: state.New()}
	c := newModule(t, "c1")
	c.controlLog, c.stateSource = fakeControlLog{}, f
	m.client, m.peers = f, &fakePeers{control: c}
	server := httptest.NewServer(m.routes())
	t.Cleanup(server.Close)
	return m, f, server
}

func call[T any](t *testing.T, method, url string, body any) (int, T) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	var out T
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&out))
	return resp.StatusCode, out
}

func request(t *testing.T, id string, basedOn uint64) operatorapi.ApplyRequest {
	base, err := os.ReadFile("../../../examples/hanbit/base.ini")
	require.NoError(t, err)
	return operatorapi.ApplyRequest{Base: string(base), BasedOn: &basedOn, ChangeID: id, Author: "ann"}
}

// Guards against two accepted changes with the same based-on revision, against a resend that is applied again, and
// against a conflict without the revision in force.
func TestOneChangeIsAcceptedForEachRevision(t *testing.T) {
	_, _, server := start(t)
	url := server.URL + operatorapi.PathConfig
	first := request(t, "c1", 0)
	status, accepted := call[operatorapi.ApplyResponse](t, "POST", url, first)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "accepted", accepted.Outcome)
	require.EqualValues(t, 1, accepted.Revision)
	require.NotEmpty(t, accepted.Difference.Sites)

	status, conflict := call[operatorapi.Error](t, "POST", url, request(t, "c2", 0))
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, errs.KindConflict, conflict.Kind)
	require.EqualValues(t, 1, conflict.Revision)

	status, again := call[operatorapi.ApplyResponse](t, "POST", url, first)
	require.Equal(t, http.StatusOK, status)
	require.True(t, again.Repeated)
	require.EqualValues(t, 1, again.Revision)

	other := request(t, "c1", 0)
	other.Base += "\n# more\n"
	status, reused := call[operatorapi.Error](t, "POST", url, other)
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, reused.Remedy, "new change ID")

	_, change := call[operatorapi.ChangeResponse](t, "GET", server.URL+"/v1/changes/c2", nil)
	require.Equal(t, operatorapi.ChangeResponse{ChangeID: "c2", Outcome: "conflict", Revision: 1}, change)
	status, _ = call[operatorapi.Error](t, "GET", server.URL+"/v1/changes/c9", nil)
	require.Equal(t, http.StatusNotFound, status)

	_, history := call[operatorapi.HistoryResponse](t, "GET", server.URL+operatorapi.PathHistory, nil)
	require.Len(t, history.Entries, 1)
	require.Equal(t, "ann", history.Entries[0].Author)
	require.NotEmpty(t, history.Entries[0].Summary)
	_, files := call[operatorapi.ConfigResponse](t, "GET", url, nil)
	require.Equal(t, first.Base, files.Base)
	status, _ = call[operatorapi.Error](t, "GET", url+"?revision=7", nil)
	require.Equal(t, http.StatusNotFound, status)
}

// Guards against a dry run that changes the configuration, hides a conflict or shows no difference.
func TestDryRunChangesNothing(t *testing.T) {
	_, f, server := start(t)
	url := server.URL + operatorapi.PathConfig
	call[operatorapi.ApplyResponse](t, "POST", url, request(t, "c1", 0))
	dry := request(t, "", 0)
	dry.DryRun, dry.Base = true, strings.Replace(dry.Base, "seats = 8", "seats = 9", 1)
	status, out := call[operatorapi.ApplyResponse](t, "POST", url, dry)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, operatorapi.ApplyResponse{
		Outcome: "dry_run", Revision: 1, Conflict: true, Difference: config.Difference{System: []config.Change{{Key: "seats", Before: "8", After: "9"}}},
	}, out)
	require.EqualValues(t, 1, f.index)
}

// Guards against errors that report an unknown outcome as certain, or that have no kind, message or remedy.
func TestErrorsOfChanges(t *testing.T) {
	edit := func(fn func(*operatorapi.ApplyRequest)) operatorapi.ApplyRequest {
		r := request(t, "c1", 0)
		fn(&r)
		return r
	}
	for _, tc := range []struct {
		name    string
		body    any
		err     error
		readErr error
		status  int
		remedy  string
	}{
		{"bad file", edit(func(r *operatorapi.ApplyRequest) { r.Base = "[system]\nseat = 1\n" }), nil, nil, http.StatusBadRequest, "add the key"},
		{"no based-on revision", edit(func(r *operatorapi.ApplyRequest) { r.BasedOn = nil }), nil, nil, http.StatusBadRequest, "add based_on"},
		{"no change ID", edit(func(r *operatorapi.ApplyRequest) { r.ChangeID = "" }), nil, nil, http.StatusBadRequest, "add change_id"},
		{"not JSON", "text", nil, nil, http.StatusBadRequest, "one JSON object"},
		{"too large", edit(func(r *operatorapi.ApplyRequest) { r.Base = strings.Repeat("#", maxBodyBytes) }), nil, nil, http.StatusRequestEntityTooLarge, "below"},
		{"not accepted", request(t, "c1", 0), errs.New(errs.KindNotAccepted, "wait", "no quorum"), nil, http.StatusServiceUnavailable, "wait"},
		{"not proposed", request(t, "c1", 0), nil, errs.New(errs.KindUnavailable, "wait", "no quorum"), http.StatusServiceUnavailable, "send the change again"},
		{"unknown outcome", request(t, "c1", 0), errs.New(errs.KindUnknownOutcome, "read", "lost"), nil, http.StatusGatewayTimeout, "resend with id c1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, f, server := start(t)
			f.err, f.readErr = tc.err, tc.readErr
			status, body := call[operatorapi.Error](t, "POST", server.URL+operatorapi.PathConfig, tc.body)
			require.Equal(t, tc.status, status)
			require.NotEmpty(t, body.Kind)
			require.NotEmpty(t, body.Message)
			require.Contains(t, body.Remedy, tc.remedy)
		})
	}
}

// Guards against a status that omits a VM, in particular one that does not answer, and against a status that fails as a
// whole when the control group cannot be reached.
func TestStatusListsEveryVM(t *testing.T) {
	m, f, server := start(t)
	m.control.SetTestView(&kernel.View{Config: &model.Config{Revision: 4}, StateRevision: 9, ControlContact: time.Unix(99, 0), Seat: model.Seat{Index: 2, Seats: 8}})
	f.readErr = errs.New(errs.KindUnavailable, "wait", "no leader")
	f.state.Apply(1, time.Unix(1, 0), state.ApplyConfig{ChangeID: "c", Seats: 1, SeatLease: time.Hour, ClaimRetention: time.Hour})
	_, out := call[operatorapi.StatusResponse](t, "GET", server.URL+operatorapi.PathStatus, nil)
	require.Contains(t, out.Control, "no leader")
	require.Len(t, out.VMs, 3)
	require.Equal(t, []string{"c1", "e1", "e2"}, []string{out.VMs[0].Name, out.VMs[1].Name, out.VMs[2].Name})
	require.Equal(t, "leader", out.VMs[0].Control.Role)
	require.Equal(t, -1, out.VMs[0].Seat)
	require.EqualValues(t, 1, out.VMs[0].ConfigRevision, "a control VM reports the revision of the replicated state")
	require.EqualValues(t, 4, out.VMs[1].ConfigRevision)
	require.EqualValues(t, 1000, out.VMs[1].StateAgeMS)
	require.Equal(t, 2, out.VMs[1].Seat)
	require.False(t, out.VMs[2].Reachable)
	require.Contains(t, out.VMs[2].Error, "not connected")

	_, members := call[operatorapi.MembersResponse](t, "GET", server.URL+operatorapi.PathMembers, nil)
	require.Equal(t, "c1", members.Leader)
	require.Equal(t, []operatorapi.Member{{VM: "c1", Replica: "r1"}}, members.Members)
	require.Len(t, members.Replicas, 1)
}

// Guards against a list of targets that differs from the view by which the VM routes.
func TestTargetsAreReadFromTheView(t *testing.T) {
	m, _, server := start(t)
	url := server.URL + operatorapi.PathTargets
	status, _ := call[operatorapi.Error](t, "GET", url, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	target := &model.Target{Announcement: model.Announcement{Service: "s", ID: "t1", State: model.TargetCold, Shards: []model.ShardID{1}}}
	m.control.SetTestView(&kernel.View{Directory: &kernel.Directory{Services: map[model.ServiceName]*kernel.ServiceDirectory{
		"s": {Targets: []*model.Target{target}}, "r": {},
	}}})
	_, all := call[operatorapi.TargetsResponse](t, "GET", url, nil)
	require.Len(t, all.Targets, 1)
	require.Equal(t, "t1", all.Targets[0].ID)
	_, none := call[operatorapi.TargetsResponse](t, "GET", url+"?service=r", nil)
	require.Empty(t, none.Targets)
	status, _ = call[operatorapi.Error](t, "GET", url+"?service=x", nil)
	require.Equal(t, http.StatusNotFound, status)
}

// Guards against a request that takes longer than its client waits, so that the client gets no outcome of a change.
func TestRequestTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{"": defaultTimeout, "250": 250 * time.Millisecond, "9223372036854775807": maxTimeout} {
		got, err := timeoutOf(header)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	for _, header := range []string{"0", "-1", "1s"} {
		_, err := timeoutOf(header)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	}
}

// Guards against probes that differ from the readiness of the VM, and against unknown paths without a typed error.
func TestProbesAndUnknownPaths(t *testing.T) {
	m, _, server := start(t)
	for path, want := range map[string]int{operatorapi.PathHealth: 200, operatorapi.PathReady: 200} {
		resp, err := http.Get(server.URL + path)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, want, resp.StatusCode)
	}
	m.readiness.Set("x", "no configuration yet")
	status, body := call[map[string][]string](t, "GET", server.URL+operatorapi.PathReady, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, []string{"no configuration yet"}, body["reasons"])
	status, unknown := call[operatorapi.Error](t, "GET", server.URL+"/v1/nothing", nil)
	require.Equal(t, http.StatusNotFound, status)
	require.NotEmpty(t, unknown.Remedy)
	m.requestsInFlight.Store(maxRequests)
	status, _ = call[operatorapi.Error](t, "GET", server.URL+operatorapi.PathHistory, nil)
	require.Equal(t, http.StatusTooManyRequests, status)
}

// Guards against an error that quotes the key of a customer, and against a body that is read without a limit.
func TestMalformedExplainRequests(t *testing.T) {
	for _, body := range []string{
		`{"host":"h","path":"/","key":"secret`, `{"host":"h","path":"/","key":{"secret":1}}`, `{"path":"/","key":"secret"}`, `{"host":"h","path":"x","key":"secret"}`,
		`{"host":"h","path":"/","key":"secret` + strings.Repeat("x", maxExplainBytes) + `"}`,
	} {
		_, err := readExplainRequest(strings.NewReader(body))
		require.Error(t, err)
		require.NotContains(t, err.Error(), "secret")
	}
	r, err := readExplainRequest(strings.NewReader(`{"host":"h","path":"/","key":""}`))
	require.NoError(t, err)
	require.Equal(t, "", *r.Key)
	require.Equal(t, http.MethodGet, r.Method)
}
