package routestate

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/routescodec"
)

func newMachine() *Machine {
	return &Machine{logger: log.NewNopLogger(), post: func(kernel.Event) bool { return true }}
}

// fakeLog is a control group with one replica. before is called before each entry is applied, and failure after it.
type fakeLog struct {
	machine *Machine
	entries [][]byte
	before  func()
	failure func() error
}

func (f *fakeLog) ProposeEncoded(_ context.Context, data []byte) ([]byte, error) {
	if before := f.before; before != nil {
		f.before = nil
		before()
	}
	f.entries = append(f.entries, data)
	result := f.machine.Apply(uint64(len(f.entries)), time.Time{}, data)
	if failure := f.failure; failure != nil {
		f.failure = nil
		return nil, failure()
	}
	return result, nil
}

func (f *fakeLog) ReadEncoded(_ context.Context, data []byte) ([]byte, error) {
	return f.machine.Query(data), nil
}

func (f *fakeLog) LeafZones(context.Context) (map[model.AvailabilityZone]bool, error) {
	return map[model.AvailabilityZone]bool{"leafy": true}, nil
}

func newEvacuator(f *fakeLog) *Evacuator {
	return &Evacuator{
		client: f, leaves: f, known: map[model.AvailabilityZone]string{"a": "north", "b": "south"}, own: "own", now: time.Now,
		wait: func(context.Context, time.Duration) error { return nil }, logger: log.NewNopLogger(),
	}
}

func publication(t *testing.T, version routes.Version) routes.Publication {
	table, err := routes.Build(&routes.Table{Version: version, Services: []routes.Service{{Name: "s"}}})
	require.NoError(t, err)
	return routes.Publication{Table: table, Document: []byte("as sent")}
}

// Guards against evacuations that a restart of all control VMs loses, from the log or from a snapshot, with and without a table; and
// against a document that is read back otherwise than it was sent.
func TestEvacuationsSurviveRestart(t *testing.T) {
	ctx := context.Background()
	for _, withTable := range []bool{false, true} {
		f := &fakeLog{machine: newMachine()}
		p, e := &Publisher{client: f}, newEvacuator(f)
		if withTable {
			_, err := p.Publish(ctx, publication(t, 4))
			require.NoError(t, err)
		}
		require.NoError(t, e.SetEvacuated(ctx, "b", true))
		require.NoError(t, e.SetEvacuated(ctx, "a", true))
		want := routes.Evacuations{Revision: 2, Zones: []model.AvailabilityZone{"a", "b"}}
		replayed, restored := newMachine(), newMachine()
		for i, entry := range f.entries {
			replayed.Apply(uint64(i), time.Time{}, entry)
		}
		snapshot, err := f.machine.Snapshot()
		require.NoError(t, err)
		require.NoError(t, restored.Restore(snapshot))
		again, err := restored.Snapshot()
		require.NoError(t, err)
		require.NoError(t, restored.Restore(again), "restored from the snapshot of a restored state")
		for _, m := range []*Machine{f.machine, replayed, restored} {
			require.Equal(t, want, m.Evacuations())
			f.machine = m
			latest, err := p.Latest(ctx)
			if !withTable {
				require.Equal(t, errs.KindUnavailable, errs.KindOf(err))
				require.Nil(t, m.Table())
				continue
			}
			require.NoError(t, err)
			require.Equal(t, "as sent", string(latest.Document))
			require.EqualValues(t, 4, m.Table().Version)
		}
	}
}

// Guards against snapshots of earlier releases, which hold a publication alone, that cannot be restored.
func TestEarlierSnapshotsAreRestored(t *testing.T) {
	data, err := routescodec.Encode(publication(t, 4))
	require.NoError(t, err)
	m := newMachine()
	require.NoError(t, m.Restore(data))
	require.EqualValues(t, 4, m.Table().Version)
	require.NoError(t, m.Restore(nil))
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, snapshot, "earlier releases read it as long as there is no evacuation")
}

// Guards against orders for zones that do not exist, with and without a list of zones in the settings, and against copies that change
// the state.
func TestZonesOfOrders(t *testing.T) {
	f := &fakeLog{machine: newMachine()}
	e := newEvacuator(f)
	kindOf := func(zone model.AvailabilityZone) errs.Kind {
		return errs.KindOf(e.SetEvacuated(context.Background(), zone, true))
	}
	for range 2 {
		require.NoError(t, e.SetEvacuated(context.Background(), "a", true))
	}
	require.Len(t, f.entries, 2, "the order and its confirmation")
	require.Equal(t, []errs.Kind{errs.KindNotFound, errs.KindNotFound}, []errs.Kind{kindOf(""), kindOf("leafy")})
	e.known = nil
	require.Equal(t, errs.KindNotFound, kindOf("b"))
	for _, zone := range []model.AvailabilityZone{"leafy", "own", "a"} {
		require.NoError(t, e.SetEvacuated(context.Background(), zone, true))
	}
}

// Guards against an operator whose order is lost because another one was faster, or because its first answer was; and against an order
// that is sent again although another operator has reversed it meanwhile, or although nobody waits for it any more.
func TestOrdersOfTwoOperators(t *testing.T) {
	ctx := context.Background()
	f := &fakeLog{machine: newMachine()}
	mine, others := newEvacuator(f), newEvacuator(f)
	f.before = func() { require.NoError(t, others.SetEvacuated(ctx, "b", true)) }
	require.NoError(t, mine.SetEvacuated(ctx, "a", true))
	require.Equal(t, []model.AvailabilityZone{"a", "b"}, f.machine.Evacuations().Zones)
	f.failure = func() error { return errs.New(errs.KindUnknownOutcome, "", "the answer was lost") }
	require.NoError(t, mine.SetEvacuated(ctx, "a", false))
	f.before = func() {
		require.NoError(t, others.SetEvacuated(ctx, "a", true))
		require.NoError(t, others.SetEvacuated(ctx, "a", false))
	}
	require.Equal(t, errs.KindUnavailable, errs.KindOf(mine.SetEvacuated(ctx, "a", true)))
	require.False(t, f.machine.Evacuations().Has("a"))
	late, cancel := context.WithCancel(ctx)
	f.before = func() {
		cancel()
		require.NoError(t, others.SetEvacuated(ctx, "b", false))
	}
	require.Equal(t, errs.KindUnavailable, errs.KindOf(mine.SetEvacuated(late, "a", true)))
	require.False(t, f.machine.Evacuations().Has("a"))
}
