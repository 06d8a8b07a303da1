package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	"github.com/chestnuttiller/chestnuttiller/internal/modules/membership/membershippb"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

func controlWithEntryVMs(n int) *Module {
	m := newModule()
	m.isControl, m.started, m.entryLastWatch = true, start, map[model.VMName]time.Time{}
	for i := range n {
		vm := model.VMName(fmt.Sprintf("e-%d", i))
		m.entryLastWatch[vm] = start
		m.owners.noteZone(start, vm, fmt.Sprintf("az-%d", i%3))
	}
	return m
}

// Guards against a control VM that has just started and moves all allowances to the few entry VMs that it knows.
func TestOwnersAreChosenOnceTheEntryVMsHaveConnected(t *testing.T) {
	m := controlWithEntryVMs(300)
	ask := &membershippb.WatchRequest{AvailabilityZone: "az-1", Incarnation: m.incarnation}
	m.entryLastWatch["has not stated its zone"] = start
	m.updateOwners(start.Add(entryCountDelay))
	require.False(t, m.newOwners(ask))
	delete(m.entryLastWatch, "has not stated its zone")
	now := start.Add(entryCountDelay + time.Second)
	m.updateOwners(now)
	require.True(t, m.newOwners(ask))
	require.Len(t, m.owners.lists, 3)
	require.Len(t, m.owners.lists["az-1"], 6)
	reply := m.updateFor(now, ask, false)
	require.Equal(t, m.owners.lists, ownersFromProto(reply.GetOwners()))
	ask.OwnersDigest = reply.GetOwners().GetDigest()
	require.Nil(t, m.updateFor(now, ask, true).GetOwners(), "the VM has them")
	require.Nil(t, m.updateFor(now, &membershippb.WatchRequest{}, true).GetOwners(), "deployments without zones pay nothing")
}

// Guards against a list of owners that changes with each entry VM that starts, and one that keeps VMs that have gone.
func TestOwnersChangeAtMostOnceASecond(t *testing.T) {
	m := controlWithEntryVMs(30)
	now := start.Add(time.Minute)
	m.updateOwners(now)
	before := m.owners.digest
	gone := m.owners.lists["az-0"][0]
	delete(m.entryLastWatch, gone)
	m.updateOwners(now.Add(ownersInterval / 2))
	require.Equal(t, before, m.owners.digest)
	m.updateOwners(now.Add(ownersInterval))
	require.NotEqual(t, before, m.owners.digest)
	require.NotContains(t, m.owners.lists["az-0"], gone)
}

// Guards against entry VMs that take the owners of different control VMs in turn, or request them where no zones are listed.
func TestEntryVMFollowsThePrimaryControlVM(t *testing.T) {
	m := newModule()
	primary := model.VMName("b")
	m.outlierPool.primary.Store(&primary)
	req := &membershippb.WatchRequest{}
	m.requestOwners("b", req)
	require.Empty(t, req.GetAvailabilityZone())
	m.settings = &settings.Settings{ZoneRegions: map[model.AvailabilityZone]string{"z2": "r"}}
	m.requestOwners("b", req)
	require.Equal(t, "z2", req.GetAvailabilityZone(), "the control VMs know the zones when the first limit comes into force")
	require.Equal(t, anyOwners, req.GetOwnersDigest(), "nothing is limited, so no owners are requested")
	require.False(t, (&Module{owners: allowanceOwners{digest: 1}}).newOwners(req))
	m.control.SetTestView(&kernel.View{Routes: &routes.Table{Customers: []routes.Customer{{Name: "c", Quota: routes.Quota{Rate: 1}}}}})
	m.requestOwners("b", req)
	require.Zero(t, req.GetOwnersDigest())
	m.requestOwners("a", req)
	require.Equal(t, anyOwners, req.GetOwnersDigest())
	lists := ownerLists{"z2": {"e"}}
	m.applyOwners("a", lists, 7)
	require.Nil(t, m.owners.lists)
	m.applyOwners("b", lists, 7)
	require.Equal(t, lists, m.owners.lists)
	m.requestOwners("b", req)
	require.Equal(t, uint64(7), req.GetOwnersDigest())
}

// Guards against entry VMs that have no owners, and refuse requests below the limits, for some seconds after a restart of all VMs.
func TestOwnersAreRestored(t *testing.T) {
	before := ownerLists{"z2": {"e", "f"}}
	m := newModule()
	m.isControl = true
	m.restore(start, cachedState{owners: before})
	req := &membershippb.WatchRequest{AvailabilityZone: "z2", Incarnation: m.incarnation}
	reply := m.updateFor(start, req, false)
	require.NotNil(t, reply)
	require.Equal(t, before, ownersFromProto(reply.GetOwners()))
	req.OwnersDigest = reply.GetOwners().GetDigest()
	require.Nil(t, m.updateFor(start, req, false))
}

// Guards against entry VMs without owners that refuse requests below the limits for 5 s after the first start of all VMs, and against ones
// that take the few or old owners of a control VM that has just started instead of those that they have.
func TestControlVMThatHasJustStartedSendsOwnersToVMsWithoutAny(t *testing.T) {
	m := controlWithEntryVMs(6)
	without := &membershippb.WatchRequest{AvailabilityZone: "az-1", Incarnation: m.incarnation}
	with := &membershippb.WatchRequest{AvailabilityZone: "az-1", Incarnation: m.incarnation, OwnersDigest: 5}
	m.owners.noteZone(start.Add(100*time.Millisecond), "late", "az-0")
	m.entryLastWatch["late"] = start
	m.updateOwners(start.Add(ownersInterval))
	require.False(t, m.newOwners(without), "others may be about to connect")
	now := start.Add(2 * ownersInterval)
	m.updateOwners(now)
	require.True(t, m.newOwners(without))
	require.False(t, m.newOwners(with))
	first := m.owners.digest
	m.owners.noteZone(now, "later", "az-0")
	m.entryLastWatch["later"] = now
	m.updateOwners(now.Add(ownersInterval))
	require.Equal(t, first, m.owners.digest, "the owners that VMs have been sent are kept until the VMs can be counted")
	held := m.changed
	m.updateOwners(start.Add(entryCountDelay + time.Second))
	require.True(t, m.newOwners(with))
	require.NotEqual(t, held, m.changed, "requests on hold are answered")

	m = newModule()
	m.isControl = true
	m.restore(start, cachedState{owners: ownerLists{"az-1": {"e"}}})
	require.True(t, m.newOwners(without))
	require.False(t, m.newOwners(with), "restored owners may be old")
}
