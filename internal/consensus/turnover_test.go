package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// The settings of deploy/control.ini. The group has to tolerate the next loss turnoverCatchUp after a loss, which is the users' bound.
const (
	turnoverTick          = 50 * time.Millisecond
	turnoverElectionTicks = 12
	turnoverReplaceTicks  = 40
	turnoverRetry         = 500 * time.Millisecond
	turnoverCatchUp       = 4 * time.Second
)

// turnover runs a sim by a clock, with delays of messages and syncs. The messages from one replica to another keep their order.
type turnover struct {
	*sim
	at       time.Duration
	messages []timedMessage
	// syncs holds the sync under way of each replica, and nextTick and nextJoin when it ticks and asks to join.
	syncs              map[*simReplica]timedSync
	nextTick, nextJoin map[*simReplica]time.Duration
	// sync and message draw a delay.
	sync, message func(*rand.Rand) time.Duration
	// joined is how many VMs have been added.
	joined int
}

type timedMessage struct {
	Message
	due time.Duration
}

// timedSync covers the first writes of a queue.
type timedSync struct {
	writes int
	due    time.Duration
}

func newTurnover(t simTest, seed uint64, voters, machines int) *turnover {
	x := &turnover{
		sim: newSim(t, seed, voters), syncs: map[*simReplica]timedSync{},
		nextTick: map[*simReplica]time.Duration{}, nextJoin: map[*simReplica]time.Duration{},
		message: drawBetween(time.Millisecond, 4*time.Millisecond),
	}
	x.maxVoters, x.replaceAfter = voters, turnoverReplaceTicks
	for _, r := range x.replicas {
		x.configure(r)
	}
	for range machines - voters {
		x.add()
	}
	return x
}

func drawBetween(low, high time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration { return low + time.Duration(random.Int64N(int64(high-low))) }
}

func (x *turnover) configure(r *simReplica) {
	c := &r.node.cfg
	c.ElectionTicks, c.MaxVoters, c.ReplaceAfterTicks = turnoverElectionTicks, x.maxVoters, x.replaceAfter
	c.MaxMessageBytes, c.ChunkBytes, c.MaxInflight = 256<<10, 256<<10, 8
	r.node.resetTimeout()
	x.nextTick[r] = x.at + time.Duration(x.random.Int64N(int64(turnoverTick)))
}

// add starts an empty replica on a new VM. Its process starts at once and asks to join until it is a member.
func (x *turnover) add() {
	x.joined++
	r := x.newReplica(model.VMName(fmt.Sprintf("new-%d", x.joined)))
	x.sim.start(r)
	x.configure(r)
	x.nextJoin[r] = x.at + time.Duration(x.random.Int64N(int64(turnoverRetry)))
}

// collect gives the new messages and writes their delays.
func (x *turnover) collect() {
	for _, m := range x.network {
		due := x.at + x.message(x.random)
		for _, earlier := range x.messages {
			if earlier.From == m.From && earlier.To == m.To {
				due = max(due, earlier.due)
			}
		}
		x.messages = append(x.messages, timedMessage{m, due})
	}
	x.network = nil
	for _, r := range x.live() {
		if x.syncs[r].writes == 0 && len(r.disk.queue) > 0 {
			x.syncs[r] = timedSync{len(r.disk.queue), x.at + x.sync(x.random)}
		}
	}
}

// advance lets a millisecond pass.
func (x *turnover) advance() {
	x.at += time.Millisecond
	x.now = x.now.Add(time.Millisecond)
	for _, r := range x.live() {
		if x.at >= x.nextTick[r] {
			x.nextTick[r] += turnoverTick
			x.tick(r)
		}
		if s := x.syncs[r]; s.writes > 0 && x.at >= s.due {
			delete(x.syncs, r)
			x.persist(r, s.writes)
		}
		x.join(r)
	}
	for i := 0; i < len(x.messages); {
		if x.messages[i].due > x.at {
			i++
			continue
		}
		m := x.messages[i].Message
		x.messages = slices.Delete(x.messages, i, i+1)
		if x.connected(m.From, m.To) {
			to := x.byID(m.To)
			to.node.Step(m)
			x.flush(to)
		}
	}
	x.collect()
}

// join asks the leader to add a replica that is no member, as the module control.log does.
func (x *turnover) join(r *simReplica) {
	if at, ok := x.nextJoin[r]; !ok || x.at < at {
		return
	}
	x.nextJoin[r] = x.at + turnoverRetry
	l := x.leader()
	if l == nil {
		return
	}
	if _, ok := findMember(l.node.members(), r.id); ok {
		delete(x.nextJoin, r)
		return
	}
	_, _ = l.node.ProposeChange(x.now, Change{Kind: AddLearner, Member: Member{Replica: r.id, VM: r.vm}})
	x.flush(l)
}

func (x *turnover) run(d time.Duration) {
	for end := x.at + d; x.at < end; {
		x.advance()
	}
}

// lose ends a replica for good, and starts the successor of its VM.
func (x *turnover) lose(r *simReplica) {
	r.node, r.diskLost = nil, true
	delete(x.nextJoin, r)
	x.add()
}

// draw returns the leader, or in one of three cases another member.
func (x *turnover) draw() *simReplica {
	l := x.leader()
	if l == nil || x.random.IntN(3) == 0 {
		return x.live()[x.random.IntN(len(x.live()))]
	}
	return l
}

// repairedSince returns how long after a moment the group has had no lost voter and no pending change, within the limit.
func (x *turnover) repairedSince(begin, limit time.Duration) time.Duration {
	repaired := begin
	for x.at < begin+limit {
		x.advance()
		if !x.toleratesLoss() {
			repaired = x.at
		}
	}
	return repaired - begin
}

// toleratesLoss reports whether the group has a leader, all its voters run and no change of its members is pending.
func (x *turnover) toleratesLoss() bool {
	l := x.leader()
	return l != nil && !l.node.changePending() && !slices.ContainsFunc(l.node.voters(), func(id ReplicaID) bool { return x.byID(id).node == nil })
}

// disturb adds something that a group has to bear beside a loss, drawn by its seed.
func (x *turnover) disturb(kind uint64) {
	live := x.live()
	r := live[x.random.IntN(len(live))]
	switch kind {
	case 1: // The successor gets a snapshot.
		for _, r := range live {
			x.compact(r)
		}
	case 2: // A disk is full while the members change.
		r.node.SetDiskFull(true)
		x.run(time.Second)
		r.node.SetDiskFull(false)
	case 3: // The successor is lost before it votes, and another one takes its place.
		x.run(drawBetween(0, time.Second)(x.random))
		x.lose(x.replicas[len(x.replicas)-1])
	}
}

// Guards against a group that ends for good because machines are lost one after the other, each as soon as the bounds allow it: a lost
// voter that still counts then leaves no quorum with the next loss. Disks are fast, slow, or stall now and then; a successor may need a
// snapshot or be lost itself, and a disk may be full.
func TestLossesOneCatchUpApart(t *testing.T) {
	const seeds, losses, disturbances = 72, 18, 4
	disks := []func(*rand.Rand) time.Duration{
		drawBetween(time.Millisecond, 3*time.Millisecond), drawBetween(40*time.Millisecond, 80*time.Millisecond),
		func(random *rand.Rand) time.Duration {
			if random.IntN(50) == 0 {
				return time.Duration(random.Int64N(int64(300 * time.Millisecond)))
			}
			return 2 * time.Millisecond
		},
	}
	// Each loss takes as many machines as the group tolerates.
	sizes := []struct{ voters, machines, lost int }{{3, 3, 1}, {3, 4, 1}, {3, 5, 1}, {5, 5, 1}, {5, 5, 2}, {5, 6, 2}}
	survived, longest := 0, time.Duration(0)
	for seed := range uint64(seeds) {
		size := sizes[seed%uint64(len(sizes))]
		x := newTurnover(t, seed, size.voters, size.machines)
		x.sync = disks[seed/uint64(len(sizes))%uint64(len(disks))]
		x.run(5 * time.Second)
		for n := range losses {
			for range size.lost {
				x.lose(x.draw())
			}
			begin := x.at
			x.disturb(seed / uint64(len(sizes)) % disturbances)
			took := x.repairedSince(begin, x.at-begin+turnoverCatchUp)
			if longest = max(longest, took); !x.toleratesLoss() {
				t.Errorf("seed %d, %+v: a lost voter counts %s after loss %d", seed, size, turnoverCatchUp, n+1)
				break
			}
			if !x.propose(x.leader()) {
				t.Errorf("seed %d, %+v: no proposal is accepted after loss %d", seed, size, n+1)
				break
			}
			survived++
		}
	}
	t.Logf("%d of %d losses were survived, the longest replacement took %s", survived, seeds*losses, longest)
}

// stop ends a replica as planned work: it hands over leadership, is replaced as a voter and ends, all within the limit.
func (x *turnover) stop(r *simReplica, limit time.Duration) {
	_ = r.node.TransferLeadership() // Only a leader does.
	x.flush(r)
	for end := x.at + limit; x.at < end; x.run(100 * time.Millisecond) {
		if l := x.leader(); l != nil && l != r && l.node.ReplaceVoter(r.id) == nil {
			x.flush(l)
			if !l.node.isVoter(r.id) && !l.node.IsLeaving(r.id) {
				break
			}
		}
	}
	r.node, r.diskLost = nil, true
	delete(x.nextJoin, r)
}

// Guards against a planned replacement after which the old machine still counts, so that the loss of the next disk ends the group. All
// machines are exchanged one after the other: the new one first, then the old one stops, and another one is lost right after its end.
func TestPlannedStopPassesOnTheVote(t *testing.T) {
	const seeds, exchanges = 24, 5
	survived := 0
	for seed := range uint64(seeds) {
		voters := []int{3, 5}[seed%2]
		x := newTurnover(t, seed, voters, voters)
		x.sync = drawBetween(time.Millisecond, []time.Duration{3, 80}[seed/2%2]*time.Millisecond)
		x.run(5 * time.Second)
		for n := range exchanges {
			x.add()
			x.run(turnoverCatchUp + time.Second)
			x.stop(x.draw(), 1500*time.Millisecond)
			x.lose(x.draw())
			begin := x.at
			x.repairedSince(begin, turnoverCatchUp)
			if !x.toleratesLoss() || !x.propose(x.leader()) {
				t.Errorf("seed %d, %d voters: a lost voter counts %s after exchange %d and a loss right after it", seed, voters, turnoverCatchUp, n+1)
				break
			}
			survived++
		}
	}
	t.Logf("%d of %d exchanges with a loss were survived", survived, seeds*exchanges)
}

// Guards against members that are never removed after planned replacements, and against one that is removed although it runs.
func TestSilentLearnerIsRemoved(t *testing.T) {
	x := newTurnover(t, 1, 3, 4)
	x.sync = drawBetween(time.Millisecond, 3*time.Millisecond)
	x.run(5 * time.Second)
	x.stop(x.draw(), time.Second)
	left := len(x.leader().node.members())
	x.run(learnerExpiryFactor*turnoverReplaceTicks*turnoverTick - time.Second)
	if n := len(x.leader().node.members()); left != 4 || n != 4 {
		t.Fatalf("%d members right after the stop, and %d later", left, n)
	}
	x.run(2 * time.Second)
	if n := len(x.leader().node.members()); n != 3 || !x.toleratesLoss() {
		t.Fatalf("%d members are left: %v", n, x.leader().node.members())
	}
}
