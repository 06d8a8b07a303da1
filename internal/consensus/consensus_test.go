package consensus

import (
	"encoding/binary"
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnuttiller/chestnuttiller/internal/errs"
	"github.com/chestnuttiller/chestnuttiller/internal/model"
)

// TestMain fixes the seed of the property tests, so that CI gives the same verdict on every run. Another seed is
// tried with -rapid.seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// TestFaultsLoseNothing guards against two leaders in a term, a second vote, lost or reordered committed entries,
// stale reads and a group that does not recover, under loss, duplication, reordering, partitions, crashes and
// lost disks.
func TestFaultsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
		// Single integers are drawn close to zero most of the time; eight bytes give as many schedules as runs.
		seed := binary.LittleEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed"))
		s := newSim(t, seed, voters)
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "loss")
		crashes := rapid.SampledFrom([]int{0, 2, 8, 20}).Draw(t, "crashes")
		lostDisks := rapid.Bool().Draw(t, "lost disks") && voters > 1
		for range rapid.SampledFrom([]int{500, 2000, 6000}).Draw(t, "steps") {
			s.step(crashes, lostDisks, voters)
		}
		s.heal()
		s.until("all members have the whole log", s.converged)
		s.until("the group is repaired", func() bool { return s.repaired(voters) })
		s.until("a proposal is accepted", func() bool { return s.leader() != nil && s.propose(s.leader()) })
		s.until("a new entry is applied everywhere", s.converged)
	})
}

// step makes one random choice.
func (s *sim) step(crashes int, lostDisks bool, voters int) {
	live := s.live()
	if len(live) == 0 {
		s.heal()
		return
	}
	r := live[s.random.IntN(len(live))]
	switch p := s.random.IntN(1000); {
	case p < 70:
		s.now = s.now.Add(1)
		for _, x := range live {
			if s.random.IntN(5) > 0 {
				s.tick(x)
			}
		}
	case p < 620:
		s.deliver()
	case p < 800:
		s.persist(r, s.random.IntN(len(r.disk.queue)+1))
	case p < 900:
		s.propose(r)
	case p < 920:
		s.read(r)
	case p < 930:
		s.join()
	case p < 938:
		s.cut[r.vm] = !s.cut[r.vm]
	case p < 941:
		s.cut = map[model.VMName]bool{}
	case p < 950:
		s.compact(r)
	case p < 955:
		_ = r.node.HandOver()
		s.flush(r)
	case p < 957:
		r.node.SetDiskFull(!r.node.diskFull)
	case p < 961:
		r.frozen = true
	case p < 961+crashes:
		s.crash(r)
	case p < 995:
		for _, x := range s.replicas {
			x.frozen = x.frozen && s.random.IntN(4) > 0
			if x.node == nil && !x.lost {
				s.start(x)
			}
		}
	case lostDisks && s.repaired(voters):
		s.loseDisk(r)
	}
}

func healthy(t *testing.T, voters int) *sim {
	s := newSim(t, 7, voters)
	s.until("a leader is elected", func() bool { return s.leader() != nil && s.leader().node.committedInTerm() })
	return s
}

func (s *sim) proposeMany(t *testing.T, k int) {
	for range k {
		require.True(t, s.propose(s.leader()))
		s.round()
	}
	s.until("the entries are applied everywhere", s.converged)
}

// TestSecondLossAfterRepair guards against a repair that counts a replica before it has synced what it
// acknowledges: a second VM is lost as soon as the first one is repaired.
func TestSecondLossAfterRepair(t *testing.T) {
	s := healthy(t, 3)
	s.proposeMany(t, 60)
	highest, chain := s.highest, s.chains[s.highest]
	for _, vm := range []model.VMName{"vm-1", "vm-2", "vm-0"} {
		for _, r := range s.live() {
			if r.vm == vm {
				s.compact(r)
				s.loseDisk(r)
				break
			}
		}
		s.until("the group is repaired", func() bool { return s.repaired(3) })
	}
	s.until("all members have the whole log", s.converged)
	require.Equal(t, chain, s.chains[highest])
	require.GreaterOrEqual(t, s.leader().applied, highest)
	for _, r := range s.live() {
		require.NotContains(t, []ReplicaID{"r1", "r2", "r3"}, r.id)
	}
}

// TestIsolatedLeaderStepsDown guards against a leader that goes on without a quorum, and against a term that is
// raised when it returns.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	s.cut[old.vm] = true
	require.True(t, s.propose(old))
	s.read(old)
	s.until("the isolated leader steps down", func() bool { return old.node.role != Leader })
	require.Zero(t, s.released)
	s.until("another leader commits", func() bool { return s.leader() != nil && s.leader().node.committedInTerm() })
	for range 200 {
		s.round()
	}
	term, leader := s.leader().node.term, s.leader()
	s.cut = map[model.VMName]bool{}
	s.until("the old leader follows", func() bool { return old.node.leader == leader.id })
	s.proposeMany(t, 3)
	require.Equal(t, term, s.leader().node.term)
	require.Equal(t, leader.id, s.leader().id)
}

// TestHandOver guards against a shutdown that leaves the group without a leader for an election timeout.
func TestHandOver(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	require.NoError(t, old.node.HandOver())
	_, err := old.node.Propose(s.now, []byte("x"))
	require.Equal(t, errs.KindNotAccepted, errs.KindOf(err))
	s.flush(old)
	start := s.now
	s.until("another replica leads", func() bool { return s.leader() != nil && s.leader() != old })
	require.Less(t, s.now.Sub(start).Milliseconds(), int64(10), "the successor waited for an election timeout")
}

// TestDiskFull guards against a full leader that blocks the group while others have room.
func TestDiskFull(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	old.node.SetDiskFull(true)
	_, err := old.node.Propose(s.now, []byte("x"))
	require.Equal(t, errs.KindDiskFull, errs.KindOf(err))
	s.until("a replica with room leads", func() bool { return s.leader() != nil && s.leader() != old })
	require.True(t, s.propose(s.leader()))
	s.until("the entry is committed without the full replica", func() bool { return s.leader().node.commit == s.leader().node.log.last() })
	old.node.SetDiskFull(false)
	s.until("the replica catches up", s.converged)
}

// TestDiskStalled guards against a leader that keeps leadership by heartbeats although its disk answers nothing.
func TestDiskStalled(t *testing.T) {
	s := healthy(t, 3)
	old := s.leader()
	s.stalled = old
	require.True(t, s.propose(old))
	s.until("a replica whose disk works leads", func() bool { return s.leader() != nil && s.leader() != old })
	require.True(t, s.propose(s.leader()))
	s.until("the entry is applied", func() bool { return s.leader().applied == s.leader().node.log.last() })
	s.stalled = nil
	s.until("the replica catches up", s.converged)
}

// TestMaxVoters guards against a group that grows with every control VM, which would raise the quorum.
func TestMaxVoters(t *testing.T) {
	s := healthy(t, 3)
	s.maxVoters = 3
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters = 3
	}
	s.start(s.newReplica("vm-9"))
	s.until("the VM is a learner", func() bool { return len(s.leader().node.members()) == 4 })
	s.proposeMany(t, 20)
	require.Len(t, s.leader().node.voters(), 3)
	s.loseDisk(s.replicas[0])
	s.until("a lost voter is replaced", func() bool {
		l := s.leader()
		return l != nil && len(l.node.voters()) == 3 && !l.node.isVoter(s.replicas[0].id) && !l.node.changePending()
	})
}

// TestOneChangeAtATime guards against two membership changes in flight, whose quorums need not meet.
func TestOneChangeAtATime(t *testing.T) {
	s := healthy(t, 3)
	l := s.leader().node
	_, err := l.ProposeChange(s.now, Change{Kind: AddLearner, Member: Member{Replica: "x", VM: "vm-8"}})
	require.NoError(t, err)
	_, err = l.ProposeChange(s.now, Change{Kind: AddLearner, Member: Member{Replica: "y", VM: "vm-9"}})
	require.Equal(t, errs.KindUnavailable, errs.KindOf(err))
}

// TestRetiredVMIsRemoved guards against VMs that were replaced under another name and stay voters forever, which
// would cost the group its quorum in the end.
func TestRetiredVMIsRemoved(t *testing.T) {
	s := healthy(t, 3)
	gone := s.replicas[0]
	if gone == s.leader() {
		gone = s.replicas[1]
	}
	for _, r := range s.replicas {
		r.node.cfg.Retired = func(vm model.VMName) bool { return vm == gone.vm }
	}
	s.proposeMany(t, 3)
	require.Len(t, s.leader().node.members(), 3, "a VM that answers is not removed")
	gone.node, gone.lost = nil, true
	s.start(s.newReplica("vm-9"))
	s.until("the new VM has replaced the old one", func() bool { return s.repaired(3) })
}

// TestSilentVoterIsReplaced guards against a group that cannot bear the next loss although a learner stands by, and
// against more voters than allowed once the lost one is back.
func TestSilentVoterIsReplaced(t *testing.T) {
	s := healthy(t, 3)
	s.maxVoters = 3
	for _, r := range s.replicas {
		r.node.cfg.MaxVoters, r.node.cfg.ReplaceTicks = 3, 40
	}
	spare := s.newReplica("vm-9")
	s.start(spare)
	spare.node.cfg.ReplaceTicks = 40
	s.until("the spare VM is a learner", func() bool { return s.leader() != nil && len(s.leader().node.members()) == 4 })
	gone := s.replicas[0]
	if gone == s.leader() {
		gone = s.replicas[1]
	}
	s.crash(gone)
	s.until("the learner votes in its stead", func() bool {
		l := s.leader()
		return l != nil && l.node.isVoter(spare.id) && !l.node.isVoter(gone.id) && len(l.node.voters()) == 3 && !l.node.changePending()
	})
	require.True(t, s.propose(s.leader()))
}

// TestNoVoteBeforeSync guards against a vote or an acknowledgement that leaves before its write is durable.
func TestNoVoteBeforeSync(t *testing.T) {
	s := newSim(t, 7, 3)
	r := s.replicas[0]
	r.node.Step(Message{Kind: MsgVote, From: "r2", To: "r1", Term: 5, Index: 1, LogTerm: 1})
	rd := r.node.Ready()
	r.node.Advance(rd)
	require.Empty(t, rd.Messages)
	require.Equal(t, HardState{Term: 5, Vote: "r2", Commit: 1}, *rd.Write.State)
	r.node.Persisted(rd.Write.ID)
	rd = r.node.Ready()
	r.node.Advance(rd)
	require.Equal(t, []Message{{Kind: MsgVoteResp, From: "r1", To: "r2", Term: 5}}, rd.Messages)
	r.node.Step(Message{Kind: MsgAppend, From: "r2", To: "r1", Term: 5, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 5}}})
	rd = r.node.Ready()
	r.node.Advance(rd)
	require.Empty(t, rd.Messages)
	r.node.Persisted(rd.Write.ID)
	require.Equal(t, uint64(2), r.node.Ready().Messages[0].Index)
}
