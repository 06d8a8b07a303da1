package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// simTest is the part of *rapid.T and *testing.T that the simulation uses.
type simTest interface{ Fatalf(string, ...any) }

// simDisk is the durable state of a replica and its queued writes.
type simDisk struct {
	stored Stored
	queue  []*Write
}

func (d *simDisk) apply(w *Write, withState bool) {
	if w.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = w.Snapshot, nil
	}
	for _, e := range w.Entries {
		d.stored.Entries = slices.DeleteFunc(d.stored.Entries, func(o Entry) bool { return o.Index >= e.Index })
		d.stored.Entries = append(d.stored.Entries, e)
	}
	if withState && w.State != nil {
		d.stored.State = *w.State
	}
}

// simReplica is one replica: its node while it runs, its disk and its state machine, which is a hash chain.
type simReplica struct {
	id       ReplicaID
	vm       model.VMName
	node     *Node
	disk     *simDisk
	diskLost bool
	paused   bool // processes nothing for a while, like a paused VM
	applied  uint64
	chain    uint64
	lastAt   int64
	reads    map[uint64]uint64
	saving   *Snapshot
}

// sim runs replicas on a network that loses, duplicates and reorders messages. All choices come from one seed.
type sim struct {
	t        simTest
	random   *rand.Rand
	replicas []*simReplica
	network  []Message
	// partitioned holds the VMs on the second side of a network partition.
	partitioned map[model.VMName]bool
	now         time.Time
	nextID      int
	nextRead    uint64

	leaders        map[uint64]ReplicaID
	votes          map[string]ReplicaID
	chains         map[uint64]uint64
	acked          map[uint64]EntryID
	highestApplied uint64
	readsReleased  int
	loss           float64
	// stalled is a replica whose disk completes no write. maxVoters and replaceAfter are in the configuration of the nodes.
	stalled      *simReplica
	maxVoters    int
	replaceAfter int
}

const simSnapshotBytes = 100

func newSim(t simTest, seed uint64, voters int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), partitioned: map[model.VMName]bool{},
		leaders: map[uint64]ReplicaID{}, votes: map[string]ReplicaID{}, chains: map[uint64]uint64{}, acked: map[uint64]EntryID{},
	}
	var members []Member
	for i := range voters {
		r := s.newReplica(model.VMName(fmt.Sprintf("vm-%d", i)))
		members = append(members, Member{Replica: r.id, VM: r.vm})
	}
	for _, r := range s.replicas {
		r.disk.stored.State = HardState{Term: 1, Commit: 1}
		r.disk.stored.Entries = []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Members: members}}
		s.start(r)
	}
	return s
}

func (s *sim) newReplica(vm model.VMName) *simReplica {
	s.nextID++
	r := &simReplica{id: ReplicaID(fmt.Sprintf("r%d", s.nextID)), vm: vm, disk: &simDisk{}}
	s.replicas = append(s.replicas, r)
	return r
}

func (s *sim) start(r *simReplica) {
	node, err := New(Config{
		Replica: r.id, ElectionTicks: 10, HeartbeatTicks: 2, MaxMessageBytes: 400, MaxInflight: 4, MaxUnappliedBytes: 4000,
		ChunkBytes: 60, RetainEntries: 5, MaxVoters: s.maxVoters, ReplaceAfterTicks: s.replaceAfter, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2)),
	}, r.disk.stored)
	if err != nil {
		s.t.Fatalf("replica %s does not start: %v", r.id, err)
	}
	r.node, r.applied, r.chain, r.lastAt, r.reads, r.saving = node, 0, 0, 0, map[uint64]uint64{}, nil
	s.flush(r)
}

// crash stops a replica, which loses unsynced writes. Any prefix of the queue may have reached the disk, and of the
// next write its entries without its state.
func (s *sim) crash(r *simReplica) {
	keep := s.random.IntN(len(r.disk.queue) + 1)
	for _, w := range r.disk.queue[:keep] {
		r.disk.apply(w, true)
	}
	if keep < len(r.disk.queue) && s.random.IntN(2) == 0 {
		r.disk.apply(r.disk.queue[keep], false)
	}
	r.disk.queue, r.node = nil, nil
}

// live returns the replicas that run and are not paused.
func (s *sim) live() []*simReplica {
	var out []*simReplica
	for _, r := range s.replicas {
		if r.node != nil && !r.paused {
			out = append(out, r)
		}
	}
	return out
}

func (s *sim) byID(id ReplicaID) *simReplica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// leader returns the leader of the highest term, or nil.
func (s *sim) leader() *simReplica {
	var best *simReplica
	for _, r := range s.live() {
		if r.node.role == Leader && (best == nil || r.node.term > best.node.term) {
			best = r
		}
	}
	return best
}

// flush processes the output of a node and checks it.
func (s *sim) flush(r *simReplica) {
	for r.node != nil && r.node.HasReady() {
		rd := r.node.Ready()
		if rd.Write != nil {
			r.disk.queue = append(r.disk.queue, rd.Write)
		}
		for _, m := range rd.Messages {
			s.checkVote(m)
			s.network = append(s.network, m)
		}
		if rd.Restore != nil {
			s.restore(r, rd.Restore)
		}
		for _, e := range rd.Committed {
			s.apply(r, e)
		}
		for _, read := range rd.Reads {
			if need := r.reads[read.ID]; r.applied < need || read.Index > r.applied {
				s.t.Fatalf("read %d at %s answered at applied index %d after entry %d was acknowledged", read.ID, r.id, r.applied, need)
			}
			s.readsReleased++
		}
		r.node.Advance(rd)
		s.checkLeader(r)
	}
}

func (s *sim) checkLeader(r *simReplica) {
	if r.node.role != Leader {
		return
	}
	if other, ok := s.leaders[r.node.term]; ok && other != r.id {
		s.t.Fatalf("term %d has the leaders %s and %s", r.node.term, other, r.id)
	}
	s.leaders[r.node.term] = r.id
}

func (s *sim) checkVote(m Message) {
	if m.Kind != MsgVoteResp || m.Reject {
		return
	}
	key := fmt.Sprintf("%s/%d", m.From, m.Term)
	if other, ok := s.votes[key]; ok && other != m.To {
		s.t.Fatalf("%s voted for %s and %s in term %d", m.From, other, m.To, m.Term)
	}
	s.votes[key] = m.To
}

func (s *sim) apply(r *simReplica, e Entry) {
	if e.Index != r.applied+1 {
		s.t.Fatalf("%s applied entry %d after %d", r.id, e.Index, r.applied)
	}
	if e.At < r.lastAt {
		s.t.Fatalf("the time of entry %d is before that of an earlier entry", e.Index)
	}
	h := fnv.New64a()
	fmt.Fprint(h, r.chain, e.Index, e.Term, e.Kind, e.At, string(e.Data))
	r.applied, r.chain, r.lastAt = e.Index, h.Sum64(), e.At
	s.checkChain(r)
	if p, ok := s.acked[e.Index]; ok && p.Term == 0 {
		s.acked[e.Index] = EntryID{Term: e.Term, Index: e.Index}
	}
	s.highestApplied = max(s.highestApplied, e.Index)
}

// checkChain compares the state with that of the replicas that applied the same entry before.
func (s *sim) checkChain(r *simReplica) {
	if c, ok := s.chains[r.applied]; ok && c != r.chain {
		s.t.Fatalf("the state of %s after entry %d differs from that of an earlier replica", r.id, r.applied)
	}
	s.chains[r.applied] = r.chain
}

func (s *sim) snapshotData(r *simReplica) []byte {
	b := make([]byte, simSnapshotBytes)
	binary.LittleEndian.PutUint64(b, r.chain)
	binary.LittleEndian.PutUint64(b[8:], uint64(r.lastAt))
	return b
}

func (s *sim) restore(r *simReplica, snap *Snapshot) {
	if len(snap.Data) != simSnapshotBytes {
		s.t.Fatalf("snapshot %d arrived with %d bytes", snap.Index, len(snap.Data))
	}
	r.applied, r.chain = snap.Index, binary.LittleEndian.Uint64(snap.Data)
	r.lastAt = int64(binary.LittleEndian.Uint64(snap.Data[8:]))
	s.checkChain(r)
}

// persist completes the first k queued writes of a replica.
func (s *sim) persist(r *simReplica, k int) {
	for _, w := range r.disk.queue[:k] {
		r.disk.apply(w, true)
	}
	if k > 0 {
		last := r.disk.queue[k-1].ID
		r.disk.queue = r.disk.queue[k:]
		r.node.Persisted(last)
	}
	s.flush(r)
}

func (s *sim) compact(r *simReplica) {
	if r.applied == 0 || r.node.restoring {
		return
	}
	snap := r.node.NewSnapshot(s.snapshotData(r))
	r.disk.stored.Snapshot = snap
	r.disk.stored.Entries = slices.DeleteFunc(slices.Clone(r.disk.stored.Entries), func(e Entry) bool { return e.Index <= snap.Index })
	r.node.SnapshotSaved(snap)
	s.flush(r)
}

func (s *sim) connected(from, to ReplicaID) bool {
	sender, receiver := s.byID(from), s.byID(to)
	return receiver != nil && receiver.node != nil && !receiver.paused && s.partitioned[sender.vm] == s.partitioned[receiver.vm]
}

// deliver takes one of the first messages in the network and delivers, duplicates or loses it.
func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.random.IntN(min(len(s.network), 8))
	m := s.network[i]
	if s.random.Float64() >= s.loss/2 {
		s.network = slices.Delete(s.network, i, i+1) // Otherwise the message stays in the network and is delivered again.
	}
	if s.random.Float64() < s.loss || !s.connected(m.From, m.To) {
		return
	}
	r := s.byID(m.To)
	r.node.Step(m)
	s.flush(r)
}

func (s *sim) tick(r *simReplica) {
	r.node.Tick(s.now)
	s.flush(r)
}

func (s *sim) propose(r *simReplica) bool {
	id, err := r.node.Propose(s.now, []byte(fmt.Sprintf("%d", s.random.Uint64())))
	if err == nil {
		s.acked[id.Index] = EntryID{}
	}
	s.flush(r)
	return err == nil
}

func (s *sim) read(r *simReplica) {
	s.nextRead++
	r.reads[s.nextRead] = s.highestApplied
	_ = r.node.Read(s.nextRead)
	s.flush(r)
}

// join proposes to the leader to add replicas that are not members yet, as the module control.log does.
func (s *sim) join() {
	l := s.leader()
	if l == nil {
		return
	}
	for _, r := range s.live() {
		if _, ok := findMember(l.node.members(), r.id); !ok && !r.diskLost && (!r.node.isVoter(r.id) || r.node.leader == "") {
			_, _ = l.node.ProposeChange(s.now, Change{Kind: AddLearner, Member: Member{Replica: r.id, VM: r.vm}})
			s.flush(l)
		}
	}
}

// repaired reports whether the group has the given number of voters again and none of them has lost its disk.
func (s *sim) repaired(voters int) bool {
	l := s.leader()
	if l == nil || l.node.changePending() || !l.node.committedInTerm() || len(l.node.members()) != voters {
		return false
	}
	for _, m := range l.node.members() {
		if m.Learner || s.byID(m.Replica).diskLost {
			return false
		}
	}
	return true
}

// voterLimitHolds reports whether the group is idle and has as many voters as its limit allows, all others being learners.
func (s *sim) voterLimitHolds() bool {
	l := s.leader()
	return l != nil && !l.node.changePending() && l.node.committedInTerm() && len(l.node.voters()) == min(s.maxVoters, len(l.node.members()))
}

// loseDisk replaces a replica by a new one of the same VM with an empty disk.
func (s *sim) loseDisk(r *simReplica) {
	r.node, r.diskLost, r.disk = nil, true, &simDisk{}
	s.start(s.newReplica(r.vm))
}

// round advances time by one tick, completes writes and delivers messages, without adding faults.
func (s *sim) round() {
	s.now = s.now.Add(time.Millisecond)
	for _, r := range s.live() {
		s.tick(r)
	}
	s.join()
	for i := 0; i < 200 && (len(s.network) > 0 || i < 10); i++ {
		for _, r := range s.live() {
			if r != s.stalled {
				s.persist(r, len(r.disk.queue))
			}
		}
		s.deliver()
	}
}

// until runs rounds until a condition holds. The test fails if it does not hold within 1500 rounds.
func (s *sim) until(description string, cond func() bool) {
	for range 1500 {
		if cond() {
			return
		}
		s.round()
	}
	state := ""
	for _, r := range s.replicas {
		state += fmt.Sprintf("\n%s on %s disk lost=%v", r.id, r.vm, r.diskLost)
		if r.node != nil {
			state += fmt.Sprintf(" %+v transfer target=%q", r.node.Status(), r.node.transferTarget)
		}
	}
	s.t.Fatalf("not reached within 1500 ticks: %s%s", description, state)
}

// heal ends all faults.
func (s *sim) heal() {
	s.loss, s.partitioned = 0, map[model.VMName]bool{}
	for _, r := range s.replicas {
		r.paused = false
		if r.node == nil && !r.diskLost {
			s.start(r)
		}
		if r.node != nil {
			r.node.SetDiskFull(false)
		}
	}
}

// converged reports whether all members have applied the whole log of the leader.
func (s *sim) converged() bool {
	l := s.leader()
	if l == nil || !l.node.committedInTerm() || l.node.commit != l.node.log.last() {
		return false
	}
	for _, m := range l.node.members() {
		if r := s.byID(m.Replica); !r.diskLost && r.applied != l.applied {
			return false
		}
	}
	return true
}
