package statemachine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/state"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec"
	"github.com/chestnuttiller/chestnuttiller/internal/statecodec/statepb"
)

var (
	_  kernel.StateMachine = (*Module)(nil)
	_  kernel.StateSource  = (*Module)(nil)
	at                     = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

func apply(t *testing.T, m *Module, index uint64, command any) any {
	t.Helper()
	data, err := statecodec.EncodeCommand(command)
	require.NoError(t, err)
	result, err := statecodec.DecodeResult(m.Apply(index, at, data))
	require.NoError(t, err)
	return result
}

func change(id string, basedOn model.Revision) state.ApplyConfig {
	return state.ApplyConfig{ChangeID: id, BasedOn: basedOn, Files: model.ConfigFiles{Base: id}, Seats: 2, SeatLease: time.Hour, ClaimRetention: time.Hour}
}

// Guards against a snapshot that loses state, and against a change that is not posted to the
// dissemination.
func TestSnapshotAndRestore(t *testing.T) {
	m := New()
	var posted []kernel.Event
	m.post = func(ev kernel.Event) bool { posted = append(posted, ev); return true }
	require.Equal(t, state.ChangeAccepted, apply(t, m, 1, change("c1", 0)).(state.ChangeResult).Outcome)
	require.Equal(t, state.ChangeConflict, apply(t, m, 2, change("c2", 0)).(state.ChangeResult).Outcome)
	require.Equal(t, []kernel.Event{kernel.StateChanged{Revision: 1}}, posted, "a refused change changes nothing")
	data, err := m.Snapshot()
	require.NoError(t, err)

	other := New()
	require.NoError(t, other.Restore(data))
	require.Equal(t, m.DisseminatedState().Full(), other.DisseminatedState().Full())
	again, err := other.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again, "equal states have equal snapshots")
	require.Error(t, other.Restore([]byte{1}))
	require.Equal(t, m.DisseminatedState().Full(), other.DisseminatedState().Full())
}

// Guards against a control VM of an older release that skips an entry that it cannot decode
// and then differs from the others.
func TestNewerEntryStopsTheVM(t *testing.T) {
	m := New()
	var fatal error
	m.fatal = func(err error) { fatal = err }
	newer, err := proto.Marshal(&statepb.Command{Version: 99})
	require.NoError(t, err)
	require.Empty(t, m.Apply(1, at, newer), "other VMs may apply the entry, so there is no result")
	require.ErrorContains(t, fatal, "upgrade this VM")
	data, err := statecodec.EncodeCommand(change("c1", 0))
	require.NoError(t, err)
	require.Empty(t, m.Apply(2, at, data))
	require.Zero(t, m.DisseminatedState().Revision)
	_, err = m.Snapshot()
	require.Error(t, err)
}

// Guards against a malformed entry or read that ends the process or changes the state.
func TestMalformedInputIsRejected(t *testing.T) {
	m := New()
	m.fatal = func(err error) { t.Fatal(err) }
	result, err := statecodec.DecodeResult(m.Apply(1, at, []byte{0xff}))
	require.NoError(t, err)
	require.IsType(t, state.Rejected{}, result)
	answer, err := statecodec.DecodeAnswer(m.Query([]byte{0xff}))
	require.NoError(t, err)
	require.IsType(t, state.Rejected{}, answer)
	query, err := statecodec.EncodeQuery(state.GetStatus{})
	require.NoError(t, err)
	answer, err = statecodec.DecodeAnswer(m.Query(query))
	require.NoError(t, err)
	require.IsType(t, state.StatusAnswer{}, answer)
}
