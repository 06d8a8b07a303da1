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

// Guards against an owner that is not told that its place has changed, and refills buckets for time in which it was not the first one.
func TestOwnerLearnsOfChangedConnections(t *testing.T) {
	network, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	reached := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.reached)
	}
	require.Eventually(t, func() bool { return reached() == 3 }, 5*time.Second, time.Millisecond)
	network.SetLinks(func(_, _ model.VMName) peertest.Link { return peertest.LinkDown })
	require.Eventually(t, func() bool { return reached() == 1 }, 5*time.Second, time.Millisecond)
}

// Guards against a VM that is no longer an owner and refills its buckets while the new owner does so too.
func TestVMThatIsNoLongerOwnerIsNotRefilled(t *testing.T) {
	_, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	standsIn := func(list ...model.VMName) bool {
		m.applyView(&kernel.View{
			EntryVMs: 9, AllowanceOwners: map[model.AvailabilityZone][]model.VMName{m.zone: list},
			Routes: &routes.Table{Customers: []routes.Customer{{Name: "c", Quota: routes.Quota{Rate: 1}}}},
		})
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.standsIn(key)
	}
	require.False(t, standsIn(m.self))
	require.False(t, standsIn(m.self, "gone"))
	require.True(t, standsIn("gone"))
	require.True(t, standsIn())
}

// Guards against one customer with a huge quota or a long name whose asks fail, after which this VM passes over the owner for all customers.
func TestHugeLimitsAndLongNamesAreAskedFor(t *testing.T) {
	_, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	huge := allowance.Limit{Rate: 1e12, Burst: 1e300, Slack: 1e300, Version: 1}
	for i := range 8 {
		a := m.Take(t.Context(), allowance.Key{Kind: allowance.KindCustomer, Name: fmt.Sprint(i) + strings.Repeat("n", 2*allowance.MaxNameBytes)}, huge, 1)
		require.True(t, a.Granted)
		require.False(t, a.Local)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Empty(t, m.loggedAt, "no owner has failed")
}

// Guards against the first seconds after a start in which no request waits for an owner, because one was cancelled while it waited.
func TestCancelledRequestDoesNotEndTheWaitForOwners(t *testing.T) {
	network, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	network.SetLinks(func(_, _ model.VMName) peertest.Link { return peertest.LinkDown })
	m.applyView(&kernel.View{EntryVMs: 9, AllowanceOwners: map[model.AvailabilityZone][]model.VMName{m.zone: {"gone"}}})
	waits := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.noOwnerUntil.IsZero()
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.True(t, m.Take(ctx, key, limit, 1).Local)
	require.True(t, waits())
	require.True(t, m.Take(t.Context(), key, limit, 1).Local)
	require.False(t, waits())
}

// Guards against a slow owner that grants units to requests that have stopped waiting.
func TestAbandonedAsksAreNotSent(t *testing.T) {
	_, modules := cluster(t, 9)
	m, other := modules["127.0.0.1"], modules["127.0.0.4"]
	o := &outgoing{messages: 1}
	for i := range 3 {
		o.queue = append(o.queue, &pendingAsk{ask: allowance.Ask{Key: key, Limit: limit, N: 1}, result: make(chan askResult, 1), abandoned: i != 1})
	}
	live := o.queue[1]
	m.send(other.self, o)
	require.Len(t, live.result, 1)
	other.mu.Lock()
	defer other.mu.Unlock()
	counts := other.owner.Counts()
	require.Equal(t, uint64(1), counts.Granted+counts.Denied)
}

// Guards against an owner that refuses requests for a second after a start, because other zones were not connected at the first of them.
func TestZonesAreAskedOnceTheyAreConnected(t *testing.T) {
	_, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	m.mu.Lock()
	defer m.mu.Unlock()
	k, l := allowance.Key{Kind: allowance.KindCustomer, Name: "other"}, allowance.Limit{Rate: 0.003, Version: 1}
	var out allowance.Effects
	m.owner.Ask(m.now(), allowance.Ask{Key: k, Limit: l, N: 1}, false, &out)
	require.Len(t, out.Borrows, 2)
	for _, b := range out.Borrows {
		m.owner.Lent(m.now(), b, 0, false, &out)
	}
	require.False(t, out.Replies[0].Answer.Granted)
	m.notifyOwnersChanged()
	out = allowance.Effects{}
	m.owner.Ask(m.now(), allowance.Ask{Key: k, Limit: l, N: 1}, false, &out)
	require.Len(t, out.Borrows, 2)
}

// Guards against an owner that is stopping, cannot borrow any more and denies requests below the limit.
func TestStoppingOwnerIsPassedOver(t *testing.T) {
	_, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	data, err := encodeAsks([]allowance.Ask{{Key: key, Limit: limit, N: 1}}, nil)
	require.NoError(t, err)
	_, err = m.handleAsk(t.Context(), "x", data)
	require.NoError(t, err)
	require.NoError(t, m.Stop(t.Context()))
	_, err = m.handleAsk(t.Context(), "x", data)
	require.Error(t, err)
	data, err = encodeBorrows([]allowance.Borrow{{Key: key, Limit: limit, Units: 1}})
	require.NoError(t, err)
	_, err = m.handleBorrow(t.Context(), "x", data)
	require.Error(t, err)
}

// Guards against a step that waits for each of its asks in turn while owners do not answer.
func TestAsksWaitTogetherForFrozenOwners(t *testing.T) {
	network, modules := cluster(t, 12)
	network.SetLinks(func(_, _ model.VMName) peertest.Link { return peertest.LinkUnresponsive })
	modules["127.0.0.1"].applyView(&kernel.View{
		EntryVMs: 12, AllowanceOwners: map[model.AvailabilityZone][]model.VMName{"az-0": {"127.0.0.4", "127.0.0.7", "127.0.0.10"}},
		Routes: &routes.Table{Customers: []routes.Customer{{Name: "c", Quota: routes.Quota{Rate: 1}}}},
	})
	var asks []allowance.Ask
	for i := range 100 {
		asks = append(asks, allowance.Ask{Key: allowance.Key{Kind: allowance.KindExtra, Name: fmt.Sprint(i)}, Limit: limit, N: 1})
	}
	began := time.Now()
	require.Len(t, modules["127.0.0.1"].TakeAll(t.Context(), asks), len(asks))
	require.Less(t, time.Since(began), time.Second)
}

// Guards against units that are lost because they are granted to a VM that has disconnected while its ask waited for other zones.
func TestAskOfDisconnectedVMIsWithdrawn(t *testing.T) {
	network, modules := cluster(t, 9)
	m := modules["127.0.0.1"]
	network.SetLinks(func(_, _ model.VMName) peertest.Link { return peertest.LinkUnresponsive })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l := allowance.Limit{Rate: 0.003, Version: 1}
	require.False(t, m.decide(ctx, []allowance.Ask{{Key: allowance.Key{Kind: allowance.KindCustomer, Name: "other"}, Limit: l, N: 1}})[0].Granted)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.False(t, m.owner.Waiting())
	require.Empty(t, m.slots)
}
