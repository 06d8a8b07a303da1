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

var badLeaf = leaves.Incarnation{ID: "i", BornMS: 3}

func newControl(name model.VMName) *Module {
	m := newModule()
	m.self, m.isControl, m.incarnation = name, true, 7
	return m
}

// sendUpdate applies an update of a control VM to another VM, and returns it.
func (m *Module) sendUpdate(t *testing.T, to *Module, now time.Time, req *membershippb.WatchRequest) update {
	data, err := proto.Marshal(m.updateFor(now, req, true))
	require.NoError(t, err)
	u, err := decodeUpdate(data)
	require.NoError(t, err)
	u.light, u.outliersRequested = true, req.GetTrouble()
	to.applyUpdate(now, updateEvent{m.self, u})
	return u
}

// Guards against outliers that only the reporting VM avoids, and against updates that are sent again without a change.
func TestOutliersReachAllVMs(t *testing.T) {
	a, b, entry := newControl("a"), newControl("b"), newModule()
	entry.chooseSources(start)
	require.Equal(t, model.VMName("b"), entry.primaryControlVM(), "the control VM of the own availability zone")
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: badLeaf, Attempts: 40, Bad: 38}}})
	notified := a.outlierPool.changed
	a.HandleEvent(start, outlierEvent{})
	select {
	case <-notified:
	default:
		t.Fatal("the watching VMs are not notified")
	}
	a.sendUpdate(t, b, start, &membershippb.WatchRequest{Control: true, Trouble: true, Incarnation: 7})
	b.HandleEvent(start, outlierEvent{})
	req := &membershippb.WatchRequest{Trouble: true, Light: true, Incarnation: 7}
	n := b.sendUpdate(t, entry, start, req)
	var v kernel.View
	entry.ContributeView(start, &v)
	require.InDelta(t, 0.9, v.LeafOutliers[badLeaf], 0.05)
	req.TroubleVersion = n.outlierVersion
	require.Nil(t, b.updateFor(start, req, false))
	require.Nil(t, b.updateFor(start, &membershippb.WatchRequest{Light: true, Incarnation: 7}, false), "it did not request outliers")

	later := start.Add(time.Minute)
	a.HandleEvent(later, outlierEvent{})
	a.sendUpdate(t, b, later, &membershippb.WatchRequest{Control: true, Trouble: true, Incarnation: 7})
	b.HandleEvent(later, outlierEvent{})
	b.sendUpdate(t, entry, later, req)
	require.Empty(t, entry.outlierPool.inForce, "the evidence has decayed")
}

// Guards against control VMs that send the evidence they received back to each other, and that send evidence more often
// than the cost of traffic between availability zones allows; and against outliers whose end is never sent.
func TestControlVMsSendEvidenceSeldom(t *testing.T) {
	a, b := newControl("a"), newControl("b")
	req := &membershippb.WatchRequest{Control: true, Trouble: true, Incarnation: 7}
	report := func(at time.Time, id string) {
		a.HandleEvent(at, reportEvent{[]leaves.Evidence{{Leaf: leaves.Incarnation{ID: id}, Attempts: 40, Bad: 38}}})
		a.HandleEvent(at, outlierEvent{})
	}
	report(start, "i")
	a.sendUpdate(t, b, start, req)
	b.HandleEvent(start, outlierEvent{})
	require.NotZero(t, b.outlierPool.version)
	require.Zero(t, b.outlierPool.evidenceVersion, "nothing was reported to it")
	version := a.outlierPool.evidenceVersion
	report(start.Add(outlierInterval), "j")
	require.Equal(t, version, a.outlierPool.evidenceVersion)
	a.HandleEvent(start.Add(evidenceInterval), outlierEvent{})
	require.Equal(t, version+1, a.outlierPool.evidenceVersion)
	a.HandleEvent(start.Add(time.Minute), outlierEvent{})
	require.Empty(t, a.outlierPool.evidence)
	a.sendUpdate(t, b, start, req)
	b.HandleEvent(start, outlierEvent{})
	require.Empty(t, b.outlierPool.inForce)
}

// Guards against leaves that stay avoided because the control VM that sent the outliers is lost.
func TestOutliersOfLostControlVMAreRemoved(t *testing.T) {
	a, b, entry := newControl("a"), newControl("b"), newModule()
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: badLeaf, Attempts: 40, Bad: 38}}})
	a.HandleEvent(start, outlierEvent{})
	a.sendUpdate(t, b, start, &membershippb.WatchRequest{Control: true, Trouble: true})
	b.HandleEvent(start, outlierEvent{})
	entry.chooseSources(start)
	b.sendUpdate(t, entry, start, &membershippb.WatchRequest{Trouble: true, Light: true})
	require.NotEmpty(t, entry.outlierPool.inForce)
	lost := start.Add(watchTimeout + time.Second)
	b.HandleEvent(lost, outlierEvent{})
	require.Empty(t, b.outlierPool.inForce)
	entry.chooseSources(lost)
	require.NotEqual(t, model.VMName("b"), entry.primaryControlVM())
	require.Empty(t, entry.outlierPool.inForce)
}

// Guards against leaves that stay avoided for as long as no control VM can be reached, although they have recovered.
func TestOldOutliersAreNotUsed(t *testing.T) {
	a, entry := newControl("b"), newModule()
	entry.sources = map[model.VMName]*source{"b": {}}
	entry.peers = fakePeers{{VM: "b", AvailabilityZone: "z2", Connected: true, Control: true}}
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: badLeaf, Attempts: 40, Bad: 38}}})
	a.HandleEvent(start, outlierEvent{})
	entry.chooseSources(start)
	a.sendUpdate(t, entry, start, &membershippb.WatchRequest{Trouble: true, Light: true})
	var v kernel.View
	entry.ContributeView(start, &v)
	require.NotEmpty(t, v.LeafOutliers)
	entry.scan(start.Add(watchTimeout + time.Second))
	entry.ContributeView(start, &v)
	require.Empty(t, v.LeafOutliers)
}

// Guards against outliers that are removed while a control VM does not answer for a moment, and are not sent again
// because they have not changed.
func TestUnchangedOutliersAreUsedAgain(t *testing.T) {
	a, b, entry := newControl("a"), newControl("b"), newModule()
	a.HandleEvent(start, reportEvent{[]leaves.Evidence{{Leaf: badLeaf, Attempts: 40, Bad: 38}}})
	a.HandleEvent(start, outlierEvent{})
	toControl := &membershippb.WatchRequest{Control: true, Trouble: true}
	n := a.sendUpdate(t, b, start, toControl)
	toControl.Incarnation, toControl.TroubleVersion = 7, n.outlierVersion
	b.HandleEvent(start, outlierEvent{})
	entry.chooseSources(start)
	toEntry := &membershippb.WatchRequest{Trouble: true, Light: true}
	n = b.sendUpdate(t, entry, start, toEntry)
	toEntry.Incarnation, toEntry.TroubleVersion = 7, n.outlierVersion

	later := start.Add(watchTimeout + time.Second)
	b.HandleEvent(later, outlierEvent{})
	entry.chooseSources(later)
	a.sendUpdate(t, b, later, toControl)
	b.HandleEvent(later, outlierEvent{})
	b.sendUpdate(t, entry, later, toEntry)
	entry.chooseSources(later)
	b.sendUpdate(t, entry, later, toEntry)
	require.NotEmpty(t, b.outlierPool.inForce)
	var v kernel.View
	entry.ContributeView(later, &v)
	require.NotEmpty(t, v.LeafOutliers)
}

// Guards against a report from another release whose numbers would falsify the evidence about a leaf for a long time.
func TestReportIsChecked(t *testing.T) {
	m := newControl("a")
	for _, evidence := range []*membershippb.LeafEvidence{{Attempts: 1, Bad: 2}, {Attempts: math.MaxUint32}} {
		data, err := proto.Marshal(&membershippb.LeafReport{Leaves: []*membershippb.LeafEvidence{evidence}})
		require.NoError(t, err)
		_, err = m.handleReport(context.Background(), "e", data)
		require.Equal(t, errs.KindInvalid, errs.KindOf(err), evidence)
	}
	data, err := proto.Marshal(&membershippb.WatchReply{Trouble: &membershippb.LeafTrouble{Leaves: []*membershippb.TroubledLeaf{{SharePercent: 101}}}})
	require.NoError(t, err)
	_, err = decodeUpdate(data)
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
	_, err = m.handleReport(context.Background(), "e", []byte{0xff})
	require.Equal(t, errs.KindInvalid, errs.KindOf(err))
}

// Guards against a log line for each of several evaluations per second during faults, and against a last change that is
// not logged.
func TestOutlierLogLinesAreLimited(t *testing.T) {
	m := newModule()
	for i := range 10 {
		m.setOutliers("a", leaves.Outliers{{ID: string(rune('a' + i))}: 0.5})
		m.logOutliers(start.Add(time.Duration(i) * outlierInterval / 10))
	}
	require.Len(t, m.outlierPool.logged, 1)
	require.Contains(t, m.outlierPool.logged, leaves.Incarnation{ID: "a"})
	m.logOutliers(start.Add(2 * outlierLogInterval))
	require.Equal(t, m.outlierPool.inForce, m.outlierPool.logged)
}
