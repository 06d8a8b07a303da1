package allowances

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/chestnuttiller/chestnuttiller/internal/allowance"
	"github.com/chestnuttiller/chestnuttiller/internal/forward"
	"github.com/chestnuttiller/chestnuttiller/internal/kernel"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/log"
	"github.com/chestnuttiller/chestnuttiller/internal/peertest"
	"github.com/chestnuttiller/chestnuttiller/internal/routes"
	"github.com/chestnuttiller/chestnuttiller/internal/settings"
)

var (
	key   = allowance.Key{Kind: allowance.KindCustomer, Name: "c"}
	limit = allowance.Limit{Rate: 0.003, Burst: 0, Slack: 24, Version: 1}
)

// cluster starts VMs of three zones in which all VMs are owners.
func cluster(t *testing.T, vms int) (*peertest.Network, map[model.VMName]*Module) {
	network := peertest.NewNetwork(t.Name())
	t.Cleanup(network.Close)
	owners := &fixedOwners{vms: vms, lists: map[model.AvailabilityZone][]model.VMName{}}
	modules := map[model.VMName]*Module{}
	for i := range vms {
		name, zone := model.VMName(fmt.Sprintf("127.0.0.%d", i+1)), model.AvailabilityZone(fmt.Sprintf("az-%d", i%3))
		owners.lists[zone] = append(owners.lists[zone], name)
	}
	for zone, names := range owners.lists {
		for _, name := range names {
			modules[name] = startVM(t, name, zone, owners)
		}
	}
	for _, m := range modules {
		require.Eventually(t, func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.owners != nil
		}, 5*time.Second, time.Millisecond)
		m.updateConnected()
	}
	return network, modules
}

// fixedOwners adds the same owners to all views.
type fixedOwners struct {
	vms   int
	lists map[model.AvailabilityZone][]model.VMName
}

func (*fixedOwners) HandleEvent(time.Time, kernel.Event) {}

func (o *fixedOwners) ContributeView(_ time.Time, v *kernel.View) {
	v.EntryVMs, v.AllowanceOwners = o.vms, o.lists
	v.Routes = &routes.Table{Customers: []routes.Customer{{Name: "c", Quota: routes.Quota{Rate: 1}}}}
}

func startVM(t *testing.T, name model.VMName, zone model.AvailabilityZone, owners kernel.Controller) *Module {
	text := fmt.Sprintf("[vm]\ncluster = test\nname = %s\navailability_zone = %s\ntraffic = routes\nzone_regions = az-0:r, az-1:r, az-2:r\n[log]\nlevel = error\n[peer_memory]\nnetwork = %s\n", name, zone, t.Name())
	s, err := settings.Parse("test.ini", []byte(text), kernel.SettingsKeys())
	require.NoError(t, err)
	k, err := kernel.New(s)
	require.NoError(t, err)
	k.Context().Control.AddController(owners)
	require.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
	m, err := kernel.LookupModule[*Module](k.Context(), "allowance.zones")
	require.NoError(t, err)
	return m
}

// takeAll takes single units at all VMs until the time is over or none is granted any more, and returns how many were granted.
func takeAll(t *testing.T, modules map[model.VMName]*Module, rounds int) (granted, local int) {
	for range rounds {
		for _, m := range modules {
			if a := m.Take(t.Context(), key, limit, 1); a.Granted {
				granted++
				if a.Local {
					local++
				}
			}
		}
	}
	return granted, local
}

// Guards against VMs that together take more than the limit, and against units of other zones that cannot be used.
func TestAllVMsShareOneLimit(t *testing.T) {
	_, modules := cluster(t, 9)
	var one *Module
	for _, m := range modules {
		one = m
	}
	alone := 0
	for range 40 {
		if one.Take(t.Context(), key, limit, 1).Granted {
			alone++
		}
	}
	require.Greater(t, alone, 4, "more than the part of one zone")
	granted, local := takeAll(t, modules, 10)
	require.LessOrEqual(t, granted+alone, 12)
	require.Zero(t, local)
}

// Guards against VMs that stop to serve, or that serve without limit, while no owner answers them.
func TestVMsWithoutOwnersUseTheirOwnPart(t *testing.T) {
	network, modules := cluster(t, 9)
	network.SetLinks(func(_, _ model.VMName) peertest.Link { return peertest.LinkDown })
	for _, m := range modules {
		m.applyView(&kernel.View{EntryVMs: len(modules), AllowanceOwners: map[model.AvailabilityZone][]model.VMName{m.zone: {"gone"}}})
	}
	granted, local := takeAll(t, modules, 10)
	require.Equal(t, granted, local)
	require.Positive(t, granted)
	require.LessOrEqual(t, granted, 9)
}

// Guards against a request that waits for longer than it may, because an owner accepts messages and does not answer them.
func TestFrozenOwnerDoesNotHoldRequestsUp(t *testing.T) {
	network, modules := cluster(t, 6)
	network.SetLinks(func(_, _ model.VMName) peertest.Link { return peertest.LinkUnresponsive })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	for _, m := range modules {
		_ = m.Take(ctx, key, limit, 1)
	}
	require.Less(t, time.Since(began), 2*time.Second)
}

// Guards against asks of one step that each take a message.
func TestAsksForOneOwnerShareAMessage(t *testing.T) {
	network, modules := cluster(t, 6)
	m := modules["127.0.0.1"]
	var asks []allowance.Ask
	for i := range 36 {
		asks = append(asks, allowance.Ask{Key: allowance.Key{Kind: allowance.KindExtra, Name: fmt.Sprint(i)}, Limit: limit, N: 1})
	}
	for _, a := range m.TakeAll(t.Context(), asks) {
		require.True(t, a.Granted)
	}
	require.LessOrEqual(t, network.Traffic("127.0.0.1").MessagesOut, int64(8+36), "asks of other owners' keys share messages")
	require.Empty(t, m.slots)
}

// Guards against a customer with an enormous quota or a long name whose asks let the owner refuse a whole message, with those of other
// customers.
func TestAsksOfUnusualCustomersAreAccepted(t *testing.T) {
	o := forward.QuotaOptions{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	names := map[string]bool{}
	for _, c := range []routes.Customer{
		{Name: "c", Quota: routes.Quota{Rate: 1e12, Burst: 1e300}}, {Name: "d", Quota: routes.Quota{Rate: 9e8}},
		{Name: strings.Repeat("e", 2000), Quota: routes.Quota{Rate: 1}}, {Name: strings.Repeat("e", 2001), Quota: routes.Quota{Rate: 1}},
	} {
		data, err := encodeAsks([]allowance.Ask{{Key: forward.QuotaKey(&c), Limit: o.Limit(c.Quota, 1), N: 1}}, nil)
		require.NoError(t, err)
		asks, _, err := decodeAsks(data)
		require.NoError(t, err, c.Quota)
		require.Equal(t, forward.QuotaKey(&c), asks[0].Key)
		names[asks[0].Key.Name] = true
	}
	require.Len(t, names, 4)
}

// Guards against malformed messages that end an owner or give it units.
func TestMalformedMessagesAreRefused(t *testing.T) {
	m := &Module{logger: log.NewNopLogger(), metrics: newMetrics(tally.NoopScope)}
	nan := 0.0
	nan /= nan
	for _, l := range []allowance.Limit{{Rate: -1}, {Rate: nan}, {Slack: 1e300}} {
		data, err := encodeAsks([]allowance.Ask{{Key: key, Limit: l, N: 1}}, nil)
		require.NoError(t, err)
		_, err = m.handleAsk(t.Context(), "x", data)
		require.Error(t, err)
	}
	_, err := m.handleAsk(t.Context(), "x", []byte{0xff})
	require.Error(t, err)
	_, err = m.handleBorrow(t.Context(), "x", []byte{0xff})
	require.Error(t, err)
	_, err = decodeAnswers(nil, 1)
	require.Error(t, err)
	_, err = decodeUnits(nil, 1)
	require.Error(t, err)
}
