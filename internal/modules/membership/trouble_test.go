package membership

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/leaves"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
)

var sick = leaves.Incarnation{ID: "i", BornMS: 3}

func newControl(name model.VMName) *Module {
	m := newModule()
	m.self, m.controls, m.incarnation = name, true, 7
	return m
}

// tell passes the news of a control VM on to another VM, and returns them.
func (m *Module) tell(t *testing.T, to *Module, now time.Time, req *membershippb.WatchRequest) news {
	data, err := proto.Marshal(m.news(now, req, true))
	require.NoError(t, err)
	n, err := decodeNews(data)
	require.NoError(t, err)
	n.light, n.askedTrouble = true, req.GetTrouble()
	to.take(now, newsEvent{m.self, n})
	return n
}

// Guards against trouble that stays with the VM that met it, and against news that are sent again and again.
func TestTroubleReachesAllVMs(t *testing.T) {
	a, b, entry := newControl("a"), newControl("b"), newModule()
	entry.chooseSources(start)
	require.Equal(t, model.VMName("b"), entry.first(), "the control VM of the own availability zone")
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: sick, Attempts: 40, Bad: 38}}})
	woken := a.pool.changed
	a.HandleEvent(start, troubleEvent{})
	select {
	case <-woken:
	default:
		t.Fatal("those that watch are not told")
	}
	a.tell(t, b, start, &membershippb.WatchRequest{Control: true, Trouble: true, Incarnation: 7})
	b.HandleEvent(start, troubleEvent{})
	req := &membershippb.WatchRequest{Trouble: true, Light: true, Incarnation: 7}
	n := b.tell(t, entry, start, req)
	var v kernel.View
	entry.ContributeView(start, &v)
	require.InDelta(t, 0.9, v.LeafTrouble[sick], 0.05)
	req.TroubleVersion = n.troubleVersion
	require.Nil(t, b.news(start, req, false))
	require.Nil(t, b.news(start, &membershippb.WatchRequest{Light: true, Incarnation: 7}, false), "it did not ask")

	later := start.Add(time.Minute)
	a.HandleEvent(later, troubleEvent{})
	a.tell(t, b, later, &membershippb.WatchRequest{Control: true, Trouble: true, Incarnation: 7})
	b.HandleEvent(later, troubleEvent{})
	b.tell(t, entry, later, req)
	require.Empty(t, entry.pool.inForce, "it has faded")
}

// Guards against control VMs that answer each other's news with the same news again, and that tell each other more often than
// bytes between availability zones allow; and against the end of trouble that is never told.
func TestControlVMsTellEachOtherSeldom(t *testing.T) {
	a, b := newControl("a"), newControl("b")
	req := &membershippb.WatchRequest{Control: true, Trouble: true, Incarnation: 7}
	report := func(at time.Time, id string) {
		a.HandleEvent(at, reportEvent{[]leaves.Evidence{{Leaf: leaves.Incarnation{ID: id}, Attempts: 40, Bad: 38}}})
		a.HandleEvent(at, troubleEvent{})
	}
	report(start, "i")
	a.tell(t, b, start, req)
	b.HandleEvent(start, troubleEvent{})
	require.NotZero(t, b.pool.version)
	require.Zero(t, b.pool.gatheredVersion, "nothing was reported to it")
	version := a.pool.gatheredVersion
	report(start.Add(troubleInterval), "j")
	require.Equal(t, version, a.pool.gatheredVersion)
	a.HandleEvent(start.Add(gatherInterval), troubleEvent{})
	require.Equal(t, version+1, a.pool.gatheredVersion)
	a.HandleEvent(start.Add(time.Minute), troubleEvent{})
	require.Empty(t, a.pool.gathered)
	a.tell(t, b, start, req)
	b.HandleEvent(start, troubleEvent{})
	require.Empty(t, b.pool.inForce)
}

// Guards against leaves that stay avoided because the control VM that told of their trouble is gone.
func TestTroubleOfALostControlVMIsDropped(t *testing.T) {
	a, b, entry := newControl("a"), newControl("b"), newModule()
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: sick, Attempts: 40, Bad: 38}}})
	a.HandleEvent(start, troubleEvent{})
	a.tell(t, b, start, &membershippb.WatchRequest{Control: true, Trouble: true})
	b.HandleEvent(start, troubleEvent{})
	entry.chooseSources(start)
	b.tell(t, entry, start, &membershippb.WatchRequest{Trouble: true, Light: true})
	require.NotEmpty(t, entry.pool.inForce)
	lost := start.Add(watchTimeout + time.Second)
	b.HandleEvent(lost, troubleEvent{})
	require.Empty(t, b.pool.inForce)
	entry.chooseSources(lost)
	require.NotEqual(t, model.VMName("b"), entry.first())
	require.Empty(t, entry.pool.inForce)
}

// Guards against leaves that stay avoided for as long as no control VM can be reached, although they are well again.
func TestOldTroubleIsNotUsed(t *testing.T) {
	a, entry := newControl("b"), newModule()
	entry.sources = map[model.VMName]*source{"b": {}}
	entry.peers = fakePeers{{VM: "b", AvailabilityZone: "z2", Connected: true, Control: true}}
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: sick, Attempts: 40, Bad: 38}}})
	a.HandleEvent(start, troubleEvent{})
	entry.chooseSources(start)
	a.tell(t, entry, start, &membershippb.WatchRequest{Trouble: true, Light: true})
	var v kernel.View
	entry.ContributeView(start, &v)
	require.NotEmpty(t, v.LeafTrouble)
	entry.scan(start.Add(watchTimeout + time.Second))
	entry.ContributeView(start, &v)
	require.Empty(t, v.LeafTrouble)
}

// Guards against trouble that is forgotten while a control VM does not answer for a moment, and is not told again, since it has
// not changed.
func TestUnchangedTroubleIsUsedAgain(t *testing.T) {
	a, b, entry := newControl("a"), newControl("b"), newModule()
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: sick, Attempts: 40, Bad: 38}}})
	a.HandleEvent(start, troubleEvent{})
	toControl := &membershippb.WatchRequest{Control: true, Trouble: true}
	n := a.tell(t, b, start, toControl)
	toControl.Incarnation, toControl.TroubleVersion = 7, n.troubleVersion
	b.HandleEvent(start, troubleEvent{})
	entry.chooseSources(start)
	toEntry := &membershippb.WatchRequest{Trouble: true, Light: true}
	n = b.tell(t, entry, start, toEntry)
	toEntry.Incarnation, toEntry.TroubleVersion = 7, n.troubleVersion

	later := start.Add(watchTimeout + time.Second)
	b.HandleEvent(later, troubleEvent{})
	entry.chooseSources(later)
	a.tell(t, b, later, toControl)
	b.HandleEvent(later, troubleEvent{})
	b.tell(t, entry, later, toEntry)
	entry.chooseSources(later)
	b.tell(t, entry, later, toEntry)
	require.NotEmpty(t, b.pool.inForce)
	var v kernel.View
	entry.ContributeView(later, &v)
	require.NotEmpty(t, v.LeafTrouble)
}

// Guards against a report from another release that spoils what is known of a leaf for good.
func TestReportIsChecked(t *testing.T) {
	m := newControl("a")
	for _, x := range []*membershippb.LeafEvidence{{Attempts: 1, Bad: 2}, {Attempts: math.MaxUint32}} {
		data, err := proto.Marshal(&membershippb.LeafReport{Leaves: []*membershippb.LeafEvidence{x}})
		require.NoError(t, err)
		_, err = m.takeReport(context.Background(), "e", data)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), x)
	}
	data, err := proto.Marshal(&membershippb.WatchReply{Trouble: &membershippb.LeafTrouble{Leaves: []*membershippb.TroubledLeaf{{SharePercent: 101}}}})
	require.NoError(t, err)
	_, err = decodeNews(data)
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	_, err = m.takeReport(context.Background(), "e", []byte{0xff})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
}

// Guards against a line at each of several judgements a second on a bad day, and against a last change that no line tells.
func TestTroubleLinesAreBounded(t *testing.T) {
	m := newModule()
	for i := range 10 {
		m.setTrouble("a", leaves.Outliers{{ID: string(rune('a' + i))}: 0.5})
		m.logTrouble(start.Add(time.Duration(i) * troubleInterval / 10))
	}
	require.Len(t, m.pool.logged, 1)
	require.Contains(t, m.pool.logged, leaves.Incarnation{ID: "a"})
	m.logTrouble(start.Add(2 * troubleLineInterval))
	require.Equal(t, m.pool.inForce, m.pool.logged)
}
