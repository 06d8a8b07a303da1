package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

const interval = time.Second

// simulation runs several nodes with simulated time. Messages can be lost, delayed, reordered and duplicated.
type simulation struct {
	now    time.Time
	random *rand.Rand
	nodes  map[model.VMName]*Node
	zones  map[model.VMName]model.AvailabilityZone
	queue  []simulatedMessage
	listed map[model.VMName]map[string]string
	cut    func(a, b model.VMName) bool
	loss   float64
	next   int
	seed   uint64
}

type simulatedMessage struct {
	from, to model.VMName
	message  any
}

func newSimulation(seed uint64, zones, perZone int) *simulation {
	s := &simulation{
		seed: seed, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), nodes: map[model.VMName]*Node{},
		zones: map[model.VMName]model.AvailabilityZone{}, listed: map[model.VMName]map[string]string{},
		cut: func(_, _ model.VMName) bool { return false },
	}
	for z := range zones {
		for i := range perZone {
			vm := model.VMName(fmt.Sprintf("vm-%d-%d", z, i))
			s.zones[vm] = model.AvailabilityZone(fmt.Sprintf("az-%d", z))
			s.start(vm)
		}
	}
	return s
}

func (s *simulation) start(vm model.VMName) {
	s.next++
	s.nodes[vm] = NewNode(Config{Self: vm, Zone: s.zones[vm], Incarnation: uint64(s.next), Interval: interval, ExpireAfter: 3 * interval})
	s.listed[vm] = map[string]string{}
}

func (s *simulation) names() []model.VMName {
	var out []model.VMName
	for vm := range s.nodes {
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}

// tick calls Tick on all nodes and delivers all messages that follow.
func (s *simulation) tick() {
	s.now = s.now.Add(interval)
	for _, vm := range s.names() {
		var peers []Peer
		for _, other := range s.names() {
			if other != vm && !s.cut(vm, other) {
				peers = append(peers, Peer{other, s.zones[other]})
			}
		}
		s.nodes[vm].SetPeers(peers)
		s.nodes[vm].Tick(s.now)
		s.collectEffects(vm)
	}
	s.deliver()
}

func (s *simulation) deliver() {
	for len(s.queue) > 0 {
		i := s.random.IntN(min(len(s.queue), 8)) // A message may overtake up to 7 others.
		m := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		if s.cut(m.from, m.to) || s.random.Float64() < s.loss {
			continue
		}
		s.handle(m)
		if s.random.Float64() < s.loss {
			s.handle(m)
		}
	}
}

func (s *simulation) handle(m simulatedMessage) {
	n := s.nodes[m.to]
	switch msg := m.message.(type) {
	case PullTable:
		if t, stamp := n.Table(msg.Origin); t != nil {
			s.nodes[m.from].HandleTable(s.now, msg.Origin, stamp, t.Records(model.TargetKey{}))
			s.collectEffects(m.from)
		}
	case PullVector:
		s.nodes[m.from].HandleVector(s.now, m.to, msg.Scope, n.Entries(msg.Scope))
		s.collectEffects(m.from)
	default:
		n.HandleMessage(s.now, m.from, msg)
		s.collectEffects(m.to)
	}
}

func (s *simulation) collectEffects(vm model.VMName) {
	e := s.nodes[vm].TakeEffects()
	for _, send := range e.Sends {
		s.queue = append(s.queue, simulatedMessage{from: vm, to: send.To, message: send.Message})
	}
	for _, p := range e.PullTables {
		s.queue = append(s.queue, simulatedMessage{from: vm, to: p.From, message: p})
	}
	for _, p := range e.PullVectors {
		s.queue = append(s.queue, simulatedMessage{from: vm, to: p.From, message: p})
	}
	for _, l := range e.Listings {
		key := string(l.Origin) + " " + l.Key.String()
		if l.Record == nil {
			delete(s.listed[vm], key)
		} else {
			s.listed[vm][key] = fmt.Sprint(l.Record.Incarnation, l.Record.Sequence, l.Record.State)
		}
	}
}

// wantListings returns the targets that a VM has to list: those in the tables of all other VMs that it can reach.
func (s *simulation) wantListings(vm model.VMName) map[string]string {
	out := map[string]string{}
	for _, other := range s.names() {
		if other == vm || s.cut(vm, other) {
			continue
		}
		for _, r := range s.nodes[other].ownTable.records {
			out[string(other)+" "+r.Key().String()] = fmt.Sprint(r.Incarnation, r.Sequence, r.State)
		}
	}
	return out
}

func (s *simulation) put(vm model.VMName, id string, sequence uint64, state model.TargetState) {
	s.nodes[vm].Put(&model.Announcement{Service: "depot", ID: model.TargetID(id), Addr: "127.0.0.1:1", Incarnation: 1, Sequence: sequence, State: state})
	s.nodes[vm].Flush()
	s.collectEffects(vm)
}

func (s *simulation) requireAgreement(t *testing.T) {
	t.Helper()
	for _, vm := range s.names() {
		require.Equal(t, s.wantListings(vm), s.listed[vm], "VM %s, seed %d", vm, s.seed)
	}
}

// Guards against a VM whose copy of a table stays wrong after messages were lost, duplicated or reordered, after VMs
// restarted, or after a partition between zones has ended.
func TestTablesAgreeAfterFaults(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		s := newSimulation(seed, 3, 4)
		names := s.names()
		s.tick()
		for step := range 60 {
			vm := names[s.random.IntN(len(names))]
			switch s.random.IntN(8) {
			case 0:
				s.start(vm)
			case 1:
				s.loss = 0.3
			case 2:
				zone := s.zones[vm]
				s.cut = func(a, b model.VMName) bool { return (s.zones[a] == zone) != (s.zones[b] == zone) }
			case 3:
				s.cut = func(_, _ model.VMName) bool { return false }
			case 4:
				s.nodes[vm].Remove(model.TargetKey{Service: "depot", ID: model.TargetID(fmt.Sprint(s.random.IntN(20)))})
				s.nodes[vm].Flush()
				s.collectEffects(vm)
			case 5:
				s.tick()
			default:
				s.put(vm, fmt.Sprint(s.random.IntN(20)), uint64(step+1), model.TargetServing)
			}
			if s.random.IntN(2) == 0 {
				s.deliver()
			}
		}
		s.loss = 0
		s.cut = func(_, _ model.VMName) bool { return false }
		for range 8 {
			s.tick()
		}
		s.requireAgreement(t)
	}
}

// Guards against a change that is not sent before the next periodic report.
func TestChangeIsSentImmediately(t *testing.T) {
	s := newSimulation(1, 3, 4)
	s.tick()
	s.put("vm-0-0", "leaf", 1, model.TargetServing)
	s.deliver()
	s.requireAgreement(t)
	s.put("vm-0-0", "leaf", 2, model.TargetLeaving)
	s.deliver()
	s.requireAgreement(t)
}

// Guards against targets of a cut-off zone that stay listed in the other zones.
func TestTargetsOfCutOffZoneExpire(t *testing.T) {
	s := newSimulation(2, 3, 4)
	s.tick()
	for _, vm := range s.names() {
		s.put(vm, "leaf-of-"+string(vm), 1, model.TargetServing)
	}
	s.tick()
	s.cut = func(a, b model.VMName) bool { return (s.zones[a] == "az-1") != (s.zones[b] == "az-1") }
	for range 5 { // Expiry after 3 intervals, and two hops of at most one interval each.
		s.tick()
	}
	s.requireAgreement(t)
	require.Len(t, s.listed["vm-0-0"], 7)
	require.Len(t, s.listed["vm-1-0"], 3)
}

// Guards against messages in steady state that grow with the number of targets or VMs.
func TestSteadyStateMessagesAreConstant(t *testing.T) {
	s := newSimulation(3, 3, 10)
	s.tick()
	for i := range 300 {
		s.put(s.names()[i%30], fmt.Sprint(i), 1, model.TargetServing)
	}
	for range 3 {
		s.tick()
	}
	s.now = s.now.Add(interval)
	for _, vm := range s.names() {
		s.nodes[vm].Tick(s.now)
		for _, send := range s.nodes[vm].TakeEffects().Sends {
			if u, ok := send.Message.(VectorUpdate); ok {
				require.Empty(t, u.Put)
				require.Empty(t, u.Removed)
			}
		}
	}
}
